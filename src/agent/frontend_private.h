/**
 * DOC: front_private - what the parts of the frontend share
 */
#ifndef SWIFTARCH_AGENT_FRONTEND_PRIVATE_H
#define SWIFTARCH_AGENT_FRONTEND_PRIVATE_H

#include "agent/frontend.h"

/**
 * struct frontend_conn - one caller's flow
 * @reader_owner: so that the reader finds the flow; first member
 * @frontend: all flows
 * @conn: the stack's handle
 * @reader: reads its requests
 * @slots: requests without an answer sent, in order
 * @in: bytes not read yet, while the reader is paused
 * @out: bytes of answers the stack has not taken
 * @out_pos: how many of @out it has
 * @last_io_us: when the caller last sent or took bytes
 * @request_start_us: when the request being read began
 * @stalled_us: since when the stack takes nothing, 0 while it does
 * @now_us: time of the call in progress
 * @partial_bytes: bytes of the request being read, counted in
 * frontend->partial_bytes
 * @paused: reading stopped until an answer is sent
 * @ended: no further request is read
 * @close_after: close once @out is taken
 * @link: in frontend->conns
 */
struct frontend_conn {
    struct reader_owner reader_owner;
    struct frontend *frontend;
    struct stack_conn *conn;
    struct reader reader;
    GQueue slots;
    GByteArray *in;
    GByteArray *out;
    size_t out_pos;
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

/** frontend_conn_backlog() - bytes of answers the stack has not taken */
size_t
frontend_conn_backlog(const struct frontend_conn *fc);

/** frontend_conn_discard_output() - forget them */
void
frontend_conn_discard_output(struct frontend_conn *fc);

/** frontend_conn_stop_reading() - read no further request */
void
frontend_conn_stop_reading(struct frontend_conn *fc);

/** frontend_conn_reject() - @status after the answers still owed, then
 * close */
void
frontend_conn_reject(struct frontend_conn *fc, unsigned status,
                     uint64_t now_us);

#endif
