/**
 * DOC: test_link - delivery of frames and rejection of unauthenticated peers
 */
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>

#include "base/link.h"
#include "base/link_wire.h"
#include "lib/harness.h"

#define SUITE "/base/link"
#define LOOPS_MAX 200000

static const uint8_t key[16] = "0123456789abcdef";
static const uint8_t other_key[16] = "0123456789abcdeF";

/** struct side - a hub and its recorded callbacks */
struct side {
    struct link_handler base;
    struct auth auth;
    struct link_hub hub;
    bool echo;
    unsigned frames;
    uint64_t sender;
    uint16_t type;
    GByteArray *bytes;
    unsigned disconnects;
    int reason;
    struct addr disconnected_peer;
};

static void
on_frame(struct link_handler *handler, struct link_conn *conn, uint64_t sender,
         uint16_t type, const uint8_t *body, size_t len)
{
    struct side *side = (struct side *)handler;

    side->frames++;
    side->sender = sender;
    side->type = type;
    g_byte_array_append(side->bytes, body, (guint)len);
    if (side->echo)
        g_assert_cmpint(link_reply(&side->hub, conn, type, body, len), ==, 0);
}

static void
on_disconnect(struct link_handler *handler, struct link_conn *conn,
              struct addr peer, int reason)
{
    struct side *side = (struct side *)handler;

    side->disconnects++;
    side->reason = reason;
    side->disconnected_peer = peer;
}

static const struct link_ops side_ops = {.on_frame = on_frame,
                                         .on_disconnect = on_disconnect};

static void
side_init(struct side *side, struct event_base *base, uint64_t self,
          const uint8_t *site_key)
{
    struct addr any = {.ip = 0x7f000001};

    memset(side, 0, sizeof(*side));
    side->base.ops = &side_ops;
    side->bytes = g_byte_array_new();
    g_assert_cmpint(auth_init(&side->auth, site_key, 16, self, 0), ==, 0);
    g_assert_cmpint(
        link_hub_init(&side->hub, base, &side->auth, &side->base, any, NULL),
        ==, 0);
}

static void
side_finish(struct side *side)
{
    link_hub_finish(&side->hub);
    auth_finish(&side->auth);
    g_byte_array_unref(side->bytes);
}

/** struct sides - two hubs on one event loop */
struct sides {
    struct event_base *base;
    struct side a;
    struct side b;
    struct addr to;
};

static void
sides_init(struct sides *sides, const uint8_t *key_of_a)
{
    sides->base = event_base_new();
    side_init(&sides->a, sides->base, 11, key_of_a);
    side_init(&sides->b, sides->base, 12, key);
    sides->to = link_hub_addr(&sides->b.hub);
}

static void
sides_finish(struct sides *sides)
{
    side_finish(&sides->a);
    side_finish(&sides->b);
    event_base_free(sides->base);
}

/* Runs the loop until *@seen reaches @count. */
static void
run_until(struct event_base *base, const unsigned *seen, unsigned count)
{
    for (int i = 0; *seen < count; i++) {
        g_assert_cmpint(i, <, LOOPS_MAX);
        event_base_loop(base, EVLOOP_ONCE);
    }
}

/* Frames of all sizes and their replies arrive complete and in order. */
TEST_F(sides, delivers_frames_in_order, key)
{
    g_autoptr(GByteArray) sent = g_byte_array_new();

    sides->b.echo = true;
    for (unsigned i = 0; i < 200; i++) {
        size_t len = i == 0 ? 0 : (size_t)g_test_rand_int_range(0, 20000);
        g_autofree uint8_t *body = g_malloc(len + 1);

        memset(body, (int)(i & 0xff), len);
        g_byte_array_append(sent, body, (guint)len);
        g_assert_cmpint(link_send(&sides->a.hub, sides->to, 7, body, len), ==,
                        0);
    }
    run_until(sides->base, &sides->a.frames, 200);
    g_assert_cmpuint(sides->b.frames, ==, 200);
    g_assert_cmpuint(sides->b.sender, ==, 11);
    g_assert_cmpuint(sides->a.sender, ==, 12);
    g_assert_cmpuint(sides->b.type, ==, 7);
    g_assert_cmpmem(sides->b.bytes->data, sides->b.bytes->len, sent->data,
                    sent->len);
    g_assert_cmpmem(sides->a.bytes->data, sides->a.bytes->len, sent->data,
                    sent->len);
    g_assert_cmpuint(sides->a.hub.sent_bytes, ==, sides->b.hub.received_bytes);
    g_assert_cmpuint(link_hub_queued(&sides->a.hub), ==, 0);
}

TEST_F(sides, limits_frame_and_queue_size, key)
{
    uint8_t *body = g_malloc0(LINK_FRAME_MAX);
    size_t max = LINK_FRAME_MAX - LINK_WIRE_OVERHEAD;
    int ret;

    g_assert_cmpint(link_send(&sides->a.hub, sides->to, 1, body, max + 1), ==,
                    -EMSGSIZE);
    while ((ret = link_send(&sides->a.hub, sides->to, 1, body, max)) == 0)
        g_assert_cmpuint(link_hub_queued(&sides->a.hub), <=,
                         LINK_QUEUE_MAX + LINK_FRAME_MAX);
    g_assert_cmpint(ret, ==, -ENOBUFS);
    run_until(sides->base, &sides->b.frames, 3);
    g_assert_cmpuint(sides->b.bytes->len, ==, 3 * max);
    g_free(body);
}

/* A refused connection is reported as -ECONNREFUSED. */
TEST(reports_refused_connection)
{
    struct event_base *base = event_base_new();
    struct side a, b;
    struct addr to;

    side_init(&a, base, 11, key);
    side_init(&b, base, 12, key);
    to = link_hub_addr(&b.hub);
    side_finish(&b);
    g_assert_cmpint(link_send(&a.hub, to, 1, key, 4), ==, 0);
    run_until(base, &a.disconnects, 1);
    g_assert_cmpint(a.reason, ==, -ECONNREFUSED);
    g_assert_true(addr_equal(a.disconnected_peer, to));
    /* The next send opens a new connection. */
    g_assert_cmpint(link_send(&a.hub, to, 1, key, 4), ==, 0);
    run_until(base, &a.disconnects, 2);
    side_finish(&a);
    event_base_free(base);
}

TEST_F(sides, rejects_wrong_key, other_key)
{
    link_send(&sides->a.hub, sides->to, 1, key, 4);
    run_until(sides->base, &sides->b.disconnects, 1);
    run_until(sides->base, &sides->a.disconnects, 1);
    g_assert_cmpuint(sides->b.frames, ==, 0);
    g_assert_cmpuint(sides->b.hub.rejected + sides->a.hub.rejected, >=, 1);
    g_assert_cmpuint(sides->b.hub.unauthenticated, ==, 0);
}

static void
on_raw_client_event(struct bufferevent *event, short what, void *data)
{
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        ++*(unsigned *)data;
}

/* Sends @len raw bytes and expects the hub to close the connection. */
static void
expect_disconnect(struct event_base *base, struct side *b,
                  const uint8_t *bytes, size_t len)
{
    struct sockaddr_in sin = addr_to_sockaddr(link_hub_addr(&b->hub));
    struct bufferevent *event =
        bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    unsigned ended = 0;

    bufferevent_setcb(event, NULL, NULL, on_raw_client_event, &ended);
    bufferevent_enable(event, EV_READ | EV_WRITE);
    bufferevent_write(event, bytes, len);
    bufferevent_socket_connect(event, (struct sockaddr *)&sin, sizeof(sin));
    run_until(base, &ended, 1);
    bufferevent_free(event);
    g_assert_cmpuint(b->frames, ==, 0);
    g_assert_cmpuint(b->hub.unauthenticated, ==, 0);
}

TEST_F(sides, disconnects_unauthenticated_peers, key)
{
    uint8_t hello[LINK_WIRE_HELLO_LEN + LINK_WIRE_OVERHEAD] = "SAL1";

    for (int i = 0; i < 100; i++) {
        uint8_t garbage[128];

        for (size_t at = 0; at < sizeof(garbage); at++)
            garbage[at] = (uint8_t)g_test_rand_int();
        expect_disconnect(sides->base, &sides->b, garbage, sizeof(garbage));
    }
    /* A long frame before authentication is rejected by its length. */
    memset(hello + LINK_WIRE_HELLO_LEN, 0, LINK_WIRE_OVERHEAD);
    hello[LINK_WIRE_HELLO_LEN + 1] = 0x10;
    expect_disconnect(sides->base, &sides->b, hello,
                      LINK_WIRE_HELLO_LEN + LINK_WIRE_LENGTH_LEN);
    g_assert_cmpint(sides->b.reason, ==, -EMSGSIZE);
    /* An authentication frame with a wrong tag. */
    hello[LINK_WIRE_HELLO_LEN + 1] = 0;
    hello[LINK_WIRE_HELLO_LEN + 3] = LINK_WIRE_OVERHEAD - LINK_WIRE_LENGTH_LEN;
    expect_disconnect(sides->base, &sides->b, hello, sizeof(hello));
    g_assert_cmpint(sides->b.reason, ==, -EBADMSG);
    /* A frame shorter than the overhead. */
    hello[LINK_WIRE_HELLO_LEN + 3] = 1;
    expect_disconnect(sides->base, &sides->b, hello, sizeof(hello));
    /* An incomplete hello, until the authentication timeout. */
    expect_disconnect(sides->base, &sides->b, hello, 3);
    g_assert_cmpint(sides->b.reason, ==, -ETIMEDOUT);
    g_assert_cmpuint(sides->b.hub.rejected, ==, 103);
}

/** struct pair - both ends of a connection, without sockets */
struct pair {
    struct auth auth;
    struct link_wire a;
    struct link_wire b;
};

static void
pair_init(struct pair *pair)
{
    uint8_t hello_a[LINK_WIRE_HELLO_LEN], hello_b[LINK_WIRE_HELLO_LEN];

    g_assert_cmpint(auth_init(&pair->auth, key, sizeof(key), 11, 0), ==, 0);
    link_wire_init(&pair->a, hello_a);
    link_wire_init(&pair->b, hello_b);
    g_assert_cmpint(link_wire_read_hello(&pair->a, hello_a), ==, -EBADMSG);
    g_assert_cmpint(link_wire_read_hello(&pair->a, hello_b), ==, 0);
    g_assert_cmpint(link_wire_read_hello(&pair->b, hello_a), ==, 0);
}

#define BODY_LEN 9
static const char body_text[BODY_LEN] = "lot 7 it";

#define FRAME_LEN (LINK_WIRE_OVERHEAD + BODY_LEN)

static void
put_frame(struct pair *pair, uint8_t *frame)
{
    memcpy(frame + LINK_WIRE_HEADER_LEN, body_text, BODY_LEN);
    link_wire_seal(&pair->a, &pair->auth, 3, frame + LINK_WIRE_HEADER_LEN,
                   BODY_LEN, frame, frame + LINK_WIRE_HEADER_LEN + BODY_LEN);
}

static void
expect_open(struct link_wire *wire, struct auth *auth, uint8_t *bytes,
            size_t len, int ret, struct link_frame *frame)
{
    g_assert_cmpint(link_wire_open(wire, auth, bytes, len, frame), ==, ret);
}

/* Altered, replayed, reordered, reflected and foreign frames are rejected. */
TEST(wire_rejects_invalid_frames)
{
    uint8_t first[FRAME_LEN], second[FRAME_LEN];
    struct link_frame frame;
    struct pair pair, other;

    pair_init(&pair);
    pair_init(&other);
    put_frame(&pair, first);
    put_frame(&pair, second);
    g_assert_cmpuint(link_wire_frame_size(first), ==, FRAME_LEN);
    /* The tag doesn't cover the length, which determines its position. */
    for (size_t bit = LINK_WIRE_LENGTH_LEN * 8; bit < FRAME_LEN * 8; bit++) {
        first[bit / 8] ^= (uint8_t)(1 << bit % 8);
        expect_open(&pair.b, &pair.auth, first, FRAME_LEN, -EBADMSG, &frame);
        first[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
    for (size_t len = 0; len < FRAME_LEN; len++)
        expect_open(&pair.b, &pair.auth, first, len, -EBADMSG, &frame);
    expect_open(&pair.b, &pair.auth, second, FRAME_LEN, -EBADMSG, &frame);
    expect_open(&pair.a, &pair.auth, first, FRAME_LEN, -EBADMSG, &frame);
    expect_open(&other.b, &pair.auth, first, FRAME_LEN, -EBADMSG, &frame);
    /* A frame with another peer's nonce and the right own nonce. */
    pair.b.peer_nonce[0] ^= 1;
    expect_open(&pair.b, &pair.auth, first, FRAME_LEN, -EBADMSG, &frame);
    pair.b.peer_nonce[0] ^= 1;
    expect_open(&pair.b, &pair.auth, first, FRAME_LEN, 0, &frame);
    g_assert_cmpuint(frame.type, ==, 3);
    g_assert_cmpmem(frame.body, frame.len, body_text, BODY_LEN);
    expect_open(&pair.b, &pair.auth, first, FRAME_LEN, -EBADMSG, &frame);
    expect_open(&pair.b, &pair.auth, second, FRAME_LEN, 0, &frame);
    auth_finish(&pair.auth);
    auth_finish(&other.auth);
}
