#include "base/link_wire.h"

#include <assert.h>
#include <errno.h>
#include <string.h>
#include <sys/random.h>

#define MAGIC_LEN 4
#define PARTS 5

static const uint8_t magic[MAGIC_LEN] = {'S', 'A', 'L', '1'};

static void
put_be(uint8_t *out, uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--, value >>= 8)
        out[i] = (uint8_t)value;
}

static uint64_t
get_be(const uint8_t *in, int bytes)
{
    uint64_t value = 0;

    for (int i = 0; i < bytes; i++)
        value = value << 8 | in[i];
    return value;
}

static void
frame_tag(struct auth *auth, const uint8_t *receiver, const uint8_t *sender,
          const uint8_t *head, const uint8_t *body, size_t len,
          uint8_t tag[AUTH_TAG_LEN])
{
    struct auth_part parts[] = {
        {magic, MAGIC_LEN},
        {receiver, LINK_WIRE_NONCE_LEN},
        {sender, LINK_WIRE_NONCE_LEN},
        {head + LINK_WIRE_LENGTH_LEN,
         LINK_WIRE_HEADER_LEN - LINK_WIRE_LENGTH_LEN},
        {body, len},
    };

    auth_tag(auth, parts, PARTS, tag);
}

int
link_wire_init(struct link_wire *wire, uint8_t hello[LINK_WIRE_HELLO_LEN])
{
    memset(wire, 0, sizeof(*wire));
    if (getrandom(wire->own_nonce, LINK_WIRE_NONCE_LEN, 0) !=
        LINK_WIRE_NONCE_LEN)
        return -EIO;
    memcpy(hello, magic, MAGIC_LEN);
    memcpy(hello + MAGIC_LEN, wire->own_nonce, LINK_WIRE_NONCE_LEN);
    return 0;
}

int
link_wire_read_hello(struct link_wire *wire,
                     const uint8_t hello[LINK_WIRE_HELLO_LEN])
{
    if (memcmp(hello, magic, MAGIC_LEN) != 0)
        return -EBADMSG;
    memcpy(wire->peer_nonce, hello + MAGIC_LEN, LINK_WIRE_NONCE_LEN);
    /* A reflected hello would make our own frames valid as the peer's. */
    if (memcmp(wire->peer_nonce, wire->own_nonce, LINK_WIRE_NONCE_LEN) == 0)
        return -EBADMSG;
    wire->ready = true;
    return 0;
}

void
link_wire_seal(struct link_wire *wire, struct auth *auth, uint16_t type,
               const uint8_t *body, size_t len,
               uint8_t head[LINK_WIRE_HEADER_LEN], uint8_t tag[AUTH_TAG_LEN])
{
    assert(wire->ready);
    put_be(head, LINK_WIRE_OVERHEAD - LINK_WIRE_LENGTH_LEN + len, 4);
    put_be(head + 4, type, 2);
    put_be(head + 6, auth->self, 8);
    put_be(head + 14, wire->sent++, 8);
    frame_tag(auth, wire->peer_nonce, wire->own_nonce, head, body, len, tag);
}

size_t
link_wire_frame_size(const uint8_t length[LINK_WIRE_LENGTH_LEN])
{
    return LINK_WIRE_LENGTH_LEN + (size_t)get_be(length, LINK_WIRE_LENGTH_LEN);
}

int
link_wire_open(struct link_wire *wire, struct auth *auth, const uint8_t *data,
               size_t len, struct link_frame *frame)
{
    uint8_t tag[AUTH_TAG_LEN];

    if (len < LINK_WIRE_OVERHEAD || !wire->ready)
        return -EBADMSG;
    frame->type = (uint16_t)get_be(data + 4, 2);
    frame->sender = get_be(data + 6, 8);
    frame->body = data + LINK_WIRE_HEADER_LEN;
    frame->len = len - LINK_WIRE_OVERHEAD;
    frame_tag(auth, wire->own_nonce, wire->peer_nonce, data, frame->body,
              frame->len, tag);
    if (!auth_tag_equal(tag, data + len - AUTH_TAG_LEN))
        return -EBADMSG;
    if (get_be(data + 14, 8) != wire->received)
        return -EBADMSG;
    if (wire->received > 0 && frame->sender != wire->sender)
        return -EBADMSG;
    wire->sender = frame->sender;
    wire->received++;
    return 0;
}
