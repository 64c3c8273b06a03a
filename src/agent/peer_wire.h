/**
 * DOC: peer_wire - encodes engine messages and pins as in peer.proto
 */
#ifndef SWIFTARCH_AGENT_PEER_WIRE_H
#define SWIFTARCH_AGENT_PEER_WIRE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/flow.h"
#include "request/engine.h"

#define PEER_WIRE_PINS 100    /* PeerMessage.type of pins */
#define PEER_WIRE_ORPHANS 101 /* PeerMessage.type of orphans */
#define PEER_WIRE_PINS_MAX 64

struct Swiftarch__PeerMessage;

/**
 * peer_wire_pack() - encode a message; freed by the caller
 * @bytes: HTTP request or response of the message, or NULL
 * @traceparent: trace context of a RUN, or NULL
 * @now_us: monotonic time; the deadline is sent as the time left, because
 *          monotonic clocks of two hosts can't be compared
 */
GByteArray *
peer_wire_pack(const struct engine_peer_msg *msg, const GByteArray *bytes,
               const char *traceparent, uint64_t now_us);

/** peer_wire_pack_pins() - encode at most PEER_WIRE_PINS_MAX pins; freed by
 * the caller */
GByteArray *
peer_wire_pack_pins(const struct flow_pin *pins, size_t count);

/**
 * struct peer_wire - a decoded message
 * @raw: protobuf message; owns the memory of @msg, @bytes and @traceparent
 * @pins: has pins, read by peer_wire_pin()
 * @notice: has an orphan message, read by orphan_wire_read()
 * @msg: engine message, unless @pins or @notice
 * @bytes: HTTP request or response, or NULL
 * @len: length of @bytes
 * @traceparent: trace context of a RUN, or ""
 */
struct peer_wire {
    struct Swiftarch__PeerMessage *raw;
    bool pins;
    bool notice;
    struct engine_peer_msg msg;
    const uint8_t *bytes;
    size_t len;
    const char *traceparent;
};

/** peer_wire_unpack() - decode a message; 0, to be freed with
 * peer_wire_finish(), or -EBADMSG. The deadline counts from @now_us, in
 * monotonic time */
int
peer_wire_unpack(const uint8_t *body, size_t len, uint64_t now_us,
                 struct peer_wire *wire);

/** peer_wire_pack_raw() - encode a protobuf message; freed by the caller */
GByteArray *
peer_wire_pack_raw(const struct Swiftarch__PeerMessage *raw);

/** peer_wire_pin() - write pin @i to @pin; false past the last */
bool
peer_wire_pin(const struct peer_wire *wire, size_t i, struct flow_pin *pin);

/** peer_wire_finish() - free a decoded message; may be called again */
void
peer_wire_finish(struct peer_wire *wire);

#endif
