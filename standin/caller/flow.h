/**
 * DOC: flow - one TCP flow of a load and the requests in progress on it
 */
#ifndef STANDIN_CALLER_FLOW_H
#define STANDIN_CALLER_FLOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "caller/request.h"
#include "stack/stack.h"

struct load;

/**
 * struct flow - a flow; freed by flow_on_closed()
 * @link: place among all flows of the load
 * @load: its load
 * @number: number, unique in the run
 * @conn: its connection
 * @src: our address
 * @via: who owns it, as the last answer that says so does
 * @open_us: when it was asked to open
 * @open: it is established
 * @ending: takes no more requests
 * @closed_by_us: we sent FIN or RST first
 * @peer_closed: the peer did
 * @timed_out: given up because an answer didn't come
 * @requests: sent over it
 * @in_progress: requests without an answer, oldest first
 * @answer: the answer that is being read
 * @out: bytes that the stack hasn't taken yet
 */
struct flow {
    GList link;
    struct load *load;
    int64_t number;
    struct stack_conn *conn;
    struct addr src;
    char via[RECORD_VIA_MAX];
    uint64_t open_us;
    bool open;
    bool ending;
    bool closed_by_us;
    bool peer_closed;
    bool timed_out;
    unsigned requests;
    GQueue in_progress;
    struct answer answer;
    GByteArray *out;
};

/** flow_open() - start a flow from @src, or NULL */
struct flow *
flow_open(struct load *load, int64_t number, struct addr src);

/** flow_free() - forget a flow whose connection is gone */
void
flow_free(struct flow *flow);

/** flow_has_room() - whether another request may be sent now */
bool
flow_has_room(const struct flow *flow);

/** flow_send() - send @request, which the flow owns until its outcome */
void
flow_send(struct flow *flow, struct request *request);

/** flow_finish() - end of the run: record the flow, let it go with a FIN */
void
flow_finish(struct flow *flow);

/** flow_check_timeout() - give up a flow that doesn't open, or whose oldest
 * request waits too long */
void
flow_check_timeout(struct flow *flow, uint64_t now_us);

/** flow_record() - write the flow's line */
void
flow_record(const struct flow *flow, enum flow_end end);

/** flow_on_open(), flow_on_data(), flow_on_writable(), flow_on_eof(),
 * flow_on_closed() - what the stack tells */
void
flow_on_open(struct flow *flow);
void
flow_on_data(struct flow *flow, const uint8_t *data, size_t len);
void
flow_on_writable(struct flow *flow);
void
flow_on_eof(struct flow *flow);
void
flow_on_closed(struct flow *flow, int reason);

#endif
