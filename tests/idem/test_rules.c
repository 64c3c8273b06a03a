#include "scene.h"

#define SUITE "/idem"

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
            if (sim_id(j) == set.sessions[i]->id) {
                nodes[i] = j;
            }
        }
    }
    return set.count;
}

/* The replicas of key 1, of which there must be all. */
static void
find_replicas(const struct sim *sim, unsigned observer,
              unsigned nodes[IDEM_REPLICAS])
{
    g_assert_cmpuint(replicas_of(sim, observer, 1, nodes), ==, 3);
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

SCENE(retry, 5, SCENE_ELIGIBLE_US)
{
    EXPECT(0, 1, IDEM_PROCEED);
    EXPECT_ALL(1, IDEM_IN_PROGRESS);
    sim_end(sim, 1, false, IDEM_DONE);
    sim_advance(sim, USEC_PER_SEC);
    EXPECT_ALL(1, IDEM_REPLAY);
    scene_run(sim, 3, 2, IDEM_UNKNOWN);
    EXPECT_ALL(2, IDEM_OUTCOME_UNKNOWN);
}

SCENE(not_run_frees, 5, SCENE_ELIGIBLE_US)
{
    EXPECT(0, 1, IDEM_PROCEED);
    sim_end(sim, 1, true, IDEM_UNKNOWN);
    sim_advance(sim, 20 * SIM_MSEC);
    EXPECT(4, 1, IDEM_PROCEED);
}

SCENE(mismatch, 5, SCENE_ELIGIBLE_US)
{
    struct idem_actions out = {0};
    struct idem_key key = sim_key(1);

    scene_run(sim, 0, 1, IDEM_DONE);
    key.fingerprint++;
    g_assert_cmpint(
        idem_begin(sim->nodes[0].idem, 99, &key, sim->now_us, &out), ==, 0);
    g_assert_cmpuint(out.count, ==, 1);
    g_assert_cmpint(out.items[0].type, ==, IDEM_MISMATCH);
    idem_actions_finish(&out);
}

SCENE(no_quorum, 5, SCENE_ELIGIBLE_US)
{
    for (unsigned i = 1; i < 5; i++) {
        sim_partition(sim, 0, i, 2 * USEC_PER_SEC);
    }
    EXPECT_REASON(0, 1, IDEM_REFUSE, IDEM_REASON_QUORUM);
    sim_advance(sim, 5 * USEC_PER_SEC);
    EXPECT(1, 1, IDEM_PROCEED);
}

/* Who ran it is dead: nobody may run it again, ever. */
SCENE(owner_dead, 5, SCENE_ELIGIBLE_US)
{
    EXPECT(0, 1, IDEM_PROCEED);
    sim_crash(sim, 0, false);
    EXPECT(1, 1, IDEM_IN_PROGRESS);
    sim_advance(sim, 10 * USEC_PER_SEC);
    EXPECT_REASON(1, 1, IDEM_OUTCOME_UNKNOWN, IDEM_REASON_OWNER_GONE);
    sim_start(sim, 0);
    sim_advance(sim, 120 * USEC_PER_SEC);
    EXPECT_ALL(1, IDEM_OUTCOME_UNKNOWN);
}

/* A coordinator that slept through joins must not use the sets of before:
 * their keys may have run at the new ones. */
SCENE(paused_member_missed_joins, 5, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned key = 0;

    sim_freeze(sim, 0);
    for (unsigned i = 5; i < SIM_NODES; i++) {
        sim_start(sim, i);
    }
    sim_advance(sim, 25 * USEC_PER_SEC);
    do {
        g_assert_cmpuint(++key, <, SIM_KEYS);
        g_assert_cmpuint(replicas_of(sim, 1, key, at), ==, 3);
    } while ((at[0] >= 5) + (at[1] >= 5) + (at[2] >= 5) < 2);
    for (unsigned i = 0; i < IDEM_REPLICAS; i++) {
        if (at[i] < 5) {
            sim_partition(sim, 1, at[i], 2 * USEC_PER_SEC);
        }
    }
    EXPECT(1, key, IDEM_PROCEED);
    sim_thaw(sim, 0);
    for (unsigned i = 5; i < SIM_NODES; i++) {
        sim_partition(sim, 0, i, 2 * USEC_PER_SEC);
    }
    EXPECT_REASON(0, key, IDEM_REFUSE, IDEM_REASON_QUORUM);
    sim_advance(sim, 30 * USEC_PER_SEC);
    EXPECT(0, key, IDEM_IN_PROGRESS);
}

/* Who restarts doesn't know that a replica died with its own former life:
 * the survivors alone hold the record, and it must hear all of them. */
SCENE(restarted_replica, 5, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];

    find_replicas(sim, 0, at);
    for (unsigned i = 0; i < 5; i++) {
        if (i != at[0] && i != at[2]) {
            sim_partition(sim, at[0], i, 5 * USEC_PER_SEC);
        }
    }
    EXPECT(at[0], 1, IDEM_PROCEED);
    sim_crash(sim, at[2], true);
    sim_start(sim, at[2]);
    sim_partition(sim, at[0], at[2], 5 * USEC_PER_SEC);
    sim_advance(sim, 2 * USEC_PER_SEC);
    EXPECT_REASON(at[2], 1, IDEM_REFUSE, IDEM_REASON_QUORUM);
    sim_advance(sim, 30 * USEC_PER_SEC);
    EXPECT(at[2], 1, IDEM_IN_PROGRESS);
}

/* One replica missed the record, one died with it: of the two survivors both
 * must be heard. */
SCENE(two_survivors, 5, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];

    find_replicas(sim, 0, at);
    for (unsigned i = 0; i < 5; i++) {
        if (i != at[0] && i != at[2]) {
            sim_partition(sim, at[0], i, 5 * USEC_PER_SEC);
        }
    }
    EXPECT(at[0], 1, IDEM_PROCEED);
    sim_crash(sim, at[2], true);
    sim_advance(sim, 10 * SIM_MSEC);
    EXPECT_REASON(other_than(at, 5), 1, IDEM_REFUSE, IDEM_REASON_QUORUM);
}

/* A replica that was paused may have missed what the others agreed on. */
SCENE(paused_replica, 5, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];

    find_replicas(sim, 0, at);
    sim_freeze(sim, at[2]);
    sim_advance(sim, IDEM_PAUSE_US + USEC_PER_SEC);
    sim_thaw(sim, at[2]);
    sim_advance(sim, IDEM_START_US + USEC_PER_SEC);
    sim_partition(sim, at[0], at[1], USEC_PER_SEC);
    EXPECT_REASON(at[0], 1, IDEM_REFUSE, IDEM_REASON_QUORUM);
}

/* An owner that says goodbye and then dies: what it didn't bring to the
 * others itself is pushed on once it is dead. */
SCENE(owner_leaves_then_dies, 3, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];

    find_replicas(sim, 0, at);
    sim_partition(sim, at[0], at[1], 15 * USEC_PER_SEC);
    scene_run(sim, at[0], 1, IDEM_DONE);
    sim_leave(sim, at[0]);
    sim_advance(sim, 4 * USEC_PER_SEC);
    g_assert_cmpuint(idem_records(sim->nodes[at[1]].idem), ==, 0);
    sim_crash(sim, at[0], true);
    sim_advance(sim, 8 * USEC_PER_SEC);
    g_assert_cmpuint(idem_records(sim->nodes[at[1]].idem), ==, 1);
}

/* A frozen coordinator holds a reservation at one replica, the other two
 * let another run. Its return must not take that one's records along. */
SCENE(two_reservations, 6, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned frozen;
    unsigned runner;

    find_replicas(sim, 0, at);
    frozen = other_than(at, 6);
    runner = at[0];
    sim_partition(sim, frozen, at[0], USEC_PER_SEC);
    sim_partition(sim, frozen, at[1], USEC_PER_SEC);
    sim_partition(sim, runner, at[2], 10 * USEC_PER_SEC);
    (void)sim_begin(sim, frozen, 1);
    sim_advance(sim, 10 * SIM_MSEC);
    sim_freeze(sim, frozen);
    EXPECT(runner, 1, IDEM_PROCEED);
    sim_advance(sim, 12 * USEC_PER_SEC);
    sim_thaw(sim, frozen);
    sim_advance(sim, 30 * USEC_PER_SEC);
    EXPECT_ALL(1, IDEM_IN_PROGRESS);
    sim_end(sim, 2, false, IDEM_DONE);
    sim_advance(sim, 5 * USEC_PER_SEC);
    EXPECT_ALL(1, IDEM_REPLAY);
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
SCENE(settle, 4, SCENE_ELIGIBLE_US)
{
    for (unsigned i = 4; i < 8; i++) {
        sim_start(sim, i);
    }
    sim_advance(sim, IDEM_ELIGIBLE_AFTER_US - USEC_PER_SEC);
    g_assert_cmpuint(count_from(sim, 4), ==, 0);
    sim_advance(sim, 3 * USEC_PER_SEC);
    g_assert_cmpuint(count_from(sim, 4), >, 100);
}

/* A node that others may have taken for dead needs both other replicas. */
SCENE(return, 5, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned others[IDEM_REPLICAS];

    find_replicas(sim, 0, at);
    sim_freeze(sim, at[0]);
    sim_advance(sim, 6 * USEC_PER_SEC);
    sim_thaw(sim, at[0]);
    sim_advance(sim, IDEM_START_US + USEC_PER_SEC);
    find_replicas(sim, at[1], others);
    for (size_t i = 0; i < IDEM_REPLICAS; i++) {
        g_assert_cmpuint(others[i], !=, at[0]);
    }
    sim_partition(sim, at[0], at[1], 5 * USEC_PER_SEC);
    EXPECT(at[0], 1, IDEM_REFUSE);
    EXPECT(at[1], 1, IDEM_PROCEED);
}

/* Another member says that this process's own open request was not run: it
 * can't know. */
SCENE(foreign_release, 5, SCENE_ELIGIBLE_US)
{
    struct idem_actions out = {0};
    struct idem_msg msg = {.type = IDEM_MSG_RELEASE, .key = sim_key(1)};
    uint64_t token = sim_begin(sim, 0, 1);

    msg.owner = sim_id(0);
    msg.token = record_find(&sim->nodes[0].idem->records, &msg.key)->token;
    g_assert_cmpint(
        idem_receive(sim->nodes[0].idem, sim_id(1), &msg, sim->now_us, &out),
        ==, 0);
    g_assert_cmpuint(out.count, ==, 0);
    sim_advance(sim, USEC_PER_SEC);
    g_assert_cmpint(sim_request(sim, token)->verdict, ==, IDEM_PROCEED);
    idem_actions_finish(&out);
}

/* Grants that waited in a paused coordinator's sockets are stale. */
SCENE(paused_coordinator, 5, SCENE_ELIGIBLE_US)
{
    uint64_t token = sim_begin(sim, 0, 1);

    sim_freeze(sim, 0);
    sim_advance(sim, USEC_PER_SEC);
    sim_thaw(sim, 0);
    sim_advance(sim, USEC_PER_SEC);
    g_assert_cmpint(sim_request(sim, token)->verdict, ==, IDEM_REFUSE);
    EXPECT(1, 1, IDEM_PROCEED);
}

/* A replica that one member took for dead settles there anew and leaves
 * within 10 s: it is in neither of that member's sets, and the other holder
 * can't be reached. */
SCENE(eligible_and_left, 6, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned other;

    find_replicas(sim, 1, at);
    other = other_than(at, 6);
    sim_set_observed_health(sim, other, at[0], MEMBER_DEAD);
    sim_set_observed_health(sim, other, at[0], MEMBER_ALIVE);
    sim_advance(sim, IDEM_ELIGIBLE_AFTER_US + 2 * USEC_PER_SEC);
    for (unsigned i = 0; i < 6; i++) {
        if (i != at[0] && i != at[1]) {
            sim_partition(sim, at[0], i, 4 * USEC_PER_SEC);
        }
    }
    sim_partition(sim, other, at[1], 4 * USEC_PER_SEC);
    EXPECT(at[0], 1, IDEM_PROCEED);
    sim_leave(sim, at[0]);
    sim_advance(sim, 50 * SIM_MSEC);
    EXPECT(other, 1, IDEM_REFUSE);
}

/* The same with two of them, that nobody else shares a record with. */
SCENE(two_eligible_and_left, 6, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned other;

    find_replicas(sim, 1, at);
    other = other_than(at, 6);
    for (unsigned i = 0; i < 2; i++) {
        sim_set_observed_health(sim, other, at[i], MEMBER_DEAD);
        sim_set_observed_health(sim, other, at[i], MEMBER_ALIVE);
    }
    sim_advance(sim, IDEM_ELIGIBLE_AFTER_US + 2 * USEC_PER_SEC);
    for (unsigned i = 0; i < 6; i++) {
        if (i != at[0] && i != at[1]) {
            sim_partition(sim, at[0], i, 4 * USEC_PER_SEC);
            sim_partition(sim, at[1], i, 4 * USEC_PER_SEC);
        }
    }
    EXPECT(at[0], 1, IDEM_PROCEED);
    sim_leave(sim, at[0]);
    sim_leave(sim, at[1]);
    sim_advance(sim, 50 * SIM_MSEC);
    EXPECT(other, 1, IDEM_REFUSE);
}

/* While a service starts, views differ too much to pick replicas. */
SCENE(start, 5, USEC_PER_SEC)
{
    EXPECT(0, 1, IDEM_REFUSE);
    sim_advance(sim, IDEM_START_US);
    EXPECT(0, 1, IDEM_PROCEED);
    sim_start(sim, 5);
    sim_advance(sim, USEC_PER_SEC);
    EXPECT(5, 2, IDEM_REFUSE);
}

/* In a service that has just started one of the three oldest leaves, another
 * can't be reached: the third alone must not decide with a newcomer. */
SCENE(leave_at_start, 5, USEC_PER_SEC + IDEM_START_US)
{
    unsigned at[IDEM_REPLICAS];

    find_replicas(sim, 0, at);
    for (unsigned i = 0; i < 5; i++) {
        if (i != at[0] && i != at[1]) {
            sim_partition(sim, at[0], i, 4 * USEC_PER_SEC);
        }
    }
    EXPECT(at[0], 1, IDEM_PROCEED);
    sim_leave(sim, at[1]);
    sim_advance(sim, 50 * SIM_MSEC);
    EXPECT(other_than(at, 5), 1, IDEM_IN_PROGRESS);
}

/* The same with one that restarts, before the others learn of it: what it
 * grants says nothing. */
SCENE(restart_at_start, 5, USEC_PER_SEC + IDEM_START_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned other;

    find_replicas(sim, 0, at);
    other = other_than(at, 5);
    sim->no_sync = true;
    sim->net.skew_us = 60 * USEC_PER_SEC;
    sim_crash(sim, at[1], true);
    sim_start(sim, at[1]);
    sim_advance(sim, USEC_PER_SEC);
    sim_partition(sim, other, at[0], 4 * USEC_PER_SEC);
    EXPECT(other, 1, IDEM_REFUSE);
}

/* Five are cut into two and three: only the three go on, for a minute. */
SCENE(cut, 5, SCENE_ELIGIBLE_US)
{
    sim->no_sync = true;
    for (unsigned i = 0; i < 2; i++) {
        for (unsigned j = 2; j < 5; j++) {
            sim_partition(sim, i, j, 3600 * USEC_PER_SEC);
            sim_set_observed_health(sim, i, j, MEMBER_DEAD);
            sim_set_observed_health(sim, j, i, MEMBER_DEAD);
        }
    }
    for (unsigned key = 1; key < SIM_KEYS; key++) {
        EXPECT(key % 2, key, IDEM_REFUSE);
    }
    sim_advance(sim, IDEM_ELIGIBLE_AFTER_US);
    for (unsigned key = 1; key < SIM_KEYS; key++) {
        EXPECT(key % 2, key, IDEM_REFUSE);
        EXPECT(2 + key % 3, key, IDEM_PROCEED);
    }
    sim_advance(sim, 60 * USEC_PER_SEC);
    EXPECT(0, 0, IDEM_PROCEED);
}

/* All three replicas die at once. The coordinator still knows, nobody runs
 * it again before it has told the new ones. */
SCENE(all_replicas_dead, 8, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned owner;

    find_replicas(sim, 0, at);
    owner = other_than(at, 8);
    scene_run(sim, owner, 1, IDEM_DONE);
    for (unsigned i = 0; i < 8; i++) {
        sim_partition(sim, owner, i, i != owner ? 4 * USEC_PER_SEC : 0);
    }
    for (unsigned i = 0; i < IDEM_REPLICAS; i++) {
        sim_crash(sim, at[i], true);
    }
    for (unsigned i = 0; i < 8; i++) {
        if (sim->nodes[i].up && i != owner) {
            EXPECT_REASON(i, 1, IDEM_REFUSE, IDEM_REASON_LOST);
        }
    }
    sim_advance(sim, 15 * USEC_PER_SEC);
    EXPECT_ALL(1, IDEM_REPLAY);
}

/* The owner dies before it told all replicas how it ended: those who know
 * tell the others. */
SCENE(unfinished_reservation, 6, SCENE_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned owner;

    find_replicas(sim, 0, at);
    owner = other_than(at, 6);
    EXPECT(owner, 1, IDEM_PROCEED);
    sim_partition(sim, owner, at[1], 4 * USEC_PER_SEC);
    sim_partition(sim, owner, at[2], 4 * USEC_PER_SEC);
    sim_end(sim, 1, false, IDEM_DONE);
    sim_advance(sim, USEC_PER_SEC);
    sim_crash(sim, owner, true);
    sim_advance(sim, 20 * USEC_PER_SEC);
    sim_crash(sim, at[0], true);
    sim_advance(sim, 20 * USEC_PER_SEC);
    EXPECT(at[2], 1, IDEM_REPLAY);
}

/* Every process is replaced in turn, each one as soon as the last has
 * handed on its records and its successor is there. */
SCENE(rolling_restart, 5, SCENE_ELIGIBLE_US)
{
    scene_run(sim, 0, 1, IDEM_DONE);
    EXPECT(0, 2, IDEM_PROCEED);
    sim_end(sim, sim->requests->len, false, IDEM_UNKNOWN);
    for (unsigned i = 0; i < 5; i++) {
        sim_leave(sim, i);
        sim_advance(sim, 100 * SIM_MSEC);
        for (unsigned j = 0;
             j < 100 && idem_unacked_records(sim->nodes[i].idem); j++) {
            sim_advance(sim, 100 * SIM_MSEC);
        }
        g_assert_cmpuint(idem_unacked_records(sim->nodes[i].idem), ==, 0);
        sim_crash(sim, i, true);
        sim_start(sim, i);
        sim_advance(sim, 12 * USEC_PER_SEC);
        EXPECT((i + 1) % 5, 1, IDEM_REPLAY);
        EXPECT(i, 2, IDEM_OUTCOME_UNKNOWN);
    }
}
