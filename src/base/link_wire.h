/**
 * DOC: link_wire - wire format and authentication of link frames
 *
 * Each side starts a connection with a hello: magic (4), nonce (16). A frame
 * is: length of the rest (4, big endian), type (2), sender (8), sequence (8),
 * body, tag (16). The tag covers the nonces of both sides (the receiver's
 * first), type, sender, sequence and body. Sequences start at 0 and increase
 * by one in each direction. Replayed, missing and reordered frames, and those
 * of another connection or direction, are therefore rejected. The first frame
 * of each side has the type LINK_WIRE_AUTH and no body.
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
#define LINK_WIRE_AUTH UINT16_MAX /* frame type */

/**
 * struct link_wire - one side of a connection
 * @own_nonce: nonce of the own hello
 * @peer_nonce: nonce of the peer's hello
 * @ready: the peer's hello was received
 * @sent: frames sent
 * @received: frames received
 * @sender: member id of the peer, 0 before its first frame
 */
struct link_wire {
    uint8_t own_nonce[LINK_WIRE_NONCE_LEN];
    uint8_t peer_nonce[LINK_WIRE_NONCE_LEN];
    bool ready;
    uint64_t sent;
    uint64_t received;
    uint64_t sender;
};

/**
 * struct link_frame - a verified frame
 * @type: frame type, defined by the modules that use links
 * @sender: member id of the peer
 * @body: body, inside the data passed to link_wire_open()
 * @len: length of @body in bytes
 */
struct link_frame {
    uint16_t type;
    uint64_t sender;
    const uint8_t *body;
    size_t len;
};

/** link_wire_init() - create a random nonce and the hello; 0 or -EIO */
int
link_wire_init(struct link_wire *wire, uint8_t hello[LINK_WIRE_HELLO_LEN]);

/** link_wire_read_hello() - parse the peer's hello; 0 or -EBADMSG */
int
link_wire_read_hello(struct link_wire *wire,
                     const uint8_t hello[LINK_WIRE_HELLO_LEN]);

/** link_wire_seal() - write the header and tag of a frame; requires @ready */
void
link_wire_seal(struct link_wire *wire, struct auth *auth, uint16_t type,
               const uint8_t *body, size_t len,
               uint8_t head[LINK_WIRE_HEADER_LEN], uint8_t tag[AUTH_TAG_LEN]);

/** link_wire_frame_size() - total frame size in bytes by its length field */
size_t
link_wire_frame_size(const uint8_t length[LINK_WIRE_LENGTH_LEN]);

/**
 * link_wire_open() - verify a complete frame of @len bytes
 *
 * Return: 0, or -EBADMSG (too short, wrong tag, wrong sequence, or another
 * sender than before).
 */
int
link_wire_open(struct link_wire *wire, struct auth *auth, const uint8_t *data,
               size_t len, struct link_frame *frame);

#endif
