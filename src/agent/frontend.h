/**
 * DOC: frontend - callers' HTTP/1.1 on the flows of the stack
 *
 * Reads requests, answers them in order however they end, bounds what a
 * caller may hold: header and body size, pipelined requests, unread
 * answers, connections in all and for each caller.
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

#define FRONTEND_VIA_MAX 64
#define FRONTEND_PIPELINE_MAX 8
#define FRONTEND_BACKLOG_MAX (256u << 10)
#define FRONTEND_BACKLOG_TOTAL_MAX (64u << 20)
#define FRONTEND_PARTIAL_BYTES_MAX (64u << 20)
#define FRONTEND_READ_TIMEOUT_US (10 * UINT64_C(1000000))
#define FRONTEND_WRITE_TIMEOUT_US (10 * UINT64_C(1000000))

struct frontend_conn;
struct frontend_owner;

/**
 * struct frontend_slot - place of one request in the order of its flow
 * @conn: its flow, NULL once that is gone
 * @id: the owner's id of the request
 * @answer: its answer, once there is one
 * @last: no request follows on the flow
 */
struct frontend_slot {
    struct frontend_conn *conn;
    uint64_t id;
    GByteArray *answer;
    bool last;
};

/** struct frontend_ops - what the owner is told */
struct frontend_ops {
    /** @on_request: a whole request on a flow from @caller to @local; set
     * slot->id and take over request->http. frontend_answer() may be called at
     * once. */
    void (*on_request)(struct frontend_owner *owner,
                       struct frontend_slot *slot,
                       struct reader_request *request, struct addr caller,
                       struct addr local);
    /** @on_gone: the caller of an unanswered request is gone; @slot is
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
 * struct frontend_limits - bounds of a service
 * @connections: open flows
 * @per_caller: open flows of one caller
 * @body_max: largest request body, bytes
 * @idle_us: flows without bytes for so long are closed
 */
struct frontend_limits {
    size_t connections;
    size_t per_caller;
    size_t body_max;
    uint64_t idle_us;
};

/** struct frontend_stats - what the frontend counted */
struct frontend_stats {
    uint64_t opened;
    uint64_t refused;
    uint64_t bad_requests;
    uint64_t slow;
    uint64_t reset;
};

/**
 * struct frontend - all flows of the agent
 * @owner: told of requests
 * @via: field that says who owns the flow, put on each answer
 * @limits: bounds in force
 * @conns: flows, as GQueue of struct frontend_conn
 * @callers: open flows by caller address
 * @backlog: bytes of answers not yet taken by the stack
 * @partial_bytes: bytes of requests read in part, over all flows
 * @partial_bytes_max: over this much the flow that brings more is refused
 * @stopping: close each flow after its next answer
 * @stats: counts
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

/** frontend_init() - begin without flows; @name: of this host, for Via */
void
frontend_init(struct frontend *frontend, struct frontend_owner *owner,
              const char *name);

/** frontend_finish() - forget all flows; the stack is freed before */
void
frontend_finish(struct frontend *frontend);

/** frontend_can_open() - whether the limits allow one more flow of @ip */
bool
frontend_can_open(const struct frontend *frontend, uint32_t ip);

/** frontend_count_caller() - note that flows of @ip became more or fewer */
void
frontend_count_caller(struct frontend *frontend, uint32_t ip, int change);

/** frontend_open(), frontend_data(), frontend_writable(), frontend_eof(),
 * frontend_closed() - what the stack tells of a flow; monotonic @now_us */
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

/** frontend_answer() - the answer of a request; sent once all earlier ones of
 * its flow are. @slot is invalid afterwards. */
void
frontend_answer(struct frontend *frontend, struct frontend_slot *slot,
                GByteArray *answer, uint64_t now_us);

/** frontend_tick() - close what is idle or too slow; about once a second */
void
frontend_tick(struct frontend *frontend, uint64_t now_us);

/** frontend_abort_unless() - reset the flows to addresses that aren't kept */
void
frontend_abort_unless(struct frontend *frontend,
                      bool (*is_kept)(const void *arg, struct addr local),
                      const void *arg);

/** frontend_abort_all() - reset every flow: the service it was for is no
 * longer served here */
void
frontend_abort_all(struct frontend *frontend);

/** frontend_close_idle() - FIN on every flow that has no request in progress
 */
void
frontend_close_idle(struct frontend *frontend);

/** frontend_count() - flows open */
size_t
frontend_count(const struct frontend *frontend);

#endif
