/**
 * DOC: stack_loop - a stack whose output comes back in, and its connections
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
 * @closes: close when everything is written
 * @lingers: don't close on EOF
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
 * struct loop - a stack whose output comes back in
 * @loss: part of the packets that is lost
 * @reorder: part that goes before those that wait
 * @ends: accepted, newest first
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

/** loop_pattern() - the byte that each end sends at @at */
uint8_t
loop_pattern(size_t at);

/** loop_init() - a stack that listens at LOOP_SERVER_IP, port 80 */
void
loop_init(struct loop *loop, uint32_t seed);

void
loop_finish(struct loop *loop);

/** loop_step() - bring one packet back in, and poll */
void
loop_step(struct loop *loop);

/** loop_for() - step for so long */
void
loop_for(struct loop *loop, gint64 duration_us);

/** loop_connect() - a caller's end, g_free() it */
struct end *
loop_connect(struct loop *loop, uint16_t port, size_t to_send);

/* Steps until @cond; a hang ends the test. */
#define LOOP_UNTIL(loop, cond)                                                \
    do {                                                                      \
        gint64 deadline = g_get_monotonic_time() + LOOP_WAIT_US;              \
        while (!(cond)) {                                                     \
            g_assert_cmpint(g_get_monotonic_time(), <, deadline);             \
            loop_step(loop);                                                  \
        }                                                                     \
    } while (0)

#endif
