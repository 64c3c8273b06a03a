/**
 * DOC: httpd - HTTP/1.1 server on a libevent event base
 *
 * Serves /metrics, /ready, /announce and similar paths. Handlers run in the
 * event base's thread and respond before they return.
 */
#ifndef SWIFTARCH_BASE_HTTPD_H
#define SWIFTARCH_BASE_HTTPD_H

#include <event2/event.h>
#include <stddef.h>

#include "base/addr.h"
#include "base/error.h"

#define HTTPD_BODY_MAX (1u << 20) /* bytes */
#define HTTPD_HEADERS_MAX 8192    /* bytes */
#define HTTPD_TIMEOUT_S 10
#define HTTPD_CONNECTIONS_MAX 256

struct httpd;
struct httpd_handler;
struct httpd_request;

/** struct httpd_ops - vtable of a request handler */
struct httpd_ops {
    /**
     * @on_request: handles a complete request; calls httpd_respond() once.
     * Without a response the client gets status 500 and the text of the
     * negative errno that was returned.
     */
    int (*on_request)(struct httpd_handler *handler,
                      struct httpd_request *request);
};

/** struct httpd_handler - request handler, embedded as first member */
struct httpd_handler {
    const struct httpd_ops *ops;
};

/**
 * httpd_new() - listen on @listen (port 0 selects a free port)
 *
 * Return: the server, or NULL with @err set.
 */
struct httpd *
httpd_new(struct event_base *base, struct addr listen,
          struct httpd_handler *handler, struct error *err);

/** httpd_free() - close the listener and its connections; accepts NULL */
void
httpd_free(struct httpd *httpd);

/** httpd_addr() - listening address with the actual port */
struct addr
httpd_addr(const struct httpd *httpd);

/** httpd_request_method() - "GET", "POST", ... */
const char *
httpd_request_method(const struct httpd_request *request);

/** httpd_request_path() - percent-decoded path without the query */
const char *
httpd_request_path(const struct httpd_request *request);

/** httpd_request_query() - value of a query parameter, or NULL */
const char *
httpd_request_query(const struct httpd_request *request, const char *key);

/** httpd_request_header() - value of a request header, or NULL */
const char *
httpd_request_header(const struct httpd_request *request, const char *name);

/** httpd_request_body() - request body, not null-terminated; @len in bytes */
const char *
httpd_request_body(const struct httpd_request *request, size_t *len);

/** httpd_add_header() - add a response header, before httpd_respond() */
void
httpd_add_header(struct httpd_request *request, const char *name,
                 const char *value);

/** httpd_respond() - send the response; later calls are ignored */
void
httpd_respond(struct httpd_request *request, int status,
              const char *content_type, const char *body, size_t len);

#endif
