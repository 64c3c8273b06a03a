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
 * struct fake_platform - a platform that replies with the input of the run
 * @call: call of the client
 * @base: event base
 * @platform: client under test
 * @data: reply of this run
 * @len: length of @data in bytes
 * @done: completions of the call
 */
struct fake_platform {
    struct platform_call call;
    struct event_base *base;
    struct platform *platform;
    const uint8_t *data;
    size_t len;
    unsigned done;
};

static struct fake_platform fake_platform;

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

/* Sends the reply to any request, then closes the connection. */
static void
on_read(struct bufferevent *bev, void *arg)
{
    evbuffer_drain(bufferevent_get_input(bev), SIZE_MAX);
    bufferevent_setcb(bev, NULL, on_written, on_event, NULL);
    if (fake_platform.len == 0) {
        bufferevent_free(bev);
        return;
    }
    bufferevent_write(bev, fake_platform.data, fake_platform.len);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int addr_len, void *arg)
{
    struct bufferevent *bev =
        bufferevent_socket_new(fake_platform.base, fd, BEV_OPT_CLOSE_ON_FREE);

    bufferevent_setcb(bev, on_read, NULL, on_event, NULL);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void
on_done(struct platform_call *call, const struct platform_reply *reply)
{
    fake_platform.done++;
    g_assert_cmpint(reply->status, <=, 0);
    g_assert_cmpuint(reply->len, <=, PLATFORM_VALUE_MAX);
    if (reply->status == 0) {
        g_assert_cmpuint(reply->version, >, 0);
    }
    g_assert_true(reply->value != NULL || reply->len == 0);
    event_base_loopbreak(fake_platform.base);
}

static void
decode(const uint8_t *data, size_t len)
{
    fake_platform.data = data;
    fake_platform.len = len;
    fake_platform.done = 0;
    fake_platform.call.done = on_done;
    g_assert_cmpint(
        platform_get(fake_platform.platform, "config", &fake_platform.call),
        ==, 0);
    event_base_dispatch(fake_platform.base);
    g_assert_cmpuint(fake_platform.done, ==, 1);
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
    fake_platform.base = event_base_new();
    listener = evconnlistener_new_bind(fake_platform.base, on_accept, NULL,
                                       LEV_OPT_CLOSE_ON_FREE, 16,
                                       (struct sockaddr *)&at, sizeof(at));
    g_assert_nonnull(listener);
    g_assert_cmpint(getsockname(evconnlistener_get_fd(listener),
                                (struct sockaddr *)&at, &at_len),
                    ==, 0);
    url = g_strdup_printf("http://127.0.0.1:%u", ntohs(at.sin_port));
    fake_platform.platform = platform_new(fake_platform.base, url, &err);
    g_assert_nonnull(fake_platform.platform);
    MUTATE("platform answers", samples, RUNS, decode);
    platform_free(fake_platform.platform);
    evconnlistener_free(listener);
    event_base_free(fake_platform.base);
}
