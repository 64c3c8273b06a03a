/**
 * DOC: test_httpd - requests and responses of the HTTP server
 */
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "base/httpd.h"
#include "lib/harness.h"

#define SUITE "/base/httpd"

/** struct echo - a server whose handler returns the parts of the request */
struct echo {
    struct httpd_handler handler;
    unsigned calls;
    struct event_base *base;
    struct httpd *httpd;
    struct addr addr;
};

static int
on_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct echo *echo = (struct echo *)handler;
    const char *query = httpd_request_query(request, "q");
    const char *header = httpd_request_header(request, "X-Id");
    const char *body;
    g_autofree char *text = NULL;
    size_t len;

    echo->calls++;
    if (strcmp(httpd_request_path(request), "/fail") == 0)
        return -EIO;
    body = httpd_request_body(request, &len);
    text =
        g_strdup_printf("%s %s q=%s id=%s %.*s", httpd_request_method(request),
                        httpd_request_path(request), query ? query : "-",
                        header ? header : "-", (int)len, body);
    httpd_respond(request, 200, "text/plain", text, strlen(text));
    return 0;
}

static const struct httpd_ops echo_ops = {.on_request = on_request};

static void
echo_init(struct echo *echo)
{
    struct addr any = {.ip = 0x7f000001};

    echo->handler.ops = &echo_ops;
    echo->base = event_base_new();
    echo->httpd = httpd_new(echo->base, any, &echo->handler, NULL);
    g_assert_nonnull(echo->httpd);
    echo->addr = httpd_addr(echo->httpd);
}

static void
echo_finish(struct echo *echo)
{
    httpd_free(echo->httpd);
    event_base_free(echo->base);
}

static void
on_client_event(struct bufferevent *event, short what, void *data)
{
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        event_base_loopbreak(data);
}

/* Sends @text and returns the complete response. */
static char *
exchange(struct echo *echo, const char *text)
{
    struct sockaddr_in sin = addr_to_sockaddr(echo->addr);
    struct bufferevent *event =
        bufferevent_socket_new(echo->base, -1, BEV_OPT_CLOSE_ON_FREE);
    struct evbuffer *in = bufferevent_get_input(event);
    char *response;

    bufferevent_setcb(event, NULL, NULL, on_client_event, echo->base);
    bufferevent_enable(event, EV_READ | EV_WRITE);
    bufferevent_write(event, text, strlen(text));
    g_assert_cmpint(bufferevent_socket_connect(event, (struct sockaddr *)&sin,
                                               sizeof(sin)),
                    ==, 0);
    event_base_dispatch(echo->base);
    response = g_strndup((const char *)evbuffer_pullup(in, -1),
                         evbuffer_get_length(in));
    bufferevent_free(event);
    return response;
}

static void
expect(struct echo *echo, const char *request, const char *start,
       const char *end)
{
    g_autofree char *response = exchange(echo, request);

    g_test_message("%s", response);
    g_assert_true(g_str_has_prefix(response, start));
    g_assert_true(g_str_has_suffix(response, end));
}

TEST_F(echo, decodes_requests)
{
    g_assert_cmpuint(echo->addr.port, !=, 0);
    expect(echo,
           "GET /a%20b?q=1%2B HTTP/1.1\r\nHost: x\r\nX-Id: 7\r\n"
           "Connection: close\r\n\r\n",
           "HTTP/1.1 200 OK\r\n", "\r\n\r\nGET /a b q=1+ id=7 ");
    expect(echo,
           "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
           "Connection: close\r\n\r\nbody",
           "HTTP/1.1 200 OK\r\n", "\r\n\r\nPOST /p q=- id=- body");
    expect(echo, "GET /fail HTTP/1.0\r\n\r\n", "HTTP/1.0 500 ",
           "request failed: Input/output error\n");
    expect(echo, "GET /a%00b HTTP/1.0\r\n\r\n", "HTTP/1.0 400 ",
           "bad target\n");
    g_assert_cmpuint(echo->calls, ==, 3);
}

TEST_F(echo, reports_address_in_use)
{
    struct error err;

    g_assert_null(httpd_new(echo->base, echo->addr, &echo->handler, &err));
    g_assert_cmpint(err.code, ==, -EADDRINUSE);
}
