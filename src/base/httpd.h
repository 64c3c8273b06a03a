/**
 * DOC: httpd - a small HTTP/1.1 listener on an event base (libevent)
 *
 * For /metrics, /ready, /announce and the like; all calls come from the
 * thread of the event base. The handler answers before it returns.
 */
#ifndef SWIFTARCH_BASE_HTTPD_H
#define SWIFTARCH_BASE_HTTPD_H

#include <event2/event.h>
#include <stddef.h>

#include "base/addr.h"
#include "base/error.h"

#define HTTPD_BODY_MAX (1u << 20)
#define HTTPD_HEADERS_MAX 8192
#define HTTPD_TIMEOUT_S 10
#define HTTPD_CONNECTIONS_MAX 256

struct httpd;
struct httpd_handler;
struct httpd_request;

/** struct httpd_ops - what the owner of a listener is asked */
struct httpd_ops {
    /**
     * @on_request: a whole request came; call httpd_respond() once.
     * A negative errno without a response is answered with 500.
     */
    int (*on_request)(struct httpd_handler *handler,
                      struct httpd_request *request);
};

/** struct httpd_handler - owner of a listener; the vtable comes first */
struct httpd_handler {
    const struct httpd_ops *ops;
};

/**
 * httpd_new() - listen on @listen (port 0: the kernel picks one)
 *
 * Return: the listener, or NULL with @err filled.
 */
struct httpd *
httpd_new(struct event_base *base, struct addr listen,
          struct httpd_handler *handler, struct error *err);

/** httpd_free() - close the listener and its connections; NULL is fine */
void
httpd_free(struct httpd *httpd);

/** httpd_addr() - address listened on */
struct addr
httpd_addr(const struct httpd *httpd);

/** httpd_request_method() - "GET", "POST", ... */
const char *
httpd_request_method(const struct httpd_request *request);

/** httpd_request_path() - decoded path without the query */
const char *
httpd_request_path(const struct httpd_request *request);

/** httpd_request_query() - value of a query key, or NULL */
const char *
httpd_request_query(const struct httpd_request *request, const char *key);

/** httpd_request_header() - value of a header, or NULL */
const char *
httpd_request_header(const struct httpd_request *request, const char *name);

/** httpd_request_body() - the body, not null-terminated; @len in bytes */
const char *
httpd_request_body(const struct httpd_request *request, size_t *len);

/** httpd_add_header() - a header of the answer, before httpd_respond() */
void
httpd_add_header(struct httpd_request *request, const char *name,
                 const char *value);

/** httpd_respond() - answer with a status and a body */
void
httpd_respond(struct httpd_request *request, int status,
              const char *content_type, const char *body, size_t len);

#endif
