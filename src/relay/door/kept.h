/**
 * DOC: kept - packets of requests that wait at an agent
 *
 * A fixed pool of packets in chains: one chain holds the first packets of one
 * request, in the order they came. A packet that finds no room is left out;
 * its caller sends it again.
 */
#ifndef SWIFTARCH_RELAY_DOOR_KEPT_H
#define SWIFTARCH_RELAY_DOOR_KEPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "relay/wire/packet.h"

/* Packets in the pool: two for each request that may wait; most requests are
 * one packet. 320 KB, of which only what was used costs memory. */
#define KEPT_MAX 256

/* Packets of one request: what its caller sends before it waits for an
 * acknowledgement. */
#define KEPT_CHAIN_MAX 16

#define KEPT_NONE (-1)

/** struct kept_packet - one packet, or a free place */
struct kept_packet {
    int next;
    uint32_t seq;
    uint16_t size;
    uint8_t bytes[RELAY_PACKET_MAX];
};

/**
 * struct kept - the pool
 * @items: the packets
 * @used: places that were ever used
 * @free: chain of those that are free again
 */
struct kept {
    struct kept_packet *items;
    unsigned used;
    int free;
};

/** kept_init() - an empty pool; 0 or -ENOMEM */
int
kept_init(struct kept *kept);

/** kept_finish() - free the memory */
void
kept_finish(struct kept *kept);

/** kept_add() - keep a packet at the end of a chain, KEPT_NONE for an empty
 * one; false when there is no room, or it is there already */
bool
kept_add(struct kept *kept, int *chain, const struct relay_packet *packet);

/** kept_take() - first packet of a chain, which is free from now on and valid
 * until the next kept_add(); NULL for none */
const struct kept_packet *
kept_take(struct kept *kept, int *chain);

/** kept_drop() - free a chain */
void
kept_drop(struct kept *kept, int *chain);

#endif
