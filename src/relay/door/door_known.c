#include "relay/door/door_private.h"

#include "base/clock.h"

#define SEQ_WINDOW 76802u

/* Sends a packet of a flow along the agents that its frame names. */
void
door_carry_on(struct door *door, const struct frame_carry *frame,
              struct addr agent)
{
    struct frame_carry on = *frame;
    unsigned kept = 0;

    for (unsigned i = 0; i < on.next_count; i++) {
        if (!addr_equal(on.next[i], agent)) {
            on.next[kept++] = on.next[i];
        }
    }
    on.next_count = (uint8_t)kept;
    on.hops++;
    door->out->ops->carry(door->out, agent, &on);
}

/* A packet of a search whose flow isn't here goes on. Nothing is kept of it,
 * and only its end is told: after a loss of all hosts every packet of a flow
 * from before passes many agents, each with a word to its balancer. */
static void
search_on(struct door *door, const struct frame_carry *frame,
          const struct relay_packet *packet, uint64_t now_us)
{
    struct relay_flow flow = relay_flow_from_caller(packet);
    struct addr nobody = {0};
    bool last = frame->next_count == 0 || frame->hops >= DOOR_HOPS_MAX;

    door->out->ops->decided(door->out, last ? DOOR_DID_LET_GO : DOOR_DID_PASS,
                            flow, FRAME_REASON_REFUSED, frame);
    if (!last) {
        door_carry_on(door, frame, frame->next[0]);
        return;
    }
    door_drop(door, DOOR_DROP_NOBODY);
    door_tell_passed(door, flow, frame->origin, FRAME_REASON_REFUSED, nobody,
                     now_us);
}

/* Offers a packet of a search to the endpoint, which hands it back if it
 * doesn't hold the flow. */
static void
offer(struct door *door, uint32_t handle, const struct frame_carry *frame,
      const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->state = DOOR_ASKED;
    flow->asked = true;
    flow->frame = *frame;
    flow->frame.bytes = NULL;
    flow->origin = frame->origin;
    flow->service = frame->service;
    if (packet->len > 0 || (packet->flags & RELAY_FIN) != 0) {
        door_expect(door, now_us);
    }
    door->out->ops->to_endpoint(door->out, packet->bytes, packet->size);
}

/* A packet of an unknown flow: the endpoint may hold it from before this
 * agent's start. */
void
door_ask_endpoint(struct door *door, const struct frame_carry *frame,
                  const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle;

    if (frame->service != door->endpoint.service || door_lacks_unknown(door)) {
        search_on(door, frame, packet, now_us);
        return;
    }
    handle = door_flow_remember(door, relay_flow_from_caller(packet),
                                DOOR_ASKED, now_us);
    offer(door, handle, frame, packet, now_us);
}

static bool
is_for_other(const struct door_flow *flow, const struct relay_packet *packet)
{
    return !flow->confirmed && flow->seq != 0 &&
           (packet->flags & RELAY_ACK) != 0 &&
           packet->ack - flow->seq >= SEQ_WINDOW;
}

/* Another endpoint's answer to the SYN came first: the flow is there. */
static void
give_up_flow(struct door *door, uint32_t handle,
             const struct frame_carry *frame,
             const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->refuted = true;
    flow->frame = *frame;
    flow->frame.bytes = packet->bytes;
    flow->frame.size = packet->size;
    flow->frame.best.ip = 0;
    flow->origin = frame->origin;
    door_pass_on(door, handle, FRAME_REASON_REFUSED, now_us);
}

/* The flow was open at this endpoint, and the endpoint is another one now or
 * has ended: its caller learns it at once instead of by its timeout. */
void
door_reset_flow(struct door *door, uint32_t handle, uint32_t seq)
{
    struct relay_flow key = flow_index_flow(&door->table, handle);

    door_decided(door, DOOR_DID_RESET, handle, FRAME_REASON_LEAVING);
    door->out->ops->reset(door->out, key, seq);
    door_flow_idle(door, handle);
}

void
door_begin_request(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    door_flow_busy(door, handle, now_us);
    flow->asked_us = now_us;
    flow->depth = door->busy_count;
}

static void
deliver(struct door *door, uint32_t handle, const struct frame_carry *frame,
        const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    uint32_t end = packet->seq + packet->len;
    bool search = frame->next_count > 0;

    if (flow->proven && door->endpoint.state == ENDPOINT_GONE) {
        door_reset_flow(door, handle, packet->ack);
        return;
    }
    if (!flow->confirmed && flow->accepted_us != 0) {
        pace_trip(&door->pace, now_us - flow->accepted_us);
    }
    flow->confirmed = true;
    if (packet->len > 0 && (int32_t)(end - flow->caller_seq) > 0) {
        flow->caller_seq = end;
        if (!flow->queued) {
            door_begin_request(door, handle, now_us);
        }
    }
    if (!flow->queued || packet->len == 0 ||
        !door_queue_request(door, handle, packet, now_us)) {
        door->out->ops->to_endpoint(door->out, packet->bytes, packet->size);
    }
    if (search || !addr_equal(flow->origin, frame->origin)) {
        flow->origin = frame->origin;
        door_tell_placed(door, handle, now_us);
    }
}

/* Where a packet of a flow that went on goes: to the agent its SYN went to,
 * unless the packet is on a search that doesn't name that agent any more. A
 * search says itself where it goes. */
static struct addr
where_next(const struct door_flow *flow, const struct frame_carry *frame)
{
    if (flow->asked && frame->next_count > 0) {
        return frame->next[0];
    }
    for (unsigned i = 0; i < frame->next_count; i++) {
        if (addr_equal(frame->next[i], flow->target)) {
            return flow->target;
        }
    }
    return frame->next_count > 0 ? frame->next[0] : flow->target;
}

/* A packet of a flow that went on goes after it. */
static void
carry_elsewhere(struct door *door, uint32_t handle,
                const struct frame_carry *frame, uint64_t now_us)
{
    struct addr next = where_next(&door->flows[handle], frame);

    if (frame->hops < DOOR_HOPS_MAX && next.ip != 0) {
        door_carry_on(door, frame, next);
        return;
    }
    door_drop(door, DOOR_DROP_NOBODY);
    if (next.ip == 0) {
        door_decided(door, DOOR_DID_LET_GO, handle, FRAME_REASON_REFUSED);
        door_tell_passed(door, flow_index_flow(&door->table, handle),
                         frame->origin, FRAME_REASON_REFUSED, next, now_us);
    }
}

void
door_carry_known(struct door *door, uint32_t handle,
                 const struct frame_carry *frame,
                 const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow_index_touch(&door->table, handle, now_us);
    switch (flow->state) {
    case DOOR_ELSEWHERE:
        if (flow->doubtful && !flow->denied &&
            door->endpoint.state != ENDPOINT_GONE) {
            offer(door, handle, frame, packet, now_us);
            return;
        }
        carry_elsewhere(door, handle, frame, now_us);
        return;
    case DOOR_HELD:
        /* Its caller had another answer to its SYN: that waits no more. */
        door_flow_forget(door, handle);
        door_ask_endpoint(door, frame, packet, now_us);
        return;
    case DOOR_ASKED:
    case DOOR_OPENING:
        /* Nothing says so far that the endpoint holds the flow; it may have
         * answered before this agent's start. */
        door->out->ops->to_endpoint(door->out, packet->bytes, packet->size);
        return;
    default:
        if (is_for_other(flow, packet)) {
            give_up_flow(door, handle, frame, packet, now_us);
            return;
        }
        deliver(door, handle, frame, packet, now_us);
    }
}
