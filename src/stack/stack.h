/**
 * DOC: stack - user-space TCP for callers' flows (lwIP)
 *
 * Wraps lwIP's raw API under its core lock. lwIP's callbacks only queue
 * events; stack_poll() reports them on the owner's thread, so the owner needs
 * no lock. Used by the agent (listening) and by the test caller
 * (connecting).
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

/** struct stack_ops - callbacks of a stack's owner; stack_poll() calls all but
 * @output */
struct stack_ops {
    /** @output: send an IPv4 packet; may be called on lwIP's thread */
    void (*output)(struct stack_owner *owner, const uint8_t *buf, size_t len);
    /** @on_open: a connection was accepted (agent) or connected (caller) */
    void (*on_open)(struct stack_owner *owner, struct stack_conn *conn);
    /** @on_data: bytes were received, in order */
    void (*on_data)(struct stack_owner *owner, struct stack_conn *conn,
                    const uint8_t *data, size_t len);
    /** @on_writable: the send buffer has room after a short stack_write() */
    void (*on_writable)(struct stack_owner *owner, struct stack_conn *conn);
    /** @on_eof: the peer sent FIN; the owner must still call stack_close() */
    void (*on_eof)(struct stack_owner *owner, struct stack_conn *conn);
    /** @on_closed: the connection ended; @reason is 0 (closed), -ECONNRESET,
     * -ETIMEDOUT or -ECONNABORTED. @conn is freed on return. */
    void (*on_closed)(struct stack_owner *owner, struct stack_conn *conn,
                      int reason);
};

/** struct stack_owner - base of an owner; embed it as the first member */
struct stack_owner {
    const struct stack_ops *ops;
};

/** stack_new() - create the stack; NULL on failure or when the process has one
 */
struct stack *
stack_new(struct stack_owner *owner);

/** stack_free() - abort all connections and free the stack */
void
stack_free(struct stack *stack);

/** stack_add_address() - accept packets for @ip; 0 or a negative errno value
 */
int
stack_add_address(struct stack *stack, uint32_t ip);

/** stack_listen() - accept flows to @addr; 0 or a negative errno value,
 * -EADDRINUSE when it is already listening */
int
stack_listen(struct stack *stack, struct addr addr);

/** stack_unlisten() - stop accepting flows to @addr; open flows continue. 0,
 * or -ENOENT when it isn't listening */
int
stack_unlisten(struct stack *stack, struct addr addr);

/** stack_connect() - open a flow from @local to @remote; NULL on failure */
struct stack_conn *
stack_connect(struct stack *stack, struct addr local, struct addr remote);

/** stack_input() - process a received IPv4/TCP packet; 0 or a negative errno
 * value when it isn't accepted */
int
stack_input(struct stack *stack, const uint8_t *buf, size_t len);

/** stack_fd() - fd that is readable while stack_poll() has events */
int
stack_fd(const struct stack *stack);

/**
 * stack_half_open() - number of half-open connections
 *
 * Bounded: the oldest are dropped without a reset.
 */
size_t
stack_half_open(const struct stack *stack);

/** stack_poll() - report queued events to the owner */
void
stack_poll(struct stack *stack);

/** stack_write() - queue bytes to send; returns how many fit. on_writable
 * follows when they didn't all fit */
size_t
stack_write(struct stack_conn *conn, const uint8_t *data, size_t len);

/** stack_close() - send FIN after the queued bytes; on_closed follows */
void
stack_close(struct stack_conn *conn);

/** stack_abort() - send RST now; on_closed follows */
void
stack_abort(struct stack_conn *conn);

/** stack_conn_peer(), stack_conn_local() - remote and local address */
struct addr
stack_conn_peer(const struct stack_conn *conn);
struct addr
stack_conn_local(const struct stack_conn *conn);

/** stack_conn_set_data(), stack_conn_data() - pointer for the owner's use */
void
stack_conn_set_data(struct stack_conn *conn, void *data);
void *
stack_conn_data(const struct stack_conn *conn);

/** stack_conn_pause() - pause or resume on_data and on_eof; while paused at
 * most one receive window is buffered */
void
stack_conn_pause(struct stack_conn *conn, bool paused);

#endif
