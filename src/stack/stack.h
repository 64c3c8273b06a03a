/**
 * DOC: stack - TCP of callers' flows in our own process (lwIP)
 *
 * Wraps lwIP's raw API under its core lock. lwIP's callbacks only note
 * what happened; stack_poll() tells the owner on the owner's thread, so
 * the owner needs no lock. Used by the agent (listening) and by the test
 * caller (connecting).
 */
#ifndef SWIFTARCH_STACK_STACK_H
#define SWIFTARCH_STACK_STACK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

struct stack;
struct stack_conn;
struct stack_owner;

/** struct stack_ops - what the owner of a stack is told, all from
 * stack_poll() except @output */
struct stack_ops {
    /** @output: an IPv4 packet to send; may come from lwIP's own thread */
    void (*output)(struct stack_owner *owner, const uint8_t *buf, size_t len);
    /** @on_open: accepted (agent) or connected (caller) */
    void (*on_open)(struct stack_owner *owner, struct stack_conn *conn);
    /** @on_data: bytes came, in order */
    void (*on_data)(struct stack_owner *owner, struct stack_conn *conn,
                    const uint8_t *data, size_t len);
    /** @on_writable: room for more after a short stack_write() */
    void (*on_writable)(struct stack_owner *owner, struct stack_conn *conn);
    /** @on_eof: the peer sent FIN; stack_close() is still ours to call */
    void (*on_eof)(struct stack_owner *owner, struct stack_conn *conn);
    /** @on_closed: gone; @reason 0 (closed), -ECONNRESET, -ETIMEDOUT,
     * -ECONNABORTED. The handle is invalid afterwards. */
    void (*on_closed)(struct stack_owner *owner, struct stack_conn *conn,
                      int reason);
};

/** struct stack_owner - owner of a stack; the vtable comes first */
struct stack_owner {
    const struct stack_ops *ops;
};

/** stack_new() - the stack of the process (one only), or NULL */
struct stack *
stack_new(struct stack_owner *owner);

/** stack_free() - abort all connections and free */
void
stack_free(struct stack *stack);

/** stack_add_address() - take packets for @ip; 0 or negative errno */
int
stack_add_address(struct stack *stack, uint32_t ip);

/** stack_listen() - accept flows to @addr; -EADDRINUSE when it does already */
int
stack_listen(struct stack *stack, struct addr addr);

/** stack_unlisten() - stop accepting; open flows go on */
int
stack_unlisten(struct stack *stack, struct addr addr);

/** stack_connect() - open a flow from @local to @remote, or NULL */
struct stack_conn *
stack_connect(struct stack *stack, struct addr local, struct addr remote);

/** stack_input() - hand in a checked IPv4 packet */
int
stack_input(struct stack *stack, const uint8_t *buf, size_t len);

/** stack_fd() - readable when stack_poll() has something to tell */
int
stack_fd(const struct stack *stack);

/**
 * stack_half_open() - connections whose handshake isn't finished
 *
 * Bounded: when there are too many, the oldest are forgotten silently.
 */
size_t
stack_half_open(const struct stack *stack);

/** stack_poll() - make the callbacks that are due */
void
stack_poll(struct stack *stack);

/** stack_write() - queue bytes; returns how many were taken (0: wait) */
size_t
stack_write(struct stack_conn *conn, const uint8_t *data, size_t len);

/** stack_close() - FIN after what is queued; on_closed follows */
void
stack_close(struct stack_conn *conn);

/** stack_abort() - RST now; on_closed follows */
void
stack_abort(struct stack_conn *conn);

/** stack_conn_peer(), stack_conn_local() - addresses of a flow */
struct addr
stack_conn_peer(const struct stack_conn *conn);
struct addr
stack_conn_local(const struct stack_conn *conn);

/** stack_conn_set_data(), stack_conn_data() - the owner's pointer */
void
stack_conn_set_data(struct stack_conn *conn, void *data);
void *
stack_conn_data(const struct stack_conn *conn);

/** stack_conn_pause() - stop (or go on) reading; bounds what is buffered */
void
stack_conn_pause(struct stack_conn *conn, bool paused);

#endif
