/**
 * DOC: notice_wire - messages of src/notice as bytes (protobuf-c)
 */
#ifndef SWIFTARCH_AGENT_ORPHAN_WIRE_H
#define SWIFTARCH_AGENT_ORPHAN_WIRE_H

#include <glib.h>

#include "agent/peer_wire.h"
#include "orphans/message.h"

/** orphan_wire_pack() - bytes of a message */
GByteArray *
orphan_wire_pack(const struct orphan_message *message);

/** orphan_wire_read() - the message that @wire carries; 0 or -EBADMSG */
int
orphan_wire_read(const struct peer_wire *wire, struct orphan_message *message);

#endif
