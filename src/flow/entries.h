/**
 * DOC: entries - the flows of one agent, found by their five-tuple
 *
 * Entries live in one array that grows up to a capacity and are named by
 * their index. Embryonic and datagram flows are kept in order of their
 * last use, so that expiry and eviction need no search.
 */
#ifndef SWIFTARCH_FLOW_ENTRIES_H
#define SWIFTARCH_FLOW_ENTRIES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "packet/packet.h"

#define ENTRIES_NONE UINT32_MAX

/** enum entry_state - also names the list that an entry is on */
enum entry_state {
    ENTRY_HALF_OPEN,   /* SYN taken, our SYN-ACK not acknowledged yet */
    ENTRY_ESTABLISHED, /* acknowledged: ours until it is closed */
    ENTRY_DATAGRAM,    /* UDP, until it is idle for long */
    ENTRY_STATES
};

/**
 * struct entry - a flow, by its caller's side
 * @state: enum entry_state
 * @isn_known: @isn is known
 * @bucket: its rank bucket
 * @service: service it was opened for
 * @isn: sequence number of our SYN-ACK
 * @caller_isn: sequence number of the caller's SYN
 * @chain: next entry with the same hash, or next free entry
 * @older, @newer: neighbours in the list of @state
 * @used_us: last use, as far as the list of @state needs it
 */
struct entry {
    uint32_t src;
    uint32_t dst;
    uint16_t sport;
    uint16_t dport;
    uint8_t proto;
    uint8_t state;
    bool isn_known;
    uint16_t bucket;
    uint32_t service;
    uint32_t isn;
    uint32_t caller_isn;
    uint32_t chain;
    uint32_t older;
    uint32_t newer;
    uint64_t used_us;
};

/** struct entry_list - entries of one state, by last use */
struct entry_list {
    uint32_t oldest;
    uint32_t newest;
    size_t count;
};

/**
 * struct entries - all flows
 * @items: @allocated entries, grown up to @capacity
 * @chains: @allocated heads of the hash chains, a power of two
 * @next_unused: entries from here on were never used
 * @free: first of the unused ones below @next_unused
 * @buckets: flows in each of RANK_BUCKETS buckets
 */
struct entries {
    struct entry *items;
    uint32_t *chains;
    uint32_t *buckets;
    size_t allocated;
    size_t capacity;
    uint32_t next_unused;
    uint32_t free;
    size_t used;
    struct entry_list lists[ENTRY_STATES];
};

/** entries_init() - an empty table; 0 or -ENOMEM, -EINVAL (capacity 0) */
int
entries_init(struct entries *entries, size_t capacity);

/** entries_finish() - free it */
void
entries_finish(struct entries *entries);

/** entries_find() - the flow of a caller's packet, or NULL */
struct entry *
entries_find(const struct entries *entries, const struct packet *packet);

/**
 * entries_add() - add a flow that is not in the table
 *
 * Return: the entry, valid until the next entries_add(); NULL when the
 * table is full or out of memory.
 */
struct entry *
entries_add(struct entries *entries, const struct packet *packet,
            uint32_t service, enum entry_state state, uint64_t now_us);

/** entries_remove() - forget a flow */
void
entries_remove(struct entries *entries, struct entry *entry);

/** entries_touch() - move @entry to the newest end of the list of @state */
void
entries_touch(struct entries *entries, struct entry *entry,
              enum entry_state state, uint64_t now_us);

/** entries_oldest() - the longest unused of @state, or NULL */
struct entry *
entries_oldest(const struct entries *entries, enum entry_state state);

#endif
