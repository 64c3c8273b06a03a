/**
 * DOC: auth - authentication of control datagrams with HMAC-SHA256
 *
 * A sealed message is: sender id (8), sequence (8), wall-clock ms (8),
 * body, tag (16). The receiver rejects a wrong tag, a time more than
 * AUTH_SKEW_MS from its own, and a sequence that it has already accepted
 * from that sender or that is older than a sliding window of AUTH_WINDOW.
 * A struct auth is used by one thread.
 *
 * TCP frames (base/link.h) use auth_tag() with nonces of the connection and
 * no replay window, since they may lag far behind datagrams of the sender.
 */
#ifndef SWIFTARCH_BASE_AUTH_H
#define SWIFTARCH_BASE_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define AUTH_OVERHEAD 40 /* bytes added by auth_seal() */
#define AUTH_WINDOW 1024 /* sequences */
#define AUTH_SKEW_MS 30000
#define AUTH_PEERS_MAX 1024

#define AUTH_TAG_LEN 16

struct auth_table;

/**
 * struct auth_part - one of the buffers covered by a tag
 * @data: start of the buffer
 * @len: length in bytes
 */
struct auth_part {
    const void *data;
    size_t len;
};

/**
 * struct auth - key and replay windows of one process
 * @key: shared site key
 * @key_len: length of @key
 * @self: own member id
 * @next_seq: next sequence to send; starts at wall-clock ms << 20, so that a
 *            restarted process continues above its earlier sequences
 * @peers: replay windows of AUTH_PEERS_MAX senders, evicted by LRU
 * @mac: EVP_MAC_CTX with the key set
 */
struct auth {
    uint8_t key[128];
    size_t key_len;
    uint64_t self;
    uint64_t next_seq;
    struct auth_table *peers;
    void *mac;
};

/**
 * auth_init() - set the key and the own member id
 * @key: 16 to 128 bytes
 * @self: own member id
 * @wall_ms: wall clock, the base of the sequences
 *
 * Return: 0, -EINVAL (length of the key) or -ENOMEM.
 */
int
auth_init(struct auth *auth, const uint8_t *key, size_t key_len, uint64_t self,
          uint64_t wall_ms);

/** auth_finish() - erase the key and free all memory */
void
auth_finish(struct auth *auth);

/**
 * auth_seal() - write a sealed message
 * @out: result, @len + AUTH_OVERHEAD bytes
 *
 * Return: bytes written.
 */
size_t
auth_seal(struct auth *auth, const uint8_t *body, size_t len, uint64_t wall_ms,
          uint8_t *out);

/**
 * auth_open() - verify a sealed message
 * @sender: gets the sender's member id
 * @body: gets the body, inside @msg
 * @body_len: gets its length in bytes
 *
 * Return: 0, -EBADMSG (too short or wrong tag), -ETIME (clock skew),
 * -EALREADY (replayed or older than the window).
 */
int
auth_open(struct auth *auth, const uint8_t *msg, size_t len, uint64_t wall_ms,
          uint64_t *sender, const uint8_t **body, size_t *body_len);

/** auth_tag() - truncated HMAC of @count concatenated parts */
void
auth_tag(struct auth *auth, const struct auth_part *parts, size_t count,
         uint8_t tag[AUTH_TAG_LEN]);

/** auth_tag_equal() - compare two tags in constant time */
bool
auth_tag_equal(const uint8_t a[AUTH_TAG_LEN], const uint8_t b[AUTH_TAG_LEN]);

#endif
