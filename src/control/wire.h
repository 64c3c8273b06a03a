/**
 * DOC: wire - encodes and decodes member messages (protobuf-c)
 */
#ifndef SWIFTARCH_CONTROL_WIRE_H
#define SWIFTARCH_CONTROL_WIRE_H

#include <stddef.h>
#include <stdint.h>

#include "control/member.h"

/* Maximum size of an encoded message without updates, summary and wants,
 * bytes. */
#define WIRE_HEADER_MAX 96

/** wire_update_size() - maximum of bytes that an update adds to a message */
size_t
wire_update_size(const struct member_update *update);

/** wire_size() - size of the encoded message, bytes */
size_t
wire_size(const struct member_msg *msg);

/** wire_encode() - encode @msg to @buf (wire_size() bytes); returns its length
 */
size_t
wire_encode(const struct member_msg *msg, uint8_t *buf);

/**
 * wire_decode() - decode a message that member @from sent
 *
 * Return: 0, or -EBADMSG if it is malformed or out of range; @msg is then
 * empty. On success the caller frees it by member_msg_finish().
 */
int
wire_decode(const uint8_t *buf, size_t len, uint64_t from,
            struct member_msg *msg);

#endif
