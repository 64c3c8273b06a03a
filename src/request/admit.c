#include "request/admit.h"

#include "request/finish.h"

#define IDLE_SLOT_LOAD_MAX 980 /* per mille */
#define WAIT_MARGIN 2.0
#define RUN_MAX_TO_MEAN 3
#define SLOW_FACTOR 2
#define RETRY_AFTER_MIN_US (50 * USEC_PER_MSEC)
#define RETRY_AFTER_OUTAGE_US USEC_PER_SEC
#define RETRY_SPACING_MIN_US USEC_PER_MSEC
#define RETRY_AFTER_MAX_US (30 * USEC_PER_SEC)
#define JITTER_LOW 0.75
#define JITTER_HIGH 1.25

/* Slots that serve the local queue: local ones and the idle share of the
 * peers' slots. */
static double
serving_slots(const struct engine *engine, uint32_t service)
{
    const GPtrArray *list = peers_of_service(&engine->peers, service);
    double slots = upstream_usable_slots(&engine->upstream, engine->now_us);

    for (guint i = 0; i < list->len; i++) {
        const struct peer *peer = g_ptr_array_index(list, i);

        if (peer_accepts(peer, engine->now_us) && peer->load_at_us != 0) {
            slots += peer_idle_slots(peer);
        }
    }
    return slots;
}

/* A peer that is busy nearly all the time pulls no requests. */
static bool
may_have_idle_slot(const struct engine *engine, const struct peer *peer)
{
    return peer_accepts(peer, engine->now_us) &&
           (peer->load_at_us == 0 || peer->load < IDLE_SLOT_LOAD_MAX);
}

/* Run time at the fastest peer with idle slots, UINT64_MAX if unknown. */
static uint64_t
fastest_peer_us(const struct engine *engine, uint32_t service)
{
    const GPtrArray *list = peers_of_service(&engine->peers, service);
    uint64_t fastest = UINT64_MAX;

    for (guint i = 0; i < list->len; i++) {
        const struct peer *peer = g_ptr_array_index(list, i);

        if (may_have_idle_slot(engine, peer) &&
            peer->passive_health.run_us > 0) {
            fastest = MIN(fastest, peer->passive_health.run_us);
        }
    }
    return fastest;
}

static bool
is_slower_than_peer(const struct engine *engine, uint64_t fastest_us)
{
    uint64_t own = estimate_run_us(&engine->estimate, engine->now_us);

    return fastest_us < own / SLOW_FACTOR;
}

/* A slow local upstream is no reason to refuse a request that a peer can
 * serve in time. */
static uint64_t
needed_run_us(const struct engine *engine, uint32_t service)
{
    return MIN(estimate_run_us(&engine->estimate, engine->now_us),
               fastest_peer_us(engine, service));
}

static uint64_t
needed_run_max_us(const struct engine *engine, uint32_t service)
{
    uint64_t fastest = fastest_peer_us(engine, service);

    if (is_slower_than_peer(engine, fastest)) {
        return RUN_MAX_TO_MEAN * fastest;
    }
    return estimate_run_max_us(&engine->estimate, engine->now_us);
}

static bool
is_service_available(const struct engine *engine, uint32_t service)
{
    return upstream_serves(&engine->upstream, service) ||
           peers_working(&engine->peers, service);
}

/* With a free slot and an empty queue, no estimate of the wait applies. */
static bool
can_start_immediately(const struct engine *engine,
                      const struct engine_request *request)
{
    return queue_total(&engine->queue) == 0 &&
           upstream_free_slots(&engine->upstream, request->service,
                               engine->now_us) > 0;
}

static bool
is_too_late(const struct engine *engine, const struct engine_request *request)
{
    uint64_t left;
    uint64_t gap;
    double wait;

    if (request->deadline_us <= engine->now_us) {
        return true;
    }
    if (can_start_immediately(engine, request)) {
        return false;
    }
    left = request->deadline_us - engine->now_us;
    gap = estimate_start_interval_us(&engine->estimate,
                                     serving_slots(engine, request->service),
                                     engine->now_us);
    wait = WAIT_MARGIN * (double)gap *
           queue_ahead(&engine->queue, request->class, request->deadline_us);
    return wait + (double)needed_run_max_us(engine, request->service) >
           (double)left;
}

/* In a full queue, an urgent request displaces the last ordinary one. */
static bool
displace_ordinary(struct engine *engine, const struct engine_request *request)
{
    struct service_config_limits limits =
        services_limits(engine->services, request->service);
    struct entry *last = engine->queue.tail[SERVICE_CONFIG_ORDINARY];

    if (queue_total(&engine->queue) < limits.queue) {
        return true;
    }
    if (request->class != SERVICE_CONFIG_URGENT || last == NULL) {
        return false;
    }
    engine->counters.displaced++;
    finish_unserved(engine, last, ENGINE_QUEUE_FULL);
    return true;
}

void
admit_requeue(struct engine *engine, struct entry *entry)
{
    struct service_config_limits limits =
        services_limits(engine->services, entry->request.service);
    struct entry *last;

    queue_push(&engine->queue, entry);
    if (queue_total(&engine->queue) <= limits.queue) {
        return;
    }
    last = engine->queue.tail[SERVICE_CONFIG_ORDINARY];
    last = last != NULL ? last : engine->queue.tail[SERVICE_CONFIG_URGENT];
    engine->counters.displaced++;
    finish_unserved(engine, last, ENGINE_QUEUE_FULL);
}

enum engine_reason
admit_check(struct engine *engine, const struct engine_request *request)
{
    struct service_config_limits limits =
        services_limits(engine->services, request->service);

    if (engine->stopping) {
        return ENGINE_STOPPING;
    }
    if (!is_service_available(engine, request->service)) {
        return ENGINE_NO_UPSTREAM;
    }
    if (engine_dependency_down(engine, request->service)) {
        return ENGINE_DEPENDENCY;
    }
    if (is_too_late(engine, request)) {
        return ENGINE_TOO_LATE;
    }
    if (!quota_acquire(&engine->quota, request->caller,
                       limits.requests_per_caller)) {
        return ENGINE_CALLER_LIMIT;
    }
    if (!displace_ordinary(engine, request)) {
        quota_release(&engine->quota, request->caller);
        return ENGINE_QUEUE_FULL;
    }
    return ENGINE_REASON_NONE;
}

bool
admit_local_too_slow(const struct engine *engine, const struct entry *entry)
{
    uint64_t own = estimate_run_max_us(&engine->estimate, engine->now_us);
    uint64_t fastest = fastest_peer_us(engine, entry->request.service);

    return engine->now_us + own > entry->request.deadline_us &&
           is_slower_than_peer(engine, fastest);
}

/* An urgent request starts if the mean run fits before its deadline, an
 * ordinary one only if most runs would. */
static uint64_t
min_time_left_us(const struct engine *engine,
                 const struct engine_request *request)
{
    return request->class == SERVICE_CONFIG_URGENT
               ? needed_run_us(engine, request->service)
               : needed_run_max_us(engine, request->service);
}

/* Whether the local upstream or an untried peer may run the request. */
static bool
has_candidate(const struct engine *engine, const struct entry *entry)
{
    const GPtrArray *list;

    if (upstream_serves(&engine->upstream, entry->request.service)) {
        return true;
    }
    list = peers_of_service(&engine->peers, entry->request.service);
    for (guint i = 0; i < list->len; i++) {
        const struct peer *peer = g_ptr_array_index(list, i);

        if (peer->health != MEMBER_DEAD &&
            (peer->state == MEMBER_READY || peer->state == MEMBER_WARMING) &&
            !entry_tried(entry, peer->id)) {
            return true;
        }
    }
    return false;
}

enum engine_reason
admit_unservable(const struct engine *engine, const struct entry *entry)
{
    uint64_t run_us = min_time_left_us(engine, &entry->request);
    uint64_t deadline_us = entry->request.deadline_us;
    unsigned free_slots = upstream_free_slots(
        &engine->upstream, entry->request.service, engine->now_us);

    if (!has_candidate(engine, entry)) {
        return entry->refused != ENGINE_REASON_NONE ? entry->refused
                                                    : ENGINE_NO_UPSTREAM;
    }
    if (engine->now_us >= deadline_us) {
        return ENGINE_TOO_LATE;
    }
    if (queue_total(&engine->queue) > free_slots &&
        engine->now_us + run_us > deadline_us) {
        return ENGINE_TOO_LATE;
    }
    return ENGINE_REASON_NONE;
}

/* A queue drains quickly; an outage lasts longer. */
static uint64_t
min_retry_after_us(enum engine_reason reason)
{
    switch (reason) {
    case ENGINE_NO_UPSTREAM:
    case ENGINE_DEPENDENCY:
    case ENGINE_KEY_QUORUM:
        return RETRY_AFTER_OUTAGE_US;
    default:
        return RETRY_AFTER_MIN_US;
    }
}

uint32_t
admit_retry_after_ms(struct engine *engine, enum engine_reason reason)
{
    uint64_t gap = estimate_start_interval_us(
        &engine->estimate, serving_slots(engine, engine->upstream.service),
        engine->now_us);
    uint64_t drained = engine->now_us + min_retry_after_us(reason) +
                       gap * queue_total(&engine->queue);
    uint64_t latest = engine->now_us + RETRY_AFTER_MAX_US;
    double after;

    engine->next_retry_at_us = MAX(engine->next_retry_at_us, drained) +
                               MAX(gap, RETRY_SPACING_MIN_US);
    engine->next_retry_at_us = MIN(engine->next_retry_at_us, latest);
    after = (double)(engine->next_retry_at_us - engine->now_us);
    after *= g_rand_double_range(engine->random, JITTER_LOW, JITTER_HIGH);
    return (uint32_t)(after / USEC_PER_MSEC);
}
