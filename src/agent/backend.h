/**
 * DOC: backend - HTTP/1.1 client of the local upstream
 *
 * Opens one connection for each request and closes it after the answer, so
 * that a late answer cannot be taken for that of another request. Reports how
 * each run ended as enum engine_upstream; an aborted run is not reported.
 */
#ifndef SWIFTARCH_AGENT_BACKEND_H
#define SWIFTARCH_AGENT_BACKEND_H

#include <event2/event.h>
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "request/engine.h"

#define BACKEND_CONNECT_TIMEOUT_MS 250

struct backend_owner;
struct backend_run;

/** struct backend_ops - events for the owner, called from the event loop only
 */
struct backend_ops {
    /**
     * @on_end: a run ended and was freed. @data is that of backend_start().
     * @answer is set for ENGINE_UP_ANSWERED, else NULL; the owner takes
     * ownership.
     */
    void (*on_end)(struct backend_owner *owner, void *data,
                   enum engine_upstream how, GByteArray *answer);
};

/** struct backend_owner - owner of runs; the vtable comes first */
struct backend_owner {
    const struct backend_ops *ops;
};

/**
 * struct backend - all open runs
 * @base: event loop
 * @owner: receives the ends of runs
 * @runs: open runs, queue of struct backend_run
 */
struct backend {
    struct event_base *base;
    struct backend_owner *owner;
    GQueue runs;
};

/** backend_init() - initialize without runs */
void
backend_init(struct backend *backend, struct event_base *base,
             struct backend_owner *owner);

/** backend_finish() - free all runs without reporting their ends */
void
backend_finish(struct backend *backend);

/**
 * backend_start() - send a request to the upstream
 * @upstream: address of the upstream
 * @http: the request (reader.h form)
 * @lines: fields added after its own, each ended by CR LF
 * @body_max: largest answer body, bytes
 * @data: passed to on_end
 *
 * Return: the run, or NULL when no connection could be started (nothing was
 * sent).
 */
struct backend_run *
backend_start(struct backend *backend, struct addr upstream,
              const GByteArray *http, const char *lines, size_t body_max,
              void *data);

/** backend_abort() - cancel a run: close its connection and drop its answer */
void
backend_abort(struct backend_run *run);

#endif
