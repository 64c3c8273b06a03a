#include "relay/program/relay_agent_private.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/container.h"
#include "platform/packet_format.h"

const char *const relay_agent_reason_names[] = {
    [FRAME_REASON_NONE] = "none",
    [FRAME_REASON_BUSY] = "busy",
    [FRAME_REASON_LEAVING] = "leaving",
    [FRAME_REASON_SILENT] = "silent",
    [FRAME_REASON_REFUSED] = "refused",
    [FRAME_REASON_WRONG_SERVICE] = "service",
    [FRAME_REASON_FAILING] = "failing",
    [FRAME_REASON_EVACUATED] = "evacuated",
    [FRAME_REASON_FULL] = "full",
    [FRAME_REASON_ABSENT] = "absent",
};

const char *const relay_agent_state_names[] = {
    [ENDPOINT_UNKNOWN] = "unknown",   [ENDPOINT_READY] = "ready",
    [ENDPOINT_DRAINING] = "draining", [ENDPOINT_GONE] = "gone",
    [ENDPOINT_SILENT] = "silent",
};

const char *const relay_agent_drop_names[] = {
    [ADMISSION_DROP_MALFORMED] = "malformed",
    [ADMISSION_DROP_NO_AGENT] = "nobody_left",
    [ADMISSION_DROP_STALE] = "late_answer",
    [ADMISSION_DROP_EXPIRED] = "caller_gave_up",
};

static const char *const decision_names[] = {
    [ADMISSION_DECISION_ESTABLISH] = "placed",
    [ADMISSION_DECISION_REDIRECT] = "passed",
    [ADMISSION_DECISION_ABANDON] = "let_go",
    [ADMISSION_DECISION_QUEUE] = "held",
    [ADMISSION_DECISION_ADMIT] = "admitted",
    [ADMISSION_DECISION_EXPIRE] = "gave_up",
    [ADMISSION_DECISION_RESET] = "reset",
    [ADMISSION_DECISION_REFUSE] = "refused",
};

/* Outputs of admission. */

static struct relay_agent *
agent_of_out(struct admission_out *out)
{
    return container_of(out, struct relay_agent, out);
}

static void
out_to_endpoint(struct admission_out *out, const uint8_t *bytes, size_t size)
{
    struct relay_agent *agent = agent_of_out(out);

    agent->counts.to_endpoint++;
    dgram_send(&agent->outbound, agent->settings.upstream, bytes, size);
}

static void
out_to_caller(struct admission_out *out, struct addr caller,
              const uint8_t *bytes, size_t size)
{
    struct relay_agent *agent = agent_of_out(out);
    struct addr to = {caller.ip, (uint16_t)agent->settings.callers_port};

    agent->counts.to_caller++;
    dgram_send(&agent->frames, to, bytes, size);
}

static void
out_reset(struct admission_out *out, struct relay_flow flow, uint32_t seq)
{
    struct relay_agent *agent = agent_of_out(out);
    struct addr to = {flow.caller.ip, (uint16_t)agent->settings.callers_port};

    packet_format_reset(flow, seq, dgram_buffer(&agent->frames));
    dgram_queue(&agent->frames, to, PACKET_FORMAT_HEADER_SIZE);
    agent->counts.resets++;
}

static void
out_forward(struct admission_out *out, struct addr peer,
            const struct frame_forward *frame)
{
    struct relay_agent *agent = agent_of_out(out);
    size_t size = frame_forward_encode(frame, &agent->admission.store.latest,
                                       dgram_buffer(&agent->frames));

    agent->counts.frames_forwarded++;
    dgram_queue(&agent->frames, peer, size);
}

static void
out_notify(struct admission_out *out, struct addr balancer,
           const struct frame_status *status)
{
    struct relay_agent *agent = agent_of_out(out);
    size_t size = frame_status_encode(status, &agent->admission.store.latest,
                                      dgram_buffer(&agent->frames));

    dgram_queue(&agent->frames, balancer, size);
}

static void
out_served(struct admission_out *out, struct addr balancer,
           const struct frame_served *served)
{
    struct relay_agent *agent = agent_of_out(out);
    size_t size = frame_served_encode(served, &agent->admission.store.latest,
                                      dgram_buffer(&agent->frames));

    dgram_queue(&agent->frames, balancer, size);
    event_log_write(&agent->log, EVENT_RATE_LIMITED, "told_served",
                    "addresses=%u", served->count);
}

static void
out_query_reply(struct admission_out *out, struct addr balancer,
                const struct frame_query_reply *query_reply)
{
    struct relay_agent *agent = agent_of_out(out);
    size_t size =
        frame_query_reply_encode(query_reply, &agent->admission.store.latest,
                                 dgram_buffer(&agent->frames));

    agent->counts.orphan_queries++;
    dgram_queue(&agent->frames, balancer, size);
}

static void
out_probe(struct admission_out *out)
{
    probe_start(&agent_of_out(out)->probe);
}

static void
on_probe_ended(struct probe *probe, bool refused)
{
    struct relay_agent *agent = container_of(probe, struct relay_agent, probe);

    uint64_t now_us = loop_now_us(&agent->loop);
    const char *state;
    uint64_t quiet_us;
    bool down = false;

    /* What the endpoint sent before may still be unread. */
    dgram_poll(&agent->outbound);
    state = relay_agent_state_names[agent->admission.endpoint.state];
    quiet_us = now_us - agent->admission.quiet_since_us;
    if (refused) {
        down = admission_probe_refused(&agent->admission, now_us);
        relay_agent_flush(agent);
    }
    event_log_write(&agent->log, EVENT_RATE_LIMITED, "endpoint_probed",
                    "listens=%d state=%s quiet_us=%" PRIu64 " down=%d",
                    !refused, state, quiet_us, down);
}

const struct probe_ops relay_agent_probe_ops = {on_probe_ended};

static void
out_dropped(struct admission_out *out, enum admission_drop why)
{
    agent_of_out(out)->counts.dropped[why]++;
}

static void
count_decision(struct relay_agent *agent, enum admission_decision decision,
               enum frame_reason why)
{
    switch (decision) {
    case ADMISSION_DECISION_ESTABLISH:
        agent->counts.established++;
        break;
    case ADMISSION_DECISION_QUEUE:
        agent->counts.queued++;
        break;
    case ADMISSION_DECISION_REFUSE:
        agent->counts.refused++;
        break;
    case ADMISSION_DECISION_REDIRECT:
    case ADMISSION_DECISION_ABANDON:
        agent->counts.redirected[why]++;
        break;
    default:
        break;
    }
}

static void
out_decided(struct admission_out *out, enum admission_decision decision,
            struct relay_flow flow, enum frame_reason why,
            const struct frame_forward *frame)
{
    struct relay_agent *agent = agent_of_out(out);
    char caller[ADDR_TEXT_MAX];
    char service[ADDR_TEXT_MAX];

    count_decision(agent, decision, why);
    if (!event_log_allow(&agent->log, EVENT_RATE_LIMITED)) {
        return;
    }
    event_log_write(
        &agent->log, EVENT_RATE_LIMITED, decision_names[decision],
        "caller=%s service=%s reason=%s endpoint=%s busy=%u "
        "slots=%u held=%u target_ms=%u forced=%d hops=%u",
        addr_format(flow.caller, caller), addr_format(flow.service, service),
        relay_agent_reason_names[why],
        relay_agent_state_names[agent->admission.endpoint.state],
        agent->admission.busy_count, agent->admission.endpoint.slots,
        agent->admission.queue_count, frame->target_ms, frame->forced,
        frame->hops);
}

static void
out_scheduled(struct admission_out *out, struct relay_flow flow,
              const struct admission_scheduled *scheduled)
{
    relay_agent_scheduled(agent_of_out(out), flow, scheduled);
}

const struct admission_out_ops relay_agent_out_ops = {
    .to_endpoint = out_to_endpoint,
    .to_caller = out_to_caller,
    .reset = out_reset,
    .forward = out_forward,
    .notify = out_notify,
    .served = out_served,
    .query_reply = out_query_reply,
    .probe = out_probe,
    .dropped = out_dropped,
    .decided = out_decided,
    .scheduled = out_scheduled,
};

/* Received datagrams. */

static void
on_forward(struct relay_agent *agent, const uint8_t *bytes, size_t size,
           uint64_t now_us)
{
    struct frame_forward frame;
    struct relay_packet packet;

    if (frame_forward_decode(bytes, size, &frame) < 0 ||
        packet_format_decode(frame.bytes, frame.size, &packet) < 0 ||
        relay_packet_is_syn_ack(&packet)) {
        out_dropped(&agent->out, ADMISSION_DROP_MALFORMED);
        return;
    }
    agent->packet_us = now_us;
    admission_handle_forward(&agent->admission, &frame, &packet, now_us);
}

static void
handle_evacuations(struct relay_agent *agent, struct addr from,
                   const uint8_t *bytes, uint64_t now_us)
{
    struct evacuations latest;
    char text[ADDR_TEXT_MAX];

    frame_evacuations_decode(bytes, &latest);
    if (registration_writer_set_epoch(&agent->registration, latest.epoch,
                                      now_us)) {
        event_log_write(&agent->log, EVENT_UNLIMITED, "store_older",
                        "era=%u from=%s", latest.epoch,
                        addr_format(from, text));
    }
    if (admission_handle_evacuations(&agent->admission, &latest, now_us)) {
        event_log_write(&agent->log, EVENT_UNLIMITED,
                        admission_is_evacuated(&agent->admission) ? "evacuated"
                                                                  : "returned",
                        "data_centre=%s revision=%" PRIu64 " from=%s",
                        agent->settings.data_centre, latest.revision,
                        addr_format(from, text));
    }
}

static void
on_frame(struct dgram *dgram, struct addr from, const uint8_t *bytes,
         size_t size)
{
    struct relay_agent *agent = dgram->owner;
    uint64_t now_us = loop_now_us(&agent->loop);
    int type = frame_type(bytes, size);
    struct frame_ping ping;
    struct frame_query query;

    agent->counts.frames_in++;
    if (type > 0) {
        handle_evacuations(agent, from, bytes, now_us);
    }
    switch (type) {
    case FRAME_FORWARD:
        on_forward(agent, bytes, size, now_us);
        return;
    case FRAME_PING:
        if (frame_ping_decode(bytes, size, &ping) == 0) {
            admission_handle_ping(&agent->admission, from, &ping, now_us);
            return;
        }
        break;
    case FRAME_QUERY:
        /* The answer to an overdue packet may still be unread. */
        dgram_poll(&agent->outbound);
        if (frame_query_decode(bytes, size, &query) == 0) {
            admission_handle_query(&agent->admission, from, &query, now_us);
            return;
        }
        break;
    default:
        break;
    }
    out_dropped(&agent->out, ADMISSION_DROP_MALFORMED);
}

static void
on_outbound(struct dgram *dgram, struct addr from, const uint8_t *bytes,
            size_t size)
{
    struct relay_agent *agent = dgram->owner;
    struct relay_packet packet;

    if (packet_format_decode(bytes, size, &packet) < 0) {
        out_dropped(&agent->out, ADMISSION_DROP_MALFORMED);
        return;
    }
    agent->packet_us = loop_now_us(&agent->loop);
    admission_handle_endpoint_packet(&agent->admission, &packet,
                                     agent->packet_us);
}

void
relay_agent_flush(struct relay_agent *agent)
{
    dgram_flush(&agent->outbound);
    dgram_flush(&agent->frames);
    loop_schedule(&agent->loop, admission_next_us(&agent->admission));
}

static void
on_batch_done(struct dgram *dgram)
{
    relay_agent_flush(dgram->owner);
}

const struct dgram_ops relay_agent_frames_ops = {on_frame, on_batch_done};
const struct dgram_ops relay_agent_outbound_ops = {on_outbound, on_batch_done};
