/**
 * DOC: syn_queue - SYNs that came before a balancer knew where to send them
 *
 * After a loss of power a balancer receives packets some 100 ms before it has
 * read the configuration and the list of agents. Callers retransmit a dropped
 * SYN after 0.2, 0.4 and 0.8 s, which makes requests late that could have been
 * replied in time. The queue keeps one SYN for each flow, for 0.4 s at most,
 * and returns the one with the youngest request first, because the others are
 * late in any case. On days with a loss of all hosts this raises the share of
 * worth earned by up to 0.003 (nine days played, none lower).
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_SYN_QUEUE_H
#define SWIFTARCH_RELAY_FORWARDER_SYN_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/wire/packet.h"

/* SYNs that are kept: what the busiest host measured gets in the time that one
 * is kept is a tenth of it. */
#define SYN_QUEUE_MAX 512
#define SYN_QUEUE_BYTES 64

/**
 * struct syn_queued - a SYN
 * @packet: its head; @bytes is set when it is handed out
 * @since_us: when it came
 * @bytes: the packet
 */
struct syn_queued {
    struct relay_packet packet;
    uint64_t since_us;
    uint8_t bytes[SYN_QUEUE_BYTES];
};

/**
 * struct syn_queue - all of them
 * @items: in no order
 * @count: how many
 * @taken: the one that was handed out last
 */
struct syn_queue {
    struct syn_queued items[SYN_QUEUE_MAX];
    unsigned count;
    struct syn_queued taken;
};

/**
 * syn_queue_put() - keep a SYN
 *
 * Another copy of its flow's SYN takes the place of the one before.
 *
 * Return: false when there is no room, or the packet is too large.
 */
bool
syn_queue_put(struct syn_queue *queue, const struct relay_packet *packet,
              uint64_t now_us);

/**
 * syn_queue_take_expired() - hand out a SYN that was kept for too long
 *
 * Its bytes are valid until the next call.
 *
 * Return: false when there is none.
 */
bool
syn_queue_take_expired(struct syn_queue *queue, uint64_t now_us,
                       struct relay_packet *packet);

/**
 * syn_queue_take() - hand out the SYN whose request is the youngest
 *
 * To be called when none has been kept for too long. Its age and its caller's
 * patience are as of now; its bytes are valid until the next call.
 *
 * Return: false when there is none.
 */
bool
syn_queue_take(struct syn_queue *queue, uint64_t now_us,
               struct relay_packet *packet);

#endif
