/**
 * DOC: relay_rig - packets, frames and a record of what decisions lead to
 */
#ifndef SWIFTARCH_TESTS_RELAY_RELAY_FIXTURE_H
#define SWIFTARCH_TESTS_RELAY_RELAY_FIXTURE_H

#include <glib.h>

#include "base/addr.h"
#include "relay/wire/frame.h"
#include "relay/wire/packet.h"

#define FIXTURE_HEADERS_SIZE 34

/** fixture_addr() - address of "a.b.c.d:port" */
struct addr
fixture_addr(const char *text);

/** fixture_flow() - flow of caller number @number to the rig's service address
 */
struct relay_flow
fixture_flow(unsigned number);

/** fixture_from_caller() - a packet of a caller; bytes stay until the next */
struct relay_packet
fixture_from_caller(struct relay_flow flow, unsigned flags, uint32_t seq,
                    uint32_t ack, uint16_t len);

/** fixture_from_endpoint() - a packet of an endpoint */
struct relay_packet
fixture_from_endpoint(struct relay_flow flow, unsigned flags, uint32_t seq,
                      uint32_t ack, uint16_t len);

/** fixture_bounced() - what a caller sent, as an endpoint hands it back */
struct relay_packet
fixture_bounced(struct relay_packet packet);

/** fixture_expect() - the record reads exactly @lines (ends with NULL), which
 * clears it */
void
fixture_expect(GString *record, ...) G_GNUC_NULL_TERMINATED;

/** fixture_record() - add a line to the record */
void
fixture_record(GString *record, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

#endif
