#include "request/state.h"

#define ACTIONS_MIN 16

struct engine_action *
engine_emit(struct engine *engine, enum engine_action_type type)
{
    struct engine_actions *out = engine->out;
    struct engine_action *action;

    if (out->count == out->capacity) {
        out->capacity = MAX(ACTIONS_MIN, 2 * out->capacity);
        out->items = g_renew(struct engine_action, out->items, out->capacity);
    }
    action = &out->items[out->count++];
    *action = (struct engine_action){.type = type};
    return action;
}

struct engine_action *
engine_send(struct engine *engine, uint64_t to, enum engine_peer_type type,
            const struct entry *entry)
{
    struct engine_action *action = engine_emit(engine, ENGINE_SEND);

    action->to = to;
    action->origin = engine->self;
    action->msg.type = type;
    action->msg.origin = engine->self;
    if (engine->upstream.slots > 0) {
        action->msg.load =
            (uint16_t)(upstream_load(&engine->upstream, engine->now_us) + 1);
    }
    engine->counters.sent[type]++;
    if (entry != NULL) {
        action->id = entry->key.id;
        action->origin = entry->key.origin;
        action->msg.origin = entry->key.origin;
        action->msg.request = entry->request;
    }
    return action;
}

bool
engine_dependency_down(const struct engine *engine, uint32_t service)
{
    const struct service *found = services_find(engine->services, service);

    if (found == NULL) {
        return false;
    }
    for (guint i = 0; i < found->dependencies->len; i++) {
        uint32_t id = g_array_index(found->dependencies, uint32_t, i);

        if (peers_lost_service(&engine->peers, id)) {
            return true;
        }
    }
    return false;
}

void
engine_actions_finish(struct engine_actions *out)
{
    g_free(out->items);
    *out = (struct engine_actions){0};
}
