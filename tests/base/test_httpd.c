/**
 * DOC: test_httpd - requests and answers of the HTTP listener
 */
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <string.h>

#include "base/httpd.h"

/** struct echo - a handler that says what it was asked */
struct echo {
    struct httpd_handler base;
    unsigned calls;
};

static int
on_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct echo *echo = (struct echo *)handler;
    const char *query = httpd_request_query(request, "q");
    const char *header = httpd_request_header(request, "X-Id");
    const char *body;
    char *text;
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
    g_free(text);
    return 0;
}

static const struct httpd_ops echo_ops = {.on_request = on_request};

static void
on_client_event(struct bufferevent *event, short what, void *data)
{
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        event_base_loopbreak(data);
}

/* All that the listener at @to sends back for @text. */
static char *
ask(struct event_base *base, struct addr to, const char *text)
{
    struct sockaddr_in sin = addr_to_sockaddr(to);
    struct bufferevent *event =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    struct evbuffer *in = bufferevent_get_input(event);
    char *answer;

    bufferevent_setcb(event, NULL, NULL, on_client_event, base);
    bufferevent_enable(event, EV_READ | EV_WRITE);
    bufferevent_write(event, text, strlen(text));
    g_assert_cmpint(bufferevent_socket_connect(event, (struct sockaddr *)&sin,
                                               sizeof(sin)),
                    ==, 0);
    event_base_dispatch(base);
    answer = g_strndup((const char *)evbuffer_pullup(in, -1),
                       evbuffer_get_length(in));
    bufferevent_free(event);
    return answer;
}

static void
expect(struct event_base *base, struct addr to, const char *request,
       const char *start, const char *end)
{
    char *answer = ask(base, to, request);

    g_test_message("%s", answer);
    g_assert_true(g_str_has_prefix(answer, start));
    g_assert_true(g_str_has_suffix(answer, end));
    g_free(answer);
}

static void
test_requests(void)
{
    struct event_base *base = event_base_new();
    struct echo echo = {.base.ops = &echo_ops};
    struct addr any = {.ip = 0x7f000001};
    struct httpd *httpd = httpd_new(base, any, &echo.base, NULL);
    struct addr at;

    g_assert_nonnull(httpd);
    at = httpd_addr(httpd);
    g_assert_cmpuint(at.port, !=, 0);
    expect(base, at,
           "GET /a%20b?q=1%2B HTTP/1.1\r\nHost: x\r\nX-Id: 7\r\n"
           "Connection: close\r\n\r\n",
           "HTTP/1.1 200 OK\r\n", "\r\n\r\nGET /a b q=1+ id=7 ");
    expect(base, at,
           "POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
           "Connection: close\r\n\r\nbody",
           "HTTP/1.1 200 OK\r\n", "\r\n\r\nPOST /p q=- id=- body");
    expect(base, at, "GET /fail HTTP/1.0\r\n\r\n", "HTTP/1.0 500 ",
           "request failed: Input/output error\n");
    expect(base, at, "GET /a%00b HTTP/1.0\r\n\r\n", "HTTP/1.0 400 ",
           "bad target\n");
    g_assert_cmpuint(echo.calls, ==, 3);
    httpd_free(httpd);
    event_base_free(base);
}

static void
test_address_in_use(void)
{
    struct event_base *base = event_base_new();
    struct echo echo = {.base.ops = &echo_ops};
    struct addr any = {.ip = 0x7f000001};
    struct httpd *httpd = httpd_new(base, any, &echo.base, NULL);
    struct error err;

    g_assert_null(httpd_new(base, httpd_addr(httpd), &echo.base, &err));
    g_assert_cmpint(err.code, ==, -EADDRINUSE);
    httpd_free(httpd);
    event_base_free(base);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/base/httpd/requests", test_requests);
    g_test_add_func("/base/httpd/address-in-use", test_address_in_use);
    return g_test_run();
}
