#include "relay/relay_agent_private.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/container.h"
#include "relay/relay_explain.h"
#include "relay/relay_state.h"
#include "platform/heartbeat_format.h"

static void
log_endpoint(struct relay_agent *agent, const char *id, const char *cause)
{
    event_log_line(&agent->log, EVENT_RARE, "endpoint",
                   "id=%s state=%s slots=%u busy=%u cause=%s", id,
                   relay_agent_state_names[agent->door.endpoint.state],
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
    relay_agent_flush(agent);
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
            relay_agent_reason_names[i], agent->counts.passed[i]);
    }
    for (size_t i = 0; i < DOOR_DROP_COUNT; i++) {
        g_string_append_printf(
            text, "swiftarch_dropped_total{reason=\"%s\"} %" PRIu64 "\n",
            relay_agent_drop_names[i], agent->counts.dropped[i]);
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
    else if (strcmp(path, RELAY_STATE_PATH) == 0) {
        relay_state_respond(request,
                            relay_state_agent(&agent->settings, &agent->door));
    }
    else if (strcmp(path, RELAY_EXPLAIN_PATH) == 0) {
        relay_explain_agent(request, &agent->door);
    }
    else {
        httpd_respond(request, 404, "application/json", "{}", 2);
    }
    return 0;
}

const struct httpd_ops relay_agent_heartbeat_ops = {on_heartbeat_request};
const struct httpd_ops relay_agent_ready_ops = {on_ready_request};
