/**
 * DOC: backend - requests handed to the local upstream
 *
 * One connection for each request, closed after its answer, so that an
 * answer, however late, can never reach another request. Says how each run
 * ended, in the engine's terms; an aborted run says nothing more.
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

/** struct backend_ops - what the owner is told, from the event loop only */
struct backend_ops {
    /**
     * @on_end: a run ended and is gone. @answer (ENGINE_UP_ANSWERED, else
     * NULL) is the receiver's.
     */
    void (*on_end)(struct backend_owner *owner, void *data,
                   enum engine_upstream how, GByteArray *answer);
};

/** struct backend_owner - owner of runs; the vtable comes first */
struct backend_owner {
    const struct backend_ops *ops;
};

/**
 * struct backend - the client side towards one upstream
 * @base: event loop
 * @owner: told of ends
 * @runs: runs not ended yet
 */
struct backend {
    struct event_base *base;
    struct backend_owner *owner;
    GQueue runs;
};

/** backend_init() - begin without runs */
void
backend_init(struct backend *backend, struct event_base *base,
             struct backend_owner *owner);

/** backend_finish() - close all runs without a word */
void
backend_finish(struct backend *backend);

/**
 * backend_start() - hand a request over
 * @upstream: address of the upstream
 * @http: the request (reader.h form)
 * @lines: fields put before its own, each ended by CR LF
 * @body_max: largest answer body, bytes
 * @data: given backend with on_end
 *
 * Return: the run, or NULL when it could not begin (nothing was sent).
 */
struct backend_run *
backend_start(struct backend *backend, struct addr upstream,
              const GByteArray *http, const char *lines, size_t body_max,
              void *data);

/** backend_abort() - cancel a run: its connection is closed, its answer
 * dropped */
void
backend_abort(struct backend_run *run);

#endif
