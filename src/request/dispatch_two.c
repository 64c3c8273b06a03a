/**
 * DOC: dispatch_two - power-of-two-choices policy on reported load
 *
 * Compares random agents, this one included, and picks the one with fewer busy
 * slots and queued requests per slot. A declined request waits for the local
 * upstream.
 */
#include "request/dispatch.h"

static double
reported_load(const struct peer *peer)
{
    return (peer->view_busy + peer->view_waiting) /
           (double)MAX(peer->slots, 1);
}

static double
own_load(const struct engine *engine)
{
    unsigned in_flight = engine->upstream.busy + queue_total(&engine->queue);

    return (in_flight - 1.0) / MAX(engine->upstream.slots, 1);
}

static uint64_t
choose_better(struct engine *engine, struct entry *entry)
{
    const struct peer *first = dispatch_random(engine, entry);
    const struct peer *second = dispatch_random(engine, entry);
    guint others =
        peers_of_service(&engine->peers, entry->request.service)->len;
    bool self_drawn =
        g_rand_int_range(engine->random, 0, (gint32)others + 1) < 2;

    if (first == NULL) {
        return 0;
    }
    if (self_drawn) {
        return reported_load(first) < own_load(engine) ? first->id : 0;
    }
    return reported_load(second) < reported_load(first) ? second->id
                                                        : first->id;
}

static uint64_t
place(struct engine *engine, struct entry *entry)
{
    uint64_t member;

    if (!entry->placement_tried) {
        entry->placement_tried = true;
        member = choose_better(engine, entry);
        if (member != 0) {
            return member;
        }
    }
    return dispatch_default(engine, entry);
}

const struct dispatch_ops dispatch_two_choices = {
    .name = "two-choices",
    .place = place,
};
