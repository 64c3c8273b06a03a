/**
 * DOC: flow_index - handles of flows, found by key, oldest use first out
 *
 * The table knows no meaning: its user keeps an array of its own, indexed by
 * handle. A full table gives up the flow that was quiet for longest, so that
 * a flood costs memory of the quiet only.
 */
#ifndef SWIFTARCH_RELAY_WIRE_FLOW_INDEX_H
#define SWIFTARCH_RELAY_WIRE_FLOW_INDEX_H

#include <stddef.h>
#include <stdint.h>

#include "relay/wire/packet.h"

#define FLOW_INDEX_NONE UINT32_MAX

struct flow_index_item;

/**
 * struct flow_index - the table
 * @bucket_heads: first item of each chain plus one, a power of two of them
 * @mask: chains less one
 * @items: one for each handle
 * @capacity: handles
 * @used: handles in use
 * @unused: first handle never used so far
 * @free: chain of handles given back
 * @oldest: handle that was quiet for longest, or FLOW_INDEX_NONE
 * @newest: handle used last
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

/** flow_index_init() - room for @capacity flows; 0 or -ENOMEM */
int
flow_index_init(struct flow_index *table, uint32_t capacity);

/** flow_index_finish() - free the memory */
void
flow_index_finish(struct flow_index *table);

/** flow_index_find() - handle of a flow, or FLOW_INDEX_NONE */
uint32_t
flow_index_find(const struct flow_index *table, struct relay_flow flow);

/**
 * flow_index_add() - handle of a flow that isn't there yet
 *
 * The table must not be full: the user removes flow_index_oldest() first.
 */
uint32_t
flow_index_add(struct flow_index *table, struct relay_flow flow,
               uint64_t now_us);

/** flow_index_touch() - the flow was used now */
void
flow_index_touch(struct flow_index *table, uint32_t handle, uint64_t now_us);

/** flow_index_remove() - give the handle back */
void
flow_index_remove(struct flow_index *table, uint32_t handle);

/** flow_index_oldest() - flow that was quiet for longest, or
 * FLOW_INDEX_NONE */
uint32_t
flow_index_oldest(const struct flow_index *table);

/** flow_index_used_us() - when the flow was used last */
uint64_t
flow_index_used_us(const struct flow_index *table, uint32_t handle);

/** flow_index_flow() - key of a handle */
struct relay_flow
flow_index_flow(const struct flow_index *table, uint32_t handle);

#endif
