#include "relay/program/relay_agent_private.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/container.h"
#include "relay/program/relay_explain.h"
#include "relay/program/relay_state.h"
#include "platform/heartbeat_format.h"

static int
on_heartbeat_request(struct httpd_handler *handler,
                     struct httpd_request *request)
{
    struct relay_agent *agent =
        container_of(handler, struct relay_agent, heartbeat_handler);
    const char *method = httpd_request_method(request);
    const char *id = heartbeat_format_id(httpd_request_path(request));
    size_t len;
    const char *body = httpd_request_body(request, &len);
    int status = 405;

    if (id == NULL) {
        status = 404;
    }
    else if (strcmp(method, "PUT") == 0) {
        status = relay_agent_heartbeat(agent, id, body, len);
    }
    else if (strcmp(method, "DELETE") == 0) {
        status = relay_agent_goodbye(agent, id, body, len);
    }
    httpd_respond(request, status, "application/json", HEARTBEAT_FORMAT_ACK,
                  strlen(HEARTBEAT_FORMAT_ACK));
    (void)relay_agent_records_tick(agent, loop_now_us(&agent->loop));
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
        "swiftarch_goodbyes_refused_total %" PRIu64 "\n"
        "swiftarch_flows_placed_total %" PRIu64 "\n"
        "swiftarch_flows_held_total %" PRIu64 "\n"
        "swiftarch_flows_held %u\n"
        "swiftarch_flows_reset_total %" PRIu64 "\n"
        "swiftarch_lost_rounds_answered_total %" PRIu64 "\n"
        "swiftarch_requests_in_progress %u\n"
        "swiftarch_flows %u\n"
        "swiftarch_endpoint_state %d\n"
        "swiftarch_log_lines_left_out_total %" PRIu64 "\n",
        agent->counts.to_endpoint, agent->counts.to_caller,
        agent->counts.frames_in, agent->counts.frames_forwarded,
        agent->counts.heartbeats, agent->counts.refused_goodbyes,
        agent->counts.established, agent->counts.queued,
        agent->admission.queue_count, agent->counts.resets,
        agent->counts.orphan_queries, agent->admission.busy_count,
        agent->admission.table.used, (int)agent->admission.endpoint.state,
        agent->log.dropped_total);
    for (size_t i = 0; i < HEARTBEAT_ACCEPTED; i++) {
        g_string_append_printf(
            text,
            "swiftarch_heartbeats_refused_total{reason=\"%s\"} %" PRIu64 "\n",
            relay_agent_refusal_names[i], agent->counts.refused_heartbeats[i]);
    }
    for (size_t i = 1; i <= FRAME_REASON_MAX; i++) {
        g_string_append_printf(
            text, "swiftarch_flows_passed_total{reason=\"%s\"} %" PRIu64 "\n",
            relay_agent_reason_names[i], agent->counts.redirected[i]);
    }
    for (size_t i = 0; i < ADMISSION_DROP_COUNT; i++) {
        g_string_append_printf(
            text, "swiftarch_dropped_total{reason=\"%s\"} %" PRIu64 "\n",
            relay_agent_drop_names[i], agent->counts.dropped[i]);
    }
    relay_agent_schedule_metrics(agent, text);
    relay_agent_records_metrics(agent, text);
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
        struct json_object *state =
            relay_state_agent(&agent->settings, &agent->admission);

        relay_agent_records_state(agent, state);
        relay_state_respond(request, state);
    }
    else if (strcmp(path, RELAY_EXPLAIN_PATH) == 0) {
        relay_explain_agent(request, &agent->admission,
                            loop_now_us(&agent->loop));
    }
    else {
        httpd_respond(request, 404, "application/json", "{}", 2);
    }
    return 0;
}

const struct httpd_ops relay_agent_heartbeat_ops = {on_heartbeat_request};
const struct httpd_ops relay_agent_ready_ops = {on_ready_request};
