/**
 * DOC: httpc - HTTP/1.1 client for one peer on a libevent event base
 *
 * A client makes one call at a time on one persistent connection, which is
 * reopened after any failure. Calls are never retried. A dead peer is detected
 * by TCP keep-alive probes, or at the latest by the call's timeout.
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

/** struct httpc_transport_ops - vtable of a transport other than plain TCP */
struct httpc_transport_ops {
    /** @open: creates an unconnected bufferevent, freed by the client */
    struct bufferevent *(*open)(struct httpc_transport *transport,
                                struct event_base *base);
};

/** struct httpc_transport - a transport, for example TLS */
struct httpc_transport {
    const struct httpc_transport_ops *ops;
};

/**
 * struct httpc_peer - server that a client connects to
 * @host: address or name
 * @port: TCP port
 * @dns_base: resolver of @host, NULL if @host is an address
 * @transport: NULL for plain TCP; must outlive the client
 */
struct httpc_peer {
    const char *host;
    uint16_t port;
    struct evdns_base *dns_base;
    struct httpc_transport *transport;
};

/**
 * struct httpc_reply - result of a call, valid during the callback
 * @status: HTTP status, or a negative errno without a complete response
 * @etag: ETag header, NULL for none
 * @reply_header_value: value of the request's @reply_header, NULL for none
 * @body: response body
 * @len: length of @body in bytes
 */
struct httpc_reply {
    int status;
    const char *etag;
    const char *reply_header_value;
    const char *body;
    size_t len;
};

/** struct httpc_call - owned by the caller; @done is called once */
struct httpc_call {
    void (*done)(struct httpc_call *call, const struct httpc_reply *reply);
};

/** enum httpc_method - request methods */
enum httpc_method {
    HTTPC_GET,
    HTTPC_PUT,
    HTTPC_POST,
    HTTPC_DELETE,
};

/**
 * struct httpc_request - a request
 * @method: request method
 * @target: path and query
 * @header: name of an additional request header, or NULL
 * @value: value of @header
 * @reply_header: response header to return, or NULL; must outlive the call
 * @body: JSON, or NULL
 * @len: length of @body in bytes
 * @timeout_ms: inactivity after which the call fails with -ETIMEDOUT
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

/** enum httpc_status - status codes of the platform's API */
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

/**
 * httpc_new() - create a client; connects at the first call
 * @body_max: maximum response body, bytes
 *
 * Return: the client, or NULL if out of memory.
 */
struct httpc *
httpc_new(struct event_base *base, const struct httpc_peer *peer,
          size_t body_max);

/** httpc_new_addr() - httpc_new() for an address over plain TCP */
struct httpc *
httpc_new_addr(struct event_base *base, struct addr addr, size_t body_max);

/** httpc_free() - close the connection without a callback; accepts NULL */
void
httpc_free(struct httpc *httpc);

/** httpc_busy() - whether a call is in progress */
bool
httpc_busy(const struct httpc *httpc);

/**
 * httpc_start() - start a call
 *
 * Return: 0, -EBUSY during another call, or -ENOMEM. @call's callback runs
 * only after 0, and never before this returns.
 */
int
httpc_start(struct httpc *httpc, const struct httpc_request *request,
            struct httpc_call *call);

/** httpc_cancel() - cancel the call in progress without a callback */
void
httpc_cancel(struct httpc *httpc);

#endif
