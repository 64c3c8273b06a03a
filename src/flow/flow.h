/**
 * DOC: flow - an agent's decision on a packet: deliver, forward, reset or drop
 *
 * An agent delivers packets of flows in its table and forwards others to the
 * next agent on the hop list. The first candidate that accepts flows opens a
 * new one. A caller is reset only when the hop list, completed from the
 * agent's own view, is exhausted and no agent on it is suspected. A half-open
 * flow accepts only packets that acknowledge the sequence number of its
 * SYN-ACK, so that a retransmitted SYN that reached another agent cannot
 * leave a flow with two owners.
 *
 * An owner that ranks below the first FLOW_CANDIDATES members of a bucket
 * registers with these by a pin. They add it to the hop list of packets of
 * flows that they do not have.
 */
#ifndef SWIFTARCH_FLOW_FLOW_H
#define SWIFTARCH_FLOW_FLOW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/view.h"
#include "flow/flow_types.h"
#include "packet/gue.h"
#include "packet/packet.h"
#include "packet/rank.h"

/** enum flow_verdict - decision on a packet */
enum flow_verdict {
    FLOW_DELIVER, /* hand it to the stack or the datagram relay */
    FLOW_OPEN,    /* deliver it and open a flow */
    FLOW_FORWARD, /* send it to decision.gue.hops[decision.gue.index] */
    FLOW_RESET,   /* answer with a reset */
    FLOW_DROP     /* drop, reason in decision.drop */
};

/**
 * struct flow_decision - verdict with its arguments
 * @drop: reason, with FLOW_DROP
 * @gue: hop list to send the packet with, with FLOW_FORWARD
 */
struct flow_decision {
    enum flow_verdict verdict;
    enum packet_drop drop;
    struct gue gue;
};

struct flow_table;

/**
 * flow_table_new() - create an agent's flow table
 * @self: own member id
 * @capacity: maximum number of flows, half-open ones included
 *
 * Return: the table or NULL when out of memory.
 */
struct flow_table *
flow_table_new(uint64_t self, size_t capacity);

/** flow_table_free() - free a table; NULL is allowed */
void
flow_table_free(struct flow_table *table);

/**
 * flow_set_view() - set the cluster view and the service served here
 * @view: copied as far as needed
 * @service: service served, 0 for none
 * @accept: whether new flows are accepted; false while draining
 *
 * Return: 0, or a negative errno value with the former view kept.
 */
int
flow_set_view(struct flow_table *table, const struct view *view,
              uint32_t service, bool accept, uint64_t now_us);

/**
 * flow_decide() - decide on a packet received with @gue
 *
 * Changes the table: FLOW_OPEN adds a half-open or datagram flow; FLOW_DELIVER
 * of the handshake's last packet establishes the flow.
 */
struct flow_decision
flow_decide(struct flow_table *table, const struct packet *packet,
            const struct gue *gue, uint64_t now_us);

/** flow_sent_syn_ack() - record the sequence number of an outgoing SYN-ACK */
void
flow_sent_syn_ack(struct flow_table *table, const struct packet *out);

/** flow_close() - remove a flow; @key has the addresses of a caller's packet
 */
void
flow_close(struct flow_table *table, const struct packet *key);

/** flow_count() - number of flows; sets @half_open, if not NULL, to the number
 * of half-open ones */
size_t
flow_count(const struct flow_table *table, size_t *half_open);

/**
 * flow_pins_due() - write the pins to send now
 * @to: member id of each pin's receiver
 *
 * Return: number of pins written, at most @max; call until 0.
 */
size_t
flow_pins_due(struct flow_table *table, uint64_t now_us, struct flow_pin *pins,
              uint64_t *to, size_t max);

/**
 * flow_pin_add() - store a pin received from another agent
 *
 * It expires after FLOW_PIN_TTL_US.
 *
 * Return: 0, -EINVAL for a bad pin or an own one, -ESTALE when the owner is
 * dead, -ENOSPC or -ENOMEM.
 */
int
flow_pin_add(struct flow_table *table, const struct flow_pin *pin,
             uint64_t now_us);

/** flow_tick() - remove expired half-open and datagram flows and pins; call
 * about once a second */
void
flow_tick(struct flow_table *table, uint64_t now_us);

#endif
