/**
 * DOC: link_wire - how frames of a link look and how they are proven
 *
 * Each side starts a connection with a hello: magic (4), nonce (16). A
 * frame is: length (4, big endian, of what follows), type (2), sender (8),
 * sequence (8), body, tag (16). The tag covers the nonces of both sides
 * (the receiver's first), type, sender, sequence and body; sequences count
 * up by one in each direction. So no frame of another connection or of
 * the other direction passes, nor one replayed, left out or reordered. The
 * first frame of each side is a proof without a body.
 */
#ifndef SWIFTARCH_BASE_LINK_WIRE_H
#define SWIFTARCH_BASE_LINK_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/auth.h"

#define LINK_WIRE_NONCE_LEN 16
#define LINK_WIRE_HELLO_LEN 20
#define LINK_WIRE_LENGTH_LEN 4
#define LINK_WIRE_HEADER_LEN 22
#define LINK_WIRE_OVERHEAD (LINK_WIRE_HEADER_LEN + AUTH_TAG_LEN)
#define LINK_WIRE_AUTH UINT16_MAX

/**
 * struct link_wire - one side of a connection
 * @own_nonce: nonce we sent
 * @peer_nonce: nonce the peer sent
 * @ready: @peer_nonce is known
 * @sent: frames sent
 * @received: frames received
 * @sender: who the peer is, 0 before its first frame
 */
struct link_wire {
    uint8_t own_nonce[LINK_WIRE_NONCE_LEN];
    uint8_t peer_nonce[LINK_WIRE_NONCE_LEN];
    bool ready;
    uint64_t sent;
    uint64_t received;
    uint64_t sender;
};

/** struct link_frame - a frame that was opened; @body points into it */
struct link_frame {
    uint16_t type;
    uint64_t sender;
    const uint8_t *body;
    size_t len;
};

/** link_wire_init() - pick a nonce and write the hello; 0 or -EIO */
int
link_wire_init(struct link_wire *wire, uint8_t hello[LINK_WIRE_HELLO_LEN]);

/** link_wire_read_hello() - read the peer's hello; 0 or -EBADMSG */
int
link_wire_read_hello(struct link_wire *wire,
                     const uint8_t hello[LINK_WIRE_HELLO_LEN]);

/** link_wire_seal() - what goes before and after @body; needs @ready */
void
link_wire_seal(struct link_wire *wire, struct auth *auth, uint16_t type,
               const uint8_t *body, size_t len,
               uint8_t head[LINK_WIRE_HEADER_LEN], uint8_t tag[AUTH_TAG_LEN]);

/** link_wire_frame_size() - bytes of the whole frame that starts with @length
 */
size_t
link_wire_frame_size(const uint8_t length[LINK_WIRE_LENGTH_LEN]);

/**
 * link_wire_open() - check a whole frame of @len bytes
 *
 * Return: 0, -EBADMSG (short, wrong tag or another sender than before).
 */
int
link_wire_open(struct link_wire *wire, struct auth *auth, const uint8_t *data,
               size_t len, struct link_frame *frame);

#endif
