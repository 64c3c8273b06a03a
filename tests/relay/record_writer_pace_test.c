/* How often a record writer writes, and what it writes again. */
#include <errno.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/record_writer_fixture.h"

#define SUITE "/relay/record_writer_pace"

/* Interval of writes beside a store with @per_s changes a second. */
static uint64_t
pace_at(struct fixture *fixture, unsigned per_s)
{
    uint64_t last_us = 0;
    uint64_t pace_us = 0;

    fixture_bring_to_writing(fixture);
    for (unsigned i = 0; i < 10; i++) {
        fixture->endpoint.count = 0;
        fixture_add_flows(fixture, 100 * (i + 1), 4);
        fixture_advance(fixture, 2000000);
        pace_us = fixture->now_us - last_us;
        last_us = fixture->now_us;
        store_fixture_reply(&fixture->store, 0,
                            1000 + fixture->now_us * per_s / USEC_PER_SEC,
                            FIXTURE_NAME, false);
    }
    return pace_us;
}

TEST_F(fixture, load_few_agents_write_at_the_shortest_pace)
{
    uint64_t pace_us = pace_at(fixture, 16);

    g_assert_cmpuint(pace_us, >=, 5 * USEC_PER_SEC);
    g_assert_cmpuint(pace_us, <, 7 * USEC_PER_SEC);
}

TEST_F(fixture, load_a_store_with_too_many_changes_is_written_less_often)
{
    g_assert_cmpuint(pace_at(fixture, 120), >=, 600 * USEC_PER_SEC);
}

/* Each of @agents writes at the pace that it finds by the changes of all. */
static uint64_t
fleet_pace_us(unsigned agents, uint64_t pace_us)
{
    struct fixture *fixture = g_new0(struct fixture, 1);

    fixture_init(fixture);
    fixture_bring_to_writing(fixture);
    fixture->writer.pace_us = pace_us;
    for (unsigned i = 0; i < 4; i++) {
        uint64_t before_us = fixture->writer.replied_us;
        uint64_t revision = fixture->writer.revision;

        fixture->endpoint.count = 0;
        fixture_add_flows(fixture, 100 * (i + 1), 4);
        fixture_advance(fixture, 2000000);
        revision += before_us == 0
                        ? 1000
                        : (uint64_t)agents * (fixture->now_us - before_us) /
                              fixture->writer.pace_us;
        store_fixture_reply(&fixture->store, 0, revision, FIXTURE_NAME, false);
    }
    pace_us = fixture->writer.pace_us;
    fixture_finish(fixture);
    g_free(fixture);
    return pace_us;
}

TEST(load_the_fleets_writes_stay_bounded_as_it_grows)
{
    static const struct {
        unsigned agents;
        unsigned pace_s;
    } fleets[] = {{80, 5}, {300, 5}, {985, 16}, {20000, 333}};

    for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
        uint64_t pace_us = fleet_pace_us(fleets[i].agents, 20 * USEC_PER_SEC);

        g_assert_cmpuint(pace_us / USEC_PER_SEC, ==, fleets[i].pace_s);
    }
}

TEST(load_agents_that_start_at_once_dont_write_at_once)
{
    struct fixture *fixture = g_new0(struct fixture, 1);
    unsigned per_s[20] = {0};

    for (unsigned i = 0; i < 2000; i++) {
        fixture_init(fixture);
        fixture->writer.addr.ip += i;
        fixture->endpoint.count = 0;
        fixture_set_incarnation(fixture, "i-1", 100);
        fixture_add_flows(fixture, 1, 4);
        fixture_advance(fixture, 1);
        store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
        fixture_advance(fixture, 20100);
        g_assert_nonnull(fixture->store.call);
        fixture->store.call = NULL;
        per_s[MIN(19, (fixture->now_us - USEC_PER_SEC) / USEC_PER_SEC)]++;
        fixture_finish(fixture);
    }
    for (unsigned i = 0; i < 20; i++) {
        g_assert_cmpuint(per_s[i], >, 60);
        g_assert_cmpuint(per_s[i], <, 140);
    }
    g_free(fixture);
}

TEST_F(fixture, an_agent_without_a_record_learns_its_pace_after_one_write)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_add_flows(fixture, 1, 4);
    fixture_advance(fixture, 1);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    fixture_advance(fixture, 20100);
    store_fixture_reply(&fixture->store, 0, 100, FIXTURE_NAME, false);
    fixture_advance(fixture, 4100);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME,
                   "create " FIXTURE_NAME, "list swiftarch-flows ~", NULL);
    /* 720 changes in 4 s are three times the bound. */
    store_fixture_reply(&fixture->store, 0, 820, NULL, false);
    g_assert_cmpuint(fixture->writer.pace_us / USEC_PER_SEC, ==, 60);
}

TEST_F(fixture, an_agent_at_a_new_address_reads_no_record)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    fixture_advance(fixture, 20100);
    fixture_expect(fixture->store.record, "create " FIXTURE_NAME, NULL);
}

TEST_F(fixture, an_agent_that_registered_learns_its_pace_by_the_first_write)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    record_writer_set_revision(&fixture->writer, 50, fixture->now_us);
    fixture_advance(fixture, 20100);
    /* 180 changes a second are three times the bound. */
    store_fixture_reply(&fixture->store, 0,
                        50 + 180 * (fixture->now_us - USEC_PER_SEC) /
                                 USEC_PER_SEC,
                        FIXTURE_NAME, false);
    g_assert_cmpuint(fixture->writer.pace_us / USEC_PER_SEC, >=, 59);
    g_assert_cmpuint(fixture->writer.pace_us / USEC_PER_SEC, <=, 60);
    g_string_truncate(fixture->store.record, 0);
    fixture_add_flows(fixture, 5, 4);
    fixture_advance(fixture, 50000);
    fixture_expect(fixture->store.record, NULL);
}

/* Brings an agent at a new address to its second write, beside a store with
 * 16 changes a second. */
static void
register_and_write(struct fixture *fixture)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    record_writer_set_epoch(&fixture->writer, 1);
    record_writer_set_revision(&fixture->writer, 50, fixture->now_us);
    fixture_advance(fixture, 20100);
    fixture->store.epoch = 1;
    store_fixture_reply(&fixture->store, 0,
                        50 + 16 * (fixture->now_us - USEC_PER_SEC) /
                                 USEC_PER_SEC,
                        FIXTURE_NAME, false);
    fixture->endpoint.count = 0;
    fixture_add_flows(fixture, 100, 8);
    g_string_truncate(fixture->store.record, 0);
}

/* The registration's revision is as old as the agent. */
TEST_F(fixture, load_changes_before_a_rollback_dont_count_for_the_pace)
{
    uint64_t pace_us;

    register_and_write(fixture);
    pace_us = fixture->writer.pace_us;
    fixture->now_us += 600 * USEC_PER_SEC;
    fixture->writer.next_us = fixture->now_us + 6 * USEC_PER_SEC;
    record_writer_set_epoch(&fixture->writer, 2);
    record_writer_set_revision(&fixture->writer, 50, fixture->now_us);
    fixture_advance(fixture, 7000);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 9600, FIXTURE_NAME, false);
    g_assert_cmpuint(fixture->writer.pace_us, ==, pace_us);
}

TEST_F(fixture, load_a_rollback_during_a_write_keeps_the_pace)
{
    register_and_write(fixture);
    fixture->writer.pace_us = 333 * USEC_PER_SEC;
    fixture->now_us += 600 * USEC_PER_SEC;
    fixture_advance(fixture, 10);
    g_assert_nonnull(fixture->store.call);
    record_writer_set_epoch(&fixture->writer, 2);
    record_writer_set_revision(&fixture->writer, 50,
                               fixture->now_us + 10 * USEC_PER_MSEC);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 36000, FIXTURE_NAME, false);
    g_assert_cmpuint(fixture->writer.pace_us, ==, 333 * USEC_PER_SEC);
}

/* Its rate would be that of a time that ends before it begins. */
TEST_F(fixture, load_a_registration_during_the_first_write_keeps_the_pace)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_add_flows(fixture, 1, 4);
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture->writer.pace_us = 333 * USEC_PER_SEC;
    fixture->endpoint.count = 0;
    fixture_add_flows(fixture, 100, 8);
    fixture_advance(fixture, 333000);
    fixture->writer.pace_us = 333 * USEC_PER_SEC;
    record_writer_set_revision(&fixture->writer, 50,
                               fixture->now_us + 10 * USEC_PER_MSEC);
    store_fixture_reply(&fixture->store, 0, 60, FIXTURE_NAME, false);
    g_assert_cmpuint(fixture->writer.pace_us, ==, 333 * USEC_PER_SEC);
}

/* The reply was sent before the rollback, which lost what it wrote. */
TEST_F(fixture, a_write_that_a_rollback_lost_is_written_again)
{
    fixture_bring_to_writing(fixture);
    record_writer_set_epoch(&fixture->writer, 1);
    fixture_add_flows(fixture, 3, 4);
    fixture_advance(fixture, 6000);
    record_writer_set_epoch(&fixture->writer, 2);
    fixture->store.epoch = 1;
    store_fixture_reply(&fixture->store, 0, 20, FIXTURE_NAME, false);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_FAILED], ==, 1);
    g_assert_cmpuint(fixture->writer.stored.count, ==, 0);
    fixture_advance(fixture, 15000);
    fixture_expect(fixture->store.record, "put " FIXTURE_NAME,
                   "put " FIXTURE_NAME, NULL);
}

/* Its revision can't be compared with those that follow. */
TEST_F(fixture, load_a_revision_of_before_a_rollback_is_not_used)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    fixture_advance(fixture, 20100);
    fixture->store.epoch = 1;
    store_fixture_reply(&fixture->store, 0, 100, FIXTURE_NAME, false);
    fixture_advance(fixture, 4100);
    record_writer_set_epoch(&fixture->writer, 2);
    store_fixture_reply(&fixture->store, 0, 820, NULL, false);
    g_assert_cmpuint(fixture->writer.replied_us, ==, 0);
    /* The query's reply doesn't lead to a write at once either. */
    g_assert_cmpuint(fixture->writer.next_us, >=,
                     fixture->now_us + 10 * USEC_PER_SEC);
}

/* As for an object whose deletion was requested, which can be neither replaced
 * nor created. */
TEST_F(fixture, load_an_object_neither_replaced_nor_created_is_tried_at_a_pace)
{
    unsigned calls = 0;
    uint64_t end_us;

    fixture_bring_to_writing(fixture);
    fixture_add_flows(fixture, 3, 4);
    fixture_advance(fixture, 6000);
    end_us = fixture->now_us + 120 * USEC_PER_SEC;
    while (fixture->now_us < end_us && calls < 1000) {
        store_fixture_reply(&fixture->store,
                            calls % 2 == 0 ? -ENOENT : -EEXIST, 0, NULL,
                            false);
        calls++;
        fixture_advance(fixture, 60000);
        g_assert_nonnull(fixture->store.call);
    }
    g_assert_cmpuint(calls, <=, 7);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_FAILED], ==, calls - 1);
    /* It is followed at once again after a write that succeeds. */
    store_fixture_reply(&fixture->store, 0, 20, FIXTURE_NAME, false);
    fixture->endpoint.count = 0;
    fixture_add_flows(fixture, 100, 4);
    fixture_advance(fixture, 60000);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    fixture_advance(fixture, 1);
    g_assert_nonnull(fixture->store.call);
}

TEST_F(fixture, load_failed_writes_stay_within_the_longest_pace)
{
    fixture_bring_to_writing(fixture);
    fixture->writer.pace_us = 600 * USEC_PER_SEC;
    fixture_add_flows(fixture, 3, 4);
    fixture_advance(fixture, 6000);
    for (unsigned i = 0; i < 4; i++) {
        store_fixture_reply(&fixture->store, -ETIMEDOUT, 0, NULL, false);
        g_assert_cmpuint(fixture->writer.next_us - fixture->now_us, >=,
                         600 * USEC_PER_SEC);
        g_assert_cmpuint(fixture->writer.next_us - fixture->now_us, <=,
                         750 * USEC_PER_SEC);
        fixture->now_us = fixture->writer.next_us;
        fixture_advance(fixture, 10);
    }
}

/* The agent registers with 300 others and writes soon after. */
TEST_F(fixture, load_a_burst_before_the_first_write_doesnt_set_the_pace)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    record_writer_set_revision(&fixture->writer, 50, fixture->now_us);
    fixture_advance(fixture, 1);
    fixture->writer.next_us = fixture->now_us + 1500 * USEC_PER_MSEC;
    fixture_advance(fixture, 1600);
    store_fixture_reply(&fixture->store, 0, 350, FIXTURE_NAME, false);
    g_assert_false(fixture->writer.pace_known);
    /* The query's rate is over a longer time. */
    fixture_advance(fixture, 4100);
    g_assert_true(fixture->writer.probing);
    store_fixture_reply(&fixture->store, 0, 350 + 16 * 4, NULL, false);
    g_assert_cmpuint(fixture->writer.pace_us / USEC_PER_SEC, ==, 22);
}
