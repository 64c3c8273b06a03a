/**
 * DOC: stack_private - what the files of the stack share
 *
 * Everything here is guarded by lwIP's core lock; lwIP's callbacks run
 * under it. Functions named *_locked expect it held.
 */
#ifndef SWIFTARCH_STACK_STACK_PRIVATE_H
#define SWIFTARCH_STACK_STACK_PRIVATE_H

#include <glib.h>
#include <lwip/netif.h>
#include <lwip/tcp.h>

#include "stack/stack.h"

#define STACK_ADDRESSES_MAX 200

struct stack_listener;

/**
 * struct stack_conn - a connection
 * @pcb: lwIP's part; NULL once lwIP has let go of it
 * @in: received and not yet handed to the owner; NULL when empty. At most
 *      one receive window, since the window opens only by what was handed on
 * @prev, @next: all connections of the stack
 * @next_event: next with something to tell, while @queued
 * @reason: of on_closed
 * @close_ticks: once closed by the owner, last sign that the peer goes on
 */
struct stack_conn {
    struct stack *stack;
    struct tcp_pcb *pcb;
    GByteArray *in;
    struct stack_conn *prev;
    struct stack_conn *next;
    struct stack_conn *next_event;
    void *data;
    struct addr local;
    struct addr peer;
    uint32_t close_ticks;
    int reason;
    bool queued;
    bool open_due;
    bool eof_due;
    bool writable_due;
    bool closed_due;
    bool want_write;
    bool paused;
    bool closing;
};

/**
 * struct stack - see stack.h
 * @half_open: connections in SYN-RECEIVED, or a few more
 */
struct stack {
    struct stack_owner *owner;
    uint64_t secret;
    int event_fd;
    struct netif out;
    struct netif *addresses[STACK_ADDRESSES_MAX];
    size_t address_count;
    size_t half_open;
    struct stack_listener *listeners;
    struct stack_conn *conns;
    struct stack_conn *events;
    struct stack_conn *last_event;
};

/** stack_conn_accept() - lwIP's accept callback; @arg is the stack */
err_t
stack_conn_accept(void *arg, struct tcp_pcb *pcb, err_t err);

/** stack_conn_deliver() - make the callbacks that are due for @conn */
void
stack_conn_deliver(struct stack_conn *conn);

/** stack_conn_sweep_locked() - let go of those that finished closing */
void
stack_conn_sweep_locked(struct stack *stack);

/** stack_conn_free_all_locked() - abort and free every connection */
void
stack_conn_free_all_locked(struct stack *stack);

#endif
