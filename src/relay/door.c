#include "relay/door.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* How long an endpoint may take to answer a SYN. It does so in 0.3 ms, five
 * times as long on a slowed host, and the agent shares a small processor
 * with it. */
#define ANSWER_TIMEOUT_US (5 * USEC_PER_MSEC)

/* A request is taken as over after this long without a sign of it: callers
 * that never sent one after the handshake, or whose answer was lost. */
#define BUSY_MAX_US (2 * USEC_PER_SEC)

/* A flow whose caller doesn't go on after the handshake for this long, some
 * ten round trips, was opened elsewhere: its SYN had two answers. */
#define UNCONFIRMED_MAX_US (60 * USEC_PER_MSEC)
#define SWEEP_US (50 * USEC_PER_MSEC)

/* A flow that was quiet for this long is forgotten; the endpoint itself
 * still holds it, and a packet of it is offered there first. */
#define IDLE_US (60 * USEC_PER_SEC)

/* How often an agent that no balancer has spoken to says that it is here.
 * After a loss of all hosts this is how balancers find agents when the store
 * is away; three datagrams each time. */
#define GREET_US (100 * USEC_PER_MSEC)

/* Balancers that were silent for longer aren't told of changes. */
#define BALANCER_IDLE_US (60 * USEC_PER_SEC)

/* No packet visits more agents than its balancer named, and the one that
 * was least busy once more. */
#define HOPS_MAX (FRAME_NEXT_MAX + 2)

#define LOAD_UNIT 16

/* Requests beyond its slots that an endpoint is given at a time. */
#define AHEAD 1

#define SEQ_WINDOW 76802u
#define SYN_MAX 64

/** enum door_state - where a flow is, as seen from here */
enum door_state {
    DOOR_OPENING,   /* its SYN was given to the endpoint */
    DOOR_HERE,      /* the endpoint holds it */
    DOOR_ASKED,     /* a packet of it was offered to the endpoint */
    DOOR_ELSEWHERE, /* sent on to another agent */
    DOOR_HELD,      /* its SYN waits for a free slot */
};

/**
 * struct door_flow - what is known of a flow
 * @state: where it is
 * @start: start of the endpoint that it belongs to
 * @busy_at: place in the busy list, or -1
 * @confirmed: the caller acknowledged this endpoint's SYN+ACK
 * @proven: the endpoint sent something after that: the flow was open there
 * @service: service it was opened for
 * @origin: balancer that its packets came through last
 * @target: for DOOR_ELSEWHERE, the agent it was sent to
 * @seq: sequence number of the endpoint's SYN+ACK
 * @caller_seq: end of the caller's data seen so far
 * @busy_us: since when its request is in progress
 * @tried_us: when the SYN was given to the endpoint
 * @accepted_us: when the endpoint answered the SYN, 0 for not yet
 * @late_us: when an answer to a held SYN's request is late
 * @give_up_us: when the caller of a held SYN stops waiting
 * @asked_us: when its request was given to the endpoint, 0 for not yet
 * @depth: requests in progress then
 * @frame: the frame it came with, to send it on (its bytes are @syn)
 * @syn: the SYN
 */
struct door_flow {
    enum door_state state;
    unsigned start;
    int busy_at;
    bool confirmed;
    bool proven;
    uint32_t service;
    struct addr origin;
    struct addr target;
    uint32_t seq;
    uint32_t caller_seq;
    uint64_t busy_us;
    uint64_t tried_us;
    uint64_t accepted_us;
    uint64_t late_us;
    uint64_t give_up_us;
    uint64_t asked_us;
    unsigned depth;
    struct frame_carry frame;
    uint8_t syn[SYN_MAX];
};

static void
drop(struct door *door, enum door_drop why)
{
    door->out->ops->dropped(door->out, why);
}

static void
set_busy(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->busy_us = now_us;
    if (flow->busy_at >= 0) {
        return;
    }
    flow->busy_at = (int)door->busy_count;
    door->busy[door->busy_count++] = handle;
}

static void
clear_busy(struct door *door, uint32_t handle)
{
    struct door_flow *flow = &door->flows[handle];
    uint32_t last;

    if (flow->busy_at < 0) {
        return;
    }
    last = door->busy[--door->busy_count];
    door->busy[flow->busy_at] = last;
    door->flows[last].busy_at = flow->busy_at;
    flow->busy_at = -1;
}

static void
unhold(struct door *door, uint32_t handle)
{
    for (unsigned i = 0; i < door->held_count; i++) {
        if (door->held[i] == handle) {
            door->held_count--;
            memmove(&door->held[i], &door->held[i + 1],
                    (door->held_count - i) * sizeof(door->held[0]));
            return;
        }
    }
}

static void
forget(struct door *door, uint32_t handle)
{
    clear_busy(door, handle);
    if (door->flows[handle].state == DOOR_HELD) {
        unhold(door, handle);
    }
    flow_index_remove(&door->table, handle);
    /* A wait for its answer that is still queued finds nothing to do. */
    door->flows[handle].state = DOOR_ELSEWHERE;
}

static uint32_t
remember(struct door *door, struct relay_flow key, enum door_state state,
         uint64_t now_us)
{
    uint32_t handle;

    if (door->table.used == door->table.capacity) {
        forget(door, flow_index_oldest(&door->table));
    }
    handle = flow_index_add(&door->table, key, now_us);
    door->flows[handle] = (struct door_flow){
        .state = state, .start = door->start, .busy_at = -1};
    return handle;
}

static unsigned
load_of(const struct door *door)
{
    return door->busy_count * LOAD_UNIT / door->endpoint.slots;
}

static void
tell(struct door *door, struct addr balancer, struct frame_status *status,
     uint64_t now_us)
{
    status->health =
        endpoint_health(&door->endpoint, door->busy_count, now_us);
    if (door->closed && status->health.state != ENDPOINT_GONE) {
        status->health.state = ENDPOINT_DRAINING;
    }
    status->heard = door->heard;
    door->out->ops->tell(door->out, balancer, status);
}

static void
tell_placed(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    struct frame_status status = {
        .type = FRAME_PLACED,
        .flow = flow_index_flow(&door->table, handle),
        .seq = flow->seq,
    };

    if (flow->origin.ip != 0) {
        tell(door, flow->origin, &status, now_us);
    }
}

static void
tell_passed(struct door *door, struct relay_flow key, struct addr origin,
            enum frame_reason why, struct addr target, uint64_t now_us)
{
    struct frame_status status = {
        .type = FRAME_PASSED,
        .reason = (uint8_t)why,
        .target = target,
        .flow = key,
    };

    if (origin.ip != 0) {
        tell(door, origin, &status, now_us);
    }
}

/* Tells all balancers of late that the endpoint's state has changed. */
static void
tell_state(struct door *door, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    for (unsigned i = 0; i < door->balancer_count; i++) {
        if (now_us - door->balancers[i].heard_us < BALANCER_IDLE_US) {
            tell(door, door->balancers[i].addr, &status, now_us);
        }
    }
}

static void
heard_from(struct door *door, struct addr balancer, uint64_t version,
           uint64_t now_us)
{
    unsigned oldest = 0;

    if (version > door->heard.version) {
        door->heard = (struct frame_version){version, balancer};
    }
    for (unsigned i = 0; i < door->balancer_count; i++) {
        if (addr_equal(door->balancers[i].addr, balancer)) {
            door->balancers[i].heard_us = now_us;
            door->balancers[i].version = version;
            return;
        }
        if (door->balancers[i].heard_us < door->balancers[oldest].heard_us) {
            oldest = i;
        }
    }
    if (door->balancer_count < DOOR_BALANCERS_MAX) {
        oldest = door->balancer_count++;
    }
    door->balancers[oldest] =
        (struct door_balancer){balancer, now_us, version};
}

static void
tell_served(struct door *door, struct addr balancer)
{
    door->served.service = door->endpoint.service;
    if (door->served.count > 0) {
        door->out->ops->serves(door->out, balancer, &door->served);
    }
}

/* The endpoint holds a flow from before this agent's start, so its service
 * was reached under that address. Flows that came through here prove
 * nothing: a balancer without configuration would believe itself. */
static void
note_served(struct door *door, struct addr service)
{
    for (unsigned i = 0; i < door->served.count; i++) {
        if (addr_equal(door->served.addrs[i], service)) {
            return;
        }
    }
    if (door->served.count == FRAME_SERVED_MAX) {
        return;
    }
    door->served.addrs[door->served.count++] = service;
    for (unsigned i = 0; i < door->balancer_count; i++) {
        if (door->balancers[i].version == 0) {
            tell_served(door, door->balancers[i].addr);
        }
    }
}

static void
wait_push(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_wait *wait;

    if (door->wait_count == DOOR_WAITS_MAX) {
        /* The balancer's own timeout takes its place. */
        return;
    }
    wait =
        &door->waits[(door->wait_first + door->wait_count) % DOOR_WAITS_MAX];
    *wait = (struct door_wait){now_us + ANSWER_TIMEOUT_US, handle, now_us};
    door->wait_count++;
}

/* Gives the SYN of a flow to the endpoint. */
static void
offer_syn(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->state = DOOR_OPENING;
    flow->tried_us = now_us;
    set_busy(door, handle, now_us);
    wait_push(door, handle, now_us);
    door->out->ops->to_endpoint(door->out, flow->frame.bytes,
                                flow->frame.size);
}

/* Whether the endpoint takes another request soon. One more than its slots
 * may be opened if it can still be in time: the handshake takes as long as
 * half a request, and an idle slot helps nobody. With the same room for late
 * ones the fresh found it taken: 0.02 to 0.04 less of what was owed on the
 * days of a total loss. */
static bool
has_room(const struct door *door, bool in_time)
{
    return door->busy_count < door->endpoint.slots + (in_time ? AHEAD : 0);
}

static void
send_on(struct door *door, uint32_t handle, struct addr agent)
{
    struct door_flow *flow = &door->flows[handle];

    flow->state = DOOR_ELSEWHERE;
    flow->target = agent;
    flow->frame.hops++;
    clear_busy(door, handle);
    door->out->ops->carry(door->out, agent, &flow->frame);
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

/* When a held SYN's caller wants its answer, and how long it waits. */
static void
note_patience(struct door_flow *flow, const struct frame_carry *frame,
              uint64_t now_us)
{
    flow->late_us = now_us + frame->target_ms * USEC_PER_MSEC;
    flow->give_up_us = now_us + frame->patience_ms * USEC_PER_MSEC;
}

static void
decided(struct door *door, enum door_did did, uint32_t handle,
        enum frame_reason why)
{
    door->out->ops->decided(door->out, did,
                            flow_index_flow(&door->table, handle), why,
                            &door->flows[handle].frame);
}

/* Keeps a SYN until the endpoint has a free slot; false when too many
 * are kept. */
static bool
hold(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    struct frame_status status = {
        .type = FRAME_HELD,
        .flow = flow_index_flow(&door->table, handle),
    };

    if (door->held_count == DOOR_HELD_MAX) {
        return false;
    }
    flow->state = DOOR_HELD;
    note_patience(flow, &flow->frame, now_us);
    door->held[door->held_count++] = handle;
    tell(door, flow->origin, &status, now_us);
    decided(door, DOOR_DID_HOLD, handle, FRAME_REASON_BUSY);
    return true;
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
    if (has_room(door, flow->frame.target_ms > 0)) {
        offer_syn(door, handle, now_us);
        return true;
    }
    return hold(door, handle, now_us);
}

/* Sends a flow's packet on; without anyone left the flow is forgotten. */
static void
pass_on(struct door *door, uint32_t handle, enum frame_reason why,
        uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    struct relay_flow key = flow_index_flow(&door->table, handle);
    struct addr origin = flow->origin;
    struct frame_carry frame = flow->frame;
    struct addr target = {0};

    clear_busy(door, handle);
    if (flow->frame.next_count > 0 && frame.hops < HOPS_MAX) {
        target = next_pop(&flow->frame);
        send_on(door, handle, target);
    }
    else if (send_to_best(door, handle, now_us)) {
        target = flow->frame.best;
    }
    else {
        forget(door, handle);
        drop(door, DOOR_DROP_NOBODY);
    }
    tell_passed(door, key, origin, why, target, now_us);
    door->out->ops->decided(door->out,
                            target.ip != 0 ? DOOR_DID_PASS : DOOR_DID_LET_GO,
                            key, why, &frame);
}

/* Why a SYN shouldn't be given to the endpoint, or FRAME_REASON_NONE. */
static enum frame_reason
reason_against(const struct door *door, const struct frame_carry *frame)
{
    if (frame->service != door->endpoint.service) {
        return FRAME_REASON_SERVICE;
    }
    if (door->endpoint.state == ENDPOINT_SILENT) {
        return FRAME_REASON_SILENT;
    }
    if (door->closed || !endpoint_open(&door->endpoint)) {
        return FRAME_REASON_LEAVING;
    }
    if (door->busy_count >= door->endpoint.slots &&
        !(frame->forced && has_room(door, frame->target_ms > 0))) {
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
    if (frame->size <= SYN_MAX) {
        memcpy(flow->syn, frame->bytes, frame->size);
        flow->frame.bytes = flow->syn;
    }
    else {
        /* Too large to keep: it can't be sent on later. */
        flow->frame.next_count = 0;
    }
}

static void
note_best(struct door *door, struct frame_carry *frame)
{
    unsigned load = load_of(door);

    if (frame->best.ip == 0 || load < frame->best_load) {
        frame->best = door->self;
        frame->best_load = (uint16_t)MIN(load, UINT16_MAX);
    }
}

static void
open_flow(struct door *door, const struct frame_carry *frame,
          const struct relay_packet *packet, uint64_t now_us)
{
    struct relay_flow key = relay_flow_from_caller(packet);
    uint32_t handle = remember(door, key, DOOR_OPENING, now_us);
    struct door_flow *flow = &door->flows[handle];
    enum frame_reason why = reason_against(door, frame);

    keep_frame(flow, frame);
    if (why == FRAME_REASON_BUSY) {
        note_best(door, &flow->frame);
    }
    if (why == FRAME_REASON_NONE) {
        offer_syn(door, handle, now_us);
    }
    else if (why != FRAME_REASON_BUSY || !frame->forced ||
             !hold(door, handle, now_us)) {
        pass_on(door, handle, why, now_us);
    }
}

/* Another copy of a SYN that is kept: its caller still waits. */
static void
hold_again(struct door *door, uint32_t handle, const struct frame_carry *frame,
           uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    struct frame_status status = {
        .type = FRAME_HELD,
        .flow = flow_index_flow(&door->table, handle),
    };

    flow->origin = frame->origin;
    note_patience(flow, frame, now_us);
    tell(door, flow->origin, &status, now_us);
}

/* Another copy of a SYN that was seen here. */
static void
open_again(struct door *door, uint32_t handle, const struct frame_carry *frame,
           const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow_index_touch(&door->table, handle, now_us);
    if (flow->start != door->start ||
        frame->service != door->endpoint.service) {
        /* The endpoint that it was given to is no more. */
        forget(door, handle);
        open_flow(door, frame, packet, now_us);
        return;
    }
    switch (flow->state) {
    case DOOR_OPENING:
    case DOOR_HERE:
        /* The endpoint answers again, with the same number. */
        flow->origin = frame->origin;
        door->out->ops->to_endpoint(door->out, packet->bytes, packet->size);
        if (flow->state == DOOR_HERE) {
            tell_placed(door, handle, now_us);
        }
        return;
    case DOOR_HELD:
        hold_again(door, handle, frame, now_us);
        return;
    default:
        /* It was sent on, maybe to nobody: look at it anew. */
        forget(door, handle);
        open_flow(door, frame, packet, now_us);
    }
}

/* Sends a packet of a flow along the agents that its frame names. */
static void
carry_on(struct door *door, const struct frame_carry *frame, struct addr agent)
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

/* Offers a packet of an unknown flow to the endpoint, which may hold it from
 * before this agent's start. */
static void
ask_endpoint(struct door *door, const struct frame_carry *frame,
             const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle =
        remember(door, relay_flow_from_caller(packet), DOOR_ASKED, now_us);
    struct door_flow *flow = &door->flows[handle];

    flow->frame = *frame;
    flow->frame.bytes = NULL;
    flow->origin = frame->origin;
    flow->service = frame->service;
    if (frame->service != door->endpoint.service ||
        door->endpoint.state == ENDPOINT_GONE) {
        flow->frame.bytes = packet->bytes;
        flow->frame.size = packet->size;
        pass_on(door, handle, FRAME_REASON_REFUSED, now_us);
        return;
    }
    door->out->ops->to_endpoint(door->out, packet->bytes, packet->size);
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

    flow->frame = *frame;
    flow->frame.bytes = packet->bytes;
    flow->frame.size = packet->size;
    flow->frame.best.ip = 0;
    flow->origin = frame->origin;
    pass_on(door, handle, FRAME_REASON_REFUSED, now_us);
}

/* The flow was open at this endpoint, and the endpoint is another one now or
 * has ended: its caller learns it at once instead of by its timeout. */
static void
reset_flow(struct door *door, uint32_t handle, uint32_t seq)
{
    struct relay_flow key = flow_index_flow(&door->table, handle);

    decided(door, DOOR_DID_RESET, handle, FRAME_REASON_LEAVING);
    door->out->ops->reset(door->out, key, seq);
    clear_busy(door, handle);
}

static void
deliver(struct door *door, uint32_t handle, const struct frame_carry *frame,
        const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];
    uint32_t end = packet->seq + packet->len;
    bool search = frame->next_count > 0;

    if (flow->proven && door->endpoint.state == ENDPOINT_GONE) {
        reset_flow(door, handle, packet->ack);
        return;
    }
    if (!flow->confirmed && flow->accepted_us != 0) {
        pace_trip(&door->pace, now_us - flow->accepted_us);
    }
    flow->confirmed = true;
    if (packet->len > 0 && (int32_t)(end - flow->caller_seq) > 0) {
        flow->caller_seq = end;
        set_busy(door, handle, now_us);
        flow->asked_us = now_us;
        flow->depth = door->busy_count;
    }
    door->out->ops->to_endpoint(door->out, packet->bytes, packet->size);
    if (search || !addr_equal(flow->origin, frame->origin)) {
        flow->origin = frame->origin;
        tell_placed(door, handle, now_us);
    }
}

/* Where a packet of a flow that went on goes: to the agent it went to, unless
 * the packet is on a search that doesn't name that agent any more. */
static struct addr
where_next(const struct door_flow *flow, const struct frame_carry *frame)
{
    for (unsigned i = 0; i < frame->next_count; i++) {
        if (addr_equal(frame->next[i], flow->target)) {
            return flow->target;
        }
    }
    return frame->next_count > 0 ? frame->next[0] : flow->target;
}

static void
carry_known(struct door *door, uint32_t handle,
            const struct frame_carry *frame, const struct relay_packet *packet,
            uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow_index_touch(&door->table, handle, now_us);
    switch (flow->state) {
    case DOOR_ELSEWHERE:
        if (frame->hops < HOPS_MAX) {
            carry_on(door, frame, where_next(flow, frame));
        }
        else {
            drop(door, DOOR_DROP_NOBODY);
        }
        return;
    case DOOR_ASKED:
    case DOOR_HELD:
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

/* The endpoint doesn't take a packet of the flow. */
static void
on_bounced(struct door *door, const struct relay_packet *packet,
           uint64_t now_us)
{
    uint32_t handle =
        flow_index_find(&door->table, relay_flow_from_caller(packet));
    struct door_flow *flow;

    if (handle == FLOW_INDEX_NONE) {
        drop(door, DOOR_DROP_NOBODY);
        return;
    }
    flow = &door->flows[handle];
    if (flow->state == DOOR_HELD ||
        (flow->state == DOOR_OPENING && !relay_packet_opens(packet))) {
        /* It belongs to another endpoint's answer; the handshake here goes
         * on, and the caller sends it again. */
        drop(door, DOOR_DROP_NOBODY);
        return;
    }
    if (flow->state == DOOR_ELSEWHERE) {
        carry_on(door,
                 &(struct frame_carry){
                     .service = flow->service,
                     .origin = flow->origin,
                     .hops = flow->frame.hops,
                     .bytes = packet->bytes,
                     .size = packet->size,
                 },
                 flow->target);
        return;
    }
    if (flow->state == DOOR_HERE && flow->proven) {
        /* An endpoint answers packets of flows that have ended there; one
         * that bounces them has started anew since. */
        reset_flow(door, handle, packet->ack);
        return;
    }
    if (flow->state == DOOR_HERE) {
        /* It was opened elsewhere: the balancer looks for it. */
        flow->frame.next_count = 0;
        flow->frame.best.ip = 0;
    }
    if (relay_packet_opens(packet)) {
        if (endpoint_refused(&door->endpoint, door->busy_count)) {
            tell_state(door, now_us);
        }
    }
    else {
        flow->frame.bytes = packet->bytes;
        flow->frame.size = packet->size;
    }
    pass_on(door, handle, FRAME_REASON_REFUSED, now_us);
}

static void
on_accepted(struct door *door, uint32_t handle,
            const struct relay_packet *packet, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    flow->state = DOOR_HERE;
    flow->seq = packet->seq;
    flow->accepted_us = now_us;
    tell_placed(door, handle, now_us);
    decided(door, DOOR_DID_PLACE, handle, FRAME_REASON_NONE);
}

/* The endpoint answers the flow's request. */
static void
note_done(struct door *door, uint32_t handle, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[handle];

    if (flow->asked_us != 0) {
        pace_answer(&door->pace, now_us - flow->asked_us, flow->depth,
                    door->endpoint.slots);
        flow->asked_us = 0;
    }
    clear_busy(door, handle);
}

/* A flow from before this agent's start. The answer to a SYN doesn't prove
 * that the flow is open here: its caller may have taken another one. */
static void
note_earlier(struct door *door, struct relay_flow key,
             const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle = remember(door, key, DOOR_HERE, now_us);

    if (relay_packet_accepts(packet)) {
        door->flows[handle].seq = packet->seq;
        return;
    }
    door->flows[handle].proven = true;
    note_served(door, key.service);
}

/* Whether the packet may go to its caller. */
static bool
note_answer(struct door *door, const struct relay_packet *packet,
            uint64_t now_us)
{
    struct relay_flow key = relay_flow_from_endpoint(packet);
    uint32_t handle = flow_index_find(&door->table, key);
    struct door_flow *flow;

    if (handle == FLOW_INDEX_NONE) {
        note_earlier(door, key, packet, now_us);
        return true;
    }
    flow = &door->flows[handle];
    flow_index_touch(&door->table, handle, now_us);
    if (relay_packet_accepts(packet)) {
        if (flow->state == DOOR_ELSEWHERE) {
            drop(door, DOOR_DROP_LATE);
            return false;
        }
        if (flow->state == DOOR_OPENING) {
            on_accepted(door, handle, packet, now_us);
        }
        return true;
    }
    flow->proven = flow->confirmed || flow->state == DOOR_ASKED;
    if (flow->state != DOOR_HERE) {
        if (flow->state == DOOR_ASKED) {
            note_served(door, key.service);
        }
        flow->state = DOOR_HERE;
        tell_placed(door, handle, now_us);
    }
    if (packet->len > 0 || (packet->flags & (RELAY_FIN | RELAY_RST)) != 0) {
        note_done(door, handle, now_us);
    }
    return true;
}

static void
wait_over(struct door *door, const struct door_wait *wait, uint64_t now_us)
{
    struct door_flow *flow = &door->flows[wait->handle];

    if (flow->state != DOOR_OPENING || flow->tried_us != wait->tried_us) {
        return;
    }
    if (endpoint_silent(&door->endpoint)) {
        tell_state(door, now_us);
    }
    flow->frame.best.ip = 0;
    pass_on(door, wait->handle, FRAME_REASON_SILENT, now_us);
}

/* Whether a held SYN goes before another: first those whose requests can
 * still be answered in time, then the urgent, then the earlier. */
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
    return a->late_us < b->late_us;
}

/* Held SYN to admit next; @in_time: whether it can still be in time. */
static uint32_t
held_next(const struct door *door, uint64_t now_us, bool *in_time)
{
    uint64_t answer_us = now_us + pace_expect(&door->pace, door->busy_count,
                                              door->endpoint.slots);
    uint32_t best = door->held[0];

    for (unsigned i = 1; i < door->held_count; i++) {
        if (goes_before(&door->flows[door->held[i]], &door->flows[best],
                        answer_us)) {
            best = door->held[i];
        }
    }
    *in_time = answer_us <= door->flows[best].late_us;
    return best;
}

/* Ends the wait of a held SYN whose caller has given up. */
static void
let_expire(struct door *door, uint32_t handle)
{
    decided(door, DOOR_DID_EXPIRE, handle, FRAME_REASON_BUSY);
    forget(door, handle);
    drop(door, DOOR_DROP_EXPIRED);
}

/* Held SYNs go elsewhere: the endpoint takes nothing new any more. */
static void
pass_held_on(struct door *door, uint64_t now_us)
{
    while (door->held_count > 0) {
        uint32_t handle = door->held[0];

        unhold(door, handle);
        door->flows[handle].frame.best.ip = 0;
        pass_on(door, handle, FRAME_REASON_LEAVING, now_us);
    }
}

/* Gives held SYNs to the endpoint while it has room. */
static void
admit_held(struct door *door, uint64_t now_us)
{
    if (door->closed || !endpoint_open(&door->endpoint)) {
        pass_held_on(door, now_us);
        return;
    }
    while (door->held_count > 0 && has_room(door, true)) {
        bool in_time;
        uint32_t handle = held_next(door, now_us, &in_time);

        if (now_us >= door->flows[handle].give_up_us) {
            let_expire(door, handle);
            continue;
        }
        if (!has_room(door, in_time)) {
            return;
        }
        unhold(door, handle);
        decided(door, DOOR_DID_ADMIT, handle, FRAME_REASON_NONE);
        offer_syn(door, handle, now_us);
    }
}

static void
expire_held(struct door *door, uint64_t now_us)
{
    unsigned at = 0;

    while (at < door->held_count) {
        uint32_t handle = door->held[at];

        if (now_us >= door->flows[handle].give_up_us) {
            let_expire(door, handle);
        }
        else {
            at++;
        }
    }
}

static void
sweep(struct door *door, uint64_t now_us)
{
    unsigned at = 0;
    uint32_t oldest;

    while (at < door->busy_count) {
        uint32_t handle = door->busy[at];

        uint64_t most_us =
            door->flows[handle].confirmed ? BUSY_MAX_US : UNCONFIRMED_MAX_US;

        if (now_us - door->flows[handle].busy_us > most_us) {
            clear_busy(door, handle);
        }
        else {
            at++;
        }
    }
    expire_held(door, now_us);
    oldest = flow_index_oldest(&door->table);
    while (oldest != FLOW_INDEX_NONE &&
           now_us - flow_index_used_us(&door->table, oldest) > IDLE_US) {
        forget(door, oldest);
        oldest = flow_index_oldest(&door->table);
    }
    door->sweep_us = now_us + SWEEP_US;
}

static void
greet(struct door *door, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    for (unsigned i = 0; i < door->greeter_count; i++) {
        tell(door, door->greeters[i], &status, now_us);
    }
    door->greet_us = now_us + GREET_US;
}

int
door_init(struct door *door, struct door_out *out, struct addr self,
          const char *service)
{
    memset(door, 0, sizeof(*door));
    door->out = out;
    door->self = self;
    endpoint_init(&door->endpoint, service);
    pace_init(&door->pace);
    door->flows = calloc(DOOR_FLOWS_MAX, sizeof(*door->flows));
    door->busy = calloc(DOOR_FLOWS_MAX, sizeof(*door->busy));
    if (door->flows == NULL || door->busy == NULL ||
        flow_index_init(&door->table, DOOR_FLOWS_MAX) < 0) {
        door_finish(door);
        return -ENOMEM;
    }
    return 0;
}

void
door_greet(struct door *door, struct addr balancer)
{
    if (door->greeter_count < DOOR_GREETERS_MAX) {
        door->greeters[door->greeter_count++] = balancer;
    }
}

void
door_finish(struct door *door)
{
    flow_index_finish(&door->table);
    free(door->flows);
    free(door->busy);
}

void
door_carry(struct door *door, const struct frame_carry *frame,
           const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle =
        flow_index_find(&door->table, relay_flow_from_caller(packet));

    heard_from(door, frame->origin, frame->version, now_us);
    if (frame->hops > HOPS_MAX) {
        drop(door, DOOR_DROP_NOBODY);
        return;
    }
    if (relay_packet_opens(packet)) {
        if (handle == FLOW_INDEX_NONE) {
            open_flow(door, frame, packet, now_us);
        }
        else {
            open_again(door, handle, frame, packet, now_us);
        }
    }
    else if (handle == FLOW_INDEX_NONE) {
        ask_endpoint(door, frame, packet, now_us);
    }
    else {
        carry_known(door, handle, frame, packet, now_us);
    }
    admit_held(door, now_us);
}

void
door_ping(struct door *door, struct addr balancer,
          const struct frame_version *version, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    heard_from(door, balancer, version->version, now_us);
    tell(door, balancer, &status, now_us);
    if (version->version == 0) {
        tell_served(door, balancer);
    }
}

void
door_from_endpoint(struct door *door, const struct relay_packet *packet,
                   uint64_t now_us)
{
    if ((packet->flags & RELAY_BOUNCED) != 0) {
        on_bounced(door, packet, now_us);
        return;
    }
    if (endpoint_answered(&door->endpoint)) {
        tell_state(door, now_us);
    }
    if (note_answer(door, packet, now_us)) {
        door->out->ops->to_caller(door->out, packet->to, packet->bytes,
                                  packet->size);
    }
    admit_held(door, now_us);
}

void
door_heartbeat(struct door *door, const struct heartbeat *heartbeat,
               uint64_t now_us)
{
    bool other = door->endpoint.start_count > 0 &&
                 strcmp(door->endpoint.starts[0].id, heartbeat->id) != 0;

    if (!endpoint_heartbeat(&door->endpoint, heartbeat, now_us) && !other) {
        return;
    }
    if (other && strcmp(door->endpoint.starts[0].id, heartbeat->id) == 0) {
        /* What the endpoint did before its start is over. */
        door->start++;
        while (door->busy_count > 0) {
            clear_busy(door, door->busy[0]);
        }
    }
    tell_state(door, now_us);
}

void
door_left(struct door *door, const char *id, uint64_t now_us)
{
    if (endpoint_left(&door->endpoint, id)) {
        tell_state(door, now_us);
    }
}

void
door_close(struct door *door, uint64_t now_us)
{
    door->closed = true;
    tell_state(door, now_us);
}

void
door_tick(struct door *door, uint64_t now_us)
{
    while (door->wait_count > 0 &&
           door->waits[door->wait_first].due_us <= now_us) {
        struct door_wait wait = door->waits[door->wait_first];

        door->wait_first = (door->wait_first + 1) % DOOR_WAITS_MAX;
        door->wait_count--;
        wait_over(door, &wait, now_us);
    }
    if (now_us >= door->sweep_us) {
        sweep(door, now_us);
    }
    if (door->balancer_count == 0 && now_us >= door->greet_us) {
        greet(door, now_us);
    }
    admit_held(door, now_us);
}

uint64_t
door_next_us(const struct door *door)
{
    uint64_t next_us = door->sweep_us;

    if (door->wait_count > 0 &&
        door->waits[door->wait_first].due_us < next_us) {
        next_us = door->waits[door->wait_first].due_us;
    }
    return next_us;
}
