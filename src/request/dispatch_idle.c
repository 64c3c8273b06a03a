/**
 * DOC: dispatch_idle - join-idle-queue policy
 *
 * An agent whose slot becomes free reports this to one random peer. A request
 * without a local slot goes to a peer that reported one.
 */
#include "request/dispatch.h"

#define IDLE_TTL_US USEC_PER_SEC
#define IDLE_REPORT_INTERVAL_US (5 * USEC_PER_MSEC)

static struct peer *
find_idle(const struct engine *engine, const struct entry *entry)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, entry->request.service);

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);

        if (peer->slot_advert > 0 &&
            engine->now_us < peer->slot_advert_until_us &&
            dispatch_may_send(engine, entry, peer)) {
            return peer;
        }
    }
    return NULL;
}

static uint64_t
place(struct engine *engine, struct entry *entry)
{
    const struct peer *peer;

    if (dispatch_free_slots(engine, entry) > 0) {
        return engine->self;
    }
    peer = find_idle(engine, entry);
    return peer != NULL ? peer->id : dispatch_default(engine, entry);
}

static void
after_dispatch(struct engine *engine)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, engine->upstream.service);
    unsigned free_slots = upstream_free_slots(
        &engine->upstream, engine->upstream.service, engine->now_us);

    if (free_slots > engine->dispatch.slots_requested && list->len > 0 &&
        engine->now_us >=
            engine->dispatch.slot_advert_at_us + IDLE_REPORT_INTERVAL_US) {
        gint32 i = g_rand_int_range(engine->random, 0, (gint32)list->len);

        dispatch_send_status(engine, g_ptr_array_index(list, i));
        engine->dispatch.slot_advert_at_us = engine->now_us;
    }
    engine->dispatch.slots_requested = free_slots;
}

static void
on_report(struct engine *engine, struct peer *peer,
          const struct engine_peer_msg *msg)
{
    peer->slot_advert = msg->free_slots;
    peer->slot_advert_until_us = engine->now_us + IDLE_TTL_US;
}

const struct dispatch_ops dispatch_idle_queue = {
    .name = "idle-queue",
    .place = place,
    .after_dispatch = after_dispatch,
    .on_report = on_report,
};
