#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string.h>
#include <unistd.h>

#include "agent/back.h"
#include "lib/harness.h"

#define SUITE "/agent/back"
#define REQUEST "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
#define WHOLE "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"

/** struct world - a back, and an upstream that says @script and closes */
struct world {
    struct back_owner owner;
    struct event_base *base;
    struct evconnlistener *listener;
    struct addr upstream;
    struct back back;
    const char *script;
    bool stay_open;
    struct bufferevent *last;
    GString *received;
    size_t ends;
    enum engine_upstream how;
    GByteArray *answer;
};

static void
on_end(struct back_owner *owner, void *data, enum engine_upstream how,
       GByteArray *answer)
{
    struct world *world = (struct world *)owner;

    world->ends++;
    world->how = how;
    world->answer = answer;
    event_base_loopbreak(world->base);
}

static const struct back_ops back_ops = {.on_end = on_end};

static void
on_written(struct bufferevent *bev, void *arg)
{
    struct world *world = arg;

    if (!world->stay_open && world->received->len > 0) {
        bufferevent_free(bev);
        world->last = NULL;
    }
}

static void
on_request(struct bufferevent *bev, void *arg)
{
    struct world *world = arg;
    char buf[512];
    size_t len = bufferevent_read(bev, buf, sizeof(buf));

    g_string_append_len(world->received, buf, (gssize)len);
    if (world->script == NULL) {
        event_base_loopbreak(world->base);
    }
    else if (world->script[0] == '\0') {
        bufferevent_free(bev);
        world->last = NULL;
    }
    else {
        bufferevent_write(bev, world->script, strlen(world->script));
    }
}

static void
on_gone(struct bufferevent *bev, short what, void *arg)
{
    struct world *world = arg;

    bufferevent_free(bev);
    world->last = NULL;
    event_base_loopbreak(world->base);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *addr, int len, void *arg)
{
    struct world *world = arg;

    world->last =
        bufferevent_socket_new(world->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(world->last, on_request, on_written, on_gone, world);
    bufferevent_enable(world->last, EV_READ | EV_WRITE);
}

static void
world_init(struct world *world, const char *script)
{
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(sin);

    memset(world, 0, sizeof(*world));
    world->owner.ops = &back_ops;
    world->base = event_base_new();
    world->script = script;
    world->received = g_string_new(NULL);
    world->listener = evconnlistener_new_bind(
        world->base, on_accept, world, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&sin, sizeof(sin));
    getsockname(evconnlistener_get_fd(world->listener),
                (struct sockaddr *)&sin, &len);
    world->upstream = addr_from_sockaddr(&sin);
    back_init(&world->back, world->base, &world->owner);
}

static void
world_finish(struct world *world)
{
    back_finish(&world->back);
    if (world->last != NULL) {
        bufferevent_free(world->last);
    }
    if (world->listener != NULL) {
        evconnlistener_free(world->listener);
    }
    event_base_free(world->base);
    g_string_free(world->received, TRUE);
    if (world->answer != NULL) {
        g_byte_array_unref(world->answer);
    }
}

static struct back_run *
start(struct world *world, const char *request)
{
    g_autoptr(GByteArray) http = g_byte_array_new();

    g_byte_array_append(http, (const guint8 *)request, (guint)strlen(request));
    struct back_run *run = back_start(&world->back, world->upstream, http,
                                      "X-Line: 1\r\n", 64, NULL);
    g_assert_nonnull(run);
    return run;
}

/** struct ending - what an upstream says, and what that means */
struct ending {
    const char *name;
    const char *script;
    enum engine_upstream how;
    const char *answer;
};

static const struct ending endings[] = {
    {"whole", WHOLE "body", ENGINE_UP_ANSWERED, WHOLE "body"},
    {"twice", WHOLE "body" WHOLE "next", ENGINE_UP_ANSWERED, WHOLE "body"},
    {"chunked",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "4\r\nbody\r\n0\r\n\r\n",
     ENGINE_UP_ANSWERED, WHOLE "body"},
    {"pretending",
     "HTTP/1.1 200 OK\r\nSwiftarch-Outcome: not-run\r\n"
     "Content-Length: 4\r\n\r\nbody",
     ENGINE_UP_ANSWERED, WHOLE "body"},
    {"interim", "HTTP/1.1 100 Continue\r\n\r\n" WHOLE "body",
     ENGINE_UP_ANSWERED, WHOLE "body"},
    {"cut", WHOLE "bo", ENGINE_UP_TRUNCATED, NULL},
    {"cut chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
     ENGINE_UP_TRUNCATED, NULL},
    {"unframed", "HTTP/1.1 200 OK\r\n\r\nbody", ENGINE_UP_TRUNCATED, NULL},
    {"too large", "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n",
     ENGINE_UP_TRUNCATED, NULL},
    {"nonsense", "nonsense\r\n\r\n", ENGINE_UP_TRUNCATED, NULL},
    {"shed", "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
     ENGINE_UP_REFUSED, NULL},
    {"failed", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
     ENGINE_UP_ANSWERED, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"},
    {"cut shed",
     "HTTP/1.1 503 No\r\nRetry-After: 1\r\nContent-Length: 5\r\n\r\n",
     ENGINE_UP_TRUNCATED, NULL},
    {"silent", "", ENGINE_UP_LOST, NULL},
};

TEST(endings)
{
    for (size_t i = 0; i < G_N_ELEMENTS(endings); i++) {
        const struct ending *ending = &endings[i];
        struct world world;
        world_init(&world, ending->script);
        start(&world, REQUEST);
        event_base_dispatch(world.base);
        g_test_message("%s", ending->name);
        g_assert_cmpuint(world.ends, ==, 1);
        g_assert_cmpint(world.how, ==, ending->how);
        g_assert_cmpint(world.answer != NULL, ==, ending->answer != NULL);
        if (ending->answer != NULL) {
            g_assert_cmpmem(world.answer->data, world.answer->len,
                            ending->answer, strlen(ending->answer));
        }
        g_assert_cmpstr(world.received->str, ==,
                        "POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                        "X-Line: 1\r\n\r\nx");
        world_finish(&world);
    }
}

TEST_F(world, head, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n")
{
    start(world, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    event_base_dispatch(world->base);
    g_assert_cmpint(world->how, ==, ENGINE_UP_ANSWERED);
    g_assert_cmpuint(world->answer->len, ==, strlen(world->script));
}

TEST_F(world, unreached, WHOLE "body")
{
    evconnlistener_free(world->listener);
    world->listener = NULL;
    start(world, REQUEST);
    g_assert_cmpuint(world->ends, ==, 0); /* never from within back_start() */
    event_base_dispatch(world->base);
    g_assert_cmpint(world->how, ==, ENGINE_UP_UNREACHED);
}

/* An aborted run says nothing; the upstream sees its connection close, and
 * what it answers later reaches nobody. */
TEST_F(world, late_after_abort, NULL)
{
    world->stay_open = true;
    struct back_run *run = start(world, REQUEST);
    event_base_dispatch(world->base);
    g_assert_cmpuint(world->received->len, >, 0);
    back_abort(run);
    bufferevent_write(world->last, WHOLE "late", strlen(WHOLE "late"));
    event_base_dispatch(world->base);
    g_assert_null(world->last);
    event_base_loop(world->base, EVLOOP_NONBLOCK);
    g_assert_cmpuint(world->ends, ==, 0);
}
