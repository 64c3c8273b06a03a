#include "idem/state.h"
#include "scene.h"

/* Nodes of the set of now for @key, as node @observer sees it. */
static size_t
replicas_of(const struct sim *sim, unsigned observer, unsigned key,
            unsigned nodes[IDEM_REPLICAS])
{
    struct idem_key id = sim_key(key);
    struct replica_set set;

    replicas_at(&sim->nodes[observer].idem->replicas, &id,
                (int64_t)sim->now_us, &set);
    for (size_t i = 0; i < set.count; i++) {
        for (unsigned j = 0; j < SIM_NODES; j++) {
            if (sim_id(j) == set.lives[i]->id) {
                nodes[i] = j;
            }
        }
    }
    return set.count;
}

static unsigned
other_than(const unsigned nodes[IDEM_REPLICAS], unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        if (i != nodes[0] && i != nodes[1] && i != nodes[2]) {
            return i;
        }
    }
    g_assert_not_reached();
}

static void
test_retry(void)
{
    struct sim sim;

    scene_start(&sim, 5);
    g_assert_cmpint(scene_ask(&sim, 0, 1), ==, IDEM_PROCEED);
    for (unsigned i = 0; i < 5; i++) {
        g_assert_cmpint(scene_ask(&sim, i, 1), ==, IDEM_IN_PROGRESS);
    }
    sim_end(&sim, 1, false, IDEM_DONE);
    sim_advance(&sim, USEC_PER_SEC);
    for (unsigned i = 0; i < 5; i++) {
        g_assert_cmpint(scene_ask(&sim, i, 1), ==, IDEM_REPLAY);
    }
    scene_run(&sim, 3, 2, IDEM_UNKNOWN);
    for (unsigned i = 0; i < 5; i++) {
        g_assert_cmpint(scene_ask(&sim, i, 2), ==, IDEM_OUTCOME_UNKNOWN);
    }
    scene_finish(&sim);
}

static void
test_not_run_frees(void)
{
    struct sim sim;

    scene_start(&sim, 5);
    g_assert_cmpint(scene_ask(&sim, 0, 1), ==, IDEM_PROCEED);
    sim_end(&sim, 1, true, IDEM_UNKNOWN);
    sim_advance(&sim, 20 * SIM_MSEC);
    g_assert_cmpint(scene_ask(&sim, 4, 1), ==, IDEM_PROCEED);
    scene_finish(&sim);
}

static void
test_mismatch(void)
{
    struct idem_actions out = {0};
    struct idem_key key = sim_key(1);
    struct sim sim;

    scene_start(&sim, 5);
    scene_run(&sim, 0, 1, IDEM_DONE);
    key.fingerprint++;
    g_assert_cmpint(idem_begin(sim.nodes[0].idem, 99, &key, sim.now_us, &out),
                    ==, 0);
    g_assert_cmpuint(out.count, ==, 1);
    g_assert_cmpint(out.items[0].type, ==, IDEM_MISMATCH);
    idem_actions_finish(&out);
    scene_finish(&sim);
}

static void
test_no_quorum(void)
{
    struct sim sim;

    scene_start(&sim, 5);
    for (unsigned i = 1; i < 5; i++) {
        sim_cut(&sim, 0, i, 2 * USEC_PER_SEC);
    }
    g_assert_cmpint(scene_ask(&sim, 0, 1), ==, IDEM_REFUSE);
    g_assert_cmpint(scene_reason(&sim), ==, IDEM_REASON_QUORUM);
    sim_advance(&sim, 5 * USEC_PER_SEC);
    g_assert_cmpint(scene_ask(&sim, 1, 1), ==, IDEM_PROCEED);
    scene_finish(&sim);
}

/* Who ran it is dead: nobody may run it again, ever. */
static void
test_owner_dead(void)
{
    struct sim sim;

    scene_start(&sim, 5);
    g_assert_cmpint(scene_ask(&sim, 0, 1), ==, IDEM_PROCEED);
    sim_crash(&sim, 0, false);
    g_assert_cmpint(scene_ask(&sim, 1, 1), ==, IDEM_IN_PROGRESS);
    sim_advance(&sim, 10 * USEC_PER_SEC);
    g_assert_cmpint(scene_ask(&sim, 1, 1), ==, IDEM_OUTCOME_UNKNOWN);
    g_assert_cmpint(scene_reason(&sim), ==, IDEM_REASON_OWNER_GONE);
    sim_start(&sim, 0);
    sim_advance(&sim, 120 * USEC_PER_SEC);
    for (unsigned i = 0; i < 5; i++) {
        g_assert_cmpint(scene_ask(&sim, i, 1), ==, IDEM_OUTCOME_UNKNOWN);
    }
    scene_finish(&sim);
}

/* A frozen coordinator holds a reservation at one replica, the other two
 * let another run. Its return must not take that one's records along. */
static void
test_two_reservations(void)
{
    unsigned at[IDEM_REPLICAS];
    unsigned frozen;
    unsigned runner;
    struct sim sim;

    scene_start(&sim, 6);
    g_assert_cmpuint(replicas_of(&sim, 0, 1, at), ==, 3);
    frozen = other_than(at, 6);
    runner = at[0];
    sim_cut(&sim, frozen, at[0], USEC_PER_SEC);
    sim_cut(&sim, frozen, at[1], USEC_PER_SEC);
    sim_cut(&sim, runner, at[2], 10 * USEC_PER_SEC);
    (void)sim_begin(&sim, frozen, 1);
    sim_advance(&sim, 10 * SIM_MSEC);
    sim_freeze(&sim, frozen);
    g_assert_cmpint(scene_ask(&sim, runner, 1), ==, IDEM_PROCEED);
    sim_advance(&sim, 12 * USEC_PER_SEC);
    sim_thaw(&sim, frozen);
    sim_advance(&sim, 30 * USEC_PER_SEC);
    for (unsigned i = 0; i < 6; i++) {
        g_assert_cmpint(scene_ask(&sim, i, 1), ==, IDEM_IN_PROGRESS);
    }
    sim_end(&sim, 2, false, IDEM_DONE);
    sim_advance(&sim, 5 * USEC_PER_SEC);
    for (unsigned i = 0; i < 6; i++) {
        g_assert_cmpint(scene_ask(&sim, i, 1), ==, IDEM_REPLAY);
    }
    scene_finish(&sim);
}

/* How many of the replicas of all keys are nodes from @first on. */
static unsigned
count_from(const struct sim *sim, unsigned first)
{
    unsigned count = 0;

    for (unsigned key = 0; key < 100; key++) {
        unsigned at[IDEM_REPLICAS];
        size_t found = replicas_of(sim, 0, key, at);

        for (size_t i = 0; i < found; i++) {
            count += at[i] >= first;
        }
    }
    return count;
}

/* Newcomers get the records first, and have a say afterwards. */
static void
test_settle(void)
{
    struct sim sim;

    scene_start(&sim, 4);
    for (unsigned i = 4; i < 8; i++) {
        sim_start(&sim, i);
    }
    sim_advance(&sim, IDEM_SETTLE_US - USEC_PER_SEC);
    g_assert_cmpuint(count_from(&sim, 4), ==, 0);
    sim_advance(&sim, 3 * USEC_PER_SEC);
    g_assert_cmpuint(count_from(&sim, 4), >, 100);
    scene_finish(&sim);
}

/* A node that others may have taken for dead needs both other replicas. */
static void
test_return(void)
{
    unsigned at[IDEM_REPLICAS];
    unsigned others[IDEM_REPLICAS];
    struct sim sim;

    scene_start(&sim, 5);
    g_assert_cmpuint(replicas_of(&sim, 0, 1, at), ==, 3);
    sim_freeze(&sim, at[0]);
    sim_advance(&sim, 6 * USEC_PER_SEC);
    sim_thaw(&sim, at[0]);
    sim_advance(&sim, IDEM_START_US + USEC_PER_SEC);
    g_assert_cmpuint(replicas_of(&sim, at[1], 1, others), ==, 3);
    for (size_t i = 0; i < IDEM_REPLICAS; i++) {
        g_assert_cmpuint(others[i], !=, at[0]);
    }
    sim_cut(&sim, at[0], at[1], 5 * USEC_PER_SEC);
    g_assert_cmpint(scene_ask(&sim, at[0], 1), ==, IDEM_REFUSE);
    g_assert_cmpint(scene_ask(&sim, at[1], 1), ==, IDEM_PROCEED);
    scene_finish(&sim);
}

/* Another member says that this process's own open request was not run: it
 * can't know. */
static void
test_foreign_release(void)
{
    struct idem_actions out = {0};
    struct idem_msg msg = {.type = IDEM_MSG_RELEASE, .key = sim_key(1)};
    uint64_t token;
    struct sim sim;

    scene_start(&sim, 5);
    token = sim_begin(&sim, 0, 1);
    msg.owner = sim_id(0);
    msg.token = record_find(&sim.nodes[0].idem->records, &msg.key)->token;
    g_assert_cmpint(
        idem_receive(sim.nodes[0].idem, sim_id(1), &msg, sim.now_us, &out), ==,
        0);
    g_assert_cmpuint(out.count, ==, 0);
    sim_advance(&sim, USEC_PER_SEC);
    g_assert_cmpint(sim_request(&sim, token)->verdict, ==, IDEM_PROCEED);
    idem_actions_finish(&out);
    scene_finish(&sim);
}

/* Grants that waited in a paused coordinator's sockets are stale. */
static void
test_paused_coordinator(void)
{
    uint64_t token;
    struct sim sim;

    scene_start(&sim, 5);
    token = sim_begin(&sim, 0, 1);
    sim_freeze(&sim, 0);
    sim_advance(&sim, USEC_PER_SEC);
    sim_thaw(&sim, 0);
    sim_advance(&sim, USEC_PER_SEC);
    g_assert_cmpint(sim_request(&sim, token)->verdict, ==, IDEM_REFUSE);
    g_assert_cmpint(scene_ask(&sim, 1, 1), ==, IDEM_PROCEED);
    scene_finish(&sim);
}

/* While a service starts, views differ too much to pick replicas. */
static void
test_start(void)
{
    struct sim sim;

    sim_init(&sim, 7, scene_net);
    for (unsigned i = 0; i < 5; i++) {
        sim_start(&sim, i);
    }
    sim_advance(&sim, USEC_PER_SEC);
    g_assert_cmpint(scene_ask(&sim, 0, 1), ==, IDEM_REFUSE);
    sim_advance(&sim, IDEM_START_US);
    g_assert_cmpint(scene_ask(&sim, 0, 1), ==, IDEM_PROCEED);
    sim_start(&sim, 5);
    sim_advance(&sim, USEC_PER_SEC);
    g_assert_cmpint(scene_ask(&sim, 5, 2), ==, IDEM_REFUSE);
    scene_finish(&sim);
}

/* In a service that has just started one of the three oldest leaves, another
 * can't be reached: the third alone must not decide with a newcomer. */
static void
test_leave_at_start(void)
{
    unsigned at[IDEM_REPLICAS];
    struct sim sim;

    sim_init(&sim, 7, scene_net);
    for (unsigned i = 0; i < 5; i++) {
        sim_start(&sim, i);
    }
    sim_advance(&sim, USEC_PER_SEC + IDEM_START_US);
    g_assert_cmpuint(replicas_of(&sim, 0, 1, at), ==, 3);
    for (unsigned i = 0; i < 5; i++) {
        if (i != at[0] && i != at[1]) {
            sim_cut(&sim, at[0], i, 4 * USEC_PER_SEC);
        }
    }
    g_assert_cmpint(scene_ask(&sim, at[0], 1), ==, IDEM_PROCEED);
    sim_leave(&sim, at[1]);
    sim_advance(&sim, 50 * SIM_MSEC);
    g_assert_cmpint(scene_ask(&sim, other_than(at, 5), 1), ==,
                    IDEM_IN_PROGRESS);
    scene_finish(&sim);
}

/* The same with one that restarts, before the others learn of it: what it
 * grants says nothing. */
static void
test_restart_at_start(void)
{
    unsigned at[IDEM_REPLICAS];
    unsigned other;
    struct sim sim;

    sim_init(&sim, 7, scene_net);
    for (unsigned i = 0; i < 5; i++) {
        sim_start(&sim, i);
    }
    sim_advance(&sim, USEC_PER_SEC + IDEM_START_US);
    g_assert_cmpuint(replicas_of(&sim, 0, 1, at), ==, 3);
    other = other_than(at, 5);
    sim.no_sync = true;
    sim.net.skew_us = 60 * USEC_PER_SEC;
    sim_crash(&sim, at[1], true);
    sim_start(&sim, at[1]);
    sim_advance(&sim, USEC_PER_SEC);
    sim_cut(&sim, other, at[0], 4 * USEC_PER_SEC);
    g_assert_cmpint(scene_ask(&sim, other, 1), ==, IDEM_REFUSE);
    scene_finish(&sim);
}

/* Five are cut into two and three: only the three go on, for a minute. */
static void
test_cut(void)
{
    struct sim sim;

    scene_start(&sim, 5);
    sim.no_sync = true;
    for (unsigned i = 0; i < 2; i++) {
        for (unsigned j = 2; j < 5; j++) {
            sim_cut(&sim, i, j, 3600 * USEC_PER_SEC);
            sim_see(&sim, i, j, MEMBER_DEAD);
            sim_see(&sim, j, i, MEMBER_DEAD);
        }
    }
    for (unsigned key = 1; key < SIM_KEYS; key++) {
        g_assert_cmpint(scene_ask(&sim, key % 2, key), ==, IDEM_REFUSE);
    }
    sim_advance(&sim, IDEM_SETTLE_US);
    for (unsigned key = 1; key < SIM_KEYS; key++) {
        g_assert_cmpint(scene_ask(&sim, key % 2, key), ==, IDEM_REFUSE);
        g_assert_cmpint(scene_ask(&sim, 2 + key % 3, key), ==, IDEM_PROCEED);
    }
    sim_advance(&sim, 60 * USEC_PER_SEC);
    g_assert_cmpint(scene_ask(&sim, 0, 0), ==, IDEM_PROCEED);
    scene_finish(&sim);
}

/* All three replicas die at once. The coordinator still knows, nobody runs
 * it again before it has told the new ones. */
static void
test_all_replicas_dead(void)
{
    unsigned at[IDEM_REPLICAS];
    unsigned owner;
    struct sim sim;

    scene_start(&sim, 8);
    g_assert_cmpuint(replicas_of(&sim, 0, 1, at), ==, 3);
    owner = other_than(at, 8);
    scene_run(&sim, owner, 1, IDEM_DONE);
    for (unsigned i = 0; i < 8; i++) {
        sim_cut(&sim, owner, i, i != owner ? 4 * USEC_PER_SEC : 0);
    }
    for (unsigned i = 0; i < IDEM_REPLICAS; i++) {
        sim_crash(&sim, at[i], true);
    }
    for (unsigned i = 0; i < 8; i++) {
        if (sim.nodes[i].up && i != owner) {
            g_assert_cmpint(scene_ask(&sim, i, 1), ==, IDEM_REFUSE);
            g_assert_cmpint(scene_reason(&sim), ==, IDEM_REASON_LOST);
        }
    }
    sim_advance(&sim, 15 * USEC_PER_SEC);
    for (unsigned i = 0; i < 8; i++) {
        if (sim.nodes[i].up) {
            g_assert_cmpint(scene_ask(&sim, i, 1), ==, IDEM_REPLAY);
        }
    }
    scene_finish(&sim);
}

/* The owner dies before it told all replicas how it ended: those who know
 * tell the others. */
static void
test_unfinished_round(void)
{
    unsigned at[IDEM_REPLICAS];
    unsigned owner;
    struct sim sim;

    scene_start(&sim, 6);
    g_assert_cmpuint(replicas_of(&sim, 0, 1, at), ==, 3);
    owner = other_than(at, 6);
    g_assert_cmpint(scene_ask(&sim, owner, 1), ==, IDEM_PROCEED);
    sim_cut(&sim, owner, at[1], 4 * USEC_PER_SEC);
    sim_cut(&sim, owner, at[2], 4 * USEC_PER_SEC);
    sim_end(&sim, 1, false, IDEM_DONE);
    sim_advance(&sim, USEC_PER_SEC);
    sim_crash(&sim, owner, true);
    sim_advance(&sim, 20 * USEC_PER_SEC);
    sim_crash(&sim, at[0], true);
    sim_advance(&sim, 20 * USEC_PER_SEC);
    g_assert_cmpint(scene_ask(&sim, at[2], 1), ==, IDEM_REPLAY);
    scene_finish(&sim);
}

/* Every process is replaced in turn, each one as soon as the last has
 * handed on its records and its successor is there. */
static void
test_rolling_restart(void)
{
    struct sim sim;

    scene_start(&sim, 5);
    scene_run(&sim, 0, 1, IDEM_DONE);
    g_assert_cmpint(scene_ask(&sim, 0, 2), ==, IDEM_PROCEED);
    sim_end(&sim, sim.requests->len, false, IDEM_UNKNOWN);
    for (unsigned i = 0; i < 5; i++) {
        sim_leave(&sim, i);
        sim_advance(&sim, 100 * SIM_MSEC);
        for (unsigned j = 0; j < 100 && idem_unpushed(sim.nodes[i].idem);
             j++) {
            sim_advance(&sim, 100 * SIM_MSEC);
        }
        g_assert_cmpuint(idem_unpushed(sim.nodes[i].idem), ==, 0);
        sim_crash(&sim, i, true);
        sim_start(&sim, i);
        sim_advance(&sim, 12 * USEC_PER_SEC);
        g_assert_cmpint(scene_ask(&sim, (i + 1) % 5, 1), ==, IDEM_REPLAY);
        g_assert_cmpint(scene_ask(&sim, i, 2), ==, IDEM_OUTCOME_UNKNOWN);
    }
    scene_finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/idem/retry", test_retry);
    g_test_add_func("/idem/not-run-frees", test_not_run_frees);
    g_test_add_func("/idem/mismatch", test_mismatch);
    g_test_add_func("/idem/no-quorum", test_no_quorum);
    g_test_add_func("/idem/owner-dead", test_owner_dead);
    g_test_add_func("/idem/two-reservations", test_two_reservations);
    g_test_add_func("/idem/settle", test_settle);
    g_test_add_func("/idem/return", test_return);
    g_test_add_func("/idem/paused-coordinator", test_paused_coordinator);
    g_test_add_func("/idem/foreign-release", test_foreign_release);
    g_test_add_func("/idem/start", test_start);
    g_test_add_func("/idem/leave-at-start", test_leave_at_start);
    g_test_add_func("/idem/restart-at-start", test_restart_at_start);
    g_test_add_func("/idem/cut", test_cut);
    g_test_add_func("/idem/all-replicas-dead", test_all_replicas_dead);
    g_test_add_func("/idem/unfinished-round", test_unfinished_round);
    g_test_add_func("/idem/rolling-restart", test_rolling_restart);
    return g_test_run();
}
