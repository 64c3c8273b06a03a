#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/requests.h"

#include <errno.h>
#include <string.h>

#include "agent/answer.h"
#include "agent/program.h"
#include "base/hash.h"
#include "base/log.h"

#define ID_SALT_SHIFT 32
#define KEEP_AFTER_DEADLINE_US (60 * USEC_PER_SEC)

/**
 * struct request - bytes and sockets of one request
 * @origin: member that accepted it; first two members are the key
 * @id: its id there
 * @service: service it is for
 * @slot: where its answer goes, NULL for a peer's or a gone caller's
 * @http: the request
 * @answer: its whole answer, once there is one
 * @run: its run at the local upstream
 * @finished: the engine has given its final answer
 * @deadline_us: by the own clock
 * @start_us: when it came here
 * @run_us: when it was handed to the upstream
 * @parent: span of the hop before, all zero without
 * @trace: span of this hop
 * @run_trace: span of the upstream
 */
struct request {
    uint64_t origin;
    uint64_t id;
    uint32_t service;
    struct front_slot *slot;
    GByteArray *http;
    GByteArray *answer;
    struct back_run *run;
    bool finished;
    uint64_t deadline_us;
    uint64_t start_us;
    uint64_t run_us;
    struct trace_context parent;
    struct trace_context trace;
    struct trace_context run_trace;
};

/** struct aborted - a run that must still be reported as ended */
struct aborted {
    uint64_t origin;
    uint64_t id;
    enum engine_upstream how;
};

/**
 * struct late - an event that waits until the actions are carried out
 * @member: peer it is about
 * @unsent: a RUN never left for it; else its connection broke
 * @id: UNSENT: which request
 */
struct late {
    uint64_t member;
    bool unsent;
    uint64_t id;
};

static guint
request_hash(gconstpointer arg)
{
    const struct request *request = arg;

    return (guint)hash_pair(request->origin, request->id);
}

static gboolean
request_equal(gconstpointer a, gconstpointer b)
{
    const struct request *x = a;
    const struct request *y = b;

    return x->origin == y->origin && x->id == y->id;
}

static struct request *
find(const struct requests *requests, uint64_t origin, uint64_t id)
{
    struct request probe = {.origin = origin, .id = id};

    return g_hash_table_lookup(requests->table, &probe);
}

static void
request_free(gpointer arg)
{
    struct request *request = arg;

    if (request->run != NULL) {
        back_abort(request->run);
    }
    if (request->http != NULL) {
        g_byte_array_unref(request->http);
    }
    if (request->answer != NULL) {
        g_byte_array_unref(request->answer);
    }
    g_free(request);
}

static void
drop_if_over(struct requests *requests, struct request *request)
{
    if (request->finished && request->run == NULL) {
        g_hash_table_remove(requests->table, request);
    }
}

static struct request *
request_new(struct requests *requests, uint64_t origin, uint64_t id,
            const char *traceparent)
{
    struct agent *agent = requests->agent;
    struct request *request = g_new0(struct request, 1);

    request->origin = origin;
    request->id = id;
    request->start_us = agent_now(agent);
    if (agent->trace.fd >= 0) {
        if (trace_parse(traceparent, &request->parent) == 0) {
            trace_child(&agent->trace, &request->parent, &request->trace);
        }
        else if (trace_sampled(&agent->trace, hash_pair(origin, id))) {
            trace_root(&agent->trace, &request->trace);
        }
    }
    g_hash_table_add(requests->table, request);
    return request;
}

static bool
is_zero(const uint8_t *bytes, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (bytes[i] != 0) {
            return false;
        }
    }
    return true;
}

static void
write_span(struct agent *agent, const struct trace_context *ctx,
           const struct trace_context *parent, const char *hop,
           uint64_t start_us, const char *detail)
{
    bool root = is_zero(parent->span_id, sizeof(parent->span_id));

    trace_span(&agent->trace, ctx, root ? NULL : parent->span_id, hop,
               start_us, agent_now(agent), detail);
}

/* The engine is done with the request; a run may still have to end. */
static void
request_over(struct requests *requests, struct request *request,
             enum engine_outcome outcome)
{
    struct agent *agent = requests->agent;

    write_span(agent, &request->trace, &request->parent,
               request->origin == agent->self ? "agent" : "peer agent",
               request->start_us, answer_outcome_name(outcome));
    request->finished = true;
    drop_if_over(requests, request);
}

static const char *
traceparent_for(const struct trace_context *ctx, char *buf)
{
    if (is_zero(ctx->trace_id, sizeof(ctx->trace_id))) {
        buf[0] = '\0';
        return buf;
    }
    return trace_format(ctx, buf);
}

/* Fields that tell the upstream how long the answer is awaited. */
static void
run_lines(struct agent *agent, struct request *request, char *buf, size_t size)
{
    char parent[TRACE_PARENT_MAX];
    uint64_t now_us = agent_now(agent);
    uint64_t left_us =
        request->deadline_us > now_us ? request->deadline_us - now_us : 0;

    if (!is_zero(request->trace.trace_id, sizeof(request->trace.trace_id))) {
        trace_child(&agent->trace, &request->trace, &request->run_trace);
    }
    traceparent_for(&request->run_trace, parent);
    g_snprintf(buf, size,
               "Connection: close\r\nRequest-Timeout-Ms: %" G_GUINT64_FORMAT
               "\r\n%s%s%s",
               (guint64)(left_us / USEC_PER_MSEC),
               parent[0] != '\0' ? "traceparent: " : "", parent,
               parent[0] != '\0' ? "\r\n" : "");
}

/* Ends that arise while actions are carried out are told with the tick. */
static void
end_later(struct requests *requests, uint64_t origin, uint64_t id,
          enum engine_upstream how)
{
    struct aborted *item = g_new(struct aborted, 1);

    *item = (struct aborted){origin, id, how};
    g_queue_push_tail(&requests->aborted, item);
}

static void
act_run(struct requests *requests, const struct engine_action *action)
{
    struct agent *agent = requests->agent;
    struct request *request = find(requests, action->origin, action->id);
    char lines[256];

    /* The service is checked once more at the last moment: the upstream may
     * have been replaced by another service's. */
    if (request == NULL || request->http == NULL || request->run != NULL ||
        request->service != agent->upstream.service) {
        g_warning("A request to run is not held or not served here.");
        end_later(requests, action->origin, action->id, ENGINE_UP_UNREACHED);
        return;
    }
    run_lines(agent, request, lines, sizeof(lines));
    request->run_us = agent_now(agent);
    counter_add(&agent->counters, 0, requests->runs, 1);
    request->run =
        back_start(&agent->back, agent->upstream.addr, request->http, lines,
                   agent->service.limits.body_bytes, request);
    if (request->run == NULL) {
        end_later(requests, action->origin, action->id, ENGINE_UP_UNREACHED);
    }
}

static void
act_abort(struct requests *requests, const struct engine_action *action)
{
    struct request *request = find(requests, action->origin, action->id);

    if (request == NULL || request->run == NULL) {
        return;
    }
    back_abort(request->run);
    request->run = NULL;
    write_span(requests->agent, &request->run_trace, &request->trace,
               "upstream", request->run_us, "aborted");
    end_later(requests, request->origin, request->id, ENGINE_UP_LOST);
    drop_if_over(requests, request);
}

static void
late_push(struct requests *requests, const struct late *late)
{
    g_queue_push_tail(&requests->late, g_memdup2(late, sizeof(*late)));
}

static void
act_send_run(struct requests *requests, const struct engine_action *action)
{
    const struct engine_peer_msg *msg = &action->msg;
    struct request *request = find(requests, msg->origin, msg->request.id);
    char parent[TRACE_PARENT_MAX];

    if (request == NULL || request->http == NULL) {
        g_warning("A request to pass on is not held here.");
        requests_unsent(requests->agent, action->to, msg->request.id);
        return;
    }
    traceparent_for(&request->trace, parent);
    if (peer_links_send(requests->agent, action->to, msg, request->http,
                        parent) < 0) {
        requests_unsent(requests->agent, action->to, msg->request.id);
    }
}

static void
act_send_done(struct requests *requests, const struct engine_action *action)
{
    const struct engine_peer_msg *msg = &action->msg;
    struct request *request = find(requests, msg->origin, msg->request.id);
    GByteArray *answer = NULL;
    struct engine_peer_msg cut = *msg;

    if (request != NULL && msg->outcome == ENGINE_ANSWERED) {
        answer = request->answer;
    }
    if (peer_links_send(requests->agent, action->to, msg, answer, "") < 0) {
        /* It ran, but its answer can't be carried: nobody will know it. */
        cut.outcome = ENGINE_UNKNOWN;
        cut.reason = ENGINE_SHORT;
        peer_links_send(requests->agent, action->to, &cut, NULL, "");
    }
    if (request != NULL) {
        request_over(requests, request, msg->outcome);
    }
}

static void
act_send(struct requests *requests, const struct engine_action *action)
{
    switch (action->msg.type) {
    case ENGINE_PEER_RUN:
        act_send_run(requests, action);
        break;
    case ENGINE_PEER_DONE:
        act_send_done(requests, action);
        break;
    default:
        peer_links_send(requests->agent, action->to, &action->msg, NULL, "");
        break;
    }
}

/* The bytes of a final answer; the caller's. */
static GByteArray *
final_answer(const struct request *request, const struct engine_action *action)
{
    const struct idem_msg *idem = &action->msg.idem;

    if (action->outcome != ENGINE_ANSWERED) {
        return answer_refusal(action->outcome, action->reason,
                              action->retry_after_ms);
    }
    if (action->replayed && idem->answer != NULL) {
        return answer_with_field(idem->answer, idem->answer_len,
                                 "Idempotency-Replayed: true\r\n");
    }
    if (!action->replayed && request->answer != NULL) {
        return g_byte_array_ref(request->answer);
    }
    /* It ran, but its answer is no longer kept anywhere. */
    return answer_refusal(ENGINE_UNKNOWN, ENGINE_SHORT, 0);
}

static void
act_finish(struct requests *requests, const struct engine_action *action)
{
    struct agent *agent = requests->agent;
    struct request *request = find(requests, agent->self, action->id);

    counter_add(&agent->counters, 0, requests->outcomes[action->outcome], 1);
    counter_add(&agent->counters, 0, requests->reasons[action->reason], 1);
    if (request == NULL) {
        return;
    }
    if (request->slot != NULL) {
        struct front_slot *slot = request->slot;
        request->slot = NULL;
        front_answer(&agent->front, slot, final_answer(request, action),
                     agent_now(agent));
    }
    request_over(requests, request, action->outcome);
}

static void
act_one(struct requests *requests, const struct engine_action *action)
{
    switch (action->type) {
    case ENGINE_RUN:
        act_run(requests, action);
        break;
    case ENGINE_ABORT:
        act_abort(requests, action);
        break;
    case ENGINE_SEND:
        act_send(requests, action);
        break;
    case ENGINE_FINISH:
        act_finish(requests, action);
        break;
    }
}

static void
act_all(struct requests *requests)
{
    requests->acting = true;
    for (size_t i = 0; i < requests->out.count; i++) {
        act_one(requests, &requests->out.items[i]);
    }
    requests->out.count = 0;
    requests->acting = false;
}

static void
handle_late(struct requests *requests, const struct late *late)
{
    uint64_t now_us = agent_now(requests->agent);

    if (late->unsent) {
        engine_unsent(requests->engine, late->member, late->id, now_us,
                      &requests->out);
    }
    else {
        engine_peer_lost(requests->engine, late->member, now_us,
                         &requests->out);
    }
}

void
requests_act(struct agent *agent)
{
    struct requests *requests = &agent->requests;
    struct late *late;

    if (requests->acting) {
        return;
    }
    act_all(requests);
    while ((late = g_queue_pop_head(&requests->late)) != NULL) {
        handle_late(requests, late);
        g_free(late);
        act_all(requests);
    }
}

/* Urgent work may call itself less urgent; ordinary work stays ordinary. */
static enum text_class
class_of(const struct text_service *service, unsigned urgency)
{
    if (service->class == TEXT_URGENT && urgency <= READER_URGENCY_DEFAULT) {
        return TEXT_URGENT;
    }
    return TEXT_ORDINARY;
}

static void
on_request(struct front_owner *owner, struct front_slot *slot,
           struct reader_request *read, struct addr caller)
{
    struct requests *requests = (struct requests *)owner;
    struct agent *agent = requests->agent;
    const struct text_service *service = &agent->service;
    uint64_t now_us = agent_now(agent);
    uint64_t id = requests->next_id++;
    uint32_t timeout_ms =
        read->timeout_ms != 0 ? read->timeout_ms : service->limits.deadline_ms;
    struct request *request =
        request_new(requests, agent->self, id, read->traceparent);
    struct engine_request arrival = {
        .id = id,
        .service = service->id,
        .caller = caller.ip,
        .class = class_of(service, read->urgency),
        .idempotent = read->idempotent,
        .keyed = read->keyed,
        .key = {.service = service->id,
                .hash = {read->key_hash[0], read->key_hash[1]},
                .fingerprint = read->fingerprint},
        .deadline_us = now_us + timeout_ms * USEC_PER_MSEC,
    };

    slot->id = id;
    request->service = service->id;
    request->slot = slot;
    request->http = read->http;
    request->deadline_us = arrival.deadline_us;
    engine_arrive(requests->engine, &arrival, now_us, &requests->out);
    requests_act(agent);
}

static void
on_gone(struct front_owner *owner, struct front_slot *slot)
{
    struct requests *requests = (struct requests *)owner;
    struct agent *agent = requests->agent;
    struct request *request = find(requests, agent->self, slot->id);

    if (request == NULL) {
        return;
    }
    request->slot = NULL;
    engine_cancel(requests->engine, slot->id, agent_now(agent),
                  &requests->out);
    requests_act(agent);
}

static void
on_flow(struct front_owner *owner, struct addr caller, struct addr local,
        bool open)
{
    struct requests *requests = (struct requests *)owner;

    ingress_flow(requests->agent, caller, local, open);
}

static struct requests *
of_back_owner(struct back_owner *owner)
{
    char *base = (char *)owner;

    return (struct requests *)(base - offsetof(struct requests, back_owner));
}

static const char *
end_name(enum engine_upstream how)
{
    static const char *const names[] = {
        [ENGINE_UP_ANSWERED] = "answered",   [ENGINE_UP_REFUSED] = "refused",
        [ENGINE_UP_UNREACHED] = "unreached", [ENGINE_UP_LOST] = "lost",
        [ENGINE_UP_SHORT] = "short",
    };

    return names[how];
}

static void
on_run_end(struct back_owner *owner, void *data, enum engine_upstream how,
           GByteArray *answer)
{
    struct requests *requests = of_back_owner(owner);
    struct agent *agent = requests->agent;
    struct request *request = data;
    uint64_t origin = request->origin;
    uint64_t id = request->id;

    request->run = NULL;
    request->answer = answer;
    write_span(agent, &request->run_trace, &request->trace, "upstream",
               request->run_us, end_name(how));
    if (how == ENGINE_UP_UNREACHED) {
        upstream_unreached(agent);
    }
    engine_upstream_end(requests->engine, origin, id, how,
                        answer == NULL ? NULL : answer->data,
                        answer == NULL ? 0 : answer->len, agent_now(agent),
                        &requests->out);
    requests_act(agent);
    request = find(requests, origin, id);
    if (request != NULL) {
        drop_if_over(requests, request);
    }
}

static const struct front_ops front_ops = {
    .on_request = on_request,
    .on_gone = on_gone,
    .on_flow = on_flow,
};

static const struct back_ops back_ops = {.on_end = on_run_end};

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
requests_init(struct agent *agent)
{
    struct requests *requests = &agent->requests;
    uint64_t salt = g_random_int();

    requests->front_owner.ops = &front_ops;
    requests->back_owner.ops = &back_ops;
    requests->agent = agent;
    requests->next_id = salt << ID_SALT_SHIFT;
    g_queue_init(&requests->late);
    g_queue_init(&requests->aborted);
    requests->table =
        g_hash_table_new_full(request_hash, request_equal, request_free, NULL);
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
    g_queue_clear_full(&requests->late, g_free);
    g_queue_clear_full(&requests->aborted, g_free);
    engine_actions_finish(&requests->out);
    if (requests->engine != NULL) {
        engine_free(requests->engine);
    }
}

/* Keeps the bytes of a request that a peer wants run here. */
static void
hold_remote(struct requests *requests, const struct engine_peer_msg *msg,
            const uint8_t *bytes, size_t len, const char *traceparent)
{
    uint64_t id = msg->request.id;

    if (bytes == NULL || find(requests, msg->origin, id) != NULL) {
        return; /* a repeated message changes nothing that runs */
    }
    struct request *request =
        request_new(requests, msg->origin, id, traceparent);
    request->http = g_byte_array_sized_new((guint)len);
    g_byte_array_append(request->http, bytes, (guint)len);
    request->service = msg->request.service;
    request->deadline_us =
        agent_now(requests->agent) + msg->request.deadline_us;
}

static void
hold_answer(struct requests *requests, const struct engine_peer_msg *msg,
            const uint8_t *bytes, size_t len)
{
    struct request *request =
        find(requests, requests->agent->self, msg->request.id);

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
        hold_remote(requests, msg, bytes, len, traceparent);
    }
    else if (msg->type == ENGINE_PEER_DONE) {
        hold_answer(requests, msg, bytes, len);
    }
    engine_peer(requests->engine, from, msg, bytes, len, agent_now(agent),
                &requests->out);
    requests_act(agent);
}

void
requests_peer_lost(struct agent *agent, uint64_t member)
{
    struct requests *requests = &agent->requests;
    struct late late = {.member = member};

    late_push(requests, &late);
    requests_act(agent);
}

void
requests_unsent(struct agent *agent, uint64_t member, uint64_t id)
{
    struct requests *requests = &agent->requests;
    struct late late = {.member = member, .unsent = true, .id = id};

    late_push(requests, &late);
    requests_act(agent);
}

static void
report_aborted(struct requests *requests)
{
    struct aborted *item;

    while ((item = g_queue_pop_head(&requests->aborted)) != NULL) {
        engine_upstream_end(requests->engine, item->origin, item->id,
                            item->how, NULL, 0, agent_now(requests->agent),
                            &requests->out);
        g_free(item);
        requests_act(requests->agent);
    }
}

void
requests_tick(struct agent *agent)
{
    struct requests *requests = &agent->requests;

    report_aborted(requests);
    engine_tick(requests->engine, agent_now(agent), &requests->out);
    requests_act(agent);
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
