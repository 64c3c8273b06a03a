#include "request/finish.h"
#include "request/keyed.h"

#include <errno.h>

static void
begin_call(struct engine *engine, uint64_t now_us, struct engine_actions *out)
{
    engine->now_us = MAX(now_us, engine->now_us);
    engine->out = out;
    g_ptr_array_set_size(engine->held, 0);
}

static bool
local_takes(const struct engine *engine, uint32_t service)
{
    return engine->accepting && engine->service == service &&
           engine->busy < engine->slots;
}

static void
run_here(struct engine *engine, struct entry *entry)
{
    struct engine_action *action = engine_emit(engine, ENGINE_RUN);

    action->id = entry->key.id;
    action->origin = entry->key.origin;
    entry->place = ENTRY_RUNNING;
    entry->started_us = engine->now_us;
    engine->busy++;
}

static struct entry *
next_cleared(const struct engine *engine, enum text_class class)
{
    struct entry *entry = engine->queue.head[class];

    while (entry != NULL && !entry->cleared) {
        entry = entry->next;
    }
    return entry;
}

static struct entry *
next_to_start(const struct engine *engine)
{
    enum text_class first = queue_first_class(&engine->queue);
    enum text_class other = first == TEXT_URGENT ? TEXT_ORDINARY : TEXT_URGENT;
    struct entry *entry = next_cleared(engine, first);

    return entry != NULL ? entry : next_cleared(engine, other);
}

static void
start_waiting(struct engine *engine)
{
    struct entry *entry = next_to_start(engine);

    while (entry != NULL && local_takes(engine, entry->request.service)) {
        enum text_class class = entry->request.class;

        queue_remove(&engine->queue, entry);
        queue_started(&engine->queue, class);
        run_here(engine, entry);
        entry = next_to_start(engine);
    }
}

struct engine *
engine_new(uint64_t self, enum engine_policy policy, uint64_t seed)
{
    struct engine *engine = g_new0(struct engine, 1);

    engine->self = self;
    engine->random = g_rand_new_with_seed((guint32)(seed ^ (seed >> 32)));
    engine->entries = entry_table_new();
    engine->idem = idem_new(self, ENGINE_KEYS_MAX);
    engine->held = g_ptr_array_new_with_free_func(g_free);
    return engine;
}

void
engine_free(struct engine *engine)
{
    if (engine == NULL) {
        return;
    }
    g_rand_free(engine->random);
    g_hash_table_destroy(engine->entries);
    idem_actions_finish(&engine->idem_out);
    idem_free(engine->idem);
    g_ptr_array_free(engine->held, TRUE);
    g_free(engine);
}

int
engine_set_view(struct engine *engine, const struct view *view,
                uint64_t now_us, struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    keyed_set_view(engine, view);
    start_waiting(engine);
    return 0;
}

int
engine_set_text(struct engine *engine, const struct text *text,
                uint64_t now_us, struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    return 0;
}

int
engine_set_upstream(struct engine *engine, uint32_t service, unsigned slots,
                    bool accepting, uint64_t now_us,
                    struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    engine->service = service;
    engine->slots = slots;
    engine->accepting = accepting;
    start_waiting(engine);
    return 0;
}

int
engine_arrive(struct engine *engine, const struct engine_request *request,
              uint64_t now_us, struct engine_actions *out)
{
    struct entry *entry;

    begin_call(engine, now_us, out);
    if (entry_find(engine->entries, engine->self, request->id) != NULL) {
        return -EEXIST;
    }
    if (engine->stopping) {
        finish_refused(engine, request->id, ENGINE_STOPPING, 1000);
        return 0;
    }
    entry = entry_add(engine->entries, engine->self, request, now_us);
    engine->open++;
    entry->cleared = !request->keyed;
    queue_push(&engine->queue, entry);
    if (request->keyed) {
        keyed_begin(engine, entry);
    }
    start_waiting(engine);
    return 0;
}

int
engine_cancel(struct engine *engine, uint64_t id, uint64_t now_us,
              struct engine_actions *out)
{
    struct entry *entry;

    begin_call(engine, now_us, out);
    entry = entry_find(engine->entries, engine->self, id);
    if (entry == NULL || entry->place == ENTRY_ABORTED) {
        return -ENOENT;
    }
    if (entry->place == ENTRY_WAITING) {
        finish_unserved(engine, entry, ENGINE_REASON_NONE);
    }
    else {
        finish_unknown(engine, entry, ENGINE_REASON_NONE);
    }
    start_waiting(engine);
    return 0;
}

static void
run_ended(struct engine *engine, struct entry *entry, enum engine_upstream how,
          const uint8_t *answer, size_t answer_len)
{
    switch (how) {
    case ENGINE_UP_ANSWERED:
        finish_answered(engine, entry, answer, answer_len);
        return;
    case ENGINE_UP_REFUSED:
        finish_unserved(engine, entry, ENGINE_UPSTREAM_SHED);
        return;
    case ENGINE_UP_UNREACHED:
        finish_unserved(engine, entry, ENGINE_NO_UPSTREAM);
        return;
    case ENGINE_UP_LOST:
        finish_unknown(engine, entry, ENGINE_LOST);
        return;
    case ENGINE_UP_SHORT:
        finish_unknown(engine, entry, ENGINE_SHORT);
        return;
    }
}

int
engine_upstream_end(struct engine *engine, uint64_t origin, uint64_t id,
                    enum engine_upstream how, const uint8_t *answer,
                    size_t answer_len, uint64_t now_us,
                    struct engine_actions *out)
{
    struct entry *entry;
    bool aborted;

    begin_call(engine, now_us, out);
    entry = entry_find(engine->entries, origin, id);
    if (entry == NULL ||
        (entry->place != ENTRY_RUNNING && entry->place != ENTRY_ABORTED)) {
        return -ENOENT;
    }
    aborted = entry->place == ENTRY_ABORTED;
    finish_slot_free(engine, entry);
    if (aborted) {
        entry_remove(engine->entries, entry);
    }
    else {
        run_ended(engine, entry, how, answer, answer_len);
    }
    start_waiting(engine);
    return 0;
}

int
engine_peer(struct engine *engine, uint64_t from,
            const struct engine_peer_msg *msg, const uint8_t *answer,
            size_t answer_len, uint64_t now_us, struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    if (msg->type == ENGINE_PEER_IDEM) {
        keyed_receive(engine, from, &msg->idem);
    }
    start_waiting(engine);
    return 0;
}

int
engine_peer_lost(struct engine *engine, uint64_t member, uint64_t now_us,
                 struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    return 0;
}

static bool
tick_entry(struct engine *engine, struct entry *entry)
{
    if (entry->place == ENTRY_ABORTED) {
        if (engine->now_us < entry->started_us + ENGINE_ABORT_GRACE_US) {
            return false;
        }
        finish_slot_free(engine, entry);
        entry_remove(engine->entries, entry);
        return true;
    }
    if (engine->now_us < entry->request.deadline_us) {
        return false;
    }
    if (entry->place == ENTRY_WAITING) {
        finish_unserved(engine, entry, ENGINE_TOO_LATE);
    }
    else {
        finish_unknown(engine, entry, ENGINE_DEADLINE);
    }
    return true;
}

int
engine_tick(struct engine *engine, uint64_t now_us, struct engine_actions *out)
{
    GList *list;

    begin_call(engine, now_us, out);
    keyed_tick(engine);
    list = g_hash_table_get_values(engine->entries);
    for (GList *item = list; item != NULL; item = item->next) {
        (void)tick_entry(engine, item->data);
    }
    g_list_free(list);
    start_waiting(engine);
    return 0;
}

int
engine_stop(struct engine *engine, uint64_t now_us, struct engine_actions *out)
{
    begin_call(engine, now_us, out);
    engine->stopping = true;
    return 0;
}

unsigned
engine_busy(const struct engine *engine)
{
    return engine->busy;
}

unsigned
engine_waiting(const struct engine *engine)
{
    return queue_total(&engine->queue);
}

unsigned
engine_open(const struct engine *engine)
{
    return engine->open;
}
