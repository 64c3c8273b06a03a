/**
 * DOC: requests_fixture - an agent that schedules the requests of open flows
 *
 * Its endpoint has two slots, so that it is given four requests at first.
 */
#ifndef SWIFTARCH_TESTS_RELAY_REQUESTS_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_REQUESTS_FIXTURE_H

#include "relay/admission_fixture.h"

#define REQUESTS_ROOM 4
#define REQUESTS_URGENT 0
#define REQUESTS_ORDINARY 1
#define REQUESTS_TARGET_MS 300
#define REQUESTS_TIMEOUT_MS 1500

/* Sequence number of a flow's request, after @before of 40 bytes each. */
#define REQUESTS_SEQ(before) (101 + 40 * (uint32_t)(before))

/* Bytes in an answer. */
#define REQUESTS_ANSWER 900

/* A test with this fixture. */
#define SCHEDULED_TEST(name)                                                  \
    TEST_WITH(fixture, requests_init, fixture_finish, name)

/** requests_init() - an agent with scheduling, whose endpoint has two slots */
void
requests_init(struct fixture *fixture);

/** requests_send_packet() - a packet of a route comes */
void
requests_send_packet(struct fixture *fixture, struct relay_packet packet,
                     uint8_t priority);

/** requests_send_part() - a flow's packet comes after @before requests, @at
 * bytes into the next one */
void
requests_send_part(struct fixture *fixture, unsigned number, unsigned before,
                   unsigned at, uint16_t len, uint8_t flags, uint8_t priority);

/** requests_send_request() - a whole request comes after @before others */
void
requests_send_request(struct fixture *fixture, unsigned number,
                      unsigned before, uint8_t priority);

/** requests_answer() - the endpoint answers the request after @before others
 */
void
requests_answer(struct fixture *fixture, unsigned number, unsigned before);

/** requests_send_syn() - a SYN comes */
void
requests_send_syn(struct fixture *fixture, unsigned number, uint8_t priority);

/** requests_answer_syn() - the endpoint answers a SYN */
void
requests_answer_syn(struct fixture *fixture, unsigned number);

/** requests_open_flow() - a flow opens */
void
requests_open_flow(struct fixture *fixture, unsigned number);

/** requests_open_flows() - flows 1 to @count open, each of which has one
 * request */
void
requests_open_flows(struct fixture *fixture, unsigned count);

/** requests_start_full() - flows open, of which the first ones fill the
 * endpoint's room */
void
requests_start_full(struct fixture *fixture, unsigned count);

#endif
