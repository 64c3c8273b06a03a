/**
 * DOC: syn_queue - SYNs that arrive before a balancer can route them
 *
 * A balancer that starts receives packets before it has read the configuration
 * and the list of agents. Dropping those SYNs would delay their requests until
 * the callers retransmit. The queue keeps one SYN of each flow for up to 0.4 s
 * and returns the one with the youngest request first, as older requests miss
 * their response target anyway.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_SYN_QUEUE_H
#define SWIFTARCH_RELAY_FORWARDER_SYN_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/wire/packet.h"

/* Maximum SYNs in the queue, ten times what the busiest host gets while one is
 * queued, and bytes of each. */
#define SYN_QUEUE_MAX 512
#define SYN_QUEUE_BYTES 64

/**
 * struct syn_queued - a queued SYN
 * @packet: its headers; its bytes pointer is set when it is taken
 * @since_us: when it arrived
 * @bytes: the packet
 */
struct syn_queued {
    struct relay_packet packet;
    uint64_t since_us;
    uint8_t bytes[SYN_QUEUE_BYTES];
};

/**
 * struct syn_queue - queued SYNs
 * @items: the SYNs, unordered
 * @count: number of @items
 * @taken: the SYN taken last
 */
struct syn_queue {
    struct syn_queued items[SYN_QUEUE_MAX];
    unsigned count;
    struct syn_queued taken;
};

/**
 * syn_queue_put() - add a SYN, or replace an earlier copy of it
 *
 * Return: false when the queue is full or the packet is too large.
 */
bool
syn_queue_put(struct syn_queue *queue, const struct relay_packet *packet,
              uint64_t now_us);

/**
 * syn_queue_take_expired() - take a SYN that was queued for too long
 *
 * Its bytes are valid until the next call.
 *
 * Return: false when there is none.
 */
bool
syn_queue_take_expired(struct syn_queue *queue, uint64_t now_us,
                       struct relay_packet *packet);

/**
 * syn_queue_take() - take the SYN with the youngest request
 *
 * Call syn_queue_take_expired() first until it returns false. The packet's age
 * and caller timeout are adjusted to @now_us; its bytes are valid until the
 * next call.
 *
 * Return: false when the queue is empty.
 */
bool
syn_queue_take(struct syn_queue *queue, uint64_t now_us,
               struct relay_packet *packet);

#endif
