#include <errno.h>
#include <string.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/records/record_writer.h"
#include "relay/relay_fixture.h"
#include "relay/store_fixture.h"

#define SUITE "/relay/record_writer"
#define MS USEC_PER_MSEC
#define NAME "10-1-0-13-8172"
#define HOUR_MS (UINT64_C(3600) * 1000)

/**
 * struct fixture - a record writer, its store and its endpoint
 * @store: the store; its record also has the writer's resets
 * @writer: the writer
 * @endpoint: what is collected from the endpoint
 * @state: what is known of the endpoint
 * @events: reported events
 * @now_us: the time
 */
struct fixture {
    struct store_fixture store;
    struct record_writer writer;
    struct flow_record endpoint;
    enum record_endpoint state;
    unsigned events[RECORD_EVENT_COUNT];
    uint64_t now_us;
};

static enum record_endpoint
collect(struct record_writer *writer, struct flow_record *record)
{
    struct fixture *fixture = (struct fixture *)(void *)writer->store;

    if (fixture->state == RECORD_ENDPOINT_HEARD) {
        flow_record_copy(record, &fixture->endpoint);
    }
    g_strlcpy(record->service, fixture->endpoint.service, ROUTES_NAME_MAX);
    record->written_ms = fixture->endpoint.written_ms;
    return fixture->state;
}

static void
reset(struct record_writer *writer, const struct flow_record *ended)
{
    struct fixture *fixture = (struct fixture *)(void *)writer->store;

    fixture_record(fixture->store.record, "reset %s %u", ended->id,
                   ended->count);
}

static void
report(struct record_writer *writer, enum record_event event,
       const struct flow_record *record)
{
    struct fixture *fixture = (struct fixture *)(void *)writer->store;

    (void)record;
    fixture->events[event]++;
}

static const struct record_writer_ops ops = {collect, reset, report};

/* The endpoint's current incarnation. */
static void
set_incarnation(struct fixture *fixture, const char *id, uint64_t started_ms)
{
    fixture->state = RECORD_ENDPOINT_HEARD;
    g_strlcpy(fixture->endpoint.id, id, ENDPOINT_ID_MAX);
    fixture->endpoint.started_ms = started_ms;
}

static void
start_writer(struct fixture *fixture)
{
    record_writer_init(&fixture->writer, &ops, &fixture->store.store,
                       fixture_addr("10.1.0.13:8172"), fixture->now_us);
}

static void
fixture_init(struct fixture *fixture)
{
    store_fixture_init(&fixture->store);
    fixture->now_us = USEC_PER_SEC;
    g_strlcpy(fixture->endpoint.service, "lots", ROUTES_NAME_MAX);
    fixture->endpoint.written_ms = 1700000060000;
    start_writer(fixture);
}

static void
fixture_finish(struct fixture *fixture)
{
    store_fixture_finish(&fixture->store);
}

/* Advances the time until a call is open, @ms at most. */
static void
advance(struct fixture *fixture, unsigned ms)
{
    for (unsigned i = 0; i < ms && fixture->store.call == NULL; i++) {
        fixture->now_us += MS;
        record_writer_tick(&fixture->writer, fixture->now_us);
    }
}

/* Replies to the open call with an object of @value. */
static void
reply_with(struct fixture *fixture, struct json_object *value)
{
    struct store_object object = {.name = NAME, .revision = 7, .value = value};
    struct store_reply reply = {.epoch = 1, .objects = &object, .count = 1};
    struct store_call *call = fixture->store.call;

    g_assert_nonnull(call);
    fixture->store.call = NULL;
    call->done(call, &reply);
    json_object_put(value);
}

/* Replies to the open read with a record of two flows, whose writer knew its
 * pace. */
static void
reply_to_read(struct fixture *fixture, const char *id, uint64_t started_ms)
{
    struct flow_record *record = g_new0(struct flow_record, 1);

    g_strlcpy(record->service, "lots", ROUTES_NAME_MAX);
    g_strlcpy(record->id, id, ENDPOINT_ID_MAX);
    record->started_ms = started_ms;
    record->written_ms = 1700000057000;
    record->pace_ms = 5000;
    flow_record_add(record, fixture_flow(1), 501);
    flow_record_add(record, fixture_flow(2), 501);
    reply_with(fixture, flow_record_encode(record));
    g_free(record);
}

static void
add_flows(struct fixture *fixture, unsigned first, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        flow_record_add(&fixture->endpoint, fixture_flow(first + i), 501);
    }
}

/* Brings the writer, beside a living endpoint, to where it writes. */
static void
bring_to_writing(struct fixture *fixture)
{
    set_incarnation(fixture, "i-1", 100);
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 1);
    g_string_truncate(fixture->store.record, 0);
}

TEST_F(fixture, flows_of_an_earlier_incarnation_are_reset_once)
{
    set_incarnation(fixture, "i-2", 200);
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " NAME, "reset i-1 2", NULL);
}

/* After a loss of power the same id may start again. */
TEST_F(fixture, flows_of_an_earlier_run_of_the_same_id_are_reset)
{
    set_incarnation(fixture, "i-1", 200);
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 1);
    fixture_expect(fixture->store.record, "get " NAME, "reset i-1 2", NULL);
}

TEST_F(fixture, an_agent_that_restarts_beside_its_endpoint_resets_nothing)
{
    set_incarnation(fixture, "i-1", 100);
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " NAME, NULL);
}

/* A delayed heartbeat of an earlier incarnation comes before one of the
 * living endpoint. */
TEST_F(fixture, a_delayed_heartbeat_of_an_earlier_incarnation_resets_nothing)
{
    set_incarnation(fixture, "i-1", 100);
    advance(fixture, 1);
    reply_to_read(fixture, "i-2", 200);
    advance(fixture, 1);
    set_incarnation(fixture, "i-2", 200);
    advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " NAME, NULL);
}

TEST_F(fixture, nothing_is_reset_before_the_endpoints_incarnation_is_known)
{
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 30000);
    fixture_expect(fixture->store.record, "get " NAME, NULL);
    set_incarnation(fixture, "i-2", 200);
    advance(fixture, 1);
    fixture_expect(fixture->store.record, "reset i-1 2", NULL);
}

/* As after a loss of power, on a host whose endpoint doesn't start again. */
TEST_F(fixture, flows_of_an_endpoint_that_is_down_are_reset)
{
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 1000);
    fixture_expect(fixture->store.record, "get " NAME, NULL);
    fixture->state = RECORD_ENDPOINT_DOWN;
    advance(fixture, 1);
    fixture_expect(fixture->store.record, "reset i-1 2", NULL);
    /* It starts later: its flows are others. */
    set_incarnation(fixture, "i-1", 200);
    advance(fixture, 60000);
    fixture_expect(fixture->store.record, NULL);
}

TEST_F(fixture, a_record_of_another_service_at_the_address_resets_nothing)
{
    fixture->state = RECORD_ENDPOINT_DOWN;
    g_strlcpy(fixture->endpoint.service, "albums", ROUTES_NAME_MAX);
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " NAME, NULL);
}

/* The store was restored from an older copy: its record is of an incarnation
 * before the last one. All of its flows have ended as well. */
TEST_F(fixture,
       a_record_of_a_store_restored_from_an_older_copy_is_of_ended_flows)
{
    set_incarnation(fixture, "i-3", 300);
    fixture->store.epoch = 2;
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 1);
    fixture_expect(fixture->store.record, "get " NAME, "reset i-1 2", NULL);
}

TEST_F(fixture, a_record_too_old_to_matter_is_dropped)
{
    set_incarnation(fixture, "i-2", 200);
    fixture->endpoint.written_ms += HOUR_MS;
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 60000);
    fixture_expect(fixture->store.record, "get " NAME, NULL);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_OUTDATED], ==, 1);
}

TEST_F(fixture, a_foreign_object_is_an_error_and_is_replaced)
{
    set_incarnation(fixture, "i-2", 200);
    add_flows(fixture, 1, 4);
    advance(fixture, 1);
    reply_with(fixture, json_object_new_object());
    advance(fixture, 20000);
    fixture_expect(fixture->store.record, "get " NAME, "put " NAME, NULL);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_FOREIGN], ==, 1);
}

TEST_F(fixture, a_store_away_at_the_start_is_read_again)
{
    set_incarnation(fixture, "i-2", 200);
    advance(fixture, 1);
    store_fixture_reply(&fixture->store, -ECONNREFUSED, 0, NULL, false);
    advance(fixture, 130);
    store_fixture_reply(&fixture->store, -EBUSY, 0, NULL, false);
    advance(fixture, 260);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 1);
    fixture_expect(fixture->store.record, "get " NAME, "get " NAME,
                   "get " NAME, "reset i-1 2", NULL);
}

TEST_F(fixture, a_store_away_for_long_is_given_up)
{
    unsigned reads = 0;

    set_incarnation(fixture, "i-2", 200);
    advance(fixture, 1);
    while (fixture->store.call != NULL && reads < 100) {
        store_fixture_reply(&fixture->store, -ECONNREFUSED, 0, NULL, false);
        reads++;
        advance(fixture, 2500);
    }
    g_assert_cmpuint(fixture->now_us, <, 20 * USEC_PER_SEC);
    g_assert_cmpuint(reads, <, 16);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_GIVEN_UP], ==, 1);
    /* Its record may exist: a write finds out. */
    add_flows(fixture, 1, 4);
    g_string_truncate(fixture->store.record, 0);
    advance(fixture, 20000);
    store_fixture_reply(&fixture->store, -EEXIST, 0, NULL, false);
    advance(fixture, 10);
    fixture_expect(fixture->store.record, "create " NAME, "put " NAME, NULL);
}

/* The first try comes late, as the registration waits for the store too. */
TEST_F(fixture, a_store_away_before_the_first_read_is_still_read)
{
    set_incarnation(fixture, "i-2", 200);
    fixture->now_us += 20 * USEC_PER_SEC;
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    advance(fixture, 1);
    fixture_expect(fixture->store.record, "get " NAME, "reset i-1 2", NULL);
}

TEST_F(fixture, nothing_is_written_while_little_changes)
{
    bring_to_writing(fixture);
    add_flows(fixture, 1, 2);
    advance(fixture, 60000);
    fixture_expect(fixture->store.record, NULL);
    add_flows(fixture, 3, 1);
    advance(fixture, 6000);
    fixture_expect(fixture->store.record, "put " NAME, NULL);
    store_fixture_reply(&fixture->store, 0, 20, NAME, false);
    /* One of 20 flows isn't covered. */
    add_flows(fixture, 4, 16);
    advance(fixture, 10000);
    store_fixture_reply(&fixture->store, 0, 30, NAME, false);
    add_flows(fixture, 20, 1);
    g_string_truncate(fixture->store.record, 0);
    advance(fixture, 60000);
    fixture_expect(fixture->store.record, NULL);
}

/* The record that was in flight when the power was lost may be the older one.
 */
TEST_F(fixture, a_write_whose_reply_is_lost_is_written_again)
{
    uint64_t written_us;

    bring_to_writing(fixture);
    add_flows(fixture, 3, 4);
    advance(fixture, 6000);
    written_us = fixture->now_us;
    store_fixture_reply(&fixture->store, -ETIMEDOUT, 0, NULL, false);
    advance(fixture, 30000);
    fixture_expect(fixture->store.record, "put " NAME, "put " NAME, NULL);
    /* Not at once: each call is paid for. */
    g_assert_cmpuint(fixture->now_us - written_us, >=, 10 * USEC_PER_SEC);
}

TEST_F(fixture, a_store_restored_from_an_older_copy_is_written_again)
{
    bring_to_writing(fixture);
    add_flows(fixture, 1, 2);
    advance(fixture, 20000);
    fixture_expect(fixture->store.record, NULL);
    record_writer_set_epoch(&fixture->writer, 2);
    advance(fixture, 10000);
    fixture_expect(fixture->store.record, "put " NAME, NULL);
}

TEST_F(fixture, an_object_that_was_removed_is_created_again)
{
    bring_to_writing(fixture);
    add_flows(fixture, 3, 4);
    advance(fixture, 6000);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    advance(fixture, 10);
    fixture_expect(fixture->store.record, "put " NAME, "create " NAME, NULL);
}

/* Interval of writes beside a store with @per_s changes a second. */
static uint64_t
pace_at(struct fixture *fixture, unsigned per_s)
{
    uint64_t last_us = 0;
    uint64_t pace_us = 0;

    bring_to_writing(fixture);
    for (unsigned i = 0; i < 10; i++) {
        fixture->endpoint.count = 0;
        add_flows(fixture, 100 * (i + 1), 4);
        advance(fixture, 2000000);
        pace_us = fixture->now_us - last_us;
        last_us = fixture->now_us;
        store_fixture_reply(&fixture->store, 0,
                            1000 + fixture->now_us * per_s / USEC_PER_SEC,
                            NAME, false);
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
    bring_to_writing(fixture);
    fixture->writer.pace_us = pace_us;
    for (unsigned i = 0; i < 4; i++) {
        uint64_t before_us = fixture->writer.replied_us;
        uint64_t revision = fixture->writer.revision;

        fixture->endpoint.count = 0;
        add_flows(fixture, 100 * (i + 1), 4);
        advance(fixture, 2000000);
        revision += before_us == 0
                        ? 1000
                        : (uint64_t)agents * (fixture->now_us - before_us) /
                              fixture->writer.pace_us;
        store_fixture_reply(&fixture->store, 0, revision, NAME, false);
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
        set_incarnation(fixture, "i-1", 100);
        add_flows(fixture, 1, 4);
        advance(fixture, 1);
        store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
        advance(fixture, 20100);
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
    set_incarnation(fixture, "i-1", 100);
    add_flows(fixture, 1, 4);
    advance(fixture, 1);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    advance(fixture, 20100);
    store_fixture_reply(&fixture->store, 0, 100, NAME, false);
    advance(fixture, 4100);
    fixture_expect(fixture->store.record, "get " NAME, "create " NAME,
                   "list swiftarch-flows ~", NULL);
    /* 720 changes in 4 s are three times the bound. */
    store_fixture_reply(&fixture->store, 0, 820, NULL, false);
    g_assert_cmpuint(fixture->writer.pace_us / USEC_PER_SEC, ==, 60);
}

TEST_F(fixture, an_agent_at_a_new_address_reads_no_record)
{
    set_incarnation(fixture, "i-1", 100);
    add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    advance(fixture, 20100);
    fixture_expect(fixture->store.record, "create " NAME, NULL);
}

TEST_F(fixture, an_agent_that_registered_learns_its_pace_by_the_first_write)
{
    set_incarnation(fixture, "i-1", 100);
    add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    record_writer_set_revision(&fixture->writer, 50, fixture->now_us);
    advance(fixture, 20100);
    /* 180 changes a second are three times the bound. */
    store_fixture_reply(&fixture->store, 0,
                        50 + 180 * (fixture->now_us - USEC_PER_SEC) /
                                 USEC_PER_SEC,
                        NAME, false);
    g_assert_cmpuint(fixture->writer.pace_us / USEC_PER_SEC, >=, 59);
    g_assert_cmpuint(fixture->writer.pace_us / USEC_PER_SEC, <=, 60);
    g_string_truncate(fixture->store.record, 0);
    add_flows(fixture, 5, 4);
    advance(fixture, 50000);
    fixture_expect(fixture->store.record, NULL);
}

/* Brings an agent at a new address to its second write, beside a store with
 * 16 changes a second. */
static void
register_and_write(struct fixture *fixture)
{
    set_incarnation(fixture, "i-1", 100);
    add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    record_writer_set_epoch(&fixture->writer, 1);
    record_writer_set_revision(&fixture->writer, 50, fixture->now_us);
    advance(fixture, 20100);
    fixture->store.epoch = 1;
    store_fixture_reply(&fixture->store, 0,
                        50 + 16 * (fixture->now_us - USEC_PER_SEC) /
                                 USEC_PER_SEC,
                        NAME, false);
    fixture->endpoint.count = 0;
    add_flows(fixture, 100, 8);
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
    advance(fixture, 7000);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 9600, NAME, false);
    g_assert_cmpuint(fixture->writer.pace_us, ==, pace_us);
}

TEST_F(fixture, load_a_rollback_during_a_write_keeps_the_pace)
{
    register_and_write(fixture);
    fixture->writer.pace_us = 333 * USEC_PER_SEC;
    fixture->now_us += 600 * USEC_PER_SEC;
    advance(fixture, 10);
    g_assert_nonnull(fixture->store.call);
    record_writer_set_epoch(&fixture->writer, 2);
    record_writer_set_revision(&fixture->writer, 50,
                               fixture->now_us + 10 * MS);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 36000, NAME, false);
    g_assert_cmpuint(fixture->writer.pace_us, ==, 333 * USEC_PER_SEC);
}

/* Its rate would be that of a time that ends before it begins. */
TEST_F(fixture, load_a_registration_during_the_first_write_keeps_the_pace)
{
    set_incarnation(fixture, "i-1", 100);
    add_flows(fixture, 1, 4);
    advance(fixture, 1);
    reply_to_read(fixture, "i-1", 100);
    fixture->writer.pace_us = 333 * USEC_PER_SEC;
    fixture->endpoint.count = 0;
    add_flows(fixture, 100, 8);
    advance(fixture, 333000);
    fixture->writer.pace_us = 333 * USEC_PER_SEC;
    record_writer_set_revision(&fixture->writer, 50,
                               fixture->now_us + 10 * MS);
    store_fixture_reply(&fixture->store, 0, 60, NAME, false);
    g_assert_cmpuint(fixture->writer.pace_us, ==, 333 * USEC_PER_SEC);
}

/* The reply was sent before the rollback, which lost what it wrote. */
TEST_F(fixture, a_write_that_a_rollback_lost_is_written_again)
{
    bring_to_writing(fixture);
    record_writer_set_epoch(&fixture->writer, 1);
    add_flows(fixture, 3, 4);
    advance(fixture, 6000);
    record_writer_set_epoch(&fixture->writer, 2);
    fixture->store.epoch = 1;
    store_fixture_reply(&fixture->store, 0, 20, NAME, false);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_FAILED], ==, 1);
    g_assert_cmpuint(fixture->writer.stored.count, ==, 0);
    advance(fixture, 15000);
    fixture_expect(fixture->store.record, "put " NAME, "put " NAME, NULL);
}

/* Its revision can't be compared with those that follow. */
TEST_F(fixture, load_a_revision_of_before_a_rollback_is_not_used)
{
    set_incarnation(fixture, "i-1", 100);
    add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    advance(fixture, 20100);
    fixture->store.epoch = 1;
    store_fixture_reply(&fixture->store, 0, 100, NAME, false);
    advance(fixture, 4100);
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

    bring_to_writing(fixture);
    add_flows(fixture, 3, 4);
    advance(fixture, 6000);
    end_us = fixture->now_us + 120 * USEC_PER_SEC;
    while (fixture->now_us < end_us && calls < 1000) {
        store_fixture_reply(&fixture->store,
                            calls % 2 == 0 ? -ENOENT : -EEXIST, 0, NULL,
                            false);
        calls++;
        advance(fixture, 60000);
        g_assert_nonnull(fixture->store.call);
    }
    g_assert_cmpuint(calls, <=, 7);
    g_assert_cmpuint(fixture->events[RECORD_EVENT_FAILED], ==, calls - 1);
    /* It is followed at once again after a write that succeeds. */
    store_fixture_reply(&fixture->store, 0, 20, NAME, false);
    fixture->endpoint.count = 0;
    add_flows(fixture, 100, 4);
    advance(fixture, 60000);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    advance(fixture, 1);
    g_assert_nonnull(fixture->store.call);
}

TEST_F(fixture, load_failed_writes_stay_within_the_longest_pace)
{
    bring_to_writing(fixture);
    fixture->writer.pace_us = 600 * USEC_PER_SEC;
    add_flows(fixture, 3, 4);
    advance(fixture, 6000);
    for (unsigned i = 0; i < 4; i++) {
        store_fixture_reply(&fixture->store, -ETIMEDOUT, 0, NULL, false);
        g_assert_cmpuint(fixture->writer.next_us - fixture->now_us, >=,
                         600 * USEC_PER_SEC);
        g_assert_cmpuint(fixture->writer.next_us - fixture->now_us, <=,
                         750 * USEC_PER_SEC);
        fixture->now_us = fixture->writer.next_us;
        advance(fixture, 10);
    }
}

/* The agent registers with 300 others and writes soon after. */
TEST_F(fixture, load_a_burst_before_the_first_write_doesnt_set_the_pace)
{
    set_incarnation(fixture, "i-1", 100);
    add_flows(fixture, 1, 4);
    record_writer_skip_read(&fixture->writer);
    record_writer_set_revision(&fixture->writer, 50, fixture->now_us);
    advance(fixture, 1);
    fixture->writer.next_us = fixture->now_us + 1500 * MS;
    advance(fixture, 1600);
    store_fixture_reply(&fixture->store, 0, 350, NAME, false);
    g_assert_false(fixture->writer.pace_known);
    /* The query's rate is over a longer time. */
    advance(fixture, 4100);
    g_assert_true(fixture->writer.probing);
    store_fixture_reply(&fixture->store, 0, 350 + 16 * 4, NULL, false);
    g_assert_cmpuint(fixture->writer.pace_us / USEC_PER_SEC, ==, 22);
}
