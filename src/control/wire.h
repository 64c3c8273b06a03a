/**
 * DOC: wire - member messages as bytes (protobuf-c)
 */
#ifndef SWIFTARCH_CONTROL_WIRE_H
#define SWIFTARCH_CONTROL_WIRE_H

#include <stddef.h>
#include <stdint.h>

#include "control/member.h"

/* Largest encoded message without updates, summary and wants. */
#define WIRE_HEADER_MAX 96

/** wire_update_size() - most bytes that an update adds to a message */
size_t
wire_update_size(const struct member_update *update);

/** wire_size() - bytes of the encoded message */
size_t
wire_size(const struct member_msg *msg);

/** wire_encode() - write @msg to @buf (wire_size() bytes), return its length
 */
size_t
wire_encode(const struct member_msg *msg, uint8_t *buf);

/**
 * wire_decode() - read a message that member @from sent
 *
 * Return: 0 or -EBADMSG for what is malformed or out of range; @msg then
 * holds nothing.
 */
int
wire_decode(const uint8_t *buf, size_t len, uint64_t from,
            struct member_msg *msg);

#endif
