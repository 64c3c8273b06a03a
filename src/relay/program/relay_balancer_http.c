#include "relay/program/relay_balancer_private.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "base/container.h"
#include "relay/program/relay_explain.h"
#include "relay/program/relay_state.h"

static void
append_reads(GString *text, const char *kind, const struct watcher *watcher)
{
    static const char *const ages[] = {
        [STORE_READ_LATEST] = "latest",
        [STORE_READ_STALE] = "any",
    };

    for (unsigned i = 0; i < STORE_READ_COUNT; i++) {
        g_string_append_printf(text,
                               "swiftarch_store_reads_total"
                               "{kind=\"%s\",age=\"%s\"} %" PRIu64 "\n",
                               kind, ages[i], watcher->calls[i]);
    }
}

/* Counters of the limits that have been read, at most LIMITS_MAX. */
static void
append_limits(GString *text, const struct limits *limits)
{
    for (unsigned i = 0; i < limits->policy.count; i++) {
        const char *name = limits->policy.rules[i].name;

        g_string_append_printf(
            text,
            "swiftarch_limit_flows_total{limit=\"%s\",result=\"allowed\"} "
            "%" PRIu64 "\n"
            "swiftarch_limit_flows_total{limit=\"%s\",result=\"refused\"} "
            "%" PRIu64 "\n",
            name, limits->states[i].allowed, name, limits->states[i].refused);
    }
}

static void
respond_state(struct relay_balancer *balancer, struct httpd_request *request)
{
    struct json_object *json =
        relay_state_balancer(&balancer->settings, &balancer->forwarder,
                             loop_now_us(&balancer->loop));

    if (balancer->settings.limits) {
        relay_state_add_limits(json, &balancer->limits, balancer->limits_read,
                               loop_now_us(&balancer->loop));
    }
    relay_state_respond(request, json);
}

static void
respond_metrics(struct relay_balancer *balancer, struct httpd_request *request)
{
    GString *text = g_string_new(NULL);
    const struct forwarder *forwarder = &balancer->forwarder;

    g_string_append_printf(
        text,
        "swiftarch_packets_total %" PRIu64 "\n"
        "swiftarch_frames_sent_total %" PRIu64 "\n"
        "swiftarch_flows_opened_total %" PRIu64 "\n"
        "swiftarch_flows_tried_again_total %" PRIu64 "\n"
        "swiftarch_flows_placed_total %" PRIu64 "\n"
        "swiftarch_searches_total %" PRIu64 "\n"
        "swiftarch_pings_total %" PRIu64 "\n"
        "swiftarch_flows_reset_total %" PRIu64 "\n"
        "swiftarch_lost_questions_total %" PRIu64 "\n"
        "swiftarch_flows %u\n"
        "swiftarch_agents %zu\n"
        "swiftarch_config_version %" PRIu64 "\n"
        "swiftarch_store_era %u\n"
        "swiftarch_agent_objects_refused_total %" PRIu64 "\n"
        "swiftarch_log_lines_left_out_total %" PRIu64 "\n",
        balancer->counts.packets, balancer->counts.frames_out,
        balancer->counts.opened, balancer->counts.flows_retried,
        balancer->counts.established, balancer->counts.lookups_started,
        balancer->counts.pings, balancer->counts.resets,
        balancer->counts.orphan_queries, forwarder->flows.used,
        agents_count(&forwarder->agents), forwarder->routes.version,
        forwarder->agents.store.latest.epoch,
        balancer->counts.agent_objects_refused, balancer->log.dropped_total);
    for (size_t i = 0; i < FORWARDER_DROP_COUNT; i++) {
        g_string_append_printf(
            text, "swiftarch_dropped_total{reason=\"%s\"} %" PRIu64 "\n",
            relay_balancer_drop_names[i], balancer->counts.dropped[i]);
    }
    for (size_t i = 0; i < ENDPOINT_LEVEL_COUNT; i++) {
        g_string_append_printf(
            text, "swiftarch_level_changes_total{level=\"%s\"} %" PRIu64 "\n",
            relay_state_level_name((enum endpoint_level_kind)i),
            balancer->counts.levels[i]);
    }
    if (forwarder->overload != NULL) {
        relay_pressure_metrics(forwarder->overload, text);
    }
    append_reads(text, "config", &balancer->config_watcher);
    append_reads(text, "agents", &balancer->agents_watcher);
    if (balancer->settings.limits) {
        append_reads(text, "limits", &balancer->limits_watcher);
        append_limits(text, &balancer->limits);
    }
    g_string_append_printf(text, "swiftarch_store_reader %d\n",
                           balancer->reader.reading);
    httpd_respond(request, 200, "text/plain; version=0.0.4", text->str,
                  text->len);
    g_string_free(text, TRUE);
}

static int
on_ready_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct relay_balancer *balancer =
        container_of(handler, struct relay_balancer, ready_handler);
    const char *path = httpd_request_path(request);
    bool ready =
        balancer->stop_us == 0 && forwarder_ready(&balancer->forwarder);

    if (strcmp(path, "/ready") == 0) {
        httpd_respond(request, ready ? 200 : 503, "application/json", "{}", 2);
    }
    else if (strcmp(path, "/metrics") == 0) {
        respond_metrics(balancer, request);
    }
    else if (strcmp(path, RELAY_STATE_PATH) == 0) {
        respond_state(balancer, request);
    }
    else if (strcmp(path, RELAY_PRESSURE_PATH) == 0) {
        relay_state_respond(request,
                            relay_pressure_json(balancer->forwarder.overload,
                                                loop_now_us(&balancer->loop)));
    }
    else if (strcmp(path, RELAY_EXPLAIN_PATH) == 0) {
        relay_explain_balancer(request, &balancer->forwarder,
                               balancer->settings.limits ? &balancer->limits
                                                         : NULL,
                               loop_now_us(&balancer->loop));
    }
    else {
        httpd_respond(request, 404, "application/json", "{}", 2);
    }
    return 0;
}

static int
on_config_peer_request(struct httpd_handler *handler,
                       struct httpd_request *request)
{
    struct relay_balancer *balancer =
        container_of(handler, struct relay_balancer, config_peer_handler);
    struct json_object *json;
    const char *text;
    bool config_only;
    size_t len;

    if (strcmp(httpd_request_path(request), CONFIG_PEER_PATH) != 0) {
        httpd_respond(request, 404, "application/json", "{}", 2);
        return 0;
    }
    config_only =
        httpd_request_query(request, CONFIG_PEER_CONFIG_ONLY) != NULL;
    json = config_peer_encode(
        balancer->config, config_only ? NULL : &balancer->forwarder.agents);
    text =
        json_object_to_json_string_length(json, JSON_C_TO_STRING_PLAIN, &len);
    httpd_respond(request, 200, "application/json", text, len);
    json_object_put(json);
    return 0;
}

const struct httpd_ops relay_balancer_ready_ops = {on_ready_request};
const struct httpd_ops relay_balancer_config_peer_httpd_ops = {
    on_config_peer_request};
