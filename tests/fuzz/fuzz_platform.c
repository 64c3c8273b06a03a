#include <event2/bufferevent.h>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#include "mutate.h"
#include "platform/platform.h"

#define SUITE "/fuzz"
#define RUNS 400

/**
 * struct fake - a platform that sends what it is told to
 * @call: the client's call
 * @base: event base
 * @platform: the client
 * @data: answer of this run
 * @len: its length
 * @done: times the call ended
 */
struct fake {
    struct platform_call call;
    struct event_base *base;
    struct platform *platform;
    const uint8_t *data;
    size_t len;
    unsigned done;
};

static struct fake fake;

static void
on_event(struct bufferevent *bev, short events, void *arg)
{
    bufferevent_free(bev);
}

static void
on_written(struct bufferevent *bev, void *arg)
{
    bufferevent_free(bev);
}

/* Whatever was asked: the answer, then the connection ends. */
static void
on_read(struct bufferevent *bev, void *arg)
{
    evbuffer_drain(bufferevent_get_input(bev), SIZE_MAX);
    bufferevent_setcb(bev, NULL, on_written, on_event, NULL);
    if (fake.len == 0) {
        bufferevent_free(bev);
        return;
    }
    bufferevent_write(bev, fake.data, fake.len);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int addr_len, void *arg)
{
    struct bufferevent *bev =
        bufferevent_socket_new(fake.base, fd, BEV_OPT_CLOSE_ON_FREE);

    bufferevent_setcb(bev, on_read, NULL, on_event, NULL);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
on_done(struct platform_call *call, const struct platform_reply *reply)
{
    fake.done++;
    g_assert_cmpint(reply->status, <=, 0);
    g_assert_cmpuint(reply->len, <=, PLATFORM_VALUE_MAX);
    if (reply->status == 0) {
        g_assert_cmpuint(reply->version, >, 0);
    }
    g_assert_true(reply->value != NULL || reply->len == 0);
    event_base_loopbreak(fake.base);
}

static void
decode(const uint8_t *data, size_t len)
{
    fake.data = data;
    fake.len = len;
    fake.done = 0;
    fake.call.done = on_done;
    g_assert_cmpint(platform_get(fake.platform, "config", &fake.call), ==, 0);
    event_base_dispatch(fake.base);
    g_assert_cmpuint(fake.done, ==, 1);
}

TEST(platform)
{
    struct mutate_sample samples[] = {
        mutate_string("HTTP/1.1 200 OK\r\nETag: \"17\"\r\n"
                      "Content-Length: 5\r\n\r\nhello"),
        mutate_string("HTTP/1.1 304 Not Modified\r\nETag: \"17\"\r\n\r\n"),
        mutate_string("HTTP/1.1 412 Precondition Failed\r\nETag: \"9\"\r\n"
                      "Content-Length: 0\r\n\r\n"),
    };
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t at_len = sizeof(at);
    struct evconnlistener *listener;
    struct error err = {0};
    g_autofree char *url = NULL;

    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    fake.base = event_base_new();
    listener = evconnlistener_new_bind(fake.base, on_accept, NULL,
                                       LEV_OPT_CLOSE_ON_FREE, 16,
                                       (struct sockaddr *)&at, sizeof(at));
    g_assert_nonnull(listener);
    g_assert_cmpint(getsockname(evconnlistener_get_fd(listener),
                                (struct sockaddr *)&at, &at_len),
                    ==, 0);
    url = g_strdup_printf("http://127.0.0.1:%u", ntohs(at.sin_port));
    fake.platform = platform_new(fake.base, url, &err);
    g_assert_nonnull(fake.platform);
    MUTATE("platform answers", samples, RUNS, decode);
    platform_free(fake.platform);
    evconnlistener_free(listener);
    event_base_free(fake.base);
}
