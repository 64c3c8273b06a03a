#include "agent/orphan_wire.h"

#include <errno.h>

#include "agent/peer.pb-c.h"

#define CALLER_LEN 6 /* IPv4 address and port, big endian */

static void
write_caller(uint8_t *at, struct addr caller)
{
    at[0] = (uint8_t)(caller.ip >> 24);
    at[1] = (uint8_t)(caller.ip >> 16);
    at[2] = (uint8_t)(caller.ip >> 8);
    at[3] = (uint8_t)caller.ip;
    at[4] = (uint8_t)(caller.port >> 8);
    at[5] = (uint8_t)caller.port;
}

static struct addr
read_caller(const uint8_t *at)
{
    return (struct addr){
        .ip = (uint32_t)at[0] << 24 | (uint32_t)at[1] << 16 |
              (uint32_t)at[2] << 8 | at[3],
        .port = (uint16_t)(at[4] << 8 | at[5]),
    };
}

GByteArray *
orphan_wire_pack(const struct orphan_message *message)
{
    Swiftarch__PeerMessage raw = SWIFTARCH__PEER_MESSAGE__INIT;
    Swiftarch__PeerNotice notice = SWIFTARCH__PEER_NOTICE__INIT;
    uint8_t callers[ORPHAN_BATCH_MAX * CALLER_LEN];
    size_t count = message->opened + message->closed;

    g_assert(count <= ORPHAN_BATCH_MAX);
    for (size_t i = 0; i < count; i++) {
        write_caller(callers + i * CALLER_LEN, message->callers[i]);
    }
    notice.type = (uint32_t)message->type;
    notice.known = message->known;
    notice.boot = message->boot;
    notice.session = message->session;
    notice.seq = message->seq;
    notice.ip = message->service.ip;
    notice.port = message->service.port;
    notice.opened.data = callers;
    notice.opened.len = message->opened * CALLER_LEN;
    notice.closed.data = callers + notice.opened.len;
    notice.closed.len = message->closed * CALLER_LEN;
    raw.type = PEER_WIRE_ORPHANS;
    raw.notice = &notice;
    return peer_wire_pack_raw(&raw);
}

/* Writes the callers of @bytes from index @used; their count or -EBADMSG. */
static int
read_callers(const ProtobufCBinaryData *bytes, size_t used,
             struct orphan_message *message)
{
    size_t count = bytes->len / CALLER_LEN;

    if (bytes->len % CALLER_LEN != 0 || count > ORPHAN_BATCH_MAX - used) {
        return -EBADMSG;
    }
    for (size_t i = 0; i < count; i++) {
        message->callers[used + i] = read_caller(bytes->data + i * CALLER_LEN);
    }
    return (int)count;
}

int
orphan_wire_read(const struct peer_wire *wire, struct orphan_message *message)
{
    const Swiftarch__PeerNotice *raw = wire->raw->notice;

    if (raw == NULL || raw->type > ORPHAN_MESSAGE_ACK ||
        raw->port > UINT16_MAX) {
        return -EBADMSG;
    }
    *message = (struct orphan_message){
        .type = (enum orphan_message_type)raw->type,
        .known = raw->known,
        .boot = raw->boot,
        .session = raw->session,
        .seq = raw->seq,
        .service = {raw->ip, (uint16_t)raw->port},
    };
    int opened = read_callers(&raw->opened, 0, message);
    if (opened < 0) {
        return opened;
    }
    message->opened = (size_t)opened;
    int closed = read_callers(&raw->closed, message->opened, message);
    if (closed < 0) {
        return closed;
    }
    message->closed = (size_t)closed;
    return 0;
}
