#include "request/runs.h"

#include "request/finish.h"
#include "request/outcome.h"

/* Whether the peers have capacity for the load of the local upstream. */
static bool
peers_have_capacity(const struct engine *engine)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, engine->upstream.service);
    double room = 0;

    for (guint i = 0; i < list->len; i++) {
        const struct peer *peer = g_ptr_array_index(list, i);

        if (peer_accepts(peer, engine->now_us)) {
            room += peer_idle_slots(peer);
        }
    }
    return room >= 1.0;
}

void
runs_failed(struct engine *engine)
{
    struct upstream *upstream = &engine->upstream;

    if (engine_dependency_down(engine, upstream->service)) {
        return;
    }
    if (health_failed(&upstream->passive_health) &&
        peers_have_capacity(engine)) {
        health_eject(&upstream->passive_health, engine->now_us);
    }
}

static void
run_answered(struct engine *engine, struct entry *entry, uint64_t took_us,
             const uint8_t *answer, size_t answer_len)
{
    bool ignore_errors =
        engine_dependency_down(engine, engine->upstream.service);

    estimate_run(&engine->estimate, took_us, engine->now_us);
    upstream_answered(&engine->upstream, took_us, answer, answer_len,
                      ignore_errors);
    if (engine_is_local(engine, entry)) {
        retry_succeeded(&engine->retry);
    }
    finish_answered(engine, entry, answer, answer_len);
}

void
runs_end(struct engine *engine, struct entry *entry, enum engine_upstream how,
         const uint8_t *answer, size_t answer_len)
{
    uint64_t took_us = engine->now_us - entry->started_us;

    switch (how) {
    case ENGINE_UP_ANSWERED:
        run_answered(engine, entry, took_us, answer, answer_len);
        return;
    case ENGINE_UP_REFUSED:
        upstream_refused(&engine->upstream, engine->now_us);
        outcome_refused(engine, entry, ENGINE_UPSTREAM_SHED);
        return;
    case ENGINE_UP_UNREACHED:
        upstream_refused(&engine->upstream, engine->now_us);
        runs_failed(engine);
        outcome_refused(engine, entry, ENGINE_NO_UPSTREAM);
        return;
    case ENGINE_UP_LOST:
        runs_failed(engine);
        outcome_lost(engine, entry, ENGINE_LOST);
        return;
    case ENGINE_UP_TRUNCATED:
        runs_failed(engine);
        outcome_lost(engine, entry, ENGINE_TRUNCATED);
        return;
    }
}
