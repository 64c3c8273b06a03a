/**
 * DOC: frontend_private - per-flow state shared by the frontend's files
 */
#ifndef SWIFTARCH_AGENT_FRONTEND_PRIVATE_H
#define SWIFTARCH_AGENT_FRONTEND_PRIVATE_H

#include "agent/frontend.h"

/**
 * struct frontend_conn - one caller's flow
 * @reader_owner: receives the reader's events; first member
 * @frontend: the frontend it belongs to
 * @conn: the stack's handle
 * @reader: HTTP parser of its requests
 * @slots: struct frontend_slot of unanswered requests, in order
 * @input: bytes not read yet while the reader is paused, or NULL
 * @output: bytes of answers for the stack, or NULL
 * @output_pos: bytes of @output already written to the stack
 * @last_io_us: last time the caller sent or the stack accepted bytes
 * @request_start_us: start of the request being read, 0 between requests
 * @stalled_us: time since which the stack accepts no bytes, 0 while it does
 * @now_us: time of the current call
 * @partial_bytes: bytes of the request being read, included in
 *                 frontend->partial_bytes
 * @paused: the stack delivers no bytes until an answer is sent
 * @ended: no further request is read
 * @close_after: close the flow once @output is written
 * @link: in frontend->conns
 */
struct frontend_conn {
    struct reader_owner reader_owner;
    struct frontend *frontend;
    struct stack_conn *conn;
    struct reader reader;
    GQueue slots;
    GByteArray *input;
    GByteArray *output;
    size_t output_pos;
    uint64_t last_io_us;
    uint64_t request_start_us;
    uint64_t stalled_us;
    uint64_t now_us;
    size_t partial_bytes;
    bool paused;
    bool ended;
    bool close_after;
    GList link;
};

/** frontend_conn_backlog() - bytes of answers not yet written to the stack */
size_t
frontend_conn_backlog(const struct frontend_conn *fc);

/** frontend_conn_discard_output() - drop these bytes */
void
frontend_conn_discard_output(struct frontend_conn *fc);

/** frontend_conn_stop_reading() - read no further request and drop partial
 * input */
void
frontend_conn_stop_reading(struct frontend_conn *fc);

/** frontend_conn_reject() - answer the request being read with error @status
 * after all pending answers, then close the flow */
void
frontend_conn_reject(struct frontend_conn *fc, unsigned status,
                     uint64_t now_us);

#endif
