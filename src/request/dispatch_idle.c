/**
 * DOC: dispatch_idle - join the idle queue
 *
 * An agent whose slot becomes free with nobody waiting tells one random
 * peer. A request that finds no local slot goes to a peer that told so.
 */
#include "request/dispatch.h"

#define IDLE_KEEP_US USEC_PER_SEC
#define IDLE_GAP_US (5 * USEC_PER_MSEC)

static struct peer *
find_idle(const struct engine *engine, const struct entry *entry)
{
    const GPtrArray *list = peers_of(&engine->peers, entry->request.service);

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);

        if (peer->offer > 0 && engine->now_us < peer->offer_until_us &&
            dispatch_may_go(engine, entry, peer)) {
            return peer;
        }
    }
    return NULL;
}

static uint64_t
place(struct engine *engine, struct entry *entry)
{
    const struct peer *peer;

    if (dispatch_free(engine, entry) > 0) {
        return engine->self;
    }
    peer = find_idle(engine, entry);
    return peer != NULL ? peer->id : dispatch_home(engine, entry);
}

static void
settle(struct engine *engine)
{
    const GPtrArray *list = peers_of(&engine->peers, engine->upstream.service);
    unsigned free_slots = upstream_free(
        &engine->upstream, engine->upstream.service, engine->now_us);

    if (free_slots > engine->dispatch.asked && list->len > 0 &&
        engine->now_us >= engine->dispatch.offered_at_us + IDLE_GAP_US) {
        gint32 i = g_rand_int_range(engine->random, 0, (gint32)list->len);

        dispatch_status(engine, g_ptr_array_index(list, i));
        engine->dispatch.offered_at_us = engine->now_us;
    }
    engine->dispatch.asked = free_slots;
}

static void
told(struct engine *engine, struct peer *peer,
     const struct engine_peer_msg *msg)
{
    peer->offer = msg->free_slots;
    peer->offer_until_us = engine->now_us + IDLE_KEEP_US;
}

const struct dispatch_ops dispatch_idle_queue = {
    .name = "idle-queue",
    .place = place,
    .settle = settle,
    .told = told,
};
