#include "idem/reserve.h"

#include <errno.h>

#include "idem/push.h"
#include "idem/quorum.h"
#include "idem/reservation.h"

#define RESERVE_RETRY_US (100 * USEC_PER_MSEC)

static void
send_reserve(const struct idem *idem, const struct reserve *reserve,
             uint64_t to, struct idem_actions *out)
{
    state_add_message(out, to, IDEM_MSG_RESERVE, &reserve->key, idem->self,
                      reserve->wire_token);
}

static void
query_all(const struct idem *idem, struct reserve *reserve, uint64_t now_us,
          struct idem_actions *out)
{
    reserve->sent_us = now_us;
    for (size_t i = 0; i < reserve->queried_count; i++) {
        if (!reserve->queried[i].answered) {
            send_reserve(idem, reserve, reserve->queried[i].id, out);
        }
    }
}

static bool
is_own_record(const struct idem *idem, const struct reserve *reserve,
              const struct record *record)
{
    return record != NULL && record->owner == idem->self &&
           record->token == reserve->wire_token;
}

static void
remove_reserve(struct idem *idem, struct reserve *reserve)
{
    if (!reserve->running) {
        TAILQ_REMOVE(&idem->pending, reserve, pending);
    }
    g_hash_table_remove(idem->by_wire_token, &reserve->wire_token);
    g_hash_table_remove(idem->requests, &reserve->token);
}

/* Withdraws the reservations of a request that was not run and removes it. */
static void
release(struct idem *idem, struct reserve *reserve, struct idem_actions *out)
{
    struct record *record = record_find(&idem->records, &reserve->key);

    released_add(&idem->released, idem->self, reserve->wire_token);
    for (size_t i = 0; i < reserve->queried_count; i++) {
        const struct reserve_replica *queried = &reserve->queried[i];

        if (queried->id != idem->self &&
            (queried->granted || !queried->answered)) {
            state_add_message(out, queried->id, IDEM_MSG_RELEASE,
                              &reserve->key, idem->self, reserve->wire_token);
        }
    }
    if (is_own_record(idem, reserve, record)) {
        record_remove(&idem->records, record);
    }
    remove_reserve(idem, reserve);
}

static void
refuse(struct idem *idem, struct reserve *reserve, enum idem_reason reason,
       struct idem_actions *out)
{
    state_add_action(out, IDEM_REFUSE, reserve->token, reason);
    release(idem, reserve, out);
}

/* Reports the state of another request of the same key. */
static void
report_conflict(struct idem *idem, struct reserve *reserve,
                struct idem_actions *out)
{
    if (reserve->conflict_state == IDEM_DONE) {
        state_add_action(out, IDEM_OUTCOME_UNKNOWN, reserve->token,
                         IDEM_REASON_NO_ANSWER);
    }
    else if (reserve->conflict_state == IDEM_UNKNOWN ||
             reserve->conflict_owner_gone) {
        state_add_action(out, IDEM_OUTCOME_UNKNOWN, reserve->token,
                         IDEM_REASON_OWNER_GONE);
    }
    else {
        state_add_action(out, IDEM_IN_PROGRESS, reserve->token,
                         IDEM_REASON_NONE);
    }
    release(idem, reserve, out);
}

static void
proceed(struct idem *idem, struct reserve *reserve, uint64_t now_us,
        struct idem_actions *out)
{
    struct record *record = record_find(&idem->records, &reserve->key);
    struct replica_set targets;

    g_assert(is_own_record(idem, reserve, record));
    replicas_targets(&idem->replicas, &reserve->key, now_us, &targets);
    for (size_t i = 0; i < reserve->queried_count; i++) {
        const struct reserve_replica *queried = &reserve->queried[i];

        if (queried->granted) {
            record_mark_sent(record, queried->session, false, &targets);
            record_mark_acked(record, queried->session);
        }
    }
    TAILQ_REMOVE(&idem->pending, reserve, pending);
    reserve->running = true;
    push_later(idem, record, now_us);
    state_add_action(out, IDEM_PROCEED, reserve->token, IDEM_REASON_NONE);
}

/* Settles the request once all needed replies are in or it timed out. After
 * twice the timeout its grants are refused: the coordinator was paused and
 * others may have acted on the key since. */
static void
decide(struct idem *idem, struct reserve *reserve, uint64_t now_us,
       struct idem_actions *out)
{
    uint64_t age = now_us - reserve->started_us;
    bool timed_out = age >= IDEM_RESERVE_TIMEOUT_US;
    bool quorum = quorum_reached(idem, reserve, now_us);

    if (!timed_out &&
        quorum_must_wait(idem, reserve, !quorum && !reserve->conflict)) {
        return;
    }
    if (reserve->conflict) {
        report_conflict(idem, reserve, out);
    }
    else if (quorum && age < 2 * IDEM_RESERVE_TIMEOUT_US) {
        proceed(idem, reserve, now_us, out);
    }
    else if (quorum_lost(idem, reserve)) {
        refuse(idem, reserve, IDEM_REASON_LOST, out);
    }
    else {
        refuse(idem, reserve,
               reserve->denied ? IDEM_REASON_FULL : IDEM_REASON_QUORUM, out);
    }
}

/* Handles a record of another request of the key. Returns whether it settles
 * this request. */
static bool
handle_existing(struct idem *idem, struct reserve *reserve,
                const struct idem_msg *msg, uint64_t now_us,
                struct idem_actions *out)
{
    if (msg->key.fingerprint != reserve->key.fingerprint) {
        state_add_action(out, IDEM_MISMATCH, reserve->token, IDEM_REASON_NONE);
        release(idem, reserve, out);
        return true;
    }
    if (msg->state == IDEM_DONE && msg->answer_len > 0) {
        struct idem_action *action = state_add_action(
            out, IDEM_REPLAY, reserve->token, IDEM_REASON_NONE);

        action->msg = *msg;
        release(idem, reserve, out);
        return true;
    }
    if (!reserve->conflict || msg->state == IDEM_DONE ||
        reserve->conflict_state == IDEM_STARTED) {
        reserve->conflict_state = msg->state;
    }
    reserve->conflict = true;
    reserve->conflict_owner_gone |=
        msg->state == IDEM_STARTED &&
        state_owner_gone(idem, msg->key.service, msg->owner, msg->token,
                         now_us);
    return false;
}

static struct reserve *
add_reserve(struct idem *idem, uint64_t token, const struct idem_key *key,
            uint64_t now_us)
{
    struct reserve *reserve = g_new0(struct reserve, 1);

    reserve->token = token;
    reserve->wire_token = state_next_wire_token(idem, now_us);
    reserve->key = *key;
    reserve->started_us = now_us;
    g_hash_table_insert(idem->requests, &reserve->token, reserve);
    g_hash_table_insert(idem->by_wire_token, &reserve->wire_token, reserve);
    TAILQ_INSERT_TAIL(&idem->pending, reserve, pending);
    return reserve;
}

/* Checks the local record of the key, or adds one. Returns whether the request
 * is settled; if not, the replicas must be queried. */
static bool
check_own_record(struct idem *idem, struct reserve *reserve, uint64_t now_us,
                 struct idem_actions *out)
{
    struct record *record = record_find(&idem->records, &reserve->key);
    struct idem_msg msg;

    if (record == NULL) {
        record = record_add(&idem->records, &reserve->key, idem->self,
                            reserve->wire_token, now_us);
        if (record == NULL) {
            refuse(idem, reserve, IDEM_REASON_FULL, out);
        }
        return record == NULL;
    }
    msg = (struct idem_msg){
        .type = IDEM_MSG_EXISTS,
        .key = record->key,
        .owner = record->owner,
        .token = record->token,
        .state = record->state,
        .answer = record->answer,
        .answer_len = record->answer_len,
    };
    if (handle_existing(idem, reserve, &msg, now_us, out)) {
        return true;
    }
    if (record->state == IDEM_STARTED && !reserve->conflict_owner_gone) {
        report_conflict(idem, reserve, out);
        return true;
    }
    return false;
}

int
reserve_begin(struct idem *idem, uint64_t token, const struct idem_key *key,
              uint64_t now_us, struct idem_actions *out)
{
    struct reserve *reserve;
    struct reserve_replica *own;

    if (g_hash_table_contains(idem->requests, &token)) {
        return -EEXIST;
    }
    if (idem->first_wire_token == 0) {
        state_add_action(out, IDEM_REFUSE, token, IDEM_REASON_QUORUM);
        return 0;
    }
    if (idem->records.count >= idem->max_records &&
        record_find(&idem->records, key) == NULL) {
        state_add_action(out, IDEM_REFUSE, token, IDEM_REASON_FULL);
        return 0;
    }
    reserve = add_reserve(idem, token, key, now_us);
    if (check_own_record(idem, reserve, now_us, out)) {
        return 0;
    }
    quorum_select(idem, reserve, now_us);
    own = quorum_find(reserve, idem->self);
    if (own != NULL) {
        own->answered = true;
        own->granted = !reserve->conflict;
        own->incomplete = replicas_incomplete(&idem->replicas, now_us);
        own->starting = replicas_starting(&idem->replicas, now_us);
    }
    query_all(idem, reserve, now_us, out);
    decide(idem, reserve, now_us, out);
    return 0;
}

/* Returns the record of a request that ran, or NULL when a record of another
 * request with a state as certain has replaced it, or without memory. */
static struct record *
ended_record(struct idem *idem, const struct reserve *reserve,
             enum idem_state state, uint64_t now_us)
{
    struct record *record = record_find(&idem->records, &reserve->key);

    if (record == NULL) {
        return record_add(&idem->records, &reserve->key, idem->self,
                          reserve->wire_token, now_us);
    }
    if (is_own_record(idem, reserve, record)) {
        return record;
    }
    if (state_certainty(state) <= state_certainty(record->state)) {
        return NULL;
    }
    record->owner = idem->self;
    record->token = reserve->wire_token;
    record->key.fingerprint = reserve->key.fingerprint;
    return record;
}

int
reserve_end(struct idem *idem, uint64_t token, bool not_run,
            enum idem_state state, const uint8_t *answer, size_t answer_len,
            uint64_t now_us, struct idem_actions *out)
{
    struct reserve *reserve = g_hash_table_lookup(idem->requests, &token);
    struct record *record;

    if (reserve == NULL) {
        return -ENOENT;
    }
    if (not_run || !reserve->running) {
        release(idem, reserve, out);
        return 0;
    }
    if (state == IDEM_STARTED) {
        return -EINVAL;
    }
    record = ended_record(idem, reserve, state, now_us);
    if (record != NULL) {
        record_set_state(&idem->records, record, state, now_us);
        record_set_answer(&idem->records, record,
                          state == IDEM_DONE ? answer : NULL, answer_len);
        push_changed(idem, record, now_us, out);
    }
    remove_reserve(idem, reserve);
    return record != NULL ? 0 : -EEXIST;
}

/* Replies to a GRANT for a reservation without an open request with its
 * outcome. */
static void
answer_grant(struct idem *idem, uint64_t from, const struct idem_msg *msg,
             struct idem_actions *out)
{
    struct record *record = record_find(&idem->records, &msg->key);
    struct idem_msg *reply;

    if (released_has(&idem->released, idem->self, msg->token)) {
        state_add_message(out, from, IDEM_MSG_RELEASE, &msg->key, idem->self,
                          msg->token);
        return;
    }
    if (record != NULL && record->owner == idem->self &&
        record->token == msg->token && record->state != IDEM_STARTED) {
        state_add_record_message(out, from, IDEM_MSG_RECORD, record, true);
        return;
    }
    reply = state_add_message(out, from, IDEM_MSG_RECORD, &msg->key,
                              idem->self, msg->token);
    reply->state = IDEM_UNKNOWN;
}

static void
handle_grant(struct idem *idem, struct reserve *reserve, uint64_t from,
             const struct idem_msg *msg, uint64_t now_us,
             struct idem_actions *out)
{
    struct reserve_replica *queried = quorum_find(reserve, from);

    if (queried == NULL) {
        return;
    }
    if (reserve->running) {
        struct record *record = record_find(&idem->records, &msg->key);

        if (is_own_record(idem, reserve, record)) {
            record_mark_acked(record, queried->session);
        }
        return;
    }
    queried->answered = true;
    queried->granted = true;
    queried->incomplete = msg->state != IDEM_STARTED;
    queried->starting = msg->state == IDEM_DONE;
    decide(idem, reserve, now_us, out);
}

/* The replica still holds an abandoned reservation of this process: release
 * it again and repeat the RESERVE once. */
static void
requery(const struct idem *idem, struct reserve *reserve,
        struct reserve_replica *queried, const struct idem_msg *msg,
        struct idem_actions *out)
{
    if (queried == NULL || queried->requeried) {
        return;
    }
    queried->requeried = true;
    state_add_message(out, queried->id, IDEM_MSG_RELEASE, &msg->key,
                      idem->self, msg->token);
    send_reserve(idem, reserve, queried->id, out);
}

static void
handle_exists(struct idem *idem, struct reserve *reserve, uint64_t from,
              const struct idem_msg *msg, uint64_t now_us,
              struct idem_actions *out)
{
    struct reserve_replica *queried = quorum_find(reserve, from);

    if (msg->owner == idem->self && msg->token == reserve->wire_token) {
        return;
    }
    if (msg->owner == idem->self &&
        released_has(&idem->released, idem->self, msg->token)) {
        requery(idem, reserve, queried, msg, out);
        return;
    }
    if (queried != NULL) {
        queried->answered = true;
        queried->granted = false;
    }
    if (!handle_existing(idem, reserve, msg, now_us, out)) {
        decide(idem, reserve, now_us, out);
    }
}

/* Applies a record to the pending reservations of its key. */
static void
handle_record(struct idem *idem, uint64_t from, const struct idem_msg *msg,
              uint64_t now_us, struct idem_actions *out)
{
    struct reserve *reserve = TAILQ_FIRST(&idem->pending);

    while (reserve != NULL) {
        struct reserve *next = TAILQ_NEXT(reserve, pending);

        if (record_same_key(&reserve->key, &msg->key)) {
            handle_exists(idem, reserve, from, msg, now_us, out);
        }
        reserve = next;
    }
}

static void
handle_deny(struct idem *idem, struct reserve *reserve, uint64_t from,
            uint64_t now_us, struct idem_actions *out)
{
    struct reserve_replica *queried = quorum_find(reserve, from);

    if (queried != NULL && !reserve->running) {
        queried->answered = true;
        reserve->denied = true;
        decide(idem, reserve, now_us, out);
    }
}

void
reserve_receive(struct idem *idem, uint64_t from, const struct idem_msg *msg,
                uint64_t now_us, struct idem_actions *out)
{
    struct reserve *reserve;

    if (msg->type == IDEM_MSG_RECORD || msg->type == IDEM_MSG_EXISTS) {
        handle_record(idem, from, msg, now_us, out);
        return;
    }
    if (msg->owner != idem->self) {
        return;
    }
    reserve = g_hash_table_lookup(idem->by_wire_token, &msg->token);
    if (reserve != NULL && msg->type == IDEM_MSG_GRANT) {
        handle_grant(idem, reserve, from, msg, now_us, out);
    }
    else if (reserve != NULL) {
        handle_deny(idem, reserve, from, now_us, out);
    }
    else if (msg->type == IDEM_MSG_GRANT) {
        answer_grant(idem, from, msg, out);
    }
}

void
reserve_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out)
{
    struct reserve *reserve = TAILQ_FIRST(&idem->pending);

    while (reserve != NULL) {
        struct reserve *next = TAILQ_NEXT(reserve, pending);

        if (reserve->sent_us + RESERVE_RETRY_US <= now_us) {
            query_all(idem, reserve, now_us, out);
        }
        decide(idem, reserve, now_us, out);
        reserve = next;
    }
}
