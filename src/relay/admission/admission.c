#include "relay/admission/admission.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "relay/admission/admission_private.h"

/* A request counts as ended after this time without an answer, in case its
 * caller never sent it or the answer was lost. */
#define REQUEST_MAX_US (2 * USEC_PER_SEC)

/* Limit of the time between SYN and the caller's acknowledgement, some ten
 * round trips. After it, the caller is taken to have accepted another
 * endpoint's SYN+ACK. */
#define UNCONFIRMED_MAX_US (60 * USEC_PER_MSEC)

#define SWEEP_US (50 * USEC_PER_MSEC)

/* A sweep that is later by more than this shows a pause of the agent. */
#define PAUSE_MIN_US (10 * USEC_PER_MSEC)

/* After a longer one, heartbeats may be waiting to be read. */
#define LONG_PAUSE_US (100 * USEC_PER_MSEC)

/* Flows without packets for this time are removed. If the endpoint still holds
 * one, its next packet is offered there. */
#define IDLE_US (60 * USEC_PER_SEC)

static void
syn_timer_expired(struct admission *admission,
                  const struct admission_syn_timer *timer, uint64_t now_us)
{
    struct admission_flow *flow = &admission->flows[timer->handle];

    if (flow->state != ADMISSION_FLOW_OPENING ||
        flow->syn_sent_us != timer->syn_sent_us) {
        return;
    }
    if (endpoint_silent(&admission->endpoint)) {
        slow_start_restart(&admission->slow_start);
        admission_notify_state(admission, now_us);
    }
    flow->frame.best.ip = 0;
    flow->frame.given = true;
    admission_redirect(admission, timer->handle, FRAME_REASON_SILENT, now_us);
}

static void
sweep(struct admission *admission, uint64_t now_us)
{
    unsigned at = 0;
    uint32_t oldest;

    while (at < admission->busy_count) {
        uint32_t handle = admission->busy[at];

        uint64_t max_us = admission->flows[handle].confirmed
                              ? REQUEST_MAX_US
                              : UNCONFIRMED_MAX_US;

        if (now_us - admission->flows[handle].busy_us > max_us) {
            admission_flow_set_idle(admission, handle);
            admission_forget_request(admission, handle);
        }
        else {
            at++;
        }
    }
    admission_queue_expire(admission, now_us);
    admission_watch_capacity(admission, now_us);
    oldest = flow_index_oldest(&admission->table);
    while (oldest != FLOW_INDEX_NONE &&
           now_us - flow_index_used_us(&admission->table, oldest) > IDLE_US) {
        admission_flow_remove(admission, oldest);
        oldest = flow_index_oldest(&admission->table);
    }
    admission->sweep_us = now_us + SWEEP_US;
}

int
admission_init(struct admission *admission, struct admission_out *out,
               struct addr self, const char *data_centre, const char *service,
               uint64_t now_us)
{
    memset(admission, 0, sizeof(*admission));
    admission->out = out;
    admission->self = self;
    admission->data_centre = evacuations_key(data_centre);
    endpoint_init(&admission->endpoint, service, now_us);
    latency_init(&admission->latency);
    scheduler_init(&admission->scheduler, admission->endpoint.slots);
    slow_start_init(&admission->slow_start, now_us);
    admission->slow_start_due_us = UINT64_MAX;
    admission->quiet_since_us = now_us;
    admission->flows = calloc(ADMISSION_FLOWS_MAX, sizeof(*admission->flows));
    admission->busy = calloc(ADMISSION_FLOWS_MAX, sizeof(*admission->busy));
    if (admission->flows == NULL || admission->busy == NULL ||
        packet_pool_init(&admission->packet_pool) < 0 ||
        flow_index_init(&admission->table, ADMISSION_FLOWS_MAX) < 0) {
        admission_finish(admission);
        return -ENOMEM;
    }
    return 0;
}

void
admission_add_announce_target(struct admission *admission,
                              struct addr balancer)
{
    if (admission->announce_target_count < ADMISSION_ANNOUNCE_TARGETS_MAX) {
        admission->announce_targets[admission->announce_target_count++] =
            balancer;
    }
}

void
admission_finish(struct admission *admission)
{
    flow_index_finish(&admission->table);
    packet_pool_finish(&admission->packet_pool);
    free(admission->flows);
    free(admission->busy);
}

void
admission_note_pause(struct admission *admission, uint64_t now_us)
{
    if (admission->sweep_us == 0) {
        return;
    }
    if (now_us > admission->sweep_us + PAUSE_MIN_US) {
        scheduler_resumed(&admission->scheduler, now_us);
    }
    if (now_us > admission->sweep_us + LONG_PAUSE_US) {
        admission->quiet_since_us = now_us;
        endpoint_agent_paused(&admission->endpoint, admission->sweep_us,
                              now_us);
    }
}

static void
admit(struct admission *admission, uint64_t now_us)
{
    admission_queue_admit(admission, now_us);
    admission_schedule(admission, now_us);
}

void
admission_handle_forward(struct admission *admission,
                         const struct frame_forward *frame,
                         const struct relay_packet *packet, uint64_t now_us)
{
    uint32_t handle =
        flow_index_find(&admission->table, relay_flow_from_caller(packet));

    admission_note_balancer(admission, frame->origin, &frame->view, now_us);
    if (frame->hops > ADMISSION_HOPS_MAX) {
        admission_drop(admission, ADMISSION_DROP_NO_AGENT);
        return;
    }
    if (relay_packet_is_syn(packet)) {
        if (handle == FLOW_INDEX_NONE) {
            admission_open_flow(admission, frame, packet, now_us);
        }
        else {
            admission_handle_duplicate_syn(admission, handle, frame, packet,
                                           now_us);
        }
    }
    else if (handle == FLOW_INDEX_NONE) {
        admission_offer_unknown(admission, frame, packet, now_us);
    }
    else {
        admission_handle_flow_packet(admission, handle, frame, packet, now_us);
    }
    admit(admission, now_us);
}

bool
admission_is_evacuated(const struct admission *admission)
{
    return store_state_is_evacuated(&admission->store, admission->data_centre);
}

bool
admission_handle_evacuations(struct admission *admission,
                             const struct evacuations *evacuations,
                             uint64_t now_us)
{
    bool was_evacuated = admission_is_evacuated(admission);

    if (!store_state_update(&admission->store, evacuations, now_us) ||
        admission_is_evacuated(admission) == was_evacuated) {
        return false;
    }
    admit(admission, now_us);
    return true;
}

void
admission_handle_ping(struct admission *admission, struct addr balancer,
                      const struct frame_ping *ping, uint64_t now_us)
{
    struct frame_status status = {.type = FRAME_STATE};

    admission->unlisted = admission->unlisted || ping->unlisted;
    admission_note_balancer(admission, balancer, &ping->view, now_us);
    admission_notify(admission, balancer, &status, now_us);
    if (ping->view.version == 0) {
        admission_notify_served(admission, balancer);
    }
}

void
admission_handle_endpoint_packet(struct admission *admission,
                                 const struct relay_packet *packet,
                                 uint64_t now_us)
{
    admission_note_pause(admission, now_us);
    admission->unanswered_us = 0;
    admission->quiet_since_us = now_us;
    if ((packet->flags & RELAY_BOUNCED) != 0) {
        admission_handle_bounce(admission, packet, now_us);
        return;
    }
    if (endpoint_answered(&admission->endpoint)) {
        admission_notify_state(admission, now_us);
    }
    if (admission_handle_endpoint_reply(admission, packet, now_us)) {
        admission->out->ops->to_caller(admission->out, packet->to,
                                       packet->bytes, packet->size);
    }
    admit(admission, now_us);
}

/* Ends the request of a flow whose endpoint has ended. While requests are
 * scheduled, the flow's next data begins another. */
static void
end_request(struct admission *admission, uint32_t handle)
{
    if (admission->scheduling) {
        admission->flows[handle].request_start_us = 0;
    }
    admission_flow_set_idle(admission, handle);
}

/* Clears the state of the endpoint's last incarnation. Flows stay in the
 * table, as some may have been opened between the new incarnation's start and
 * its first heartbeat. Packets of the others bounce, which ends them. */
static void
reset_incarnation(struct admission *admission)
{
    admission->incarnation++;
    while (admission->busy_count > 0) {
        end_request(admission, admission->busy[0]);
    }
    latency_init(&admission->latency);
    capacity_forget_samples(&admission->capacity);
    scheduler_restart(&admission->scheduler);
    admission->outcome = (struct outcome){0};
    admission->evicted_flows = false;
}

bool
admission_handle_heartbeat(struct admission *admission,
                           const struct heartbeat *heartbeat, uint64_t now_us)
{
    enum endpoint_update update;

    admission_note_pause(admission, now_us);
    update = endpoint_heartbeat(&admission->endpoint, heartbeat, now_us);
    if (update != ENDPOINT_STALE) {
        admission->unanswered_us = 0;
        admission->quiet_since_us = now_us;
        slow_start_set_remaining(&admission->slow_start,
                                 heartbeat->warmup_left_ms, now_us);
    }
    if (update == ENDPOINT_NEW_INCARNATION) {
        reset_incarnation(admission);
    }
    if (update == ENDPOINT_NEW_INCARNATION || update == ENDPOINT_CHANGED) {
        admission_notify_state(admission, now_us);
    }
    return update != ENDPOINT_STALE;
}

void
admission_endpoint_left(struct admission *admission, const char *id,
                        uint64_t started_ms, uint64_t now_us)
{
    if (endpoint_left(&admission->endpoint, id, started_ms, now_us)) {
        admission_notify_state(admission, now_us);
    }
}

bool
admission_probe_refused(struct admission *admission, uint64_t now_us)
{
    admission_note_pause(admission, now_us);
    if (!admission_is_quiet(admission, now_us) ||
        !endpoint_down(&admission->endpoint)) {
        return false;
    }
    slow_start_restart(&admission->slow_start);
    reset_incarnation(admission);
    admission_notify_state(admission, now_us);
    return true;
}

void
admission_drain(struct admission *admission, uint64_t now_us)
{
    admission->closed = true;
    admission_notify_state(admission, now_us);
}

void
admission_tick(struct admission *admission, uint64_t now_us)
{
    admission_note_pause(admission, now_us);
    while (admission->syn_timer_count > 0 &&
           admission->syn_timers[admission->syn_timer_first].due_us <=
               now_us) {
        struct admission_syn_timer timer =
            admission->syn_timers[admission->syn_timer_first];

        admission->syn_timer_first =
            (admission->syn_timer_first + 1) % ADMISSION_SYN_TIMERS_MAX;
        admission->syn_timer_count--;
        syn_timer_expired(admission, &timer, now_us);
    }
    if (now_us >= admission->sweep_us) {
        sweep(admission, now_us);
    }
    if (admission->balancer_count == 0 && now_us >= admission->announce_us) {
        admission_announce(admission, now_us);
    }
    (void)store_state_tick(&admission->store, now_us);
    admit(admission, now_us);
}

uint64_t
admission_next_us(const struct admission *admission)
{
    uint64_t next_us = admission->sweep_us;

    if (admission->syn_timer_count > 0 &&
        admission->syn_timers[admission->syn_timer_first].due_us < next_us) {
        next_us = admission->syn_timers[admission->syn_timer_first].due_us;
    }
    next_us = MIN(next_us, store_state_next_us(&admission->store));
    next_us = MIN(next_us, admission_schedule_us(admission));
    return MIN(next_us, admission->slow_start_due_us);
}
