/*
 * Random scenarios with freezes, kills, joins, leaves, partitions and loss: no
 * false death, no version or incarnation that decreases, and convergence. A
 * failure prints its seed and the shortest prefix that fails.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/hash.h"
#include "net.h"
#include "lib/harness.h"

#define SUITE "/member-net"
#define STEP_US (250 * USEC_PER_MSEC)
#define QUIET_US (60 * USEC_PER_SEC)
#define OPS_MAX 24
#define PART_US (40 * USEC_PER_SEC)
#define FREEZE_MAX_US (5 * USEC_PER_SEC)
#ifndef SEEDS_EACH
#define SEEDS_EACH 12
#endif

enum op_type {
    OP_FREEZE,
    OP_KILL,
    OP_LOSE,
    OP_JOIN,
    OP_LEAVE,
    OP_PUBLISH,
    OP_PARTITION,
    OP_TYPES
};

static const char *const op_names[OP_TYPES] = {
    "freeze", "kill", "lose", "join", "leave", "publish", "partition",
};

struct op {
    enum op_type type;
    size_t node;
    uint64_t arg;
    uint64_t wait_us;
};

struct scenario {
    uint64_t seed;
    size_t nodes;
    unsigned loss;
    bool partitions;
    struct op ops[OPS_MAX];
    size_t op_count;
};

struct checker {
    struct net net;
    uint64_t *incarnations; /* last ones, by observer and member */
    uint64_t *versions;
    uint64_t version;
    uint64_t false_deaths;
    char failure[256];
};

static void
make_scenario(struct scenario *scenario, uint64_t seed, unsigned loss,
              bool partitions)
{
    struct random random = {.state = seed};

    memset(scenario, 0, sizeof(*scenario));
    scenario->seed = seed;
    scenario->nodes = random_between(&random, 10, 50);
    scenario->loss = loss;
    scenario->partitions = partitions;
    scenario->op_count = random_between(&random, 8, OPS_MAX);
    for (size_t i = 0; i < scenario->op_count; i++) {
        struct op *op = &scenario->ops[i];

        op->type = random_below(&random, partitions ? OP_TYPES : OP_PARTITION);
        op->node = random_below(&random, scenario->nodes);
        op->arg = random_next(&random);
        op->wait_us = random_below(&random, 6 * USEC_PER_SEC);
    }
}

static void
record_failure(struct checker *check, const char *what, size_t i, size_t j)
{
    if (check->failure[0] != '\0')
        return;
    snprintf(check->failure, sizeof(check->failure),
             "%s: node %zu about node %zu at %" PRIu64 " ms", what, i, j,
             check->net.now_us / 1000);
}

static void
check_pair(struct checker *check, const struct scenario *scenario, size_t i,
           size_t j)
{
    struct net *net = &check->net;
    uint64_t *last = &check->incarnations[i * net->count + j];
    const struct member_entry *entry =
        member_find(&net->nodes[i].members, hash_name(net->nodes[j].name));

    if (entry == NULL)
        return;
    if (entry->member.incarnation < *last)
        record_failure(check, "incarnation decreased", i, j);
    *last = entry->member.incarnation;
    if (net->nodes[j].running && entry->start == net->nodes[j].start &&
        entry->member.health == MEMBER_DEAD && !scenario->partitions) {
        check->false_deaths++;
        record_failure(check, "a live process was declared dead", i, j);
    }
}

static void
check_all(struct checker *check, const struct scenario *scenario)
{
    struct net *net = &check->net;

    for (size_t i = 0; i < net->count; i++) {
        const struct net_node *node = &net->nodes[i];

        if (!node->running)
            continue;
        if (node->config.have < check->versions[i])
            record_failure(check, "configuration version decreased", i, i);
        check->versions[i] = node->config.have;
        if (node->largest > MEMBER_DATAGRAM_MAX)
            record_failure(check, "datagram too large", i, i);
        for (size_t j = 0; j < net->count; j++)
            check_pair(check, scenario, i, j);
    }
}

static void
run_checked(struct checker *check, const struct scenario *scenario,
            uint64_t for_us)
{
    for (uint64_t run = 0; run < for_us; run += STEP_US) {
        net_run(&check->net, STEP_US);
        check_all(check, scenario);
    }
}

static void
reset_observer(struct checker *check, size_t i)
{
    check->versions[i] = 0;
    memset(&check->incarnations[i * check->net.count], 0,
           check->net.count * sizeof(check->incarnations[0]));
}

static size_t
any_running(const struct net *net, size_t except)
{
    for (size_t i = 0; i < net->count; i++) {
        if (i != except && net->nodes[i].running)
            return i;
    }
    return SIZE_MAX;
}

static void
run_op(struct checker *check, const struct scenario *scenario,
       const struct op *op)
{
    struct net *net = &check->net;
    bool running = net->nodes[op->node].running;
    bool others = any_running(net, op->node) != SIZE_MAX;

    switch (op->type) {
    case OP_FREEZE:
        if (running)
            net_freeze(net, op->node, op->arg % FREEZE_MAX_US);
        break;
    case OP_KILL:
    case OP_LOSE:
        if (running && others)
            net_kill(net, op->node, op->type == OP_KILL);
        break;
    case OP_JOIN:
        if (!running) {
            reset_observer(check, op->node);
            net_start(net, op->node, any_running(net, op->node));
        }
        break;
    case OP_LEAVE:
        if (running && others)
            net_leave(net, op->node);
        break;
    case OP_PUBLISH:
        if (running)
            net_publish(net, op->node, ++check->version);
        break;
    case OP_PARTITION:
        for (size_t i = 0; i < net->count; i++)
            net->nodes[i].group = (op->arg >> (i % 64)) & 1;
        run_checked(check, scenario, PART_US);
        for (size_t i = 0; i < net->count; i++)
            net->nodes[i].group = 0;
        break;
    default:
        g_assert_not_reached();
    }
}

static void
check_end(struct checker *check)
{
    struct net *net = &check->net;

    for (size_t i = 0; i < net->count; i++) {
        if (!net->nodes[i].running)
            continue;
        if (net->nodes[i].config.have < check->version &&
            net->nodes[any_running(net, SIZE_MAX)].config.have >
                net->nodes[i].config.have)
            record_failure(check, "configuration did not arrive", i, i);
        for (size_t j = 0; j < net->count; j++) {
            enum member_health want =
                net->nodes[j].running ? MEMBER_ALIVE : MEMBER_DEAD;

            if (net_health(net, i, j) != want)
                record_failure(check, "views did not converge", i, j);
        }
    }
}

/* Runs the first @ops of the scenario; @failure is empty on success. */
static uint64_t
run(const struct scenario *scenario, size_t ops, char *failure, size_t size)
{
    struct checker check = {0};
    uint64_t false_deaths;

    net_init(&check.net, scenario->nodes, scenario->seed);
    check.incarnations = g_new0(uint64_t, scenario->nodes * scenario->nodes);
    check.versions = g_new0(uint64_t, scenario->nodes);
    for (size_t i = 0; i < scenario->nodes; i++)
        net_start(&check.net, i, 0);
    run_checked(&check, scenario, 30 * USEC_PER_SEC);
    if (!net_agrees(&check.net))
        record_failure(&check, "the start did not converge", 0, 0);
    check.net.loss = scenario->loss;
    for (size_t i = 0; i < ops && check.failure[0] == '\0'; i++) {
        run_op(&check, scenario, &scenario->ops[i]);
        run_checked(&check, scenario, scenario->ops[i].wait_us);
    }
    check.net.loss = 0;
    if (check.failure[0] == '\0') {
        run_checked(&check, scenario, QUIET_US);
        check_end(&check);
    }
    g_strlcpy(failure, check.failure, size);
    false_deaths = check.false_deaths;
    net_finish(&check.net);
    g_free(check.incarnations);
    g_free(check.versions);
    return false_deaths;
}

static void
report(const struct scenario *scenario, const char *failure)
{
    char shorter[256];
    size_t ops = 0;

    for (; ops < scenario->op_count; ops++) {
        run(scenario, ops, shorter, sizeof(shorter));
        if (shorter[0] != '\0')
            break;
    }
    g_printerr("# seed %" PRIu64 ", %zu nodes, loss %u: %s\n", scenario->seed,
               scenario->nodes, scenario->loss, failure);
    for (size_t i = 0; i < ops; i++)
        g_printerr("#   %s node %zu arg %" PRIu64 ", then %" PRIu64 " ms\n",
                   op_names[scenario->ops[i].type], scenario->ops[i].node,
                   scenario->ops[i].arg, scenario->ops[i].wait_us / 1000);
}

static void
run_seed(uint64_t seed, unsigned loss, bool partitions)
{
    struct scenario scenario;
    char failure[256];

    make_scenario(&scenario, seed, loss, partitions);
    run(&scenario, scenario.op_count, failure, sizeof(failure));
    if (failure[0] == '\0')
        return;
    report(&scenario, failure);
    g_test_fail();
}

static void
run_seeds(uint64_t first, unsigned loss, bool partitions)
{
    for (uint64_t seed = first; seed < first + SEEDS_EACH; seed++)
        run_seed(seed, loss, partitions);
}

TEST(freezes_and_kills)
{
    run_seeds(1000, 0, false);
}

TEST(loss)
{
    run_seeds(2000, 300, false);
}

TEST(partitions)
{
    run_seeds(3000, 50, true);
}

/* An ACK repeats a refutation to a member that missed it, also when it is no
 * longer pending. */
TEST(refutation_repeated)
{
    static const uint64_t seeds[] = {3023, 3121, 3144};

    for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++)
        run_seed(seeds[i], 50, true);
}

static void
start_all(struct net *net)
{
    for (size_t i = 0; i < net->count; i++)
        net_start(net, i, 0);
    net_run(net, 30 * USEC_PER_SEC);
}

/* A member frozen for 30 s is declared dead, then returns with a higher
 * incarnation of the same start. */
TEST_F(net, long_freeze, 20, 8)
{
    const struct member_entry *entry;

    start_all(net);
    net_freeze(net, 7, 30 * USEC_PER_SEC);
    net_run(net, 25 * USEC_PER_SEC);
    for (size_t i = 0; i < 20; i++) {
        if (i != 7)
            g_assert_cmpint(net_health(net, i, 7), ==, MEMBER_DEAD);
    }
    net_run(net, 25 * USEC_PER_SEC);
    g_assert_true(net_agrees(net));
    entry = member_find(&net->nodes[0].members, hash_name(net->nodes[7].name));
    g_assert_cmpuint(entry->start, ==, net->nodes[7].start);
    g_assert_cmpuint(entry->member.incarnation, >, entry->start);
    /* It suspected no other member, although it received nothing for 30 s. */
    g_assert_cmpuint(net->nodes[7].members.stats.deaths, ==, 0);
    g_assert_cmpuint(net->nodes[7].members.stats.suspicions, ==, 0);
}

/* Indirect probes keep two members alive that can't reach each other. */
TEST_F(net, indirect_probes, 20, 9)
{
    uint64_t suspicions = 0;

    start_all(net);
    net->nodes[3].blocked_from = 4;
    net->nodes[4].blocked_from = 3;
    for (unsigned s = 0; s < 120; s++) {
        net_run(net, USEC_PER_SEC);
        g_assert_true(net_agrees(net));
    }
    for (size_t i = 0; i < 20; i++)
        suspicions += net->nodes[i].members.stats.suspicions;
    g_assert_cmpuint(suspicions, ==, 0);
    g_assert_cmpuint(net->nodes[3].members.stats.failed_probes, ==, 0);
}

/* A process whose timers run late starts no suspicion. */
TEST_F(net, late_timers, 10, 10)
{
    uint64_t suspicions = 0;

    start_all(net);
    for (unsigned i = 0; i < 20; i++) {
        /* The ACKs arrive while it is frozen. */
        while (!net->nodes[2].members.probes[0].active)
            net_run(net, USEC_PER_MSEC);
        net_freeze(net, 2, 700 * USEC_PER_MSEC);
        net_run(net, USEC_PER_SEC);
        suspicions += net->nodes[2].members.stats.suspicions;
    }
    g_assert_cmpuint(suspicions, ==, 0);
    g_assert_cmpuint(net->nodes[2].members.stats.late_periods, >=, 20);
}

/* A host that fails is suspected everywhere within 2 s. */
TEST(time_to_suspect)
{
    enum { NODES = 40, TRIALS = 20 };
    uint64_t longest = 0;
    struct net net;

    net_init(&net, NODES, 42);
    for (size_t i = 0; i < NODES; i++)
        net_start(&net, i, 0);
    net_run(&net, 30 * USEC_PER_SEC);
    for (size_t victim = 1; victim <= TRIALS; victim++) {
        uint64_t begin = net.now_us;
        bool all = false;

        net_kill(&net, victim, false);
        while (!all) {
            net_run(&net, 20 * USEC_PER_MSEC);
            all = true;
            for (size_t i = 0; i < NODES; i++)
                all &= !net.nodes[i].running ||
                       net_health(&net, i, victim) != MEMBER_ALIVE;
        }
        longest = MAX(longest, net.now_us - begin);
        net_run(&net, 20 * USEC_PER_SEC);
        net_start(&net, victim, 0);
        net_run(&net, 20 * USEC_PER_SEC);
    }
    g_test_message("suspected by all within %" PRIu64 " ms", longest / 1000);
    g_assert_cmpuint(longest, <, 2 * USEC_PER_SEC);
    net_finish(&net);
}

/* Bytes per second that an idle node of a cell sends. */
static uint64_t
idle_bytes(size_t nodes)
{
    uint64_t before = 0;
    uint64_t after = 0;
    struct net net;

    net_init(&net, nodes, 7);
    for (size_t i = 0; i < nodes; i++)
        net_start(&net, i, 0);
    net_run(&net, 60 * USEC_PER_SEC);
    for (size_t i = 0; i < nodes; i++)
        before += net.nodes[i].bytes_out + net.nodes[i].stream_bytes_out;
    net_run(&net, 60 * USEC_PER_SEC);
    for (size_t i = 0; i < nodes; i++)
        after += net.nodes[i].bytes_out + net.nodes[i].stream_bytes_out;
    net_finish(&net);
    return (after - before) / nodes / 60;
}

TEST(idle_bytes_independent_of_size)
{
    uint64_t small = idle_bytes(10);
    uint64_t large = idle_bytes(50);

    g_test_message("idle bytes per second: %" PRIu64 " at 10, %" PRIu64
                   " at 50",
                   small, large);
    g_assert_cmpuint(large, <, small + small / 10);
    g_assert_cmpuint(large, <, 1200);
}
