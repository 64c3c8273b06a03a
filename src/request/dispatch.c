#include "request/dispatch.h"

#include "request/admit.h"
#include "request/finish.h"

/* Queued requests without a local slot that are offered to peers per class. */
#define UNPLACED_MAX 4

const struct dispatch_ops *
dispatch_ops_of(enum engine_policy policy)
{
    switch (policy) {
    case ENGINE_LOCAL:
        return &dispatch_local;
    case ENGINE_TWO_CHOICES:
        return &dispatch_two_choices;
    case ENGINE_IDLE_QUEUE:
        return &dispatch_idle_queue;
    case ENGINE_PROBE:
        return &dispatch_probe;
    case ENGINE_PULL:
        return &dispatch_pull;
    }
    return NULL;
}

const char *
engine_policy_name(enum engine_policy policy)
{
    const struct dispatch_ops *ops = dispatch_ops_of(policy);

    return ops != NULL ? ops->name : "unknown";
}

/* After a failed local run, peers are preferred for a while. */
static bool
avoids_local(const struct engine *engine, const struct entry *entry)
{
    return engine->now_us < entry->avoid_local_until_us &&
           peers_working(&engine->peers, entry->request.service);
}

unsigned
dispatch_free_slots(const struct engine *engine, const struct entry *entry)
{
    if (avoids_local(engine, entry)) {
        return 0;
    }
    return upstream_free_slots(&engine->upstream, entry->request.service,
                               engine->now_us);
}

bool
dispatch_may_send(const struct engine *engine, const struct entry *entry,
                  const struct peer *peer)
{
    return peer->service == entry->request.service &&
           peer_accepts(peer, engine->now_us) &&
           !entry_tried(entry, peer->id) &&
           engine->now_us + peer->passive_health.run_us <
               entry->request.deadline_us;
}

struct peer *
dispatch_random(struct engine *engine, const struct entry *entry)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, entry->request.service);
    struct peer *chosen = NULL;
    int seen = 0;

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);

        if (dispatch_may_send(engine, entry, peer) &&
            g_rand_int_range(engine->random, 0, ++seen) == 0) {
            chosen = peer;
        }
    }
    return chosen;
}

uint64_t
dispatch_default(struct engine *engine, struct entry *entry)
{
    const struct peer *peer;

    if (dispatch_free_slots(engine, entry) > 0) {
        return engine->self;
    }
    if (upstream_serves(&engine->upstream, entry->request.service) &&
        !avoids_local(engine, entry)) {
        return 0;
    }
    peer = dispatch_random(engine, entry);
    return peer != NULL ? peer->id : 0;
}

void
dispatch_on_report(struct engine *engine, struct peer *peer,
                   const struct engine_peer_msg *msg)
{
    if (engine->ops->on_report != NULL) {
        engine->ops->on_report(engine, peer, msg);
    }
}

void
dispatch_send_status(struct engine *engine, struct peer *peer)
{
    struct engine_action *action;

    action = engine_send(engine, peer->id, ENGINE_PEER_STATUS, NULL);
    action->msg.free_slots = (uint16_t)upstream_free_slots(
        &engine->upstream, peer->service, engine->now_us);
    action->msg.waiting[SERVICE_CONFIG_URGENT] =
        (uint16_t)engine->queue.count[SERVICE_CONFIG_URGENT];
    action->msg.waiting[SERVICE_CONFIG_ORDINARY] =
        (uint16_t)engine->queue.count[SERVICE_CONFIG_ORDINARY];
    peer->status_sent_us = engine->now_us;
}

static void
run_locally(struct engine *engine, struct entry *entry)
{
    struct engine_action *action = engine_emit(engine, ENGINE_RUN);

    action->id = entry->key.id;
    action->origin = entry->key.origin;
    entry->state = ENTRY_RUNNING;
    entry->started_us = engine->now_us;
    upstream_acquire_slot(&engine->upstream, engine->now_us);
    engine->counters.runs++;
}

static void
run_on_peer(struct engine *engine, struct entry *entry, uint64_t member)
{
    struct peer *peer = peers_find(&engine->peers, member);

    engine_send(engine, member, ENGINE_PEER_RUN, entry);
    entry_mark_tried(entry, member);
    entry->state = ENTRY_AT_PEER;
    entry->peer = member;
    entry->started_us = engine->now_us;
    peer->sent++;
    if (peer->slot_advert > 0) {
        peer->slot_advert--;
    }
}

static void
start(struct engine *engine, struct entry *entry, uint64_t member)
{
    queue_remove(&engine->queue, entry);
    queue_started(&engine->queue, entry->request.class);
    estimate_departure(&engine->estimate, queue_total(&engine->queue),
                       engine->now_us);
    entry->ran_locally = member == engine->self;
    if (entry->ran_locally) {
        run_locally(engine, entry);
    }
    else {
        run_on_peer(engine, entry, member);
    }
}

static bool
start_next_of_class(struct engine *engine, enum service_config_class class)
{
    struct entry *entry = engine->queue.head[class];
    unsigned unplaced = 0;

    while (entry != NULL && unplaced < UNPLACED_MAX) {
        uint64_t member = 0;

        if (entry->runnable) {
            member = engine->ops->place(engine, entry);
            unplaced += dispatch_free_slots(engine, entry) == 0 ? 1 : 0;
        }
        if (member != 0) {
            start(engine, entry, member);
            return true;
        }
        entry = entry->next;
    }
    return false;
}

static bool
start_next(struct engine *engine)
{
    enum service_config_class first = queue_first_class(&engine->queue);
    enum service_config_class other = first == SERVICE_CONFIG_URGENT
                                          ? SERVICE_CONFIG_ORDINARY
                                          : SERVICE_CONFIG_URGENT;

    return start_next_of_class(engine, first) ||
           start_next_of_class(engine, other);
}

static struct entry *
first_unservable(const struct engine *engine, enum service_config_class class,
                 enum engine_reason *reason)
{
    struct entry *entry = engine->queue.head[class];

    while (entry != NULL) {
        *reason = admit_unservable(engine, entry);
        if (*reason != ENGINE_REASON_NONE) {
            return entry;
        }
        entry = entry->next;
    }
    return NULL;
}

/* Finishing a request may change others, so the scan starts again. */
static void
drop_unservable(struct engine *engine, enum service_config_class class)
{
    enum engine_reason reason;
    struct entry *entry = first_unservable(engine, class, &reason);

    while (entry != NULL) {
        finish_unserved(engine, entry, reason);
        entry = first_unservable(engine, class, &reason);
    }
}

void
dispatch_run(struct engine *engine)
{
    drop_unservable(engine, SERVICE_CONFIG_URGENT);
    drop_unservable(engine, SERVICE_CONFIG_ORDINARY);
    while (start_next(engine)) {
    }
    if (engine->ops->after_dispatch != NULL) {
        engine->ops->after_dispatch(engine);
    }
}
