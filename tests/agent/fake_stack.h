/**
 * DOC: fake_stack - flows for tests of the frontend, without TCP
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
 * struct stack_conn - a flow
 * @peer: caller
 * @data: the frontend's pointer
 * @written: bytes accepted from the frontend
 * @writable: number of bytes that it still accepts
 * @paused: the frontend paused reading
 * @closed: stack_close() was called
 * @aborted: stack_abort() was called
 */
struct stack_conn {
    struct addr peer;
    void *data;
    GString *written;
    size_t writable;
    bool paused;
    bool closed;
    bool aborted;
};

/** fake_conn_init() - initialize a flow of caller @ip that accepts all bytes
 */
void
fake_conn_init(struct stack_conn *conn, uint32_t ip);

/** fake_conn_finish() - free the written bytes */
void
fake_conn_finish(struct stack_conn *conn);

#endif
