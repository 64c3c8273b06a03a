#include "relay/program/relay_state.h"

#include <stdio.h>

#include "base/clock.h"

static const char *const state_names[] = {
    [ENDPOINT_UNKNOWN] = "unknown",   [ENDPOINT_READY] = "ready",
    [ENDPOINT_DRAINING] = "draining", [ENDPOINT_GONE] = "gone",
    [ENDPOINT_SILENT] = "silent",
};

static void
add_text(struct json_object *json, const char *key, const char *text)
{
    json_object_object_add(json, key, json_object_new_string(text));
}

static void
add_number(struct json_object *json, const char *key, uint64_t number)
{
    json_object_object_add(json, key, json_object_new_int64((int64_t)number));
}

static const char *const level_names[] = {
    [ENDPOINT_LEVEL_NORMAL] = "normal",
    [ENDPOINT_LEVEL_REDUCED] = "reduced",
    [ENDPOINT_LEVEL_TRIAL] = "trial",
};

static const char *const cause_names[] = {
    [ENDPOINT_LEVEL_WELL] = "well",
    [ENDPOINT_LEVEL_SLOW] = "slow",
    [ENDPOINT_LEVEL_REJECTS] = "rejects",
    [ENDPOINT_LEVEL_STUCK] = "stuck",
};

const char *
relay_state_level_name(enum endpoint_level_kind kind)
{
    return level_names[kind];
}

const char *
relay_state_cause_name(enum endpoint_level_cause cause)
{
    return cause_names[cause];
}

/* Adds what the agent reports of its endpoint's load, and the level that
 * follows from it. */
static void
add_load(struct json_object *json, const struct agents *agents,
         const struct agent_row *row, uint64_t now_us)
{
    const struct frame_load *load = &row->health.load;

    add_number(json, "service_time_us",
               (unsigned)load->service_time * FRAME_SERVICE_TIME_UNIT_US);
    add_number(json, "stuck", load->stuck);
    add_number(json, "flows", load->flows);
    add_number(json, "expected_wait_us", agents_wait_us(agents, row, now_us));
    add_text(json, "level", level_names[row->level.kind]);
    add_text(json, "level_cause", cause_names[row->level.cause]);
    add_number(json, "level_ms",
               row->level.since_us != 0
                   ? (now_us - row->level.since_us) / USEC_PER_MSEC
                   : 0);
}

static struct json_object *
agent_json(const struct agents *agents, const struct agent_row *row,
           uint64_t now_us)
{
    struct json_object *json = json_object_new_object();
    char text[ADDR_TEXT_MAX];

    add_text(json, "address", addr_format(row->addr, text));
    snprintf(text, sizeof(text), "%08x", row->health.service);
    add_text(json, "service", text);
    add_text(json, "data_centre", row->data_centre);
    add_text(json, "endpoint", state_names[row->health.state]);
    add_text(json, "health",
             row->suspect         ? "suspect"
             : row->heard_us == 0 ? "unheard"
                                  : "alive");
    json_object_object_add(json, "evacuated",
                           json_object_new_boolean(row->evacuated));
    add_number(json, "busy", row->health.busy);
    add_number(json, "slots", row->health.slots);
    if (row->health.load.known) {
        add_load(json, agents, row, now_us);
    }
    return json;
}

struct json_object *
relay_state_balancer(const struct relay_settings *settings,
                     const struct forwarder *forwarder, uint64_t now_us)
{
    struct json_object *json = json_object_new_object();
    struct json_object *agents = json_object_new_array();

    add_text(json, "role", "balancer");
    add_text(json, "name", settings->name);
    add_text(json, "data_centre", settings->data_centre);
    add_number(json, "version", forwarder->routes.version);
    add_number(json, "routes", forwarder->routes.count);
    add_number(json, "learned", forwarder->learned.count);
    add_number(json, "flows", forwarder->flows.used);
    add_number(json, "store_era", forwarder->agents.store.latest.epoch);
    add_number(json, "evacuations", forwarder->agents.store.latest.count);
    add_number(json, "evacuations_revision",
               forwarder->agents.store.latest.revision);
    for (size_t i = 0; i < agents_count(&forwarder->agents); i++) {
        json_object_array_add(
            agents, agent_json(&forwarder->agents,
                               agents_at(&forwarder->agents, i), now_us));
    }
    json_object_object_add(json, "agents", agents);
    return json;
}

static struct json_object *
limit_json(const struct limits *limits, unsigned index, uint64_t now_us)
{
    const struct limits_rule *rule = &limits->policy.rules[index];
    const struct limits_state *state = &limits->states[index];
    struct json_object *json = json_object_new_object();

    add_text(json, "name", rule->name);
    add_text(json, "target", rule->target);
    add_text(json, "by", rule->by);
    add_text(json, "why", rule->why);
    json_object_object_add(
        json, "in_force",
        json_object_new_boolean(limits_in_force(limits, index, now_us)));
    add_number(json, "since_s", (now_us - state->since_us) / USEC_PER_SEC);
    add_number(json, "allowed", state->allowed);
    add_number(json, "refused", state->refused);
    return json;
}

void
relay_state_add_limits(struct json_object *json, const struct limits *limits,
                       bool read, uint64_t now_us)
{
    struct json_object *list = json_object_new_array();

    for (unsigned i = 0; i < limits->policy.count; i++) {
        json_object_array_add(list, limit_json(limits, i, now_us));
    }
    json_object_object_add(json, "limits_read", json_object_new_boolean(read));
    add_number(json, "limits_revision", limits->revision);
    json_object_object_add(json, "limits", list);
}

struct json_object *
relay_state_agent(const struct relay_settings *settings,
                  const struct admission *admission)
{
    struct json_object *json = json_object_new_object();

    add_text(json, "role", "agent");
    add_text(json, "name", settings->name);
    add_text(json, "data_centre", settings->data_centre);
    add_text(json, "service", settings->service);
    add_text(json, "endpoint", state_names[admission->endpoint.state]);
    add_text(json, "start", admission->endpoint.incarnations[0].id);
    add_number(json, "busy", admission->busy_count);
    add_number(json, "slots", admission->endpoint.slots);
    add_number(json, "held", admission->queue_count);
    if (admission->engaged) {
        add_number(json, "held_requests", admission->scheduler.held_count);
        add_number(json, "limit", admission->scheduler.limit);
    }
    add_number(json, "flows", admission->table.used);
    json_object_object_add(
        json, "evacuated",
        json_object_new_boolean(admission_is_evacuated(admission)));
    add_number(json, "store_era", admission->store.latest.epoch);
    /* The newest version that any balancer has advertised. */
    add_number(json, "version", admission->heard.version);
    return json;
}

void
relay_state_respond(struct httpd_request *request, struct json_object *json)
{
    size_t len;
    const char *text =
        json_object_to_json_string_length(json, JSON_C_TO_STRING_PLAIN, &len);

    httpd_respond(request, 200, "application/json", text, len);
    json_object_put(json);
}
