/**
 * DOC: dispatch_pull - agents with free slots pull queued requests
 *
 * An agent with queued requests announces them to a few random peers, at
 * growing intervals until a PULL comes. An agent with a free slot and an empty
 * queue pulls from those peers, urgent requests first. An agent less busy than
 * its peers also advertises a slot to a busier one, which may use it even if
 * it could run the request itself; this evens out slot time. Unused adverts
 * become rarer, and the rate at one busy agent is bounded.
 *
 * Before an ordinary request takes the last free slot while a peer has urgent
 * requests queued, the slot is held for one PULL, at most HOLD_US. The same is
 * done in turn for draining and leaving peers with queued requests.
 */
#include "request/dispatch.h"

#include "request/admit.h"

#define ANNOUNCE_PEERS 2
#define ANNOUNCE_PEERS_NO_UPSTREAM 6
#define ANNOUNCE_MIN_US (5 * USEC_PER_MSEC)
#define ANNOUNCE_GAP_US (20 * USEC_PER_MSEC)
#define ANNOUNCE_GAP_MAX_US (320 * USEC_PER_MSEC)
#define PULL_TIMEOUT_US (4 * USEC_PER_MSEC)
#define SLOT_ADVERT_TTL_US (200 * USEC_PER_MSEC)
#define SLOT_ADVERT_INTERVAL_US (50 * USEC_PER_MSEC)
#define SLOT_ADVERT_INTERVAL_MAX_US (1600 * USEC_PER_MSEC)
#define SLOT_ADVERT_SPACING_US (25 * USEC_PER_MSEC)
#define LOAD_REPORT_PEERS 3
#define LOAD_REPORT_INTERVAL_US USEC_PER_SEC
#define HOLD_US (4 * USEC_PER_MSEC)
#define BALANCE_MARGIN 20 /* per mille of load */

static bool
has_slot_advert(const struct engine *engine, const struct entry *entry,
                const struct peer *peer)
{
    return peer->slot_advert > 0 &&
           engine->now_us < peer->slot_advert_until_us &&
           dispatch_may_send(engine, entry, peer);
}

/* Returns the least loaded peer that advertised a slot. */
static struct peer *
find_slot_advert(const struct engine *engine, const struct entry *entry)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, entry->request.service);
    struct peer *best = NULL;

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);

        if (has_slot_advert(engine, entry, peer) &&
            (best == NULL || peer->load < best->load)) {
            best = peer;
        }
    }
    return best;
}

static void
send_pull(struct engine *engine, struct peer *peer, unsigned free_slots)
{
    struct engine_action *action;

    action = engine_send(engine, peer->id, ENGINE_PEER_PULL, NULL);
    action->msg.free_slots = (uint16_t)free_slots;
    engine->dispatch.slots_requested += free_slots;
    engine->dispatch.pulled_at_us = engine->now_us;
}

/* Returns a random peer that recently reported queued requests of @class. */
static struct peer *
find_waiting(struct engine *engine, enum service_config_class class)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, engine->upstream.service);
    struct peer *chosen = NULL;
    int seen = 0;

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);

        if (peer_has_waiting(peer, class, engine->now_us) &&
            g_rand_int_range(engine->random, 0, ++seen) == 0) {
            chosen = peer;
        }
    }
    return chosen;
}

static void
pull_waiting(struct engine *engine, struct peer *peer,
             enum service_config_class class, unsigned free_slots)
{
    unsigned wanted = MIN(free_slots, peer->waiting[class]);

    peer->waiting[class] = (uint16_t)(peer->waiting[class] - wanted);
    send_pull(engine, peer, wanted);
}

/* Returns a random draining or leaving peer with queued requests. */
static struct peer *
find_without_upstream(struct engine *engine)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, engine->upstream.service);
    struct peer *chosen = NULL;
    int seen = 0;

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);
        bool is_departing =
            peer->state == MEMBER_DRAINING || peer->state == MEMBER_LEAVING;

        if (is_departing &&
            (peer_has_waiting(peer, SERVICE_CONFIG_URGENT, engine->now_us) ||
             peer_has_waiting(peer, SERVICE_CONFIG_ORDINARY,
                              engine->now_us)) &&
            g_rand_int_range(engine->random, 0, ++seen) == 0) {
            chosen = peer;
        }
    }
    return chosen;
}

static struct peer *
find_hold_peer(struct engine *engine, const struct entry *entry,
               enum service_config_class *class)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, engine->upstream.service);
    struct peer *peer;

    *class = SERVICE_CONFIG_URGENT;
    if (entry->request.class == SERVICE_CONFIG_ORDINARY) {
        peer = find_waiting(engine, SERVICE_CONFIG_URGENT);
        if (peer != NULL) {
            return peer;
        }
    }
    if (engine->dispatch.local_starts < list->len) {
        return NULL;
    }
    peer = find_without_upstream(engine);
    if (peer != NULL && peer->waiting[SERVICE_CONFIG_URGENT] == 0) {
        *class = SERVICE_CONFIG_ORDINARY;
    }
    return peer;
}

/* Holds the last free slot for a request of a peer instead of starting
 * @entry. Returns whether it is held. */
static bool
hold_slot(struct engine *engine, const struct entry *entry)
{
    struct dispatch *dispatch = &engine->dispatch;
    enum service_config_class class;
    struct peer *peer;

    if (queue_min_share_due(&engine->queue) ||
        dispatch_free_slots(engine, entry) > 1 ||
        !upstream_may_pull(&engine->upstream, engine->now_us)) {
        return false;
    }
    if (engine->now_us < dispatch->hold_until_us) {
        return true;
    }
    peer = find_hold_peer(engine, entry, &class);
    if (peer == NULL) {
        return false;
    }
    pull_waiting(engine, peer, class, 1);
    dispatch->local_starts = 0;
    dispatch->hold_until_us = engine->now_us + HOLD_US;
    return true;
}

static uint64_t
place(struct engine *engine, struct entry *entry)
{
    const struct peer *slot_advert = find_slot_advert(engine, entry);
    unsigned load = upstream_load(&engine->upstream, engine->now_us);

    if (dispatch_free_slots(engine, entry) == 0 ||
        admit_local_too_slow(engine, entry)) {
        return slot_advert != NULL ? slot_advert->id : 0;
    }
    if (slot_advert != NULL &&
        load > (unsigned)slot_advert->load + BALANCE_MARGIN) {
        return slot_advert->id;
    }
    if (hold_slot(engine, entry)) {
        return 0;
    }
    engine->dispatch.local_starts++;
    return engine->self;
}

/* Picks a random busier peer, weighted by its load above @own, and sets
 * @count to the number of busier peers. */
static struct peer *
find_busier(struct engine *engine, unsigned own, unsigned *count)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, engine->upstream.service);
    struct peer *chosen = NULL;
    double sum = 0;

    *count = 0;
    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);
        double above = (double)peer->load - own - BALANCE_MARGIN;

        if (peer->load_at_us == 0 || above <= 0 ||
            peer->health != MEMBER_ALIVE ||
            engine->now_us >= peer->load_at_us + PEERS_LOAD_FRESH_US) {
            continue;
        }
        (*count)++;
        sum += above;
        if (g_rand_double(engine->random) * sum < above) {
            chosen = peer;
        }
    }
    return chosen;
}

/* Spaces adverts so that all idle agents together reach a busy peer about
 * once in SLOT_ADVERT_SPACING_US. */
static uint64_t
slot_advert_spacing_us(const struct engine *engine, unsigned busier)
{
    const GPtrArray *list =
        peers_of_service(&engine->peers, engine->upstream.service);

    return SLOT_ADVERT_SPACING_US * list->len / busier;
}

static void
advertise_slot_for_balance(struct engine *engine)
{
    struct dispatch *dispatch = &engine->dispatch;
    unsigned own = upstream_load(&engine->upstream, engine->now_us);
    unsigned busier;
    struct peer *peer;

    if (engine->now_us <
        dispatch->slot_advert_at_us + dispatch->slot_advert_interval_us) {
        return;
    }
    peer = find_busier(engine, own, &busier);
    if (peer == NULL ||
        engine->now_us < dispatch->slot_advert_at_us +
                             slot_advert_spacing_us(engine, busier)) {
        return;
    }
    dispatch->slot_advert_interval_us =
        CLAMP(2 * dispatch->slot_advert_interval_us, SLOT_ADVERT_INTERVAL_US,
              SLOT_ADVERT_INTERVAL_MAX_US);
    dispatch->slot_advert_at_us = engine->now_us;
    send_pull(engine, peer, 1);
}

static void
pull_for_free_slots(struct engine *engine)
{
    struct dispatch *dispatch = &engine->dispatch;
    unsigned free_slots = upstream_free_slots(
        &engine->upstream, engine->upstream.service, engine->now_us);
    struct peer *peer;

    if (engine->now_us >= dispatch->pulled_at_us + PULL_TIMEOUT_US) {
        dispatch->slots_requested = 0;
    }
    if (free_slots <= dispatch->slots_requested || engine->stopping ||
        !upstream_may_pull(&engine->upstream, engine->now_us)) {
        return;
    }
    free_slots -= dispatch->slots_requested;
    for (int class = SERVICE_CONFIG_URGENT; class <= SERVICE_CONFIG_ORDINARY;
         class ++) {
        peer = find_waiting(engine, class);
        if (peer != NULL) {
            pull_waiting(engine, peer, class, free_slots);
            return;
        }
    }
    advertise_slot_for_balance(engine);
}

static void
report_to_random_peers(struct engine *engine, uint32_t service, unsigned count)
{
    const GPtrArray *list = peers_of_service(&engine->peers, service);
    guint from;

    if (list->len == 0) {
        return;
    }
    from = (guint)g_rand_int_range(engine->random, 0, (gint32)list->len);
    for (guint i = 0; i < list->len && count > 0; i++) {
        struct peer *peer = g_ptr_array_index(list, (from + i) % list->len);

        if (peer->health == MEMBER_ALIVE) {
            dispatch_send_status(engine, peer);
            count--;
        }
    }
}

static bool
has_new_waiting(const struct engine *engine)
{
    const unsigned *count = engine->queue.count;
    const unsigned *announced = engine->dispatch.announced;

    return (count[SERVICE_CONFIG_URGENT] > 0 &&
            announced[SERVICE_CONFIG_URGENT] == 0) ||
           (count[SERVICE_CONFIG_ORDINARY] > 0 &&
            announced[SERVICE_CONFIG_ORDINARY] == 0);
}

static void
announce(struct engine *engine)
{
    struct dispatch *dispatch = &engine->dispatch;
    const struct entry *first = engine->queue.head[SERVICE_CONFIG_URGENT];
    bool has_new = has_new_waiting(engine);
    bool lacks_upstream;

    if (queue_total(&engine->queue) == 0) {
        dispatch->announced[SERVICE_CONFIG_URGENT] = 0;
        dispatch->announced[SERVICE_CONFIG_ORDINARY] = 0;
        dispatch->announce_gap_us = ANNOUNCE_GAP_US;
        return;
    }
    if (engine->now_us < dispatch->announced_at_us + ANNOUNCE_MIN_US ||
        (!has_new && engine->now_us < dispatch->announce_at_us)) {
        return;
    }
    first =
        first != NULL ? first : engine->queue.head[SERVICE_CONFIG_ORDINARY];
    lacks_upstream =
        !upstream_serves(&engine->upstream, first->request.service);
    report_to_random_peers(engine, first->request.service,
                           lacks_upstream ? ANNOUNCE_PEERS_NO_UPSTREAM
                                          : ANNOUNCE_PEERS);
    dispatch->announced[SERVICE_CONFIG_URGENT] =
        engine->queue.count[SERVICE_CONFIG_URGENT];
    dispatch->announced[SERVICE_CONFIG_ORDINARY] =
        engine->queue.count[SERVICE_CONFIG_ORDINARY];
    dispatch->announce_gap_us =
        MIN(2 * dispatch->announce_gap_us, ANNOUNCE_GAP_MAX_US);
    dispatch->announced_at_us = engine->now_us;
    dispatch->announce_at_us = engine->now_us + dispatch->announce_gap_us;
}

static void
after_dispatch(struct engine *engine)
{
    announce(engine);
    pull_for_free_slots(engine);
    if (engine->now_us >= engine->dispatch.load_report_at_us) {
        engine->dispatch.load_report_at_us =
            engine->now_us + LOAD_REPORT_INTERVAL_US;
        report_to_random_peers(engine, engine->upstream.service,
                               LOAD_REPORT_PEERS);
    }
}

/* A PULL also advertises slots. If nothing is queued here, a STATUS
 * makes the sender of the PULL release the slot it holds. */
static void
on_report(struct engine *engine, struct peer *peer,
          const struct engine_peer_msg *msg)
{
    struct dispatch *dispatch = &engine->dispatch;

    if (msg->type == ENGINE_PEER_DONE) {
        peer->slot_advert = 1;
        peer->slot_advert_until_us = engine->now_us + SLOT_ADVERT_TTL_US;
        return;
    }
    if (msg->type == ENGINE_PEER_PULL) {
        peer->slot_advert = msg->free_slots;
        peer->slot_advert_until_us = engine->now_us + SLOT_ADVERT_TTL_US;
        dispatch->announce_gap_us = ANNOUNCE_GAP_US;
        if (queue_total(&engine->queue) == 0 &&
            engine->now_us < peer->status_sent_us + ANNOUNCE_GAP_MAX_US) {
            dispatch_send_status(engine, peer);
        }
        return;
    }
    if (msg->waiting[SERVICE_CONFIG_URGENT] == 0) {
        dispatch->hold_until_us = 0;
    }
}

void
dispatch_on_remote_run(struct engine *engine)
{
    struct dispatch *dispatch = &engine->dispatch;

    dispatch->hold_until_us = 0;
    dispatch->slot_advert_interval_us = SLOT_ADVERT_INTERVAL_US;
    if (dispatch->slots_requested > 0) {
        dispatch->slots_requested--;
    }
}

const struct dispatch_ops dispatch_pull = {
    .name = "pull",
    .place = place,
    .after_dispatch = after_dispatch,
    .on_report = on_report,
};
