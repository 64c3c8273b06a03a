#include "relay/program/relay_balancer_private.h"

#include <inttypes.h>

#include <glib.h>

#include "base/container.h"
#include "platform/packet_format.h"

const char *const relay_balancer_drop_names[] = {
    [STEER_DROP_MALFORMED] = "malformed",
    [STEER_DROP_NO_CONFIG] = "no_configuration",
    [STEER_DROP_NO_ROUTE] = "no_route",
    [STEER_DROP_NO_AGENT] = "no_agent",
    [STEER_DROP_EVACUATED] = "evacuated",
    [STEER_DROP_FOREIGN] = "foreign",
};

static const char *const did_names[] = {
    [STEER_DID_SEND] = "sent",
    [STEER_DID_PLACE] = "placed",
    [STEER_DID_RESET] = "reset",
    [STEER_DID_SEARCH] = "searched",
};

/* Outputs of steer. */

static struct relay_balancer *
of_out(struct steer_out *out)
{
    return container_of(out, struct relay_balancer, out);
}

static void
out_carry(struct steer_out *out, struct addr agent,
          const struct frame_carry *frame)
{
    struct relay_balancer *balancer = of_out(out);
    size_t size = frame_carry_encode(frame, &balancer->steer.agents.store.told,
                                     dgram_buffer(&balancer->frames));

    dgram_queue(&balancer->frames, agent, size);
    balancer->counts.frames_out++;
}

static void
out_reset(struct steer_out *out, struct relay_flow flow, uint32_t seq)
{
    struct relay_balancer *balancer = of_out(out);
    struct addr to = {flow.caller.ip, balancer->data.addr.port};

    packet_format_reset(flow, seq, dgram_buffer(&balancer->data));
    dgram_queue(&balancer->data, to, PACKET_FORMAT_HEAD);
    dgram_flush(&balancer->data);
    balancer->counts.resets++;
}

static void
out_ping(struct steer_out *out, struct addr agent, bool unlisted)
{
    struct relay_balancer *balancer = of_out(out);
    struct frame_ping ping = {
        .view = steer_store_view(&balancer->steer),
        .unlisted = unlisted,
    };
    size_t size = frame_ping_encode(&ping, &balancer->steer.agents.store.told,
                                    dgram_buffer(&balancer->frames));

    dgram_queue(&balancer->frames, agent, size);
    balancer->counts.pings++;
}

static void
out_ask(struct steer_out *out, struct addr agent, const struct frame_ask *ask)
{
    struct relay_balancer *balancer = of_out(out);
    size_t size = frame_ask_encode(ask, &balancer->steer.agents.store.told,
                                   dgram_buffer(&balancer->frames));

    dgram_queue(&balancer->frames, agent, size);
    balancer->counts.asked++;
}

static void
out_confirm(struct steer_out *out, uint64_t now_us)
{
    struct relay_balancer *balancer = of_out(out);

    confirm_ask(&balancer->confirm, now_us);
}

static void
out_behind(struct steer_out *out, const struct frame_version *newer)
{
    struct relay_balancer *balancer = of_out(out);

    store_reader_newer(&balancer->reader, newer, loop_now_us(&balancer->loop));
    balancer->steer.current = false;
}

static void
out_readers(struct steer_out *out, struct frame_readers others)
{
    struct relay_balancer *balancer = of_out(out);
    uint64_t now_us = loop_now_us(&balancer->loop);

    if (store_reader_others(&balancer->reader, others, now_us)) {
        watcher_retry(&balancer->config_watcher, now_us);
    }
}

static void
out_dropped(struct steer_out *out, enum steer_drop why,
            const struct relay_packet *packet)
{
    struct relay_balancer *balancer = of_out(out);
    char caller[ADDR_TEXT_MAX] = "-";
    char service[ADDR_TEXT_MAX] = "-";

    balancer->counts.dropped[why]++;
    if (!event_log_wants(&balancer->log, EVENT_ROUTINE)) {
        return;
    }
    if (packet != NULL) {
        addr_format(packet->from, caller);
        addr_format(packet->to, service);
    }
    event_log_line(&balancer->log, EVENT_ROUTINE, "dropped",
                   "caller=%s service=%s reason=%s config=%" PRIu64, caller,
                   service, relay_balancer_drop_names[why],
                   balancer->steer.routes.version);
}

static void
out_decided(struct steer_out *out, enum steer_did did, struct relay_flow flow,
            struct addr agent, unsigned tries, uint64_t age_us)
{
    struct relay_balancer *balancer = of_out(out);
    bool placed = did == STEER_DID_PLACE;
    bool sent = did == STEER_DID_SEND;
    char caller[ADDR_TEXT_MAX];
    char service[ADDR_TEXT_MAX];
    char peer[ADDR_TEXT_MAX];

    balancer->counts.placed += placed;
    balancer->counts.searched += did == STEER_DID_SEARCH;
    balancer->counts.opened += sent && tries == 1;
    balancer->counts.tried_again += sent && tries > 1;
    /* A flow's first try is told by the line that says where it ended. */
    if ((sent && tries == 1) ||
        !event_log_wants(&balancer->log, EVENT_ROUTINE)) {
        return;
    }
    event_log_line(&balancer->log, EVENT_ROUTINE, did_names[did],
                   "caller=%s service=%s agent=%s tries=%u age_us=%" PRIu64
                   " config=%" PRIu64,
                   addr_format(flow.caller, caller),
                   addr_format(flow.service, service),
                   addr_format(agent, peer), tries, age_us,
                   balancer->steer.routes.version);
}

static void
out_concluded(struct steer_out *out, const struct steer_round *round,
              unsigned over)
{
    struct relay_balancer *balancer = of_out(out);

    if (!event_log_wants(&balancer->log, EVENT_ROUTINE)) {
        return;
    }
    event_log_line(&balancer->log, EVENT_ROUTINE, "lost_flows",
                   "asked_for=%u over=%u agents=%u missing=%u "
                   "unreachable=%u list_whole=%d took_us=%" PRIu64,
                   round->count, over, round->asked, round->missing,
                   round->unreachable, round->confirmed,
                   loop_now_us(&balancer->loop) - round->started_us);
}

const struct steer_out_ops relay_balancer_out_ops = {
    .carry = out_carry,
    .reset = out_reset,
    .ping = out_ping,
    .ask = out_ask,
    .confirm = out_confirm,
    .behind = out_behind,
    .readers = out_readers,
    .dropped = out_dropped,
    .decided = out_decided,
    .concluded = out_concluded,
};

/* Datagrams. */

static void
on_packet(struct dgram *dgram, struct addr from, const uint8_t *bytes,
          size_t size)
{
    struct relay_balancer *balancer = dgram->owner;
    struct relay_packet packet;

    balancer->counts.packets++;
    balancer->packet_us = loop_now_us(&balancer->loop);
    if (packet_format_decode(bytes, size, &packet) < 0) {
        out_dropped(&balancer->out, STEER_DROP_MALFORMED, NULL);
        return;
    }
    steer_packet(&balancer->steer, &packet, balancer->packet_us);
}

static void
on_served(struct relay_balancer *balancer, struct addr agent,
          const struct frame_served *served)
{
    size_t before = balancer->steer.learned.count;
    char text[ADDR_TEXT_MAX];

    steer_served(&balancer->steer, agent, served);
    if (balancer->steer.learned.count > before) {
        event_log_line(&balancer->log, EVENT_RARE, "route_learned",
                       "agent=%s service=%08x routes=%zu",
                       addr_format(agent, text), served->service,
                       balancer->steer.learned.count);
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
    struct frame_absent absent;
    int type = frame_type(bytes, size);

    if (type > 0) {
        frame_evacuations(bytes, &evacuations);
        relay_balancer_evacuations(balancer, &evacuations, "agent");
    }

    if (type == FRAME_SERVED &&
        frame_served_decode(bytes, size, &served) == 0) {
        on_served(balancer, from, &served);
        return;
    }
    if (type == FRAME_ABSENT &&
        frame_absent_decode(bytes, size, &absent) == 0) {
        steer_absent(&balancer->steer, from, &absent,
                     loop_now_us(&balancer->loop));
        return;
    }
    if (type < FRAME_PLACED || type > FRAME_STATE ||
        frame_status_decode(bytes, size, &status) < 0) {
        out_dropped(&balancer->out, STEER_DROP_FOREIGN, NULL);
        return;
    }
    steer_status(&balancer->steer, from, &status,
                 loop_now_us(&balancer->loop));
}

static void
on_drained(struct dgram *dgram)
{
    struct relay_balancer *balancer = dgram->owner;

    dgram_flush(&balancer->frames);
    loop_due(&balancer->loop, steer_next_us(&balancer->steer));
}

const struct dgram_ops relay_balancer_data_ops = {on_packet, on_drained};
const struct dgram_ops relay_balancer_frames_ops = {on_frame, on_drained};
