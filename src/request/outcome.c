#include "request/outcome.h"

#include "request/admit.h"
#include "request/finish.h"

#define AVOID_LOCAL_US (50 * USEC_PER_MSEC)

/* Prefers peers for the next attempt after a failed local run. */
static void
avoid_local(struct engine *engine, struct entry *entry)
{
    if (entry->ran_locally &&
        peers_working(&engine->peers, entry->request.service)) {
        entry->avoid_local_until_us = engine->now_us + AVOID_LOCAL_US;
    }
}

static void
requeue(struct engine *engine, struct entry *entry)
{
    entry->state = ENTRY_WAITING;
    if (entry->caller_gone) {
        finish_unserved(engine, entry, ENGINE_CANCELLED);
        return;
    }
    admit_requeue(engine, entry);
}

/* Only the accepting agent retries, and only while the caller waits. */
static bool
may_retry_elsewhere(struct engine *engine, const struct entry *entry)
{
    uint64_t run_us = estimate_run_us(&engine->estimate, engine->now_us);

    return engine_is_local(engine, entry) && !entry->caller_gone &&
           entry->attempts < RETRY_ATTEMPTS_MAX &&
           engine->now_us + run_us < entry->request.deadline_us &&
           retry_take(&engine->retry);
}

void
outcome_declined(struct engine *engine, struct entry *entry,
                 enum engine_reason reason)
{
    entry->refused = reason;
    requeue(engine, entry);
}

void
outcome_refused(struct engine *engine, struct entry *entry,
                enum engine_reason reason)
{
    entry->attempts++;
    entry->refused = reason;
    if (!may_retry_elsewhere(engine, entry)) {
        finish_unserved(engine, entry, reason);
        return;
    }
    engine->counters.retried++;
    avoid_local(engine, entry);
    requeue(engine, entry);
}

void
outcome_lost(struct engine *engine, struct entry *entry,
             enum engine_reason reason)
{
    entry->attempts++;
    entry->maybe_started = true;
    entry->refused = reason;
    if (!entry->request.idempotent || !may_retry_elsewhere(engine, entry)) {
        finish_unknown(engine, entry, reason);
        return;
    }
    engine->counters.retried++;
    avoid_local(engine, entry);
    requeue(engine, entry);
}
