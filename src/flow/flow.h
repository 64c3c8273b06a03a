/**
 * DOC: flow - who owns a flow: the pure decision of an agent for a packet
 *
 * An agent that knows the packet's flow takes it. One that does not passes
 * it to the next candidate. A packet that may open a flow is taken by the
 * first eligible candidate. A reset is sent only when the whole list,
 * completed from the agent's own view, is exhausted and none on it is
 * merely suspected. An opening flow counts as known only for packets that
 * acknowledge the sequence number we sent, so that a retransmitted SYN
 * that reached another agent cannot make two owners.
 *
 * An owner that its own view ranks past FLOW_CANDIDATES for a bucket registers
 * (a pin) with the first candidates of that bucket, which then put it on
 * the list of packets they do not know.
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

/** enum flow_verdict - what to do with a packet */
enum flow_verdict {
    FLOW_DELIVER, /* ours: hand it to the stack or the datagram relay */
    FLOW_OPEN,    /* take it and open a flow */
    FLOW_FORWARD, /* send it to decision.gue.hops[decision.gue.index] */
    FLOW_RESET,   /* answer with a reset */
    FLOW_DROP     /* drop, reason in decision.drop */
};

/** struct flow_decision - verdict with its arguments */
struct flow_decision {
    enum flow_verdict verdict;
    enum packet_drop drop;
    struct gue gue;
};

struct flow_table;

/**
 * flow_table_new() - the flows of one agent
 * @self: own member id
 * @capacity: most flows held (embryonic ones included)
 *
 * Return: the table or NULL when out of memory.
 */
struct flow_table *
flow_table_new(uint64_t self, size_t capacity);

/** flow_table_free() - free it */
void
flow_table_free(struct flow_table *table);

/** flow_set_view() - use another view (copied what is needed of it) and the
 * service served here (0 none); @accept false while draining */
int
flow_set_view(struct flow_table *table, const struct view *view,
              uint32_t service, bool accept, uint64_t now_us);

/**
 * flow_decide() - decide about a packet that came with @gue
 *
 * Changes the table: a FLOW_OPEN adds an embryonic flow; a FLOW_DELIVER of the
 * handshake's last packet establishes it.
 */
struct flow_decision
flow_decide(struct flow_table *table, const struct packet *packet,
            const struct gue *gue, uint64_t now_us);

/** flow_sent_syn_ack() - note the sequence number our SYN-ACK carried */
void
flow_sent_syn_ack(struct flow_table *table, const struct packet *out);

/** flow_close() - forget a flow (caller's side in @key as in its packets) */
void
flow_close(struct flow_table *table, const struct packet *key);

/** flow_count() - flows held; @half_open of them not yet established */
size_t
flow_count(const struct flow_table *table, size_t *half_open);

/**
 * flow_pins_due() - pins that this owner must send now
 * @to: member id that each is for
 *
 * Return: how many of at most @max were written; call until 0.
 */
size_t
flow_pins_due(struct flow_table *table, uint64_t now_us, struct flow_pin *pins,
              uint64_t *to, size_t max);

/** flow_pin_add() - a pin came from another agent; bounded, expires */
int
flow_pin_add(struct flow_table *table, const struct flow_pin *pin,
             uint64_t now_us);

/** flow_tick() - drop expired half_open and pins; call about once a second */
void
flow_tick(struct flow_table *table, uint64_t now_us);

#endif
