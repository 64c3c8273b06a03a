/**
 * DOC: frontend - HTTP/1.1 server for callers on the flows of the stack
 *
 * Reads requests and sends their answers in request order. Limits header and
 * body size, pipelined requests, unsent answers, and flows in total and per
 * caller.
 */
#ifndef SWIFTARCH_AGENT_FRONTEND_H
#define SWIFTARCH_AGENT_FRONTEND_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agent/reader.h"
#include "base/addr.h"
#include "stack/stack.h"

#define FRONTEND_VIA_MAX 64               /* bytes */
#define FRONTEND_PIPELINE_MAX 8           /* unanswered requests of a flow */
#define FRONTEND_BACKLOG_MAX (256u << 10) /* bytes, one flow */
#define FRONTEND_BACKLOG_TOTAL_MAX (64u << 20) /* bytes, all flows */
#define FRONTEND_PARTIAL_BYTES_MAX (64u << 20) /* bytes, all flows */
#define FRONTEND_READ_TIMEOUT_US (10 * UINT64_C(1000000))
#define FRONTEND_WRITE_TIMEOUT_US (10 * UINT64_C(1000000))

struct frontend_conn;
struct frontend_owner;

/**
 * struct frontend_slot - position of one request in the answers of its flow
 * @conn: its flow
 * @id: the owner's id of the request
 * @answer: its answer, NULL until there is one
 * @last: the flow closes after this answer
 */
struct frontend_slot {
    struct frontend_conn *conn;
    uint64_t id;
    GByteArray *answer;
    bool last;
};

/** struct frontend_ops - events for the owner */
struct frontend_ops {
    /** @on_request: a complete request on a flow from @caller to @local. The
     * owner sets slot->id and takes ownership of request->http; it may call
     * frontend_answer() from the callback. */
    void (*on_request)(struct frontend_owner *owner,
                       struct frontend_slot *slot,
                       struct reader_request *request, struct addr caller,
                       struct addr local);
    /** @on_gone: the flow of an unanswered request was closed; @slot is
     * invalid afterwards */
    void (*on_gone)(struct frontend_owner *owner, struct frontend_slot *slot);
    /** @on_flow: a flow opened or ended */
    void (*on_flow)(struct frontend_owner *owner, struct addr caller,
                    struct addr local, bool open);
};

/** struct frontend_owner - owner of a frontend; the vtable comes first */
struct frontend_owner {
    const struct frontend_ops *ops;
};

/**
 * struct frontend_limits - limits of a service
 * @connections: maximum of open flows
 * @per_caller: maximum of open flows of one caller address
 * @body_max: largest request body, bytes
 * @idle_us: idle time after which a flow is closed
 */
struct frontend_limits {
    size_t connections;
    size_t per_caller;
    size_t body_max;
    uint64_t idle_us;
};

/**
 * struct frontend_stats - counters
 * @opened: flows opened
 * @refused: flows refused by a limit, of UDP callers too
 * @bad_requests: requests rejected with an error status
 * @slow: flows reset or requests rejected for a timeout or the backlog limit
 * @reset: flows that the stack closed with an error
 */
struct frontend_stats {
    uint64_t opened;
    uint64_t refused;
    uint64_t bad_requests;
    uint64_t slow;
    uint64_t reset;
};

/**
 * struct frontend - all flows of the agent
 * @owner: receives requests and flow events
 * @via: Via field with this agent's name, added to each answer
 * @limits: current limits of the service
 * @conns: open flows, queue of struct frontend_conn
 * @callers: number of open flows by caller address
 * @backlog: bytes of answers not yet written to the stack, all flows
 * @partial_bytes: bytes of partially read requests, all flows
 * @partial_bytes_max: above it, a flow that adds partial bytes gets a 503
 * @stopping: close each flow after its last pending answer
 * @stats: counters
 */
struct frontend {
    struct frontend_owner *owner;
    char via[FRONTEND_VIA_MAX];
    struct frontend_limits limits;
    GQueue conns;
    GHashTable *callers;
    size_t backlog;
    size_t partial_bytes;
    size_t partial_bytes_max;
    bool stopping;
    struct frontend_stats stats;
};

/** frontend_init() - initialize without flows; @name of this host is sent in
 * Via */
void
frontend_init(struct frontend *frontend, struct frontend_owner *owner,
              const char *name);

/** frontend_finish() - free all flows; called after the stack is freed */
void
frontend_finish(struct frontend *frontend);

/** frontend_can_open() - whether the limits allow another flow of caller @ip
 */
bool
frontend_can_open(const struct frontend *frontend, uint32_t ip);

/** frontend_count_caller() - add @change to the number of open flows of @ip */
void
frontend_count_caller(struct frontend *frontend, uint32_t ip, int change);

/** frontend_open(), frontend_data(), frontend_writable(), frontend_eof(),
 * frontend_closed() - events of a flow from the stack; @now_us is monotonic */
void
frontend_open(struct frontend *frontend, struct stack_conn *conn,
              uint64_t now_us);
void
frontend_data(struct frontend *frontend, struct stack_conn *conn,
              const uint8_t *data, size_t len, uint64_t now_us);
void
frontend_writable(struct frontend *frontend, struct stack_conn *conn,
                  uint64_t now_us);
void
frontend_eof(struct frontend *frontend, struct stack_conn *conn);
void
frontend_closed(struct frontend *frontend, struct stack_conn *conn);

/** frontend_answer() - answer a request; takes ownership of @answer and sends
 * it after all earlier answers of the flow. @slot is invalid afterwards. */
void
frontend_answer(struct frontend *frontend, struct frontend_slot *slot,
                GByteArray *answer, uint64_t now_us);

/** frontend_tick() - close idle and slow flows; called about once a second */
void
frontend_tick(struct frontend *frontend, uint64_t now_us);

/** frontend_abort_unless() - reset the flows for whose local address @keep
 * returns false */
void
frontend_abort_unless(struct frontend *frontend,
                      bool (*keep)(const void *arg, struct addr local),
                      const void *arg);

/** frontend_abort_all() - reset every flow; called when the host changes its
 * service */
void
frontend_abort_all(struct frontend *frontend);

/** frontend_close_idle() - send FIN on every flow without a pending answer */
void
frontend_close_idle(struct frontend *frontend);

/** frontend_count() - number of open flows */
size_t
frontend_count(const struct frontend *frontend);

#endif
