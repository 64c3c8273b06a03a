/* Simulates store readers on a simulated clock: how many balancers read the
 * store's latest state, and how soon all balancers apply a new configuration
 * when some restart, freeze or silently lose the store. Stale reads lag by ten
 * seconds, so that only store readers and agents' reports meet the bounds. */
#include <stdlib.h>

#include "base/clock.h"
#include "base/container.h"
#include "lib/harness.h"
#include "relay/admission/admission.h"
#include "relay/relay_fixture.h"
#include "relay/store/store_reader.h"

#define SUITE "/relay/readers_world"
#define MS USEC_PER_MSEC

#define BALANCERS_MAX 240
#define AGENTS_MAX 60
#define VERSIONS_MAX 64

/* Interval of a balancer's frames to a random agent. */
#define TRAFFIC_US (20 * MS)

/* The interval in large data centres, where an agent receives frames of few
 * balancers in a second. */
#define SPARSE_TRAFFIC_US (200 * MS)
#define PINGED_AGENTS 3
#define LATEST_READ_US (4 * MS)
#define STALE_READ_US (10 * USEC_PER_SEC)
#define PEER_US (10 * MS)

/* A silent connection to the store fails after this time. */
#define KEEPALIVE_TIMEOUT_US (3 * USEC_PER_SEC)

/* Bounds for the propagation of a configuration: in large data centres or
 * after a silent loss of the store, and in small ones otherwise. */
#define BOUND_US (6 * USEC_PER_SEC)
#define BOUND_CALM_US (3 * USEC_PER_SEC)

/**
 * struct balancer - a balancer that may become a store reader
 * @version: configuration in force
 * @frozen_until_us: end of its last freeze
 * @partitioned_us: when it last lost the store
 * @partitioned_until_us: when it reaches the store again
 * @peer_query_us: last query of a peer for its configuration
 * @healthy_since_us: start, or end of its last freeze
 * @traffic_us: when it sends the next frame to a random agent
 */
struct balancer {
    struct store_reader reader;
    uint64_t version;
    uint64_t known_us;
    uint64_t frozen_until_us;
    uint64_t partitioned_us;
    uint64_t partitioned_until_us;
    uint64_t peer_query_us;
    uint64_t healthy_since_us;
    uint64_t traffic_us;
};

struct world;

/** struct host - an agent that replies to balancers' pings */
struct host {
    struct admission_out out;
    struct admission admission;
    struct world *world;
};

/** struct size - size of the data centre and interval of its traffic */
struct size {
    unsigned balancers;
    unsigned agents;
    uint64_t traffic_us;
};

static const struct size small = {18, 8, TRAFFIC_US};
static const struct size large = {61, AGENTS_MAX, SPARSE_TRAFFIC_US};
static const struct size very_large = {BALANCERS_MAX, AGENTS_MAX,
                                       SPARSE_TRAFFIC_US};

/**
 * struct world - state of a run
 * @idle: no balancer has callers
 * @starts: how often a balancer became a store reader
 * @committed_us: commit time of each version of the configuration
 * @version: last version committed
 * @worst_us: longest propagation of a version
 * @reader_us: time spent as store reader, over all balancers
 */
struct world {
    struct size size;
    bool idle;
    unsigned starts;
    GRand *rand;
    uint64_t now_us;
    struct balancer balancers[BALANCERS_MAX];
    struct host hosts[AGENTS_MAX];
    uint64_t committed_us[VERSIONS_MAX + 1];
    uint64_t version;
    uint64_t worst_us;
    uint64_t reader_us;
    unsigned latest_calls;
};

static struct addr
balancer_addr(unsigned number)
{
    return (struct addr){0x0a090000 + number, 7720};
}

static bool
is_frozen(const struct world *world, const struct balancer *balancer)
{
    return balancer->frozen_until_us > world->now_us;
}

static unsigned
failures(const struct world *world, const struct balancer *balancer)
{
    return balancer->partitioned_until_us > world->now_us &&
           world->now_us - balancer->partitioned_us > KEEPALIVE_TIMEOUT_US;
}

static void
receive_status(struct admission_out *out, struct addr to,
               const struct frame_status *status)
{
    struct world *world = container_of(out, struct host, out)->world;
    struct balancer *balancer = &world->balancers[to.ip - balancer_addr(0).ip];

    if (is_frozen(world, balancer)) {
        return;
    }
    store_reader_report(&balancer->reader, status->readers, world->now_us);
    if (status->heard.version > balancer->version) {
        store_reader_notify_newer(&balancer->reader, &status->heard,
                                  world->now_us);
    }
}

static void
served(struct admission_out *out, struct addr to,
       const struct frame_served *served)
{
}

static const struct admission_out_ops admission_ops = {
    .notify = receive_status, .served = served};

static void
balancer_start(struct world *world, struct balancer *balancer, unsigned number)
{
    balancer->version = world->version;
    balancer->healthy_since_us = world->now_us;
    store_reader_init(&balancer->reader,
                      g_rand_int(world->rand) + (uint64_t)number,
                      world->now_us);
}

static void
world_init(struct world *world, uint32_t seed, const struct size *size)
{
    world->size = *size;
    world->rand = g_rand_new_with_seed(seed);
    world->now_us = 100 * USEC_PER_SEC;
    world->version = 1;
    world->committed_us[1] = world->now_us;
    for (unsigned i = 0; i < world->size.agents; i++) {
        world->hosts[i].out.ops = &admission_ops;
        world->hosts[i].world = world;
        g_assert_cmpint(admission_init(&world->hosts[i].admission,
                                       &world->hosts[i].out,
                                       (struct addr){0x0a000000 + i, 7000},
                                       "here", "lots", world->now_us),
                        ==, 0);
    }
    for (unsigned i = 0; i < world->size.balancers; i++) {
        balancer_start(world, &world->balancers[i], i);
    }
}

static void
world_finish(struct world *world)
{
    for (unsigned i = 0; i < world->size.agents; i++) {
        admission_finish(&world->hosts[i].admission);
    }
    g_rand_free(world->rand);
}

/* Applies the versions that a read returns, if the balancer reaches the
 * store. */
static void
read_store(struct world *world, struct balancer *balancer)
{
    bool unreachable = balancer->partitioned_until_us > world->now_us;
    bool latest =
        store_reader_next_mode(&balancer->reader, failures(world, balancer),
                               world->now_us) == STORE_READ_LATEST;
    uint64_t age_us = latest ? LATEST_READ_US : STALE_READ_US;

    world->reader_us += latest && !is_frozen(world, balancer) ? MS : 0;
    while (!unreachable && balancer->version < world->version &&
           world->committed_us[balancer->version + 1] + age_us <=
               world->now_us) {
        balancer->version++;
        store_reader_applied(&balancer->reader, balancer->version);
    }
}

static void
query_peer(struct world *world, struct balancer *balancer)
{
    unsigned holder = balancer->reader.newer.holder.ip - balancer_addr(0).ip;
    const struct balancer *peer =
        &world->balancers[holder % world->size.balancers];

    if (!store_reader_needs_peer(&balancer->reader, failures(world, balancer),
                                 world->now_us) ||
        world->now_us - balancer->peer_query_us < 150 * MS ||
        is_frozen(world, peer)) {
        return;
    }
    balancer->peer_query_us = world->now_us;
    balancer->version = MAX(balancer->version, peer->version);
    store_reader_applied(&balancer->reader, balancer->version);
}

static void
ping_host(struct world *world, unsigned number, unsigned host)
{
    struct balancer *balancer = &world->balancers[number];
    struct frame_ping ping = {
        .view = {balancer->version,
                 store_reader_state(&balancer->reader,
                                    failures(world, balancer))},
    };

    admission_handle_ping(&world->hosts[host].admission, balancer_addr(number),
                          &ping, world->now_us);
}

static void
send_traffic(struct world *world, unsigned number)
{
    struct balancer *balancer = &world->balancers[number];

    if (world->idle || world->now_us < balancer->traffic_us) {
        return;
    }
    balancer->traffic_us = world->now_us + world->size.traffic_us;
    ping_host(world, number,
              (unsigned)g_rand_int_range(world->rand, 0,
                                         (gint32)world->size.agents));
}

/* Checks how long a running balancer has lacked the next version. */
static void
check_staleness(struct world *world, struct balancer *balancer,
                uint64_t bound_us)
{
    uint64_t since_us = MAX(world->committed_us[balancer->version + 1],
                            balancer->healthy_since_us);

    if (balancer->version == world->version || is_frozen(world, balancer)) {
        return;
    }
    world->worst_us = MAX(world->worst_us, world->now_us - since_us);
    g_assert_cmpuint(world->now_us - since_us, <=, bound_us);
}

static void
advance_ms(struct world *world, unsigned ms, uint64_t bound_us)
{
    for (unsigned t = 0; t < ms; t++) {
        world->now_us += MS;
        for (unsigned i = 0; i < world->size.balancers; i++) {
            struct balancer *balancer = &world->balancers[i];

            if (is_frozen(world, balancer)) {
                balancer->healthy_since_us = world->now_us;
                continue;
            }
            bool was_reading = balancer->reader.reading;
            bool pings = store_reader_tick(
                &balancer->reader, failures(world, balancer), world->now_us);

            world->starts += balancer->reader.reading && !was_reading;
            if (pings) {
                for (unsigned w = 0; w < PINGED_AGENTS; w++) {
                    ping_host(world, i, w);
                }
            }
            read_store(world, balancer);
            query_peer(world, balancer);
            send_traffic(world, i);
            check_staleness(world, balancer, bound_us);
        }
    }
}

static void
commit(struct world *world)
{
    g_assert_cmpuint(world->version, <, VERSIONS_MAX);
    world->committed_us[++world->version] = world->now_us;
}

static unsigned
count_readers(const struct world *world)
{
    unsigned count = 0;

    for (unsigned i = 0; i < world->size.balancers; i++) {
        count += world->balancers[i].reader.reading;
    }
    return count;
}

static void
fail_readers(struct world *world,
             void (*fail)(struct world *, struct balancer *))
{
    for (unsigned i = 0; i < world->size.balancers; i++) {
        if (world->balancers[i].reader.reading) {
            fail(world, &world->balancers[i]);
        }
    }
}

static void
freeze(struct world *world, struct balancer *balancer)
{
    balancer->frozen_until_us = world->now_us + 4 * USEC_PER_SEC;
}

static void
lose_store(struct world *world, struct balancer *balancer)
{
    balancer->partitioned_us = world->now_us;
    balancer->partitioned_until_us = world->now_us + 9 * USEC_PER_SEC;
}

static void
restart(struct world *world, struct balancer *balancer)
{
    balancer_start(world, balancer, (unsigned)(balancer - world->balancers));
}

TEST_F(world, without_faults_two_or_three_read, 1, &small)
{
    advance_ms(world, 10000, BOUND_CALM_US);
    g_assert_cmpuint(count_readers(world), >=, 2);
    g_assert_cmpuint(count_readers(world), <=, 3);
    world->reader_us = 0;
    advance_ms(world, 20000, BOUND_CALM_US);
    g_assert_cmpuint(world->reader_us, <=, 3 * 20 * USEC_PER_SEC);
}

TEST_F(world, without_callers_at_most_three_read, 5, &small)
{
    world->idle = true;
    advance_ms(world, 10000, BOUND_CALM_US);
    g_assert_cmpuint(count_readers(world), >=, 2);
    g_assert_cmpuint(count_readers(world), <=, 3);
    fail_readers(world, freeze);
    commit(world);
    advance_ms(world, 4000, BOUND_CALM_US);
    world->idle = false;
    advance_ms(world, 10000, BOUND_CALM_US);
    g_assert_cmpuint(count_readers(world), <=, 3);
}

TEST_F(world, a_change_propagates_soon_despite_stale_reads, 2, &small)
{
    advance_ms(world, 3000, BOUND_CALM_US);
    for (unsigned i = 0; i < 10; i++) {
        commit(world);
        advance_ms(world, 700, 800 * MS);
    }
}

TEST_F(world, readers_that_freeze_or_restart_are_replaced, 3, &small)
{
    for (unsigned i = 0; i < 8; i++) {
        advance_ms(world, 3000, BOUND_CALM_US);
        fail_readers(world, i % 2 == 0 ? freeze : restart);
        commit(world);
        advance_ms(world, 4000, BOUND_CALM_US);
        g_assert_cmpuint(count_readers(world), >=, 1);
    }
}

/* The loss is detected only once the readers' own keepalives fail. */
TEST_F(world, all_readers_silently_losing_the_store_stays_in_the_bound, 7,
       &small)
{
    advance_ms(world, 3000, BOUND_CALM_US);
    fail_readers(world, lose_store);
    commit(world);
    advance_ms(world, 12000, BOUND_US);
    /* They were not replaced before they detected the loss. */
    g_assert_cmpuint(world->worst_us, >, 1 * USEC_PER_SEC);
}

/* Without faults readers keep their role: at most @max_starts balancers become
 * readers in 20 s. */
static void
expect_stable_readers(struct world *world, unsigned max_starts)
{
    advance_ms(world, 10000, BOUND_US);
    world->starts = 0;
    for (unsigned s = 0; s < 20; s++) {
        advance_ms(world, 1000, BOUND_US);
        g_assert_cmpuint(count_readers(world), >=, 1);
        g_assert_cmpuint(count_readers(world), <=, 4);
    }
    g_test_message("%u starts", world->starts);
    g_assert_cmpuint(world->starts, <=, max_starts);
}

TEST_F(world, readers_are_stable_in_a_large_data_centre, 11, &large)
{
    expect_stable_readers(world, 3);
}

/* More balancers than an agent tracks. */
TEST_F(world, readers_are_stable_in_a_very_large_data_centre, 12, &very_large)
{
    expect_stable_readers(world, 3);
}

TEST_F(world, a_change_propagates_soon_in_a_large_data_centre, 13, &large)
{
    advance_ms(world, 5000, BOUND_US);
    for (unsigned i = 0; i < 5; i++) {
        fail_readers(world, i % 2 == 0 ? freeze : restart);
        commit(world);
        advance_ms(world, 4000, BOUND_US);
    }
}

static void
inject_fault(struct world *world)
{
    struct balancer *balancer = &world->balancers[g_rand_int_range(
        world->rand, 0, (gint32)world->size.balancers)];

    switch (g_rand_int_range(world->rand, 0, 4)) {
    case 0:
        freeze(world, balancer);
        break;
    case 1:
        lose_store(world, balancer);
        break;
    case 2:
        restart(world, balancer);
        break;
    default:
        if (world->version < VERSIONS_MAX) {
            commit(world);
        }
    }
}

static void
run_all_faults(uint32_t seed)
{
    struct world world = {0};

    world_init(&world, seed, &small);
    for (unsigned i = 0; i < 60; i++) {
        advance_ms(&world, 200, BOUND_US);
        inject_fault(&world);
        world.idle = i / 20 == 1;
    }
    advance_ms(&world, 15000, BOUND_US);
    g_assert_cmpuint(count_readers(&world), >=, 1);
    g_assert_cmpuint(count_readers(&world), <=, 4);
    world_finish(&world);
}

/* Default number of seeds; READERS_SEEDS=N runs others. */
#define SEEDS 60

TEST(all_faults_together)
{
    const char *text = g_getenv("READERS_SEEDS");
    uint32_t seeds = text != NULL ? (uint32_t)strtoul(text, NULL, 10) : SEEDS;

    for (uint32_t seed = 1; seed <= seeds; seed++) {
        g_test_message("seed %u", seed);
        run_all_faults(seed);
    }
}

/* Guards against a balancer without the store that queries only one peer for
 * the newer configuration, which is frozen. */
TEST(regressions)
{
    run_all_faults(552);
}
