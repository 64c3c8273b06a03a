/**
 * DOC: types - keys, messages and actions of idem
 */
#ifndef SWIFTARCH_IDEM_TYPES_H
#define SWIFTARCH_IDEM_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

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

#endif
