/**
 * DOC: front - callers' HTTP/1.1 on the flows of the stack
 *
 * Reads requests, answers them in order however they end, bounds what a
 * caller may hold: header and body size, pipelined requests, unread
 * answers, connections in all and for each caller.
 */
#ifndef SWIFTARCH_AGENT_FRONT_H
#define SWIFTARCH_AGENT_FRONT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agent/reader.h"
#include "base/addr.h"
#include "stack/stack.h"

#define FRONT_VIA_MAX 64
#define FRONT_PIPELINE_MAX 8
#define FRONT_BACKLOG_MAX (256u << 10)
#define FRONT_BACKLOG_ALL_MAX (64u << 20)
#define FRONT_HELD_ALL_MAX (64u << 20)
#define FRONT_READ_TIMEOUT_US (10 * UINT64_C(1000000))
#define FRONT_WRITE_TIMEOUT_US (10 * UINT64_C(1000000))

struct front_conn;
struct front_owner;

/**
 * struct front_slot - place of one request in the order of its flow
 * @conn: its flow, NULL once that is gone
 * @id: the owner's id of the request
 * @answer: its answer, once there is one
 * @last: no request follows on the flow
 */
struct front_slot {
    struct front_conn *conn;
    uint64_t id;
    GByteArray *answer;
    bool last;
};

/** struct front_ops - what the owner is told */
struct front_ops {
    /** @on_request: a whole request on a flow from @caller to @local; set
     * slot->id and take over request->http. front_answer() may be called at
     * once. */
    void (*on_request)(struct front_owner *owner, struct front_slot *slot,
                       struct reader_request *request, struct addr caller,
                       struct addr local);
    /** @on_gone: the caller of an unanswered request is gone; @slot is
     * invalid afterwards */
    void (*on_gone)(struct front_owner *owner, struct front_slot *slot);
    /** @on_flow: a flow opened or ended */
    void (*on_flow)(struct front_owner *owner, struct addr caller,
                    struct addr local, bool open);
};

/** struct front_owner - owner of a front; the vtable comes first */
struct front_owner {
    const struct front_ops *ops;
};

/**
 * struct front_limits - bounds of a service
 * @connections: open flows
 * @per_caller: open flows of one caller
 * @body_max: largest request body, bytes
 * @idle_us: flows without bytes for so long are closed
 */
struct front_limits {
    size_t connections;
    size_t per_caller;
    size_t body_max;
    uint64_t idle_us;
};

/** struct front_stats - what the front counted */
struct front_stats {
    uint64_t opened;
    uint64_t refused;
    uint64_t bad_requests;
    uint64_t slow;
    uint64_t reset;
};

/**
 * struct front - all flows of the agent
 * @owner: told of requests
 * @via: field that says who owns the flow, put on each answer
 * @limits: bounds in force
 * @conns: flows, as GQueue of struct front_conn
 * @callers: open flows by caller address
 * @backlog: bytes of answers not yet taken by the stack
 * @held: bytes of requests read in part, over all flows
 * @held_max: over this much the flow that brings more is refused
 * @stopping: close each flow after its next answer
 * @stats: counts
 */
struct front {
    struct front_owner *owner;
    char via[FRONT_VIA_MAX];
    struct front_limits limits;
    GQueue conns;
    GHashTable *callers;
    size_t backlog;
    size_t held;
    size_t held_max;
    bool stopping;
    struct front_stats stats;
};

/** front_init() - begin without flows; @name: of this host, for Via */
void
front_init(struct front *front, struct front_owner *owner, const char *name);

/** front_finish() - forget all flows; the stack is freed before */
void
front_finish(struct front *front);

/** front_may_open() - whether the limits allow one more flow of @ip */
bool
front_may_open(const struct front *front, uint32_t ip);

/** front_count_caller() - note that flows of @ip became more or fewer */
void
front_count_caller(struct front *front, uint32_t ip, int change);

/** front_open(), front_data(), front_writable(), front_eof(),
 * front_closed() - what the stack tells of a flow; monotonic @now_us */
void
front_open(struct front *front, struct stack_conn *conn, uint64_t now_us);
void
front_data(struct front *front, struct stack_conn *conn, const uint8_t *data,
           size_t len, uint64_t now_us);
void
front_writable(struct front *front, struct stack_conn *conn, uint64_t now_us);
void
front_eof(struct front *front, struct stack_conn *conn);
void
front_closed(struct front *front, struct stack_conn *conn);

/** front_answer() - the answer of a request; sent once all earlier ones of
 * its flow are. @slot is invalid afterwards. */
void
front_answer(struct front *front, struct front_slot *slot, GByteArray *answer,
             uint64_t now_us);

/** front_tick() - close what is idle or too slow; about once a second */
void
front_tick(struct front *front, uint64_t now_us);

/** front_abort_unless() - reset the flows to addresses that aren't kept */
void
front_abort_unless(struct front *front,
                   bool (*is_kept)(const void *arg, struct addr local),
                   const void *arg);

/** front_abort_all() - reset every flow: the service it was for is no longer
 * served here */
void
front_abort_all(struct front *front);

/** front_close_idle() - FIN on every flow that has no request in progress */
void
front_close_idle(struct front *front);

/** front_count() - flows open */
size_t
front_count(const struct front *front);

#endif
