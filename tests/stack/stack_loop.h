/**
 * DOC: stack_loop - test support: a stack whose output is its input, and the
 * ends of its connections
 */
#ifndef SWIFTARCH_TESTS_STACK_STACK_LOOP_H
#define SWIFTARCH_TESTS_STACK_STACK_LOOP_H

#include <glib.h>

#include "stack/stack.h"

#define LOOP_SERVER_IP 0x0a000001u
#define LOOP_CLIENT_IP 0x0a090001u
#define LOOP_WAIT_US (120 * G_USEC_PER_SEC)

/**
 * struct end - one end of a connection
 * @server: it was accepted
 * @opened, @eof, @closed: callbacks received
 * @closes: close after @to_send bytes are written
 * @lingers: don't close on EOF
 * @reason: argument of on_closed
 * @to_send: bytes to send
 * @sent: bytes taken by stack_write()
 * @received: bytes received
 * @conn: connection, NULL once closed
 * @next: next accepted end
 */
struct end {
    bool server;
    bool opened;
    bool eof;
    bool closed;
    bool closes;
    bool lingers;
    int reason;
    size_t to_send;
    size_t sent;
    size_t received;
    struct stack_conn *conn;
    struct end *next;
};

/**
 * struct loop - a stack and the queue of its sent packets
 * @owner: owner of @stack
 * @stack: stack of both ends
 * @lock: guards @packets, @rand and @dropped
 * @packets: sent packets to be input
 * @rand: decides on loss and order
 * @loss: fraction of packets dropped, 0 to 1
 * @reorder: fraction of packets put at the head of the queue, 0 to 1
 * @dropped: packets dropped
 * @server_sends: bytes that accepted ends send
 * @ends: accepted ends, newest first
 * @accepted, @opened, @closed: number of callbacks received
 * @pause_server: pause reading at accepted ends
 * @server_closes: accepted ends close after their last byte
 */
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
    struct end *ends;
    size_t accepted;
    size_t opened;
    size_t closed;
    bool pause_server;
    bool server_closes;
};

/** loop_pattern() - the byte that each end sends at offset @at */
uint8_t
loop_pattern(size_t at);

/** loop_init() - create a stack that listens on LOOP_SERVER_IP, port 80 */
void
loop_init(struct loop *loop, uint32_t seed);

void
loop_finish(struct loop *loop);

/** loop_step() - input one queued packet and poll */
void
loop_step(struct loop *loop);

/** loop_for() - step for @duration_us */
void
loop_for(struct loop *loop, gint64 duration_us);

/** loop_connect() - connect from @port (0: any); g_free() the returned end */
struct end *
loop_connect(struct loop *loop, uint16_t port, size_t to_send);

/* Steps until @cond holds; fails after LOOP_WAIT_US. */
#define LOOP_UNTIL(loop, cond)                                                \
    do {                                                                      \
        gint64 deadline = g_get_monotonic_time() + LOOP_WAIT_US;              \
        while (!(cond)) {                                                     \
            g_assert_cmpint(g_get_monotonic_time(), <, deadline);             \
            loop_step(loop);                                                  \
        }                                                                     \
    } while (0)

#endif
