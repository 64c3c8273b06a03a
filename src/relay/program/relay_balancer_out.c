#include "relay/program/relay_balancer_private.h"

#include <inttypes.h>

#include <glib.h>

#include "base/container.h"
#include "platform/packet_format.h"
#include "relay/program/relay_state.h"

const char *const relay_balancer_drop_names[] = {
    [FORWARDER_DROP_MALFORMED] = "malformed",
    [FORWARDER_DROP_NO_CONFIG] = "no_configuration",
    [FORWARDER_DROP_NO_ROUTE] = "no_route",
    [FORWARDER_DROP_NO_AGENT] = "no_agent",
    [FORWARDER_DROP_EVACUATED] = "evacuated",
    [FORWARDER_DROP_FOREIGN] = "foreign",
    [FORWARDER_DROP_OVERLOAD] = "overload",
    [FORWARDER_DROP_SHARE] = "share",
};

static const char *const decision_names[] = {
    [FORWARDER_DECISION_SEND] = "sent",
    [FORWARDER_DECISION_ESTABLISH] = "placed",
    [FORWARDER_DECISION_RESET_PROVEN] = "reset",
    [FORWARDER_DECISION_RESET_ABSENT] = "reset",
    [FORWARDER_DECISION_RESET_ENDED] = "reset",
    [FORWARDER_DECISION_REFUSE] = "refused",
    [FORWARDER_DECISION_LOOKUP] = "searched",
};

static const char *const evidence_names[] = {
    [FORWARDER_DECISION_RESET_PROVEN] = " evidence=denied_by_all",
    [FORWARDER_DECISION_RESET_ABSENT] = " evidence=denied_by_acceptor",
    [FORWARDER_DECISION_RESET_ENDED] = " evidence=endpoint_ended",
    [FORWARDER_DECISION_LOOKUP] = NULL,
};

/* Outputs of forwarder. */

static struct relay_balancer *
balancer_of_out(struct forwarder_out *out)
{
    return container_of(out, struct relay_balancer, out);
}

static void
out_forward(struct forwarder_out *out, struct addr agent,
            const struct frame_forward *frame)
{
    struct relay_balancer *balancer = balancer_of_out(out);
    size_t size =
        frame_forward_encode(frame, &balancer->forwarder.agents.store.latest,
                             dgram_buffer(&balancer->frames));

    dgram_queue(&balancer->frames, agent, size);
    balancer->counts.frames_out++;
}

static void
out_reset(struct forwarder_out *out, struct relay_flow flow, uint32_t seq)
{
    struct relay_balancer *balancer = balancer_of_out(out);
    struct addr to = {flow.caller.ip, balancer->data.addr.port};

    packet_format_reset(flow, seq, dgram_buffer(&balancer->data));
    dgram_queue(&balancer->data, to, PACKET_FORMAT_HEADER_SIZE);
    dgram_flush(&balancer->data);
    balancer->counts.resets++;
}

static void
out_ping(struct forwarder_out *out, struct addr agent, bool unlisted)
{
    struct relay_balancer *balancer = balancer_of_out(out);
    struct frame_ping ping = {
        .view = forwarder_store_view(&balancer->forwarder),
        .unlisted = unlisted,
    };
    size_t size =
        frame_ping_encode(&ping, &balancer->forwarder.agents.store.latest,
                          dgram_buffer(&balancer->frames));

    dgram_queue(&balancer->frames, agent, size);
    balancer->counts.pings++;
}

static void
out_query(struct forwarder_out *out, struct addr agent,
          const struct frame_query *query)
{
    struct relay_balancer *balancer = balancer_of_out(out);
    size_t size =
        frame_query_encode(query, &balancer->forwarder.agents.store.latest,
                           dgram_buffer(&balancer->frames));

    dgram_queue(&balancer->frames, agent, size);
    balancer->counts.orphan_queries++;
}

static void
out_confirm(struct forwarder_out *out, uint64_t now_us)
{
    struct relay_balancer *balancer = balancer_of_out(out);

    confirm_start(&balancer->confirm, now_us);
}

static void
out_newer_config(struct forwarder_out *out,
                 const struct frame_config_version *newer)
{
    struct relay_balancer *balancer = balancer_of_out(out);

    store_reader_notify_newer(&balancer->reader, newer,
                              loop_now_us(&balancer->loop));
    balancer->forwarder.current = false;
}

static void
out_readers(struct forwarder_out *out, struct frame_readers others)
{
    struct relay_balancer *balancer = balancer_of_out(out);
    uint64_t now_us = loop_now_us(&balancer->loop);

    if (store_reader_report(&balancer->reader, others, now_us)) {
        watcher_retry(&balancer->config_watcher, now_us);
    }
}

static void
out_dropped(struct forwarder_out *out, enum forwarder_drop why,
            const struct relay_packet *packet)
{
    struct relay_balancer *balancer = balancer_of_out(out);
    char caller[ADDR_TEXT_MAX] = "-";
    char service[ADDR_TEXT_MAX] = "-";

    balancer->counts.dropped[why]++;
    if (!event_log_allow(&balancer->log, EVENT_RATE_LIMITED)) {
        return;
    }
    if (packet != NULL) {
        addr_format(packet->from, caller);
        addr_format(packet->to, service);
    }
    if (why == FORWARDER_DROP_OVERLOAD || why == FORWARDER_DROP_SHARE) {
        relay_pressure_log_refusal(&balancer->overload, &balancer->log, caller,
                                   service, relay_balancer_drop_names[why],
                                   loop_now_us(&balancer->loop));
        return;
    }
    event_log_write(&balancer->log, EVENT_RATE_LIMITED, "dropped",
                    "caller=%s service=%s reason=%s config=%" PRIu64, caller,
                    service, relay_balancer_drop_names[why],
                    balancer->forwarder.routes.version);
}

static void
out_decided(struct forwarder_out *out, enum forwarder_decision decision,
            struct relay_flow flow, struct addr agent, unsigned tries,
            uint64_t age_us)
{
    struct relay_balancer *balancer = balancer_of_out(out);
    bool established = decision == FORWARDER_DECISION_ESTABLISH;
    bool sent = decision == FORWARDER_DECISION_SEND;
    char caller[ADDR_TEXT_MAX];
    char service[ADDR_TEXT_MAX];
    char peer[ADDR_TEXT_MAX];
    const char *evidence = evidence_names[decision];

    balancer->counts.established += established;
    balancer->counts.lookups_started += decision == FORWARDER_DECISION_LOOKUP;
    balancer->counts.opened += sent && tries == 1;
    balancer->counts.flows_retried += sent && tries > 1;
    /* The first try gets no line: the line of its outcome covers it. */
    if ((sent && tries == 1) ||
        !event_log_allow(&balancer->log, EVENT_RATE_LIMITED)) {
        return;
    }
    event_log_write(
        &balancer->log, EVENT_RATE_LIMITED, decision_names[decision],
        "caller=%s service=%s agent=%s tries=%u age_us=%" PRIu64
        " config=%" PRIu64 "%s",
        addr_format(flow.caller, caller), addr_format(flow.service, service),
        addr_format(agent, peer), tries, age_us,
        balancer->forwarder.routes.version, evidence != NULL ? evidence : "");
}

static void
out_concluded(struct forwarder_out *out, const struct orphan_query *query,
              unsigned ended)
{
    struct relay_balancer *balancer = balancer_of_out(out);

    if (!event_log_allow(&balancer->log, EVENT_RATE_LIMITED)) {
        return;
    }
    event_log_write(&balancer->log, EVENT_RATE_LIMITED, "lost_flows",
                    "asked_for=%u over=%u agents=%u missing=%u "
                    "unreachable=%u list_whole=%d took_us=%" PRIu64,
                    query->count, ended, query->queried, query->missing,
                    query->unreachable, query->confirmed,
                    loop_now_us(&balancer->loop) - query->started_us);
}

static void
out_level_changed(struct forwarder_out *out, const struct agent_row *row,
                  uint64_t median_us)
{
    struct relay_balancer *balancer = balancer_of_out(out);
    const struct frame_load *load = &row->health.load;
    char agent[ADDR_TEXT_MAX];

    balancer->counts.levels[row->level.kind]++;
    if (!event_log_allow(&balancer->log, EVENT_RATE_LIMITED)) {
        return;
    }
    event_log_write(&balancer->log, EVENT_RATE_LIMITED, "level",
                    "agent=%s level=%s cause=%s service_time_us=%u "
                    "median_us=%" PRIu64
                    " stuck=%u slots=%u rejects=%u flows=%u relapses=%u",
                    addr_format(row->addr, agent),
                    relay_state_level_name(row->level.kind),
                    relay_state_cause_name(row->level.cause),
                    (unsigned)load->service_time * FRAME_SERVICE_TIME_UNIT_US,
                    median_us, load->stuck, row->health.slots, load->rejects,
                    load->flows, row->level.relapses);
}

const struct forwarder_out_ops relay_balancer_out_ops = {
    .forward = out_forward,
    .reset = out_reset,
    .ping = out_ping,
    .query = out_query,
    .confirm = out_confirm,
    .newer_config = out_newer_config,
    .readers = out_readers,
    .dropped = out_dropped,
    .decided = out_decided,
    .concluded = out_concluded,
    .level_changed = out_level_changed,
};

/* Received datagrams. */

static void
on_packet(struct dgram *dgram, struct addr from, const uint8_t *bytes,
          size_t size)
{
    struct relay_balancer *balancer = dgram->owner;
    struct relay_packet packet;

    balancer->counts.packets++;
    balancer->packet_us = loop_now_us(&balancer->loop);
    if (packet_format_decode(bytes, size, &packet) < 0) {
        out_dropped(&balancer->out, FORWARDER_DROP_MALFORMED, NULL);
        return;
    }
    forwarder_packet(&balancer->forwarder, &packet, balancer->packet_us);
}

static void
on_served(struct relay_balancer *balancer, struct addr agent,
          const struct frame_served *served)
{
    size_t before = balancer->forwarder.learned.count;
    char text[ADDR_TEXT_MAX];

    forwarder_served(&balancer->forwarder, agent, served);
    if (balancer->forwarder.learned.count > before) {
        event_log_write(&balancer->log, EVENT_UNLIMITED, "route_learned",
                        "agent=%s service=%08x routes=%zu",
                        addr_format(agent, text), served->service,
                        balancer->forwarder.learned.count);
    }
}

static void
on_frame(struct dgram *dgram, struct addr from, const uint8_t *bytes,
         size_t size)
{
    struct relay_balancer *balancer = dgram->owner;
    struct evacuations evacuations;
    struct frame_status status;
    struct frame_served served;
    struct frame_query_reply reply;
    int type = frame_type(bytes, size);

    if (type > 0) {
        frame_evacuations_decode(bytes, &evacuations);
        relay_balancer_apply_evacuations(balancer, &evacuations, "agent");
    }

    if (type == FRAME_SERVED &&
        frame_served_decode(bytes, size, &served) == 0) {
        on_served(balancer, from, &served);
        return;
    }
    if (type == FRAME_QUERY_REPLY &&
        frame_query_reply_decode(bytes, size, &reply) == 0) {
        forwarder_query_reply(&balancer->forwarder, from, &reply,
                              loop_now_us(&balancer->loop));
        return;
    }
    if (type < FRAME_ESTABLISHED || type > FRAME_STATE ||
        frame_status_decode(bytes, size, &status) < 0) {
        out_dropped(&balancer->out, FORWARDER_DROP_FOREIGN, NULL);
        return;
    }
    forwarder_status(&balancer->forwarder, from, &status,
                     loop_now_us(&balancer->loop));
}

static void
on_batch_done(struct dgram *dgram)
{
    struct relay_balancer *balancer = dgram->owner;

    dgram_flush(&balancer->frames);
    loop_schedule(&balancer->loop, forwarder_next_us(&balancer->forwarder));
}

const struct dgram_ops relay_balancer_data_ops = {on_packet, on_batch_done};
const struct dgram_ops relay_balancer_frames_ops = {on_frame, on_batch_done};
