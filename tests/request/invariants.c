#include "invariants.h"

#include <inttypes.h>

#include "request/admit.h"
#include "request/dispatch.h"

#define ANSWER_SLACK_US (25 * USEC_PER_MSEC)
#define TOO_SLOW_LEFT_US (2 * CELL_RUN_MAX_US)
#define UNPLACED_MAX 4 /* as in dispatch.c */

static void
fail(struct cell *cell, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void
fail(struct cell *cell, const char *format, ...)
{
    va_list args;

    if (cell->failure != NULL) {
        return;
    }
    va_start(args, format);
    cell->failure = g_strdup_vprintf(format, args);
    va_end(args);
}

struct invariants_record *
invariants_record(const struct cell *cell, uint64_t id)
{
    return g_hash_table_lookup(cell->requests, &id);
}

/* Among the non-idempotent requests with one key, at most one runs. */
static void
check_key(struct cell *cell, const struct invariants_record *record)
{
    if (record->key == 0 || record->idempotent) {
        return;
    }
    if (!g_hash_table_add(cell->keys_run,
                          g_memdup2(&record->key, sizeof(record->key)))) {
        fail(cell, "request %" PRIu64 " runs key %" PRIu64 " again",
             record->id, record->key);
    }
}

void
invariants_run(struct cell *cell, uint64_t id)
{
    struct invariants_record *record = invariants_record(cell, id);

    record->runs++;
    if (record->finishes > 0 && record->outcome == ENGINE_NOT_RUN) {
        fail(cell, "request %" PRIu64 " runs after 'not run'", record->id);
    }
    if (record->runs > 1 && !record->idempotent) {
        fail(cell, "request %" PRIu64 " runs twice", record->id);
    }
    check_key(cell, record);
}

void
invariants_arrive(struct cell *cell, unsigned node,
                  const struct engine_request *request)
{
    struct invariants_record *record = g_new0(struct invariants_record, 1);

    record->id = request->id;
    record->key = request->keyed ? request->key.hash[0] : 0;
    record->node = node;
    record->generation = cell->nodes[node].generation;
    record->deadline_us = request->deadline_us;
    record->idempotent = request->idempotent;
    g_hash_table_insert(cell->requests, &record->id, record);
}

/* Runs in the cell are short, so a request is too slow for the local
 * upstream only shortly before its deadline, or after a freeze. */
static bool
is_too_slow(const struct cell *cell, const struct cell_node *at,
            const struct entry *entry)
{
    return admit_local_too_slow(at->engine, entry) &&
           (at->was_frozen ||
            cell->now_us + TOO_SLOW_LEFT_US > entry->request.deadline_us);
}

/* Whether the request failed locally and prefers peers for now. */
static bool
is_avoiding(const struct cell *cell, const struct cell_node *at,
            const struct entry *entry)
{
    return cell->now_us < entry->avoid_local_until_us &&
           peers_working(&at->engine->peers, entry->request.service);
}

/* Whether a queued urgent request could run at @node. */
static bool
urgent_could_run(const struct cell *cell, unsigned node)
{
    const struct cell_node *at = &cell->nodes[node];
    const struct entry *urgent = at->engine->queue.head[SERVICE_CONFIG_URGENT];

    for (; urgent != NULL; urgent = urgent->next) {
        if (urgent->runnable && !is_avoiding(cell, at, urgent) &&
            !is_too_slow(cell, at, urgent)) {
            return true;
        }
    }
    return false;
}

/* Whether a queued urgent request could be sent to @peer; as the engine
 * does, checks only the first few. */
static bool
urgent_could_be_sent(const struct cell *cell, unsigned node, uint64_t peer)
{
    const struct engine *engine = cell->nodes[node].engine;
    const struct entry *urgent = engine->queue.head[SERVICE_CONFIG_URGENT];
    const struct peer *to = peers_find(&engine->peers, peer);

    for (int i = 0; urgent != NULL && i < UNPLACED_MAX; i++) {
        if (urgent->runnable && dispatch_may_send(engine, urgent, to)) {
            return true;
        }
        urgent = urgent->next;
    }
    return false;
}

/* Counts urgent starts for the minimum share; invariants_node() resets it. */
static void
count_start(struct cell_node *at, enum service_config_class class)
{
    at->urgent_starts =
        class == SERVICE_CONFIG_URGENT ? at->urgent_starts + 1 : 0;
    at->started = true;
}

static bool
is_min_share_due(const struct cell_node *at)
{
    return at->urgent_starts + 1 >= QUEUE_ORDINARY_EVERY;
}

/* An ordinary request starts before a queued urgent one only by the
 * minimum share, or if the urgent one avoids the local upstream. */
void
invariants_start(struct cell *cell, unsigned node,
                 const struct engine_action *action)
{
    struct cell_node *at = &cell->nodes[node];
    const struct entry *entry =
        entry_find(at->engine->entries, action->origin, action->id);

    if (entry == NULL || action->origin != at->id) {
        return;
    }
    if (entry->request.class == SERVICE_CONFIG_ORDINARY &&
        !is_min_share_due(at) && urgent_could_run(cell, node)) {
        fail(cell, "ordinary before waiting urgent at node %u", node);
    }
    count_start(at, entry->request.class);
}

/* Only the pull policy sends requests that could run locally, urgent
 * first. A request that avoids the local upstream is exempt. */
void
invariants_send_run(struct cell *cell, unsigned node,
                    const struct engine_action *action)
{
    struct cell_node *at = &cell->nodes[node];
    const struct entry *entry =
        entry_find(at->engine->entries, action->origin, action->id);
    enum service_config_class class = action->msg.request.class;
    bool avoids_local = entry != NULL && (is_avoiding(cell, at, entry) ||
                                          is_too_slow(cell, at, entry));

    if (cell->policy == ENGINE_PULL && class == SERVICE_CONFIG_ORDINARY &&
        !avoids_local && !is_min_share_due(at) &&
        urgent_could_be_sent(cell, node, action->to)) {
        fail(cell, "node %u sends ordinary before waiting urgent", node);
    }
    count_start(at, class);
}

void
invariants_finish(struct cell *cell, const struct engine_action *action)
{
    struct invariants_record *record = invariants_record(cell, action->id);

    record->finishes++;
    if (record->finishes > 1) {
        fail(cell, "request %" PRIu64 " finished twice", record->id);
    }
    record->outcome = action->outcome;
    cell->finished[action->outcome]++;
    if (action->outcome == ENGINE_NOT_RUN && record->runs > 0) {
        fail(cell, "request %" PRIu64 " 'not run' but it ran (reason %d)",
             record->id, action->reason);
    }
    if (action->outcome == ENGINE_ANSWERED && !action->replayed &&
        record->runs == 0) {
        fail(cell, "request %" PRIu64 " answered but never run", record->id);
    }
    if (action->outcome == ENGINE_NOT_RUN && action->retry_after_ms == 0) {
        fail(cell, "request %" PRIu64 " without Retry-After", record->id);
    }
}

void
invariants_node(struct cell *cell, unsigned node)
{
    struct cell_node *at = &cell->nodes[node];

    if (at->started &&
        engine_waiting_of(at->engine, SERVICE_CONFIG_ORDINARY) == 0) {
        at->urgent_starts = 0;
    }
    at->started = false;
    if (engine_busy(at->engine) > CELL_SLOTS) {
        fail(cell, "%u busy at node %u", engine_busy(at->engine), node);
    }
    if (engine_waiting(at->engine) > CELL_QUEUE) {
        fail(cell, "%u waiting at node %u", engine_waiting(at->engine), node);
    }
}

void
invariants_answers(struct cell *cell)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, cell->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct invariants_record *record = value;
        const struct cell_node *at = &cell->nodes[record->node];
        uint64_t due = MAX(record->deadline_us, at->frozen_until_us);

        if (record->finishes == 0 && at->generation == record->generation &&
            cell->now_us > due + ANSWER_SLACK_US) {
            fail(cell, "request %" PRIu64 " has no answer", record->id);
        }
    }
}

void
invariants_empty(struct cell *cell, unsigned node)
{
    const struct engine *engine = cell->nodes[node].engine;

    if (engine_busy(engine) > 0 || engine_waiting(engine) > 0 ||
        engine_open_requests(engine) > 0 ||
        g_hash_table_size(engine->entries) > 0) {
        fail(cell,
             "node %u still has %u busy, %u waiting, %u open, %u entries",
             node, engine_busy(engine), engine_waiting(engine),
             engine_open_requests(engine), g_hash_table_size(engine->entries));
    }
}
