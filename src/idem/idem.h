/**
 * DOC: idem - at-most-once execution of requests with an idempotency key
 *
 * The record of a key is replicated on the IDEM_REPLICAS highest-ranked
 * eligible agents of its service. The agent that accepts a request (its
 * coordinator) reserves the key at all replicas before the request may run.
 * It needs IDEM_QUORUM grants (all replicas, when there are fewer) and no
 * conflicting record. A replica that already has a record replies with it:
 * the earlier answer, in progress, or unknown. Records are copied to the new
 * replicas when the ranking changes. No reservation ends by time alone, so a
 * paused coordinator is harmless.
 *
 * Two sets of replicas must grant: the current one, and the one of
 * IDEM_ELIGIBLE_AFTER_US ago, which includes members that died since. In the
 * earlier set at least one member must survive, and all survivors must grant
 * when fewer than IDEM_QUORUM are left. Coordinators whose views differ by
 * less than IDEM_ELIGIBLE_AFTER_US therefore share a set, and a death or a
 * join never hides a record before it has been copied.
 *
 * A member is eligible for the current set IDEM_ELIGIBLE_AFTER_US after its
 * process started, or reappeared after it was declared dead. While fewer than
 * IDEM_REPLICAS are eligible (a service that is starting), the oldest other
 * members fill the set.
 *
 * A coordinator starts no request
 * - while it is younger than IDEM_START_US and a replica isn't eligible: it
 *   may not have heard of all members yet;
 * - while half of the service's agents have just fallen silent: they may
 *   run on the other side of a network partition;
 * - for 2 * IDEM_ELIGIBLE_AFTER_US after a pause of IDEM_STALE_US: members
 *   that joined during the pause are eligible for others before they are
 *   eligible here.
 *
 * All survivors of the earlier set must grant while the coordinator is
 * younger than 2 * IDEM_ELIGIBLE_AFTER_US, because it may have missed a
 * death before its start (unless no member lived then), and while a replica
 * that is in neither set has ended within IDEM_ELIGIBLE_AFTER_US.
 *
 * Assumptions: views differ by less than IDEM_ELIGIBLE_AFTER_US (by less
 * than IDEM_START_US while a service starts), and fewer than IDEM_QUORUM of
 * a key's replicas lose their memory within the time it takes to detect a
 * death, become eligible and copy records (15 s after detection). See
 * docs/design-idempotency.md.
 *
 * The module does no I/O: one struct idem holds both roles (coordinator of
 * its own requests, replica for others); events go in, actions come out.
 */
#ifndef SWIFTARCH_IDEM_IDEM_H
#define SWIFTARCH_IDEM_IDEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/view.h"

#define IDEM_REPLICAS 3
#define IDEM_QUORUM 2
/* Bytes of the longest answer that is stored. */
#define IDEM_ANSWER_MAX 16384
#define IDEM_TTL_US (24 * 3600 * USEC_PER_SEC)
#define IDEM_ELIGIBLE_AFTER_US (10 * USEC_PER_SEC)
#define IDEM_START_US (3 * USEC_PER_SEC)
/* A gap of this length between calls counts as a pause of the process. */
#define IDEM_PAUSE_US (2 * USEC_PER_SEC)
/* The member list is out of date after a pause of this length. */
#define IDEM_STALE_US (5 * USEC_PER_SEC)
#define IDEM_RESERVE_TIMEOUT_US (300 * USEC_PER_MSEC)
/* Bytes of all answers that an agent stores. */
#define IDEM_ANSWERS_BYTES_MAX (16u << 20)

/**
 * struct idem_key - idempotency key of a request
 * @service: service id
 * @hash: 128-bit hash of the Idempotency-Key value
 * @fingerprint: hash of method, target and body, to detect a key that is
 *               reused for a different request
 */
struct idem_key {
    uint32_t service;
    uint64_t hash[2];
    uint64_t fingerprint;
};

/** enum idem_state - state of a key's first request */
enum idem_state {
    IDEM_STARTED, /* reserved; may be running */
    IDEM_DONE,    /* ran; the answer is stored up to IDEM_ANSWER_MAX bytes */
    IDEM_UNKNOWN  /* sent to an upstream; its result is unknown */
};

/** enum idem_msg_type - type of a message between agents */
enum idem_msg_type {
    IDEM_MSG_RESERVE, /* coordinator to replica */
    IDEM_MSG_GRANT,   /* replica to coordinator: stored; repeated as a query */
    IDEM_MSG_EXISTS,  /* replica to coordinator: record of another request */
    IDEM_MSG_RELEASE, /* coordinator to replica: not run, remove it */
    IDEM_MSG_RECORD,  /* an outcome or a copy of a record; idempotent */
    IDEM_MSG_ACK,     /* the sender holds the record of a RECORD */
    IDEM_MSG_DENY     /* replica to coordinator: no room for a new key */
};

/**
 * struct idem_msg - a message between agents
 * @type: message type
 * @key: key of the record
 * @owner: member id of the coordinator of the record
 * @token: the coordinator's number of the reservation
 * @state: EXISTS, RECORD, ACK: state of the record. GRANT: IDEM_STARTED from
 *         an eligible replica, IDEM_UNKNOWN from an ineligible one, IDEM_DONE
 *         from one younger than IDEM_START_US (recorded, but not counted)
 * @answer: EXISTS, RECORD: complete HTTP response as sent, or NULL when it
 *          isn't stored
 * @answer_len: bytes of @answer
 */
struct idem_msg {
    enum idem_msg_type type;
    struct idem_key key;
    uint64_t owner;
    uint64_t token;
    enum idem_state state;
    const uint8_t *answer;
    size_t answer_len;
};

/** enum idem_action_type - what the caller of the module must do */
enum idem_action_type {
    IDEM_SEND,            /* send @msg to @to */
    IDEM_PROCEED,         /* request @token may be run */
    IDEM_REPLAY,          /* answer request @token with msg.answer */
    IDEM_IN_PROGRESS,     /* request @token: the key's first request runs */
    IDEM_OUTCOME_UNKNOWN, /* request @token: the first one may have run */
    IDEM_MISMATCH,        /* request @token: key of a different request */
    IDEM_REFUSE           /* request @token must not run; see the reason */
};

/** enum idem_reason - why a request got IDEM_OUTCOME_UNKNOWN or IDEM_REFUSE
 */
enum idem_reason {
    IDEM_REASON_NONE,
    IDEM_REASON_QUORUM,     /* refused: too few replicas granted */
    IDEM_REASON_FULL,       /* refused: no room for a new key */
    IDEM_REASON_LOST,       /* refused: all earlier replicas have died */
    IDEM_REASON_OWNER_GONE, /* unknown: the owner's process has ended */
    IDEM_REASON_NO_ANSWER   /* unknown: it ran, its answer isn't stored */
};

/**
 * struct idem_action - an action
 * @type: what to do
 * @reason: reason for IDEM_OUTCOME_UNKNOWN or IDEM_REFUSE
 * @token: the caller's number of the request; 0 for IDEM_SEND
 * @to: IDEM_SEND: member id of the receiver
 * @msg: IDEM_SEND: the message; IDEM_REPLAY: its answer. The answer's memory
 *       is valid until the next call
 */
struct idem_action {
    enum idem_action_type type;
    enum idem_reason reason;
    uint64_t token;
    uint64_t to;
    struct idem_msg msg;
};

/** struct idem_actions - growing list of actions, owned by the caller */
struct idem_actions {
    struct idem_action *items;
    size_t count;
    size_t capacity;
};

/** idem_actions_finish() - free the list */
void
idem_actions_finish(struct idem_actions *out);

struct idem;

/**
 * idem_new() - create the state of member @self
 * @max_records: records stored at most; at this bound new keys are refused,
 *               old records are never evicted
 *
 * Return: NULL without memory.
 */
struct idem *
idem_new(uint64_t self, size_t max_records);
void
idem_free(struct idem *idem);

/** idem_set_view() - take a new member list: copy records to new replicas and
 * stop waiting for dead ones; 0 or a negative errno value */
int
idem_set_view(struct idem *idem, const struct view *view, uint64_t now_us,
              struct idem_actions *out);

/** idem_begin() - reserve the key of a new request; @token is the caller's
 * number of the request. 0, or -EEXIST when @token is in use */
int
idem_begin(struct idem *idem, uint64_t token, const struct idem_key *key,
           uint64_t now_us, struct idem_actions *out);

/** idem_end() - end request @token: IDEM_DONE with its answer, IDEM_UNKNOWN,
 * or @not_run, which releases the key for another try. 0, -ENOENT for an
 * unknown @token, -EINVAL for IDEM_STARTED, -EEXIST when the outcome can't be
 * stored */
int
idem_end(struct idem *idem, uint64_t token, bool not_run,
         enum idem_state state, const uint8_t *answer, size_t answer_len,
         uint64_t now_us, struct idem_actions *out);

/** idem_receive() - handle a message from member @from; 0, or -EINVAL for an
 * invalid message */
int
idem_receive(struct idem *idem, uint64_t from, const struct idem_msg *msg,
             uint64_t now_us, struct idem_actions *out);

/** idem_tick() - run timeouts; call about every 50 ms. A gap of IDEM_PAUSE_US
 * without any call counts as a pause of the process */
int
idem_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out);

/** idem_unacked_records() - stored records that some replica hasn't
 * acknowledged; a stopping process waits for 0, for a bounded time */
size_t
idem_unacked_records(const struct idem *idem);

/** idem_records() - number of stored records */
size_t
idem_records(const struct idem *idem);

#endif
