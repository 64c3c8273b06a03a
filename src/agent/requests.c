#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/requests.h"

#include <errno.h>
#include <string.h>

#include "agent/actions.h"
#include "agent/answer.h"
#include "agent/program.h"
#include "agent/request.h"
#include "base/hash.h"
#include "base/log.h"

#define ID_SALT_SHIFT 32
#define UNSERVED_RETRY_MS 1000
#define KEEP_AFTER_DEADLINE_US (60 * USEC_PER_SEC)

/** enum deferred_type - events that can occur while actions execute */
enum deferred_type {
    DEFERRED_ARRIVAL, /* a request read once an earlier answer was sent */
    DEFERRED_LOST,    /* the connection to @member broke */
    DEFERRED_UNSENT   /* RUN of @id could not be sent to @member */
};

/**
 * struct deferred - an event handled after the current actions
 * @type: kind of event
 * @member: peer concerned, unused for an arrival
 * @id: local request, for DEFERRED_UNSENT
 * @arrival: the request, for DEFERRED_ARRIVAL
 *
 * An engine call while actions execute would reallocate the list of actions
 * and free the data they point to.
 */
struct deferred {
    enum deferred_type type;
    uint64_t member;
    uint64_t id;
    struct engine_request arrival;
};

static void
defer_event(struct requests *requests, const struct deferred *deferred)
{
    g_queue_push_tail(&requests->deferred,
                      g_memdup2(deferred, sizeof(*deferred)));
}

static void
handle_deferred(struct requests *requests, const struct deferred *deferred)
{
    uint64_t now_us = agent_now(requests->agent);

    g_assert(!requests->executing);
    switch (deferred->type) {
    case DEFERRED_ARRIVAL:
        engine_arrive(requests->engine, &deferred->arrival, now_us,
                      &requests->out);
        break;
    case DEFERRED_LOST:
        engine_peer_lost(requests->engine, deferred->member, now_us,
                         &requests->out);
        break;
    case DEFERRED_UNSENT:
        engine_send_failed(requests->engine, deferred->member, deferred->id,
                           now_us, &requests->out);
        break;
    }
}

void
requests_execute_actions(struct agent *agent)
{
    struct requests *requests = &agent->requests;
    struct deferred *deferred;

    if (requests->executing) {
        return;
    }
    actions_execute(requests);
    while ((deferred = g_queue_pop_head(&requests->deferred)) != NULL) {
        handle_deferred(requests, deferred);
        g_free(deferred);
        actions_execute(requests);
    }
}

/* Whether @local belongs to the current service. A request may have been read
 * before the host changed its service. */
static bool
is_served(const struct agent *agent, struct addr local)
{
    return agent_address(agent, local.ip, local.port, SERVICE_CONFIG_TCP) !=
           FLOW_ADDRESS_NONE;
}

static void
refuse_unserved(struct agent *agent, struct frontend_slot *slot,
                struct reader_request *parsed)
{
    g_byte_array_unref(parsed->http);
    slot->last = true;
    frontend_answer(
        &agent->frontend, slot,
        answer_refusal(ENGINE_NOT_RUN, ENGINE_NO_UPSTREAM, UNSERVED_RETRY_MS),
        agent_now(agent));
}

/* Requests with a raised urgency ask for the urgent class; the engine grants
 * it only if an urgent service depends on this one. */
static enum service_config_class
requested_class(enum service_config_class service, unsigned urgency)
{
    return urgency < READER_URGENCY_DEFAULT ? SERVICE_CONFIG_URGENT
                                            : reader_class(service, urgency);
}

static void
on_request(struct frontend_owner *owner, struct frontend_slot *slot,
           struct reader_request *parsed, struct addr caller,
           struct addr local)
{
    struct requests *requests = (struct requests *)owner;
    struct agent *agent = requests->agent;
    const struct service_config_entry *service = &agent->service;

    if (!is_served(agent, local)) {
        refuse_unserved(agent, slot, parsed);
        return;
    }
    uint64_t id = requests->next_id++;
    uint32_t timeout_ms = parsed->timeout_ms != 0
                              ? parsed->timeout_ms
                              : service->limits.deadline_ms;
    struct request *request =
        request_new(requests, agent->self, id, parsed->traceparent);
    struct deferred deferred = {.type = DEFERRED_ARRIVAL};

    deferred.arrival = (struct engine_request){
        .id = id,
        .service = service->id,
        .caller = caller.ip,
        .class = requested_class(service->class, parsed->urgency),
        .idempotent = parsed->idempotent,
        .keyed = parsed->keyed,
        .key = {.service = service->id,
                .hash = {parsed->key_hash[0], parsed->key_hash[1]},
                .fingerprint = parsed->fingerprint},
        .deadline_us = agent_arrival_us(agent) + timeout_ms * USEC_PER_MSEC,
    };

    slot->id = id;
    request->service = service->id;
    request->slot = slot;
    request->http = parsed->http;
    request->deadline_us = deferred.arrival.deadline_us;
    defer_event(requests, &deferred);
    requests_execute_actions(agent);
}

static void
on_gone(struct frontend_owner *owner, struct frontend_slot *slot)
{
    struct requests *requests = (struct requests *)owner;
    struct agent *agent = requests->agent;
    struct request *request = request_find(requests, agent->self, slot->id);

    if (request == NULL) {
        return;
    }
    request->slot = NULL;
    g_assert(!requests->executing);
    engine_cancel(requests->engine, slot->id, agent_now(agent),
                  &requests->out);
    requests_execute_actions(agent);
}

static void
on_flow(struct frontend_owner *owner, struct addr caller, struct addr local,
        bool open)
{
    struct requests *requests = (struct requests *)owner;

    ingress_flow(requests->agent, caller, local, open);
}

static struct requests *
requests_of_backend_owner(struct backend_owner *owner)
{
    char *base = (char *)owner;

    return (struct requests *)(base -
                               offsetof(struct requests, backend_owner));
}

static const char *
run_end_name(enum engine_upstream how)
{
    static const char *const names[] = {
        [ENGINE_UP_ANSWERED] = "answered",   [ENGINE_UP_REFUSED] = "refused",
        [ENGINE_UP_UNREACHED] = "unreached", [ENGINE_UP_LOST] = "lost",
        [ENGINE_UP_TRUNCATED] = "short",
    };

    return names[how];
}

static void
on_run_end(struct backend_owner *owner, void *data, enum engine_upstream how,
           GByteArray *answer)
{
    struct requests *requests = requests_of_backend_owner(owner);
    struct agent *agent = requests->agent;
    struct request *request = data;
    uint64_t origin = request->origin;
    uint64_t id = request->id;

    request->run = NULL;
    request->answer = answer;
    request_span(agent, &request->run_trace, &request->trace, "upstream",
                 request->run_us, run_end_name(how));
    if (how == ENGINE_UP_UNREACHED) {
        upstream_connect_failed(agent);
    }
    g_assert(!requests->executing);
    engine_upstream_end(requests->engine, origin, id, how,
                        answer == NULL ? NULL : answer->data,
                        answer == NULL ? 0 : answer->len, agent_now(agent),
                        &requests->out);
    requests_execute_actions(agent);
    request = request_find(requests, origin, id);
    if (request != NULL) {
        request_free_if_finished(requests, request);
    }
}

static const struct frontend_ops frontend_ops = {
    .on_request = on_request,
    .on_gone = on_gone,
    .on_flow = on_flow,
};

static const struct backend_ops backend_ops = {.on_end = on_run_end};

void
requests_register(struct agent *agent)
{
    struct requests *requests = &agent->requests;
    char label[COUNTER_NAME_MAX];

    for (int i = 0; i < REQUESTS_OUTCOMES; i++) {
        g_snprintf(label, sizeof(label), "outcome=\"%s\"",
                   answer_outcome_name((enum engine_outcome)i));
        requests->outcomes[i] =
            counter_register(&agent->counters, "requests_total", label);
    }
    for (int i = 0; i < REQUESTS_REASONS; i++) {
        g_snprintf(label, sizeof(label), "reason=\"%s\"",
                   answer_reason_name((enum engine_reason)i));
        requests->reasons[i] = counter_register(
            &agent->counters, "requests_by_reason_total", label);
    }
    requests->runs =
        counter_register(&agent->counters, "upstream_runs_total", "");
}

int
requests_init(struct agent *agent, uint32_t salt)
{
    struct requests *requests = &agent->requests;

    requests->frontend_owner.ops = &frontend_ops;
    requests->backend_owner.ops = &backend_ops;
    requests->agent = agent;
    requests->next_id = (uint64_t)salt << ID_SALT_SHIFT;
    g_queue_init(&requests->deferred);
    g_queue_init(&requests->ended);
    requests->table = request_table_new();
    requests->engine = engine_new(agent->self, ENGINE_POLICY_DEFAULT, salt);
    return requests->engine == NULL ? -ENOMEM : 0;
}

void
requests_finish(struct agent *agent)
{
    struct requests *requests = &agent->requests;

    if (requests->table == NULL) {
        return;
    }
    g_hash_table_unref(requests->table);
    g_queue_clear_full(&requests->deferred, g_free);
    g_queue_clear_full(&requests->ended, g_free);
    engine_actions_finish(&requests->out);
    if (requests->engine != NULL) {
        engine_free(requests->engine);
    }
}

/* Stores the bytes of a request that a peer sent to run here. */
static void
store_peer_request(struct requests *requests,
                   const struct engine_peer_msg *msg, const uint8_t *bytes,
                   size_t len, const char *traceparent)
{
    uint64_t id = msg->request.id;

    if (bytes == NULL || request_find(requests, msg->origin, id) != NULL) {
        return; /* a repeated RUN does not affect the current run */
    }
    struct request *request =
        request_new(requests, msg->origin, id, traceparent);
    request->http = g_byte_array_sized_new((guint)len);
    g_byte_array_append(request->http, bytes, (guint)len);
    request->service = msg->request.service;
    request->deadline_us = msg->request.deadline_us;
}

static void
store_peer_answer(struct requests *requests, const struct engine_peer_msg *msg,
                  const uint8_t *bytes, size_t len)
{
    struct request *request =
        request_find(requests, requests->agent->self, msg->request.id);

    if (request == NULL || msg->outcome != ENGINE_ANSWERED || bytes == NULL) {
        return;
    }
    if (request->answer != NULL) {
        g_byte_array_unref(request->answer);
    }
    request->answer = g_byte_array_sized_new((guint)len);
    g_byte_array_append(request->answer, bytes, (guint)len);
}

void
requests_peer(struct agent *agent, uint64_t from,
              const struct engine_peer_msg *msg, const uint8_t *bytes,
              size_t len, const char *traceparent)
{
    struct requests *requests = &agent->requests;

    if (msg->type == ENGINE_PEER_RUN) {
        store_peer_request(requests, msg, bytes, len, traceparent);
    }
    else if (msg->type == ENGINE_PEER_DONE) {
        store_peer_answer(requests, msg, bytes, len);
    }
    g_assert(!requests->executing);
    engine_peer(requests->engine, from, msg, bytes, len, agent_now(agent),
                &requests->out);
    requests_execute_actions(agent);
}

void
requests_peer_lost(struct agent *agent, uint64_t member)
{
    struct requests *requests = &agent->requests;
    struct deferred deferred = {.type = DEFERRED_LOST, .member = member};

    defer_event(requests, &deferred);
    requests_execute_actions(agent);
}

void
requests_unsent(struct agent *agent, uint64_t member, uint64_t id)
{
    struct requests *requests = &agent->requests;
    struct deferred deferred = {
        .type = DEFERRED_UNSENT, .member = member, .id = id};

    defer_event(requests, &deferred);
    requests_execute_actions(agent);
}

static void
report_ended_runs(struct requests *requests)
{
    struct ended_run *item;

    while ((item = g_queue_pop_head(&requests->ended)) != NULL) {
        g_assert(!requests->executing);
        engine_upstream_end(requests->engine, item->origin, item->id,
                            item->how, NULL, 0, agent_now(requests->agent),
                            &requests->out);
        g_free(item);
        requests_execute_actions(requests->agent);
    }
}

void
requests_tick(struct agent *agent)
{
    struct requests *requests = &agent->requests;

    report_ended_runs(requests);
    g_assert(!requests->executing);
    engine_tick(requests->engine, agent_now(agent), &requests->out);
    requests_execute_actions(agent);
}

void
requests_sweep(struct agent *agent)
{
    struct requests *requests = &agent->requests;
    uint64_t now_us = agent_now(agent);
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, requests->table);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct request *request = key;
        if (request->slot == NULL && request->run == NULL &&
            now_us > request->deadline_us + KEEP_AFTER_DEADLINE_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
