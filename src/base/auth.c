#include "base/auth.h"

#include <assert.h>
#include <errno.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define KEY_MIN 16
#define HEADER_LEN 24
#define DIGEST_LEN 32
#define WINDOW_WORDS (AUTH_WINDOW / 64)
#define BUCKETS 2048
#define SEQ_TIME_SHIFT 20 /* allows 2^20 messages per ms of uptime */
#define NO_PEER UINT16_MAX

/**
 * struct auth_peer - replay window of one sender
 * @id: member id of the sender
 * @highest: highest sequence accepted
 * @seen: bitmap of accepted sequences, indexed by sequence % AUTH_WINDOW
 * @next: next peer of the same hash bucket
 * @newer: next more recently used peer, NO_PEER for the newest
 * @older: next less recently used peer, NO_PEER for the oldest
 */
struct auth_peer {
    uint64_t id;
    uint64_t highest;
    uint64_t seen[WINDOW_WORDS];
    uint16_t next;
    uint16_t newer;
    uint16_t older;
};

/**
 * struct auth_table - replay windows by sender, a hash table with LRU eviction
 * @buckets: first peer of each hash bucket
 * @newest: most recently used peer
 * @oldest: least recently used peer, evicted first
 * @count: slots in use
 * @slots: replay windows
 */
struct auth_table {
    uint16_t buckets[BUCKETS];
    uint16_t newest;
    uint16_t oldest;
    uint16_t count;
    struct auth_peer slots[AUTH_PEERS_MAX];
};

static void
put_u64(uint8_t *out, uint64_t value)
{
    for (int i = 7; i >= 0; i--, value >>= 8)
        out[i] = (uint8_t)value;
}

static uint64_t
get_u64(const uint8_t *in)
{
    uint64_t value = 0;

    for (int i = 0; i < 8; i++)
        value = value << 8 | in[i];
    return value;
}

static unsigned
bucket_of(uint64_t id)
{
    return (unsigned)(id ^ id >> 32) % BUCKETS;
}

static void
lru_remove(struct auth_table *table, uint16_t slot)
{
    struct auth_peer *peer = &table->slots[slot];

    if (peer->newer != NO_PEER)
        table->slots[peer->newer].older = peer->older;
    else
        table->newest = peer->older;
    if (peer->older != NO_PEER)
        table->slots[peer->older].newer = peer->newer;
    else
        table->oldest = peer->newer;
}

static void
lru_push(struct auth_table *table, uint16_t slot)
{
    struct auth_peer *peer = &table->slots[slot];

    peer->newer = NO_PEER;
    peer->older = table->newest;
    if (table->newest != NO_PEER)
        table->slots[table->newest].newer = slot;
    else
        table->oldest = slot;
    table->newest = slot;
}

static void
bucket_remove(struct auth_table *table, uint16_t slot)
{
    uint16_t *link = &table->buckets[bucket_of(table->slots[slot].id)];

    while (*link != slot)
        link = &table->slots[*link].next;
    *link = table->slots[slot].next;
}

static struct auth_peer *
peer_find(struct auth_table *table, uint64_t id)
{
    uint16_t slot = table->buckets[bucket_of(id)];

    while (slot != NO_PEER && table->slots[slot].id != id)
        slot = table->slots[slot].next;
    if (slot == NO_PEER)
        return NULL;
    lru_remove(table, slot);
    lru_push(table, slot);
    return &table->slots[slot];
}

static struct auth_peer *
peer_add(struct auth_table *table, uint64_t id, uint64_t seq)
{
    struct auth_peer *peer;
    uint16_t slot;

    if (table->count < AUTH_PEERS_MAX) {
        slot = table->count++;
    }
    else {
        slot = table->oldest;
        lru_remove(table, slot);
        bucket_remove(table, slot);
    }
    peer = &table->slots[slot];
    memset(peer, 0, sizeof(*peer));
    peer->id = id;
    peer->highest = seq;
    peer->next = table->buckets[bucket_of(id)];
    table->buckets[bucket_of(id)] = slot;
    lru_push(table, slot);
    return peer;
}

static void
window_advance(struct auth_peer *peer, uint64_t seq)
{
    uint64_t steps = seq - peer->highest;

    if (steps >= AUTH_WINDOW)
        memset(peer->seen, 0, sizeof(peer->seen));
    else
        for (uint64_t s = peer->highest + 1; s <= seq; s++)
            peer->seen[s % AUTH_WINDOW / 64] &= ~(UINT64_C(1) << s % 64);
    peer->highest = seq;
}

/* Marks @seq as seen; false when it is a replay or older than the window. */
static bool
window_accept(struct auth_peer *peer, uint64_t seq)
{
    uint64_t bit = UINT64_C(1) << seq % 64;
    uint64_t *word = &peer->seen[seq % AUTH_WINDOW / 64];

    if (seq > peer->highest)
        window_advance(peer, seq);
    else if (peer->highest - seq >= AUTH_WINDOW || (*word & bit) != 0)
        return false;
    *word |= bit;
    return true;
}

static int
mac_new(struct auth *auth)
{
    char digest[] = "SHA256";
    OSSL_PARAM params[] = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
        OSSL_PARAM_construct_end(),
    };
    EVP_MAC *mac = EVP_MAC_fetch(NULL, "HMAC", NULL);

    if (mac == NULL)
        return -ENOMEM;
    auth->mac = EVP_MAC_CTX_new(mac);
    EVP_MAC_free(mac);
    if (auth->mac == NULL ||
        EVP_MAC_init(auth->mac, auth->key, auth->key_len, params) != 1)
        return -ENOMEM;
    return 0;
}

void
auth_tag(struct auth *auth, const struct auth_part *parts, size_t count,
         uint8_t tag[AUTH_TAG_LEN])
{
    uint8_t digest[DIGEST_LEN];
    size_t len = 0;
    /* A NULL key restarts the context with the key set by mac_new(). */
    bool ok = EVP_MAC_init(auth->mac, NULL, 0, NULL) == 1;

    for (size_t i = 0; i < count; i++)
        ok = ok &&
             (parts[i].len == 0 ||
              EVP_MAC_update(auth->mac, parts[i].data, parts[i].len) == 1);
    ok = ok && EVP_MAC_final(auth->mac, digest, &len, sizeof(digest)) == 1;
    /* Can't fail: the digest and the buffer sizes are fixed. */
    if (!ok || len != sizeof(digest))
        abort();
    memcpy(tag, digest, AUTH_TAG_LEN);
}

bool
auth_tag_equal(const uint8_t a[AUTH_TAG_LEN], const uint8_t b[AUTH_TAG_LEN])
{
    return CRYPTO_memcmp(a, b, AUTH_TAG_LEN) == 0;
}

int
auth_init(struct auth *auth, const uint8_t *key, size_t key_len, uint64_t self,
          uint64_t wall_ms)
{
    memset(auth, 0, sizeof(*auth));
    if (key_len < KEY_MIN || key_len > sizeof(auth->key))
        return -EINVAL;
    memcpy(auth->key, key, key_len);
    auth->key_len = key_len;
    auth->self = self;
    auth->next_seq = wall_ms << SEQ_TIME_SHIFT;
    /* calloc() leaves unused slots unmapped. */
    auth->peers = calloc(1, sizeof(*auth->peers));
    if (auth->peers == NULL || mac_new(auth) < 0) {
        auth_finish(auth);
        return -ENOMEM;
    }
    memset(auth->peers->buckets, 0xff, sizeof(auth->peers->buckets));
    auth->peers->newest = NO_PEER;
    auth->peers->oldest = NO_PEER;
    return 0;
}

void
auth_finish(struct auth *auth)
{
    EVP_MAC_CTX_free(auth->mac);
    free(auth->peers);
    OPENSSL_cleanse(auth, sizeof(*auth));
}

size_t
auth_seal(struct auth *auth, const uint8_t *body, size_t len, uint64_t wall_ms,
          uint8_t *out)
{
    struct auth_part part = {out, HEADER_LEN + len};

    put_u64(out, auth->self);
    put_u64(out + 8, auth->next_seq++);
    put_u64(out + 16, wall_ms);
    if (len > 0)
        memcpy(out + HEADER_LEN, body, len);
    auth_tag(auth, &part, 1, out + HEADER_LEN + len);
    return len + AUTH_OVERHEAD;
}

int
auth_open(struct auth *auth, const uint8_t *msg, size_t len, uint64_t wall_ms,
          uint64_t *sender, const uint8_t **body, size_t *body_len)
{
    struct auth_part part = {msg, len - AUTH_TAG_LEN};
    uint8_t tag[AUTH_TAG_LEN];
    struct auth_peer *peer;
    uint64_t seq, sent_ms;

    if (len < AUTH_OVERHEAD)
        return -EBADMSG;
    auth_tag(auth, &part, 1, tag);
    if (!auth_tag_equal(tag, msg + part.len))
        return -EBADMSG;
    *sender = get_u64(msg);
    seq = get_u64(msg + 8);
    sent_ms = get_u64(msg + 16);
    if (sent_ms + AUTH_SKEW_MS < wall_ms || wall_ms + AUTH_SKEW_MS < sent_ms)
        return -ETIME;
    peer = peer_find(auth->peers, *sender);
    if (peer == NULL)
        peer = peer_add(auth->peers, *sender, seq);
    if (!window_accept(peer, seq))
        return -EALREADY;
    *body = msg + HEADER_LEN;
    *body_len = len - AUTH_OVERHEAD;
    return 0;
}
