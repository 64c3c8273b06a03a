#include <errno.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcpip.h>
#include <malloc.h>
#include <string.h>

#include "stack/pcbs.h"
#include "stack/stack_private.h"
#include "lib/harness.h"

#define SUITE "/stack"
#define SERVER_IP 0x0a000001u
#define CLIENT_IP 0x0a090001u
#define ALL_SIZE 200000
#define WAIT_US (120 * G_USEC_PER_SEC)

/* One end of a connection. */
struct end {
    bool server;
    bool opened;
    bool eof;
    bool closed;
    bool closes;  /* close when everything is written */
    bool lingers; /* don't close on EOF */
    int reason;
    size_t to_send;
    size_t sent;
    size_t received;
    struct stack_conn *conn;
    struct end *next;
};

/* A stack whose output comes back in, with loss and reordering. */
struct loop {
    struct stack_owner owner;
    struct stack *stack;
    GMutex lock;
    GQueue packets;
    GRand *rand;
    double loss;
    double reorder;
    size_t dropped;
    size_t server_sends;
    struct end *ends; /* accepted, newest first */
    size_t accepted;
    size_t opened;
    size_t closed;
    bool pause_server;
    bool server_closes;
};

static uint8_t
pattern(size_t at)
{
    return (uint8_t)(at * 131 + (at >> 8));
}

static void
end_send(struct end *end)
{
    uint8_t buf[4096];
    size_t n;

    while (end->sent < end->to_send) {
        n = MIN(sizeof(buf), end->to_send - end->sent);
        for (size_t i = 0; i < n; i++) {
            buf[i] = pattern(end->sent + i);
        }
        n = stack_write(end->conn, buf, n);
        if (n == 0) {
            return;
        }
        end->sent += n;
    }
    if (end->closes || end->eof) {
        stack_close(end->conn);
    }
}

static void
on_output(struct stack_owner *owner, const uint8_t *buf, size_t len)
{
    struct loop *loop = (struct loop *)owner;

    g_mutex_lock(&loop->lock);
    if (g_rand_double(loop->rand) < loop->loss) {
        loop->dropped++;
    }
    else if (g_rand_double(loop->rand) < loop->reorder) {
        g_queue_push_head(&loop->packets, g_bytes_new(buf, len));
    }
    else {
        g_queue_push_tail(&loop->packets, g_bytes_new(buf, len));
    }
    g_mutex_unlock(&loop->lock);
}

static void
on_open(struct stack_owner *owner, struct stack_conn *conn)
{
    struct loop *loop = (struct loop *)owner;
    struct end *end = stack_conn_data(conn);

    if (end == NULL) {
        end = g_new0(struct end, 1);
        end->server = true;
        end->conn = conn;
        end->to_send = loop->server_sends;
        end->closes = loop->server_closes;
        end->next = loop->ends;
        loop->ends = end;
        loop->accepted++;
        stack_conn_set_data(conn, end);
        stack_conn_pause(conn, loop->pause_server);
    }
    g_assert_false(end->opened);
    end->opened = true;
    loop->opened++;
    g_assert_cmphex(stack_conn_local(conn).ip, ==,
                    end->server ? SERVER_IP : CLIENT_IP);
    end_send(end);
}

static void
on_data(struct stack_owner *owner, struct stack_conn *conn,
        const uint8_t *data, size_t len)
{
    struct end *end = stack_conn_data(conn);

    for (size_t i = 0; i < len; i++) {
        g_assert_cmpuint(data[i], ==, pattern(end->received + i));
    }
    end->received += len;
}

static void
on_writable(struct stack_owner *owner, struct stack_conn *conn)
{
    end_send(stack_conn_data(conn));
}

static void
on_eof(struct stack_owner *owner, struct stack_conn *conn)
{
    struct end *end = stack_conn_data(conn);

    end->eof = true;
    if (end->sent == end->to_send && !end->lingers) {
        stack_close(conn);
    }
}

static void
on_closed(struct stack_owner *owner, struct stack_conn *conn, int reason)
{
    struct end *end = stack_conn_data(conn);

    g_assert_false(end->closed);
    end->closed = true;
    end->reason = reason;
    end->conn = NULL;
    ((struct loop *)owner)->closed++;
}

static const struct stack_ops ops = {.output = on_output,
                                     .on_open = on_open,
                                     .on_data = on_data,
                                     .on_writable = on_writable,
                                     .on_eof = on_eof,
                                     .on_closed = on_closed};

static void
loop_init(struct loop *loop, uint32_t seed)
{
    memset(loop, 0, sizeof(*loop));
    loop->owner.ops = &ops;
    loop->rand = g_rand_new_with_seed(seed);
    g_mutex_init(&loop->lock);
    g_queue_init(&loop->packets);
    loop->stack = stack_new(&loop->owner);
    g_assert_nonnull(loop->stack);
    g_assert_cmpint(stack_add_address(loop->stack, SERVER_IP), ==, 0);
    g_assert_cmpint(stack_add_address(loop->stack, CLIENT_IP), ==, 0);
    g_assert_cmpint(stack_listen(loop->stack, (struct addr){SERVER_IP, 80}),
                    ==, 0);
    g_test_message("seed %u", seed);
}

static void
loop_finish(struct loop *loop)
{
    struct end *end;

    stack_free(loop->stack);
    g_queue_clear_full(&loop->packets, (GDestroyNotify)g_bytes_unref);
    g_rand_free(loop->rand);
    g_mutex_clear(&loop->lock);
    while (loop->ends != NULL) {
        end = loop->ends;
        loop->ends = end->next;
        g_free(end);
    }
}

static void
loop_step(struct loop *loop)
{
    GBytes *packet;
    const uint8_t *data;
    gsize len;

    g_mutex_lock(&loop->lock);
    packet = g_queue_pop_head(&loop->packets);
    g_mutex_unlock(&loop->lock);
    if (packet != NULL) {
        data = g_bytes_get_data(packet, &len);
        g_assert_cmpint(stack_input(loop->stack, data, len), ==, 0);
        g_bytes_unref(packet);
    }
    else {
        g_usleep(200);
    }
    stack_poll(loop->stack);
}

/* Steps until @cond; a hang ends the test. */
#define LOOP_UNTIL(loop, cond)                                                \
    do {                                                                      \
        gint64 deadline = g_get_monotonic_time() + WAIT_US;                   \
        while (!(cond)) {                                                     \
            g_assert_cmpint(g_get_monotonic_time(), <, deadline);             \
            loop_step(loop);                                                  \
        }                                                                     \
    } while (0)

static struct end *
loop_connect(struct loop *loop, uint16_t port, size_t to_send)
{
    struct end *end = g_new0(struct end, 1);
    struct addr local = {CLIENT_IP, port};

    end->to_send = to_send;
    end->conn =
        stack_connect(loop->stack, local, (struct addr){SERVER_IP, 80});
    g_assert_nonnull(end->conn);
    stack_conn_set_data(end->conn, end);
    return end;
}

/* Whole bytes both ways, over packets that are lost and reordered. */
TEST_F(loop, whole_bytes, 4711)
{
    struct end *clients[20];
    struct end *server;

    loop->loss = 0.01;
    loop->reorder = 0.02;
    loop->server_sends = ALL_SIZE;
    loop->server_closes = true;
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        clients[i] = loop_connect(loop, 0, ALL_SIZE / 2);
    }
    LOOP_UNTIL(loop, loop->closed == 2 * G_N_ELEMENTS(clients));
    g_assert_cmpuint(loop->dropped, >, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(clients); i++) {
        g_assert_cmpint(clients[i]->reason, ==, 0);
        g_assert_cmpuint(clients[i]->received, ==, ALL_SIZE);
        g_free(clients[i]);
    }
    for (server = loop->ends; server != NULL; server = server->next) {
        g_assert_cmpint(server->reason, ==, 0);
    }
    g_test_message("%zu packets lost", loop->dropped);
}

TEST_F(loop, abort, 1)
{
    g_autofree struct end *client = NULL;

    client = loop_connect(loop, 40000, 0);
    LOOP_UNTIL(loop, loop->accepted == 1 && client->opened);
    stack_abort(loop->ends->conn);
    LOOP_UNTIL(loop, loop->closed == 2);
    g_assert_cmpint(loop->ends->reason, ==, -ECONNABORTED);
    g_assert_cmpint(client->reason, ==, -ECONNRESET);
    /* Nobody listens: refused. */
    g_assert_cmpint(stack_unlisten(loop->stack, (struct addr){SERVER_IP, 80}),
                    ==, 0);
    g_assert_cmpint(stack_unlisten(loop->stack, (struct addr){SERVER_IP, 80}),
                    ==, -ENOENT);
}

/* The caller ends its half first and still gets the whole answer. */
TEST_F(loop, half_close, 2)
{
    g_autofree struct end *client = NULL;

    loop->server_sends = 0;
    client = loop_connect(loop, 40000, 1000);
    client->closes = true;
    LOOP_UNTIL(loop, loop->accepted == 1 && loop->ends->closed);
    LOOP_UNTIL(loop, client->closed);
    g_assert_true(loop->ends->eof);
    g_assert_cmpuint(loop->ends->received, ==, 1000);
    g_assert_cmpint(loop->ends->reason, ==, 0);
    g_assert_cmpint(client->reason, ==, 0);
}

static void
loop_for(struct loop *loop, gint64 duration_us)
{
    gint64 deadline = g_get_monotonic_time() + duration_us;

    while (g_get_monotonic_time() < deadline) {
        loop_step(loop);
    }
}

static bool
all_acked(const struct end *end)
{
    bool acked;

    LOCK_TCPIP_CORE();
    acked = end->conn->pcb->unsent == NULL && end->conn->pcb->unacked == NULL;
    UNLOCK_TCPIP_CORE();
    return acked;
}

/* The caller has ended its half, the server hasn't, all is acknowledged. */
static struct end *
loop_half_closed(struct loop *loop)
{
    struct end *client;

    loop_init(loop, 11);
    loop->server_sends = 1000;
    client = loop_connect(loop, 40000, 1000);
    client->closes = true;
    LOOP_UNTIL(loop, loop->ends != NULL);
    loop->ends->lingers = true;
    LOOP_UNTIL(loop, loop->ends->eof && all_acked(loop->ends));
    g_assert_cmpuint(loop->ends->received, ==, 1000);
    g_assert_cmpuint(loop->ends->sent, ==, 1000);
    return client;
}

/* Every byte was acknowledged both ways: that the last ACK is lost and the
 * peer's TIME-WAIT over when our FIN comes again breaks nothing. */
TEST(last_ack_lost)
{
    struct loop loop;
    g_autofree struct end *client = loop_half_closed(&loop);

    stack_close(loop.ends->conn);
    loop.loss = 1;
    LOOP_UNTIL(&loop, client->closed);
    g_assert_cmpint(client->reason, ==, 0);
    LOCK_TCPIP_CORE();
    g_assert_nonnull(tcp_tw_pcbs);
    tcp_abort(tcp_tw_pcbs);
    UNLOCK_TCPIP_CORE();
    g_assert_false(loop.ends->closed);
    loop.loss = 0;
    LOOP_UNTIL(&loop, loop.ends->closed);
    g_assert_cmpint(loop.ends->reason, ==, 0);
    loop_finish(&loop);
}

/* A reset while the last bytes are unacknowledged is one, closing or not. */
TEST(last_bytes_lost)
{
    struct loop loop;
    g_autofree struct end *client = loop_half_closed(&loop);
    uint8_t byte = pattern(1000);

    loop.loss = 1;
    g_assert_cmpuint(stack_write(loop.ends->conn, &byte, 1), ==, 1);
    stack_close(loop.ends->conn);
    stack_abort(client->conn);
    LOOP_UNTIL(&loop, client->closed);
    g_assert_false(loop.ends->closed);
    loop.loss = 0;
    LOOP_UNTIL(&loop, loop.ends->closed);
    g_assert_cmpint(loop.ends->reason, ==, -ECONNRESET);
    loop_finish(&loop);
}

/* Makes all in TIME-WAIT older, sweeps, and counts those left. */
static size_t
time_wait_after(uint32_t ms)
{
    struct tcp_pcb *pcb;
    size_t count = 0;

    LOCK_TCPIP_CORE();
    for (pcb = tcp_tw_pcbs; pcb != NULL; pcb = pcb->next) {
        pcb->tmr -= ms / TCP_SLOW_INTERVAL;
    }
    pcbs_sweep_time_wait_locked();
    for (pcb = tcp_tw_pcbs; pcb != NULL; pcb = pcb->next) {
        count++;
    }
    UNLOCK_TCPIP_CORE();
    return count;
}

/* A peer in TIME-WAIT still acknowledges what comes again half a minute later,
 * after long backoffs, unless very many wait. */
TEST(late_retransmission)
{
    struct loop loop;
    g_autofree struct end *client = loop_half_closed(&loop);
    uint8_t byte = pattern(1000);

    g_assert_cmpuint(stack_write(loop.ends->conn, &byte, 1), ==, 1);
    stack_close(loop.ends->conn);
    loop.loss = 1;
    LOOP_UNTIL(&loop, client->closed);
    g_assert_cmpuint(time_wait_after(30000), ==, 1);
    g_assert_false(loop.ends->closed);
    loop.loss = 0;
    LOOP_UNTIL(&loop, loop.ends->closed);
    g_assert_cmpint(loop.ends->reason, ==, 0);
    loop_finish(&loop);
}

TEST_F(loop, time_wait_bound, 12)
{
    enum { COUNT = PCBS_TIME_WAIT_MAX + 50 };
    struct end *client;
    unsigned i;

    loop->server_closes = true;
    for (i = 0; i < COUNT; i++) {
        client = loop_connect(loop, (uint16_t)(20000 + i), 0);
        LOOP_UNTIL(loop, loop->closed == 2 * (i + 1u));
        g_assert_cmpint(client->reason, ==, 0);
        g_free(client);
    }
    g_assert_cmpuint(time_wait_after(0), >, PCBS_TIME_WAIT_MAX);
    g_assert_cmpuint(time_wait_after(30000), ==, PCBS_TIME_WAIT_MAX);
    g_assert_cmpuint(time_wait_after(60000), ==, 0);
}

/* A caller that reads slowly and closes late isn't reset: the wait for its
 * FIN starts when it has acknowledged everything. */
TEST_F(loop, slow_reader, 10)
{
    g_autofree struct end *client = NULL;
    struct end *server;

    loop->server_sends = 100000;
    loop->server_closes = true;
    client = loop_connect(loop, 40000, 0);
    client->lingers = true;
    stack_conn_pause(client->conn, true);
    LOOP_UNTIL(loop, loop->ends != NULL && loop->ends->sent == 100000);
    server = loop->ends;
    g_assert_true(server->conn->closing);
    LOCK_TCPIP_CORE();
    server->conn->close_ticks -= 100000; /* hours ago */
    UNLOCK_TCPIP_CORE();
    loop_for(loop, G_USEC_PER_SEC);
    g_assert_false(server->closed);
    stack_conn_pause(client->conn, false);
    LOOP_UNTIL(loop, client->eof || client->closed);
    loop_for(loop, G_USEC_PER_SEC);
    g_assert_false(client->closed);
    g_assert_cmpuint(client->received, ==, 100000);
    stack_close(client->conn);
    LOOP_UNTIL(loop, client->closed && server->closed);
    g_assert_cmpint(client->reason, ==, 0);
    g_assert_cmpint(server->reason, ==, 0);
}

/* The same port again at once, though the server holds it in TIME-WAIT. */
TEST_F(loop, port_reuse, 3)
{
    struct end *client;

    loop->server_sends = 100;
    loop->server_closes = true;
    for (int i = 0; i < 5; i++) {
        client = loop_connect(loop, 40000, 0);
        LOOP_UNTIL(loop,
                   client->closed && loop->ends != NULL && loop->ends->closed);
        g_assert_cmpint(client->reason, ==, 0);
        g_assert_cmpuint(client->received, ==, 100);
        g_free(client);
    }
    g_assert_cmpuint(loop->accepted, ==, 5);
}

/* A paused reader holds back the writer after a window's worth of bytes. */
TEST_F(loop, pause, 5)
{
    g_autofree struct end *client = NULL;
    size_t stuck;

    loop->pause_server = true;
    client = loop_connect(loop, 40000, 10 * ALL_SIZE);
    LOOP_UNTIL(loop, client->sent > 65535);
    for (int i = 0; i < 500; i++) {
        loop_step(loop);
    }
    stuck = client->sent;
    g_assert_cmpuint(stuck, <=, 2 * 65535);
    g_assert_cmpuint(loop->ends->received, ==, 0);
    stack_conn_pause(loop->ends->conn, false);
    LOOP_UNTIL(loop, loop->ends->received == 10 * ALL_SIZE);
}

/* Open flows survive that listening stops; new ones aren't accepted. */
TEST_F(loop, unlisten, 6)
{
    g_autofree struct end *client = NULL;
    g_autofree struct end *late = NULL;
    struct addr addr = {SERVER_IP, 80};
    uint8_t byte = pattern(0);

    g_assert_cmpint(stack_listen(loop->stack, addr), ==, -EADDRINUSE);
    client = loop_connect(loop, 40000, 0);
    LOOP_UNTIL(loop, loop->accepted == 1);
    g_assert_cmpint(stack_unlisten(loop->stack, addr), ==, 0);
    g_assert_cmpuint(stack_write(client->conn, &byte, 1), ==, 1);
    LOOP_UNTIL(loop, loop->ends->received == 1);
    g_assert_cmpint(stack_listen(loop->stack, addr), ==, 0);
    late = loop_connect(loop, 40001, 0);
    LOOP_UNTIL(loop, late->opened);
}

TEST_F(loop, bad_input, 7)
{
    uint8_t buf[60] = {0x45, 0, 0, 40, 0,  0, 0, 0, 64, 6, 0, 0,
                       10,   9, 0, 1,  10, 0, 0, 2, 0,  1, 0, 80};

    g_assert_cmpint(stack_input(loop->stack, buf, 39), ==, -EINVAL);
    g_assert_cmpint(stack_input(loop->stack, buf, 40), ==, -EADDRNOTAVAIL);
    buf[9] = 17;
    g_assert_cmpint(stack_input(loop->stack, buf, 40), ==, -EPROTONOSUPPORT);
    buf[9] = 6;
    buf[6] = 0x20;
    g_assert_cmpint(stack_input(loop->stack, buf, 40), ==, -EPROTONOSUPPORT);
    buf[0] = 0x4f;
    g_assert_cmpint(stack_input(loop->stack, buf, 40), ==, -EINVAL);
    g_assert_cmpint(stack_input(loop->stack, buf, 0), ==, -EINVAL);
    g_assert_null(stack_new(&loop->owner)); /* one in a process */
}

/* A SYN with a right checksum from a caller that never goes on. */
static void
forge_syn(uint8_t *buf, uint32_t src)
{
    static const uint8_t start[40] = {
        0x45, 0, 0, 40, 0,  0, 0, 0, 64,   6, 0,    0,
        0,    0, 0, 0,  10, 0, 0, 1, 0x30, 0, 0,    80,
        0,    0, 0, 1,  0,  0, 0, 0, 0x50, 2, 0xff, 0xff};
    uint32_t ip = 0;
    uint32_t tcp = 6 + 20;

    memcpy(buf, start, sizeof(start));
    for (size_t i = 0; i < 4; i++) {
        buf[12 + i] = (uint8_t)(src >> (24 - 8 * i));
    }
    for (size_t i = 0; i < 40; i += 2) {
        ip += i < 20 ? (uint32_t)(buf[i] << 8 | buf[i + 1]) : 0;
        tcp += i >= 12 ? (uint32_t)(buf[i] << 8 | buf[i + 1]) : 0;
    }
    ip = (ip & 0xffff) + (ip >> 16);
    tcp = (tcp & 0xffff) + (tcp >> 16);
    buf[10] = (uint8_t)(~ip >> 8);
    buf[11] = (uint8_t)~ip;
    buf[36] = (uint8_t)(~tcp >> 8);
    buf[37] = (uint8_t)~tcp;
}

/* Openings that never go on are bounded, and others still get in. */
TEST_F(loop, flood, 9)
{
    enum { COUNT = 10000 };
    struct end *client;
    uint8_t buf[40];
    uint32_t i;

    client = loop_connect(loop, 40000, 0);
    LOOP_UNTIL(loop, loop->opened == 2);
    for (i = 0; i < COUNT; i++) {
        forge_syn(buf, 0x0b000001 + i);
        g_assert_cmpint(stack_input(loop->stack, buf, sizeof(buf)), ==, 0);
        g_assert_cmpuint(stack_half_open(loop->stack), <=, 4096);
    }
    g_assert_cmpuint(stack_half_open(loop->stack), >, 2000);
    g_queue_clear_full(&loop->packets, (GDestroyNotify)g_bytes_unref);
    g_free(client);
    client = loop_connect(loop, 40001, 0);
    LOOP_UNTIL(loop, client->opened && loop->opened == 4);
    g_assert_cmpuint(loop->closed, ==, 0);
    g_free(client);
}

TEST(many)
{
    enum { COUNT = 2000 };
    struct loop loop;
    g_autofree struct end **clients = g_new0(struct end *, COUNT);
    size_t before;
    size_t after;

    loop_init(&loop, 8);
    before = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (size_t i = 0; i < COUNT; i++) {
        clients[i] = loop_connect(&loop, (uint16_t)(20000 + i), 0);
    }
    LOOP_UNTIL(&loop, loop.opened == 2 * COUNT && loop.packets.length == 0);
    after = mallinfo2().uordblks + mallinfo2().hblkhd;
    g_test_message("%d idle connections, both ends here: %zu bytes an end "
                   "with the test's own",
                   COUNT, (after - before) / (2 * COUNT));
    loop_finish(&loop);
    for (size_t i = 0; i < COUNT; i++) {
        g_free(clients[i]);
    }
}
