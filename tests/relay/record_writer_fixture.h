/** DOC: record_writer_fixture - a record writer with its store and endpoint */
#ifndef SWIFTARCH_TESTS_RELAY_RECORD_WRITER_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_RECORD_WRITER_FIXTURE_H

#include "relay/records/record_writer.h"
#include "relay/relay_fixture.h"
#include "relay/store_fixture.h"

/* Name of the writer's object. */
#define FIXTURE_NAME "10-1-0-13-8172"

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

void
fixture_init(struct fixture *fixture);

void
fixture_finish(struct fixture *fixture);

/** fixture_set_incarnation() - the endpoint's current incarnation */
void
fixture_set_incarnation(struct fixture *fixture, const char *id,
                        uint64_t started_ms);

/** fixture_advance() - advance the time until a call is open, @ms at most */
void
fixture_advance(struct fixture *fixture, unsigned ms);

/** fixture_reply_with() - reply to the open call with an object of @value,
 * which is freed */
void
fixture_reply_with(struct fixture *fixture, struct json_object *value);

/** fixture_reply_to_read() - reply to the open read with a record of two flows
 * of an incarnation, whose writer knew its pace */
void
fixture_reply_to_read(struct fixture *fixture, const char *id,
                      uint64_t started_ms);

/** fixture_add_flows() - open flows at the endpoint */
void
fixture_add_flows(struct fixture *fixture, unsigned first, unsigned count);

/** fixture_bring_to_writing() - bring the writer, beside a living endpoint, to
 * where it writes */
void
fixture_bring_to_writing(struct fixture *fixture);

#endif
