#include "request/finish.h"

#include "request/admit.h"
#include "request/keyed.h"
#include "request/remote.h"

static void
stop_attempt(struct engine *engine, struct entry *entry)
{
    if (entry->queued) {
        queue_remove(&engine->queue, entry);
    }
    if (entry->state == ENTRY_AT_PEER) {
        engine_send(engine, entry->peer, ENGINE_PEER_CANCEL, entry);
        remote_detach(engine, entry);
    }
}

/* An aborted run keeps its slot until the upstream has ended it. */
static void
release(struct engine *engine, struct entry *entry)
{
    struct engine_action *action;

    stop_attempt(engine, entry);
    if (engine_is_local(engine, entry)) {
        engine->open--;
        quota_release(&engine->quota, entry->request.caller);
    }
    if (entry->state != ENTRY_RUNNING) {
        entry_remove(engine->entries, entry);
        return;
    }
    action = engine_emit(engine, ENGINE_ABORT);
    action->id = entry->key.id;
    action->origin = entry->key.origin;
    entry->state = ENTRY_ABORTED;
    entry->started_us = engine->now_us;
}

/* A DONE also advertises the slot that it frees. */
static void
add_slot_advert(struct engine *engine, const struct entry *entry,
                struct engine_action *action)
{
    if (queue_total(&engine->queue) > 0 || engine->stopping) {
        return;
    }
    action->msg.free_slots = (uint16_t)upstream_free_slots(
        &engine->upstream, entry->request.service, engine->now_us);
    engine->dispatch.slots_requested++;
    engine->dispatch.pulled_at_us = engine->now_us;
}

static struct engine_action *
notify_origin(struct engine *engine, const struct entry *entry,
              enum engine_outcome outcome, enum engine_reason reason)
{
    struct engine_action *action;

    action = engine_send(engine, entry->key.origin, ENGINE_PEER_DONE, entry);
    action->msg.outcome = outcome;
    action->msg.reason = reason;
    add_slot_advert(engine, entry, action);
    return action;
}

static struct engine_action *
notify_caller(struct engine *engine, uint64_t id, enum engine_outcome outcome,
              enum engine_reason reason)
{
    struct engine_action *action;
    uint32_t retry_after_ms = 0;

    if (outcome == ENGINE_NOT_RUN || outcome == ENGINE_IN_PROGRESS) {
        retry_after_ms = admit_retry_after_ms(engine, reason);
    }
    engine->counters.finished[outcome]++;
    engine->counters.reasons[reason]++;
    action = engine_emit(engine, ENGINE_FINISH);
    action->id = id;
    action->origin = engine->self;
    action->retry_after_ms = retry_after_ms;
    return action;
}

static struct engine_action *
notify(struct engine *engine, const struct entry *entry,
       enum engine_outcome outcome, enum engine_reason reason)
{
    struct engine_action *action;

    if (engine_is_local(engine, entry)) {
        action = notify_caller(engine, entry->key.id, outcome, reason);
    }
    else {
        action = notify_origin(engine, entry, outcome, reason);
    }
    action->outcome = outcome;
    action->reason = reason;
    return action;
}

static void
finish(struct engine *engine, struct entry *entry, enum engine_outcome outcome,
       enum engine_reason reason, const uint8_t *answer, size_t answer_len)
{
    notify(engine, entry, outcome, reason);
    entry->runnable =
        true; /* the request has ended, even if its key is not reserved */
    if (entry->request.keyed && engine_is_local(engine, entry)) {
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
    finish(engine, entry,
           entry->maybe_started ? ENGINE_UNKNOWN : ENGINE_NOT_RUN, reason,
           NULL, 0);
}

void
finish_unknown(struct engine *engine, struct entry *entry,
               enum engine_reason reason)
{
    finish(engine, entry, ENGINE_UNKNOWN, reason, NULL, 0);
}

void
finish_by_key(struct engine *engine, struct entry *entry,
              enum engine_outcome outcome, enum engine_reason reason)
{
    notify(engine, entry, outcome, reason);
    release(engine, entry);
}

void
finish_replayed(struct engine *engine, struct entry *entry,
                const struct idem_msg *msg)
{
    struct engine_action *action;

    action = notify(engine, entry, ENGINE_ANSWERED, ENGINE_REASON_NONE);
    action->replayed = true;
    action->msg.idem = *msg;
    release(engine, entry);
}

void
finish_without_reply(struct engine *engine, struct entry *entry)
{
    release(engine, entry);
}

void
finish_refused(struct engine *engine, uint64_t id, enum engine_reason reason)
{
    struct engine_action *action;

    action = notify_caller(engine, id, ENGINE_NOT_RUN, reason);
    action->outcome = ENGINE_NOT_RUN;
    action->reason = reason;
}
