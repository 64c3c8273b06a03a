#include "measure.h"

#include <string.h>
#include <time.h>

#include "fit.h"
#include "net.h"
#include "service_config/service_config.h"

#define SEED 20260
#define NODES 4 /* per cell other than the complete one */
#define FLEET_CELLS 520
#define CHANGES_PER_DAY 20000
#define DAY_US (UINT64_C(86400) * USEC_PER_SEC)
#define LOSS 10             /* messages per 1000 */
#define MESSAGE_OVERHEAD 68 /* bytes: seal 40, IP and UDP 28 */
#define WARMUP_US (60 * USEC_PER_SEC)
#define IDLE_PERIOD_US (900 * USEC_PER_SEC)
#define CHANGES 60
#define DEATHS 20
#define STARTS 20
#define POLL_US (20 * USEC_PER_MSEC)
#define WAIT_TIMEOUT_US (120 * USEC_PER_SEC)
#define HOUR_US (3600 * USEC_PER_SEC)
#define LOOKUPS 20000000u
#define ADDRESS_IP 0x0b000000u

const char *const measure_names[MEASURE_COLUMNS] = {
    "rest_author_bytes_out_per_s",
    "rest_author_bytes_in_per_s",
    "rest_balancer_bytes_out_per_s",
    "rest_balancer_bytes_in_per_s",
    "day_author_bytes_out_per_s",
    "day_author_bytes_in_per_s",
    "day_balancer_bytes_out_per_s",
    "day_balancer_bytes_in_per_s",
    "day_cpu_us_per_s",
    "address_known_p50_ms",
    "address_known_p99_ms",
    "address_known_max_ms",
    "dead_gateway_unused_p99_ms",
    "dead_gateway_unused_max_ms",
    "one_start_ms",
    "cell_start_ms",
    "heal_ms",
    "heal_bytes_most",
    "largest_message_bytes",
    "memory_bytes",
    "lookup_hit_ns",
    "lookup_miss_ns",
};

/** struct samples - durations in us */
struct samples {
    uint64_t *items;
    size_t count;
};

static uint32_t
address_ip(size_t cell, size_t i)
{
    return ADDRESS_IP + (uint32_t)(cell << 8 | i);
}

static void
start_region(struct net *net, size_t cells)
{
    size_t *sizes = g_new(size_t, cells);

    for (size_t i = 0; i < cells; i++)
        sizes[i] = i == 0 ? MEASURE_BALANCERS : NODES;
    net_init(net, sizes, cells, SEED);
    g_free(sizes);
    net->loss = LOSS;
    for (size_t i = 0; i < cells; i++) {
        struct net_text *text = &net->cells[i].text;

        text->count = MEASURE_ADDRESSES;
        for (size_t j = 0; j < text->count; j++)
            text->addresses[j].ip = address_ip(i, j);
        net_publish(net, i);
    }
    for (size_t i = 0; i < net->count; i++)
        net_start(net, i);
    net_run(net, net->now_us + WARMUP_US);
}

/** struct traffic - bytes sent and received in the complete cell */
struct traffic {
    double author_out;
    double author_in;
    double balancer_out;
    double balancer_in;
};

static void
reset_traffic(struct net *net)
{
    for (size_t i = 0; i < net->count; i++) {
        net->nodes[i].bytes_out = net->nodes[i].bytes_in = 0;
        net->nodes[i].messages_out = net->nodes[i].messages_in = 0;
    }
}

static void
read_traffic(const struct net *net, uint64_t since_us, double *columns)
{
    struct traffic sum = {0};
    double seconds = (double)(net->now_us - since_us) / USEC_PER_SEC;
    double authors = 0;

    for (size_t i = 0; i < MEASURE_BALANCERS; i++) {
        const struct net_node *node = &net->nodes[i];
        bool author = node->core.role.author;
        double out = node->bytes_out + MESSAGE_OVERHEAD * node->messages_out;
        double in = node->bytes_in + MESSAGE_OVERHEAD * node->messages_in;

        authors += author;
        *(author ? &sum.author_out : &sum.balancer_out) += out;
        *(author ? &sum.author_in : &sum.balancer_in) += in;
    }
    columns[0] = sum.author_out / authors / seconds;
    columns[1] = sum.author_in / authors / seconds;
    columns[2] = sum.balancer_out / (MEASURE_BALANCERS - authors) / seconds;
    columns[3] = sum.balancer_in / (MEASURE_BALANCERS - authors) / seconds;
}

static void
measure_idle(struct net *net, double *columns)
{
    uint64_t since_us = net->now_us;

    reset_traffic(net);
    net_run(net, net->now_us + IDLE_PERIOD_US);
    read_traffic(net, since_us, columns + MEASURE_IDLE_AUTHOR_OUT);
}

/* Adds or removes the last address of a cell. */
static void
change_text(struct net *net, size_t cell)
{
    struct net_text *text = &net->cells[cell].text;

    text->count ^= 1;
    text->addresses[text->count - 1].ip = address_ip(cell, text->count - 1);
    net_publish(net, cell);
}

static void
change_at_rate(struct net *net, uint64_t until_us)
{
    uint64_t gap_us = DAY_US * FLEET_CELLS / CHANGES_PER_DAY / net->cell_count;

    while (net->now_us < until_us) {
        change_text(net, random_below(&net->random, net->cell_count));
        net_run(net, MIN(until_us, net->now_us + gap_us));
    }
}

static double
cpu_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
measure_day(struct net *net, double *columns)
{
    uint64_t since_us = net->now_us;
    double before_us = cpu_us();
    double seconds;

    reset_traffic(net);
    change_at_rate(net, net->now_us + IDLE_PERIOD_US);
    seconds = (double)(net->now_us - since_us) / USEC_PER_SEC;
    columns[MEASURE_DAY_CPU_US] =
        (cpu_us() - before_us) / (double)net->count / seconds;
    read_traffic(net, since_us, columns + MEASURE_DAY_AUTHOR_OUT);
}

/** struct wait - condition to reach at every node */
struct wait {
    bool (*seen)(const struct net *net, size_t node, size_t target);
    size_t target;
};

/* Waits until all running nodes reach the condition and returns the time in
 * us; adds the time of each node to @samples. */
static uint64_t
wait_all(struct net *net, const struct wait *wait, struct samples *samples)
{
    uint64_t since_us = net->now_us;
    bool *seen = g_new0(bool, net->count);
    size_t missing = net->count;

    while (missing > 0 && net->now_us < since_us + WAIT_TIMEOUT_US) {
        net_run(net, net->now_us + POLL_US);
        missing = 0;
        for (size_t i = 0; i < net->count; i++) {
            if (seen[i] || !net->nodes[i].running)
                continue;
            seen[i] = wait->seen(net, i, wait->target);
            missing += !seen[i];
            if (seen[i] && samples != NULL)
                samples->items[samples->count++] = net->now_us - since_us;
        }
    }
    g_free(seen);
    return net->now_us - since_us;
}

static bool
has_version(const struct net *net, size_t node, size_t cell)
{
    const struct directory_slot *slot =
        directory_find(&net->nodes[node].core, net->cells[cell].id);

    return slot != NULL && slot->entry->version.config_version ==
                               net->cells[cell].text.version;
}

static bool
has_all_versions(const struct net *net, size_t node, size_t unused)
{
    for (size_t i = 0; i < net->cell_count; i++) {
        if (!has_version(net, node, i))
            return false;
    }
    return true;
}

static bool
avoids_gateway(const struct net *net, size_t node, size_t gateway)
{
    const struct net_node *dead = &net->nodes[gateway];
    const struct directory_slot *slot =
        directory_find(&net->nodes[node].core, net->cells[dead->cell].id);

    for (size_t i = 0; i < slot->entry->gateway_count; i++) {
        if (addr_equal(slot->entry->gateways[i].data, dead->data))
            return false;
    }
    return true;
}

static double
quantile_ms(const struct samples *samples, double q)
{
    return (double)fit_quantile(samples->items, samples->count, q) / 1000;
}

static void
measure_changes(struct net *net, double *columns)
{
    struct samples samples = {.items = g_new(uint64_t, CHANGES * net->count)};

    for (size_t i = 0; i < CHANGES; i++) {
        struct wait wait = {has_version,
                            random_below(&net->random, net->cell_count)};

        change_text(net, wait.target);
        wait_all(net, &wait, &samples);
        net_run(net, net->now_us + USEC_PER_SEC);
    }
    fit_sort(samples.items, samples.count);
    columns[MEASURE_KNOWN_P50_MS] = quantile_ms(&samples, 0.5);
    columns[MEASURE_KNOWN_P99_MS] = quantile_ms(&samples, 0.99);
    columns[MEASURE_KNOWN_MAX_MS] = quantile_ms(&samples, 1);
    g_free(samples.items);
}

/* A cell's own nodes learn of a death within net.propagation_max_us. */
static void
measure_deaths(struct net *net, double *columns)
{
    struct samples samples = {.items = g_new(uint64_t, DEATHS * net->count)};

    for (size_t i = 0; i < DEATHS; i++) {
        struct wait wait = {
            avoids_gateway,
            MEASURE_BALANCERS +
                random_below(&net->random, net->count - MEASURE_BALANCERS)};

        net_kill(net, wait.target);
        wait_all(net, &wait, &samples);
        net_start(net, wait.target);
        net_run(net, net->now_us + 20 * USEC_PER_SEC);
    }
    fit_sort(samples.items, samples.count);
    columns[MEASURE_GATEWAY_P99_MS] = quantile_ms(&samples, 0.99);
    columns[MEASURE_GATEWAY_MAX_MS] = quantile_ms(&samples, 1);
    g_free(samples.items);
}

static void
measure_starts(struct net *net, double *columns)
{
    const struct wait wait = {has_all_versions, 0};
    struct samples samples = {.items = g_new(uint64_t, STARTS)};

    for (size_t i = 0; i < STARTS; i++) {
        net_start(net, 1 + random_below(&net->random, MEASURE_BALANCERS - 1));
        samples.items[samples.count++] = wait_all(net, &wait, NULL);
        net_run(net, net->now_us + WARMUP_US);
    }
    fit_sort(samples.items, samples.count);
    columns[MEASURE_START_ONE_MS] = quantile_ms(&samples, 1);
    g_free(samples.items);
    for (size_t i = 0; i < MEASURE_BALANCERS; i++)
        net_start(net, i);
    columns[MEASURE_START_CELL_MS] = (double)wait_all(net, &wait, NULL) / 1000;
    net_run(net, net->now_us + WARMUP_US);
}

static void
measure_partition(struct net *net, double *columns)
{
    const struct wait wait = {has_all_versions, 0};
    uint64_t max = 0;

    for (size_t i = 0; i < net->count; i++)
        net_set_group(net, i, net->nodes[i].cell >= net->cell_count / 2);
    change_at_rate(net, net->now_us + HOUR_US);
    for (size_t i = 0; i < net->count; i++)
        net_set_group(net, i, 0);
    net_run(net, net->now_us + 1);
    reset_traffic(net);
    columns[MEASURE_HEAL_MS] = (double)wait_all(net, &wait, NULL) / 1000;
    for (size_t i = 0; i < net->count; i++) {
        const struct net_node *node = &net->nodes[i];

        max =
            MAX(max, node->bytes_out + MESSAGE_OVERHEAD * node->messages_out);
    }
    columns[MEASURE_HEAL_BYTES] = (double)max;
}

static void
measure_memory(const struct net *net, double *columns)
{
    const struct net_node *node = &net->nodes[0];
    size_t bytes = sizeof(node->core) + directory_table_bytes(node->table);
    size_t largest = 0;

    for (size_t i = 0; i < node->core.count; i++)
        bytes += sizeof(struct directory_entry) +
                 node->core.slots[i].entry->count * sizeof(uint64_t);
    for (size_t i = 0; i < net->count; i++)
        largest = MAX(largest, net->nodes[i].largest);
    columns[MEASURE_MEMORY] = (double)bytes;
    columns[MEASURE_LARGEST] = (double)largest;
}

static double
lookup_ns(const struct net *net, uint16_t port, size_t *hits)
{
    const struct directory_table *table = net->nodes[0].table;
    struct random random = {.state = SEED};
    uint32_t ips[4096];
    double before_us;

    for (size_t i = 0; i < 4096; i++)
        ips[i] = address_ip(1 + random_below(&random, net->cell_count - 1),
                            random_below(&random, MEASURE_ADDRESSES));
    *hits = 0;
    before_us = cpu_us();
    for (uint32_t i = 0; i < LOOKUPS; i++)
        *hits += directory_table_find(table, ips[i % 4096], port,
                                      SERVICE_CONFIG_TCP) != NULL;
    return (cpu_us() - before_us) * 1000 / LOOKUPS;
}

static void
measure_lookups(const struct net *net, double *columns)
{
    size_t hits;

    columns[MEASURE_HIT_NS] = lookup_ns(net, 80, &hits);
    g_assert_cmpuint(hits, >, LOOKUPS / 2);
    columns[MEASURE_MISS_NS] = lookup_ns(net, 81, &hits);
    g_assert_cmpuint(hits, ==, 0);
}

void
measure_region(size_t cells, double *columns)
{
    struct net net;

    start_region(&net, cells);
    measure_idle(&net, columns);
    measure_day(&net, columns);
    measure_changes(&net, columns);
    measure_deaths(&net, columns);
    measure_starts(&net, columns);
    measure_partition(&net, columns);
    measure_memory(&net, columns);
    measure_lookups(&net, columns);
    net_finish(&net);
}
