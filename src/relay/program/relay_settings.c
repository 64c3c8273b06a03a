#include "relay/program/relay_settings.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/json_file.h"

/* The platform allows 6 s for a planned stop. */
#define STOP_DEFAULT_MS 5000
#define STOP_MAX_MS 600000
#define HEARTBEAT_DEFAULT_MS 1200
#define HEARTBEAT_MIN_MS 50
#define HEARTBEAT_MAX_MS 60000

/* Limits the processor time that logging takes on the smallest host. */
#define LOG_DEFAULT_PER_S 60
#define LOG_MAX_PER_S 100000
#define PORT_MAX 65535

/* Upper limits, beyond the request rate of any endpoint. */
#define SLOW_START_OVER_MAX 1000
#define SLOW_START_SLACK_MAX 65535

#define BIT(role) (1u << (role))
#define BALANCER BIT(RELAY_BALANCER)
#define AGENT BIT(RELAY_AGENT)
#define BOTH (BALANCER | AGENT)
#define FIELD(member) JSON_FILE_FIELD(struct relay_settings, member)

static const char *const role_names[] = {"a relay balancer", "a relay agent"};

static void
read_peers(struct json_file *json_file, const struct json_key_rule *rule,
           json_object *value, void *field)
{
    const char *expected = "an array of at most 8 addresses such as "
                           "[\"127.0.0.1:4000\"]";
    struct relay_settings *settings =
        (struct relay_settings *)((char *)field - rule->offset);
    size_t count = 0;

    if (json_object_is_type(value, json_type_array)) {
        count = json_object_array_length(value);
    }
    else {
        json_file_fault_value(json_file, rule->name, value, expected);
    }
    if (count > RELAY_PEERS_MAX) {
        json_file_fault_value(json_file, rule->name, value, expected);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        json_object *item = json_object_array_get_idx(value, i);

        if (!json_object_is_type(item, json_type_string) ||
            addr_parse(json_object_get_string(item), &settings->peers[i]) <
                0) {
            json_file_fault_value(json_file, rule->name, value, expected);
            return;
        }
        settings->peer_count = i + 1;
    }
}

static void
read_regions(struct json_file *json_file, const struct json_key_rule *rule,
             json_object *value, void *field)
{
    const char *expected = "an object of at most 64 data centres such as "
                           "{\"north\": \"coast\"}";
    struct regions *regions = field;

    if (!json_object_is_type(value, json_type_object) ||
        json_object_object_length(value) > REGIONS_MAX) {
        json_file_fault_value(json_file, rule->name, value, expected);
        return;
    }
    json_object_object_foreach(value, data_centre, region)
    {
        if (!json_object_is_type(region, json_type_string)) {
            json_file_fault_value(json_file, rule->name, value, expected);
            return;
        }
        regions->items[regions->count++] =
            (struct region){evacuations_key(data_centre),
                            region_key(json_object_get_string(region))};
    }
}

static const struct json_key_rule rules[] = {
    {"name", BOTH, BOTH, json_file_read_name, FIELD(name)},
    {"data_centre", BOTH, BOTH, json_file_read_name, FIELD(data_centre)},
    {"data", BOTH, BOTH, json_file_read_addr, FIELD(data)},
    {"frames", BALANCER, BALANCER, json_file_read_addr, FIELD(frames)},
    {"ready", BOTH, BOTH, json_file_read_addr, FIELD(ready)},
    {"metrics", 0, BOTH, json_file_read_addr, FIELD(metrics)},
    {"share", BALANCER, BALANCER, json_file_read_addr, FIELD(config_peer)},
    {"upstream", AGENT, AGENT, json_file_read_addr, FIELD(upstream)},
    {"outbound", AGENT, AGENT, json_file_read_addr, FIELD(outbound)},
    {"heartbeats", AGENT, AGENT, json_file_read_addr, FIELD(heartbeats)},
    {"heartbeat_ms", 0, AGENT, json_file_read_unsigned, FIELD(heartbeat_ms),
     .min = HEARTBEAT_MIN_MS, .max = HEARTBEAT_MAX_MS},
    {"service", AGENT, AGENT, json_file_read_string, FIELD(service)},
    {"callers_port", 0, AGENT, json_file_read_unsigned, FIELD(callers_port),
     .min = 1, .max = PORT_MAX},
    {"frames_port", 0, AGENT, json_file_read_unsigned, FIELD(frames_port),
     .min = 1, .max = PORT_MAX},
    {"store", BOTH, BOTH, json_file_read_addr, FIELD(store)},
    {"peers", 0, BOTH, read_peers, FIELD(peers)},
    {"regions", 0, BALANCER, read_regions, FIELD(regions)},
    {"evacuations", 0, BALANCER, json_file_read_bool, FIELD(evacuations)},
    {"warming_over", 0, BALANCER, json_file_read_double,
     FIELD(slow_start.over), .min = 0, .max = SLOW_START_OVER_MAX},
    {"warming_slack", 0, BALANCER, json_file_read_unsigned,
     FIELD(slow_start.slack), .min = 0, .max = SLOW_START_SLACK_MAX},
    {"scheduling", 0, AGENT, json_file_read_bool, FIELD(scheduling)},
    {"flow_records", 0, AGENT, json_file_read_bool, FIELD(flow_records)},
    {"overload", 0, BALANCER, json_file_read_bool, FIELD(overload)},
    {"caller_prefix_bits", 0, BALANCER, json_file_read_unsigned,
     FIELD(caller_prefix_bits), .min = 1, .max = CALLER_SHARES_PREFIX_MAX},
    {"expected_wait", 0, BALANCER, json_file_read_bool, FIELD(expected_wait)},
    {"limits", 0, BALANCER, json_file_read_bool, FIELD(limits)},
    {"stop_ms", 0, BOTH, json_file_read_unsigned, FIELD(stop_ms), .min = 0,
     .max = STOP_MAX_MS},
    {"log_per_s", 0, BOTH, json_file_read_unsigned, FIELD(log_per_s), .min = 0,
     .max = LOG_MAX_PER_S},
};

int
relay_settings_load(struct relay_settings *settings, enum relay_role role,
                    const char *path, char **report, struct error *err)
{
    struct json_file json_file;
    int ret;

    memset(settings, 0, sizeof(*settings));
    settings->evacuations = true;
    settings->slow_start.over = 1;
    settings->heartbeat_ms = HEARTBEAT_DEFAULT_MS;
    settings->caller_prefix_bits = CALLER_SHARES_PREFIX_MAX;
    settings->stop_ms = STOP_DEFAULT_MS;
    settings->log_per_s = LOG_DEFAULT_PER_S;
    *report = NULL;
    ret = json_file_open(&json_file, path, BIT(role), role_names[role], err);
    if (ret < 0) {
        return ret;
    }
    if (json_file.root != NULL) {
        json_file_read(&json_file, json_file.root, rules, G_N_ELEMENTS(rules),
                       settings);
    }
    for (size_t i = 0; settings->frames_port != 0 && i < settings->peer_count;
         i++) {
        settings->peers[i].port = (uint16_t)settings->frames_port;
    }
    if (settings->callers_port == 0) {
        settings->callers_port = settings->data.port;
    }
    return json_file_close(&json_file, report, err);
}

int
relay_settings_read(struct relay_settings *settings, enum relay_role role,
                    const char *path)
{
    struct error err = {0};
    char line[512];
    char *report;
    int ret = relay_settings_load(settings, role, path, &report, &err);

    if (ret < 0) {
        fprintf(stderr, "%s\n",
                report != NULL ? report
                               : error_format(&err, line, sizeof(line)));
    }
    g_free(report);
    return ret;
}
