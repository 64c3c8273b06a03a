/**
 * DOC: fake_stack - connections for tests of the frontend, without TCP
 *
 * Implements the functions of stack/stack.h that the frontend calls. Tests
 * read the written bytes and limit how many are accepted.
 */
#ifndef SWIFTARCH_TESTS_AGENT_FAKE_STACK_H
#define SWIFTARCH_TESTS_AGENT_FAKE_STACK_H

#include <glib.h>
#include <stdbool.h>

#include "stack/stack.h"

/**
 * struct stack_conn - a connection
 * @peer: address of the caller
 * @data: pointer of the frontend
 * @written: bytes accepted from the frontend
 * @room: bytes that are still accepted
 * @paused: the frontend paused reading
 * @closed: stack_close() was called
 * @aborted: stack_abort() was called
 */
struct stack_conn {
    struct addr peer;
    void *data;
    GString *written;
    size_t room;
    bool paused;
    bool closed;
    bool aborted;
};

/** fake_conn_init() - initialise a connection of caller @ip that accepts all
 * bytes */
void
fake_conn_init(struct stack_conn *conn, uint32_t ip);

/** fake_conn_finish() - free the written bytes */
void
fake_conn_finish(struct stack_conn *conn);

#endif
