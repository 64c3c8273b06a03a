/* What the endpoint reports: heartbeats and goodbyes. */
#include "relay/program/relay_agent_private.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "base/hash.h"
#include "platform/heartbeat_format.h"

#define STEP "accept a heartbeat"

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
const char *const relay_agent_refusal_names[] = {
    [HEARTBEAT_REFUSED_NO_JSON] = "no_json",
    [HEARTBEAT_REFUSED_NO_SERVICE] = "no_service",
    [HEARTBEAT_REFUSED_NO_STATE] = "no_state",
    [HEARTBEAT_REFUSED_WRONG_FIELD] = "wrong_field",
    [HEARTBEAT_REFUSED_OTHER_SERVICE] = "other_service",
    [HEARTBEAT_REFUSED_OTHER_ADDRESS] = "other_address",
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
                    "cause=%s reason=\"%s\"", relay_agent_refusal_names[why],
                    error_format(err, line, sizeof(line)));
}

/* Whether a heartbeat is of the endpoint beside this agent: another one's says
 * nothing about it. */
static bool
is_of_own_endpoint(struct relay_agent *agent,
                   const struct heartbeat *heartbeat)
{
    const struct relay_settings *settings = &agent->settings;
    struct error err = {0};
    char address[ADDR_TEXT_MAX];

    if (heartbeat->service != hash_service(settings->service)) {
        error_set(&err, -EINVAL, STEP, heartbeat->id, "its service is not %s",
                  settings->service);
        record_refusal(agent, HEARTBEAT_REFUSED_OTHER_SERVICE, &err);
        return false;
    }
    if (!addr_equal(heartbeat->address, settings->upstream)) {
        error_set(&err, -EINVAL, STEP, heartbeat->id,
                  "its address %s is another endpoint's",
                  addr_format(heartbeat->address, address));
        record_refusal(agent, HEARTBEAT_REFUSED_OTHER_ADDRESS, &err);
        return false;
    }
    return true;
}

int
relay_agent_heartbeat(struct relay_agent *agent, const char *id,
                      const char *body, size_t len)
{
    struct known_endpoint before = known_endpoint_of(agent);
    enum heartbeat_format_fault fault;
    struct heartbeat heartbeat;
    struct error err = {0};

    if (heartbeat_format_decode(id, body, len, &heartbeat, &fault, &err) < 0) {
        record_refusal(agent, refusal_by_fault[fault], &err);
        return 400;
    }
    if (!is_of_own_endpoint(agent, &heartbeat)) {
        return 400;
    }
    if (!admission_handle_heartbeat(&agent->admission, &heartbeat,
                                    loop_now_us(&agent->loop))) {
        error_set(&err, -EINVAL, STEP, id,
                  "it is of an earlier incarnation of the endpoint");
        record_refusal(agent, HEARTBEAT_REFUSED_STALE, &err);
        return 503;
    }
    agent->counts.heartbeats++;
    agent->last_refusal = HEARTBEAT_ACCEPTED;
    log_change(agent, "heartbeat", heartbeat.address, &before);
    return 200;
}

int
relay_agent_goodbye(struct relay_agent *agent, const char *id,
                    const char *body, size_t len)
{
    struct known_endpoint before = known_endpoint_of(agent);
    struct error err = {0};
    uint64_t started_ms;
    char line[512];

    if (heartbeat_format_goodbye_decode(id, body, len, &started_ms, &err) <
        0) {
        agent->counts.refused_goodbyes++;
        event_log_write(&agent->log, EVENT_RATE_LIMITED, "goodbye_refused",
                        "reason=\"%s\"",
                        error_format(&err, line, sizeof(line)));
        return 400;
    }
    admission_endpoint_left(&agent->admission, id, started_ms,
                            loop_now_us(&agent->loop));
    log_change(agent, "goodbye", (struct addr){0}, &before);
    return 200;
}
