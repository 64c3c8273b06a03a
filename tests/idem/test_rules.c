#include "sim_fixture.h"

#define SUITE "/idem"

/* Stores the nodes of @key's current replica set in the view of @observer.
 * Returns their number. */
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

/* Stores the nodes of key 1's complete replica set. */
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

/* Retries of a key report the state of its first request. */
SIM_TEST(retry_reports_first_request, 5, SIM_ELIGIBLE_US)
{
    EXPECT(0, 1, IDEM_PROCEED);
    EXPECT_ALL(1, IDEM_IN_PROGRESS);
    sim_end(sim, 1, false, IDEM_DONE);
    sim_advance(sim, USEC_PER_SEC);
    EXPECT_ALL(1, IDEM_REPLAY);
    sim_fixture_run(sim, 3, 2, IDEM_UNKNOWN);
    EXPECT_ALL(2, IDEM_OUTCOME_UNKNOWN);
}

/* A key whose request was not run may run at another agent. */
SIM_TEST(not_run_releases_key, 5, SIM_ELIGIBLE_US)
{
    EXPECT(0, 1, IDEM_PROCEED);
    sim_end(sim, 1, true, IDEM_UNKNOWN);
    sim_advance(sim, 20 * SIM_MSEC);
    EXPECT(4, 1, IDEM_PROCEED);
}

/* A key reused for a different request is a mismatch. */
SIM_TEST(fingerprint_mismatch, 5, SIM_ELIGIBLE_US)
{
    struct idem_actions out = {0};
    struct idem_key key = sim_key(1);

    sim_fixture_run(sim, 0, 1, IDEM_DONE);
    key.fingerprint++;
    g_assert_cmpint(
        idem_begin(sim->nodes[0].idem, 99, &key, sim->now_us, &out), ==, 0);
    g_assert_cmpuint(out.count, ==, 1);
    g_assert_cmpint(out.items[0].type, ==, IDEM_MISMATCH);
    idem_actions_finish(&out);
}

/* An isolated agent refuses, and leaves no reservation behind. */
SIM_TEST(no_quorum, 5, SIM_ELIGIBLE_US)
{
    for (unsigned i = 1; i < 5; i++) {
        sim_partition(sim, 0, i, 2 * USEC_PER_SEC);
    }
    EXPECT_REASON(0, 1, IDEM_REFUSE, IDEM_REASON_QUORUM);
    sim_advance(sim, 5 * USEC_PER_SEC);
    EXPECT(1, 1, IDEM_PROCEED);
}

/* A key whose owner died while running never runs again. */
SIM_TEST(owner_dead, 5, SIM_ELIGIBLE_US)
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

/* A coordinator that missed joins during a pause must not use its outdated
 * replica sets: the key may have run with the new replicas. */
SIM_TEST(paused_member_missed_joins, 5, SIM_ELIGIBLE_US)
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

/* A restarted coordinator doesn't know that its earlier process was a replica:
 * it must get grants of all survivors. */
SIM_TEST(restarted_replica, 5, SIM_ELIGIBLE_US)
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

/* One replica missed the record and one died with it: both survivors must
 * grant. */
SIM_TEST(two_survivors, 5, SIM_ELIGIBLE_US)
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

/* Grants of a replica that was paused don't count: it may have missed
 * records. */
SIM_TEST(paused_replica, 5, SIM_ELIGIBLE_US)
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

/* When an owner leaves and dies before it sent a record to all replicas,
 * another holder copies the record. */
SIM_TEST(owner_leaves_then_dies, 3, SIM_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];

    find_replicas(sim, 0, at);
    sim_partition(sim, at[0], at[1], 15 * USEC_PER_SEC);
    sim_fixture_run(sim, at[0], 1, IDEM_DONE);
    sim_leave(sim, at[0]);
    sim_advance(sim, 4 * USEC_PER_SEC);
    g_assert_cmpuint(idem_records(sim->nodes[at[1]].idem), ==, 0);
    sim_crash(sim, at[0], true);
    sim_advance(sim, 8 * USEC_PER_SEC);
    g_assert_cmpuint(idem_records(sim->nodes[at[1]].idem), ==, 1);
}

/* A frozen coordinator holds a reservation at one replica while another
 * request runs with the other two. Its return must not remove the records of
 * the request that runs. */
SIM_TEST(conflicting_reservations, 6, SIM_ELIGIBLE_US)
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

/* Counts the replicas of 100 keys on nodes from @first on. */
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

/* New members become replicas only after IDEM_ELIGIBLE_AFTER_US. */
SIM_TEST(new_members_become_eligible, 4, SIM_ELIGIBLE_US)
{
    for (unsigned i = 4; i < 8; i++) {
        sim_start(sim, i);
    }
    sim_advance(sim, IDEM_ELIGIBLE_AFTER_US - USEC_PER_SEC);
    g_assert_cmpuint(count_from(sim, 4), ==, 0);
    sim_advance(sim, 3 * USEC_PER_SEC);
    g_assert_cmpuint(count_from(sim, 4), >, 100);
}

/* A node that returns after others declared it dead isn't a replica and needs
 * both other replicas. */
SIM_TEST(returned_member, 5, SIM_ELIGIBLE_US)
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

/* A RELEASE from another member doesn't end an open request of this process.
 */
SIM_TEST(foreign_release, 5, SIM_ELIGIBLE_US)
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

/* Grants that arrived during a coordinator's pause are refused as stale. */
SIM_TEST(paused_coordinator, 5, SIM_ELIGIBLE_US)
{
    uint64_t token = sim_begin(sim, 0, 1);

    sim_freeze(sim, 0);
    sim_advance(sim, USEC_PER_SEC);
    sim_thaw(sim, 0);
    sim_advance(sim, USEC_PER_SEC);
    g_assert_cmpint(sim_request(sim, token)->verdict, ==, IDEM_REFUSE);
    EXPECT(1, 1, IDEM_PROCEED);
}

/* A replica that one member declared dead becomes eligible there again and
 * leaves within 10 s, so it is in neither of that member's sets, and the other
 * holder is unreachable: the member must refuse. */
SIM_TEST(eligible_and_left, 6, SIM_ELIGIBLE_US)
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

/* The same with two replicas that are the only holders of the record. */
SIM_TEST(two_eligible_and_left, 6, SIM_ELIGIBLE_US)
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

/* A starting agent refuses: its view may differ too much from others'. */
SIM_TEST(refuse_while_starting, 5, USEC_PER_SEC)
{
    EXPECT(0, 1, IDEM_REFUSE);
    sim_advance(sim, IDEM_START_US);
    EXPECT(0, 1, IDEM_PROCEED);
    sim_start(sim, 5);
    sim_advance(sim, USEC_PER_SEC);
    EXPECT(5, 2, IDEM_REFUSE);
}

/* In a service that has just started, one of the three oldest agents leaves
 * and another is unreachable: the third and a new replica must not be a
 * quorum. */
SIM_TEST(leave_at_start, 5, USEC_PER_SEC + IDEM_START_US)
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

/* The same with an agent that restarts unnoticed: its grant must not count. */
SIM_TEST(restart_at_start, 5, USEC_PER_SEC + IDEM_START_US)
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

/* In a partition of five agents into two and three only the three continue
 * until REPLICAS_PARTITION_US has passed. */
SIM_TEST(partition, 5, SIM_ELIGIBLE_US)
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

/* When all three replicas die at once, others refuse until the coordinator has
 * copied the record to the new replicas. */
SIM_TEST(all_replicas_dead, 8, SIM_ELIGIBLE_US)
{
    unsigned at[IDEM_REPLICAS];
    unsigned owner;

    find_replicas(sim, 0, at);
    owner = other_than(at, 8);
    sim_fixture_run(sim, owner, 1, IDEM_DONE);
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

/* When the owner dies before it sent the outcome to all replicas, a replica
 * with the outcome copies it to the others. */
SIM_TEST(outcome_copied_after_owner_death, 6, SIM_ELIGIBLE_US)
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

/* Records survive a restart of each process in turn, each after its records
 * are acknowledged and the one before is back. */
SIM_TEST(rolling_restart, 5, SIM_ELIGIBLE_US)
{
    sim_fixture_run(sim, 0, 1, IDEM_DONE);
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
