/**
 * DOC: relay_rig - packets, frames and a record of what decisions lead to
 */
#ifndef SWIFTARCH_TESTS_RELAY_RELAY_RIG_H
#define SWIFTARCH_TESTS_RELAY_RELAY_RIG_H

#include <glib.h>

#include "base/addr.h"
#include "relay/wire/frame.h"
#include "relay/wire/packet.h"

#define RIG_DATA 34

/** rig_addr() - address of "a.b.c.d:port" */
struct addr
rig_addr(const char *text);

/** rig_flow() - flow of caller number @number to the rig's service address */
struct relay_flow
rig_flow(unsigned number);

/** rig_from_caller() - a packet of a caller; bytes stay until the next */
struct relay_packet
rig_from_caller(struct relay_flow flow, unsigned flags, uint32_t seq,
                uint32_t ack, uint16_t len);

/** rig_from_endpoint() - a packet of an endpoint */
struct relay_packet
rig_from_endpoint(struct relay_flow flow, unsigned flags, uint32_t seq,
                  uint32_t ack, uint16_t len);

/** rig_bounced() - what a caller sent, as an endpoint hands it back */
struct relay_packet
rig_bounced(struct relay_packet packet);

/** rig_expect() - the record reads exactly @lines (ends with NULL), which
 * clears it */
void
rig_expect(GString *record, ...) G_GNUC_NULL_TERMINATED;

/** rig_note() - add a line to the record */
void
rig_note(GString *record, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

#endif
