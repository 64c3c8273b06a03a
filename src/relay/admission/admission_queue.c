#include "relay/admission/admission_private.h"

#include <errno.h>

#include "base/clock.h"

/* Whether a queued SYN or request is admitted before another. Order: those
 * that can be in time, then priority. Of the late ones, the one that its
 * caller abandons first: as many are served in time, and an eighth fewer are
 * abandoned. Of the others, the one with most time left: the one that waited
 * longest would often miss its target by a little. */
static bool
is_admitted_before(const struct admission_flow *a,
                   const struct admission_flow *b, uint64_t answer_us)
{
    bool a_in_time = answer_us <= a->target_us;
    bool b_in_time = answer_us <= b->target_us;

    if (a_in_time != b_in_time) {
        return a_in_time;
    }
    if (a->frame.priority != b->frame.priority) {
        return a->frame.priority < b->frame.priority;
    }
    if (!a_in_time) {
        return a->abandon_us < b->abandon_us;
    }
    return a->target_us > b->target_us;
}

unsigned
admission_queue_in_time(const struct admission *admission, uint64_t now_us)
{
    uint64_t answer_us =
        now_us + latency_estimate(&admission->latency, admission->busy_count,
                                  admission->endpoint.slots);
    unsigned count = admission->engaged ? admission->scheduler.held_count : 0;

    for (unsigned i = 0; i < admission->queue_count; i++) {
        count += answer_us <= admission->flows[admission->queue[i]].target_us;
    }
    return count;
}

/* Picks the queued SYN or request to admit next; @in_time: whether it can
 * still be in time. */
static uint32_t
queue_next(const struct admission *admission, uint64_t now_us, bool *in_time)
{
    uint64_t answer_us =
        now_us + latency_estimate(&admission->latency, admission->busy_count,
                                  admission->endpoint.slots);
    uint32_t best = admission->queue[0];

    for (unsigned i = 1; i < admission->queue_count; i++) {
        if (is_admitted_before(&admission->flows[admission->queue[i]],
                               &admission->flows[best], answer_us)) {
            best = admission->queue[i];
        }
    }
    *in_time = answer_us <= admission->flows[best].target_us;
    return best;
}

/* Sets a queued SYN's response target and the end of its caller's timeout. */
static void
set_deadlines(struct admission_flow *flow, const struct frame_forward *frame,
              uint64_t now_us)
{
    flow->target_us = now_us + frame->target_ms * USEC_PER_MSEC;
    flow->abandon_us = now_us + frame->caller_timeout_ms * USEC_PER_MSEC;
}

static void
notify_queued(struct admission *admission, uint32_t handle, uint64_t now_us)
{
    struct frame_status status = {
        .type = FRAME_QUEUED,
        .flow = flow_index_flow(&admission->table, handle),
    };

    admission_notify(admission, admission->flows[handle].origin, &status,
                     now_us);
}

/* Sends the SYN to the endpoint at once; the request will be queued. */
static void
open_and_queue_request(struct admission *admission, uint32_t handle,
                       uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->queued = true;
    flow->target_us = now_us + flow->frame.target_ms * USEC_PER_MSEC;
    flow->abandon_us = now_us + flow->frame.request_timeout_ms * USEC_PER_MSEC;
    admission_decided(admission, ADMISSION_DECISION_QUEUE, handle,
                      FRAME_REASON_BUSY);
    admission_deliver_syn(admission, handle, now_us);
}

static void
queue_syn(struct admission *admission, uint32_t handle, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->state = ADMISSION_FLOW_QUEUED;
    set_deadlines(flow, &flow->frame, now_us);
    admission->queue[admission->queue_count++] = handle;
    notify_queued(admission, handle, now_us);
    admission_decided(admission, ADMISSION_DECISION_QUEUE, handle,
                      FRAME_REASON_BUSY);
}

/* Sends the SYN to the endpoint at once; the request will be scheduled. */
static void
open_and_schedule_request(struct admission *admission, uint32_t handle,
                          uint64_t now_us)
{
    admission_decided(admission, ADMISSION_DECISION_QUEUE, handle,
                      FRAME_REASON_BUSY);
    admission_deliver_syn(admission, handle, now_us);
}

bool
admission_queue_flow(struct admission *admission, uint32_t handle,
                     uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    if (admission->queue_count == ADMISSION_QUEUE_MAX) {
        return false;
    }
    if (admission->engaged &&
        slow_start_allows(&admission->slow_start, now_us)) {
        open_and_schedule_request(admission, handle, now_us);
    }
    else if (flow->frame.request_timeout_ms > 0 &&
             slow_start_allows(&admission->slow_start, now_us)) {
        open_and_queue_request(admission, handle, now_us);
    }
    else {
        queue_syn(admission, handle, now_us);
    }
    return true;
}

void
admission_queue_refresh(struct admission *admission, uint32_t handle,
                        const struct frame_forward *frame, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    flow->origin = frame->origin;
    set_deadlines(flow, frame, now_us);
    notify_queued(admission, handle, now_us);
}

/* Drops a queued SYN or request that its caller abandoned. */
static void
expire_queued(struct admission *admission, uint32_t handle)
{
    admission_decided(admission, ADMISSION_DECISION_EXPIRE, handle,
                      FRAME_REASON_BUSY);
    if (admission->flows[handle].state == ADMISSION_FLOW_QUEUED) {
        admission_flow_remove(admission, handle);
    }
    else {
        admission_flow_dequeue(admission, handle);
    }
    admission_drop(admission, ADMISSION_DROP_EXPIRED);
}

/* Gives a queued request to the endpoint. */
static void
admit_request(struct admission *admission, uint32_t handle, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    const struct pool_packet *packet;

    admission_queue_remove(admission, handle);
    flow->queued = false;
    admission_decided(admission, ADMISSION_DECISION_ADMIT, handle,
                      FRAME_REASON_NONE);
    admission_begin_request(admission, handle, now_us);
    admission_expect_reply(admission, now_us);
    while ((packet = packet_pool_take(&admission->packet_pool,
                                      &flow->packets)) != NULL) {
        admission->out->ops->to_endpoint(admission->out, packet->bytes,
                                         packet->size);
    }
}

bool
admission_queue_request(struct admission *admission, uint32_t handle,
                        const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    bool first = flow->packets == PACKET_POOL_NONE;
    bool full = admission->queue_count == ADMISSION_QUEUE_MAX;

    if (first && (full || now_us >= flow->abandon_us)) {
        /* The queue is full, or the request came so late after its SYN that
         * its deadlines are unknown. */
        flow->queued = false;
        admission_begin_request(admission, handle, now_us);
        return false;
    }
    if (packet_pool_append(&admission->packet_pool, &flow->packets, packet) ==
        -ENOSPC) {
        admit_request(admission, handle, now_us);
        return false;
    }
    if (first) {
        admission->queue[admission->queue_count++] = handle;
    }
    return true;
}

/* Redirects queued SYNs when the endpoint takes no new flows. */
static void
redirect_queue(struct admission *admission, enum frame_reason why,
               uint64_t now_us)
{
    unsigned at = 0;

    while (at < admission->queue_count) {
        uint32_t handle = admission->queue[at];

        if (admission->flows[handle].state != ADMISSION_FLOW_QUEUED) {
            at++;
            continue;
        }
        admission_queue_remove(admission, handle);
        admission->flows[handle].frame.best.ip = 0;
        admission_redirect(admission, handle, why, now_us);
    }
}

/* Resets the flows of queued requests when the endpoint has ended. */
static void
reset_queued(struct admission *admission)
{
    while (admission->queue_count > 0) {
        uint32_t handle = admission->queue[admission->queue_count - 1];
        uint32_t seq = admission->flows[handle].seq;

        admission_flow_dequeue(admission, handle);
        admission_reset_flow(admission, handle, seq,
                             admission_end_reason(admission));
        admission_flow_remove(admission, handle);
    }
}

/* Gives queued SYNs and requests to the endpoint while it has capacity. */
static void
admit_queued(struct admission *admission, uint64_t now_us)
{
    if (admission_is_evacuated(admission)) {
        redirect_queue(admission, FRAME_REASON_EVACUATED, now_us);
    }
    if (admission->closed || !endpoint_is_available(&admission->endpoint)) {
        redirect_queue(admission, FRAME_REASON_LEAVING, now_us);
    }
    if (admission->endpoint.down ||
        admission->endpoint.state == ENDPOINT_GONE) {
        reset_queued(admission);
    }
    while (admission->queue_count > 0 &&
           admission_has_capacity(admission, true, now_us)) {
        bool in_time;
        uint32_t handle = queue_next(admission, now_us, &in_time);

        if (now_us >= admission->flows[handle].abandon_us) {
            expire_queued(admission, handle);
            continue;
        }
        if (!admission_has_capacity(admission, in_time, now_us)) {
            return;
        }
        if (admission->flows[handle].queued) {
            admit_request(admission, handle, now_us);
            continue;
        }
        admission_queue_remove(admission, handle);
        admission_decided(admission, ADMISSION_DECISION_ADMIT, handle,
                          FRAME_REASON_NONE);
        admission_admit_syn(admission, handle, now_us);
    }
}

void
admission_queue_admit(struct admission *admission, uint64_t now_us)
{
    admit_queued(admission, now_us);
    admission->slow_start_due_us = UINT64_MAX;
    if (admission->queue_count > 0 &&
        !slow_start_allows(&admission->slow_start, now_us)) {
        admission->slow_start_due_us =
            slow_start_next_us(&admission->slow_start);
    }
}

void
admission_queue_expire(struct admission *admission, uint64_t now_us)
{
    unsigned at = 0;

    while (at < admission->queue_count) {
        uint32_t handle = admission->queue[at];

        if (now_us >= admission->flows[handle].abandon_us) {
            expire_queued(admission, handle);
        }
        else {
            at++;
        }
    }
}
