/**
 * DOC: auth - keyed digest over control messages (HMAC-SHA256, OpenSSL)
 *
 * A sealed message is: sender id (8), sequence (8), wall-clock ms (8),
 * body, tag (16). The receiver refuses a wrong tag, a time further off
 * than AUTH_SKEW_MS, and a sequence already seen from that sender
 * (a sliding window of AUTH_WINDOW). One thread uses a struct auth.
 *
 * TCP frames (base/link.h) don't use the window, since they may lag far
 * behind datagrams of the same sender; they bind auth_tag() to a nonce of
 * the connection instead.
 */
#ifndef SWIFTARCH_BASE_AUTH_H
#define SWIFTARCH_BASE_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define AUTH_OVERHEAD 40
#define AUTH_WINDOW 1024
#define AUTH_SKEW_MS 30000
#define AUTH_PEERS_MAX 1024

#define AUTH_TAG_LEN 16

struct auth_table;

/** struct auth_part - one of the pieces that a tag covers */
struct auth_part {
    const void *data;
    size_t len;
};

/**
 * struct auth - key and replay windows of one process
 * @key: site key
 * @key_len: length of @key
 * @self: own member id
 * @next_seq: next sequence to use (starts from wall-clock ms << 20)
 * @peers: replay windows, AUTH_PEERS_MAX slots, least recent reused
 * @mac: OpenSSL's digest context, keyed once
 */
struct auth {
    uint8_t key[128];
    size_t key_len;
    uint64_t self;
    uint64_t next_seq;
    struct auth_table *peers;
    void *mac;
};

/** auth_init() - 0 or -ENOMEM, -EINVAL for a key shorter than 16 bytes */
int
auth_init(struct auth *auth, const uint8_t *key, size_t key_len, uint64_t self,
          uint64_t wall_ms);

/** auth_finish() - free the windows */
void
auth_finish(struct auth *auth);

/** auth_seal() - write the sealed form of @body to @out (len+AUTH_OVERHEAD) */
size_t
auth_seal(struct auth *auth, const uint8_t *body, size_t len, uint64_t wall_ms,
          uint8_t *out);

/**
 * auth_open() - check a sealed message
 *
 * Return: 0, -EBADMSG (short or wrong tag), -ETIME (too old or ahead),
 * -EALREADY (replayed).
 */
int
auth_open(struct auth *auth, const uint8_t *msg, size_t len, uint64_t wall_ms,
          uint64_t *sender, const uint8_t **body, size_t *body_len);

/** auth_tag() - keyed digest of @count parts, one after the other */
void
auth_tag(struct auth *auth, const struct auth_part *parts, size_t count,
         uint8_t tag[AUTH_TAG_LEN]);

/** auth_tag_equal() - compare two tags in constant time */
bool
auth_tag_equal(const uint8_t a[AUTH_TAG_LEN], const uint8_t b[AUTH_TAG_LEN]);

#endif
