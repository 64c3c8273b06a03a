/**
 * DOC: relay_fixture - packets for tests, and a record of expected outputs
 */
#ifndef SWIFTARCH_TESTS_RELAY_RELAY_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_RELAY_FIXTURE_H

#include <glib.h>

#include "base/addr.h"
#include "relay/wire/frame.h"
#include "relay/wire/packet.h"

/* Bytes of a packet before its payload. */
#define FIXTURE_HEADERS_SIZE 34

/** fixture_addr() - parse "a.b.c.d:port" */
struct addr
fixture_addr(const char *text);

/** fixture_flow() - flow from caller @number to the fixture's service address
 */
struct relay_flow
fixture_flow(unsigned number);

/** fixture_from_caller() - make a packet from the caller; its bytes are valid
 * until the next packet is made */
struct relay_packet
fixture_from_caller(struct relay_flow flow, unsigned flags, uint32_t seq,
                    uint32_t ack, uint16_t len);

/** fixture_from_endpoint() - make a packet from the endpoint */
struct relay_packet
fixture_from_endpoint(struct relay_flow flow, unsigned flags, uint32_t seq,
                      uint32_t ack, uint16_t len);

/** fixture_bounced() - a caller's packet as returned by the endpoint */
struct relay_packet
fixture_bounced(struct relay_packet packet);

/** fixture_expect() - check that the record holds exactly the given lines,
 * which end with NULL, and clear it */
void
fixture_expect(GString *record, ...) G_GNUC_NULL_TERMINATED;

/** fixture_record() - append a line to the record */
void
fixture_record(GString *record, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

#endif
