#include <errno.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcpip.h>

#include "lib/harness.h"
#include "stack/pcbs.h"
#include "stack/stack_private.h"
#include "stack_loop.h"

#define SUITE "/stack/closing"

static bool
all_acked(const struct end *end)
{
    bool acked;

    LOCK_TCPIP_CORE();
    acked = end->conn->pcb->unsent == NULL && end->conn->pcb->unacked == NULL;
    UNLOCK_TCPIP_CORE();
    return acked;
}

/* Sets up a connection that only the caller has closed, with all data
 * acknowledged. */
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

/* With all data acknowledged, a reset of the retransmitted FIN after the
 * peer's TIME-WAIT isn't an error. */
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

/* A reset while bytes are unacknowledged is an error, even while closing. */
TEST(last_bytes_lost)
{
    struct loop loop;
    g_autofree struct end *client = loop_half_closed(&loop);
    uint8_t byte = loop_pattern(1000);

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

/* Ages the connections in TIME-WAIT by @ms, sweeps, and returns the number of
 * those left. */
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

/* A peer in TIME-WAIT acknowledges a retransmission 30 s later. */
TEST(late_retransmission)
{
    struct loop loop;
    g_autofree struct end *client = loop_half_closed(&loop);
    uint8_t byte = loop_pattern(1000);

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

/* Beyond PCBS_TIME_WAIT_MAX the oldest connections are freed sooner. */
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
