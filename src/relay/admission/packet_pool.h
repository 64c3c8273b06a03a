/**
 * DOC: packet_pool - packets of queued requests
 *
 * A fixed pool of packets in chains. A chain holds the first packets of one
 * request in order of arrival.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_PACKET_POOL_H
#define SWIFTARCH_RELAY_ADMISSION_PACKET_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/wire/packet.h"

/* Packets in the pool: five for each of 128 queued requests. Most requests are
 * one packet. */
#define PACKET_POOL_MAX 640

/* Packets of one request: a TCP initial congestion window fits. */
#define PACKET_POOL_CHAIN_MAX 16

#define PACKET_POOL_NONE (-1)

/**
 * struct pool_packet - a packet, or a free slot
 * @next: next slot of its chain, or PACKET_POOL_NONE
 * @seq: TCP sequence number
 * @size: length of @bytes used
 * @bytes: the packet
 */
struct pool_packet {
    int next;
    uint32_t seq;
    uint16_t size;
    uint8_t bytes[RELAY_PACKET_MAX];
};

/**
 * struct packet_pool - the pool
 * @items: the slots
 * @used: slots that were ever used
 * @free: chain of slots that are free again
 */
struct packet_pool {
    struct pool_packet *items;
    unsigned used;
    int free;
};

/** packet_pool_init() - allocate an empty pool; returns 0 or -ENOMEM */
int
packet_pool_init(struct packet_pool *packet_pool);

/** packet_pool_finish() - free the memory */
void
packet_pool_finish(struct packet_pool *packet_pool);

/** packet_pool_append() - copy a packet to the end of a chain, which is
 * PACKET_POOL_NONE if empty; 0, -EEXIST if the chain has a packet of the same
 * sequence number, or -ENOSPC if the chain or the pool is full */
int
packet_pool_append(struct packet_pool *packet_pool, int *chain,
                   const struct relay_packet *packet);

/** packet_pool_take() - remove the first packet of a chain; valid until the
 * next packet_pool_append(), NULL if the chain is empty */
const struct pool_packet *
packet_pool_take(struct packet_pool *packet_pool, int *chain);

/** packet_pool_release() - remove all packets of a chain */
void
packet_pool_release(struct packet_pool *packet_pool, int *chain);

#endif
