/**
 * DOC: httpc - a small HTTP/1.1 client on an event base (libevent)
 *
 * One client is one connection to one peer: a call at a time, kept open
 * between calls, opened anew after any failure. No call is sent twice. A
 * connection that has gone silent shows by the call's own timeout, and sooner
 * by keep-alive probes.
 */
#ifndef SWIFTARCH_BASE_HTTPC_H
#define SWIFTARCH_BASE_HTTPC_H

#include <event2/bufferevent.h>
#include <event2/dns.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

struct httpc;
struct httpc_transport;

/** struct httpc_transport_ops - what carries the bytes, when it isn't TCP
 * alone */
struct httpc_transport_ops {
    /** @open: a bufferevent without a socket yet, which the client frees */
    struct bufferevent *(*open)(struct httpc_transport *transport,
                                struct event_base *base);
};

/** struct httpc_transport - any transport; the vtable comes first */
struct httpc_transport {
    const struct httpc_transport_ops *ops;
};

/**
 * struct httpc_peer - whom a client calls
 * @host: its address or name
 * @port: its port
 * @dns_base: looks dns_base up, NULL where @host is an address
 * @transport: NULL for TCP alone; outlives the client
 */
struct httpc_peer {
    const char *host;
    uint16_t port;
    struct evdns_base *dns_base;
    struct httpc_transport *transport;
};

/**
 * struct httpc_reply - how a call ended
 * @status: HTTP status, or a negative errno when no whole answer came
 * @etag: the answer's ETag header, NULL for none
 * @reply_header_value: the header that the request reply_header, NULL for none
 * @body: the answer's body, valid during the callback
 * @len: its length in bytes
 */
struct httpc_reply {
    int status;
    const char *etag;
    const char *reply_header_value;
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

/**
 * struct httpc_request - what is asked
 * @method: method
 * @target: path and query
 * @header: name of a header of its own, or NULL
 * @value: that header's value
 * @reply_header: name of a header of the answer that is told, or NULL;
 * outlives the call
 * @body: JSON, or NULL
 * @len: its length in bytes
 * @timeout_ms: silence after which the call fails with -ETIMEDOUT
 */
struct httpc_request {
    enum httpc_method method;
    const char *target;
    const char *header;
    const char *value;
    const char *reply_header;
    const char *body;
    size_t len;
    unsigned timeout_ms;
};

/** enum httpc_status - statuses that the platform answers with */
enum httpc_status {
    HTTPC_OK = 200,
    HTTPC_CREATED = 201,
    HTTPC_NO_CONTENT = 204,
    HTTPC_NOT_MODIFIED = 304,
    HTTPC_NOT_FOUND = 404,
    HTTPC_CONFLICT = 409,
    HTTPC_GONE = 410,
    HTTPC_PRECONDITION_FAILED = 412,
    HTTPC_TOO_LARGE = 413,
    HTTPC_TOO_MANY_REQUESTS = 429,
    HTTPC_UNAVAILABLE = 503,
};

/** httpc_new() - a client of @peer; NULL without memory */
struct httpc *
httpc_new(struct event_base *base, const struct httpc_peer *peer,
          size_t body_max);

/** httpc_new_addr() - the same for an address, over TCP */
struct httpc *
httpc_new_addr(struct event_base *base, struct addr addr, size_t body_max);

/** httpc_free() - end what is open without a callback; NULL is fine */
void
httpc_free(struct httpc *httpc);

/** httpc_busy() - whether a call is open */
bool
httpc_busy(const struct httpc *httpc);

/**
 * httpc_start() - make a call
 *
 * Return: 0, -EBUSY while another call is open, -ENOMEM. @call is told only
 * after 0, and not before this returns.
 */
int
httpc_start(struct httpc *httpc, const struct httpc_request *request,
            struct httpc_call *call);

/** httpc_cancel() - end the open call; its callback isn't told */
void
httpc_cancel(struct httpc *httpc);

#endif
