#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <unistd.h>

#include "agent/backend.h"
#include "lib/harness.h"

#define SUITE "/agent/back"
#define REQUEST "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
#define HEADER_200 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"

/** struct fixture - a backend, and an upstream that sends @script and closes
 */
struct fixture {
    struct backend_owner owner;
    struct event_base *base;
    struct evconnlistener *listener;
    struct addr upstream;
    struct backend backend;
    const char *script;
    bool stay_open;
    struct bufferevent *last;
    GString *received;
    size_t ends;
    enum engine_upstream how;
    GByteArray *answer;
};

static void
on_end(struct backend_owner *owner, void *data, enum engine_upstream how,
       GByteArray *answer)
{
    struct fixture *fixture = (struct fixture *)owner;

    fixture->ends++;
    fixture->how = how;
    fixture->answer = answer;
    event_base_loopbreak(fixture->base);
}

static const struct backend_ops backend_ops = {.on_end = on_end};

static void
on_written(struct bufferevent *bev, void *arg)
{
    struct fixture *fixture = arg;

    if (!fixture->stay_open && fixture->received->len > 0) {
        bufferevent_free(bev);
        fixture->last = NULL;
    }
}

static void
on_request(struct bufferevent *bev, void *arg)
{
    struct fixture *fixture = arg;
    char buf[512];
    size_t len = bufferevent_read(bev, buf, sizeof(buf));

    g_string_append_len(fixture->received, buf, (gssize)len);
    if (fixture->script == NULL) {
        event_base_loopbreak(fixture->base);
    }
    else if (fixture->script[0] == '\0') {
        bufferevent_free(bev);
        fixture->last = NULL;
    }
    else {
        bufferevent_write(bev, fixture->script, strlen(fixture->script));
    }
}

static void
on_gone(struct bufferevent *bev, short what, void *arg)
{
    struct fixture *fixture = arg;

    bufferevent_free(bev);
    fixture->last = NULL;
    event_base_loopbreak(fixture->base);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int len, void *arg)
{
    struct fixture *fixture = arg;

    fixture->last =
        bufferevent_socket_new(fixture->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(fixture->last, on_request, on_written, on_gone, fixture);
    bufferevent_enable(fixture->last, EV_READ | EV_WRITE);
}

static void
fixture_init(struct fixture *fixture, const char *script)
{
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(sin);

    memset(fixture, 0, sizeof(*fixture));
    fixture->owner.ops = &backend_ops;
    fixture->base = event_base_new();
    fixture->script = script;
    fixture->received = g_string_new(NULL);
    fixture->listener = evconnlistener_new_bind(
        fixture->base, on_accept, fixture, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&sin, sizeof(sin));
    getsockname(evconnlistener_get_fd(fixture->listener),
                (struct sockaddr *)&sin, &len);
    fixture->upstream = addr_from_sockaddr(&sin);
    backend_init(&fixture->backend, fixture->base, &fixture->owner);
}

static void
fixture_finish(struct fixture *fixture)
{
    backend_finish(&fixture->backend);
    if (fixture->last != NULL) {
        bufferevent_free(fixture->last);
    }
    if (fixture->listener != NULL) {
        evconnlistener_free(fixture->listener);
    }
    event_base_free(fixture->base);
    g_string_free(fixture->received, TRUE);
    if (fixture->answer != NULL) {
        g_byte_array_unref(fixture->answer);
    }
}

static struct backend_run *
start(struct fixture *fixture, const char *request)
{
    g_autoptr(GByteArray) http = g_byte_array_new();

    g_byte_array_append(http, (const guint8 *)request, (guint)strlen(request));
    struct backend_run *run = backend_start(
        &fixture->backend, fixture->upstream, http, "X-Line: 1\r\n", 64, NULL);
    g_assert_nonnull(run);
    return run;
}

/** struct run_end_case - an upstream's bytes and the expected end of the run
 */
struct run_end_case {
    const char *name;
    const char *script;
    enum engine_upstream how;
    const char *answer;
};

static const struct run_end_case run_end_cases[] = {
    {"complete", HEADER_200 "body", ENGINE_UP_ANSWERED, HEADER_200 "body"},
    {"two answers", HEADER_200 "body" HEADER_200 "next", ENGINE_UP_ANSWERED,
     HEADER_200 "body"},
    {"chunked",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "4\r\nbody\r\n0\r\n\r\n",
     ENGINE_UP_ANSWERED, HEADER_200 "body"},
    {"agent fields",
     "HTTP/1.1 200 OK\r\nSwiftarch-Outcome: not-run\r\n"
     "Content-Length: 4\r\n\r\nbody",
     ENGINE_UP_ANSWERED, HEADER_200 "body"},
    {"interim", "HTTP/1.1 100 Continue\r\n\r\n" HEADER_200 "body",
     ENGINE_UP_ANSWERED, HEADER_200 "body"},
    {"truncated", HEADER_200 "bo", ENGINE_UP_TRUNCATED, NULL},
    {"truncated chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
     ENGINE_UP_TRUNCATED, NULL},
    {"unframed", "HTTP/1.1 200 OK\r\n\r\nbody", ENGINE_UP_TRUNCATED, NULL},
    {"too large", "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n",
     ENGINE_UP_TRUNCATED, NULL},
    {"not HTTP", "nonsense\r\n\r\n", ENGINE_UP_TRUNCATED, NULL},
    {"refused",
     "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
     ENGINE_UP_REFUSED, NULL},
    {"503 without Retry-After", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
     ENGINE_UP_ANSWERED, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"},
    {"truncated refusal",
     "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 5\r\n\r\n",
     ENGINE_UP_TRUNCATED, NULL},
    {"closed without answer", "", ENGINE_UP_LOST, NULL},
};

TEST(run_end_cases)
{
    for (size_t i = 0; i < G_N_ELEMENTS(run_end_cases); i++) {
        const struct run_end_case *run_end_case = &run_end_cases[i];
        struct fixture fixture;
        fixture_init(&fixture, run_end_case->script);
        start(&fixture, REQUEST);
        event_base_dispatch(fixture.base);
        g_test_message("%s", run_end_case->name);
        g_assert_cmpuint(fixture.ends, ==, 1);
        g_assert_cmpint(fixture.how, ==, run_end_case->how);
        g_assert_cmpint(fixture.answer != NULL, ==,
                        run_end_case->answer != NULL);
        if (run_end_case->answer != NULL) {
            g_assert_cmpmem(fixture.answer->data, fixture.answer->len,
                            run_end_case->answer,
                            strlen(run_end_case->answer));
        }
        g_assert_cmpstr(fixture.received->str, ==,
                        "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                        "X-Line: 1\r\n\r\nx");
        fixture_finish(&fixture);
    }
}

TEST_F(fixture, head, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n")
{
    start(fixture, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    event_base_dispatch(fixture->base);
    g_assert_cmpint(fixture->how, ==, ENGINE_UP_ANSWERED);
    g_assert_cmpuint(fixture->answer->len, ==, strlen(fixture->script));
}

TEST_F(fixture, unreached, HEADER_200 "body")
{
    evconnlistener_free(fixture->listener);
    fixture->listener = NULL;
    start(fixture, REQUEST);
    g_assert_cmpuint(fixture->ends, ==,
                     0); /* not reported within backend_start() */
    event_base_dispatch(fixture->base);
    g_assert_cmpint(fixture->how, ==, ENGINE_UP_UNREACHED);
}

/* An aborted run is not reported: its connection closes, and a late answer of
 * the upstream is dropped. */
TEST_F(fixture, late_answer_after_abort, NULL)
{
    fixture->stay_open = true;
    struct backend_run *run = start(fixture, REQUEST);
    event_base_dispatch(fixture->base);
    g_assert_cmpuint(fixture->received->len, >, 0);
    backend_abort(run);
    bufferevent_write(fixture->last, HEADER_200 "late",
                      strlen(HEADER_200 "late"));
    event_base_dispatch(fixture->base);
    g_assert_null(fixture->last);
    event_base_loop(fixture->base, EVLOOP_NONBLOCK);
    g_assert_cmpuint(fixture->ends, ==, 0);
}
