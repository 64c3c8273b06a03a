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
 * @stack: its stack
 * @pcb: lwIP's connection; NULL once detached or freed by lwIP
 * @in: received bytes not yet delivered to the owner; NULL when empty. At most
 *      one receive window, which opens only by delivered bytes
 * @prev, @next: list of all connections of the stack
 * @next_event: next in the list of connections with events, while @queued
 * @data: pointer for the owner's use
 * @local: local address
 * @peer: remote address
 * @close_ticks: after stack_close(): start of FIN-WAIT-2 or last data of the
 *               peer, in lwIP's ticks
 * @reason: argument of on_closed
 * @queued: in the list of connections with events
 * @open_due, @eof_due, @writable_due, @closed_due: callbacks to make
 * @want_write: the last stack_write() was short
 * @paused: see stack_conn_pause()
 * @closing: the owner called stack_close() or stack_abort()
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
 * @owner: receiver of the callbacks
 * @secret: key of the sequence number shift, see isn.h
 * @event_fd: readable while @events isn't empty
 * @out: interface that all sent packets leave by
 * @addresses: an interface for each address of stack_add_address()
 * @address_count: number of @addresses
 * @half_open: upper bound of the number of connections in SYN-RECEIVED
 * @listeners: listening addresses, including stopped ones
 * @conns: all connections
 * @events: connections with events, oldest first
 * @last_event: tail of @events
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
