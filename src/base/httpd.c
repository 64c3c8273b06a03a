#include "base/httpd.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct httpd {
    struct httpd_handler *handler;
    struct evhttp *http;
    struct addr addr;
};

/**
 * struct httpd_request - a request during its handler
 * @event: libevent's request
 * @path: percent-decoded path
 * @query: parsed query parameters
 * @responded: httpd_respond() was called
 */
struct httpd_request {
    struct evhttp_request *event;
    char *path;
    struct evkeyvalq query;
    bool responded;
};

static const struct {
    enum evhttp_cmd_type type;
    const char *name;
} methods[] = {
    {EVHTTP_REQ_GET, "GET"},         {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_PUT, "PUT"},         {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_HEAD, "HEAD"},       {EVHTTP_REQ_PATCH, "PATCH"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
};

static const char *
reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

/* Decodes path and query; false if either is malformed. */
static bool
request_parse_uri(struct httpd_request *request)
{
    const struct evhttp_uri *uri =
        evhttp_request_get_evhttp_uri(request->event);
    const char *path = uri != NULL ? evhttp_uri_get_path(uri) : NULL;
    const char *query = uri != NULL ? evhttp_uri_get_query(uri) : NULL;
    size_t len;

    if (path == NULL)
        return false;
    request->path = evhttp_uridecode(path, 0, &len);
    if (request->path == NULL || strlen(request->path) != len)
        return false;
    return query == NULL ||
           evhttp_parse_query_str(query, &request->query) == 0;
}

static void
on_event(struct evhttp_request *event, void *data)
{
    struct httpd *httpd = data;
    struct httpd_request request = {.event = event};
    int ret = 0;

    request.query.tqh_last = &request.query.tqh_first;
    if (request_parse_uri(&request))
        ret = httpd->handler->ops->on_request(httpd->handler, &request);
    else
        httpd_respond(&request, 400, "text/plain", "bad target\n", 11);
    if (!request.responded) {
        char text[64];
        int len = snprintf(text, sizeof(text), "request failed: %s\n",
                           strerror(ret < 0 ? -ret : EIO));

        httpd_respond(&request, 500, "text/plain", text, (size_t)len);
    }
    evhttp_clear_headers(&request.query);
    free(request.path);
}

static struct evhttp *
http_new(struct event_base *base)
{
    struct evhttp *http = evhttp_new(base);

    if (http == NULL)
        return NULL;
    evhttp_set_max_body_size(http, HTTPD_BODY_MAX);
    evhttp_set_max_headers_size(http, HTTPD_HEADERS_MAX);
    evhttp_set_timeout(http, HTTPD_TIMEOUT_S);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                         EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                         EVHTTP_REQ_OPTIONS);
    return http;
}

/* Binds the socket itself, since evhttp takes an address only as text. */
static int
bind_http(struct httpd *httpd, struct event_base *base, struct addr listen)
{
    struct sockaddr_in sin = addr_to_sockaddr(listen);
    socklen_t len = sizeof(sin);
    struct evconnlistener *listener;
    int code;

    errno = 0;
    listener = evconnlistener_new_bind(
        base, NULL, NULL,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&sin, sizeof(sin));
    if (listener == NULL)
        return errno != 0 ? -errno : -ENOMEM;
    if (getsockname(evconnlistener_get_fd(listener), (struct sockaddr *)&sin,
                    &len) < 0 ||
        evhttp_bind_listener(httpd->http, listener) == NULL) {
        code = errno != 0 ? -errno : -ENOMEM;
        evconnlistener_free(listener);
        return code;
    }
    httpd->addr = addr_from_sockaddr(&sin);
    return 0;
}

struct httpd *
httpd_new(struct event_base *base, struct addr listen,
          struct httpd_handler *handler, struct error *err)
{
    struct httpd *httpd = calloc(1, sizeof(*httpd));
    char text[ADDR_TEXT_MAX];
    int ret = -ENOMEM;

    if (httpd == NULL)
        goto err;
    httpd->handler = handler;
    httpd->http = http_new(base);
    if (httpd->http == NULL)
        goto err;
    ret = bind_http(httpd, base, listen);
    if (ret < 0)
        goto err;
    evhttp_set_gencb(httpd->http, on_event, httpd);
    return httpd;

err:
    error_set(err, ret, "listen for HTTP", addr_format(listen, text),
              "can't bind or listen on the address");
    httpd_free(httpd);
    return NULL;
}

void
httpd_free(struct httpd *httpd)
{
    if (httpd == NULL)
        return;
    if (httpd->http != NULL)
        evhttp_free(httpd->http);
    free(httpd);
}

struct addr
httpd_addr(const struct httpd *httpd)
{
    return httpd->addr;
}

const char *
httpd_request_method(const struct httpd_request *request)
{
    enum evhttp_cmd_type type = evhttp_request_get_command(request->event);

    for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
        if (methods[i].type == type)
            return methods[i].name;
    }
    return "";
}

const char *
httpd_request_path(const struct httpd_request *request)
{
    return request->path;
}

const char *
httpd_request_query(const struct httpd_request *request, const char *key)
{
    return evhttp_find_header(&request->query, key);
}

const char *
httpd_request_header(const struct httpd_request *request, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request->event),
                              name);
}

const char *
httpd_request_body(const struct httpd_request *request, size_t *len)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request->event);

    *len = evbuffer_get_length(input);
    if (*len == 0)
        return "";
    return (const char *)evbuffer_pullup(input, -1);
}

void
httpd_add_header(struct httpd_request *request, const char *name,
                 const char *value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request->event), name,
                      value);
}

void
httpd_respond(struct httpd_request *request, int status,
              const char *content_type, const char *body, size_t len)
{
    struct evbuffer *output = evhttp_request_get_output_buffer(request->event);

    if (request->responded)
        return;
    request->responded = true;
    evhttp_add_header(evhttp_request_get_output_headers(request->event),
                      "Content-Type", content_type);
    evbuffer_add(output, body, len);
    evhttp_send_reply(request->event, status, reason_phrase(status), output);
}
