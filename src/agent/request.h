/**
 * DOC: request - one request's bytes, sockets and spans
 */
#ifndef SWIFTARCH_AGENT_REQUEST_H
#define SWIFTARCH_AGENT_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agent/backend.h"
#include "agent/frontend.h"
#include "base/trace.h"
#include "request/engine.h"

struct agent;
struct requests;

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
    struct frontend_slot *slot;
    GByteArray *http;
    GByteArray *answer;
    struct backend_run *run;
    bool finished;
    uint64_t deadline_us;
    uint64_t start_us;
    uint64_t run_us;
    struct trace_context parent;
    struct trace_context trace;
    struct trace_context run_trace;
};

/** request_table_new() - a set of requests by origin and id; owns them */
GHashTable *
request_table_new(void);

/** request_new() - add a request that came with @traceparent, or "" */
struct request *
request_new(struct requests *requests, uint64_t origin, uint64_t id,
            const char *traceparent);

/** request_find() - the request or NULL */
struct request *
request_find(const struct requests *requests, uint64_t origin, uint64_t id);

/** request_finished() - the engine gave its final answer: forget it as soon as
 * no run of it is left */
void
request_finished(struct requests *requests, struct request *request,
                 enum engine_outcome outcome);

/** request_free_if_finished() - forget it if it is over and no run is left */
void
request_free_if_finished(struct requests *requests, struct request *request);

/** request_traceparent() - field value for the next hop into @buf
 * (TRACE_PARENT_MAX), empty without a trace; returns @buf */
const char *
request_traceparent(const struct trace_context *ctx, char *buf);

/** request_run_lines() - fields that go to the upstream with this run */
void
request_run_lines(struct agent *agent, struct request *request, char *buf,
                  size_t size);

/** request_span() - write the span of a hop that ends now */
void
request_span(struct agent *agent, const struct trace_context *ctx,
             const struct trace_context *parent, const char *hop,
             uint64_t start_us, const char *detail);

#endif
