/*
 * A probe must make a waiting caller (lwIP) with a dead host reply and be
 * reset, and must not disturb a live flow. Caller and host share one stack
 * whose output is its input; a dead host's packets are lost, and packets to it
 * are answered with a reset.
 */
#include <errno.h>
#include <string.h>

#include "orphans/segment.h"
#include "packet/packet.h"
#include "stack/stack.h"
#include "lib/harness.h"

#define SUITE "/orphans/probe"
#define SERVICE_IP 0x0a000001u
#define CALLER_IP 0x0a090001u
#define PORT 80
#define CALLER_PORT 40000
#define WAIT_US (120 * G_USEC_PER_SEC)
#define BYTES 100000

static const struct addr service = {SERVICE_IP, PORT};
static const struct addr caller = {CALLER_IP, CALLER_PORT};

/** struct net - both ends of a connection and the packets between them */
struct net {
    struct stack_owner owner;
    struct stack *stack;
    GMutex lock;
    GQueue packets;
    GRand *rand;
    struct stack_conn *at_caller;
    struct stack_conn *at_host;
    gboolean opened;
    gboolean host_dead;
    gboolean closed;
    int reason;
    size_t at_host_received;
    size_t at_caller_received;
    unsigned caller_acks; /* sent by the caller since the host died */
    unsigned resets;
};

static void
on_output(struct stack_owner *owner, const uint8_t *buf, size_t len)
{
    struct net *net = (struct net *)owner;

    g_mutex_lock(&net->lock);
    g_queue_push_tail(&net->packets, g_bytes_new(buf, len));
    g_mutex_unlock(&net->lock);
}

static void
on_open(struct stack_owner *owner, struct stack_conn *conn)
{
    struct net *net = (struct net *)owner;

    if (conn == net->at_caller) {
        net->opened = TRUE;
    }
    else {
        net->at_host = conn;
    }
}

static void
on_data(struct stack_owner *owner, struct stack_conn *conn,
        const uint8_t *data, size_t len)
{
    struct net *net = (struct net *)owner;

    if (conn == net->at_caller) {
        net->at_caller_received += len;
    }
    else {
        net->at_host_received += len;
    }
}

static void
on_ignored(struct stack_owner *owner, struct stack_conn *conn)
{
}

static void
on_closed(struct stack_owner *owner, struct stack_conn *conn, int reason)
{
    struct net *net = (struct net *)owner;

    if (conn == net->at_caller) {
        net->closed = TRUE;
        net->reason = reason;
        net->at_caller = NULL;
    }
    else {
        net->at_host = NULL;
    }
}

static const struct stack_ops ops = {.output = on_output,
                                     .on_open = on_open,
                                     .on_data = on_data,
                                     .on_writable = on_ignored,
                                     .on_eof = on_ignored,
                                     .on_closed = on_closed};

/* Resets the caller, as the last agent of the hop list does. */
static void
reset_for_dead_host(struct net *net, const uint8_t *data, size_t len)
{
    uint8_t reset[64];
    struct packet packet;
    size_t reset_len;

    g_assert_cmpint(packet_parse(data, len, 1, &packet), ==, PACKET_OK);
    net->caller_acks++;
    reset_len = packet_build_reset(&packet, reset);
    if (reset_len > 0) {
        net->resets++;
        g_assert_cmpint(stack_input(net->stack, reset, reset_len), ==, 0);
    }
}

/* Handles a packet, or waits 0.2 ms and returns FALSE if there is none. */
static gboolean
net_step(struct net *net)
{
    struct packet packet;
    g_autoptr(GBytes) bytes = NULL;
    const uint8_t *data;
    gsize len;

    g_mutex_lock(&net->lock);
    bytes = g_queue_pop_head(&net->packets);
    g_mutex_unlock(&net->lock);
    if (bytes == NULL) {
        g_usleep(200);
        stack_poll(net->stack);
        return FALSE;
    }
    data = g_bytes_get_data(bytes, &len);
    g_assert_cmpint(packet_parse(data, len, 0, &packet), ==, PACKET_OK);
    if (packet.dst == SERVICE_IP && net->host_dead) {
        reset_for_dead_host(net, data, len);
    }
    else if (packet.src != SERVICE_IP || !net->host_dead) {
        g_assert_cmpint(stack_input(net->stack, data, len), ==, 0);
    }
    stack_poll(net->stack);
    return TRUE;
}

/* Steps until @cond; fails after WAIT_US. */
#define NET_UNTIL(net, cond)                                                  \
    do {                                                                      \
        gint64 deadline = g_get_monotonic_time() + WAIT_US;                   \
        while (!(cond)) {                                                     \
            g_assert_cmpint(g_get_monotonic_time(), <, deadline);             \
            net_step(net);                                                    \
        }                                                                     \
    } while (0)

/* Steps until no packet has been sent for a while. */
static void
net_wait_idle(struct net *net)
{
    unsigned idle = 0;

    while (idle < 500) {
        idle = net_step(net) ? 0 : idle + 1;
    }
}

static void
net_init(struct net *net, guint32 seed)
{
    memset(net, 0, sizeof(*net));
    net->owner.ops = &ops;
    net->rand = g_rand_new_with_seed(seed);
    g_test_message("seed %u", seed);
    g_mutex_init(&net->lock);
    g_queue_init(&net->packets);
    net->stack = stack_new(&net->owner);
    g_assert_nonnull(net->stack);
    g_assert_cmpint(stack_add_address(net->stack, SERVICE_IP), ==, 0);
    g_assert_cmpint(stack_add_address(net->stack, CALLER_IP), ==, 0);
    g_assert_cmpint(stack_listen(net->stack, service), ==, 0);
    net->at_caller = stack_connect(net->stack, caller, service);
    g_assert_nonnull(net->at_caller);
    NET_UNTIL(net, net->opened && net->at_host != NULL);
}

static void
net_finish(struct net *net)
{
    stack_free(net->stack);
    g_queue_clear_full(&net->packets, (GDestroyNotify)g_bytes_unref);
    g_rand_free(net->rand);
    g_mutex_clear(&net->lock);
}

static void
net_probe(struct net *net)
{
    uint8_t probe[SEGMENT_PROBE_LEN];
    struct packet packet;
    size_t len =
        segment_build_probe(service, caller, g_rand_int(net->rand), probe);

    g_assert_cmpint(packet_parse(probe, len, 1, &packet), ==, PACKET_OK);
    g_assert_cmpint(stack_input(net->stack, probe, len), ==, 0);
}

/* Sends a request, which the host acknowledges without a response. */
static void
net_send_request(struct net *net)
{
    size_t before = net->at_host_received;

    g_assert_cmpuint(
        stack_write(net->at_caller, (const uint8_t *)"request", 7), ==, 7);
    NET_UNTIL(net, net->at_host_received == before + 7);
    net_wait_idle(net);
}

/* Without a probe the caller sends nothing and is not reset. */
TEST_F(net, caller_without_probe_waits, 1)
{
    net_send_request(net);
    net->host_dead = TRUE;
    net_wait_idle(net);
    g_assert_false(net->closed);
    g_assert_cmpuint(net->caller_acks, ==, 0);
}

TEST(probed_caller_is_reset)
{
    guint32 seed;

    for (seed = 1; seed <= 5; seed++) {
        struct net net;

        net_init(&net, seed);
        net_send_request(&net);
        net.host_dead = TRUE;
        net_probe(&net);
        NET_UNTIL(&net, net.closed);
        g_assert_cmpint(net.reason, ==, -ECONNRESET);
        g_assert_cmpuint(net.caller_acks, ==, 1);
        g_assert_cmpuint(net.resets, ==, 1);
        net_finish(&net);
    }
}

static void
pump(struct net *net, struct stack_conn *conn, size_t *sent)
{
    static const uint8_t bytes[1024];

    if (*sent < BYTES) {
        *sent += stack_write(conn, bytes, MIN(sizeof(bytes), BYTES - *sent));
    }
}

/* Probes of a live flow neither close it nor stop its data. */
TEST_F(net, live_flow_survives, 7)
{
    size_t from_caller = 0;
    size_t from_host = 0;
    unsigned probes = 0;

    while (net->at_host_received < BYTES || net->at_caller_received < BYTES) {
        pump(net, net->at_caller, &from_caller);
        pump(net, net->at_host, &from_host);
        if (g_rand_int_range(net->rand, 0, 4) == 0) {
            net_probe(net);
            probes++;
        }
        net_step(net);
        g_assert_false(net->closed);
    }
    g_assert_cmpuint(probes, >, 20);
    g_assert_nonnull(net->at_host);
    net_send_request(net);
}

/* A caller without the flow answers the probe with a reset, which gets no
 * reply. */
TEST_F(net, unknown_flow, 1)
{
    uint8_t probe[SEGMENT_PROBE_LEN];
    struct addr other = {CALLER_IP, CALLER_PORT + 1};
    size_t len = segment_build_probe(service, other, 5, probe);

    net->host_dead = TRUE;
    g_assert_cmpint(stack_input(net->stack, probe, len), ==, 0);
    net_wait_idle(net);
    g_assert_cmpuint(net->caller_acks, ==, 1);
    g_assert_cmpuint(net->resets, ==, 0);
    g_assert_false(net->closed);
}
