/**
 * DOC: packet_pool - packets of requests that wait at an agent
 *
 * A fixed pool of packets in chains: one chain holds the first packets of one
 * request, in the order they came. A packet that finds no room is left out;
 * its caller sends it again.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_PACKET_POOL_H
#define SWIFTARCH_RELAY_ADMISSION_PACKET_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/wire/packet.h"

/* Packets in the pool: two for each request that may wait; most requests are
 * one packet. 320 KB, of which only what was used costs memory. */
#define PACKET_POOL_MAX 256

/* Packets of one request: what its caller sends before it waits for an
 * acknowledgement. */
#define PACKET_POOL_CHAIN_MAX 16

#define PACKET_POOL_NONE (-1)

/** struct pool_packet - one packet, or a free slot */
struct pool_packet {
    int next;
    uint32_t seq;
    uint16_t size;
    uint8_t bytes[RELAY_PACKET_MAX];
};

/**
 * struct packet_pool - the pool
 * @items: the packets
 * @used: places that were ever used
 * @free: chain of those that are free again
 */
struct packet_pool {
    struct pool_packet *items;
    unsigned used;
    int free;
};

/** packet_pool_init() - an empty pool; 0 or -ENOMEM */
int
packet_pool_init(struct packet_pool *packet_pool);

/** packet_pool_finish() - free the memory */
void
packet_pool_finish(struct packet_pool *packet_pool);

/** packet_pool_append() - keep a packet at the end of a chain,
 * PACKET_POOL_NONE for an empty one; false when there is no room, or it is
 * there already */
bool
packet_pool_append(struct packet_pool *packet_pool, int *chain,
                   const struct relay_packet *packet);

/** packet_pool_take() - first packet of a chain, which is free from now on and
 * valid until the next packet_pool_append(); NULL for none */
const struct pool_packet *
packet_pool_take(struct packet_pool *packet_pool, int *chain);

/** packet_pool_release() - free a chain */
void
packet_pool_release(struct packet_pool *packet_pool, int *chain);

#endif
