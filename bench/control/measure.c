#include "measure.h"

#include <malloc.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "base/hash.h"
#include "cell.h"
#include "fit.h"
#include "net.h"

#define IDLE_S 60
#define CHANGES 20
#define CHANGE_GAP_S 5
#define CHANGE_EDIT_BYTES 400
#define KILLS 12
#define SAMPLE_US (20 * USEC_PER_MSEC)
#define SETTLE_MAX_S 300
#define STATES 20
#define RACK_WATCH_S 30
#define PARTITION_S 60
#define LOSS 300
#define LOSS_S 120
#define OUTAGE_S 1800

const char *const measure_names[MEASURE_COLUMNS] = {
    [MEASURE_BYTES_OUT] = "rest_bytes_out_per_s",
    [MEASURE_BYTES_IN] = "rest_bytes_in_per_s",
    [MEASURE_MESSAGES_OUT] = "rest_messages_out_per_s",
    [MEASURE_CPU_US] = "rest_cpu_us_per_s",
    [MEASURE_CONFIG_P50_MS] = "config_p50_ms",
    [MEASURE_CONFIG_P99_MS] = "config_p99_ms",
    [MEASURE_CONFIG_MAX_MS] = "config_max_ms",
    [MEASURE_CONFIG_BYTES] = "config_bytes_per_change",
    [MEASURE_STATE_P50_MS] = "state_p50_ms",
    [MEASURE_STATE_P99_MS] = "state_p99_ms",
    [MEASURE_STATE_MAX_MS] = "state_max_ms",
    [MEASURE_SUSPECT_P50_MS] = "vanished_p50_ms",
    [MEASURE_SUSPECT_P99_MS] = "vanished_p99_ms",
    [MEASURE_SUSPECT_MAX_MS] = "vanished_max_ms",
    [MEASURE_REFUSED_P99_MS] = "killed_p99_ms",
    [MEASURE_DEATH_BYTES] = "death_and_return_bytes",
    [MEASURE_RACK_P99_MS] = "rack_p99_ms",
    [MEASURE_RACK_MAX_MS] = "rack_max_ms",
    [MEASURE_RACK_BYTES] = "rack_bytes_out_per_s",
    [MEASURE_PARTITION_BYTES] = "cut_bytes_out_per_s",
    [MEASURE_HEAL_S] = "heal_s",
    [MEASURE_FLOOD_S] = "flood_s",
    [MEASURE_FLOOD_BYTES] = "flood_bytes_out_per_s",
    [MEASURE_FLOOD_PEAK] = "flood_peak_bytes_in_1_s",
    [MEASURE_LOSS_SUSPECT] = "loss30_false_suspicions_per_hour",
    [MEASURE_LOSS_DEATHS] = "loss30_false_deaths",
    [MEASURE_LOSS_BYTES] = "loss30_bytes_out_per_s",
    [MEASURE_MEMORY_BYTES] = "memory_bytes",
    [MEASURE_PLATFORM_IDLE] = "platform_calls_per_s",
    [MEASURE_PLATFORM_DOWN] = "platform_calls_per_s_outage",
    [MEASURE_PLATFORM_RECOVERY] = "platform_peak_calls_in_1_s_after",
};

struct sums {
    uint64_t out;
    uint64_t in;
    uint64_t datagrams;
    uint64_t cpu_ns;
};

static uint64_t
cpu_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (uint64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static struct sums
sum(const struct net *net)
{
    struct sums sums = {.cpu_ns = cpu_ns()};

    for (size_t i = 0; i < net->count; i++) {
        const struct net_node *node = &net->nodes[i];

        sums.out += node->bytes_out + node->stream_bytes_out;
        sums.in += node->bytes_in + node->stream_bytes_in;
        sums.datagrams += node->datagrams_out;
    }
    return sums;
}

static void
measure_idle(struct net *net, double *columns)
{
    struct sums before = sum(net);
    struct sums after;
    double per = net->count * (double)IDLE_S;

    net_run(net, IDLE_S * USEC_PER_SEC);
    after = sum(net);
    columns[MEASURE_BYTES_OUT] = (after.out - before.out) / per;
    columns[MEASURE_BYTES_IN] = (after.in - before.in) / per;
    columns[MEASURE_MESSAGES_OUT] = (after.datagrams - before.datagrams) / per;
    columns[MEASURE_CPU_US] = (after.cpu_ns - before.cpu_ns) / per / 1000;
}

static void
measure_config(struct net *net, double *columns)
{
    uint64_t *samples = g_new(uint64_t, CHANGES * net->count + 1);
    struct sums before = sum(net);
    struct sums after;
    size_t count = 0;
    double seconds = CHANGES * CHANGE_GAP_S;
    double per = net->count * (double)CHANGES;
    size_t node = 0;

    net->body_len = CHANGE_EDIT_BYTES;
    for (uint64_t version = 1; version <= CHANGES; version++) {
        uint64_t begin = net->now_us;

        net_publish(net, node, version);
        node = node + 1 < net->count ? node + 1 : 0;
        net_run(net, CHANGE_GAP_S * USEC_PER_SEC);
        for (size_t i = 0; i < net->count; i++) {
            g_assert_cmpuint(net->nodes[i].config.have, ==, version);
            samples[count++] = (net->nodes[i].adopted_us - begin) / 1000;
        }
    }
    after = sum(net);
    fit_sort(samples, count);
    columns[MEASURE_CONFIG_P50_MS] = fit_quantile(samples, count, 0.5);
    columns[MEASURE_CONFIG_P99_MS] = fit_quantile(samples, count, 0.99);
    columns[MEASURE_CONFIG_MAX_MS] = fit_quantile(samples, count, 1);
    columns[MEASURE_CONFIG_BYTES] =
        (after.out - before.out) / per -
        columns[MEASURE_BYTES_OUT] * seconds / CHANGES;
    g_free(samples);
}

/* Whether node @i sends no new flows to @j. */
static bool
suspects(const struct net *net, size_t i, size_t j)
{
    return net_health(net, i, j) != MEMBER_ALIVE;
}

/* Whether node @i lists @j as draining. */
static bool
lists_draining(const struct net *net, size_t i, size_t j)
{
    const struct member_entry *entry =
        member_find(&net->nodes[i].members, hash_name(net->nodes[j].name));

    return entry != NULL && entry->member.state == MEMBER_DRAINING;
}

/* Adds a sample, in ms, for each node at which @is_true(@about) became true.
 */
static size_t
watch(struct net *net, size_t about,
      bool (*is_true)(const struct net *, size_t, size_t), uint64_t begin_us,
      bool *done, uint64_t *samples)
{
    size_t count = 0;

    for (size_t i = 0; i < net->count; i++) {
        if (i == about || done[i] || !net->nodes[i].running ||
            !is_true(net, i, about))
            continue;
        done[i] = true;
        samples[count++] = (net->now_us - begin_us) / 1000;
    }
    return count;
}

static size_t
watch_until_all(struct net *net, size_t about,
                bool (*is_true)(const struct net *, size_t, size_t),
                uint64_t *samples)
{
    bool *done = g_new0(bool, net->count);
    uint64_t begin = net->now_us;
    size_t count = 0;

    while (count < net->count - 1 && net->now_us < begin + 30 * USEC_PER_SEC) {
        net_run(net, SAMPLE_US);
        count += watch(net, about, is_true, begin, done, samples + count);
    }
    g_assert_cmpuint(count, ==, net->count - 1);
    g_free(done);
    return count;
}

static void
measure_states(struct net *net, double *columns)
{
    uint64_t *samples = g_new(uint64_t, STATES * net->count);
    size_t count = 0;

    for (size_t i = 0; i < STATES; i++) {
        size_t node = i % net->count;

        net_announce(net, node, MEMBER_DRAINING);
        count += watch_until_all(net, node, lists_draining, samples + count);
        net_announce(net, node, MEMBER_READY);
        net_run(net, 5 * USEC_PER_SEC);
    }
    fit_sort(samples, count);
    columns[MEASURE_STATE_P50_MS] = fit_quantile(samples, count, 0.5);
    columns[MEASURE_STATE_P99_MS] = fit_quantile(samples, count, 0.99);
    columns[MEASURE_STATE_MAX_MS] = fit_quantile(samples, count, 1);
    g_free(samples);
}

static unsigned
run_until_agreed(struct net *net)
{
    unsigned seconds = 0;

    while (!net_agrees(net) && seconds < SETTLE_MAX_S) {
        net_run(net, USEC_PER_SEC);
        seconds++;
    }
    g_assert_true(net_agrees(net));
    return seconds;
}

/* A tenth of the cell fails at once and restarts. */
static void
measure_rack(struct net *net, double *columns)
{
    size_t rack = MAX(net->count / 10, 2);
    size_t left = net->count - rack;
    uint64_t *samples = g_new(uint64_t, rack * net->count);
    bool *done = g_new0(bool, rack * net->count);
    uint64_t begin = net->now_us;
    struct sums before;
    size_t count = 0;

    for (size_t i = 0; i < rack; i++)
        net_kill(net, 1 + i, false);
    before = sum(net);
    while (net->now_us < begin + RACK_WATCH_S * USEC_PER_SEC) {
        net_run(net, SAMPLE_US);
        for (size_t i = 0; i < rack; i++)
            count += watch(net, 1 + i, suspects, begin, done + i * net->count,
                           samples + count);
    }
    g_assert_cmpuint(count, ==, rack * left);
    fit_sort(samples, count);
    columns[MEASURE_RACK_P99_MS] = fit_quantile(samples, count, 0.99);
    columns[MEASURE_RACK_MAX_MS] = fit_quantile(samples, count, 1);
    columns[MEASURE_RACK_BYTES] =
        (sum(net).out - before.out) / (double)left / RACK_WATCH_S;
    for (size_t i = 0; i < rack; i++)
        net_start(net, 1 + i, 0);
    run_until_agreed(net);
    g_free(samples);
    g_free(done);
}

static void
measure_partition(struct net *net, double *columns)
{
    struct sums before = sum(net);

    for (size_t i = 0; i < net->count; i++)
        net->nodes[i].group = i % 2;
    net_run(net, PARTITION_S * USEC_PER_SEC);
    columns[MEASURE_PARTITION_BYTES] =
        (sum(net).out - before.out) / (double)net->count / PARTITION_S;
    for (size_t i = 0; i < net->count; i++)
        net->nodes[i].group = 0;
    columns[MEASURE_HEAL_S] = run_until_agreed(net);
}

static void
measure_deaths(struct net *net, bool refuses, double *columns)
{
    uint64_t *samples = g_new(uint64_t, KILLS * net->count);
    struct sums before = sum(net);
    uint64_t begin = net->now_us;
    size_t count = 0;

    for (size_t i = 0; i < KILLS; i++) {
        size_t victim = 1 + i % (net->count - 1);

        net_kill(net, victim, refuses);
        count += watch_until_all(net, victim, suspects, samples + count);
        net_run(net, 20 * USEC_PER_SEC);
        net_start(net, victim, 0);
        net_run(net, 20 * USEC_PER_SEC);
    }
    fit_sort(samples, count);
    if (refuses) {
        columns[MEASURE_REFUSED_P99_MS] = fit_quantile(samples, count, 0.99);
    }
    else {
        double seconds = (net->now_us - begin) / (double)USEC_PER_SEC;

        columns[MEASURE_SUSPECT_P50_MS] = fit_quantile(samples, count, 0.5);
        columns[MEASURE_SUSPECT_P99_MS] = fit_quantile(samples, count, 0.99);
        columns[MEASURE_SUSPECT_MAX_MS] = fit_quantile(samples, count, 1);
        columns[MEASURE_DEATH_BYTES] =
            ((sum(net).out - before.out) / (double)net->count -
             columns[MEASURE_BYTES_OUT] * seconds) /
            KILLS;
    }
    g_free(samples);
}

static void
measure_loss(struct net *net, double *columns)
{
    struct sums before;
    uint64_t suspicions = 0;
    uint64_t deaths = net_deaths(net);

    for (size_t i = 0; i < net->count; i++)
        suspicions += net->nodes[i].members.stats.suspicions;
    net->loss = LOSS;
    before = sum(net);
    net_run(net, LOSS_S * USEC_PER_SEC);
    columns[MEASURE_LOSS_BYTES] =
        (sum(net).out - before.out) / (double)LOSS_S / net->count;
    columns[MEASURE_LOSS_DEATHS] = net_deaths(net) - deaths;
    for (size_t i = 0; i < net->count; i++)
        columns[MEASURE_LOSS_SUSPECT] +=
            net->nodes[i].members.stats.suspicions;
    columns[MEASURE_LOSS_SUSPECT] -= suspicions;
    columns[MEASURE_LOSS_SUSPECT] *= 3600.0 / LOSS_S / net->count;
    net->loss = 0;
}

static void
measure_flood(struct net *net, double *columns)
{
    uint64_t *last = g_new0(uint64_t, net->count);
    uint64_t peak = 0;
    unsigned seconds = 0;

    for (size_t i = 0; i < net->count; i++)
        net_start(net, i, 0);
    while (!net_agrees(net) && seconds < SETTLE_MAX_S) {
        net_run(net, USEC_PER_SEC);
        seconds++;
        for (size_t i = 0; i < net->count; i++) {
            uint64_t out =
                net->nodes[i].bytes_out + net->nodes[i].stream_bytes_out;

            peak = MAX(peak, out - last[i]);
            last[i] = out;
        }
    }
    g_assert_true(net_agrees(net));
    columns[MEASURE_FLOOD_S] = seconds;
    columns[MEASURE_FLOOD_BYTES] =
        sum(net).out / (double)net->count / MAX(seconds, 1);
    columns[MEASURE_FLOOD_PEAK] = peak;
    g_free(last);
}

static double
memory_of_one(size_t size)
{
    struct member_update self = {.start = 1};
    struct member_core core;
    size_t before = mallinfo2().uordblks;
    double bytes;

    self.member.id = 1;
    self.member.incarnation = 1;
    g_assert_cmpint(member_core_init(&core, &self, 0, 1, 0), ==, 0);
    for (size_t i = 2; i <= size; i++) {
        struct member_msg msg = {.kind = MEMBER_PUSH, .from = i};
        struct member_actions out = {0};
        struct member_update other = {.start = 1};

        other.member.id = i * UINT64_C(0x9e3779b97f4a7c15);
        other.member.incarnation = 1;
        msg.updates = &other;
        msg.update_count = 1;
        member_receive(&core, &msg, (struct addr){1, 1}, 1, &out);
        member_actions_finish(&out);
    }
    bytes = mallinfo2().uordblks - before + sizeof(core);
    member_core_finish(&core);
    return bytes;
}

static void
measure_platform(size_t size, double *columns)
{
    struct cell *cell = g_new0(struct cell, 1);

    cell_init(cell, size, size);
    cell->version = 1;
    cell->served_version = 1;
    cell_run(cell, 130);
    columns[MEASURE_PLATFORM_IDLE] = cell_calls(cell, 30, 100) / 100.0;
    cell->down = true;
    cell_run(cell, OUTAGE_S);
    columns[MEASURE_PLATFORM_DOWN] =
        cell_calls(cell, 130, OUTAGE_S) / (double)OUTAGE_S;
    cell->down = false;
    cell_run(cell, 30);
    columns[MEASURE_PLATFORM_RECOVERY] = cell_peak(cell, 130 + OUTAGE_S, 30);
    cell_finish(cell);
    g_free(cell);
}

void
measure_cell(size_t size, double *columns)
{
    struct net net;

    memset(columns, 0, MEASURE_COLUMNS * sizeof(columns[0]));
    net_init(&net, size, size);
    net.seal = true;
    measure_flood(&net, columns);
    net_run(&net, 120 * USEC_PER_SEC);
    measure_idle(&net, columns);
    measure_config(&net, columns);
    measure_states(&net, columns);
    measure_deaths(&net, false, columns);
    measure_deaths(&net, true, columns);
    measure_rack(&net, columns);
    net_run(&net, 30 * USEC_PER_SEC);
    measure_partition(&net, columns);
    net_run(&net, 30 * USEC_PER_SEC);
    measure_loss(&net, columns);
    net_finish(&net);
    columns[MEASURE_MEMORY_BYTES] = memory_of_one(size);
    measure_platform(size, columns);
}
