#include "request/admit.h"
#include "request/dispatch.h"
#include "request/finish.h"
#include "request/keyed.h"
#include "request/remote.h"
#include "request/runs.h"

#include <errno.h>

static void
begin_call(struct engine *engine, uint64_t now_us, struct engine_actions *out)
{
    engine->now_us = MAX(now_us, engine->now_us);
    engine->out = out;
    g_ptr_array_set_size(engine->copied_answers, 0);
}

struct engine *
engine_new(uint64_t self, enum engine_policy policy, uint64_t seed)
{
    const struct dispatch_ops *ops = dispatch_ops_of(policy);
    struct engine *engine;

    if (ops == NULL) {
        return NULL;
    }
    engine = g_new0(struct engine, 1);
    engine->ops = ops;
    engine->self = self;
    engine->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
    engine->entries = entry_table_new();
    quota_init(&engine->quota);
    retry_init(&engine->retry);
    peers_init(&engine->peers);
    seen_init(&engine->seen);
    engine->idem = idem_new(self, ENGINE_KEYS_MAX);
    engine->copied_answers = g_ptr_array_new_with_free_func(g_free);
    return engine;
}

void
engine_free(struct engine *engine)
{
    if (engine == NULL) {
        return;
    }
    g_rand_free(engine->random);
    if (engine->services != NULL) {
        g_hash_table_destroy(engine->services);
    }
    g_hash_table_destroy(engine->entries);
    quota_finish(&engine->quota);
    peers_finish(&engine->peers);
    seen_finish(&engine->seen);
    idem_actions_finish(&engine->idem_out);
    idem_free(engine->idem);
    g_ptr_array_free(engine->copied_answers, TRUE);
    g_free(engine);
}

static void
update_own_state(struct engine *engine, const struct view *view)
{
    const struct view_member *own;

    if (view->self >= view->count) {
        return;
    }
    own = &view->members[view->self];
    if (own->state != MEMBER_WARMING) {
        engine->upstream.slow_start_since_us = 0;
    }
    else if (engine->upstream.slow_start_since_us == 0) {
        engine->upstream.slow_start_since_us = MAX(engine->now_us, 1);
    }
}

int
engine_set_view(struct engine *engine, const struct view *view,
                uint64_t now_us, struct engine_actions *out)
{
    GArray *gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    begin_call(engine, now_us, out);
    update_own_state(engine, view);
    peers_set_view(&engine->peers, view, engine->self, gone);
    for (guint i = 0; i < gone->len; i++) {
        remote_peer_lost(engine, g_array_index(gone, uint64_t, i));
    }
    g_array_free(gone, TRUE);
    keyed_set_view(engine, view);
    dispatch_run(engine);
    return 0;
}

int
engine_set_text(struct engine *engine, const struct service_config *config,
                uint64_t now_us, struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    if (engine->services != NULL) {
        g_hash_table_destroy(engine->services);
    }
    engine->services = services_new(config);
    dispatch_run(engine);
    return 0;
}

int
engine_set_upstream(struct engine *engine, uint32_t service, unsigned slots,
                    bool accepting, uint64_t now_us,
                    struct engine_actions *out)
{
    struct upstream *upstream = &engine->upstream;

    begin_call(engine, now_us, out);
    if (upstream->slots == 0 || upstream->service != service) {
        upstream->passive_health = (struct health){0};
        upstream->backoffs = 0;
        upstream->backoff_until_us = 0;
        upstream->errors = 0;
    }
    upstream->service = service;
    upstream->slots = slots;
    upstream->accepting = accepting;
    dispatch_run(engine);
    return 0;
}

static bool
is_valid(const struct engine_request *request)
{
    return (request->class == SERVICE_CONFIG_URGENT ||
            request->class == SERVICE_CONFIG_ORDINARY) &&
           request->service != 0;
}

static void
queue_request(struct engine *engine, const struct engine_request *request)
{
    struct entry *entry =
        entry_add(engine->entries, engine->self, request, engine->now_us);

    engine->open++;
    entry->runnable = !request->keyed;
    queue_push(&engine->queue, entry);
    if (request->keyed) {
        keyed_begin(engine, entry);
    }
}

int
engine_arrive(struct engine *engine, const struct engine_request *request,
              uint64_t now_us, struct engine_actions *out)
{
    struct engine_request admitted = *request;
    enum engine_reason reason;

    begin_call(engine, now_us, out);
    if (!is_valid(request)) {
        return -EINVAL;
    }
    if (entry_find(engine->entries, engine->self, request->id) != NULL) {
        return -EEXIST;
    }
    engine->counters.arrived++;
    admitted.class =
        services_class(engine->services, request->service, request->class);
    reason = admit_check(engine, &admitted);
    if (reason != ENGINE_REASON_NONE) {
        finish_refused(engine, request->id, reason);
        return 0;
    }
    queue_request(engine, &admitted);
    dispatch_run(engine);
    return 0;
}

/* A started request with a key completes even without its caller, so that
 * the outcome is recorded for a retry. */
static bool
must_complete(const struct entry *entry)
{
    return entry->request.keyed && entry->state != ENTRY_WAITING;
}

int
engine_cancel(struct engine *engine, uint64_t id, uint64_t now_us,
              struct engine_actions *out)
{
    struct entry *entry;

    begin_call(engine, now_us, out);
    entry = entry_find(engine->entries, engine->self, id);
    if (entry == NULL || entry->state == ENTRY_ABORTED) {
        return -ENOENT;
    }
    if (must_complete(entry)) {
        entry->caller_gone = true;
    }
    else if (entry->state == ENTRY_WAITING) {
        finish_unserved(engine, entry, ENGINE_CANCELLED);
    }
    else {
        finish_unknown(engine, entry, ENGINE_CANCELLED);
    }
    dispatch_run(engine);
    return 0;
}

int
engine_upstream_end(struct engine *engine, uint64_t origin, uint64_t id,
                    enum engine_upstream how, const uint8_t *answer,
                    size_t answer_len, uint64_t now_us,
                    struct engine_actions *out)
{
    struct entry *entry;

    begin_call(engine, now_us, out);
    entry = entry_find(engine->entries, origin, id);
    if (entry == NULL ||
        (entry->state != ENTRY_RUNNING && entry->state != ENTRY_ABORTED)) {
        engine->counters.dropped++;
        return -ENOENT;
    }
    upstream_release_slot(&engine->upstream, engine->now_us);
    if (entry->state == ENTRY_ABORTED) {
        entry_remove(engine->entries, entry);
    }
    else {
        entry->state = ENTRY_WAITING;
        runs_end(engine, entry, how, answer, answer_len);
    }
    dispatch_run(engine);
    return 0;
}

int
engine_peer(struct engine *engine, uint64_t from,
            const struct engine_peer_msg *msg, const uint8_t *answer,
            size_t answer_len, uint64_t now_us, struct engine_actions *out)
{
    int rc = 0;

    begin_call(engine, now_us, out);
    if (msg->type == ENGINE_PEER_IDEM) {
        keyed_receive(engine, from, &msg->idem);
    }
    else {
        rc = remote_receive(engine, from, msg, answer, answer_len);
    }
    dispatch_run(engine);
    return rc;
}

int
engine_peer_lost(struct engine *engine, uint64_t member, uint64_t now_us,
                 struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    remote_peer_lost(engine, member);
    dispatch_run(engine);
    return 0;
}

int
engine_send_failed(struct engine *engine, uint64_t member, uint64_t id,
                   uint64_t now_us, struct engine_actions *out)
{
    struct entry *entry;

    begin_call(engine, now_us, out);
    entry = entry_find(engine->entries, engine->self, id);
    if (entry == NULL || entry->state != ENTRY_AT_PEER ||
        entry->peer != member) {
        return -ENOENT;
    }
    remote_send_failed(engine, entry);
    dispatch_run(engine);
    return 0;
}

/* A hung upstream or frozen peer breaks no connection, so a run that
 * exceeds both its deadline and the usual run time counts as a failure. */
static void
record_overrun(struct engine *engine, const struct entry *entry)
{
    uint64_t took_us = engine->now_us - entry->started_us;
    uint64_t max_us = estimate_run_max_us(&engine->estimate, engine->now_us);
    struct peer *peer;

    if (took_us < max_us) {
        return;
    }
    if (entry->state == ENTRY_RUNNING) {
        runs_failed(engine);
        return;
    }
    peer = peers_find(&engine->peers, entry->peer);
    if (peer != NULL) {
        peer_failed(&engine->peers, peer, engine->now_us);
    }
}

static void
tick_entry(struct engine *engine, struct entry *entry)
{
    if (entry->state == ENTRY_ABORTED) {
        if (engine->now_us >= entry->started_us + ENGINE_ABORT_GRACE_US) {
            upstream_release_slot(&engine->upstream, engine->now_us);
            entry_remove(engine->entries, entry);
        }
        return;
    }
    if (entry->state != ENTRY_WAITING &&
        engine->now_us >= entry->request.deadline_us) {
        record_overrun(engine, entry);
        finish_unknown(engine, entry, ENGINE_DEADLINE);
    }
}

int
engine_tick(struct engine *engine, uint64_t now_us, struct engine_actions *out)
{
    GArray *keys;

    begin_call(engine, now_us, out);
    keyed_tick(engine);
    keys = entry_keys(engine->entries);
    for (guint i = 0; i < keys->len; i++) {
        struct entry_key key = g_array_index(keys, struct entry_key, i);
        struct entry *entry = entry_find(engine->entries, key.origin, key.id);

        if (entry != NULL) {
            tick_entry(engine, entry);
        }
    }
    g_array_unref(keys);
    seen_expire(&engine->seen, engine->now_us);
    dispatch_run(engine);
    return 0;
}

int
engine_stop(struct engine *engine, uint64_t now_us, struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    engine->stopping = true;
    dispatch_run(engine);
    return 0;
}

const struct engine_counters *
engine_counters(const struct engine *engine)
{
    return &engine->counters;
}

unsigned
engine_busy(const struct engine *engine)
{
    return engine->upstream.busy;
}

unsigned
engine_waiting(const struct engine *engine)
{
    return queue_total(&engine->queue);
}

unsigned
engine_waiting_of(const struct engine *engine, enum service_config_class class)
{
    return engine->queue.count[class];
}

size_t
engine_unacked_records(const struct engine *engine)
{
    return idem_unacked_records(engine->idem);
}

unsigned
engine_open_requests(const struct engine *engine)
{
    return engine->open;
}
