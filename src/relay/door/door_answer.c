#include "relay/door/door_private.h"

#include <assert.h>

#include "base/clock.h"

/* An earlier packet of the flow went on while the endpoint had this one: it
 * goes the same way. It may overtake the other, so it names the same agents;
 * without them, searches ended at the third agent when the acknowledgement
 * and the goodbye of a caller came together. */
static void
send_after(struct door *door, const struct door_flow *flow,
           const struct relay_packet *packet)
{
    struct frame_carry frame = flow->frame;

    assert(frame.hops > 0);
    frame.hops--;
    frame.origin = flow->origin;
    frame.bytes = packet->bytes;
    frame.size = packet->size;
    door_carry_on(door, &frame, flow->target);
}

/* The endpoint doesn't take a packet of the flow. */
void
door_bounced(struct door *door, const struct relay_packet *packet,
             uint64_t now_us)
{
    uint32_t handle =
        flow_index_find(&door->table, relay_flow_from_caller(packet));
    struct door_flow *flow;

    if (handle == FLOW_INDEX_NONE) {
        door_drop(door, DOOR_DROP_NOBODY);
        return;
    }
    flow = &door->flows[handle];
    if (flow->state == DOOR_HELD ||
        (flow->state == DOOR_OPENING && !relay_packet_opens(packet))) {
        /* It belongs to another endpoint's answer; the handshake here goes
         * on, and the caller sends it again. */
        door_drop(door, DOOR_DROP_NOBODY);
        return;
    }
    if (flow->state == DOOR_ELSEWHERE && flow->target.ip == 0) {
        door_drop(door, DOOR_DROP_NOBODY);
        return;
    }
    if (flow->state == DOOR_ELSEWHERE) {
        send_after(door, flow, packet);
        return;
    }
    if (flow->state == DOOR_HERE && flow->proven) {
        /* An endpoint answers packets of flows that have ended there; one
         * that bounces them has started anew since. */
        door_reset_flow(door, handle, packet->ack);
        return;
    }
    if (flow->state == DOOR_HERE) {
        /* It was opened elsewhere: the balancer looks for it. */
        flow->frame.next_count = 0;
        flow->frame.best.ip = 0;
    }
    flow->denied = !relay_packet_opens(packet);
    if (relay_packet_opens(packet)) {
        if (endpoint_refused(&door->endpoint, door->busy_count)) {
            warming_in_doubt(&door->warming);
            door_tell_state(door, now_us);
        }
    }
    else {
        flow->frame.bytes = packet->bytes;
        flow->frame.size = packet->size;
    }
    door_pass_on(door, handle, FRAME_REASON_REFUSED, now_us);
}

static void
on_accepted(struct door *door, uint32_t handle,
            const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->state = DOOR_HERE;
    flow->seq = packet->seq;
    flow->accepted_us = now_us;
    door_tell_placed(door, handle, now_us);
    door_decided(door, DOOR_DID_PLACE, handle, FRAME_REASON_NONE);
}

/* The endpoint has answered the flow's request, or reset it. */
static void
note_outcome(struct door *door, bool reset, uint64_t now_us)
{
    bool was = outcome_is_failing(&door->outcome, now_us);

    outcome_note(&door->outcome, reset, now_us);
    if (outcome_is_failing(&door->outcome, now_us) != was) {
        door_tell_state(door, now_us);
    }
}

/* The endpoint answers the flow's request, or ends it. */
static void
note_done(struct door *door, uint32_t handle, bool reset, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    if (flow->asked_us != 0) {
        note_outcome(door, reset, now_us);
    }
    if (flow->asked_us != 0 && !reset) {
        pace_answer(&door->pace, now_us - flow->asked_us, flow->depth,
                    door->endpoint.slots);
    }
    flow->asked_us = 0;
    door_flow_idle(door, handle);
}

/* A flow from before this agent's start. The answer to a SYN doesn't prove
 * that the flow is open here: its caller may have taken another one. */
static void
note_earlier(struct door *door, struct relay_flow key,
             const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle = door_flow_remember(door, key, DOOR_HERE, now_us);

    if (relay_packet_accepts(packet)) {
        door->flows[handle].seq = packet->seq;
        return;
    }
    door->flows[handle].proven = true;
    door_note_served(door, key.service);
}

/* Whether the endpoint's reset ends a flow that was open there. */
static bool
is_own_reset(const struct door_flow *flow)
{
    return flow->state == DOOR_HERE && (flow->confirmed || flow->proven);
}

/* The endpoint resets a flow that was never open there, as one does that has
 * just started: the flow lives elsewhere, and its caller is told nothing. */
static void
disown(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    door_drop(door, DOOR_DROP_NOBODY);
    if (flow->state != DOOR_ASKED) {
        return;
    }
    flow->denied = true;
    door_flow_elsewhere(door, handle);
    door_decided(door, DOOR_DID_LET_GO, handle, FRAME_REASON_REFUSED);
    door_tell_passed(door, flow_index_flow(&door->table, handle), flow->origin,
                     FRAME_REASON_REFUSED, flow->target, now_us);
}

/* Whether the endpoint answers a SYN with another number than before: it has
 * started anew since, and the earlier answer was late. */
static bool
is_new_answer(const struct door_flow *flow, const struct relay_packet *packet)
{
    return flow->state == DOOR_HERE && !flow->confirmed &&
           flow->seq != packet->seq;
}

/* Whether the packet may go to its caller. */
bool
door_answered(struct door *door, const struct relay_packet *packet,
              uint64_t now_us)
{
    struct relay_flow key = relay_flow_from_endpoint(packet);
    uint32_t handle = flow_index_find(&door->table, key);
    bool resets = (packet->flags & RELAY_RST) != 0;
    struct door_flow *flow;

    if (handle == FLOW_INDEX_NONE && resets) {
        door_drop(door, DOOR_DROP_NOBODY);
        return false;
    }
    if (handle == FLOW_INDEX_NONE) {
        note_earlier(door, key, packet, now_us);
        return true;
    }
    flow = &door->flows[handle];
    flow_index_touch(&door->table, handle, now_us);
    if (resets && !is_own_reset(flow)) {
        disown(door, handle, now_us);
        return false;
    }
    if (relay_packet_accepts(packet)) {
        if (flow->state == DOOR_ELSEWHERE) {
            door_drop(door, DOOR_DROP_LATE);
            return false;
        }
        if (flow->state == DOOR_OPENING || is_new_answer(flow, packet)) {
            on_accepted(door, handle, packet, now_us);
        }
        return true;
    }
    flow->proven = flow->confirmed || flow->state == DOOR_ASKED;
    if (flow->state != DOOR_HERE) {
        if (flow->state == DOOR_ASKED) {
            door_note_served(door, key.service);
        }
        else if (flow->state == DOOR_HELD) {
            /* The endpoint has held it since before this agent's start. */
            door_flow_unhold(door, handle);
        }
        flow->state = DOOR_HERE;
        door_tell_placed(door, handle, now_us);
    }
    if (packet->len > 0 || (packet->flags & (RELAY_FIN | RELAY_RST)) != 0) {
        note_done(door, handle, resets, now_us);
    }
    return true;
}
