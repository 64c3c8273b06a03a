/**
 * DOC: admission_fixture - an agent's decision state whose outputs are
 * recorded as text
 */
#ifndef SWIFTARCH_TESTS_RELAY_ADMISSION_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_ADMISSION_FIXTURE_H

#include <stdbool.h>

#include "relay/admission/admission.h"
#include "relay/relay_fixture.h"

/* Flow number that fixture_fill() uses besides 1 to 3; no test uses it
 * otherwise. */
#define FIXTURE_FILL_LAST 900

#define FIXTURE_BALANCER "10.9.0.1:7720"

/* Agents on the lookup path of frames. */
#define FIXTURE_SECOND "10.0.0.2:7000"
#define FIXTURE_THIRD "10.0.0.3:7000"

/**
 * struct fixture - an agent whose endpoint is of the service "lots"
 * @out: appends each output to @record
 * @admission: the state under test
 * @record: a line for each output
 * @now_us: the time
 * @readers: balancers that read the store, in the last status frame
 * @trying: balancers that try to read it, in the same frame
 * @load: the endpoint's load, in the same frame
 */
struct fixture {
    struct admission_out out;
    struct admission admission;
    GString *record;
    uint64_t now_us;
    unsigned readers;
    unsigned trying;
    struct frame_load load;
};

void
fixture_init(struct fixture *fixture);

void
fixture_finish(struct fixture *fixture);

/** fixture_receive() - a frame with @packet comes from FIXTURE_BALANCER, with
 * a lookup path of the first @next of FIXTURE_SECOND and FIXTURE_THIRD */
void
fixture_receive(struct fixture *fixture, struct relay_packet packet,
                unsigned next, bool forced);

/** fixture_receive_along() - the same with a lookup path of @next and, unless
 * it is NULL, @last */
void
fixture_receive_along(struct fixture *fixture, struct relay_packet packet,
                      const char *next, const char *last);

/** fixture_receive_forced() - a SYN of flow @number comes that no other agent
 * took; times in milliseconds */
void
fixture_receive_forced(struct fixture *fixture, unsigned number,
                       unsigned target_ms, unsigned caller_timeout_ms,
                       unsigned priority);

/** fixture_answer() - the endpoint sends a packet */
void
fixture_answer(struct fixture *fixture, struct relay_packet packet);

/** fixture_advance_ms() - advance the time and call admission_tick() */
void
fixture_advance_ms(struct fixture *fixture, unsigned ms);

/** fixture_open_flow() - open a flow that the endpoint answers */
void
fixture_open_flow(struct fixture *fixture, unsigned number);

/** fixture_fill() - open flows 1 to 3 and FIXTURE_FILL_LAST, so that the
 * endpoint has no capacity left */
void
fixture_fill(struct fixture *fixture);

/** fixture_watch() - the agent is there without an endpoint for so long that
 * the next incarnation starts beside it and all of its flows are known */
void
fixture_watch(struct fixture *fixture);

/** fixture_starts() - the endpoint sends the first heartbeat of an incarnation
 */
void
fixture_starts(struct fixture *fixture, const char *id, uint64_t started_ms);

/** fixture_heartbeat() - the endpoint sends a heartbeat without a start time
 */
void
fixture_heartbeat(struct fixture *fixture, const char *id, const char *service,
                  bool draining, uint64_t sequence);

#endif
