/* Directory invariants under random changes, restarts and partitions. */
#include <stdlib.h>
#include <string.h>

#include "net.h"
#include "service_config/service_config.h"
#include "lib/harness.h"

#define SUITE "/directory/property"
#define CELLS 8
#define NODES 4 /* per cell */
#define POOL 40 /* addresses */
#define POOL_IP 0xc0a80001u
#define STEPS 60
#define QUIET_US (90 * USEC_PER_SEC)
#define HOUR_US (3600 * USEC_PER_SEC)
#define RENEWAL_US (14 * USEC_PER_SEC)
#define SEEDS 24

/**
 * struct world - simulation and the state that the checks compare with
 * @ever: whether a cell ever had an address in its configuration
 * @versions: latest version of each cell's entry seen at each node
 * @incarnations: incarnation of the node in which it was seen
 */
struct world {
    struct net net;
    bool ever[CELLS][POOL];
    struct directory_version versions[CELLS * NODES][CELLS];
    uint64_t incarnations[CELLS * NODES];
};

static size_t
cell_by_id(const struct net *net, uint64_t id)
{
    for (size_t i = 0; i < net->cell_count; i++) {
        if (net->cells[i].id == id)
            return i;
    }
    return SIZE_MAX;
}

static void
check_monotonic(struct world *world, size_t node)
{
    const struct net_node *self = &world->net.nodes[node];

    if (world->incarnations[node] != self->incarnation)
        memset(world->versions[node], 0, sizeof(world->versions[node]));
    world->incarnations[node] = self->incarnation;
    for (size_t i = 0; i < CELLS; i++) {
        const struct directory_slot *slot =
            directory_find(&self->core, world->net.cells[i].id);
        struct directory_version *last = &world->versions[node][i];

        if (slot == NULL) {
            g_assert_cmpuint(last->config_version, ==, 0);
            continue;
        }
        g_assert_cmpint(directory_version_compare(&slot->entry->version, last),
                        >=, 0);
        *last = slot->entry->version;
    }
}

static void
check_only_servers(struct world *world, size_t node)
{
    const struct net *net = &world->net;

    for (size_t i = 0; i < POOL; i++) {
        const struct directory_table_cell *cell = directory_table_find(
            net->nodes[node].table, POOL_IP + i, 80, SERVICE_CONFIG_TCP);
        size_t index;

        if (cell == NULL)
            continue;
        index = cell_by_id(net, cell->id);
        g_assert_cmpuint(index, !=, SIZE_MAX);
        g_assert_cmpuint(index, !=, net->nodes[node].cell);
        g_assert_true(world->ever[index][i]);
        for (size_t j = 0; j < cell->gateway_count; j++) {
            size_t gateway = net_node_at(net, cell->gateways[j]);

            g_assert_cmpuint(net->nodes[gateway].cell, ==, index);
        }
    }
}

static void
on_table(struct net *net, size_t node)
{
    struct world *world = net->data;

    check_monotonic(world, node);
    check_only_servers(world, node);
}

static struct net_address *
find_address(struct net_text *text, uint32_t ip)
{
    for (size_t i = 0; i < text->count; i++) {
        if (text->addresses[i].ip == ip)
            return &text->addresses[i];
    }
    return NULL;
}

static size_t
server_of(struct net *net, uint32_t ip)
{
    for (size_t i = 0; i < net->cell_count; i++) {
        const struct net_address *found =
            find_address(&net->cells[i].text, ip);

        if (found != NULL && !found->retired)
            return i;
    }
    return SIZE_MAX;
}

static void
serve(struct world *world, size_t cell, size_t address)
{
    struct net_text *text = &world->net.cells[cell].text;
    struct net_address *found = find_address(text, POOL_IP + address);

    if (found == NULL) {
        found = &text->addresses[text->count++];
        found->ip = POOL_IP + (uint32_t)address;
    }
    found->retired = false;
    world->ever[cell][address] = true;
    net_publish(&world->net, cell);
}

static void
retire(struct world *world, size_t cell, size_t address, bool remove)
{
    struct net_text *text = &world->net.cells[cell].text;
    struct net_address *found = find_address(text, POOL_IP + address);

    if (remove)
        *found = text->addresses[--text->count];
    else
        found->retired = true;
    net_publish(&world->net, cell);
}

/* Adds, removes or moves an address. */
static void
edit(struct world *world)
{
    struct random *random = &world->net.random;
    size_t address = random_below(random, POOL);
    size_t to = random_below(random, CELLS);
    size_t from = server_of(&world->net, POOL_IP + address);

    if (from == to)
        return;
    if (from != SIZE_MAX)
        retire(world, from, address, random_below(random, 2) == 0);
    if (from == SIZE_MAX || random_below(random, 4) != 0)
        serve(world, to, address);
}

static void
fault(struct world *world)
{
    struct net *net = &world->net;
    size_t node = random_below(&net->random, net->count);

    if (net->nodes[node].running && random_below(&net->random, 2) == 0)
        net_kill(net, node);
    else
        net_start(net, node);
}

static void
partition(struct world *world)
{
    struct net *net = &world->net;
    bool inside = random_below(&net->random, 3) == 0;
    size_t border = 1 + random_below(&net->random, CELLS - 1);

    /* Partition within every cell, or between cells. */
    for (size_t i = 0; i < net->count; i++)
        net_set_group(net, i, inside ? i % 2 : net->nodes[i].cell >= border);
}

static void
heal(struct world *world)
{
    for (size_t i = 0; i < world->net.count; i++)
        net_set_group(&world->net, i, 0);
}

static void
check_bounds(struct world *world)
{
    const struct net *net = &world->net;

    for (size_t i = 0; i < net->count; i++) {
        const struct net_node *node = &net->nodes[i];
        uint64_t seconds = (net->now_us - node->start_us) / USEC_PER_SEC + 1;

        g_assert_cmpuint(node->largest, <=, DIRECTORY_MESSAGE_MAX);
        if (node->running)
            g_assert_cmpuint(node->budgeted_out, <=,
                             DIRECTORY_BURST + DIRECTORY_RATE * seconds);
    }
}

/* Cell that accepts a packet for @address sent to @node, or SIZE_MAX; fails if
 * the packet is forwarded more than once. */
static size_t
deliver(struct world *world, size_t node, size_t address)
{
    struct net *net = &world->net;
    struct packet packet = {.src = 1,
                            .dst = POOL_IP + (uint32_t)address,
                            .sport = (uint16_t)random_next(&net->random),
                            .dport = 80,
                            .proto = SERVICE_CONFIG_TCP};
    uint8_t header[CELL_FORWARD_HEADER_LEN] = {0, 4, 0, 0};

    for (unsigned hops = 0;; hops++) {
        struct net_node *at = &net->nodes[node];
        bool marked = cell_forward_is_marked(header, sizeof(header));
        struct addr to;

        g_assert_cmpuint(hops, <=, 1);
        if (!at->running)
            return SIZE_MAX;
        if (find_address(&at->text, packet.dst) != NULL &&
            (marked || !cell_forward_has_priority(at->table, &packet)))
            return at->cell;
        if (cell_forward_decide(at->table, NULL, &packet, marked, net->now_us,
                                &to) != PACKET_OK)
            return SIZE_MAX;
        cell_forward_encode(header);
        node = net_node_at(net, to);
    }
}

/* Packets do not loop and reach only cells that have served the address. */
static void
check_packets(struct world *world)
{
    struct net *net = &world->net;

    for (size_t i = 0; i < net->count; i++) {
        size_t address = random_below(&net->random, POOL);
        size_t cell = deliver(world, i, address);

        if (cell != SIZE_MAX)
            g_assert_true(world->ever[cell][address]);
    }
}

/* Entries are equal, except for a renewal within the last RENEWAL_US. */
static void
check_pair(const struct net *net, const struct directory_slot *a,
           const struct directory_slot *b)
{
    int order =
        directory_version_compare(&a->entry->version, &b->entry->version);
    const struct directory_slot *later = order < 0 ? b : a;

    g_assert_cmpuint(a->entry->version.config_version, ==,
                     b->entry->version.config_version);
    g_assert_cmpuint(a->entry->version.sum, ==, b->entry->version.sum);
    if (order != 0)
        g_assert_cmpuint(later->since_us + RENEWAL_US, >, net->now_us);
}

static void
check_same(struct world *world, size_t node)
{
    const struct net *net = &world->net;

    for (size_t i = 0; i < CELLS; i++) {
        const struct directory_slot *first =
            directory_find(&net->nodes[0].core, net->cells[i].id);
        const struct directory_slot *slot =
            directory_find(&net->nodes[node].core, net->cells[i].id);

        g_assert_nonnull(first);
        g_assert_nonnull(slot);
        check_pair(net, first, slot);
        g_assert_cmpuint(slot->entry->version.config_version, ==,
                         net->cells[i].text.version);
        g_assert_cmpuint(slot->entry->count, ==, net->cells[i].text.count);
        g_assert_cmpuint(slot->entry->gateway_count, ==,
                         MIN(NODES, DIRECTORY_GATEWAYS));
        g_assert_cmpuint(slot->entry->author_count, ==, DIRECTORY_AUTHORS);
    }
}

static void
check_converged(struct world *world)
{
    struct net *net = &world->net;

    for (size_t i = 0; i < net->count; i++) {
        check_same(world, i);
        for (size_t j = 0; j < POOL; j++) {
            size_t server = server_of(net, POOL_IP + j);

            if (server == SIZE_MAX)
                continue;
            g_assert_cmpuint(deliver(world, i, j), ==, server);
        }
    }
}

static void
settle(struct world *world)
{
    struct net *net = &world->net;
    uint64_t lost = net->loss;

    heal(world);
    for (size_t i = 0; i < net->count; i++) {
        if (!net->nodes[i].running)
            net_start(net, i);
    }
    net->loss = 0;
    net_run(net, net->now_us + QUIET_US);
    check_converged(world);
    check_bounds(world);
    net->loss = (unsigned)lost;
}

static void
step(struct world *world)
{
    struct net *net = &world->net;
    uint64_t choice = random_below(&net->random, 20);

    if (choice < 9)
        edit(world);
    else if (choice < 15)
        fault(world);
    else if (choice < 17)
        partition(world);
    else if (choice < 19)
        heal(world);
    else
        settle(world);
    net_run(net, net->now_us + random_below(&net->random, 8 * USEC_PER_SEC));
    check_packets(world);
    check_bounds(world);
}

static void
world_init(struct world *world, uint64_t seed)
{
    struct net *net = &world->net;
    size_t sizes[CELLS];

    for (size_t i = 0; i < CELLS; i++)
        sizes[i] = NODES;
    memset(world, 0, sizeof(*world));
    net_init(net, sizes, CELLS, seed);
    net->on_table = on_table;
    net->data = world;
    net->propagation_max_us = 4 * USEC_PER_SEC;
    for (size_t i = 0; i < POOL; i++)
        serve(world, random_below(&net->random, CELLS), i);
    for (size_t i = 0; i < CELLS; i++) {
        if (net->cells[i].text.version == 0)
            net_publish(net, i);
    }
    for (size_t i = 0; i < net->count; i++)
        net_start(net, i);
}

static uint64_t
seed_count(void)
{
    const char *text = g_getenv("SWIFTARCH_SEEDS");

    return text != NULL ? strtoull(text, NULL, 10) : SEEDS;
}

/* Invariants hold in random runs, and all nodes converge after each. */
TEST(random_runs)
{
    struct world *world = g_new(struct world, 1);

    for (uint64_t seed = 1; seed <= seed_count(); seed++) {
        g_test_message("seed %" G_GUINT64_FORMAT, seed);
        world_init(world, seed);
        world->net.loss = seed % 3 * 150;
        for (unsigned i = 0; i < STEPS; i++)
            step(world);
        settle(world);
        net_finish(&world->net);
    }
    g_free(world);
}

static uint64_t
max_budgeted_out(const struct net *net, const uint64_t *before)
{
    uint64_t max = 0;

    for (size_t i = 0; i < net->count; i++)
        max = MAX(max, net->nodes[i].budgeted_out - before[i]);
    return max;
}

/* During an hour of partition entries are kept; afterwards all nodes converge
 * within the byte budget. */
TEST(hour)
{
    struct world *world = g_new(struct world, 1);
    struct net *net = &world->net;
    uint64_t before[CELLS * NODES];

    world_init(world, 4711);
    settle(world);
    for (size_t i = 0; i < net->count; i++)
        net_set_group(net, i, net->nodes[i].cell >= CELLS / 2);
    for (unsigned i = 0; i < 60; i++) {
        edit(world);
        net_run(net, net->now_us + HOUR_US / 60);
        check_packets(world);
    }
    for (size_t i = 0; i < net->count; i++)
        g_assert_cmpuint(net->nodes[i].core.count, ==, CELLS);
    for (size_t i = 0; i < net->count; i++)
        before[i] = net->nodes[i].budgeted_out;
    heal(world);
    net_run(net, net->now_us + QUIET_US);
    check_converged(world);
    check_bounds(world);
    g_test_message(
        "Maximum sent by a node after the partition: %" G_GUINT64_FORMAT
        " bytes.",
        max_budgeted_out(net, before));
    net_finish(net);
    g_free(world);
}
