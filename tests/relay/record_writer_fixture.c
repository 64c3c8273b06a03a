#include "relay/record_writer_fixture.h"

#include "base/clock.h"

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

void
fixture_set_incarnation(struct fixture *fixture, const char *id,
                        uint64_t started_ms)
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

void
fixture_init(struct fixture *fixture)
{
    store_fixture_init(&fixture->store);
    fixture->now_us = USEC_PER_SEC;
    g_strlcpy(fixture->endpoint.service, "lots", ROUTES_NAME_MAX);
    fixture->endpoint.written_ms = 1700000060000;
    start_writer(fixture);
}

void
fixture_finish(struct fixture *fixture)
{
    store_fixture_finish(&fixture->store);
}

void
fixture_advance(struct fixture *fixture, unsigned ms)
{
    for (unsigned i = 0; i < ms && fixture->store.call == NULL; i++) {
        fixture->now_us += USEC_PER_MSEC;
        record_writer_tick(&fixture->writer, fixture->now_us);
    }
}

void
fixture_reply_with(struct fixture *fixture, struct json_object *value)
{
    struct store_object object = {
        .name = FIXTURE_NAME, .revision = 7, .value = value};
    struct store_reply reply = {.epoch = 1, .objects = &object, .count = 1};
    struct store_call *call = fixture->store.call;

    g_assert_nonnull(call);
    fixture->store.call = NULL;
    call->done(call, &reply);
    json_object_put(value);
}

void
fixture_reply_to_read(struct fixture *fixture, const char *id,
                      uint64_t started_ms)
{
    struct flow_record *record = g_new0(struct flow_record, 1);

    g_strlcpy(record->service, "lots", ROUTES_NAME_MAX);
    g_strlcpy(record->id, id, ENDPOINT_ID_MAX);
    record->started_ms = started_ms;
    record->written_ms = 1700000057000;
    record->pace_ms = 5000;
    flow_record_add(record, fixture_flow(1), 501);
    flow_record_add(record, fixture_flow(2), 501);
    fixture_reply_with(fixture, flow_record_encode(record));
    g_free(record);
}

void
fixture_add_flows(struct fixture *fixture, unsigned first, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        flow_record_add(&fixture->endpoint, fixture_flow(first + i), 501);
    }
}

void
fixture_bring_to_writing(struct fixture *fixture)
{
    fixture_set_incarnation(fixture, "i-1", 100);
    fixture_advance(fixture, 1);
    fixture_reply_to_read(fixture, "i-1", 100);
    fixture_advance(fixture, 1);
    g_string_truncate(fixture->store.record, 0);
}
