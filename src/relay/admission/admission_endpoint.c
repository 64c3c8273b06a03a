#include "relay/admission/admission_private.h"

#include <assert.h>

#include "base/clock.h"

/* Forwards a bounced packet the way of an earlier one of its flow. It may
 * overtake that one, so its frame names the same agents: without them the
 * lookup could end too early. */
static void
redirect_again(struct admission *admission, const struct admission_flow *flow,
               const struct relay_packet *packet)
{
    struct frame_forward frame = flow->frame;

    assert(frame.hops > 0);
    frame.hops--;
    frame.origin = flow->origin;
    frame.bytes = packet->bytes;
    frame.size = packet->size;
    admission_forward_next(admission, &frame, flow->target);
}

void
admission_handle_bounce(struct admission *admission,
                        const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle =
        flow_index_find(&admission->table, relay_flow_from_caller(packet));
    struct admission_flow *flow;

    if (handle == FLOW_INDEX_NONE) {
        admission_drop(admission, ADMISSION_DROP_NO_AGENT);
        return;
    }
    flow = &admission->flows[handle];
    if (flow->state == ADMISSION_FLOW_QUEUED ||
        (flow->state == ADMISSION_FLOW_OPENING &&
         !relay_packet_is_syn(packet))) {
        /* The caller answers another endpoint's SYN+ACK. The handshake here
         * continues, and the caller sends the packet again. */
        admission_drop(admission, ADMISSION_DROP_NO_AGENT);
        return;
    }
    if (flow->state == ADMISSION_FLOW_REMOTE && flow->target.ip == 0) {
        admission_drop(admission, ADMISSION_DROP_NO_AGENT);
        return;
    }
    if (flow->state == ADMISSION_FLOW_REMOTE) {
        redirect_again(admission, flow, packet);
        return;
    }
    if (flow->state == ADMISSION_FLOW_ESTABLISHED && flow->proven) {
        /* An endpoint also answers packets of ended flows. If it bounces them,
         * it has restarted. */
        admission_reset_flow(admission, handle, packet->ack,
                             FRAME_REASON_ABSENT);
        return;
    }
    if (flow->state == ADMISSION_FLOW_ESTABLISHED) {
        /* It was opened elsewhere: the balancer looks it up. */
        flow->frame.next_count = 0;
        flow->frame.best.ip = 0;
    }
    flow->rejected = !relay_packet_is_syn(packet);
    if (relay_packet_is_syn(packet)) {
        if (endpoint_refused(&admission->endpoint, admission->busy_count)) {
            slow_start_restart(&admission->slow_start);
            admission_notify_state(admission, now_us);
        }
    }
    else {
        flow->frame.bytes = packet->bytes;
        flow->frame.size = packet->size;
    }
    admission_redirect(
        admission, handle,
        flow->rejected ? FRAME_REASON_ABSENT : FRAME_REASON_REFUSED, now_us);
}

static void
syn_answered(struct admission *admission, uint32_t handle,
             const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->state = ADMISSION_FLOW_ESTABLISHED;
    flow->seq = packet->seq;
    flow->established_us = now_us;
    flow->endpoint_seen_us = now_us;
    flow->reply_end = packet->seq;
    flow->closed = false;
    admission_notify_established(admission, handle, now_us);
    admission_decided(admission, ADMISSION_DECISION_ESTABLISH, handle,
                      FRAME_REASON_NONE);
}

static void
record_outcome(struct admission *admission, bool reset, uint64_t now_us)
{
    bool was_failing = outcome_is_failing(&admission->outcome, now_us);

    outcome_record(&admission->outcome, reset, now_us);
    if (outcome_is_failing(&admission->outcome, now_us) != was_failing) {
        admission_notify_state(admission, now_us);
    }
}

/* Adds an answered request to the endpoint's capacity. One whose caller has
 * left isn't answered: the endpoint only closes the flow. */
static void
add_to_capacity(struct admission *admission, const struct admission_flow *flow,
                const struct relay_packet *packet, uint64_t now_us)
{
    if (packet->len > 0 && !flow->caller_left) {
        capacity_add(&admission->capacity, now_us - flow->request_start_us,
                     flow->depth, admission->endpoint.slots, now_us);
    }
}

/* Ends the request in progress if the endpoint answered or reset it. One that
 * it rejected says nothing about its speed or its faults. */
static void
request_ended(struct admission *admission, uint32_t handle,
              const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    bool reset = (packet->flags & RELAY_RST) != 0;
    enum scheduler_end end;
    bool runs;

    if (!admission_handle_answer(admission, handle, packet, now_us, &end)) {
        return;
    }
    runs = flow->request_start_us != 0 && end != SCHEDULER_REJECTED;
    if (runs) {
        record_outcome(admission, reset, now_us);
    }
    if (runs && !reset) {
        latency_add_service(&admission->latency,
                            now_us - flow->request_start_us, flow->depth,
                            admission->endpoint.slots);
        add_to_capacity(admission, flow, packet, now_us);
    }
    flow->request_start_us = 0;
    admission_flow_set_idle(admission, handle);
}

/* Notes what a record of the flow needs. */
static void
note_reply(struct admission_flow *flow, const struct relay_packet *packet,
           uint64_t now_us)
{
    flow->reply_end = packet->seq + packet->len;
    flow->closed |= (packet->flags & (RELAY_FIN | RELAY_RST)) != 0;
    if (flow->endpoint_seen_us == 0) {
        flow->endpoint_seen_us = now_us;
    }
}

/* Adds a flow from before this agent's start. A SYN+ACK doesn't prove that the
 * flow is open here: the caller may have accepted another one. */
static void
add_unseen_flow(struct admission *admission, struct relay_flow key,
                const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle =
        admission_flow_add(admission, key, ADMISSION_FLOW_ESTABLISHED, now_us);

    note_reply(&admission->flows[handle], packet, now_us);
    if (relay_packet_is_syn_ack(packet)) {
        admission->flows[handle].seq = packet->seq;
        return;
    }
    admission->flows[handle].proven = true;
    admission_note_served(admission, key.service);
    if (packet->len > 0) {
        request_ended(admission, handle, packet, now_us);
    }
}

/* Whether the endpoint resets a flow that it held. */
static bool
is_own_reset(const struct admission_flow *flow)
{
    return flow->state == ADMISSION_FLOW_ESTABLISHED &&
           (flow->confirmed || flow->proven);
}

/* Drops a reset of a flow that the endpoint never held, as sent by one that
 * has just started: the flow is open elsewhere. */
static void
drop_reset(struct admission *admission, uint32_t handle, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    admission_drop(admission, ADMISSION_DROP_NO_AGENT);
    if (flow->state != ADMISSION_FLOW_OFFERED) {
        return;
    }
    flow->rejected = true;
    admission_flow_set_remote(admission, handle);
    admission_decided(admission, ADMISSION_DECISION_ABANDON, handle,
                      FRAME_REASON_ABSENT);
    admission_notify_redirected(
        admission, flow_index_flow(&admission->table, handle), flow->origin,
        FRAME_REASON_ABSENT, flow->target, now_us);
}

/* Whether a SYN+ACK has another sequence number than the last one, as the
 * endpoint has restarted in between. */
static bool
is_new_syn_ack(const struct admission_flow *flow,
               const struct relay_packet *packet)
{
    return flow->state == ADMISSION_FLOW_ESTABLISHED && !flow->confirmed &&
           flow->seq != packet->seq;
}

bool
admission_handle_endpoint_reply(struct admission *admission,
                                const struct relay_packet *packet,
                                uint64_t now_us)
{
    struct relay_flow key = relay_flow_from_endpoint(packet);
    uint32_t handle = flow_index_find(&admission->table, key);
    bool resets = (packet->flags & RELAY_RST) != 0;
    struct admission_flow *flow;

    if (handle == FLOW_INDEX_NONE && resets) {
        admission_drop(admission, ADMISSION_DROP_NO_AGENT);
        return false;
    }
    if (handle == FLOW_INDEX_NONE) {
        add_unseen_flow(admission, key, packet, now_us);
        return true;
    }
    flow = &admission->flows[handle];
    flow_index_touch(&admission->table, handle, now_us);
    if (resets && !is_own_reset(flow)) {
        drop_reset(admission, handle, now_us);
        return false;
    }
    if (relay_packet_is_syn_ack(packet)) {
        if (flow->state == ADMISSION_FLOW_REMOTE) {
            admission_drop(admission, ADMISSION_DROP_STALE);
            return false;
        }
        if (flow->state == ADMISSION_FLOW_OPENING ||
            is_new_syn_ack(flow, packet)) {
            syn_answered(admission, handle, packet, now_us);
        }
        return true;
    }
    note_reply(flow, packet, now_us);
    flow->proven = flow->confirmed || flow->state == ADMISSION_FLOW_OFFERED;
    if (flow->state != ADMISSION_FLOW_ESTABLISHED) {
        if (flow->state == ADMISSION_FLOW_OFFERED) {
            admission_note_served(admission, key.service);
        }
        else if (flow->state == ADMISSION_FLOW_QUEUED) {
            /* The endpoint has it from before this agent's start. */
            admission_queue_remove(admission, handle);
        }
        flow->state = ADMISSION_FLOW_ESTABLISHED;
        admission_notify_established(admission, handle, now_us);
    }
    if (packet->len > 0 || (packet->flags & (RELAY_FIN | RELAY_RST)) != 0) {
        request_ended(admission, handle, packet, now_us);
    }
    if ((packet->flags & (RELAY_FIN | RELAY_RST)) != 0) {
        capacity_flow_ended(&admission->capacity, &flow->used_us);
    }
    return true;
}
