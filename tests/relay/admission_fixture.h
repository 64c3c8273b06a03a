/**
 * DOC: admission_fixture - one agent's decisions, with what they lead to
 * written down
 */
#ifndef SWIFTARCH_TESTS_RELAY_ADMISSION_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_ADMISSION_FIXTURE_H

#include <stdbool.h>

#include "relay/admission/admission.h"
#include "relay/relay_fixture.h"

/* A flow that no test names otherwise. */
#define FIXTURE_FILL_LAST 900

#define FIXTURE_BALANCER "10.9.0.1:7720"

/* Agents that frames name. */
#define FIXTURE_SECOND "10.0.0.2:7000"
#define FIXTURE_THIRD "10.0.0.3:7000"

/**
 * struct fixture - an agent whose endpoint is of the service "lots"
 * @out: writes into @record
 * @admission: its decisions
 * @record: a line for each output
 * @now_us: the time
 * @readers: readers of the store that a balancer was told of last
 * @trying: those that try to read it
 */
struct fixture {
    struct admission_out out;
    struct admission admission;
    GString *record;
    uint64_t now_us;
    unsigned readers;
    unsigned trying;
};

void
fixture_init(struct fixture *fixture);

void
fixture_finish(struct fixture *fixture);

/** fixture_receive() - carry a packet that may go on to @next agents, the
 * second and the third */
void
fixture_receive(struct fixture *fixture, struct relay_packet packet,
                unsigned next, bool forced);

/** fixture_receive_along() - the same, along @next and, unless it is NULL,
 * @last
 */
void
fixture_receive_along(struct fixture *fixture, struct relay_packet packet,
                      const char *next, const char *last);

/** fixture_receive_forced() - carry a SYN that is to stay here, to be answered
 * within @target_ms */
void
fixture_receive_forced(struct fixture *fixture, unsigned number,
                       unsigned target_ms, unsigned caller_timeout_ms,
                       unsigned priority);

/** fixture_answer() - the endpoint sends a packet */
void
fixture_answer(struct fixture *fixture, struct relay_packet packet);

/** fixture_advance_ms() - let time pass */
void
fixture_advance_ms(struct fixture *fixture, unsigned ms);

/** fixture_open_flow() - open a flow that the endpoint takes */
void
fixture_open_flow(struct fixture *fixture, unsigned number);

/** fixture_fill() - open flows 1 to 3 and FIXTURE_FILL_LAST, which is all that
 * the endpoint is given */
void
fixture_fill(struct fixture *fixture);

/** fixture_starts() - the endpoint sends its first heartbeat since @started_ms
 */
void
fixture_starts(struct fixture *fixture, const char *id, uint64_t started_ms);

/** fixture_heartbeat() - the endpoint sends one */
void
fixture_heartbeat(struct fixture *fixture, const char *id, const char *service,
                  bool draining, uint64_t sequence);

#endif
