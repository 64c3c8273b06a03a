#include "request/finish.h"

#include "request/keyed.h"

/* A run that is aborted keeps its slot until the upstream let go of it. */
static void
release(struct engine *engine, struct entry *entry)
{
    if (entry->queued) {
        queue_remove(&engine->queue, entry);
    }
    if (entry->key.origin == engine->self) {
        engine->open--;
    }
    if (entry->place == ENTRY_RUNNING) {
        struct engine_action *action = engine_emit(engine, ENGINE_ABORT);

        action->id = entry->key.id;
        action->origin = entry->key.origin;
        entry->place = ENTRY_ABORTED;
        entry->started_us = engine->now_us;
        return;
    }
    if (entry->place == ENTRY_AT_PEER) {
        engine_send(engine, entry->peer, ENGINE_PEER_CANCEL, entry);
    }
    entry_remove(engine->entries, entry);
}

static struct engine_action *
tell(struct engine *engine, const struct entry *entry,
     enum engine_outcome outcome, enum engine_reason reason)
{
    struct engine_action *action;

    if (entry->key.origin != engine->self) {
        action =
            engine_send(engine, entry->key.origin, ENGINE_PEER_DONE, entry);
        action->msg.outcome = outcome;
        action->msg.reason = reason;
    }
    else {
        action = engine_emit(engine, ENGINE_FINISH);
        action->id = entry->key.id;
        action->origin = entry->key.origin;
    }
    action->outcome = outcome;
    action->reason = reason;
    return action;
}

static void
finish(struct engine *engine, struct entry *entry, enum engine_outcome outcome,
       enum engine_reason reason, const uint8_t *answer, size_t answer_len)
{
    struct engine_action *action = tell(engine, entry, outcome, reason);

    if (outcome == ENGINE_NOT_RUN) {
        action->retry_after_ms = 1000;
    }
    if (entry->request.keyed && entry->key.origin == engine->self) {
        keyed_end(engine, entry, outcome, answer, answer_len);
    }
    release(engine, entry);
}

void
finish_answered(struct engine *engine, struct entry *entry,
                const uint8_t *answer, size_t answer_len)
{
    finish(engine, entry, ENGINE_ANSWERED, ENGINE_REASON_NONE, answer,
           answer_len);
}

void
finish_unserved(struct engine *engine, struct entry *entry,
                enum engine_reason reason)
{
    finish(engine, entry, entry->handed ? ENGINE_UNKNOWN : ENGINE_NOT_RUN,
           reason, NULL, 0);
}

void
finish_unknown(struct engine *engine, struct entry *entry,
               enum engine_reason reason)
{
    finish(engine, entry, ENGINE_UNKNOWN, reason, NULL, 0);
}

void
finish_settled(struct engine *engine, struct entry *entry,
               enum engine_outcome outcome, enum engine_reason reason)
{
    struct engine_action *action = tell(engine, entry, outcome, reason);

    if (outcome == ENGINE_NOT_RUN || outcome == ENGINE_IN_PROGRESS) {
        action->retry_after_ms = 1000;
    }
    release(engine, entry);
}

void
finish_replayed(struct engine *engine, struct entry *entry,
                const struct idem_msg *msg)
{
    struct engine_action *action;

    action = tell(engine, entry, ENGINE_ANSWERED, ENGINE_REASON_NONE);
    action->replayed = true;
    action->msg.idem = *msg;
    release(engine, entry);
}

void
finish_refused(struct engine *engine, uint64_t id, enum engine_reason reason,
               uint32_t retry_after_ms)
{
    struct engine_action *action = engine_emit(engine, ENGINE_FINISH);

    action->id = id;
    action->origin = engine->self;
    action->outcome = ENGINE_NOT_RUN;
    action->reason = reason;
    action->retry_after_ms = retry_after_ms;
}

void
finish_slot_free(struct engine *engine, struct entry *entry)
{
    g_assert(engine->busy > 0);
    g_assert(entry->place == ENTRY_RUNNING || entry->place == ENTRY_ABORTED);
    engine->busy--;
    entry->place = ENTRY_WAITING;
}
