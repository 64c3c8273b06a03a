/**
 * DOC: flow_index - hash table from flows to handles, with LRU order
 *
 * The caller keeps its own array, indexed by handle. When the table is full
 * the caller evicts the least recently used flow before it adds another.
 */
#ifndef SWIFTARCH_RELAY_WIRE_FLOW_INDEX_H
#define SWIFTARCH_RELAY_WIRE_FLOW_INDEX_H

#include <stddef.h>
#include <stdint.h>

#include "relay/wire/packet.h"

#define FLOW_INDEX_NONE UINT32_MAX

struct flow_index_item;

/**
 * struct flow_index - hash table and LRU list
 * @bucket_heads: first handle of each bucket plus one, 0 for an empty bucket
 * @mask: number of buckets, a power of two, less one
 * @items: entries, indexed by handle
 * @capacity: maximum number of flows
 * @used: flows in the table
 * @unused: lowest handle that was never allocated
 * @free: list of released handles, FLOW_INDEX_NONE if empty
 * @oldest: least recently used handle, or FLOW_INDEX_NONE
 * @newest: most recently used handle, or FLOW_INDEX_NONE
 */
struct flow_index {
    uint32_t *bucket_heads;
    uint32_t mask;
    struct flow_index_item *items;
    uint32_t capacity;
    uint32_t used;
    uint32_t unused;
    uint32_t free;
    uint32_t oldest;
    uint32_t newest;
};

/** flow_index_init() - allocates a table for @capacity flows; 0 or -ENOMEM */
int
flow_index_init(struct flow_index *table, uint32_t capacity);

/** flow_index_finish() - frees the table's memory */
void
flow_index_finish(struct flow_index *table);

/** flow_index_find() - handle of a flow, or FLOW_INDEX_NONE */
uint32_t
flow_index_find(const struct flow_index *table, struct relay_flow flow);

/**
 * flow_index_add() - adds a flow that isn't in the table and returns its
 * handle
 *
 * The table must not be full: the caller first removes flow_index_oldest().
 */
uint32_t
flow_index_add(struct flow_index *table, struct relay_flow flow,
               uint64_t now_us);

/** flow_index_touch() - makes the flow the most recently used one */
void
flow_index_touch(struct flow_index *table, uint32_t handle, uint64_t now_us);

/** flow_index_remove() - removes a flow; its handle may be allocated again */
void
flow_index_remove(struct flow_index *table, uint32_t handle);

/** flow_index_oldest() - handle of the least recently used flow, or
 * FLOW_INDEX_NONE */
uint32_t
flow_index_oldest(const struct flow_index *table);

/** flow_index_used_us() - time of the flow's last use */
uint64_t
flow_index_used_us(const struct flow_index *table, uint32_t handle);

/** flow_index_flow() - flow of a handle */
struct relay_flow
flow_index_flow(const struct flow_index *table, uint32_t handle);

#endif
