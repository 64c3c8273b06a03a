/**
 * DOC: engine - request scheduling of one agent (no I/O)
 *
 * Events in, actions out. The program holds bodies and sockets, keyed by
 * request id. The engine decides on admission, order, placement, retries and
 * the final answer: the complete answer, "not run" (it never started), or
 * "unknown".
 *
 * A request accepted by this agent is local (its origin is this agent); one
 * sent by a peer to run here is remote.
 */
#ifndef SWIFTARCH_REQUEST_ENGINE_H
#define SWIFTARCH_REQUEST_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/view.h"
#include "idem/idem.h"
#include "service_config/service_config.h"

/**
 * struct engine_request - an incoming request
 * @id: unique on the agent that accepted it, never reused
 * @service: service id
 * @caller: address of the caller, for limits per caller
 * @class: urgent or ordinary, as requested by the caller; an ordinary service
 *   is raised only if an urgent one depends on it
 * @idempotent: safe to run twice (GET, HEAD, PUT, DELETE, OPTIONS, TRACE)
 * @keyed: has an Idempotency-Key
 * @key: the key, if @keyed
 * @deadline_us: time by which the answer is needed, on this agent's clock
 */
struct engine_request {
    uint64_t id;
    uint32_t service;
    uint32_t caller;
    enum service_config_class class;
    bool idempotent;
    bool keyed;
    struct idem_key key;
    uint64_t deadline_us;
};

/** enum engine_outcome - final answer of a request */
enum engine_outcome {
    ENGINE_ANSWERED,    /* complete answer of the upstream, or its replay */
    ENGINE_NOT_RUN,     /* 503, Retry-After */
    ENGINE_UNKNOWN,     /* 504: sent to an upstream, no complete answer */
    ENGINE_IN_PROGRESS, /* 409, Retry-After: first request of the key is
                           running */
    ENGINE_KEY_MISMATCH /* 422: the key was used for another request */
};

/** enum engine_reason - cause of an outcome, for Proxy-Status and counters */
enum engine_reason {
    ENGINE_REASON_NONE,
    ENGINE_QUEUE_FULL,
    ENGINE_CALLER_LIMIT,
    ENGINE_TOO_LATE,      /* cannot be served within its deadline */
    ENGINE_DEPENDENCY,    /* a service it depends on has no upstream */
    ENGINE_NO_UPSTREAM,   /* no upstream of the service takes work */
    ENGINE_KEY_QUORUM,    /* the key's replicas could not be reached */
    ENGINE_UPSTREAM_SHED, /* the upstream refused it without running it */
    ENGINE_LOST,          /* the upstream or peer lost it */
    ENGINE_TRUNCATED,     /* the answer of the upstream was truncated */
    ENGINE_DEADLINE,      /* no answer by the deadline */
    ENGINE_STOPPING,
    ENGINE_CANCELLED /* the caller closed */
};

/** enum engine_upstream - how a run at the local upstream ended */
enum engine_upstream {
    ENGINE_UP_ANSWERED,  /* complete answer */
    ENGINE_UP_REFUSED,   /* 503 with Retry-After: not started */
    ENGINE_UP_UNREACHED, /* could not connect: nothing was sent */
    ENGINE_UP_LOST,      /* sent, then the connection failed */
    ENGINE_UP_TRUNCATED  /* sent, the answer was truncated */
};

/** enum engine_peer_type - messages between the engines of a service */
enum engine_peer_type {
    ENGINE_PEER_STATUS, /* free slots and queued requests of the sender */
    ENGINE_PEER_PULL,   /* requests work for free slots */
    ENGINE_PEER_RUN,    /* run a request; its body follows */
    ENGINE_PEER_DONE,   /* outcome of a RUN; an answer follows */
    ENGINE_PEER_CANCEL, /* cancel a queued or running request */
    ENGINE_PEER_IDEM,   /* idempotency-key message */
    ENGINE_PEER_PROBE   /* requests a STATUS (policy probe only) */
};

/**
 * struct engine_peer_msg - message between engines
 * @type: message type; selects the valid fields
 * @request: RUN: the request, its deadline on this agent's clock (the wire
 *   has the time left, see agent/peer_wire.h); DONE, CANCEL: only its id
 * @origin: member that accepted the request
 * @outcome: DONE: outcome; ENGINE_ANSWERED is followed by the answer
 * @reason: DONE: cause of the outcome
 * @free_slots: STATUS, PULL, DONE: free slots of the sender
 * @waiting: STATUS: queued requests by class
 * @load: busy share of the sender's slot time in per mille, plus one; 0 if not
 *   reported
 * @idem: IDEM: the message
 */
struct engine_peer_msg {
    enum engine_peer_type type;
    struct engine_request request;
    uint64_t origin;
    enum engine_outcome outcome;
    enum engine_reason reason;
    uint16_t free_slots;
    uint16_t waiting[2];
    uint16_t load;
    struct idem_msg idem;
};

/** enum engine_action_type - action for the program to carry out */
enum engine_action_type {
    ENGINE_RUN,   /* run @id of @origin on the local upstream */
    ENGINE_ABORT, /* cancel that run; a late answer is dropped by id. The slot
                     is released at engine_upstream_end() or after
                     ENGINE_ABORT_GRACE_US */
    ENGINE_SEND,  /* send @msg to @to (RUN: with the request's bytes;
                     DONE, ANSWERED: with the answer's bytes) */
    ENGINE_FINISH /* final answer of a local request; ENGINE_ANSWERED: the
                     bytes stored for @id, or @msg.idem.answer if replayed */
};

/** struct engine_action - one action; valid until the next engine call */
struct engine_action {
    enum engine_action_type type;
    uint64_t id;
    uint64_t origin;
    uint64_t to;
    enum engine_outcome outcome;
    enum engine_reason reason;
    uint32_t retry_after_ms;
    bool replayed;
    struct engine_peer_msg msg;
};

/** struct engine_actions - growable list of actions, owned and emptied by
 * the caller */
struct engine_actions {
    struct engine_action *items;
    size_t count;
    size_t capacity;
};

/** engine_actions_finish() - free the list's memory */
void
engine_actions_finish(struct engine_actions *out);

/** enum engine_policy - dispatch policy among the agents of a service */
enum engine_policy {
    ENGINE_LOCAL,       /* at the agent of the flow */
    ENGINE_TWO_CHOICES, /* by the reported load of two random peers */
    ENGINE_IDLE_QUEUE,  /* join-idle-queue */
    ENGINE_PROBE,       /* probe random peers, pick by requests in flight */
    ENGINE_PULL         /* idle agents pull queued requests */
};

/** ENGINE_POLICY_DEFAULT - policy used by agents */
#define ENGINE_POLICY_DEFAULT ENGINE_PULL

/** ENGINE_ABORT_GRACE_US - maximum time an aborted run holds its slot */
#define ENGINE_ABORT_GRACE_US (50 * USEC_PER_MSEC)

#define ENGINE_OUTCOMES 5
#define ENGINE_REASONS 13
#define ENGINE_PEER_TYPES 7

/**
 * struct engine_counters - totals since engine_new()
 * @arrived: local requests
 * @finished: local requests by outcome
 * @reasons: local requests not answered, by reason
 * @runs: runs on the local upstream
 * @sent: messages to peers by type
 * @declined: RUN messages declined here because no slot was free
 * @retried: second and later attempts at local requests
 * @displaced: requests dropped from a full queue in favour of others
 * @dropped: late, repeated or unknown DONE and RUN messages
 */
struct engine_counters {
    uint64_t arrived;
    uint64_t finished[ENGINE_OUTCOMES];
    uint64_t reasons[ENGINE_REASONS];
    uint64_t runs;
    uint64_t sent[ENGINE_PEER_TYPES];
    uint64_t declined;
    uint64_t retried;
    uint64_t displaced;
    uint64_t dropped;
};

struct engine;

/**
 * engine_new() - create the engine of an agent
 * @self: member id of the agent
 * @policy: dispatch policy
 * @seed: seed of the random generator
 */
struct engine *
engine_new(uint64_t self, enum engine_policy policy, uint64_t seed);
void
engine_free(struct engine *engine);

/** engine_set_view() - apply a new membership view */
int
engine_set_view(struct engine *engine, const struct view *view,
                uint64_t now_us, struct engine_actions *out);

/** engine_set_text() - apply a service configuration (copied) */
int
engine_set_text(struct engine *engine, const struct service_config *config,
                uint64_t now_us, struct engine_actions *out);

/** engine_set_upstream() - set the local upstream: its service, its slots
 * (0: none) and whether it accepts new work */
int
engine_set_upstream(struct engine *engine, uint32_t service, unsigned slots,
                    bool accepting, uint64_t now_us,
                    struct engine_actions *out);

/** engine_arrive() - a complete request of a caller was read */
int
engine_arrive(struct engine *engine, const struct engine_request *request,
              uint64_t now_us, struct engine_actions *out);

/**
 * engine_cancel() - the caller of local request @id is gone
 *
 * The request still gets one ENGINE_FINISH. If it has started and has a key,
 * it gets it on completion, at the latest by its deadline, so that a retry
 * finds the outcome. Any other request is stopped now.
 */
int
engine_cancel(struct engine *engine, uint64_t id, uint64_t now_us,
              struct engine_actions *out);

/** engine_upstream_end() - a run started by ENGINE_RUN ended; for
 * ENGINE_UP_ANSWERED, @answer is the HTTP answer as sent to the caller */
int
engine_upstream_end(struct engine *engine, uint64_t origin, uint64_t id,
                    enum engine_upstream how, const uint8_t *answer,
                    size_t answer_len, uint64_t now_us,
                    struct engine_actions *out);

/** engine_peer() - a message of member @from arrived; for DONE with
 * ENGINE_ANSWERED, @answer as in engine_upstream_end() */
int
engine_peer(struct engine *engine, uint64_t from,
            const struct engine_peer_msg *msg, const uint8_t *answer,
            size_t answer_len, uint64_t now_us, struct engine_actions *out);

/** engine_peer_lost() - the connection to @member broke; the outcome of
 * requests sent there is unknown, and only idempotent ones may be retried */
int
engine_peer_lost(struct engine *engine, uint64_t member, uint64_t now_us,
                 struct engine_actions *out);

/** engine_tick() - process deadlines, timeouts and periodic messages; call
 * every 10 ms */
int
engine_tick(struct engine *engine, uint64_t now_us,
            struct engine_actions *out);

/** engine_stop() - planned stop: refuse new requests, complete queued and
 * running ones; engine_open_requests() is 0 once the last deadline has
 * passed */
int
engine_stop(struct engine *engine, uint64_t now_us,
            struct engine_actions *out);

/** engine_send_failed() - the RUN of local request @id was never sent to
 * @member (not queued, or no connection), so it did not run there */
int
engine_send_failed(struct engine *engine, uint64_t member, uint64_t id,
                   uint64_t now_us, struct engine_actions *out);

/** engine_counters() - totals, valid until engine_free() */
const struct engine_counters *
engine_counters(const struct engine *engine);

/** engine_policy_name() - "local", "two-choices", "idle-queue", "probe" or
 * "pull" */
const char *
engine_policy_name(enum engine_policy policy);

/** engine_busy() - requests running on the local upstream */
unsigned
engine_busy(const struct engine *engine);

/** engine_waiting() - requests queued here, both classes */
unsigned
engine_waiting(const struct engine *engine);

/** engine_waiting_of() - requests of @class queued here */
unsigned
engine_waiting_of(const struct engine *engine,
                  enum service_config_class class);

/** engine_unacked_records() - key records here not yet acknowledged by
 * every replica; a planned stop waits, up to a limit, until this is 0 */
size_t
engine_unacked_records(const struct engine *engine);

/** engine_open_requests() - local requests without a final answer */
unsigned
engine_open_requests(const struct engine *engine);

#endif
