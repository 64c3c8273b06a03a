#include "relay/door/door_private.h"

#include "base/clock.h"

/* Whether a held SYN or request goes before another: first those that can
 * still be answered in time, then the urgent. Of the late ones that which
 * waits no longer soonest: as many are served in time, and an eighth
 * fewer give up (nine plays of days with a loss of power). Of the others the
 * one with most time left: whoever waited longest would be just in time by the
 * mean, and late whenever a request before it takes longer: with slots that
 * are asked for half as much again as they can do, 0.92 of their work is in
 * time instead of 0.85 (work between half and thrice its mean), and two days
 * of a total loss earned 0.008 more on one site, 0.003 on another, nothing on
 * two. */
static bool
goes_before(const struct door_flow *a, const struct door_flow *b,
            uint64_t answer_us)
{
    bool a_in_time = answer_us <= a->late_us;
    bool b_in_time = answer_us <= b->late_us;

    if (a_in_time != b_in_time) {
        return a_in_time;
    }
    if (a->frame.priority != b->frame.priority) {
        return a->frame.priority < b->frame.priority;
    }
    if (!a_in_time) {
        return a->give_up_us < b->give_up_us;
    }
    return a->late_us > b->late_us;
}

unsigned
door_queue_in_time(const struct door *door, uint64_t now_us)
{
    uint64_t answer_us = now_us + pace_expect(&door->pace, door->busy_count,
                                              door->endpoint.slots);
    unsigned count = 0;

    for (unsigned i = 0; i < door->queue_count; i++) {
        count += answer_us <= door->flows[door->queue[i]].late_us;
    }
    return count;
}

/* Held SYN to admit next; @in_time: whether it can still be in time. */
static uint32_t
queue_next(const struct door *door, uint64_t now_us, bool *in_time)
{
    uint64_t answer_us = now_us + pace_expect(&door->pace, door->busy_count,
                                              door->endpoint.slots);
    uint32_t best = door->queue[0];

    for (unsigned i = 1; i < door->queue_count; i++) {
        if (goes_before(&door->flows[door->queue[i]], &door->flows[best],
                        answer_us)) {
            best = door->queue[i];
        }
    }
    *in_time = answer_us <= door->flows[best].late_us;
    return best;
}

/* When a waiting SYN's caller wants its answer, and how long it waits. */
static void
note_patience(struct door_flow *flow, const struct frame_carry *frame,
              uint64_t now_us)
{
    flow->late_us = now_us + frame->target_ms * USEC_PER_MSEC;
    flow->give_up_us = now_us + frame->patience_ms * USEC_PER_MSEC;
}

static void
tell_waits(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct frame_status status = {
        .type = FRAME_HELD,
        .flow = flow_index_flow(&door->table, handle),
    };

    door_tell(door, door->flows[handle].origin, &status, now_us);
}

/* Gives the SYN to the endpoint at once; its request waits. */
static void
open_queued(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->queued = true;
    flow->late_us = now_us + flow->frame.target_ms * USEC_PER_MSEC;
    flow->give_up_us = now_us + flow->frame.budget_ms * USEC_PER_MSEC;
    door_decided(door, DOOR_DID_HOLD, handle, FRAME_REASON_BUSY);
    door_give_syn(door, handle, now_us);
}

static void
hold_syn(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->state = DOOR_HELD;
    note_patience(flow, &flow->frame, now_us);
    door->queue[door->queue_count++] = handle;
    tell_waits(door, handle, now_us);
    door_decided(door, DOOR_DID_HOLD, handle, FRAME_REASON_BUSY);
}

bool
door_queue_flow(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    if (door->queue_count == DOOR_QUEUE_MAX) {
        return false;
    }
    if (flow->frame.budget_ms > 0 &&
        warming_has_room(&door->warming, now_us)) {
        open_queued(door, handle, now_us);
    }
    else {
        hold_syn(door, handle, now_us);
    }
    return true;
}

void
door_queue_again(struct door *door, uint32_t handle,
                 const struct frame_carry *frame, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->origin = frame->origin;
    note_patience(flow, frame, now_us);
    tell_waits(door, handle, now_us);
}

/* Ends the wait of a held SYN or request whose caller has given up. */
static void
let_expire(struct door *door, uint32_t handle)
{
    door_decided(door, DOOR_DID_EXPIRE, handle, FRAME_REASON_BUSY);
    if (door->flows[handle].state == DOOR_HELD) {
        door_flow_forget(door, handle);
    }
    else {
        door_flow_unqueue(door, handle);
    }
    door_drop(door, DOOR_DROP_EXPIRED);
}

/* Gives the endpoint a request that has waited. */
static void
offer_request(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    const struct kept_packet *packet;

    door_flow_unhold(door, handle);
    flow->queued = false;
    door_decided(door, DOOR_DID_ADMIT, handle, FRAME_REASON_NONE);
    door_begin_request(door, handle, now_us);
    door_expect(door, now_us);
    while ((packet = kept_take(&door->kept, &flow->kept)) != NULL) {
        door->out->ops->to_endpoint(door->out, packet->bytes, packet->size);
    }
}

bool
door_queue_request(struct door *door, uint32_t handle,
                   const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    bool first = flow->kept == KEPT_NONE;
    bool full = door->queue_count == DOOR_QUEUE_MAX;

    if (first && (full || now_us >= flow->give_up_us)) {
        /* No room, or a request that comes long after its SYN: its caller's
         * time isn't known. */
        flow->queued = false;
        door_begin_request(door, handle, now_us);
        return false;
    }
    kept_add(&door->kept, &flow->kept, packet);
    if (first) {
        door->queue[door->queue_count++] = handle;
    }
    return true;
}

/* Held SYNs go elsewhere: the endpoint takes nothing new any more. */
static void
pass_queue_on(struct door *door, enum frame_reason why, uint64_t now_us)
{
    unsigned at = 0;

    while (at < door->queue_count) {
        uint32_t handle = door->queue[at];

        if (door->flows[handle].state != DOOR_HELD) {
            at++;
            continue;
        }
        door_flow_unhold(door, handle);
        door->flows[handle].frame.best.ip = 0;
        door_pass_on(door, handle, why, now_us);
    }
}

/* Requests that wait for an endpoint that is no more: their callers are told
 * at once. */
static void
reset_queued(struct door *door)
{
    while (door->queue_count > 0) {
        uint32_t handle = door->queue[door->queue_count - 1];
        uint32_t seq = door->flows[handle].seq;

        door_flow_unqueue(door, handle);
        door_reset_flow(door, handle, seq);
        door_flow_forget(door, handle);
    }
}

/* Gives held SYNs and requests to the endpoint while it has room. */
static void
admit(struct door *door, uint64_t now_us)
{
    if (door_is_evacuated(door)) {
        pass_queue_on(door, FRAME_REASON_EVACUATED, now_us);
    }
    if (door->closed || !endpoint_open(&door->endpoint)) {
        pass_queue_on(door, FRAME_REASON_LEAVING, now_us);
    }
    if (door->endpoint.down || door->endpoint.state == ENDPOINT_GONE) {
        reset_queued(door);
    }
    while (door->queue_count > 0 && door_has_room(door, true, now_us)) {
        bool in_time;
        uint32_t handle = queue_next(door, now_us, &in_time);

        if (now_us >= door->flows[handle].give_up_us) {
            let_expire(door, handle);
            continue;
        }
        if (!door_has_room(door, in_time, now_us)) {
            return;
        }
        if (door->flows[handle].queued) {
            offer_request(door, handle, now_us);
            continue;
        }
        door_flow_unhold(door, handle);
        door_decided(door, DOOR_DID_ADMIT, handle, FRAME_REASON_NONE);
        door_offer_syn(door, handle, now_us);
    }
}

void
door_queue_admit(struct door *door, uint64_t now_us)
{
    admit(door, now_us);
    door->warmer_us = UINT64_MAX;
    if (door->queue_count > 0 && !warming_has_room(&door->warming, now_us)) {
        door->warmer_us = warming_next_us(&door->warming);
    }
}

void
door_queue_expire(struct door *door, uint64_t now_us)
{
    unsigned at = 0;

    while (at < door->queue_count) {
        uint32_t handle = door->queue[at];

        if (now_us >= door->flows[handle].give_up_us) {
            let_expire(door, handle);
        }
        else {
            at++;
        }
    }
}
