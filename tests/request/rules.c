#include "rules.h"

#include <inttypes.h>

#include "request/admit.h"

#define LATE_US (25 * USEC_PER_MSEC)

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

struct rules_record *
rules_record(const struct cell *cell, uint64_t id)
{
    return g_hash_table_lookup(cell->requests, &id);
}

/* Of all requests with one key, one that isn't idempotent runs once. */
static void
check_key(struct cell *cell, const struct rules_record *record)
{
    if (record->key == 0 || record->idempotent) {
        return;
    }
    if (!g_hash_table_add(cell->keys_run,
                          g_memdup2(&record->key, sizeof(record->key)))) {
        fail(cell, "%" PRIu64 " runs key %" PRIu64 " again", record->id,
             record->key);
    }
}

void
rules_run(struct cell *cell, uint64_t id)
{
    struct rules_record *record = rules_record(cell, id);

    record->runs++;
    if (record->finishes > 0 && record->outcome == ENGINE_NOT_RUN) {
        fail(cell, "%" PRIu64 " runs after 'not run'", record->id);
    }
    if (record->runs > 1 && !record->idempotent) {
        fail(cell, "%" PRIu64 " runs twice", record->id);
    }
    check_key(cell, record);
}

void
rules_arrive(struct cell *cell, unsigned node,
             const struct engine_request *request)
{
    struct rules_record *record = g_new0(struct rules_record, 1);

    record->id = request->id;
    record->key = request->keyed ? request->key.hash[0] : 0;
    record->node = node;
    record->life = cell->nodes[node].life;
    record->deadline_us = request->deadline_us;
    record->idempotent = request->idempotent;
    g_hash_table_insert(cell->requests, &record->id, record);
}

/* Ordinary work goes before waiting urgent work only by its floor, or if
 * the urgent one would miss its deadline on this much slower upstream, or
 * has just failed here and may still be tried elsewhere. */
void
rules_start(struct cell *cell, unsigned node,
            const struct engine_action *action)
{
    struct cell_node *at = &cell->nodes[node];
    const struct entry *entry =
        entry_find(at->engine->entries, action->origin, action->id);
    const struct entry *urgent = at->engine->queue.head[TEXT_URGENT];

    if (entry == NULL || action->origin != at->id) {
        return;
    }
    if (entry->request.class == TEXT_URGENT) {
        at->urgent_starts++;
        return;
    }
    while (urgent != NULL &&
           (!urgent->cleared || cell->now_us < urgent->avoid_until_us ||
            admit_too_slow_here(at->engine, urgent))) {
        urgent = urgent->next;
    }
    if (urgent != NULL && at->urgent_starts + 1 < QUEUE_ORDINARY_EVERY) {
        fail(cell, "ordinary before waiting urgent at node %u", node);
    }
    at->urgent_starts = 0;
}

void
rules_finish(struct cell *cell, const struct engine_action *action)
{
    struct rules_record *record = rules_record(cell, action->id);

    record->finishes++;
    if (record->finishes > 1) {
        fail(cell, "%" PRIu64 " finished twice", record->id);
    }
    record->outcome = action->outcome;
    cell->finished[action->outcome]++;
    if (action->outcome == ENGINE_NOT_RUN && record->runs > 0) {
        fail(cell, "%" PRIu64 " 'not run' but it ran (reason %d)", record->id,
             action->reason);
    }
    if (action->outcome == ENGINE_ANSWERED && !action->replayed &&
        record->runs == 0) {
        fail(cell, "%" PRIu64 " answered but never run", record->id);
    }
    if (action->outcome == ENGINE_NOT_RUN && action->retry_after_ms == 0) {
        fail(cell, "%" PRIu64 " without Retry-After", record->id);
    }
}

void
rules_node(struct cell *cell, unsigned node)
{
    const struct cell_node *at = &cell->nodes[node];

    if (engine_busy(at->engine) > CELL_SLOTS) {
        fail(cell, "%u busy at node %u", engine_busy(at->engine), node);
    }
    if (engine_waiting(at->engine) > CELL_QUEUE) {
        fail(cell, "%u waiting at node %u", engine_waiting(at->engine), node);
    }
}

void
rules_answers(struct cell *cell)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, cell->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rules_record *record = value;
        const struct cell_node *at = &cell->nodes[record->node];
        uint64_t due = MAX(record->deadline_us, at->frozen_until_us);

        if (record->finishes == 0 && at->life == record->life &&
            cell->now_us > due + LATE_US) {
            fail(cell, "%" PRIu64 " has no answer", record->id);
        }
    }
}

void
rules_empty(struct cell *cell, unsigned node)
{
    const struct engine *engine = cell->nodes[node].engine;

    if (engine_busy(engine) > 0 || engine_waiting(engine) > 0 ||
        engine_open(engine) > 0 || g_hash_table_size(engine->entries) > 0) {
        fail(cell, "node %u keeps %u busy, %u waiting, %u open, %u entries",
             node, engine_busy(engine), engine_waiting(engine),
             engine_open(engine), g_hash_table_size(engine->entries));
    }
}
