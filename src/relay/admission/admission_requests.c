#include "relay/admission/admission_private.h"

#include <errno.h>

#include <glib.h>

#include "base/clock.h"

/* Time budget of a request whose route doesn't set one. */
#define TIMEOUT_DEFAULT_US (2 * USEC_PER_SEC)

/* Whether @seq is after @than in a flow. */
static bool
is_after(uint32_t seq, uint32_t than)
{
    return (int32_t)(seq - than) > 0;
}

/* Sets the scheduler's view of the endpoint. */
static void
update_scheduler(struct admission *admission)
{
    scheduler_set_slots(&admission->scheduler, admission->endpoint.slots);
    admission->scheduler.service_us = admission->latency.service_us;
    admission->scheduler.rtt_us = admission->latency.rtt_us;
}

static void
report(struct admission *admission, uint32_t handle,
       enum admission_scheduled_event event, enum scheduler_reason reason,
       uint64_t now_us)
{
    const struct admission_flow *flow = &admission->flows[handle];
    struct admission_scheduled scheduled = {
        .event = event,
        .reason = reason,
        .priority = flow->priority,
        .wait_us = flow->held ? now_us - flow->held_us : 0,
        .left_us = flow->target_us > now_us ? flow->target_us - now_us : 0,
    };

    admission->out->ops->scheduled(admission->out,
                                   flow_index_flow(&admission->table, handle),
                                   &scheduled);
}

/* Deadlines of a flow's request whose first packet came with @frame. The time
 * budget of a new flow's first request includes its handshake. */
static struct scheduler_request
make_request(const struct admission_flow *flow, uint32_t handle,
             const struct frame_forward *frame, uint64_t now_us)
{
    const struct frame_forward *of = frame;
    uint64_t since_us = now_us;
    uint64_t timeout_us;

    if (!flow->answered && !flow->from_lookup && flow->syn_sent_us != 0 &&
        now_us < flow->syn_sent_us +
                     flow->frame.request_timeout_ms * USEC_PER_MSEC) {
        of = &flow->frame;
        since_us = flow->syn_sent_us;
    }
    timeout_us = of->request_timeout_ms > 0
                     ? of->request_timeout_ms * USEC_PER_MSEC
                     : TIMEOUT_DEFAULT_US;
    return (struct scheduler_request){
        .handle = handle,
        .priority = of->priority,
        .target_us = since_us + of->target_ms * USEC_PER_MSEC,
        .abandon_us = since_us + timeout_us,
    };
}

/* Records that the endpoint gets the flow's request now. */
static void
record_given(struct admission *admission, uint32_t handle,
             enum scheduler_reason reason, uint64_t now_us)
{
    report(admission, handle, ADMISSION_SCHEDULED_GIVEN, reason, now_us);
    admission_begin_request(admission, handle, now_us);
    admission->flows[handle].depth = admission->scheduler.running_count;
}

/* Sends the packets of a held request to the endpoint. */
static void
send_held(struct admission *admission, uint32_t handle,
          enum scheduler_reason reason, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    const struct pool_packet *packet;

    record_given(admission, handle, reason, now_us);
    flow->held = false;
    admission_expect_reply(admission, now_us);
    while ((packet = packet_pool_take(&admission->packet_pool,
                                      &flow->packets)) != NULL) {
        admission->out->ops->to_endpoint(admission->out, packet->bytes,
                                         packet->size);
    }
}

/* Begins the flow's request; false if it is held. */
static bool
begin_request(struct admission *admission, uint32_t handle,
              const struct frame_forward *frame, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    struct scheduler_request request =
        make_request(flow, handle, frame, now_us);
    enum scheduler_reason reason;

    update_scheduler(admission);
    flow->priority = request.priority;
    flow->target_us = request.target_us;
    flow->abandon_us = request.abandon_us;
    if (scheduler_begin(&admission->scheduler, &request, now_us, &reason)) {
        record_given(admission, handle, reason, now_us);
        return true;
    }
    if (admission_is_hanging(admission) &&
        scheduler_give(&admission->scheduler, handle, now_us)) {
        /* Behind stuck requests it would wait until it is late. */
        record_given(admission, handle, SCHEDULER_LATE, now_us);
        return true;
    }
    flow->held = true;
    flow->held_us = now_us;
    report(admission, handle, ADMISSION_SCHEDULED_HELD, SCHEDULER_ROOM,
           now_us);
    /* The slot that its SYN was given for is free for another request. */
    admission_flow_set_idle(admission, handle);
    return false;
}

/* Keeps a packet of a held request; false if it must go to the endpoint. */
static bool
keep_packet(struct admission *admission, uint32_t handle,
            const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];

    if (packet->len == 0 && (packet->flags & RELAY_FIN) == 0) {
        return false;
    }
    if (packet_pool_append(&admission->packet_pool, &flow->packets, packet) !=
        -ENOSPC) {
        return true;
    }
    (void)scheduler_give(&admission->scheduler, handle, now_us);
    send_held(admission, handle, SCHEDULER_FULL, now_us);
    return false;
}

/* Tracks the end of the caller's data; whether the packet has new data. */
static bool
track_data(struct admission_flow *flow, const struct relay_packet *packet)
{
    uint32_t end = packet->seq + packet->len;

    if (packet->len == 0 ||
        (flow->data_known && !is_after(end, flow->data_end))) {
        return false;
    }
    flow->data_known = true;
    flow->data_end = end;
    return true;
}

/* Whether the flow's request waits in the queue of admission_queue. */
static bool
is_queued(struct admission_flow *flow)
{
    if (flow->packets == PACKET_POOL_NONE) {
        flow->queued = false;
    }
    return flow->queued;
}

enum admission_path
admission_handle_request(struct admission *admission, uint32_t handle,
                         const struct frame_forward *frame,
                         const struct relay_packet *packet, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[handle];
    bool is_new;

    if (!admission->scheduling) {
        return ADMISSION_PATH_UNSCHEDULED;
    }
    is_new = track_data(flow, packet);
    admission->engaged = admission->engaged || (is_new && flow->answered);
    if (is_new && !flow->held && flow->request_start_us == 0) {
        flow->request_seq = packet->seq;
        flow->request_ack = packet->ack;
    }
    if (!admission->engaged || is_queued(flow)) {
        return ADMISSION_PATH_UNSCHEDULED;
    }
    if ((packet->flags & RELAY_RST) != 0) {
        admission_forget_request(admission, handle);
        admission_flow_set_idle(admission, handle);
        return ADMISSION_PATH_SEND;
    }
    if (!flow->held && (!is_new || flow->request_start_us != 0 ||
                        begin_request(admission, handle, frame, now_us))) {
        return ADMISSION_PATH_SEND;
    }
    return keep_packet(admission, handle, packet, now_us)
               ? ADMISSION_PATH_KEPT
               : ADMISSION_PATH_SEND;
}

/* Whether the endpoint's packet has data that it hasn't sent before. */
static bool
track_answer(struct admission_flow *flow, const struct relay_packet *packet)
{
    uint32_t end = packet->seq + packet->len;

    if (packet->len == 0 ||
        (flow->answered && !is_after(end, flow->seq_end))) {
        return false;
    }
    flow->answered = true;
    flow->seq_end = end;
    return true;
}

/* Whether the endpoint has received data up to @seq. */
static bool
has_received(const struct relay_packet *packet, uint32_t seq)
{
    return (packet->flags & RELAY_ACK) != 0 && !is_after(seq, packet->ack);
}

/* Whether a packet of a flow with a request at the endpoint ends it. */
static bool
ends_request(const struct admission_flow *flow,
             const struct relay_packet *packet, bool is_new)
{
    return (packet->flags & RELAY_RST) != 0 ||
           (has_received(packet, flow->request_seq + 1) &&
            (packet->len == 0 || is_new));
}

bool
admission_handle_answer(struct admission *admission, uint32_t handle,
                        const struct relay_packet *packet, uint64_t now_us,
                        enum scheduler_end *end)
{
    struct admission_flow *flow = &admission->flows[handle];
    bool resets = (packet->flags & RELAY_RST) != 0;
    bool is_new = track_answer(flow, packet);

    *end = resets ? SCHEDULER_CUT : SCHEDULER_ANSWERED;
    if (!admission->engaged) {
        return true;
    }
    if (flow->held) {
        if (resets || has_received(packet, flow->data_end)) {
            /* Or the endpoint had it from before this agent's start. */
            admission_forget_request(admission, handle);
        }
        return false;
    }
    if (flow->request_start_us == 0) {
        return true;
    }
    if (!ends_request(flow, packet, is_new)) {
        return false;
    }
    update_scheduler(admission);
    *end = scheduler_end(&admission->scheduler, handle,
                         resets || packet->len == 0, now_us);
    reject_rate_record(&admission->reject_rate, *end == SCHEDULER_REJECTED,
                       now_us);
    if (*end == SCHEDULER_REJECTED) {
        report(admission, handle, ADMISSION_SCHEDULED_REJECTED, SCHEDULER_ROOM,
               now_us);
    }
    return true;
}

/* Gives all held requests to the endpoint. */
static void
give_held(struct admission *admission, uint64_t now_us)
{
    struct scheduler *scheduler = &admission->scheduler;

    while (scheduler->held_count > 0) {
        uint32_t handle = scheduler->held[0].request.handle;

        (void)scheduler_give(scheduler, handle, now_us);
        send_held(admission, handle, SCHEDULER_FULL, now_us);
    }
}

void
admission_set_scheduling(struct admission *admission, bool scheduling,
                         uint64_t now_us)
{
    admission->scheduling = scheduling;
    if (scheduling || !admission->engaged) {
        return;
    }
    give_held(admission, now_us);
    scheduler_restart(&admission->scheduler);
    admission->engaged = false;
}

/* Resets the flows of held requests when the endpoint has ended. */
static void
reset_held(struct admission *admission)
{
    while (admission->scheduler.held_count > 0) {
        uint32_t handle = admission->scheduler.held[0].request.handle;

        admission_reset_flow(admission, handle,
                             admission->flows[handle].request_ack,
                             admission_end_reason(admission));
        admission_flow_remove(admission, handle);
    }
}

void
admission_schedule(struct admission *admission, uint64_t now_us)
{
    enum scheduler_reason reason;
    uint32_t handle;

    if (!admission->engaged) {
        return;
    }
    if (admission->endpoint.down ||
        admission->endpoint.state == ENDPOINT_GONE) {
        reset_held(admission);
    }
    update_scheduler(admission);
    while ((handle = scheduler_next(&admission->scheduler, now_us, &reason)) !=
           SCHEDULER_NONE) {
        send_held(admission, handle, reason, now_us);
    }
}

uint64_t
admission_schedule_us(const struct admission *admission)
{
    return admission->engaged ? scheduler_next_us(&admission->scheduler)
                              : UINT64_MAX;
}
