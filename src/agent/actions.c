#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/actions.h"

#include "agent/answer.h"
#include "agent/program.h"
#include "agent/request.h"
#include "base/log.h"

void
actions_defer_run_end(struct requests *requests, uint64_t origin, uint64_t id,
                      enum engine_upstream how)
{
    struct ended_run *item = g_new(struct ended_run, 1);

    *item = (struct ended_run){origin, id, how};
    g_queue_push_tail(&requests->ended, item);
}

static void
act_run(struct requests *requests, const struct engine_action *action)
{
    struct agent *agent = requests->agent;
    struct request *request =
        request_find(requests, action->origin, action->id);
    char lines[256];

    /* The upstream may have been replaced by that of another service since
     * the request was queued. */
    if (request == NULL || request->http == NULL || request->run != NULL ||
        request->service != agent->upstream.service) {
        g_message("A request to run is not stored or not served here.");
        actions_defer_run_end(requests, action->origin, action->id,
                              ENGINE_UP_UNREACHED);
        return;
    }
    request_run_lines(agent, request, lines, sizeof(lines));
    request->run_us = agent_now(agent);
    counter_add(&agent->counters, 0, requests->runs, 1);
    request->run =
        backend_start(&agent->backend, agent->upstream.addr, request->http,
                      lines, agent->service.limits.body_bytes, request);
    if (request->run == NULL) {
        actions_defer_run_end(requests, action->origin, action->id,
                              ENGINE_UP_UNREACHED);
    }
}

static void
act_abort(struct requests *requests, const struct engine_action *action)
{
    struct request *request =
        request_find(requests, action->origin, action->id);

    if (request == NULL || request->run == NULL) {
        return;
    }
    backend_abort(request->run);
    request->run = NULL;
    request_span(requests->agent, &request->run_trace, &request->trace,
                 "upstream", request->run_us, "aborted");
    actions_defer_run_end(requests, request->origin, request->id,
                          ENGINE_UP_LOST);
    request_free_if_finished(requests, request);
}

static void
act_send_run(struct requests *requests, const struct engine_action *action)
{
    const struct engine_peer_msg *msg = &action->msg;
    struct request *request =
        request_find(requests, msg->origin, msg->request.id);
    char parent[TRACE_PARENT_MAX];

    if (request == NULL || request->http == NULL) {
        g_warning("A request to send to a peer is not stored here.");
        requests_unsent(requests->agent, action->to, msg->request.id);
        return;
    }
    request_traceparent(&request->trace, parent);
    if (peer_links_send(requests->agent, action->to, msg, request->http,
                        parent) < 0) {
        requests_unsent(requests->agent, action->to, msg->request.id);
    }
}

static void
act_send_done(struct requests *requests, const struct engine_action *action)
{
    const struct engine_peer_msg *msg = &action->msg;
    struct request *request =
        request_find(requests, msg->origin, msg->request.id);
    GByteArray *answer = NULL;
    struct engine_peer_msg cut = *msg;

    if (request != NULL && msg->outcome == ENGINE_ANSWERED) {
        answer = request->answer;
    }
    if (peer_links_send(requests->agent, action->to, msg, answer, "") < 0) {
        /* It ran, but its answer can't be sent to the origin. */
        cut.outcome = ENGINE_UNKNOWN;
        cut.reason = ENGINE_TRUNCATED;
        peer_links_send(requests->agent, action->to, &cut, NULL, "");
    }
    if (request != NULL) {
        request_finished(requests, request, msg->outcome);
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

/* Returns a reference to the final answer of a request. */
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
    /* It ran, but its answer is no longer stored. */
    return answer_refusal(ENGINE_UNKNOWN, ENGINE_TRUNCATED, 0);
}

static void
act_finish(struct requests *requests, const struct engine_action *action)
{
    struct agent *agent = requests->agent;
    struct request *request = request_find(requests, agent->self, action->id);

    counter_add(&agent->counters, 0, requests->outcomes[action->outcome], 1);
    counter_add(&agent->counters, 0, requests->reasons[action->reason], 1);
    if (request == NULL) {
        return;
    }
    if (request->slot != NULL) {
        struct frontend_slot *slot = request->slot;
        request->slot = NULL;
        frontend_answer(&agent->frontend, slot, final_answer(request, action),
                        agent_now(agent));
    }
    request_finished(requests, request, action->outcome);
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

void
actions_execute(struct requests *requests)
{
    requests->executing = true;
    for (size_t i = 0; i < requests->out.count; i++) {
        act_one(requests, &requests->out.items[i]);
    }
    requests->out.count = 0;
    requests->executing = false;
}
