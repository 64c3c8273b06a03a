/**
 * DOC: dispatch_probe - probe policy
 *
 * Each new request probes random peers; their replies serve later requests
 * for PROBE_TTL_US. A request goes to the agent with the fewest requests in
 * flight per slot, this one included. A reply is used once.
 */
#include "request/dispatch.h"

#define PROBES 2
#define PROBE_TTL_US (50 * USEC_PER_MSEC)

static void
probe(struct engine *engine, const struct entry *entry)
{
    for (int i = 0; i < PROBES; i++) {
        const struct peer *peer = dispatch_random(engine, entry);

        if (peer != NULL) {
            engine_send(engine, peer->id, ENGINE_PEER_PROBE, NULL);
        }
    }
}

static bool
is_fresh(const struct engine *engine, const struct peer *peer)
{
    return peer->in_flight_at_us != 0 &&
           engine->now_us < peer->in_flight_at_us + PROBE_TTL_US;
}

static double
per_slot(unsigned in_flight, unsigned slots)
{
    return in_flight / (double)MAX(slots, 1);
}

static struct peer *
find_least_loaded(const struct engine *engine, const struct entry *entry,
                  double below)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, entry->request.service);
    struct peer *least = NULL;

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);
        double load = per_slot(peer->in_flight, peer->slots);

        if (is_fresh(engine, peer) && load < MIN(below, 1.0) &&
            dispatch_may_send(engine, entry, peer)) {
            least = peer;
            below = load;
        }
    }
    return least;
}

static uint64_t
place(struct engine *engine, struct entry *entry)
{
    unsigned in_flight =
        engine->upstream.busy + queue_total(&engine->queue) - 1;
    struct peer *peer;

    if (!entry->placement_tried) {
        entry->placement_tried = true;
        probe(engine, entry);
    }
    peer = find_least_loaded(engine, entry,
                             per_slot(in_flight, engine->upstream.slots));
    if (peer != NULL) {
        peer->in_flight_at_us = 0;
        return peer->id;
    }
    return dispatch_default(engine, entry);
}

static void
on_report(struct engine *engine, struct peer *peer,
          const struct engine_peer_msg *msg)
{
    unsigned waiting = msg->waiting[0] + msg->waiting[1];

    peer->in_flight =
        waiting + peer->slots - MIN(msg->free_slots, peer->slots);
    peer->in_flight_at_us = engine->now_us;
}

const struct dispatch_ops dispatch_probe = {
    .name = "probe",
    .place = place,
    .on_report = on_report,
};
