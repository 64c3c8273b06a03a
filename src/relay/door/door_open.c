#include "relay/door/door_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

#define LOAD_UNIT 16

/* Requests beyond its slots that an endpoint is given at a time: one waits for
 * each of two slots that may become free at once. Two instead of one: 0.7687
 * -> 0.7727 and 0.7762 -> 0.7792 in the mean of nine and ten days with a loss
 * of power; none instead of one: 0.7693 -> 0.7549. */
#define AHEAD 2

void
door_give_syn(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->state = DOOR_OPENING;
    flow->start = door->start;
    flow->tried_us = now_us;
    door_wait_push(door, handle, now_us);
    door_expect(door, now_us);
    warming_gave(&door->warming, now_us);
    door->out->ops->to_endpoint(door->out, flow->frame.bytes,
                                flow->frame.size);
}

void
door_offer_syn(struct door *door, uint32_t handle, uint64_t now_us)
{
    door_flow_busy(door, handle, now_us);
    door_give_syn(door, handle, now_us);
}

/* Flows beyond the slots that may be open because their callers are on the
 * way: with callers 15 ms away and requests of 15 ms, slots stood idle half
 * of the time without it, and 0.9 of all requests were late. */
static unsigned
room_of(const struct door *door)
{
    return door->endpoint.slots +
           pace_ahead(&door->pace, door->endpoint.slots);
}

/* Whether the endpoint takes another request soon. Some more than its slots
 * may be opened if they can still be in time: an idle slot helps nobody. With
 * the same room for late ones the fresh found it taken: 0.02 to 0.04 less of
 * what was owed on the days of a total loss. */
bool
door_has_room(const struct door *door, bool in_time, uint64_t now_us)
{
    return door->busy_count < room_of(door) + (in_time ? AHEAD : 0) &&
           warming_has_room(&door->warming, now_us);
}

static void
send_on(struct door *door, uint32_t handle, struct addr agent)
{
    struct door_flow *flow = &door->flows[handle];

    flow->state = DOOR_ELSEWHERE;
    flow->target = agent;
    flow->frame.hops++;
    door_flow_idle(door, handle);
    door->out->ops->carry(door->out, agent, &flow->frame);
    /* Its bytes may be a packet's that is gone by now. */
    flow->frame.bytes = NULL;
}

static struct addr
next_pop(struct frame_carry *frame)
{
    struct addr next = frame->next[0];

    frame->next_count--;
    memmove(&frame->next[0], &frame->next[1],
            frame->next_count * sizeof(frame->next[0]));
    return next;
}

/* Requests over slots, by which the least busy of several agents is found.
 * Those that wait count if they can still be in time; the late ones go after
 * what comes now. Without them new requests queued at one agent while others
 * had only late ones left: 0.7790 -> 0.7834 in the mean of nine days with a
 * loss of power or a burst. One that may be given nothing before it is warmer
 * comes after all others. */
static unsigned
load_of(const struct door *door, uint64_t now_us)
{
    if (!warming_has_room(&door->warming, now_us)) {
        return UINT16_MAX;
    }
    return (door->busy_count + door_queue_in_time(door, now_us)) * LOAD_UNIT /
           door->endpoint.slots;
}

/* All were busy: the least busy of them takes the flow all the same. */
static bool
send_to_best(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    if (flow->frame.best.ip == 0 || flow->frame.forced) {
        return false;
    }
    flow->frame.forced = true;
    if (!addr_equal(flow->frame.best, door->self)) {
        send_on(door, handle, flow->frame.best);
        return true;
    }
    if (door_has_room(door, flow->frame.target_ms > 0, now_us)) {
        door_offer_syn(door, handle, now_us);
        return true;
    }
    return door_queue_flow(door, handle, now_us);
}

/* Sends a flow's packet on, or leaves it where nobody is left. */
void
door_pass_on(struct door *door, uint32_t handle, enum frame_reason why,
             uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    struct relay_flow key = flow_index_flow(&door->table, handle);
    struct addr origin = flow->origin;
    struct frame_carry frame = flow->frame;
    struct addr target = {0};
    bool search = flow->asked;

    door_flow_idle(door, handle);
    door_flow_unqueue(door, handle);
    if (flow->frame.next_count > 0 && frame.hops < DOOR_HOPS_MAX) {
        target = next_pop(&flow->frame);
        send_on(door, handle, target);
    }
    else if (send_to_best(door, handle, now_us)) {
        target = flow->frame.best;
    }
    else {
        if (flow->refuted || flow->denied || flow->doubtful) {
            door_flow_elsewhere(door, handle);
        }
        else {
            door_flow_forget(door, handle);
        }
        door_drop(door, DOOR_DROP_NOBODY);
    }
    if (!search || target.ip == 0) {
        /* Of a search only its end is told. */
        door_tell_passed(door, key, origin, why, target, now_us);
    }
    door->out->ops->decided(door->out,
                            target.ip != 0 ? DOOR_DID_PASS : DOOR_DID_LET_GO,
                            key, why, &frame);
}

/* Why a SYN shouldn't be given to the endpoint, or FRAME_REASON_NONE. */
static enum frame_reason
reason_against(const struct door *door, const struct frame_carry *frame,
               uint64_t now_us)
{
    if (frame->service != door->endpoint.service) {
        return FRAME_REASON_SERVICE;
    }
    if (door_is_evacuated(door)) {
        return FRAME_REASON_EVACUATED;
    }
    if (door->endpoint.state == ENDPOINT_SILENT) {
        return FRAME_REASON_SILENT;
    }
    if (door->closed || !endpoint_open(&door->endpoint)) {
        return FRAME_REASON_LEAVING;
    }
    if (frame->next_count > 0 && !frame->forced &&
        outcome_is_failing(&door->outcome, now_us)) {
        return FRAME_REASON_FAILING;
    }
    if (!warming_has_room(&door->warming, now_us)) {
        return FRAME_REASON_BUSY;
    }
    if (door->busy_count >= room_of(door) &&
        !(frame->forced &&
          door_has_room(door, frame->target_ms > 0, now_us))) {
        return FRAME_REASON_BUSY;
    }
    return FRAME_REASON_NONE;
}

static void
keep_frame(struct door_flow *flow, const struct frame_carry *frame)
{
    flow->frame = *frame;
    flow->origin = frame->origin;
    flow->service = frame->service;
    if (frame->size <= DOOR_SYN_MAX) {
        memcpy(flow->syn, frame->bytes, frame->size);
        flow->frame.bytes = flow->syn;
    }
    else {
        /* Too large to keep: it can't be sent on later. */
        flow->frame.next_count = 0;
    }
}

static void
note_best(struct door *door, struct frame_carry *frame, uint64_t now_us)
{
    unsigned load = load_of(door, now_us);

    if (frame->best.ip == 0 || load < frame->best_load) {
        frame->best = door->self;
        frame->best_load = (uint16_t)MIN(load, UINT16_MAX);
    }
}

static void
open_flow(struct door *door, const struct frame_carry *frame,
          const struct relay_packet *packet, bool doubtful, uint64_t now_us)
{
    struct relay_flow key = relay_flow_from_caller(packet);
    uint32_t handle = door_flow_remember(door, key, DOOR_OPENING, now_us);
    struct door_flow *flow = &door->flows[handle];
    enum frame_reason why;

    if (frame->view.version != 0) {
        /* A balancer without a configuration doesn't know the limit. */
        warming_limit(&door->warming, frame->warming_limit);
    }
    why = reason_against(door, frame, now_us);
    keep_frame(flow, frame);
    flow->doubtful = doubtful;
    if (why == FRAME_REASON_BUSY) {
        note_best(door, &flow->frame, now_us);
    }
    if (why == FRAME_REASON_NONE) {
        door_offer_syn(door, handle, now_us);
    }
    else if (why != FRAME_REASON_BUSY || !frame->forced ||
             !door_queue_flow(door, handle, now_us)) {
        door_pass_on(door, handle, why, now_us);
    }
}

void
door_open_flow(struct door *door, const struct frame_carry *frame,
               const struct relay_packet *packet, uint64_t now_us)
{
    open_flow(door, frame, packet, false, now_us);
}

/* The endpoint seems to have started anew since the SYN was seen here. */
static void
open_anew(struct door *door, uint32_t handle, const struct frame_carry *frame,
          const struct relay_packet *packet, uint64_t now_us)
{
    bool was_here = door->flows[handle].state == DOOR_HERE;

    door_flow_forget(door, handle);
    open_flow(door, frame, packet, was_here, now_us);
}

/* Another copy of a SYN that was seen here. */
void
door_open_again(struct door *door, uint32_t handle,
                const struct frame_carry *frame,
                const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow_index_touch(&door->table, handle, now_us);
    if (flow->start != door->start ||
        frame->service != door->endpoint.service) {
        /* The endpoint that it was given to is no more. */
        open_anew(door, handle, frame, packet, now_us);
        return;
    }
    switch (flow->state) {
    case DOOR_OPENING:
    case DOOR_HERE:
        /* The endpoint answers again, with the same number. */
        flow->origin = frame->origin;
        door->out->ops->to_endpoint(door->out, packet->bytes, packet->size);
        if (flow->state == DOOR_HERE) {
            door_tell_placed(door, handle, now_us);
        }
        return;
    case DOOR_HELD:
        door_queue_again(door, handle, frame, now_us);
        return;
    default:
        /* It was sent on, maybe to nobody: look at it anew. */
        door_flow_forget(door, handle);
        door_open_flow(door, frame, packet, now_us);
    }
}
