#include "agent/request.h"

#include "agent/answer.h"
#include "agent/program.h"
#include "base/hash.h"

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

struct request *
request_find(const struct requests *requests, uint64_t origin, uint64_t id)
{
    struct request probe = {.origin = origin, .id = id};

    return g_hash_table_lookup(requests->table, &probe);
}

static void
request_free(gpointer arg)
{
    struct request *request = arg;

    if (request->run != NULL) {
        backend_abort(request->run);
    }
    if (request->http != NULL) {
        g_byte_array_unref(request->http);
    }
    if (request->answer != NULL) {
        g_byte_array_unref(request->answer);
    }
    g_free(request);
}

void
request_free_if_finished(struct requests *requests, struct request *request)
{
    if (request->finished && request->run == NULL) {
        g_hash_table_remove(requests->table, request);
    }
}

struct request *
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

void
request_span(struct agent *agent, const struct trace_context *ctx,
             const struct trace_context *parent, const char *hop,
             uint64_t start_us, const char *detail)
{
    bool root = is_zero(parent->span_id, sizeof(parent->span_id));

    trace_span(&agent->trace, ctx, root ? NULL : parent->span_id, hop,
               start_us, agent_now(agent), detail);
}

void
request_finished(struct requests *requests, struct request *request,
                 enum engine_outcome outcome)
{
    struct agent *agent = requests->agent;

    request_span(agent, &request->trace, &request->parent,
                 request->origin == agent->self ? "agent" : "peer agent",
                 request->start_us, answer_outcome_name(outcome));
    request->finished = true;
    request_free_if_finished(requests, request);
}

const char *
request_traceparent(const struct trace_context *ctx, char *buf)
{
    if (is_zero(ctx->trace_id, sizeof(ctx->trace_id))) {
        buf[0] = '\0';
        return buf;
    }
    return trace_format(ctx, buf);
}

void
request_run_lines(struct agent *agent, struct request *request, char *buf,
                  size_t size)
{
    char parent[TRACE_PARENT_MAX];
    uint64_t now_us = agent_now(agent);
    uint64_t left_us =
        request->deadline_us > now_us ? request->deadline_us - now_us : 0;

    if (!is_zero(request->trace.trace_id, sizeof(request->trace.trace_id))) {
        trace_child(&agent->trace, &request->trace, &request->run_trace);
    }
    request_traceparent(&request->run_trace, parent);
    g_snprintf(buf, size,
               "Connection: close\r\nRequest-Timeout-Ms: %" G_GUINT64_FORMAT
               "\r\n%s%s%s",
               (guint64)(left_us / USEC_PER_MSEC),
               parent[0] != '\0' ? "traceparent: " : "", parent,
               parent[0] != '\0' ? "\r\n" : "");
}

GHashTable *
request_table_new(void)
{
    return g_hash_table_new_full(request_hash, request_equal, request_free,
                                 NULL);
}
