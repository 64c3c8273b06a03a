/**
 * DOC: engine - what becomes of each request at one agent (pure)
 *
 * Events in, actions out. The program holds bodies and sockets, keyed by
 * the request's id; the engine decides admission, order, where a request
 * runs, what is retried, and which final answer it gets:
 * the whole answer, "not run" (provably never begun), or "unknown".
 *
 * A request accepted here is local to this agent (engine_request.origin is
 * self); one passed on by a peer to be run here is remote.
 */
#ifndef SWIFTARCH_REQUEST_ENGINE_H
#define SWIFTARCH_REQUEST_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/view.h"
#include "idem/idem.h"
#include "text/text.h"

/**
 * struct engine_request - what is known of a request when it arrives
 * @id: unique on the agent that accepted it, never reused
 * @service: service id
 * @caller: caller's address, for limits per caller
 * @class: urgent or ordinary, as its caller asks; an ordinary service is
 *         raised only where an urgent one depends on it
 * @idempotent: safe to run twice (GET, HEAD, PUT, DELETE, OPTIONS, TRACE)
 * @keyed: has an Idempotency-Key, in @key
 * @key: the key
 * @deadline_us: answer is useless after this, clock of this agent
 */
struct engine_request {
    uint64_t id;
    uint32_t service;
    uint32_t caller;
    enum text_class class;
    bool idempotent;
    bool keyed;
    struct idem_key key;
    uint64_t deadline_us;
};

/** enum engine_outcome - the three final answers, and two of the key */
enum engine_outcome {
    ENGINE_ANSWERED,    /* the whole answer of the upstream (or its replay) */
    ENGINE_NOT_RUN,     /* 503, Retry-After */
    ENGINE_UNKNOWN,     /* 504: handed to an upstream, no whole answer */
    ENGINE_IN_PROGRESS, /* 409, Retry-After: the key's first request runs */
    ENGINE_KEY_MISMATCH /* 422: the key was used for another request */
};

/** enum engine_reason - why, for Proxy-Status and counters */
enum engine_reason {
    ENGINE_REASON_NONE,
    ENGINE_QUEUE_FULL,
    ENGINE_CALLER_LIMIT,
    ENGINE_TOO_LATE,      /* cannot be served within its deadline */
    ENGINE_DEPENDENCY,    /* a service it depends on has no upstream */
    ENGINE_NO_UPSTREAM,   /* no upstream of the service takes work */
    ENGINE_KEY_QUORUM,    /* the key's replicas could not be reached */
    ENGINE_UPSTREAM_SHED, /* the upstream refused it unrun */
    ENGINE_LOST,          /* upstream or peer went away with it */
    ENGINE_TRUNCATED,     /* the upstream's answer was cut */
    ENGINE_DEADLINE,      /* no answer by the deadline */
    ENGINE_STOPPING,
    ENGINE_CANCELLED /* its caller went away */
};

/** enum engine_upstream - how a run at the local upstream ended */
enum engine_upstream {
    ENGINE_UP_ANSWERED,  /* whole answer came */
    ENGINE_UP_REFUSED,   /* upstream said 503 with Retry-After: not begun */
    ENGINE_UP_UNREACHED, /* could not connect: nothing was sent */
    ENGINE_UP_LOST,      /* sent, then the connection failed */
    ENGINE_UP_TRUNCATED  /* sent, the answer was cut */
};

/** enum engine_peer_type - messages between engines of one service */
enum engine_peer_type {
    ENGINE_PEER_STATUS, /* free slots, waiting requests here */
    ENGINE_PEER_PULL,   /* "I have free slots: give me work" */
    ENGINE_PEER_RUN,    /* run this request (body goes with it) */
    ENGINE_PEER_DONE,   /* it ended: outcome (answer goes with it) */
    ENGINE_PEER_CANCEL, /* stop it if it waits or runs */
    ENGINE_PEER_IDEM,   /* an idem_msg */
    ENGINE_PEER_PROBE   /* "send me a STATUS" (policy probe only) */
};

/**
 * struct engine_peer_msg - one message
 * @type: which
 * @request: RUN: request (its deadline by this agent's clock; it travels as
 *           the time left, see agent/peer_wire.h); DONE, CANCEL: only its id
 * @origin: member that accepted the request
 * @outcome: DONE: how it ended; ANSWERED carries the answer
 * @reason: DONE: why
 * @free_slots: STATUS, PULL; DONE: free slots its sender offers
 * @waiting: STATUS: urgent and ordinary requests waiting
 * @load: all types: share of the sender's slot time that was busy lately,
 *        per mille, plus one; 0 when the sender didn't say
 * @idem: IDEM
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

/** enum engine_action_type - what the program must do */
enum engine_action_type {
    ENGINE_RUN,   /* hand @id of @origin to the local upstream */
    ENGINE_ABORT, /* cancel it there; a late answer is dropped by id; the
                     slot is free again at engine_upstream_end() or after
                     ENGINE_ABORT_GRACE_US, whichever comes first */
    ENGINE_SEND,  /* send @msg to @to (RUN: with the request's bytes;
                     DONE, ANSWERED: with the answer's bytes) */
    ENGINE_FINISH /* final answer of a local request: @outcome, @reason;
                     ANSWERED: the bytes held for @id, or @msg.idem.answer
                     when replayed */
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

/** struct engine_actions - list that grows; the caller owns and empties it */
struct engine_actions {
    struct engine_action *items;
    size_t count;
    size_t capacity;
};

/** engine_actions_finish() - free the list */
void
engine_actions_finish(struct engine_actions *out);

/** enum engine_policy - dispatch among upstreams, chosen by measurement */
enum engine_policy {
    ENGINE_LOCAL,       /* hash only: where the flow is */
    ENGINE_TWO_CHOICES, /* two random peers' reported load */
    ENGINE_IDLE_QUEUE,  /* join-idle-queue */
    ENGINE_PROBE,       /* probe a few, pick by requests in flight */
    ENGINE_PULL         /* idle agents pull waiting requests */
};

/** ENGINE_POLICY_DEFAULT - what agents use */
#define ENGINE_POLICY_DEFAULT ENGINE_PULL

/** ENGINE_ABORT_GRACE_US - an aborted run holds its slot no longer */
#define ENGINE_ABORT_GRACE_US (50 * USEC_PER_MSEC)

#define ENGINE_OUTCOMES 5
#define ENGINE_REASONS 13
#define ENGINE_PEER_TYPES 7

/**
 * struct engine_counters - what happened since the engine began
 * @arrived: local requests
 * @finished: local requests by outcome
 * @reasons: local requests not answered, by reason
 * @runs: runs on the local upstream
 * @sent: messages to peers by type
 * @declined: RUN messages declined here for want of a slot
 * @retried: second and further attempts at local requests
 * @displaced: requests that gave way to more hopeful ones in a full queue
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
 * engine_new() - the engine of one agent
 * @self: own member id
 * @policy: dispatch policy
 * @seed: of its random choices
 */
struct engine *
engine_new(uint64_t self, enum engine_policy policy, uint64_t seed);
void
engine_free(struct engine *engine);

/** engine_set_view() - members changed */
int
engine_set_view(struct engine *engine, const struct view *view,
                uint64_t now_us, struct engine_actions *out);

/** engine_set_text() - another configuration came in force (copied) */
int
engine_set_text(struct engine *engine, const struct text *text,
                uint64_t now_us, struct engine_actions *out);

/** engine_set_upstream() - local upstream: slots (0: none), accepting new
 * work or draining */
int
engine_set_upstream(struct engine *engine, uint32_t service, unsigned slots,
                    bool accepting, uint64_t now_us,
                    struct engine_actions *out);

/** engine_arrive() - a caller's request was read whole */
int
engine_arrive(struct engine *engine, const struct engine_request *request,
              uint64_t now_us, struct engine_actions *out);

/** engine_cancel() - the caller of local request @id is gone; it still gets
 * its one ENGINE_FINISH, which has nobody to go to. What has begun and has a
 * key gets it when it has ended, by its deadline: the caller may come back
 * for the answer. Anything else is stopped now */
int
engine_cancel(struct engine *engine, uint64_t id, uint64_t now_us,
              struct engine_actions *out);

/** engine_upstream_end() - a run handed out by ENGINE_RUN ended; @answer is
 * the HTTP answer as it would be sent, for ENGINE_UP_ANSWERED */
int
engine_upstream_end(struct engine *engine, uint64_t origin, uint64_t id,
                    enum engine_upstream how, const uint8_t *answer,
                    size_t answer_len, uint64_t now_us,
                    struct engine_actions *out);

/** engine_peer() - a message came from member @from; for DONE with
 * ANSWERED, @answer as in engine_upstream_end() */
int
engine_peer(struct engine *engine, uint64_t from,
            const struct engine_peer_msg *msg, const uint8_t *answer,
            size_t answer_len, uint64_t now_us, struct engine_actions *out);

/** engine_peer_lost() - the connection to @member broke: what it ran for us
 * is unknown, what waited there unrun may be sent elsewhere only if
 * idempotent */
int
engine_peer_lost(struct engine *engine, uint64_t member, uint64_t now_us,
                 struct engine_actions *out);

/** engine_tick() - deadlines, timeouts, periodic messages; every 10 ms */
int
engine_tick(struct engine *engine, uint64_t now_us,
            struct engine_actions *out);

/** engine_stop() - a planned stop: refuse what arrives from now on, serve
 * what waits (here or at peers) and finish what runs; engine_open_requests()
 * is 0 at the latest when the last deadline has passed */
int
engine_stop(struct engine *engine, uint64_t now_us,
            struct engine_actions *out);

/** engine_send_failed() - an ENGINE_SEND of RUN for local request @id to
 * @member could not be sent at all (never queued, or no connection came up):
 * it was not run there */
int
engine_send_failed(struct engine *engine, uint64_t member, uint64_t id,
                   uint64_t now_us, struct engine_actions *out);

/** engine_counters() - counters, valid while the engine is */
const struct engine_counters *
engine_counters(const struct engine *engine);

/** engine_policy_name() - "local", "two-choices", "idle-queue", "probe" or
 * "pull" */
const char *
engine_policy_name(enum engine_policy policy);

/** engine_busy() - requests running on the local upstream */
unsigned
engine_busy(const struct engine *engine);

/** engine_waiting() - requests waiting here, of both classes */
unsigned
engine_waiting(const struct engine *engine);

/** engine_waiting_of() - requests of @class waiting here */
unsigned
engine_waiting_of(const struct engine *engine, enum text_class class);

/** engine_unacked_records() - key records here that some replica has not
 * acknowledged yet; a planned stop waits, within a bound, until it is 0 */
size_t
engine_unacked_records(const struct engine *engine);

/** engine_open_requests() - local requests without a final answer yet */
unsigned
engine_open_requests(const struct engine *engine);

#endif
