/**
 * DOC: back - requests handed to the local upstream
 *
 * One connection for each request, closed after its answer, so that an
 * answer, however late, can never reach another request. Says how each run
 * ended, in the engine's terms; an aborted run says nothing more.
 */
#ifndef SWIFTARCH_AGENT_BACK_H
#define SWIFTARCH_AGENT_BACK_H

#include <event2/event.h>
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "request/engine.h"

#define BACK_CONNECT_TIMEOUT_MS 250

struct back_owner;
struct back_run;

/** struct back_ops - what the owner is told, from the event loop only */
struct back_ops {
    /**
     * @on_end: a run ended and is gone. @answer (ENGINE_UP_ANSWERED, else
     * NULL) is the receiver's.
     */
    void (*on_end)(struct back_owner *owner, void *data,
                   enum engine_upstream how, GByteArray *answer);
};

/** struct back_owner - owner of runs; the vtable comes first */
struct back_owner {
    const struct back_ops *ops;
};

/**
 * struct back - the client side towards one upstream
 * @base: event loop
 * @owner: told of ends
 * @runs: runs not ended yet
 */
struct back {
    struct event_base *base;
    struct back_owner *owner;
    GQueue runs;
};

/** back_init() - begin without runs */
void
back_init(struct back *back, struct event_base *base,
          struct back_owner *owner);

/** back_finish() - close all runs without a word */
void
back_finish(struct back *back);

/**
 * back_start() - hand a request over
 * @upstream: address of the upstream
 * @http: the request (reader.h form)
 * @lines: fields put before its own, each ended by CR LF
 * @body_max: largest answer body, bytes
 * @data: given back with on_end
 *
 * Return: the run, or NULL when it could not begin (nothing was sent).
 */
struct back_run *
back_start(struct back *back, struct addr upstream, const GByteArray *http,
           const char *lines, size_t body_max, void *data);

/** back_abort() - cancel a run: its connection is closed, its answer
 * dropped */
void
back_abort(struct back_run *run);

#endif
