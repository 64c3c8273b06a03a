#include "idem/push.h"

static bool
includes_self(const struct idem *idem, const struct replica_set *set)
{
    for (size_t i = 0; i < set->count; i++) {
        if (set->sessions[i]->id == idem->self && !set->sessions[i]->gone) {
            return true;
        }
    }
    return false;
}

/* Whether this agent is the first live replica of the earlier set, which
 * sends the answers. */
static bool
is_answer_source(const struct idem *idem, const struct replica_set *earlier)
{
    for (size_t i = 0; i < earlier->count; i++) {
        const struct replica_session *session = earlier->sessions[i];

        if (!session->gone && !session->suspect) {
            return session->id == idem->self;
        }
    }
    return true;
}

/* Sends the record to the targets that haven't acknowledged it. Returns
 * whether there are any. */
static bool
push_to_targets(struct idem *idem, struct record *record,
                const struct replica_set *targets, bool full, bool send,
                struct idem_actions *out)
{
    bool missing = false;

    for (size_t i = 0; i < targets->count; i++) {
        const struct replica_session *session = targets->sessions[i];
        bool with_answer =
            full && record->answer_len <= idem->answer_bytes_left;

        if (session->id == idem->self ||
            record_is_held_by(record, session->number, full)) {
            continue;
        }
        missing = true;
        if (!send || session->suspect) {
            continue;
        }
        if (full && !with_answer &&
            record_is_held_by(record, session->number, false)) {
            continue;
        }
        state_add_record_message(out, session->id, IDEM_MSG_RECORD, record,
                                 with_answer);
        record_mark_sent(record, session->number, with_answer, targets);
        idem->answer_bytes_left -= with_answer ? record->answer_len : 0;
    }
    return missing;
}

/* Queries the owner of a long reservation at intervals, in case the message
 * that ended it was lost. */
static void
query_owner(const struct record *record, uint64_t now_us,
            struct idem_actions *out)
{
    uint64_t age = (now_us - record->updated_us) / PUSH_RETRY_US;

    if (age >= 2 && (age < 8 || age % 16 == 0)) {
        state_add_message(out, record->owner, IDEM_MSG_GRANT, &record->key,
                          record->owner, record->token);
    }
}

/* Ends a reservation of this member without an open request: it was released,
 * or made by an earlier process. Returns whether to remove the record. */
static bool
expire_own(struct idem *idem, struct record *record, uint64_t now_us)
{
    if (g_hash_table_contains(idem->by_wire_token, &record->token)) {
        return false;
    }
    if (released_has(&idem->released, idem->self, record->token)) {
        return true;
    }
    record_set_state(&idem->records, record, IDEM_UNKNOWN, now_us);
    return false;
}

/* Returns whether the record has expired. A reservation is kept when its owner
 * seems dead: the owner may come back and report the outcome. */
static bool
expire_record(struct idem *idem, struct record *record, bool owner_gone,
              uint64_t now_us, struct idem_actions *out)
{
    if (record->state == IDEM_STARTED && record->owner == idem->self) {
        return expire_own(idem, record, now_us);
    }
    if (record->state == IDEM_STARTED && !owner_gone) {
        query_owner(record, now_us, out);
        return false;
    }
    return record->updated_us + PUSH_RETAIN_US <= now_us &&
           state_token_age_us(idem, record->token, now_us) >= IDEM_TTL_US;
}

static void
visit_record(struct idem *idem, struct record *record, uint64_t now_us,
             struct idem_actions *out)
{
    struct replica_set targets;
    struct replica_set earlier;
    bool owner_gone = state_owner_gone(idem, record->key.service,
                                       record->owner, record->token, now_us);
    bool in_transit;
    bool missing;

    if (expire_record(idem, record, owner_gone, now_us, out)) {
        record_remove(&idem->records, record);
        return;
    }
    if (record->holders_assumed && owner_gone) {
        record_reset_holders(record);
    }
    replicas_targets(&idem->replicas, &record->key, now_us, &targets);
    replicas_earlier(&idem->replicas, &record->key, now_us, &earlier);
    in_transit = record->state == IDEM_STARTED &&
                 record->updated_us + PUSH_RETRY_US > now_us;
    missing = push_to_targets(idem, record, &targets,
                              record->answer != NULL &&
                                  is_answer_source(idem, &earlier),
                              !in_transit, out);
    record_set_unacked(&idem->records, record, missing);
    if (missing || (record->state == IDEM_STARTED && !owner_gone)) {
        record_queue(&idem->records, record, now_us + PUSH_RETRY_US);
        return;
    }
    record_unqueue(&idem->records, record);
    if (!includes_self(idem, &targets) && !includes_self(idem, &earlier) &&
        targets.count > 0 &&
        record->updated_us + 2 * IDEM_ELIGIBLE_AFTER_US <= now_us) {
        record_remove(&idem->records, record);
    }
}

void
push_changed(struct idem *idem, struct record *record, uint64_t now_us,
             struct idem_actions *out)
{
    struct replica_set targets;

    replicas_targets(&idem->replicas, &record->key, now_us, &targets);
    idem->answer_bytes_left = SIZE_MAX;
    (void)push_to_targets(idem, record, &targets, record->answer != NULL, true,
                          out);
    record_queue(&idem->records, record, now_us + PUSH_RETRY_US);
}

void
push_from_owner(struct idem *idem, struct record *record, uint64_t now_us)
{
    struct replica_set targets;

    replicas_targets(&idem->replicas, &record->key, now_us, &targets);
    record_assume_held(record, &targets);
    push_later(idem, record, now_us);
}

void
push_later(struct idem *idem, struct record *record, uint64_t now_us)
{
    record_queue(&idem->records, record, now_us + PUSH_RETRY_US);
}

static void
continue_pass(struct idem *idem, size_t visits, uint64_t now_us,
              struct idem_actions *out)
{
    if (idem->cursor == 0 &&
        (idem->pass_due || idem->pass_us + PUSH_PASS_INTERVAL_US <= now_us)) {
        idem->cursor = idem->records.count;
        idem->pass_us = now_us;
        idem->pass_due = false;
    }
    while (visits-- > 0 && idem->cursor > 0) {
        idem->cursor--;
        if (idem->cursor < idem->records.count) {
            visit_record(idem, idem->records.items[idem->cursor], now_us, out);
        }
    }
}

void
push_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out)
{
    size_t visits = idem->records.count / PUSH_PASS_TICKS + PUSH_VISITS_MIN;
    struct record *record;

    idem->answer_bytes_left = PUSH_ANSWER_BYTES;
    continue_pass(idem, visits, now_us, out);
    while (visits-- > 0 &&
           (record = TAILQ_FIRST(&idem->records.queue)) != NULL &&
           record->due_us <= now_us) {
        visit_record(idem, record, now_us, out);
    }
}
