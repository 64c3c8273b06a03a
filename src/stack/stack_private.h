/**
 * DOC: stack_private - state shared by the files of the stack
 *
 * lwIP's core lock guards all of it; lwIP's callbacks run under that lock.
 * The caller of a function named *_locked holds it.
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
 * @pcb: lwIP's connection; NULL once detached or freed by lwIP
 * @in: received bytes not yet delivered to the owner; NULL when empty. At most
 *      one receive window, which opens only by delivered bytes
 * @prev, @next: list of all connections of the stack
 * @next_event: next in the list of connections with events, while @queued
 * @reason: argument of on_closed
 * @close_ticks: last activity of the peer after stack_close(), in lwIP's ticks
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
 * @half_open: upper bound of the number of connections in SYN-RECEIVED
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

/** stack_conn_deliver() - report the events of @conn to the owner */
void
stack_conn_deliver(struct stack_conn *conn);

/** stack_conn_sweep_locked() - end connections that have finished closing or
 * wait too long for the peer's FIN */
void
stack_conn_sweep_locked(struct stack *stack);

/** stack_conn_free_all_locked() - abort and free all connections */
void
stack_conn_free_all_locked(struct stack *stack);

#endif
