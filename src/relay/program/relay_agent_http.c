#include "relay/program/relay_agent_private.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/container.h"
#include "base/hash.h"
#include "relay/program/relay_explain.h"
#include "relay/program/relay_state.h"
#include "platform/heartbeat_format.h"

/**
 * struct known_endpoint - what was known before a message of an endpoint
 * @state: the endpoint's state
 * @current: its current incarnation; with an empty id if there was none
 */
struct known_endpoint {
    enum endpoint_state state;
    struct endpoint_incarnation current;
};

static struct known_endpoint
known_endpoint_of(const struct relay_agent *agent)
{
    const struct endpoint *endpoint = &agent->admission.endpoint;

    return (struct known_endpoint){
        .state = endpoint->state,
        .current = endpoint->incarnations[0],
    };
}

/* Logs the state and the incarnation if a message has changed one of them.
 * @address: the endpoint's address in the message, all 0 if it has none */
static void
log_change(struct relay_agent *agent, const char *cause, struct addr address,
           const struct known_endpoint *before)
{
    const struct endpoint *endpoint = &agent->admission.endpoint;
    const struct endpoint_incarnation *current = &endpoint->incarnations[0];
    const struct endpoint_incarnation *earlier = &before->current;
    char text[ADDR_TEXT_MAX];

    if (endpoint->state == before->state &&
        strcmp(current->id, earlier->id) == 0 &&
        current->started_ms == earlier->started_ms) {
        return;
    }
    event_log_write(
        &agent->log, EVENT_UNLIMITED, "endpoint",
        "id=%s started_ms=%" PRIu64
        " state=%s slots=%u busy=%u cause=%s address=%s sequence=%" PRIu64
        " complete=%d since_start_us=%" PRIu64
        " before=%s before_started_ms=%" PRIu64
        " before_state=%s before_sequence=%" PRIu64,
        current->id, current->started_ms,
        relay_agent_state_names[endpoint->state], endpoint->slots,
        agent->admission.busy_count, cause, addr_format(address, text),
        current->sequence, endpoint_is_complete(endpoint),
        loop_now_us(&agent->loop) - agent->started_us,
        earlier->id[0] != '\0' ? earlier->id : "-", earlier->started_ms,
        relay_agent_state_names[before->state], earlier->sequence);
}

/* Names in metrics and log lines. */
static const char *const refusal_names[] = {
    [HEARTBEAT_REFUSED_NO_JSON] = "no_json",
    [HEARTBEAT_REFUSED_NO_SERVICE] = "no_service",
    [HEARTBEAT_REFUSED_NO_STATE] = "no_state",
    [HEARTBEAT_REFUSED_WRONG_FIELD] = "wrong_field",
    [HEARTBEAT_REFUSED_OTHER_SERVICE] = "other_service",
    [HEARTBEAT_REFUSED_STALE] = "earlier_start",
};

static const enum heartbeat_refusal refusal_by_fault[] = {
    [HEARTBEAT_FORMAT_NOT_JSON] = HEARTBEAT_REFUSED_NO_JSON,
    [HEARTBEAT_FORMAT_SERVICE] = HEARTBEAT_REFUSED_NO_SERVICE,
    [HEARTBEAT_FORMAT_STATE] = HEARTBEAT_REFUSED_NO_STATE,
    [HEARTBEAT_FORMAT_FIELD] = HEARTBEAT_REFUSED_WRONG_FIELD,
};

/* Counts a refused heartbeat, and logs it when the reason differs from that of
 * the previous heartbeat. */
static void
record_refusal(struct relay_agent *agent, enum heartbeat_refusal why,
               const struct error *err)
{
    char line[512];

    agent->counts.refused_heartbeats[why]++;
    if (agent->last_refusal == why) {
        return;
    }
    agent->last_refusal = why;
    event_log_write(&agent->log, EVENT_UNLIMITED, "heartbeat_refused",
                    "cause=%s reason=\"%s\"", refusal_names[why],
                    error_format(err, line, sizeof(line)));
}

static int
handle_heartbeat(struct relay_agent *agent, const char *id,
                 struct httpd_request *request)
{
    struct known_endpoint before = known_endpoint_of(agent);
    enum heartbeat_format_fault fault;
    struct heartbeat heartbeat;
    struct error err = {0};
    size_t len;
    const char *body = httpd_request_body(request, &len);

    if (heartbeat_format_decode(id, body, len, &heartbeat, &fault, &err) < 0) {
        record_refusal(agent, refusal_by_fault[fault], &err);
        return 400;
    }
    if (heartbeat.service != hash_service(agent->settings.service)) {
        error_set(&err, -EINVAL, "accept a heartbeat", id,
                  "its service is not %s", agent->settings.service);
        record_refusal(agent, HEARTBEAT_REFUSED_OTHER_SERVICE, &err);
        return 400;
    }
    if (!admission_handle_heartbeat(&agent->admission, &heartbeat,
                                    loop_now_us(&agent->loop))) {
        error_set(&err, -EINVAL, "accept a heartbeat", id,
                  "it is of an earlier incarnation of the endpoint");
        record_refusal(agent, HEARTBEAT_REFUSED_STALE, &err);
        return 503;
    }
    agent->counts.heartbeats++;
    agent->last_refusal = HEARTBEAT_ACCEPTED;
    log_change(agent, "heartbeat", heartbeat.address, &before);
    return 200;
}

static int
handle_goodbye(struct relay_agent *agent, const char *id,
               struct httpd_request *request)
{
    struct known_endpoint before = known_endpoint_of(agent);
    size_t len;
    const char *body = httpd_request_body(request, &len);

    admission_endpoint_left(&agent->admission, id,
                            heartbeat_format_goodbye_decode(body, len),
                            loop_now_us(&agent->loop));
    log_change(agent, "goodbye", (struct addr){0}, &before);
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
        status = handle_heartbeat(agent, id, request);
    }
    else if (strcmp(method, "DELETE") == 0) {
        status = handle_goodbye(agent, id, request);
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
        agent->counts.heartbeats, agent->counts.established,
        agent->counts.queued, agent->admission.queue_count,
        agent->counts.resets, agent->counts.orphan_queries,
        agent->admission.busy_count, agent->admission.table.used,
        (int)agent->admission.endpoint.state, agent->log.dropped_total);
    for (size_t i = 0; i < HEARTBEAT_ACCEPTED; i++) {
        g_string_append_printf(
            text,
            "swiftarch_heartbeats_refused_total{reason=\"%s\"} %" PRIu64 "\n",
            refusal_names[i], agent->counts.refused_heartbeats[i]);
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
