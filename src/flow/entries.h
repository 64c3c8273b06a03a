/**
 * DOC: entries - table of an agent's flows, keyed by five-tuple
 *
 * Entries are in one array that grows up to a capacity, and link to each other
 * by index. A list for each state is ordered by last use, so that expiry and
 * eviction find the oldest entry in constant time.
 */
#ifndef SWIFTARCH_FLOW_ENTRIES_H
#define SWIFTARCH_FLOW_ENTRIES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "packet/packet.h"

#define ENTRIES_NONE UINT32_MAX

/** enum entry_state - state of a flow, also the index of its list */
enum entry_state {
    ENTRY_HALF_OPEN,   /* SYN accepted, SYN-ACK not acknowledged yet */
    ENTRY_ESTABLISHED, /* handshake complete; until flow_close() */
    ENTRY_DATAGRAM,    /* UDP, until idle for FLOW_DATAGRAM_TTL_US */
    ENTRY_STATES
};

/**
 * struct entry - a flow
 * @src, @dst, @sport, @dport, @proto: as in the caller's packets
 * @state: enum entry_state
 * @isn_known: whether @isn is set
 * @bucket: rank bucket
 * @service: service that the flow was opened for
 * @isn: sequence number of the SYN-ACK sent
 * @caller_isn: sequence number of the caller's SYN
 * @chain: next entry with the same hash, or next free entry
 * @older, @newer: neighbours in the list of @state
 * @used_us: when entries_touch() was last called
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

/** struct entry_list - entries of one state, ordered by last use */
struct entry_list {
    uint32_t oldest;
    uint32_t newest;
    size_t count;
};

/**
 * struct entries - flow table
 * @items: @allocated entries, grown up to @capacity
 * @chains: @allocated heads of the hash chains, a power of two
 * @buckets: number of flows in each of RANK_BUCKETS buckets
 * @next_unused: index of the first entry that was never used
 * @free: first of the released entries below @next_unused
 * @used: number of flows
 * @lists: list of each state
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

/** entries_init() - create an empty table; returns 0, -ENOMEM, or -EINVAL for
 * a capacity that is 0 or too large */
int
entries_init(struct entries *entries, size_t capacity);

/** entries_finish() - free the table's memory */
void
entries_finish(struct entries *entries);

/** entries_find() - find the flow of a caller's packet, or NULL */
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

/** entries_remove() - remove a flow */
void
entries_remove(struct entries *entries, struct entry *entry);

/** entries_touch() - set the state of @entry and make it the newest of it */
void
entries_touch(struct entries *entries, struct entry *entry,
              enum entry_state state, uint64_t now_us);

/** entries_oldest() - least recently used entry of @state, or NULL */
struct entry *
entries_oldest(const struct entries *entries, enum entry_state state);

#endif
