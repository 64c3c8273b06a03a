#include "relay/admission/admission_private.h"

#include "base/clock.h"

/* An acknowledgement this many bytes or more beyond the SYN+ACK belongs to
 * another endpoint's SYN+ACK. */
#define SEQ_WINDOW 76802u

void
admission_forward_next(struct admission *admission,
                       const struct frame_forward *frame, struct addr agent)
{
    struct frame_forward forwarded = *frame;
    unsigned count = 0;

    for (unsigned i = 0; i < forwarded.next_count; i++) {
        if (!addr_equal(forwarded.next[i], agent)) {
            forwarded.next[count++] = forwarded.next[i];
        }
    }
    forwarded.next_count = (uint8_t)count;
    forwarded.hops++;
    admission->out->ops->forward(admission->out, agent, &forwarded);
}

/* Reason for the end of a lookup at this agent. Only a certain denial lets the
 * balancer of a flow that was open here reset its caller. */
static enum frame_reason
denial_reason(const struct admission *admission, uint32_t handle)
{
    return admission_is_absent(admission, handle) ? FRAME_REASON_ABSENT
                                                  : FRAME_REASON_REFUSED;
}

/* Forwards a packet of a lookup whose flow isn't here. No flow is added, and
 * only the end of the lookup is reported, to save a status frame at each agent
 * that the packet passes. */
static void
continue_lookup(struct admission *admission, const struct frame_forward *frame,
                const struct relay_packet *packet, uint64_t now_us)
{
    struct relay_flow flow = relay_flow_from_caller(packet);
    struct addr no_agent = {0};
    bool last = frame->next_count == 0 || frame->hops >= ADMISSION_HOPS_MAX;
    enum frame_reason why = denial_reason(admission, FLOW_INDEX_NONE);

    admission->out->ops->decided(admission->out,
                                 last ? ADMISSION_DECISION_ABANDON
                                      : ADMISSION_DECISION_REDIRECT,
                                 flow, why, frame);
    if (!last) {
        admission_forward_next(admission, frame, frame->next[0]);
        return;
    }
    admission_drop(admission, ADMISSION_DROP_NO_AGENT);
    admission_notify_redirected(admission, flow, frame->origin, why, no_agent,
                                now_us);
}

/* Offers a packet of a lookup to the endpoint, which bounces it if it doesn't
 * hold the flow. */
static void
offer_packet(struct admission *admission, uint32_t handle,
             const struct frame_forward *frame,
             const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->state = ADMISSION_FLOW_OFFERED;
    flow->from_lookup = true;
    flow->frame = *frame;
    flow->frame.bytes = NULL;
    flow->origin = frame->origin;
    flow->service = frame->service;
    if (packet->len > 0 || (packet->flags & RELAY_FIN) != 0) {
        admission_expect_reply(admission, now_us);
    }
    admission->out->ops->to_endpoint(admission->out, packet->bytes,
                                     packet->size);
}

void
admission_offer_unknown(struct admission *admission,
                        const struct frame_forward *frame,
                        const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle;

    if (frame->service != admission->endpoint.service ||
        admission_knows_all_flows(admission)) {
        continue_lookup(admission, frame, packet, now_us);
        return;
    }
    handle = admission_flow_add(admission, relay_flow_from_caller(packet),
                                ADMISSION_FLOW_OFFERED, now_us);
    offer_packet(admission, handle, frame, packet, now_us);
}

static bool
acks_other_syn_ack(const struct admission_flow *flow,
                   const struct relay_packet *packet)
{
    return !flow->confirmed && flow->seq != 0 &&
           (packet->flags & RELAY_ACK) != 0 &&
           packet->ack - flow->seq >= SEQ_WINDOW;
}

/* Redirects a flow whose caller accepted another endpoint's SYN+ACK. */
static void
redirect_to_acceptor(struct admission *admission, uint32_t handle,
                     const struct frame_forward *frame,
                     const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->accepted_elsewhere = true;
    flow->frame = *frame;
    flow->frame.bytes = packet->bytes;
    flow->frame.size = packet->size;
    flow->frame.best.ip = 0;
    flow->origin = frame->origin;
    admission_redirect(admission, handle, FRAME_REASON_REFUSED, now_us);
}

/* Whether an unscheduled packet goes to the endpoint now. */
static bool
may_send_unscheduled(struct admission *admission, uint32_t handle,
                     const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    uint32_t end = packet->seq + packet->len;

    if (packet->len > 0 && (int32_t)(end - flow->caller_seq) > 0) {
        flow->caller_seq = end;
        if (!flow->queued) {
            admission_begin_request(admission, handle, now_us);
        }
    }
    return !flow->queued || packet->len == 0 ||
           !admission_queue_request(admission, handle, packet, now_us);
}

/* Whether a packet goes to the endpoint now. */
static bool
may_send(struct admission *admission, uint32_t handle,
         const struct frame_forward *frame, const struct relay_packet *packet,
         uint64_t now_us)
{
    enum admission_path path =
        admission_handle_request(admission, handle, frame, packet, now_us);

    if (path == ADMISSION_PATH_UNSCHEDULED) {
        return may_send_unscheduled(admission, handle, packet, now_us);
    }
    return path == ADMISSION_PATH_SEND;
}

static void
deliver_packet(struct admission *admission, uint32_t handle,
               const struct frame_forward *frame,
               const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    bool is_lookup = frame->next_count > 0;

    if (flow->proven && admission->endpoint.state == ENDPOINT_GONE) {
        admission_reset_flow(admission, handle, packet->ack,
                             FRAME_REASON_LEAVING);
        return;
    }
    if (!flow->confirmed && flow->established_us != 0) {
        latency_add_rtt(&admission->latency, now_us - flow->established_us);
    }
    flow->confirmed = true;
    flow->caller_left =
        flow->caller_left || (packet->flags & (RELAY_FIN | RELAY_RST)) != 0;
    if (may_send(admission, handle, frame, packet, now_us)) {
        admission->out->ops->to_endpoint(admission->out, packet->bytes,
                                         packet->size);
    }
    if (is_lookup || !addr_equal(flow->origin, frame->origin)) {
        flow->origin = frame->origin;
        admission_notify_established(admission, handle, now_us);
    }
}

/* Agent to forward a redirected flow's packet to: the one that got its SYN,
 * unless the packet's lookup path no longer names it. A flow from a lookup
 * follows the path in each packet's frame. */
static struct addr
next_agent(const struct admission_flow *flow,
           const struct frame_forward *frame)
{
    if (flow->from_lookup && frame->next_count > 0) {
        return frame->next[0];
    }
    for (unsigned i = 0; i < frame->next_count; i++) {
        if (addr_equal(frame->next[i], flow->target)) {
            return flow->target;
        }
    }
    return frame->next_count > 0 ? frame->next[0] : flow->target;
}

static void
forward_remote(struct admission *admission, uint32_t handle,
               const struct frame_forward *frame, uint64_t now_us)
{
    struct addr next = next_agent(&admission->flows[handle], frame);

    if (frame->hops < ADMISSION_HOPS_MAX && next.ip != 0) {
        admission_forward_next(admission, frame, next);
        return;
    }
    admission_drop(admission, ADMISSION_DROP_NO_AGENT);
    if (next.ip == 0) {
        enum frame_reason why = denial_reason(admission, handle);

        admission_decided(admission, ADMISSION_DECISION_ABANDON, handle, why);
        admission_notify_redirected(admission,
                                    flow_index_flow(&admission->table, handle),
                                    frame->origin, why, next, now_us);
    }
}

void
admission_handle_flow_packet(struct admission *admission, uint32_t handle,
                             const struct frame_forward *frame,
                             const struct relay_packet *packet,
                             uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow_index_touch(&admission->table, handle, now_us);
    flow->closed |= (packet->flags & (RELAY_FIN | RELAY_RST)) != 0;
    switch (flow->state) {
    case ADMISSION_FLOW_REMOTE:
        if (flow->maybe_local && !flow->rejected &&
            admission->endpoint.state != ENDPOINT_GONE) {
            offer_packet(admission, handle, frame, packet, now_us);
            return;
        }
        forward_remote(admission, handle, frame, now_us);
        return;
    case ADMISSION_FLOW_QUEUED:
        /* The caller accepted another SYN+ACK: the queued SYN is dropped. */
        admission_flow_remove(admission, handle);
        admission_offer_unknown(admission, frame, packet, now_us);
        return;
    case ADMISSION_FLOW_OFFERED:
    case ADMISSION_FLOW_OPENING:
        /* The endpoint may have answered before this agent's start. */
        admission->out->ops->to_endpoint(admission->out, packet->bytes,
                                         packet->size);
        return;
    default:
        if (acks_other_syn_ack(flow, packet)) {
            redirect_to_acceptor(admission, handle, frame, packet, now_us);
            return;
        }
        deliver_packet(admission, handle, frame, packet, now_us);
    }
}
