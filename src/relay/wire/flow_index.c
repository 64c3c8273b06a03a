#include "relay/wire/flow_index.h"

#include <assert.h>
#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/**
 * struct flow_index_item - an entry; entries form a bucket chain and an LRU
 * list
 * @flow: key
 * @used_us: time of the last use
 * @next: next entry of the bucket plus one, 0 at the end; in a free entry the
 *        next free handle
 * @older: previous entry in LRU order
 * @newer: next entry in LRU order
 */
struct flow_index_item {
    struct relay_flow flow;
    uint64_t used_us;
    uint32_t next;
    uint32_t older;
    uint32_t newer;
};

static uint32_t *
bucket_of(const struct flow_index *table, struct relay_flow flow)
{
    return &table->bucket_heads[(uint32_t)relay_flow_hash(flow) & table->mask];
}

static void
lru_unlink(struct flow_index *table, uint32_t handle)
{
    struct flow_index_item *item = &table->items[handle];

    if (item->older != FLOW_INDEX_NONE) {
        table->items[item->older].newer = item->newer;
    }
    else {
        table->oldest = item->newer;
    }
    if (item->newer != FLOW_INDEX_NONE) {
        table->items[item->newer].older = item->older;
    }
    else {
        table->newest = item->older;
    }
}

static void
lru_append(struct flow_index *table, uint32_t handle)
{
    struct flow_index_item *item = &table->items[handle];

    item->older = table->newest;
    item->newer = FLOW_INDEX_NONE;
    if (table->newest != FLOW_INDEX_NONE) {
        table->items[table->newest].newer = handle;
    }
    else {
        table->oldest = handle;
    }
    table->newest = handle;
}

static uint32_t
alloc_handle(struct flow_index *table)
{
    uint32_t handle = table->free;

    if (handle != FLOW_INDEX_NONE) {
        table->free = table->items[handle].next;
        return handle;
    }
    return table->unused++;
}

int
flow_index_init(struct flow_index *table, uint32_t capacity)
{
    uint32_t buckets = 1;

    while (buckets < capacity) {
        buckets *= 2;
    }
    *table = (struct flow_index){
        .mask = buckets - 1,
        .capacity = capacity,
        .free = FLOW_INDEX_NONE,
        .oldest = FLOW_INDEX_NONE,
        .newest = FLOW_INDEX_NONE,
    };
    /* An empty bucket is 0 and buckets hold handles plus one, so that calloc()
     * needn't touch the pages of a large table. */
    table->bucket_heads = calloc(buckets, sizeof(*table->bucket_heads));
    table->items = calloc(capacity, sizeof(*table->items));
    if (table->bucket_heads == NULL || table->items == NULL) {
        flow_index_finish(table);
        return -ENOMEM;
    }
    return 0;
}

void
flow_index_finish(struct flow_index *table)
{
    free(table->bucket_heads);
    free(table->items);
    table->bucket_heads = NULL;
    table->items = NULL;
}

uint32_t
flow_index_find(const struct flow_index *table, struct relay_flow flow)
{
    uint32_t handle = *bucket_of(table, flow) - 1;

    while (handle != FLOW_INDEX_NONE &&
           !relay_flow_equal(table->items[handle].flow, flow)) {
        handle = table->items[handle].next - 1;
    }
    return handle;
}

uint32_t
flow_index_add(struct flow_index *table, struct relay_flow flow,
               uint64_t now_us)
{
    uint32_t *bucket = bucket_of(table, flow);
    struct flow_index_item *item;
    uint32_t handle;

    assert(table->used < table->capacity);
    handle = alloc_handle(table);
    item = &table->items[handle];
    item->flow = flow;
    item->used_us = now_us;
    item->next = *bucket;
    *bucket = handle + 1;
    lru_append(table, handle);
    table->used++;
    return handle;
}

void
flow_index_touch(struct flow_index *table, uint32_t handle, uint64_t now_us)
{
    table->items[handle].used_us = now_us;
    if (table->newest == handle) {
        return;
    }
    lru_unlink(table, handle);
    lru_append(table, handle);
}

void
flow_index_remove(struct flow_index *table, uint32_t handle)
{
    struct flow_index_item *item = &table->items[handle];
    uint32_t *at = bucket_of(table, item->flow);

    while (*at != handle + 1) {
        assert(*at != 0);
        at = &table->items[*at - 1].next;
    }
    *at = item->next;
    lru_unlink(table, handle);
    item->next = table->free;
    table->free = handle;
    table->used--;
}

uint32_t
flow_index_oldest(const struct flow_index *table)
{
    return table->oldest;
}

uint64_t
flow_index_used_us(const struct flow_index *table, uint32_t handle)
{
    return table->items[handle].used_us;
}

struct relay_flow
flow_index_flow(const struct flow_index *table, uint32_t handle)
{
    return table->items[handle].flow;
}
