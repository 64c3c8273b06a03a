#include <string.h>

#include "agent/front.h"
#include "tests/agent/fake_stack.h"
#include "lib/harness.h"

#define SUITE "/agent/front"
#define SLOTS_MAX 64
#define CALLER 0x0a010001
#define GET "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

/** struct world - a front and an owner that answers when told */
struct world {
    struct front_owner owner;
    struct front front;
    struct stack_conn conn;
    struct front_slot *slots[SLOTS_MAX];
    size_t count;
    size_t gone;
    int flows;
    bool at_once;
};

static void
answer(struct world *world, size_t id, const char *body)
{
    char text[128];
    GByteArray *bytes = g_byte_array_new();
    struct front_slot *slot = world->slots[id];

    g_snprintf(text, sizeof(text),
               "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
               strlen(body), body);
    g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text));
    world->slots[id] = NULL;
    front_answer(&world->front, slot, bytes, 10);
}

static void
on_request(struct front_owner *owner, struct front_slot *slot,
           struct reader_request *request, struct addr caller,
           struct addr local)
{
    struct world *world = (struct world *)owner;

    g_assert_cmpuint(world->count, <, SLOTS_MAX);
    g_byte_array_unref(request->http);
    slot->id = world->count;
    world->slots[world->count++] = slot;
    if (world->at_once) {
        answer(world, world->count - 1, "at once");
    }
}

static void
on_gone(struct front_owner *owner, struct front_slot *slot)
{
    struct world *world = (struct world *)owner;

    world->slots[slot->id] = NULL;
    world->gone++;
}

static void
on_flow(struct front_owner *owner, struct addr caller, struct addr local,
        bool open)
{
    ((struct world *)owner)->flows += open ? 1 : -1;
}

static const struct front_ops front_ops = {
    .on_request = on_request,
    .on_gone = on_gone,
    .on_flow = on_flow,
};

static void
world_init(struct world *world)
{
    memset(world, 0, sizeof(*world));
    world->owner.ops = &front_ops;
    front_init(&world->front, &world->owner, "self");
    world->front.limits =
        (struct front_limits){2, 1, 1024, 100 * UINT64_C(1000000)};
    fake_conn_init(&world->conn, CALLER);
    front_open(&world->front, &world->conn, 1);
}

static void
world_finish(struct world *world)
{
    front_closed(&world->front, &world->conn);
    g_assert_cmpint(world->flows, ==, 0);
    g_assert_cmpuint(world->front.backlog, ==, 0);
    front_finish(&world->front);
    fake_conn_finish(&world->conn);
}

static void
feed(struct world *world, const char *text, uint64_t now_us)
{
    front_data(&world->front, &world->conn, (const uint8_t *)text,
               strlen(text), now_us);
}

static size_t
position(const struct world *world, const char *text)
{
    const char *at = strstr(world->conn.written->str, text);

    g_assert_nonnull(at);
    return (size_t)(at - world->conn.written->str);
}

/* Answers that come in any order leave in the order of the requests. */
TEST_F(world, pipelined_order)
{
    feed(world, GET GET GET, 2);
    g_assert_cmpuint(world->count, ==, 3);
    answer(world, 2, "third");
    answer(world, 1, "second");
    g_assert_cmpuint(world->conn.written->len, ==, 0);
    answer(world, 0, "first");
    g_assert_cmpuint(position(world, "first"), <, position(world, "second"));
    g_assert_cmpuint(position(world, "second"), <, position(world, "third"));
    g_assert_false(world->conn.closed);
}

/* No more than FRONT_PIPELINE_MAX requests of a flow are held. */
TEST_F(world, pipeline_bound)
{
    for (size_t i = 0; i < 12; i++) {
        feed(world, GET, 2);
    }
    g_assert_cmpuint(world->count, ==, FRONT_PIPELINE_MAX);
    g_assert_true(world->conn.paused);
    for (size_t i = 0; i < 12; i++) {
        answer(world, i, "x");
    }
    g_assert_cmpuint(world->count, ==, 12);
    g_assert_false(world->conn.paused);
}

TEST_F(world, bad_after_good)
{
    feed(world, GET "nonsense\r\n\r\n", 2);
    g_assert_cmpuint(world->conn.written->len, ==, 0);
    answer(world, 0, "good");
    g_assert_cmpuint(position(world, "good"), <,
                     position(world, "400 Bad Request"));
    g_assert_cmpuint(position(world, "Connection: close"), >, 0);
    g_assert_true(world->conn.closed);
    feed(world, GET, 3);
    g_assert_cmpuint(world->count, ==, 1);
}

/* A caller that is gone takes its requests with it, answered or not. */
TEST_F(world, gone)
{
    feed(world, GET GET, 2);
    answer(world, 1, "late");
    front_closed(&world->front, &world->conn);
    g_assert_cmpuint(world->gone, ==, 1);
    g_assert_cmpuint(front_count(&world->front), ==, 0);
    g_assert_true(front_may_open(&world->front, CALLER));
    front_open(&world->front, &world->conn, 3);
}

/* A half-closed flow still gets what it asked for, then is closed. */
TEST_F(world, half_closed)
{
    feed(world, GET, 2);
    front_eof(&world->front, &world->conn);
    g_assert_false(world->conn.closed);
    answer(world, 0, "whole");
    position(world, "whole");
    g_assert_true(world->conn.closed);
}

/* While stopping, the last answer owed says so; none is cut. */
TEST_F(world, stopping)
{
    feed(world, GET GET, 2);
    world->front.stopping = true;
    front_close_idle(&world->front);
    g_assert_false(world->conn.closed);
    answer(world, 0, "one");
    g_assert_null(strstr(world->conn.written->str, "Connection: close"));
    answer(world, 1, "two");
    g_assert_cmpuint(position(world, "Connection: close"), >,
                     position(world, "one"));
    g_assert_true(world->conn.closed);
}

/* A flow that ends with an answer given at once reads no further request. */
TEST_F(world, stop_at_once)
{
    world->at_once = true;
    world->front.stopping = true;
    feed(world, GET GET, 2);
    g_assert_cmpuint(world->count, ==, 1);
    g_assert_true(world->conn.closed);
}

TEST_F(world, limits)
{
    struct stack_conn others[2];

    fake_conn_init(&others[0], CALLER);
    front_open(&world->front, &others[0], 1);
    g_assert_true(others[0].aborted);
    front_closed(&world->front, &others[0]);
    fake_conn_finish(&others[0]);
    fake_conn_init(&others[0], CALLER + 1);
    front_open(&world->front, &others[0], 1);
    g_assert_false(others[0].aborted);
    g_assert_false(front_may_open(&world->front, CALLER + 2));
    front_closed(&world->front, &others[0]);
    fake_conn_finish(&others[0]);
}

/* A caller that takes nothing is let go, one that dawdles is told. */
TEST(slow)
{
    struct world world;

    world_init(&world);
    world.conn.room = 5;
    feed(&world, GET, 2);
    answer(&world, 0, "stuck");
    g_assert_cmpuint(world.front.backlog, >, 0);
    front_tick(&world.front, FRONT_WRITE_TIMEOUT_US);
    g_assert_false(world.conn.aborted);
    front_tick(&world.front, FRONT_WRITE_TIMEOUT_US + 11);
    g_assert_true(world.conn.aborted);
    world_finish(&world);

    world_init(&world);
    feed(&world, "GET / HT", 2);
    front_tick(&world.front, FRONT_READ_TIMEOUT_US + 3);
    position(&world, "408 Request Timeout");
    g_assert_true(world.conn.closed);
    world_finish(&world);
}

/* Half-read bodies of all flows together are bounded. */
TEST_F(world, held_bound)
{
    static const char head[] = "POST / HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 900\r\n\r\n";
    struct stack_conn other;
    g_autofree char *body = g_strnfill(500, 'x');

    world->front.held_max = 800;
    feed(world, head, 2);
    feed(world, body, 2);
    fake_conn_init(&other, CALLER + 1);
    front_open(&world->front, &other, 1);
    front_data(&world->front, &other, (const uint8_t *)head, strlen(head), 2);
    g_assert_cmpuint(other.written->len, ==, 0);
    front_data(&world->front, &other, (const uint8_t *)body, 500, 2);
    g_assert_nonnull(strstr(other.written->str, "503 Service"));
    g_assert_true(other.closed);
    front_closed(&world->front, &other);
    fake_conn_finish(&other);
    feed(world, body, 3); /* the first one goes on and is read whole */
    g_assert_cmpuint(world->count, ==, 1);
    g_assert_cmpuint(world->front.held, ==, 0);
    answer(world, 0, "x");
}

/* An answer larger than the window leaves whole, piece by piece. */
TEST_F(world, short_writes)
{
    world->conn.room = 7;
    feed(world, GET, 2);
    answer(world, 0, "a body that does not fit");
    while (world->front.backlog > 0) {
        world->conn.room = 7;
        front_writable(&world->front, &world->conn, 3);
    }
    g_assert_cmpstr(world->conn.written->str, ==,
                    "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n"
                    "Via: 1.1 self\r\n\r\n"
                    "a body that does not fit");
}
