/**
 * DOC: httpc - a small HTTP/1.1 client on an event base (libevent)
 *
 * One client is one connection to one address: a call at a time, kept open
 * between calls, opened anew after any failure. A connection that has gone
 * silent shows by the call's own timeout, and sooner by keep-alive probes.
 */
#ifndef SWIFTARCH_BASE_HTTPC_H
#define SWIFTARCH_BASE_HTTPC_H

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

struct httpc;

/**
 * struct httpc_reply - how a call ended
 * @status: HTTP status, or a negative errno when no whole answer came
 * @body: the answer's body, valid during the callback
 * @len: its length in bytes
 */
struct httpc_reply {
    int status;
    const char *body;
    size_t len;
};

/** struct httpc_call - caller-owned; @done is told once, at the end */
struct httpc_call {
    void (*done)(struct httpc_call *call, const struct httpc_reply *reply);
};

/** enum httpc_method - methods */
enum httpc_method {
    HTTPC_GET,
    HTTPC_PUT,
    HTTPC_POST,
    HTTPC_DELETE,
};

/** httpc_new() - a client of @peer; NULL without memory */
struct httpc *
httpc_new(struct event_base *base, struct addr peer, size_t body_max);

/** httpc_free() - end what is open without a callback; NULL is fine */
void
httpc_free(struct httpc *httpc);

/** httpc_busy() - whether a call is open */
bool
httpc_busy(const struct httpc *httpc);

/**
 * httpc_start() - make a call
 * @target: path and query
 * @body: JSON, or NULL
 * @timeout_ms: silence after which the call fails with -ETIMEDOUT
 *
 * Return: 0, -EBUSY while another call is open, -ENOMEM. @call is told only
 * after 0, and not before this returns.
 */
int
httpc_start(struct httpc *httpc, enum httpc_method method, const char *target,
            const char *body, size_t len, unsigned timeout_ms,
            struct httpc_call *call);

/** httpc_cancel() - end the open call; its callback isn't told */
void
httpc_cancel(struct httpc *httpc);

#endif
