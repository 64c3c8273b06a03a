#include "request/outcome.h"

#include "request/admit.h"
#include "request/finish.h"

#define AVOID_US (50 * USEC_PER_MSEC)

/* A second attempt goes to another upstream, if one can be had soon. */
static void
avoid_here(struct engine *engine, struct entry *entry)
{
    if (entry->ran_here &&
        peers_working(&engine->peers, entry->request.service)) {
        entry->avoid_until_us = engine->now_us + AVOID_US;
    }
}

static void
wait_again(struct engine *engine, struct entry *entry)
{
    entry->place = ENTRY_WAITING;
    if (entry->orphan) {
        finish_unserved(engine, entry, ENGINE_CANCELLED);
        return;
    }
    admit_again(engine, entry);
}

/* The agent that accepted a request is the only one to try it again, while
 * its caller is there. */
static bool
may_try_again(struct engine *engine, const struct entry *entry)
{
    uint64_t run_us = estimate_run_us(&engine->estimate, engine->now_us);

    return engine_is_local(engine, entry) && !entry->orphan &&
           entry->attempts < RETRY_ATTEMPTS_MAX &&
           engine->now_us + run_us < entry->request.deadline_us &&
           retry_take(&engine->retry);
}

void
outcome_declined(struct engine *engine, struct entry *entry,
                 enum engine_reason reason)
{
    entry->refused = reason;
    wait_again(engine, entry);
}

void
outcome_refused(struct engine *engine, struct entry *entry,
                enum engine_reason reason)
{
    entry->attempts++;
    entry->refused = reason;
    if (!may_try_again(engine, entry)) {
        finish_unserved(engine, entry, reason);
        return;
    }
    engine->counters.retried++;
    avoid_here(engine, entry);
    wait_again(engine, entry);
}

void
outcome_lost(struct engine *engine, struct entry *entry,
             enum engine_reason reason)
{
    entry->attempts++;
    entry->handed = true;
    entry->refused = reason;
    if (!entry->request.idempotent || !may_try_again(engine, entry)) {
        finish_unknown(engine, entry, reason);
        return;
    }
    engine->counters.retried++;
    avoid_here(engine, entry);
    wait_again(engine, entry);
}
