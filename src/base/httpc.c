#include "base/httpc.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>

#define MSEC_PER_SEC 1000
#define USEC_PER_MSEC_INT 1000

/* Keep-alive probes detect a dead peer after 3 s. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 2

/**
 * struct httpc - a client
 * @base: event base
 * @peer: server; its host is a copy
 * @host: value of the Host header
 * @body_max: maximum response body, bytes
 * @connection: libevent's connection, NULL when not connected
 * @stale: closed connection, freed outside of its own callback
 * @free_stale_event: frees @stale
 * @call: call in progress or NULL
 * @reply_header: response header that @call requests, or NULL
 * @failure: errno of @call's failure, 0 for none
 */
struct httpc {
    struct event_base *base;
    struct httpc_peer peer;
    char *host;
    size_t body_max;
    struct evhttp_connection *connection;
    struct evhttp_connection *stale;
    struct event *free_stale_event;
    struct httpc_call *call;
    const char *reply_header;
    int failure;
};

static const enum evhttp_cmd_type commands[] = {
    [HTTPC_GET] = EVHTTP_REQ_GET,
    [HTTPC_PUT] = EVHTTP_REQ_PUT,
    [HTTPC_POST] = EVHTTP_REQ_POST,
    [HTTPC_DELETE] = EVHTTP_REQ_DELETE,
};

static void
free_stale_connection(struct httpc *httpc)
{
    if (httpc->stale != NULL) {
        evhttp_connection_free(httpc->stale);
        httpc->stale = NULL;
    }
}

static void
on_free_stale(evutil_socket_t fd, short events, void *data)
{
    free_stale_connection(data);
}

/* Defers freeing: libevent can't free a connection in its own callback. */
static void
drop_connection(struct httpc *httpc)
{
    if (httpc->connection == NULL) {
        return;
    }
    free_stale_connection(httpc);
    httpc->stale = httpc->connection;
    httpc->connection = NULL;
    event_active(httpc->free_stale_event, EV_TIMEOUT, 1);
}

static void
finish(struct httpc *httpc, const struct httpc_reply *reply)
{
    struct httpc_call *call = httpc->call;

    httpc->call = NULL;
    if (call != NULL) {
        call->done(call, reply);
    }
}

static void
on_error(enum evhttp_request_error error, void *data)
{
    struct httpc *httpc = data;

    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        httpc->failure = ETIMEDOUT;
        break;
    case EVREQ_HTTP_EOF:
        httpc->failure = ECONNRESET;
        break;
    case EVREQ_HTTP_DATA_TOO_LONG:
        httpc->failure = EMSGSIZE;
        break;
    default:
        httpc->failure = EPROTO;
    }
}

static void
on_done(struct evhttp_request *request, void *data)
{
    struct httpc *httpc = data;
    int status =
        request != NULL ? evhttp_request_get_response_code(request) : 0;
    struct httpc_reply reply = {.status = status};
    struct evkeyvalq *headers;
    struct evbuffer *input;

    if (status == 0) {
        reply.status = httpc->failure != 0 ? -httpc->failure : -ECONNREFUSED;
        drop_connection(httpc);
        finish(httpc, &reply);
        return;
    }
    headers = evhttp_request_get_input_headers(request);
    reply.etag = evhttp_find_header(headers, "ETag");
    if (httpc->reply_header != NULL) {
        reply.reply_header_value =
            evhttp_find_header(headers, httpc->reply_header);
    }
    input = evhttp_request_get_input_buffer(request);
    reply.len = evbuffer_get_length(input);
    reply.body = reply.len > 0 ? (const char *)evbuffer_pullup(input, -1) : "";
    finish(httpc, &reply);
}

static void
set_keepalive(struct evhttp_connection *connection)
{
    struct bufferevent *bev = evhttp_connection_get_bufferevent(connection);
    evutil_socket_t fd = bufferevent_getfd(bev);
    int on = 1;
    int idle = KEEPALIVE_IDLE_S;
    int interval = KEEPALIVE_INTERVAL_S;
    int count = KEEPALIVE_COUNT;

    if (fd < 0) {
        return;
    }
    /* Errors are ignored: the call's timeout still applies. */
    (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
                     sizeof(interval));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static int
connect_peer(struct httpc *httpc)
{
    struct httpc_transport *transport = httpc->peer.transport;
    struct bufferevent *bev = NULL;

    if (httpc->connection != NULL) {
        return 0;
    }
    if (transport != NULL) {
        bev = transport->ops->open(transport, httpc->base);
        if (bev == NULL) {
            return -ENOMEM;
        }
    }
    httpc->connection = evhttp_connection_base_bufferevent_new(
        httpc->base, httpc->peer.dns_base, bev, httpc->peer.host,
        httpc->peer.port);
    if (httpc->connection == NULL) {
        return -ENOMEM;
    }
    evhttp_connection_set_max_body_size(httpc->connection,
                                        (ev_ssize_t)httpc->body_max);
    return 0;
}

struct httpc *
httpc_new(struct event_base *base, const struct httpc_peer *peer,
          size_t body_max)
{
    struct httpc *httpc = g_new0(struct httpc, 1);

    httpc->base = base;
    httpc->peer = *peer;
    httpc->peer.host = g_strdup(peer->host);
    httpc->host = g_strdup_printf("%s:%u", peer->host, peer->port);
    httpc->body_max = body_max;
    httpc->free_stale_event = event_new(base, -1, 0, on_free_stale, httpc);
    if (httpc->free_stale_event == NULL) {
        httpc_free(httpc);
        return NULL;
    }
    return httpc;
}

struct httpc *
httpc_new_addr(struct event_base *base, struct addr addr, size_t body_max)
{
    char host[ADDR_TEXT_MAX];
    struct httpc_peer peer = {.host = host, .port = addr.port};

    addr_format(addr, host);
    *strchr(host, ':') = '\0';
    return httpc_new(base, &peer, body_max);
}

void
httpc_free(struct httpc *httpc)
{
    if (httpc == NULL) {
        return;
    }
    httpc->call = NULL;
    if (httpc->connection != NULL) {
        evhttp_connection_free(httpc->connection);
    }
    free_stale_connection(httpc);
    if (httpc->free_stale_event != NULL) {
        event_free(httpc->free_stale_event);
    }
    g_free((char *)httpc->peer.host);
    g_free(httpc->host);
    g_free(httpc);
}

bool
httpc_busy(const struct httpc *httpc)
{
    return httpc->call != NULL;
}

static struct evhttp_request *
new_request(struct httpc *httpc, const struct httpc_request *request)
{
    struct evhttp_request *http_request = evhttp_request_new(on_done, httpc);
    struct evkeyvalq *headers;

    if (http_request == NULL) {
        return NULL;
    }
    evhttp_request_set_error_cb(http_request, on_error);
    headers = evhttp_request_get_output_headers(http_request);
    evhttp_add_header(headers, "Host", httpc->host);
    if (request->header != NULL) {
        evhttp_add_header(headers, request->header, request->value);
    }
    if (request->body != NULL) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(http_request),
                     request->body, request->len);
    }
    return http_request;
}

int
httpc_start(struct httpc *httpc, const struct httpc_request *request,
            struct httpc_call *call)
{
    unsigned ms = request->timeout_ms;
    struct timeval timeout = {
        .tv_sec = ms / MSEC_PER_SEC,
        .tv_usec = ms % MSEC_PER_SEC * USEC_PER_MSEC_INT,
    };
    struct evhttp_request *http_request;

    if (httpc->call != NULL) {
        return -EBUSY;
    }
    if (connect_peer(httpc) < 0) {
        return -ENOMEM;
    }
    http_request = new_request(httpc, request);
    if (http_request == NULL) {
        return -ENOMEM;
    }
    evhttp_connection_set_timeout_tv(httpc->connection, &timeout);
    httpc->failure = 0;
    httpc->reply_header = request->reply_header;
    httpc->call = call;
    if (evhttp_make_request(httpc->connection, http_request,
                            commands[request->method], request->target) != 0) {
        /* libevent has freed the request and may have called on_done(). */
        httpc->call = NULL;
        drop_connection(httpc);
        return -ENOMEM;
    }
    set_keepalive(httpc->connection);
    return 0;
}

void
httpc_cancel(struct httpc *httpc)
{
    httpc->call = NULL;
    drop_connection(httpc);
}
