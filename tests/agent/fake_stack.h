/**
 * DOC: fake_stack - flows for tests of the front, without TCP
 *
 * Implements the calls of stack/stack.h that the front makes; tests look
 * at what was written and set how much is taken.
 */
#ifndef SWIFTARCH_TESTS_AGENT_FAKE_STACK_H
#define SWIFTARCH_TESTS_AGENT_FAKE_STACK_H

#include <glib.h>
#include <stdbool.h>

#include "stack/stack.h"

/**
 * struct stack_conn - a flow
 * @peer: caller
 * @data: the front's pointer
 * @written: bytes taken from the front
 * @room: bytes it still takes
 * @paused: the front asked for no more
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

/** fake_conn_init() - a flow of @ip that takes everything */
void
fake_conn_init(struct stack_conn *conn, uint32_t ip);

/** fake_conn_finish() - free what was written */
void
fake_conn_finish(struct stack_conn *conn);

#endif
