/**
 * DOC: orphan_wire - encodes messages of src/orphans (PeerNotice of
 * peer.proto)
 */
#ifndef SWIFTARCH_AGENT_ORPHAN_WIRE_H
#define SWIFTARCH_AGENT_ORPHAN_WIRE_H

#include <glib.h>

#include "agent/peer_wire.h"
#include "orphans/message.h"

/** orphan_wire_pack() - encode @message as a PeerMessage; freed by the caller
 */
GByteArray *
orphan_wire_pack(const struct orphan_message *message);

/** orphan_wire_read() - decode the orphan message of @wire; 0 or -EBADMSG */
int
orphan_wire_read(const struct peer_wire *wire, struct orphan_message *message);

#endif
