#include <string.h>

#include "agent/frontend.h"
#include "tests/agent/fake_stack.h"
#include "lib/harness.h"

#define SUITE "/agent/front"
#define SLOTS_MAX 64
#define CALLER 0x0a010001
#define GET "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

/** struct fixture - a frontend, and an owner that answers on the test's call
 */
struct fixture {
    struct frontend_owner owner;
    struct frontend frontend;
    struct stack_conn conn;
    struct frontend_slot *slots[SLOTS_MAX];
    size_t count;
    size_t gone;
    int flows;
    bool answer_immediately;
};

static void
answer(struct fixture *fixture, size_t id, const char *body)
{
    char text[128];
    GByteArray *bytes = g_byte_array_new();
    struct frontend_slot *slot = fixture->slots[id];

    g_snprintf(text, sizeof(text),
               "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
               strlen(body), body);
    g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text));
    fixture->slots[id] = NULL;
    frontend_answer(&fixture->frontend, slot, bytes, 10);
}

static void
on_request(struct frontend_owner *owner, struct frontend_slot *slot,
           struct reader_request *request, struct addr caller,
           struct addr local)
{
    struct fixture *fixture = (struct fixture *)owner;

    g_assert_cmpuint(fixture->count, <, SLOTS_MAX);
    g_byte_array_unref(request->http);
    slot->id = fixture->count;
    fixture->slots[fixture->count++] = slot;
    if (fixture->answer_immediately) {
        answer(fixture, fixture->count - 1, "immediate");
    }
}

static void
on_gone(struct frontend_owner *owner, struct frontend_slot *slot)
{
    struct fixture *fixture = (struct fixture *)owner;

    fixture->slots[slot->id] = NULL;
    fixture->gone++;
}

static void
on_flow(struct frontend_owner *owner, struct addr caller, struct addr local,
        bool open)
{
    ((struct fixture *)owner)->flows += open ? 1 : -1;
}

static const struct frontend_ops frontend_ops = {
    .on_request = on_request,
    .on_gone = on_gone,
    .on_flow = on_flow,
};

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->owner.ops = &frontend_ops;
    frontend_init(&fixture->frontend, &fixture->owner, "self");
    fixture->frontend.limits =
        (struct frontend_limits){2, 1, 1024, 100 * UINT64_C(1000000)};
    fake_conn_init(&fixture->conn, CALLER);
    frontend_open(&fixture->frontend, &fixture->conn, 1);
}

static void
fixture_finish(struct fixture *fixture)
{
    frontend_closed(&fixture->frontend, &fixture->conn);
    g_assert_cmpint(fixture->flows, ==, 0);
    g_assert_cmpuint(fixture->frontend.backlog, ==, 0);
    frontend_finish(&fixture->frontend);
    fake_conn_finish(&fixture->conn);
}

static void
feed(struct fixture *fixture, const char *text, uint64_t now_us)
{
    frontend_data(&fixture->frontend, &fixture->conn, (const uint8_t *)text,
                  strlen(text), now_us);
}

static size_t
position(const struct fixture *fixture, const char *text)
{
    const char *at = strstr(fixture->conn.written->str, text);

    g_assert_nonnull(at);
    return (size_t)(at - fixture->conn.written->str);
}

/* Answers given in any order are sent in the order of the requests. */
TEST_F(fixture, pipelined_order)
{
    feed(fixture, GET GET GET, 2);
    g_assert_cmpuint(fixture->count, ==, 3);
    answer(fixture, 2, "third");
    answer(fixture, 1, "second");
    g_assert_cmpuint(fixture->conn.written->len, ==, 0);
    answer(fixture, 0, "first");
    g_assert_cmpuint(position(fixture, "first"), <,
                     position(fixture, "second"));
    g_assert_cmpuint(position(fixture, "second"), <,
                     position(fixture, "third"));
    g_assert_false(fixture->conn.closed);
}

/* A flow has at most FRONTEND_PIPELINE_MAX unanswered requests. */
TEST_F(fixture, pipeline_limit)
{
    for (size_t i = 0; i < 12; i++) {
        feed(fixture, GET, 2);
    }
    g_assert_cmpuint(fixture->count, ==, FRONTEND_PIPELINE_MAX);
    g_assert_true(fixture->conn.paused);
    for (size_t i = 0; i < 12; i++) {
        answer(fixture, i, "x");
    }
    g_assert_cmpuint(fixture->count, ==, 12);
    g_assert_false(fixture->conn.paused);
}

TEST_F(fixture, bad_request_after_good)
{
    feed(fixture, GET "nonsense\r\n\r\n", 2);
    g_assert_cmpuint(fixture->conn.written->len, ==, 0);
    answer(fixture, 0, "good");
    g_assert_cmpuint(position(fixture, "good"), <,
                     position(fixture, "400 Bad Request"));
    g_assert_cmpuint(position(fixture, "Connection: close"), >, 0);
    g_assert_true(fixture->conn.closed);
    feed(fixture, GET, 3);
    g_assert_cmpuint(fixture->count, ==, 1);
}

/* Closing a flow drops its requests and reports the unanswered ones. */
TEST_F(fixture, caller_closes)
{
    feed(fixture, GET GET, 2);
    answer(fixture, 1, "late");
    frontend_closed(&fixture->frontend, &fixture->conn);
    g_assert_cmpuint(fixture->gone, ==, 1);
    g_assert_cmpuint(frontend_count(&fixture->frontend), ==, 0);
    g_assert_true(frontend_can_open(&fixture->frontend, CALLER));
    frontend_open(&fixture->frontend, &fixture->conn, 3);
}

/* A half-closed flow receives its pending answers and is then closed. */
TEST_F(fixture, half_closed)
{
    feed(fixture, GET, 2);
    frontend_eof(&fixture->frontend, &fixture->conn);
    g_assert_false(fixture->conn.closed);
    answer(fixture, 0, "whole");
    position(fixture, "whole");
    g_assert_true(fixture->conn.closed);
}

/* A stopping agent sends all pending answers, the last with Connection:
 * close. */
TEST_F(fixture, stopping)
{
    feed(fixture, GET GET, 2);
    fixture->frontend.stopping = true;
    frontend_close_idle(&fixture->frontend);
    g_assert_false(fixture->conn.closed);
    answer(fixture, 0, "one");
    g_assert_null(strstr(fixture->conn.written->str, "Connection: close"));
    answer(fixture, 1, "two");
    g_assert_cmpuint(position(fixture, "Connection: close"), >,
                     position(fixture, "one"));
    g_assert_true(fixture->conn.closed);
}

/* A flow that ends with an answer given in on_request() reads no further
 * request. */
TEST_F(fixture, stopping_with_immediate_answer)
{
    fixture->answer_immediately = true;
    fixture->frontend.stopping = true;
    feed(fixture, GET GET, 2);
    g_assert_cmpuint(fixture->count, ==, 1);
    g_assert_true(fixture->conn.closed);
}

TEST_F(fixture, limits)
{
    struct stack_conn others[2];

    fake_conn_init(&others[0], CALLER);
    frontend_open(&fixture->frontend, &others[0], 1);
    g_assert_true(others[0].aborted);
    frontend_closed(&fixture->frontend, &others[0]);
    fake_conn_finish(&others[0]);
    fake_conn_init(&others[0], CALLER + 1);
    frontend_open(&fixture->frontend, &others[0], 1);
    g_assert_false(others[0].aborted);
    g_assert_false(frontend_can_open(&fixture->frontend, CALLER + 2));
    frontend_closed(&fixture->frontend, &others[0]);
    fake_conn_finish(&others[0]);
}

/* A caller that reads nothing is reset; one that sends its request too slowly
 * gets a 408. */
TEST(slow_callers)
{
    struct fixture fixture;

    fixture_init(&fixture);
    fixture.conn.writable = 5;
    feed(&fixture, GET, 2);
    answer(&fixture, 0, "stuck");
    g_assert_cmpuint(fixture.frontend.backlog, >, 0);
    frontend_tick(&fixture.frontend, FRONTEND_WRITE_TIMEOUT_US);
    g_assert_false(fixture.conn.aborted);
    frontend_tick(&fixture.frontend, FRONTEND_WRITE_TIMEOUT_US + 11);
    g_assert_true(fixture.conn.aborted);
    fixture_finish(&fixture);

    fixture_init(&fixture);
    feed(&fixture, "GET / HT", 2);
    frontend_tick(&fixture.frontend, FRONTEND_READ_TIMEOUT_US + 3);
    position(&fixture, "408 Request Timeout");
    g_assert_true(fixture.conn.closed);
    fixture_finish(&fixture);
}

/* Partially read bodies of all flows together are limited. */
TEST_F(fixture, partial_bytes_limit)
{
    static const char head[] = "POST / HTTP/1.1\r\nHost: h\r\n"
                               "Content-Length: 900\r\n\r\n";
    struct stack_conn other;
    g_autofree char *body = g_strnfill(500, 'x');

    fixture->frontend.partial_bytes_max = 800;
    feed(fixture, head, 2);
    feed(fixture, body, 2);
    fake_conn_init(&other, CALLER + 1);
    frontend_open(&fixture->frontend, &other, 1);
    frontend_data(&fixture->frontend, &other, (const uint8_t *)head,
                  strlen(head), 2);
    g_assert_cmpuint(other.written->len, ==, 0);
    frontend_data(&fixture->frontend, &other, (const uint8_t *)body, 500, 2);
    g_assert_nonnull(strstr(other.written->str, "503 Service"));
    g_assert_true(other.closed);
    frontend_closed(&fixture->frontend, &other);
    fake_conn_finish(&other);
    feed(fixture, body, 3); /* the first request is still read to its end */
    g_assert_cmpuint(fixture->count, ==, 1);
    g_assert_cmpuint(fixture->frontend.partial_bytes, ==, 0);
    answer(fixture, 0, "x");
}

/* An answer larger than the send window is sent in pieces. */
TEST_F(fixture, short_writes)
{
    fixture->conn.writable = 7;
    feed(fixture, GET, 2);
    answer(fixture, 0, "a body that does not fit");
    while (fixture->frontend.backlog > 0) {
        fixture->conn.writable = 7;
        frontend_writable(&fixture->frontend, &fixture->conn, 3);
    }
    g_assert_cmpstr(fixture->conn.written->str, ==,
                    "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n"
                    "Via: 1.1 self\r\n\r\n"
                    "a body that does not fit");
}
