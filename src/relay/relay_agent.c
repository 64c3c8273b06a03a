#include "relay/relay_agent.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/container.h"
#include "base/event_log.h"
#include "base/httpd.h"
#include "platform/heartbeat_format.h"
#include "platform/object_store.h"
#include "platform/packet_format.h"
#include "relay/door.h"
#include "relay/loop.h"
#include "relay/presence.h"
#include "relay/relay_settings.h"
#include "relay/settings_file.h"
#include "relay/dgram.h"

#define FLUSH_US (100 * USEC_PER_MSEC)

/* A planned stop waits for requests in progress, and then this long for the
 * last packets of their flows. */
#define STOP_QUIET_US (100 * USEC_PER_MSEC)

enum { EXIT_STOPPED = 0, EXIT_ERROR = 1, EXIT_SETTINGS = 2 };

/**
 * struct relay_agent - the program
 * @loop: events and time
 * @out: outputs of @door
 * @settings: settings
 * @file: the file that they are from
 * @door: decisions
 * @frames: frames, and packets to callers
 * @outbound: packets from and to the endpoint
 * @ready_handler: answers /ready and /metrics
 * @ready: its listener
 * @metrics: a second one, or NULL
 * @heartbeat_handler: answers the endpoint's heartbeats
 * @heartbeats: its listener
 * @store: connection to the store
 * @presence: writes the agent's object
 * @log: lines on standard output
 * @started_us: when the program started
 * @stop_us: when the planned stop began, 0 for none
 * @packet_us: when the last packet came
 * @flush_us: when the log is written next
 * @counts: packets and frames
 */
struct relay_agent {
    struct loop loop;
    struct door_out out;
    struct relay_settings settings;
    struct settings_file file;
    struct door door;
    struct dgram frames;
    struct dgram outbound;
    struct httpd_handler ready_handler;
    struct httpd *ready;
    struct httpd *metrics;
    struct httpd_handler heartbeat_handler;
    struct httpd *heartbeats;
    struct store *store;
    struct presence_writer presence;
    struct event_log log;
    uint64_t started_us;
    uint64_t stop_us;
    uint64_t packet_us;
    uint64_t flush_us;
    struct {
        uint64_t to_endpoint;
        uint64_t to_caller;
        uint64_t frames_in;
        uint64_t frames_on;
        uint64_t heartbeats;
        uint64_t refused_heartbeats;
        uint64_t placed;
        uint64_t held;
        uint64_t resets;
        uint64_t passed[FRAME_REASON_MAX + 1];
        uint64_t dropped[DOOR_DROP_COUNT];
    } counts;
};

static const char *const reason_names[] = {
    [FRAME_REASON_NONE] = "none",       [FRAME_REASON_BUSY] = "busy",
    [FRAME_REASON_LEAVING] = "leaving", [FRAME_REASON_SILENT] = "silent",
    [FRAME_REASON_REFUSED] = "refused", [FRAME_REASON_SERVICE] = "service",
};

static const char *const state_names[] = {
    [ENDPOINT_UNKNOWN] = "unknown",   [ENDPOINT_READY] = "ready",
    [ENDPOINT_DRAINING] = "draining", [ENDPOINT_GONE] = "gone",
    [ENDPOINT_SILENT] = "silent",
};

static const char *const drop_names[] = {
    [DOOR_DROP_MALFORMED] = "malformed",
    [DOOR_DROP_NOBODY] = "nobody_left",
    [DOOR_DROP_LATE] = "late_answer",
    [DOOR_DROP_EXPIRED] = "caller_gave_up",
};

static const char *const did_names[] = {
    [DOOR_DID_PLACE] = "placed",   [DOOR_DID_PASS] = "passed",
    [DOOR_DID_LET_GO] = "let_go",  [DOOR_DID_HOLD] = "held",
    [DOOR_DID_ADMIT] = "admitted", [DOOR_DID_EXPIRE] = "gave_up",
    [DOOR_DID_RESET] = "reset",
};

/* Outputs of door. */

static struct relay_agent *
of_out(struct door_out *out)
{
    return container_of(out, struct relay_agent, out);
}

static void
out_to_endpoint(struct door_out *out, const uint8_t *bytes, size_t size)
{
    struct relay_agent *agent = of_out(out);

    agent->counts.to_endpoint++;
    dgram_send(&agent->outbound, agent->settings.upstream, bytes, size);
}

static void
out_to_caller(struct door_out *out, struct addr caller, const uint8_t *bytes,
              size_t size)
{
    struct relay_agent *agent = of_out(out);
    struct addr to = {caller.ip, (uint16_t)agent->settings.callers_port};

    agent->counts.to_caller++;
    dgram_send(&agent->frames, to, bytes, size);
}

static void
out_reset(struct door_out *out, struct relay_flow flow, uint32_t seq)
{
    struct relay_agent *agent = of_out(out);
    struct addr to = {flow.caller.ip, (uint16_t)agent->settings.callers_port};

    packet_format_reset(flow, seq, dgram_buffer(&agent->frames));
    dgram_queue(&agent->frames, to, PACKET_FORMAT_HEAD);
    agent->counts.resets++;
}

static void
out_carry(struct door_out *out, struct addr peer,
          const struct frame_carry *frame)
{
    struct relay_agent *agent = of_out(out);
    size_t size = frame_carry_encode(frame, dgram_buffer(&agent->frames));

    agent->counts.frames_on++;
    dgram_queue(&agent->frames, peer, size);
}

static void
out_tell(struct door_out *out, struct addr balancer,
         const struct frame_status *status)
{
    struct relay_agent *agent = of_out(out);
    size_t size = frame_status_encode(status, dgram_buffer(&agent->frames));

    dgram_queue(&agent->frames, balancer, size);
}

static void
out_serves(struct door_out *out, struct addr balancer,
           const struct frame_served *served)
{
    struct relay_agent *agent = of_out(out);
    size_t size = frame_served_encode(served, dgram_buffer(&agent->frames));

    dgram_queue(&agent->frames, balancer, size);
    event_log_line(&agent->log, EVENT_ROUTINE, "told_served", "addresses=%u",
                   served->count);
}

static void
out_dropped(struct door_out *out, enum door_drop why)
{
    of_out(out)->counts.dropped[why]++;
}

static void
count_decision(struct relay_agent *agent, enum door_did did,
               enum frame_reason why)
{
    switch (did) {
    case DOOR_DID_PLACE:
        agent->counts.placed++;
        break;
    case DOOR_DID_HOLD:
        agent->counts.held++;
        break;
    case DOOR_DID_PASS:
    case DOOR_DID_LET_GO:
        agent->counts.passed[why]++;
        break;
    default:
        break;
    }
}

static void
out_decided(struct door_out *out, enum door_did did, struct relay_flow flow,
            enum frame_reason why, const struct frame_carry *frame)
{
    struct relay_agent *agent = of_out(out);
    char caller[ADDR_TEXT_MAX];
    char service[ADDR_TEXT_MAX];

    count_decision(agent, did, why);
    if (!event_log_wants(&agent->log, EVENT_ROUTINE)) {
        return;
    }
    event_log_line(
        &agent->log, EVENT_ROUTINE, did_names[did],
        "caller=%s service=%s reason=%s endpoint=%s busy=%u "
        "slots=%u held=%u target_ms=%u forced=%d hops=%u",
        addr_format(flow.caller, caller), addr_format(flow.service, service),
        reason_names[why], state_names[agent->door.endpoint.state],
        agent->door.busy_count, agent->door.endpoint.slots,
        agent->door.held_count, frame->target_ms, frame->forced, frame->hops);
}

static const struct door_out_ops out_ops = {
    .to_endpoint = out_to_endpoint,
    .to_caller = out_to_caller,
    .reset = out_reset,
    .carry = out_carry,
    .tell = out_tell,
    .serves = out_serves,
    .dropped = out_dropped,
    .decided = out_decided,
};

/* Datagrams. */

static void
on_carry(struct relay_agent *agent, const uint8_t *bytes, size_t size,
         uint64_t now_us)
{
    struct frame_carry frame;
    struct relay_packet packet;

    if (frame_carry_decode(bytes, size, &frame) < 0 ||
        packet_format_decode(frame.bytes, frame.size, &packet) < 0 ||
        relay_packet_accepts(&packet)) {
        out_dropped(&agent->out, DOOR_DROP_MALFORMED);
        return;
    }
    agent->packet_us = now_us;
    door_carry(&agent->door, &frame, &packet, now_us);
}

static void
on_frame(struct dgram *dgram, struct addr from, const uint8_t *bytes,
         size_t size)
{
    struct relay_agent *agent = dgram->owner;
    uint64_t now_us = loop_now_us(&agent->loop);
    struct frame_version version;

    agent->counts.frames_in++;
    switch (frame_type(bytes, size)) {
    case FRAME_CARRY:
        on_carry(agent, bytes, size, now_us);
        return;
    case FRAME_PING:
        if (frame_ping_decode(bytes, size, &version) == 0) {
            door_ping(&agent->door, from, &version, now_us);
            return;
        }
        break;
    default:
        break;
    }
    out_dropped(&agent->out, DOOR_DROP_MALFORMED);
}

static void
on_outbound(struct dgram *dgram, struct addr from, const uint8_t *bytes,
            size_t size)
{
    struct relay_agent *agent = dgram->owner;
    struct relay_packet packet;

    if (packet_format_decode(bytes, size, &packet) < 0) {
        out_dropped(&agent->out, DOOR_DROP_MALFORMED);
        return;
    }
    agent->packet_us = loop_now_us(&agent->loop);
    door_from_endpoint(&agent->door, &packet, agent->packet_us);
}

static void
flush(struct relay_agent *agent)
{
    dgram_flush(&agent->outbound);
    dgram_flush(&agent->frames);
    loop_due(&agent->loop, door_next_us(&agent->door));
}

static void
on_drained(struct dgram *dgram)
{
    flush(dgram->owner);
}

static const struct dgram_ops frames_ops = {on_frame, on_drained};
static const struct dgram_ops outbound_ops = {on_outbound, on_drained};

/* HTTP. */

static void
log_endpoint(struct relay_agent *agent, const char *id, const char *cause)
{
    event_log_line(&agent->log, EVENT_RARE, "endpoint",
                   "id=%s state=%s slots=%u busy=%u cause=%s", id,
                   state_names[agent->door.endpoint.state],
                   agent->door.endpoint.slots, agent->door.busy_count, cause);
}

static int
take_heartbeat(struct relay_agent *agent, const char *id,
               struct httpd_request *request)
{
    enum endpoint_state before = agent->door.endpoint.state;
    struct heartbeat heartbeat;
    struct error err = {0};
    char line[512];
    size_t len;
    const char *body = httpd_request_body(request, &len);

    if (heartbeat_format_decode(id, body, len, &heartbeat, &err) < 0) {
        agent->counts.refused_heartbeats++;
        event_log_line(&agent->log, EVENT_ROUTINE, "heartbeat_refused",
                       "reason=\"%s\"",
                       error_format(&err, line, sizeof(line)));
        return 400;
    }
    agent->counts.heartbeats++;
    door_heartbeat(&agent->door, &heartbeat, loop_now_us(&agent->loop));
    if (agent->door.endpoint.state != before) {
        log_endpoint(agent, id, "heartbeat");
    }
    return 200;
}

static int
take_goodbye(struct relay_agent *agent, const char *id)
{
    enum endpoint_state before = agent->door.endpoint.state;

    door_left(&agent->door, id, loop_now_us(&agent->loop));
    if (agent->door.endpoint.state != before) {
        log_endpoint(agent, id, "goodbye");
    }
    return 200;
}

static int
on_heartbeat_request(struct httpd_handler *handler,
                     struct httpd_request *request)
{
    struct relay_agent *agent =
        container_of(handler, struct relay_agent, heartbeat_handler);
    const char *method = httpd_request_method(request);
    const char *id = heartbeat_format_id(httpd_request_path(request));
    int status = 405;

    if (id == NULL) {
        status = 404;
    }
    else if (strcmp(method, "PUT") == 0) {
        status = take_heartbeat(agent, id, request);
    }
    else if (strcmp(method, "DELETE") == 0) {
        status = take_goodbye(agent, id);
    }
    httpd_respond(request, status, "application/json", HEARTBEAT_FORMAT_ACK,
                  strlen(HEARTBEAT_FORMAT_ACK));
    flush(agent);
    return 0;
}

static void
respond_metrics(struct relay_agent *agent, struct httpd_request *request)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(
        text,
        "swiftarch_packets_to_endpoint_total %" PRIu64 "\n"
        "swiftarch_packets_to_callers_total %" PRIu64 "\n"
        "swiftarch_frames_received_total %" PRIu64 "\n"
        "swiftarch_frames_sent_on_total %" PRIu64 "\n"
        "swiftarch_heartbeats_total %" PRIu64 "\n"
        "swiftarch_heartbeats_refused_total %" PRIu64 "\n"
        "swiftarch_flows_placed_total %" PRIu64 "\n"
        "swiftarch_flows_held_total %" PRIu64 "\n"
        "swiftarch_flows_held %u\n"
        "swiftarch_flows_reset_total %" PRIu64 "\n"
        "swiftarch_requests_in_progress %u\n"
        "swiftarch_flows %u\n"
        "swiftarch_endpoint_state %d\n"
        "swiftarch_log_lines_left_out_total %" PRIu64 "\n",
        agent->counts.to_endpoint, agent->counts.to_caller,
        agent->counts.frames_in, agent->counts.frames_on,
        agent->counts.heartbeats, agent->counts.refused_heartbeats,
        agent->counts.placed, agent->counts.held, agent->door.held_count,
        agent->counts.resets, agent->door.busy_count, agent->door.table.used,
        (int)agent->door.endpoint.state, agent->log.left_out_total);
    for (size_t i = 1; i <= FRAME_REASON_MAX; i++) {
        g_string_append_printf(
            text, "swiftarch_flows_passed_total{reason=\"%s\"} %" PRIu64 "\n",
            reason_names[i], agent->counts.passed[i]);
    }
    for (size_t i = 0; i < DOOR_DROP_COUNT; i++) {
        g_string_append_printf(
            text, "swiftarch_dropped_total{reason=\"%s\"} %" PRIu64 "\n",
            drop_names[i], agent->counts.dropped[i]);
    }
    httpd_respond(request, 200, "text/plain; version=0.0.4", text->str,
                  text->len);
    g_string_free(text, TRUE);
}

static int
on_ready_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct relay_agent *agent =
        container_of(handler, struct relay_agent, ready_handler);
    const char *path = httpd_request_path(request);

    if (strcmp(path, "/ready") == 0) {
        httpd_respond(request, agent->stop_us == 0 ? 200 : 503,
                      "application/json", "{}", 2);
    }
    else if (strcmp(path, "/metrics") == 0) {
        respond_metrics(agent, request);
    }
    else {
        httpd_respond(request, 404, "application/json", "{}", 2);
    }
    return 0;
}

static const struct httpd_ops heartbeat_ops = {on_heartbeat_request};
static const struct httpd_ops ready_ops = {on_ready_request};

/* Time and signals. */

static bool
stop_is_over(const struct relay_agent *agent, uint64_t now_us)
{
    uint64_t since_us = now_us - agent->stop_us;

    if (agent->stop_us == 0) {
        return false;
    }
    return since_us >= agent->settings.stop_ms * USEC_PER_MSEC ||
           (agent->door.busy_count == 0 &&
            now_us - agent->packet_us >= STOP_QUIET_US &&
            (agent->presence.step == PRESENCE_KEPT ||
             agent->presence.step == PRESENCE_GONE));
}

static void
take_peers(struct relay_agent *agent)
{
    agent->door.greeter_count = 0;
    for (size_t i = 0; i < agent->settings.peer_count; i++) {
        door_greet(&agent->door, agent->settings.peers[i]);
    }
}

static void
reload(struct relay_agent *agent)
{
    char report[256];
    int ret = settings_file_reload(&agent->file, &agent->settings, report,
                                   sizeof(report));

    agent->log.per_s = agent->settings.log_per_s;
    take_peers(agent);
    event_log_line(&agent->log, EVENT_RARE, "reload",
                   "result=%s peers=%zu log_per_s=%u stop_ms=%u "
                   "reason=\"%s\"",
                   ret == 0 ? "taken" : "refused", agent->settings.peer_count,
                   agent->settings.log_per_s, agent->settings.stop_ms, report);
}

static uint64_t
on_tick(struct loop *loop, uint64_t now_us)
{
    struct relay_agent *agent = container_of(loop, struct relay_agent, loop);
    uint64_t next_us;

    /* Answers that wait are no missed answers. */
    dgram_poll(&agent->outbound);
    door_tick(&agent->door, now_us);
    dgram_flush(&agent->outbound);
    dgram_flush(&agent->frames);
    presence_writer_tick(&agent->presence, now_us);
    if (settings_file_changed(&agent->file, now_us)) {
        reload(agent);
    }
    if (now_us >= agent->flush_us) {
        event_log_flush(&agent->log);
        agent->flush_us = now_us + FLUSH_US;
    }
    if (stop_is_over(agent, now_us)) {
        loop_end(loop);
    }
    next_us = MIN(door_next_us(&agent->door), agent->flush_us);
    return MIN(next_us, presence_writer_next_us(&agent->presence));
}

static void
on_stop(struct loop *loop, uint64_t now_us)
{
    struct relay_agent *agent = container_of(loop, struct relay_agent, loop);

    if (agent->stop_us != 0) {
        loop_end(loop);
        return;
    }
    agent->stop_us = now_us;
    event_log_line(&agent->log, EVENT_RARE, "stopping", "busy=%u endpoint=%s",
                   agent->door.busy_count,
                   state_names[agent->door.endpoint.state]);
    if (agent->door.endpoint.state == ENDPOINT_GONE) {
        presence_writer_remove(&agent->presence, now_us);
    }
    door_close(&agent->door, now_us);
    flush(agent);
}

static void
on_reload(struct loop *loop)
{
    struct relay_agent *agent = container_of(loop, struct relay_agent, loop);

    reload(agent);
}

static const struct loop_ops loop_ops = {on_tick, on_stop, on_reload};

/* Start. */

static int
start_sockets(struct relay_agent *agent, struct error *err)
{
    const struct relay_settings *settings = &agent->settings;
    struct event_base *base = agent->loop.base;
    int ret = dgram_init(&agent->frames, &frames_ops, agent, base,
                         settings->data, err);

    if (ret == 0) {
        ret = dgram_init(&agent->outbound, &outbound_ops, agent, base,
                         settings->outbound, err);
    }
    if (ret < 0) {
        return ret;
    }
    agent->heartbeat_handler.ops = &heartbeat_ops;
    agent->heartbeats =
        httpd_new(base, settings->heartbeats, &agent->heartbeat_handler, err);
    agent->ready_handler.ops = &ready_ops;
    agent->ready =
        httpd_new(base, settings->ready, &agent->ready_handler, err);
    if (agent->heartbeats == NULL || agent->ready == NULL) {
        return err->code;
    }
    if (settings->metrics.ip != 0) {
        agent->metrics =
            httpd_new(base, settings->metrics, &agent->ready_handler, err);
    }
    return settings->metrics.ip != 0 && agent->metrics == NULL ? err->code : 0;
}

static int
start_presence(struct relay_agent *agent, uint64_t now_us)
{
    struct presence presence = {.addr = agent->frames.addr};

    agent->store = object_store_new(agent->loop.base, agent->settings.store);
    if (agent->store == NULL) {
        return -ENOMEM;
    }
    g_strlcpy(presence.service, agent->settings.service,
              sizeof(presence.service));
    g_strlcpy(presence.data_centre, agent->settings.data_centre,
              sizeof(presence.data_centre));
    presence_writer_init(&agent->presence, agent->store, &presence, now_us);
    return 0;
}

static int
start(struct relay_agent *agent, const char *path, struct error *err)
{
    int ret;

    agent->out.ops = &out_ops;
    agent->frames.fd = agent->outbound.fd = -1;
    if (loop_init(&agent->loop, &loop_ops) < 0) {
        return error_set(err, -ENOMEM, "start", NULL, "no event loop");
    }
    agent->started_us = loop_now_us(&agent->loop);
    settings_file_init(&agent->file, path, RELAY_AGENT, agent->started_us);
    event_log_init(&agent->log, &agent->loop.clock, agent->settings.name,
                   STDOUT_FILENO, agent->settings.log_per_s);
    ret = start_sockets(agent, err);
    if (ret < 0) {
        return ret;
    }
    if (door_init(&agent->door, &agent->out, agent->frames.addr,
                  agent->settings.service) < 0 ||
        start_presence(agent, agent->started_us) < 0) {
        return error_set(err, -ENOMEM, "start", NULL, "no memory");
    }
    take_peers(agent);
    event_log_line(&agent->log, EVENT_RARE, "started",
                   "role=agent data_centre=%s service=%s",
                   agent->settings.data_centre, agent->settings.service);
    return 0;
}

static void
finish(struct relay_agent *agent)
{
    if (agent->store != NULL) {
        agent->store->ops->free(agent->store);
    }
    httpd_free(agent->ready);
    httpd_free(agent->metrics);
    httpd_free(agent->heartbeats);
    dgram_finish(&agent->frames);
    dgram_finish(&agent->outbound);
    door_finish(&agent->door);
    loop_finish(&agent->loop);
}

static int
load_settings(struct relay_agent *agent, const char *path)
{
    struct error err = {0};
    char line[512];
    char *report;

    if (relay_settings_load(&agent->settings, RELAY_AGENT, path, &report,
                            &err) == 0) {
        return 0;
    }
    fprintf(stderr, "%s\n",
            report != NULL ? report : error_format(&err, line, sizeof(line)));
    g_free(report);
    return -EINVAL;
}

int
relay_agent_run(const char *settings_path)
{
    struct relay_agent *agent = g_new0(struct relay_agent, 1);
    struct error err = {0};
    char line[512];
    int code = EXIT_STOPPED;

    if (load_settings(agent, settings_path) < 0) {
        g_free(agent);
        return EXIT_SETTINGS;
    }
    if (start(agent, settings_path, &err) < 0) {
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
        code = EXIT_ERROR;
    }
    else {
        loop_run(&agent->loop);
        event_log_line(&agent->log, EVENT_RARE, "stopped", "flows=%" PRIu64,
                       agent->counts.placed);
        event_log_flush(&agent->log);
    }
    finish(agent);
    g_free(agent);
    return code;
}
