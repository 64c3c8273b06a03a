#include "idem/replica_store.h"

#include "idem/push.h"

static bool
same_request(const struct record *record, const struct idem_msg *msg)
{
    return record->owner == msg->owner && record->token == msg->token;
}

static bool
owner_gone(const struct idem *idem, const struct record *record,
           uint64_t now_us)
{
    return record->state == IDEM_STARTED &&
           state_owner_gone(idem, record->key.service, record->owner,
                            record->token, now_us);
}

static void
send_grant(const struct idem *idem, uint64_t to, const struct record *record,
           uint64_t now_us, struct idem_actions *out)
{
    struct idem_msg *reply = state_add_message(
        out, to, IDEM_MSG_GRANT, &record->key, record->owner, record->token);

    reply->state = IDEM_STARTED;
    if (replicas_starting(&idem->replicas, now_us)) {
        reply->state = IDEM_DONE;
    }
    else if (replicas_incomplete(&idem->replicas, now_us)) {
        reply->state = IDEM_UNKNOWN;
    }
}

static void
reserve_new_key(struct idem *idem, uint64_t from, const struct idem_msg *msg,
                uint64_t now_us, struct idem_actions *out)
{
    struct record *record = NULL;

    if (idem->records.count < idem->max_records) {
        record = record_add(&idem->records, &msg->key, msg->owner, msg->token,
                            now_us);
    }
    if (record == NULL) {
        state_add_message(out, from, IDEM_MSG_DENY, &msg->key, msg->owner,
                          msg->token);
        return;
    }
    push_from_owner(idem, record, now_us);
    send_grant(idem, from, record, now_us, out);
}

void
replica_store_reserve(struct idem *idem, uint64_t from,
                      const struct idem_msg *msg, uint64_t now_us,
                      struct idem_actions *out)
{
    struct record *record = record_find(&idem->records, &msg->key);

    if (msg->owner != from ||
        released_has(&idem->released, msg->owner, msg->token)) {
        return;
    }
    if (record == NULL) {
        reserve_new_key(idem, from, msg, now_us, out);
        return;
    }
    if (same_request(record, msg) && record->state != IDEM_DONE) {
        send_grant(idem, from, record, now_us, out);
        return;
    }
    state_add_record_message(out, from, IDEM_MSG_EXISTS, record, true);
    if (owner_gone(idem, record, now_us)) {
        out->items[out->count - 1].msg.state = IDEM_UNKNOWN;
    }
}

void
replica_store_release(struct idem *idem, const struct idem_msg *msg)
{
    struct record *record = record_find(&idem->records, &msg->key);

    /* The outcome of an open request comes from this process only. */
    if (msg->owner == idem->self &&
        g_hash_table_contains(idem->by_wire_token, &msg->token)) {
        return;
    }
    released_add(&idem->released, msg->owner, msg->token);
    if (record != NULL && same_request(record, msg) &&
        record->state != IDEM_DONE) {
        record_remove(&idem->records, record);
    }
}

static void
acknowledge(uint64_t to, const struct idem_msg *msg, enum idem_state state,
            struct idem_actions *out)
{
    struct idem_msg *reply = state_add_message(
        out, to, IDEM_MSG_ACK, &msg->key, msg->owner, msg->token);

    reply->state = state;
}

static void
replace_record(struct idem *idem, struct record *record, uint64_t from,
               const struct idem_msg *msg, uint64_t now_us)
{
    record->owner = msg->owner;
    record->token = msg->token;
    record->key.fingerprint = msg->key.fingerprint;
    record_set_state(&idem->records, record, msg->state, now_us);
    record_set_answer(&idem->records, record, msg->answer, msg->answer_len);
    if (from == msg->owner) {
        push_from_owner(idem, record, now_us);
    }
    else {
        push_later(idem, record, now_us);
    }
}

static void
store_new(struct idem *idem, uint64_t from, const struct idem_msg *msg,
          uint64_t now_us, struct idem_actions *out)
{
    struct record *record;

    if (state_token_age_us(idem, msg->token, now_us) >=
        IDEM_TTL_US + PUSH_RETAIN_US) {
        acknowledge(from, msg, msg->state, out);
        return;
    }
    /* Copied records may exceed the bound by a quarter: otherwise a full
     * agent would reject records that leaving members hand over. */
    if (idem->records.count >= idem->max_records + idem->max_records / 4) {
        return;
    }
    record =
        record_add(&idem->records, &msg->key, msg->owner, msg->token, now_us);
    if (record != NULL) {
        replace_record(idem, record, from, msg, now_us);
        acknowledge(from, msg, msg->state, out);
    }
}

/* Merges a record of the same request: only a more certain state replaces the
 * stored one. */
static void
merge_same(struct idem *idem, struct record *record, uint64_t from,
           const struct idem_msg *msg, uint64_t now_us,
           struct idem_actions *out)
{
    if (state_certainty(msg->state) > state_certainty(record->state)) {
        replace_record(idem, record, from, msg, now_us);
    }
    else if (msg->state == record->state && record->answer == NULL &&
             msg->answer_len > 0) {
        record_set_answer(&idem->records, record, msg->answer,
                          msg->answer_len);
    }
    acknowledge(from, msg, record->state, out);
}

/* Resolves two requests of one key: the more certain state wins, then the
 * lower token. Two reservations stay unresolved until one of them ends or is
 * released; once both owners are gone they are equivalent. */
static void
merge_conflicting(struct idem *idem, struct record *record, uint64_t from,
                  const struct idem_msg *msg, uint64_t now_us,
                  struct idem_actions *out)
{
    int theirs = state_certainty(msg->state);
    int ours = state_certainty(record->state);

    if (theirs > ours ||
        (theirs == ours && ours > 0 && msg->token < record->token)) {
        replace_record(idem, record, from, msg, now_us);
        acknowledge(from, msg, msg->state, out);
        return;
    }
    if (ours > 0) {
        state_add_record_message(out, from, IDEM_MSG_RECORD, record, true);
    }
    else if (owner_gone(idem, record, now_us) &&
             state_owner_gone(idem, msg->key.service, msg->owner, msg->token,
                              now_us)) {
        acknowledge(from, msg, msg->state, out);
    }
}

void
replica_store_record(struct idem *idem, uint64_t from,
                     const struct idem_msg *msg, uint64_t now_us,
                     struct idem_actions *out)
{
    struct record *record = record_find(&idem->records, &msg->key);

    /* Reply to a record of a released reservation with its release. */
    if (msg->state != IDEM_DONE &&
        released_has(&idem->released, msg->owner, msg->token)) {
        state_add_message(out, from, IDEM_MSG_RELEASE, &msg->key, msg->owner,
                          msg->token);
        return;
    }
    /* The outcome of an open request comes from this process only. */
    if (msg->owner == idem->self &&
        g_hash_table_contains(idem->by_wire_token, &msg->token)) {
        acknowledge(from, msg, msg->state, out);
        return;
    }
    if (record == NULL) {
        store_new(idem, from, msg, now_us, out);
    }
    else if (same_request(record, msg)) {
        merge_same(idem, record, from, msg, now_us, out);
    }
    else {
        merge_conflicting(idem, record, from, msg, now_us, out);
    }
}

void
replica_store_ack(struct idem *idem, uint64_t from, const struct idem_msg *msg)
{
    struct record *record = record_find(&idem->records, &msg->key);
    const struct replica_session *session =
        replicas_find(&idem->replicas, from, msg->key.service);

    if (record != NULL && session != NULL && same_request(record, msg) &&
        state_certainty(msg->state) >= state_certainty(record->state)) {
        record_mark_acked(record, session->number);
    }
}
