/**
 * DOC: peer_wire - engine messages and pins as bytes (protobuf-c)
 */
#ifndef SWIFTARCH_AGENT_PEER_WIRE_H
#define SWIFTARCH_AGENT_PEER_WIRE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "flow/flow.h"
#include "request/engine.h"

#define PEER_WIRE_PINS 100    /* PeerMessage.type of pins */
#define PEER_WIRE_ORPHANS 101 /* and of agent/orphan_wire.h */
#define PEER_WIRE_PINS_MAX 64

struct Swiftarch__PeerMessage;

/**
 * peer_wire_pack() - bytes of a message
 * @bytes: request or answer that goes with it, or NULL
 * @traceparent: trace context of a RUN, or NULL
 * @now_us: own clock; a deadline travels as the time left, since the
 *          clocks of two hosts have nothing in common
 */
GByteArray *
peer_wire_pack(const struct engine_peer_msg *msg, const GByteArray *bytes,
               const char *traceparent, uint64_t now_us);

/** peer_wire_pack_pins() - bytes of at most PEER_WIRE_PINS_MAX pins */
GByteArray *
peer_wire_pack_pins(const struct flow_pin *pins, size_t count);

/**
 * struct peer_wire - a message read
 * @raw: what the other members point into
 * @pins: it carries pins, not a message of the engine
 * @notice: it carries a message for agent/orphan_wire.h
 * @msg: the message
 * @bytes: request or answer, or NULL
 * @len: its length
 * @traceparent: or ""
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

/** peer_wire_unpack() - 0 or -EBADMSG; free with peer_wire_finish(). The
 * deadline counts from @now_us, own clock */
int
peer_wire_unpack(const uint8_t *body, size_t len, uint64_t now_us,
                 struct peer_wire *wire);

/** peer_wire_pack_raw() - bytes of any message */
GByteArray *
peer_wire_pack_raw(const struct Swiftarch__PeerMessage *raw);

/** peer_wire_pin() - pin @i, or false past the last */
bool
peer_wire_pin(const struct peer_wire *wire, size_t i, struct flow_pin *pin);

/** peer_wire_finish() - free what was read */
void
peer_wire_finish(struct peer_wire *wire);

#endif
