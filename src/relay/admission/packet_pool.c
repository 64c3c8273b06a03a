#include "relay/admission/packet_pool.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

int
packet_pool_init(struct packet_pool *packet_pool)
{
    *packet_pool = (struct packet_pool){.free = PACKET_POOL_NONE};
    packet_pool->items = calloc(PACKET_POOL_MAX, sizeof(*packet_pool->items));
    return packet_pool->items != NULL ? 0 : -ENOMEM;
}

void
packet_pool_finish(struct packet_pool *packet_pool)
{
    free(packet_pool->items);
    packet_pool->items = NULL;
}

static int
slot_take(struct packet_pool *packet_pool)
{
    int slot = packet_pool->free;

    if (slot != PACKET_POOL_NONE) {
        packet_pool->free = packet_pool->items[slot].next;
        return slot;
    }
    return packet_pool->used < PACKET_POOL_MAX ? (int)packet_pool->used++
                                               : PACKET_POOL_NONE;
}

int
packet_pool_append(struct packet_pool *packet_pool, int *chain,
                   const struct relay_packet *packet)
{
    unsigned count = 0;
    struct pool_packet *item;
    int *end = chain;
    int slot;

    while (*end != PACKET_POOL_NONE) {
        item = &packet_pool->items[*end];
        if (item->seq == packet->seq) {
            return -EEXIST;
        }
        if (++count == PACKET_POOL_CHAIN_MAX) {
            return -ENOSPC;
        }
        end = &item->next;
    }
    slot = slot_take(packet_pool);
    if (slot == PACKET_POOL_NONE) {
        return -ENOSPC;
    }
    item = &packet_pool->items[slot];
    item->next = PACKET_POOL_NONE;
    item->seq = packet->seq;
    item->size = (uint16_t)packet->size;
    memcpy(item->bytes, packet->bytes, packet->size);
    *end = slot;
    return 0;
}

const struct pool_packet *
packet_pool_take(struct packet_pool *packet_pool, int *chain)
{
    struct pool_packet *item;
    int slot = *chain;

    if (slot == PACKET_POOL_NONE) {
        return NULL;
    }
    item = &packet_pool->items[slot];
    *chain = item->next;
    item->next = packet_pool->free;
    packet_pool->free = slot;
    return item;
}

void
packet_pool_release(struct packet_pool *packet_pool, int *chain)
{
    while (packet_pool_take(packet_pool, chain) != NULL) {
    }
}
