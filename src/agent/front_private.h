/**
 * DOC: front_private - what the parts of the front share
 */
#ifndef SWIFTARCH_AGENT_FRONT_PRIVATE_H
#define SWIFTARCH_AGENT_FRONT_PRIVATE_H

#include "agent/front.h"

/**
 * struct front_conn - one caller's flow
 * @reader_owner: so that the reader finds the flow; first member
 * @front: all flows
 * @conn: the stack's handle
 * @reader: reads its requests
 * @slots: requests without an answer sent, in order
 * @in: bytes not read yet, while the reader is paused
 * @out: bytes of answers the stack has not taken
 * @out_pos: how many of @out it has
 * @bytes_us: when the caller last sent or took bytes
 * @request_us: when the request being read began
 * @stalled_us: since when the stack takes nothing, 0 while it does
 * @now_us: time of the call in progress
 * @held: bytes of the request being read, counted in front->held
 * @paused: reading stopped until an answer is sent
 * @ended: no further request is read
 * @close_after: close once @out is taken
 * @link: in front->conns
 */
struct front_conn {
    struct reader_owner reader_owner;
    struct front *front;
    struct stack_conn *conn;
    struct reader reader;
    GQueue slots;
    GByteArray *in;
    GByteArray *out;
    size_t out_pos;
    uint64_t bytes_us;
    uint64_t request_us;
    uint64_t stalled_us;
    uint64_t now_us;
    size_t held;
    bool paused;
    bool ended;
    bool close_after;
    GList link;
};

/** front_conn_backlog() - bytes of answers the stack has not taken */
size_t
front_conn_backlog(const struct front_conn *fc);

/** front_conn_drop_out() - forget them */
void
front_conn_drop_out(struct front_conn *fc);

/** front_conn_end_reading() - read no further request */
void
front_conn_end_reading(struct front_conn *fc);

/** front_conn_answer_bad() - @status after the answers still owed, then
 * close */
void
front_conn_answer_bad(struct front_conn *fc, unsigned status, uint64_t now_us);

#endif
