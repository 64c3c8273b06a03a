/**
 * DOC: request - stored state of one request: bytes, run and trace spans
 *
 * A request is freed once the engine has finished it and its run has ended.
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
 * struct request - one request
 * @origin: member that accepted it; key together with @id
 * @id: its id at @origin
 * @service: id of its service
 * @slot: frontend slot of its answer, NULL for a peer's request or once the
 *        caller has closed its flow
 * @http: the request's bytes (reader.h form)
 * @answer: its complete answer, NULL until received
 * @run: its run at the local upstream, NULL while there is none
 * @finished: the engine has given its final answer
 * @deadline_us: deadline on the local monotonic clock
 * @start_us: time it was received, monotonic
 * @run_us: time the run started, monotonic
 * @parent: span of the previous hop, all zero without one
 * @trace: span of this hop
 * @run_trace: span of the run at the upstream
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

/** request_table_new() - create a set of requests by origin and id that owns
 * them */
GHashTable *
request_table_new(void);

/** request_new() - add a request received with @traceparent, "" without one */
struct request *
request_new(struct requests *requests, uint64_t origin, uint64_t id,
            const char *traceparent);

/** request_find() - find a request; NULL when it is not stored */
struct request *
request_find(const struct requests *requests, uint64_t origin, uint64_t id);

/** request_finished() - mark a request finished with @outcome, write its span
 * and free it unless its run is still open */
void
request_finished(struct requests *requests, struct request *request,
                 enum engine_outcome outcome);

/** request_free_if_finished() - free a finished request without an open run
 */
void
request_free_if_finished(struct requests *requests, struct request *request);

/** request_traceparent() - write the traceparent of the next hop to @buf
 * (TRACE_PARENT_MAX bytes), empty without a trace; returns @buf */
const char *
request_traceparent(const struct trace_context *ctx, char *buf);

/** request_run_lines() - write the fields that the agent adds to the request
 * for the upstream: Connection, Request-Timeout-Ms, traceparent */
void
request_run_lines(struct agent *agent, struct request *request, char *buf,
                  size_t size);

/** request_span() - write the span of a hop from @start_us until now */
void
request_span(struct agent *agent, const struct trace_context *ctx,
             const struct trace_context *parent, const char *hop,
             uint64_t start_us, const char *detail);

#endif
