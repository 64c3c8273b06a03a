/**
 * DOC: idem - at most once for requests with an idempotency key
 *
 * The three highest-ranked settled agents of a service for a key keep its
 * record (its replicas). Whoever accepts a request reserves the key at all
 * of them before it may run; IDEM_QUORUM grants (or all replicas, when
 * there are fewer) and no refusal let it run. A replica that knows the key
 * answers with the record: the earlier answer, "in progress", or
 * "unknown". Records are pushed on when the ranking changes. Nothing is
 * held by time alone, so a paused holder harms nobody.
 *
 * The replicas are ranked twice: over the members now, and over the members
 * IDEM_ELIGIBLE_AFTER_US ago, those who died since included. Both sets must
 * grant: of the earlier one, all its survivors if fewer than IDEM_QUORUM live,
 * and at least one. So two coordinators whose views differ by less than
 * IDEM_ELIGIBLE_AFTER_US still ask a set that they share, and a death or a
 * join never hides a record before it has been pushed on. A member counts for
 * the set of now only once it is settled: known for IDEM_ELIGIBLE_AFTER_US
 * since its process started, or since it came back from the dead. Where fewer
 * than IDEM_REPLICAS are settled (a service that has just started) the
 * oldest others fill up; a process that is itself younger than
 * IDEM_START_US doesn't know them all yet, and starts nothing. Nobody
 * starts anything while half of a service's agents have just fallen
 * silent: they may be running on the other side of a cut. Nor does a
 * process that was paused for IDEM_STALE_US, for twice IDEM_ELIGIBLE_AFTER_US:
 * the joins that it missed are old to the others and new to it. A process
 * younger than twice IDEM_ELIGIBLE_AFTER_US doesn't know who died just before
 * it started: it needs a grant of all of the earlier set, unless nobody lived
 * then. So does everybody while a replica that is in neither set has ended
 * within IDEM_ELIGIBLE_AFTER_US.
 *
 * What this assumes: views differ by less than IDEM_ELIGIBLE_AFTER_US (by less
 * than IDEM_START_US while a service starts), and fewer than IDEM_QUORUM of a
 * key's replicas lose their memory within the time it takes to notice a
 * death, to settle and to push (15 s after it was noticed). See
 * docs/design-idempotency.md.
 *
 * Pure: one struct idem holds both sides (coordinator of own requests and
 * replica of keys); events in, actions out.
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
#define IDEM_ANSWER_MAX 16384
#define IDEM_TTL_US (24 * 3600 * USEC_PER_SEC)
#define IDEM_ELIGIBLE_AFTER_US (10 * USEC_PER_SEC)
#define IDEM_START_US (3 * USEC_PER_SEC)
#define IDEM_PAUSE_US (2 * USEC_PER_SEC)
/* After a pause of this long its members are out of date. */
#define IDEM_STALE_US (5 * USEC_PER_SEC)
#define IDEM_RESERVE_TIMEOUT_US (300 * USEC_PER_MSEC)
#define IDEM_ANSWERS_BYTES_MAX (16u << 20)

/**
 * struct idem_key - key of one request
 * @service: service id
 * @hash: 128-bit hash of the Idempotency-Key value
 * @fingerprint: hash of method, target and body: the same key with
 *               another request is an error of the caller
 */
struct idem_key {
    uint32_t service;
    uint64_t hash[2];
    uint64_t fingerprint;
};

/** enum idem_state - what a record says */
enum idem_state {
    IDEM_STARTED, /* reserved; may be running */
    IDEM_DONE,    /* ran; the answer is kept if it fits IDEM_ANSWER_MAX */
    IDEM_UNKNOWN  /* its owner says: handed over, how it ended is not known */
};

/** enum idem_msg_type - between agents */
enum idem_msg_type {
    IDEM_MSG_RESERVE, /* coordinator to replica */
    IDEM_MSG_GRANT,   /* replica to coordinator: recorded as started */
    IDEM_MSG_EXISTS,  /* replica to coordinator: here is the record */
    IDEM_MSG_RELEASE, /* coordinator to replica: not run, forget it */
    IDEM_MSG_RECORD,  /* outcome, or a record pushed on; idempotent */
    IDEM_MSG_ACK,     /* the record of RECORD is held here */
    IDEM_MSG_DENY     /* replica to coordinator: no room for a new key */
};

/**
 * struct idem_msg - one message
 * @type: which
 * @key: key it is about
 * @owner: member id of the coordinator of the record
 * @token: coordinator's number for the reservation
 * @state: EXISTS, RECORD, ACK: of the record. GRANT: IDEM_STARTED from a
 *         settled replica, IDEM_UNKNOWN from one that isn't, IDEM_DONE from
 *         one younger than IDEM_START_US (recorded, but never counted)
 * @answer: EXISTS, RECORD: whole HTTP answer as sent, or NULL (not held)
 * @answer_len: its length
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

/** enum idem_action_type - what the program must do */
enum idem_action_type {
    IDEM_SEND,            /* send @msg to @to */
    IDEM_PROCEED,         /* request @token may be run */
    IDEM_REPLAY,          /* answer request @token with msg.answer */
    IDEM_IN_PROGRESS,     /* request @token: the first one still runs */
    IDEM_OUTCOME_UNKNOWN, /* request @token: it ran or not, nobody knows */
    IDEM_MISMATCH,        /* request @token: key reused for something else */
    IDEM_REFUSE /* request @token not run: no quorum or lost a race */
};

/** enum idem_reason - why a request got IDEM_OUTCOME_UNKNOWN or IDEM_REFUSE
 */
enum idem_reason {
    IDEM_REASON_NONE,
    IDEM_REASON_QUORUM,     /* refused: too few replicas answered */
    IDEM_REASON_FULL,       /* refused: no room for a new key */
    IDEM_REASON_LOST,       /* refused: all former replicas died just now */
    IDEM_REASON_OWNER_GONE, /* unknown: the process that ran it is gone */
    IDEM_REASON_NO_ANSWER   /* unknown: it ran, the answer is not held */
};

/** struct idem_action - one action; valid until the next call */
struct idem_action {
    enum idem_action_type type;
    enum idem_reason reason;
    uint64_t token;
    uint64_t to;
    struct idem_msg msg;
};

/** struct idem_actions - list that grows; the caller owns and empties it */
struct idem_actions {
    struct idem_action *items;
    size_t count;
    size_t capacity;
};

/** idem_actions_finish() - free the list */
void
idem_actions_finish(struct idem_actions *out);

struct idem;

/** idem_new() - @max_records bounds memory: at the bound new keys are
 * refused (not run), never old ones forgotten early */
struct idem *
idem_new(uint64_t self, size_t max_records);
void
idem_free(struct idem *idem);

/** idem_set_view() - members changed: move records to their new replicas,
 * settle reservations that wait for the dead */
int
idem_set_view(struct idem *idem, const struct view *view, uint64_t now_us,
              struct idem_actions *out);

/** idem_begin() - a request with a key arrived; @token is its own number */
int
idem_begin(struct idem *idem, uint64_t token, const struct idem_key *key,
           uint64_t now_us, struct idem_actions *out);

/** idem_end() - request @token has ended: DONE with its answer, UNKNOWN,
 * or @not_run (the key is released and may be tried again) */
int
idem_end(struct idem *idem, uint64_t token, bool not_run,
         enum idem_state state, const uint8_t *answer, size_t answer_len,
         uint64_t now_us, struct idem_actions *out);

/** idem_receive() - a message from member @from */
int
idem_receive(struct idem *idem, uint64_t from, const struct idem_msg *msg,
             uint64_t now_us, struct idem_actions *out);

/** idem_tick() - timeouts; call every 50 ms or so. After IDEM_PAUSE_US
 * without any call the process counts as having been paused */
int
idem_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out);

/** idem_unacked_records() - records held here that some replica hasn't
 * acknowledged yet; a process that is being stopped waits (bounded) until it
 * is 0 */
size_t
idem_unacked_records(const struct idem *idem);

/** idem_records() - records held here */
size_t
idem_records(const struct idem *idem);

#endif
