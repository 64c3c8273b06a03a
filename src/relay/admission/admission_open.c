#include "relay/admission/admission_private.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

#define LOAD_UNIT 16

/* Requests that an endpoint is given beyond its slots: one for each of two
 * slots that may become free at once. */
#define EXTRA_REQUESTS 2

void
admission_deliver_syn(struct admission *admission, uint32_t handle,
                      uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->state = ADMISSION_FLOW_OPENING;
    flow->incarnation = admission->incarnation;
    flow->syn_sent_us = now_us;
    admission_syn_timer_add(admission, handle, now_us);
    admission_expect_reply(admission, now_us);
    slow_start_record(&admission->slow_start, now_us);
    admission->out->ops->to_endpoint(admission->out, flow->frame.bytes,
                                     flow->frame.size);
}

void
admission_admit_syn(struct admission *admission, uint32_t handle,
                    uint64_t now_us)
{
    admission_flow_set_busy(admission, handle, now_us);
    admission_deliver_syn(admission, handle, now_us);
}

/* Limit of open flows with a request: the slots, and more while the callers'
 * requests are on their way, so that slots don't idle for a round trip. With
 * callers 15 ms away and requests of 15 ms they would idle half of the time.
 */
static unsigned
flow_limit(const struct admission *admission)
{
    return admission->endpoint.slots +
           latency_overcommit(&admission->latency, admission->endpoint.slots);
}

/* Requests in progress and held. */
static unsigned
load_count(const struct admission *admission)
{
    return admission->busy_count + admission->scheduler.held_count;
}

/* Requests that can still be in time get extra room. Late ones don't, as they
 * would take it from new requests. */
bool
admission_has_capacity(const struct admission *admission, bool in_time,
                       uint64_t now_us)
{
    return load_count(admission) <
               flow_limit(admission) + (in_time ? EXTRA_REQUESTS : 0) &&
           slow_start_allows(&admission->slow_start, now_us);
}

/* Whether the least busy agent of a SYN's way opens its flow now. While
 * requests are scheduled, half of the endpoint's queue counts as room: a new
 * flow passes that queue twice, for its handshake and for its request. */
static bool
has_forced_capacity(const struct admission *admission, bool in_time,
                    uint64_t now_us)
{
    unsigned slots = admission->endpoint.slots;

    if (admission_has_capacity(admission, in_time, now_us)) {
        return true;
    }
    return admission->engaged &&
           load_count(admission) <
               (slots + admission->scheduler.limit + 1) / 2 &&
           slow_start_allows(&admission->slow_start, now_us);
}

static void
forward_flow(struct admission *admission, uint32_t handle, struct addr agent)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->state = ADMISSION_FLOW_REMOTE;
    flow->target = agent;
    flow->frame.hops++;
    admission_flow_set_idle(admission, handle);
    admission->out->ops->forward(admission->out, agent, &flow->frame);
    /* The bytes may belong to a packet that isn't valid after this call. */
    flow->frame.bytes = NULL;
}

static struct addr
pop_next_agent(struct frame_forward *frame)
{
    struct addr next = frame->next[0];

    frame->next_count--;
    memmove(&frame->next[0], &frame->next[1],
            frame->next_count * sizeof(frame->next[0]));
    return next;
}

/* Requests per slot in units of 1/LOAD_UNIT, to find the least busy of several
 * agents. Queued ones count if they can still be in time, as late ones are
 * served after new ones. An endpoint that hangs or is at its slow-start limit
 * ranks last. */
static unsigned
relative_load(const struct admission *admission, uint64_t now_us)
{
    if (!slow_start_allows(&admission->slow_start, now_us) ||
        admission_is_hanging(admission)) {
        return UINT16_MAX;
    }
    return (admission->busy_count +
            admission_queue_in_time(admission, now_us)) *
           LOAD_UNIT / admission->endpoint.slots;
}

/* Whether a new flow would open at a full endpoint only to be rejected: its
 * request is of the lowest priority, so that none is held for it. An urgent
 * one isn't refused before any lower priority is known. A cold endpoint has
 * room again when its slow start allows the next request. */
static bool
is_refused(const struct admission *admission,
           const struct admission_flow *flow, uint64_t now_us)
{
    return admission->engaged &&
           slow_start_allows(&admission->slow_start, now_us) &&
           flow->frame.priority > 0 &&
           flow->frame.priority >= scheduler_lowest(&admission->scheduler);
}

/* Gives a flow to the least busy agent when all are busy. */
static bool
redirect_to_best(struct admission *admission, uint32_t handle, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    if (flow->frame.best.ip == 0 || flow->frame.forced) {
        return false;
    }
    flow->frame.forced = true;
    if (!addr_equal(flow->frame.best, admission->self)) {
        forward_flow(admission, handle, flow->frame.best);
        return true;
    }
    if (has_forced_capacity(admission, flow->frame.target_ms > 0, now_us)) {
        admission_admit_syn(admission, handle, now_us);
        return true;
    }
    return !is_refused(admission, flow, now_us) &&
           admission_queue_flow(admission, handle, now_us);
}

/* Whether a flow is refused that no endpoint on its SYN's way holds. Only its
 * balancer may reset it, as it knows whether the SYN took other ways. */
static bool
is_full_everywhere(const struct admission *admission,
                   const struct admission_flow *flow, uint64_t now_us)
{
    return flow->state == ADMISSION_FLOW_OPENING && !flow->from_lookup &&
           !flow->maybe_local && !flow->frame.given &&
           is_refused(admission, flow, now_us);
}

void
admission_redirect(struct admission *admission, uint32_t handle,
                   enum frame_reason why, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    struct relay_flow key = flow_index_flow(&admission->table, handle);
    struct addr origin = flow->origin;
    struct frame_forward frame = flow->frame;
    struct addr target = {0};
    bool is_lookup = flow->from_lookup;

    admission_flow_set_idle(admission, handle);
    admission_flow_dequeue(admission, handle);
    if (flow->frame.next_count > 0 && frame.hops < ADMISSION_HOPS_MAX) {
        target = pop_next_agent(&flow->frame);
        forward_flow(admission, handle, target);
    }
    else if (redirect_to_best(admission, handle, now_us)) {
        target = flow->frame.best;
    }
    else {
        if (why == FRAME_REASON_BUSY &&
            is_full_everywhere(admission, flow, now_us)) {
            why = FRAME_REASON_FULL;
            admission_decided(admission, ADMISSION_DECISION_REFUSE, handle,
                              why);
        }
        if (flow->accepted_elsewhere || flow->rejected || flow->maybe_local) {
            admission_flow_set_remote(admission, handle);
        }
        else {
            admission_flow_remove(admission, handle);
        }
        admission_drop(admission, ADMISSION_DROP_NO_AGENT);
    }
    if (!is_lookup || target.ip == 0) {
        /* Of a lookup, only the end is reported. */
        admission_notify_redirected(admission, key, origin, why, target,
                                    now_us);
    }
    admission->out->ops->decided(admission->out,
                                 target.ip != 0 ? ADMISSION_DECISION_REDIRECT
                                                : ADMISSION_DECISION_ABANDON,
                                 key, why, &frame);
}

/* Reason not to give a SYN to the endpoint, or FRAME_REASON_NONE. */
static enum frame_reason
refusal_reason(const struct admission *admission,
               const struct frame_forward *frame, uint64_t now_us)
{
    if (frame->service != admission->endpoint.service) {
        return FRAME_REASON_WRONG_SERVICE;
    }
    if (admission_is_evacuated(admission)) {
        return FRAME_REASON_EVACUATED;
    }
    if (admission->endpoint.state == ENDPOINT_SILENT) {
        return FRAME_REASON_SILENT;
    }
    if (admission->closed || !endpoint_is_available(&admission->endpoint)) {
        return FRAME_REASON_LEAVING;
    }
    if (frame->next_count > 0 && !frame->forced &&
        outcome_is_failing(&admission->outcome, now_us)) {
        return FRAME_REASON_FAILING;
    }
    if (!slow_start_allows(&admission->slow_start, now_us)) {
        return FRAME_REASON_BUSY;
    }
    if (frame->next_count > 0 && !frame->forced &&
        admission_is_hanging(admission) &&
        !admission_takes_trial(admission, now_us)) {
        return FRAME_REASON_BUSY;
    }
    if (load_count(admission) >= flow_limit(admission) &&
        !(frame->forced &&
          has_forced_capacity(admission, frame->target_ms > 0, now_us))) {
        return FRAME_REASON_BUSY;
    }
    return FRAME_REASON_NONE;
}

static void
store_frame(struct admission_flow *flow, const struct frame_forward *frame)
{
    flow->frame = *frame;
    flow->origin = frame->origin;
    flow->service = frame->service;
    if (frame->size <= ADMISSION_SYN_MAX) {
        memcpy(flow->syn, frame->bytes, frame->size);
        flow->frame.bytes = flow->syn;
    }
    else {
        /* Too large to store, so it can't be forwarded later. */
        flow->frame.next_count = 0;
    }
}

static void
update_best_agent(struct admission *admission, struct frame_forward *frame,
                  uint64_t now_us)
{
    unsigned load = relative_load(admission, now_us);

    if (frame->best.ip == 0 || load < frame->best_load) {
        frame->best = admission->self;
        frame->best_load = (uint16_t)MIN(load, UINT16_MAX);
    }
}

static void
open_flow(struct admission *admission, const struct frame_forward *frame,
          const struct relay_packet *packet, bool maybe_local, uint64_t now_us)
{
    struct relay_flow key = relay_flow_from_caller(packet);
    uint32_t handle =
        admission_flow_add(admission, key, ADMISSION_FLOW_OPENING, now_us);
    struct admission_flow *flow = &admission->flows[handle];
    enum frame_reason why;

    if (frame->view.version != 0) {
        /* A balancer without a configuration doesn't have the limit. */
        slow_start_limit(&admission->slow_start, frame->slow_start_limit);
    }
    if (frame->service == admission->endpoint.service) {
        scheduler_see_priority(&admission->scheduler, frame->priority, now_us);
    }
    why = refusal_reason(admission, frame, now_us);
    store_frame(flow, frame);
    flow->maybe_local = maybe_local;
    if (why == FRAME_REASON_BUSY) {
        update_best_agent(admission, &flow->frame, now_us);
    }
    if (why == FRAME_REASON_NONE) {
        admission->capacity.used_us = now_us;
        admission_admit_syn(admission, handle, now_us);
    }
    else if (why != FRAME_REASON_BUSY || !frame->forced ||
             is_refused(admission, flow, now_us) ||
             !admission_queue_flow(admission, handle, now_us)) {
        admission_redirect(admission, handle, why, now_us);
    }
}

void
admission_open_flow(struct admission *admission,
                    const struct frame_forward *frame,
                    const struct relay_packet *packet, uint64_t now_us)
{
    open_flow(admission, frame, packet, false, now_us);
}

/* Handles a SYN again after the endpoint restarted. */
static void
reopen_flow(struct admission *admission, uint32_t handle,
            const struct frame_forward *frame,
            const struct relay_packet *packet, uint64_t now_us)
{
    bool was_established =
        admission->flows[handle].state == ADMISSION_FLOW_ESTABLISHED;

    admission_flow_remove(admission, handle);
    open_flow(admission, frame, packet, was_established, now_us);
}

/* Whether the endpoint may get no SYN that it hasn't answered before. */
static bool
takes_no_new_flows(const struct admission *admission)
{
    return admission->closed || admission_is_evacuated(admission) ||
           !endpoint_is_available(&admission->endpoint);
}

void
admission_handle_duplicate_syn(struct admission *admission, uint32_t handle,
                               const struct frame_forward *frame,
                               const struct relay_packet *packet,
                               uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow_index_touch(&admission->table, handle, now_us);
    if (flow->incarnation != admission->incarnation ||
        frame->service != admission->endpoint.service) {
        /* The endpoint that got the SYN has ended. */
        reopen_flow(admission, handle, frame, packet, now_us);
        return;
    }
    switch (flow->state) {
    case ADMISSION_FLOW_OPENING:
        if (takes_no_new_flows(admission)) {
            /* Only the SYN before it may still be answered. */
            flow->origin = frame->origin;
            admission_drop(admission, ADMISSION_DROP_NO_AGENT);
            return;
        }
        /* fallthrough */
    case ADMISSION_FLOW_ESTABLISHED:
        /* The endpoint repeats its SYN+ACK with the same sequence number. */
        flow->origin = frame->origin;
        admission->out->ops->to_endpoint(admission->out, packet->bytes,
                                         packet->size);
        if (flow->state == ADMISSION_FLOW_ESTABLISHED) {
            /* The port may be used again, at the next incarnation. */
            flow->endpoint_seen_us = now_us;
            admission_notify_established(admission, handle, now_us);
        }
        return;
    case ADMISSION_FLOW_QUEUED:
        admission_queue_refresh(admission, handle, frame, now_us);
        return;
    default:
        /* It was redirected, or no agent took it: decide again. */
        admission_flow_remove(admission, handle);
        admission_open_flow(admission, frame, packet, now_us);
    }
}
