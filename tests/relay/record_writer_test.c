#include <errno.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/record_writer_fixture.h"

#define SUITE "/relay/record_writer"
#define HOUR_MS (UINT64_C(3600) * 1000)

TEST_F(fixture, flows_of_an_earlier_incarnation_are_reset_once)
{
    fixture_set_incarnation(fixture, "i-2", 200);
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, "reset i-1 2",
                   NULL);
}

/* After a loss of power the same id may start again. */
TEST_F(fixture, flows_of_an_earlier_run_of_the_same_id_are_reset)
{
    fixture_set_incarnation(fixture, "i-1", 200);
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 1);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, "reset i-1 2",
                   NULL);
}

TEST_F(fixture, an_agent_that_restarts_beside_its_endpoint_resets_nothing)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, NULL);
}

/* A delayed heartbeat of an earlier incarnation comes before one of the
 * living endpoint. */
TEST_F(fixture, a_delayed_heartbeat_of_an_earlier_incarnation_resets_nothing)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-2", 200);
    fixture_advance(fixture, 1);
    fixture_set_incarnation(fixture, "i-2", 200);
    fixture_advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, NULL);
}

TEST_F(fixture, nothing_is_reset_before_the_endpoints_incarnation_is_known)
{
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 30000);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, NULL);
    fixture_set_incarnation(fixture, "i-2", 200);
    fixture_advance(fixture, 1);
    fixture_expect(fixture->store.record, "reset i-1 2", NULL);
}

/* As after a loss of power, on a host whose endpoint doesn't start again. */
TEST_F(fixture, flows_of_an_endpoint_that_is_down_are_reset)
{
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 1000);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, NULL);
    fixture->state = RECORD_ENDPOINT_DOWN;
    fixture_advance(fixture, 1);
    fixture_expect(fixture->store.record, "reset i-1 2", NULL);
    /* It starts later: its flows are others. */
    fixture_set_incarnation(fixture, "i-1", 200);
    fixture_advance(fixture, 60000);
    fixture_expect(fixture->store.record, NULL);
}

TEST_F(fixture, a_record_of_another_service_at_the_address_resets_nothing)
{
    fixture->state = RECORD_ENDPOINT_DOWN;
    g_strlcpy(fixture->endpoint.service, "albums", ROUTES_NAME_MAX);
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, NULL);
}

/* The store was restored from an older copy: its record is of an incarnation
 * before the last one. All of its flows have ended as well. */
TEST_F(fixture,
       a_record_of_a_store_restored_from_an_older_copy_is_of_ended_flows)
{
    fixture_set_incarnation(fixture, "i-3", 300);
    fixture->store.epoch = 2;
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 1);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, "reset i-1 2",
                   NULL);
}

TEST_F(fixture, a_record_too_old_to_matter_is_dropped)
{
    fixture_set_incarnation(fixture, "i-2", 200);
    fixture->endpoint.written_ms += HOUR_MS;
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, NULL);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_OUTDATED], ==, 1);
}

TEST_F(fixture, a_foreign_object_is_an_error_and_is_replaced)
{
    fixture_set_incarnation(fixture, "i-2", 200);
    fixture_add_flows(fixture, 1, 4);
    fixture_advance(fixture, 1);
    fixture_reply_with(fixture, json_object_new_object());
    fixture_advance(fixture, 20000);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME,
                   "put " FIXTURE_NAME, NULL);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_FOREIGN], ==, 1);
}

TEST_F(fixture, a_store_away_at_the_start_is_read_again)
{
    fixture_set_incarnation(fixture, "i-2", 200);
    fixture_advance(fixture, 1);
    store_fixture_reply(&fixture->store, -ECONNREFUSED, 0, NULL, false);
    fixture_advance(fixture, 130);
    store_fixture_reply(&fixture->store, -EBUSY, 0, NULL, false);
    fixture_advance(fixture, 260);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 1);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME,
                   "get " FIXTURE_NAME, "get " FIXTURE_NAME, "reset i-1 2",
                   NULL);
}

TEST_F(fixture, a_store_away_for_long_is_given_up)
{
    unsigned reads = 0;

    fixture_set_incarnation(fixture, "i-2", 200);
    fixture_advance(fixture, 1);
    while (fixture->store.call != NULL && reads < 100) {
        store_fixture_reply(&fixture->store, -ECONNREFUSED, 0, NULL, false);
        reads++;
        fixture_advance(fixture, 2500);
    }
    g_assert_cmpuint(fixture->now_us, <, 20 * USEC_PER_SEC);
    g_assert_cmpuint(reads, <, 16);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_GIVEN_UP], ==, 1);
    /* Its record may exist: a write finds out. */
    fixture_add_flows(fixture, 1, 4);
    g_string_truncate(fixture->store.record, 0);
    fixture_advance(fixture, 20000);
    store_fixture_reply(&fixture->store, -EEXIST, 0, NULL, false);
    fixture_advance(fixture, 10);
    fixture_expect(fixture->store.record, "create " FIXTURE_NAME,
                   "put " FIXTURE_NAME, NULL);
}

/* The first try comes late, as the registration waits for the store too. */
TEST_F(fixture, a_store_away_before_the_first_read_is_still_read)
{
    fixture_set_incarnation(fixture, "i-2", 200);
    fixture->now_us += 20 * USEC_PER_SEC;
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 1);
    fixture_expect(fixture->store.record, "get " FIXTURE_NAME, "reset i-1 2",
                   NULL);
}

TEST_F(fixture, nothing_is_written_while_little_changes)
{
    fixture_bring_to_writing(fixture);
    fixture_add_flows(fixture, 1, 2);
    fixture_advance(fixture, 60000);
    fixture_expect(fixture->store.record, NULL);
    fixture_add_flows(fixture, 3, 1);
    fixture_advance(fixture, 6000);
    fixture_expect(fixture->store.record, "put " FIXTURE_NAME, NULL);
    store_fixture_reply(&fixture->store, 0, 20, FIXTURE_NAME, false);
    /* One of 20 flows isn't covered. */
    fixture_add_flows(fixture, 4, 16);
    fixture_advance(fixture, 10000);
    store_fixture_reply(&fixture->store, 0, 30, FIXTURE_NAME, false);
    fixture_add_flows(fixture, 20, 1);
    g_string_truncate(fixture->store.record, 0);
    fixture_advance(fixture, 60000);
    fixture_expect(fixture->store.record, NULL);
}

/* The record that was in flight when the power was lost may be the older one.
 */
TEST_F(fixture, a_write_whose_reply_is_lost_is_written_again)
{
    uint64_t written_us;

    fixture_bring_to_writing(fixture);
    fixture_add_flows(fixture, 3, 4);
    fixture_advance(fixture, 6000);
    written_us = fixture->now_us;
    store_fixture_reply(&fixture->store, -ETIMEDOUT, 0, NULL, false);
    fixture_advance(fixture, 30000);
    fixture_expect(fixture->store.record, "put " FIXTURE_NAME,
                   "put " FIXTURE_NAME, NULL);
    /* Not at once: each call is paid for. */
    g_assert_cmpuint(fixture->now_us - written_us, >=, 10 * USEC_PER_SEC);
}

TEST_F(fixture, a_store_restored_from_an_older_copy_is_written_again)
{
    fixture_bring_to_writing(fixture);
    fixture_add_flows(fixture, 1, 2);
    fixture_advance(fixture, 20000);
    fixture_expect(fixture->store.record, NULL);
    record_writer_set_epoch(&fixture->writer, 2);
    fixture_advance(fixture, 10000);
    fixture_expect(fixture->store.record, "put " FIXTURE_NAME, NULL);
}

TEST_F(fixture, an_object_that_was_removed_is_created_again)
{
    fixture_bring_to_writing(fixture);
    fixture_add_flows(fixture, 3, 4);
    fixture_advance(fixture, 6000);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    fixture_advance(fixture, 10);
    fixture_expect(fixture->store.record, "put " FIXTURE_NAME,
                   "create " FIXTURE_NAME, NULL);
}
