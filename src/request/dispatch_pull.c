/**
 * DOC: dispatch_pull - agents with free slots ask for waiting requests
 *
 * An agent where requests wait tells a few random peers, more rarely while
 * nobody comes. One with a free slot and no work asks those that told it,
 * urgent first. One that has been less busy than its peers offers a free
 * slot to a busier one, which sends it a request even when it could run it
 * itself: so slot time evens out, not only queues. Offers grow rare while
 * none is taken, and the rate that reaches one busy agent is bounded,
 * however many are idle.
 *
 * A slot about to take an ordinary request while a peer is known to have
 * urgent ones waiting is held for the answer to one PULL, at most
 * HOLD_US; so is one in turn for a peer that has no upstream of its own.
 */
#include "request/dispatch.h"

#include "request/admit.h"

#define ANNOUNCE_PEERS 2
#define ANNOUNCE_PEERS_HOMELESS 6
#define ANNOUNCE_MIN_US (5 * USEC_PER_MSEC)
#define ANNOUNCE_GAP_US (20 * USEC_PER_MSEC)
#define ANNOUNCE_GAP_MAX_US (320 * USEC_PER_MSEC)
#define ASK_TIMEOUT_US (4 * USEC_PER_MSEC)
#define OFFER_KEEP_US (200 * USEC_PER_MSEC)
#define OFFER_GAP_US (50 * USEC_PER_MSEC)
#define OFFER_GAP_MAX_US (1600 * USEC_PER_MSEC)
#define OFFER_SHARE_US (25 * USEC_PER_MSEC)
#define BEAT_PEERS 3
#define BEAT_US USEC_PER_SEC
#define HOLD_US (4 * USEC_PER_MSEC)
#define BALANCE_MARGIN 20

static bool
has_offer(const struct engine *engine, const struct entry *entry,
          const struct peer *peer)
{
    return peer->offer > 0 && engine->now_us < peer->offer_until_us &&
           dispatch_may_go(engine, entry, peer);
}

/* The least busy of those that offered a slot. */
static struct peer *
find_offer(const struct engine *engine, const struct entry *entry)
{
    const GPtrArray *list = peers_of(&engine->peers, entry->request.service);
    struct peer *best = NULL;

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);

        if (has_offer(engine, entry, peer) &&
            (best == NULL || peer->load < best->load)) {
            best = peer;
        }
    }
    return best;
}

static void
ask(struct engine *engine, struct peer *peer, unsigned free_slots)
{
    struct engine_action *action;

    action = engine_send(engine, peer->id, ENGINE_PEER_PULL, NULL);
    action->msg.free_slots = (uint16_t)free_slots;
    engine->dispatch.asked += free_slots;
    engine->dispatch.asked_at_us = engine->now_us;
}

/* Some peer where requests of @class wait, as it said lately. */
static struct peer *
find_waiting(struct engine *engine, enum text_class class)
{
    const GPtrArray *list = peers_of(&engine->peers, engine->upstream.service);
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
ask_waiting(struct engine *engine, struct peer *peer, enum text_class class,
            unsigned free_slots)
{
    unsigned wanted = MIN(free_slots, peer->waiting[class]);

    peer->waiting[class] = (uint16_t)(peer->waiting[class] - wanted);
    ask(engine, peer, wanted);
}

/* Some peer that takes requests but has no upstream to run them on. */
static struct peer *
find_homeless(struct engine *engine)
{
    const GPtrArray *list = peers_of(&engine->peers, engine->upstream.service);
    struct peer *chosen = NULL;
    int seen = 0;

    for (guint i = 0; i < list->len; i++) {
        struct peer *peer = g_ptr_array_index(list, i);
        bool leaves =
            peer->state == MEMBER_DRAINING || peer->state == MEMBER_LEAVING;

        if (leaves &&
            (peer_has_waiting(peer, TEXT_URGENT, engine->now_us) ||
             peer_has_waiting(peer, TEXT_ORDINARY, engine->now_us)) &&
            g_rand_int_range(engine->random, 0, ++seen) == 0) {
            chosen = peer;
        }
    }
    return chosen;
}

static struct peer *
find_to_hold_for(struct engine *engine, const struct entry *entry,
                 enum text_class *class)
{
    const GPtrArray *list = peers_of(&engine->peers, engine->upstream.service);
    struct peer *peer;

    *class = TEXT_URGENT;
    if (entry->request.class == TEXT_ORDINARY) {
        peer = find_waiting(engine, TEXT_URGENT);
        if (peer != NULL) {
            return peer;
        }
    }
    if (engine->dispatch.own_starts < list->len) {
        return NULL;
    }
    peer = find_homeless(engine);
    if (peer != NULL && peer->waiting[TEXT_URGENT] == 0) {
        *class = TEXT_ORDINARY;
    }
    return peer;
}

/* Keep the last free slot for work of a peer instead of starting @entry;
 * true while it is kept. */
static bool
hold_slot(struct engine *engine, const struct entry *entry)
{
    struct dispatch *dispatch = &engine->dispatch;
    enum text_class class;
    struct peer *peer;

    if (queue_floor_due(&engine->queue) || dispatch_free(engine, entry) > 1 ||
        !upstream_attracts(&engine->upstream, engine->now_us)) {
        return false;
    }
    if (engine->now_us < dispatch->hold_until_us) {
        return true;
    }
    peer = find_to_hold_for(engine, entry, &class);
    if (peer == NULL) {
        return false;
    }
    ask_waiting(engine, peer, class, 1);
    dispatch->own_starts = 0;
    dispatch->hold_until_us = engine->now_us + HOLD_US;
    return true;
}

static uint64_t
place(struct engine *engine, struct entry *entry)
{
    const struct peer *offer = find_offer(engine, entry);
    unsigned load = upstream_load(&engine->upstream, engine->now_us);

    if (dispatch_free(engine, entry) == 0 ||
        admit_too_slow_here(engine, entry)) {
        return offer != NULL ? offer->id : 0;
    }
    if (offer != NULL && load > (unsigned)offer->load + BALANCE_MARGIN) {
        return offer->id;
    }
    if (hold_slot(engine, entry)) {
        return 0;
    }
    engine->dispatch.own_starts++;
    return engine->self;
}

/* A peer clearly busier than @own, the likelier the busier it is; @count of
 * them are. */
static struct peer *
find_busier(struct engine *engine, unsigned own, unsigned *count)
{
    const GPtrArray *list = peers_of(&engine->peers, engine->upstream.service);
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

/* All idle agents may ask the same few busier ones. If each leaves this much
 * time, a busier one is asked once in OFFER_SHARE_US by all of them. */
static uint64_t
offer_share_us(const struct engine *engine, unsigned busier)
{
    const GPtrArray *list = peers_of(&engine->peers, engine->upstream.service);

    return OFFER_SHARE_US * list->len / busier;
}

static void
offer_for_balance(struct engine *engine)
{
    struct dispatch *dispatch = &engine->dispatch;
    unsigned own = upstream_load(&engine->upstream, engine->now_us);
    unsigned busier;
    struct peer *peer;

    if (engine->now_us < dispatch->offered_at_us + dispatch->offer_gap_us) {
        return;
    }
    peer = find_busier(engine, own, &busier);
    if (peer == NULL || engine->now_us < dispatch->offered_at_us +
                                             offer_share_us(engine, busier)) {
        return;
    }
    dispatch->offer_gap_us =
        CLAMP(2 * dispatch->offer_gap_us, OFFER_GAP_US, OFFER_GAP_MAX_US);
    dispatch->offered_at_us = engine->now_us;
    ask(engine, peer, 1);
}

static void
use_free_slots(struct engine *engine)
{
    struct dispatch *dispatch = &engine->dispatch;
    unsigned free_slots = upstream_free(
        &engine->upstream, engine->upstream.service, engine->now_us);
    struct peer *peer;

    if (engine->now_us >= dispatch->asked_at_us + ASK_TIMEOUT_US) {
        dispatch->asked = 0;
    }
    if (free_slots <= dispatch->asked || engine->stopping ||
        !upstream_attracts(&engine->upstream, engine->now_us)) {
        return;
    }
    free_slots -= dispatch->asked;
    for (int class = TEXT_URGENT; class <= TEXT_ORDINARY; class ++) {
        peer = find_waiting(engine, class);
        if (peer != NULL) {
            ask_waiting(engine, peer, class, free_slots);
            return;
        }
    }
    offer_for_balance(engine);
}

static void
tell_some(struct engine *engine, uint32_t service, unsigned count)
{
    const GPtrArray *list = peers_of(&engine->peers, service);
    guint from;

    if (list->len == 0) {
        return;
    }
    from = (guint)g_rand_int_range(engine->random, 0, (gint32)list->len);
    for (guint i = 0; i < list->len && count > 0; i++) {
        struct peer *peer = g_ptr_array_index(list, (from + i) % list->len);

        if (peer->health == MEMBER_ALIVE) {
            dispatch_status(engine, peer);
            count--;
        }
    }
}

static bool
is_news(const struct engine *engine)
{
    const unsigned *count = engine->queue.count;
    const unsigned *announced = engine->dispatch.announced;

    return (count[TEXT_URGENT] > 0 && announced[TEXT_URGENT] == 0) ||
           (count[TEXT_ORDINARY] > 0 && announced[TEXT_ORDINARY] == 0);
}

static void
announce(struct engine *engine)
{
    struct dispatch *dispatch = &engine->dispatch;
    const struct entry *first = engine->queue.head[TEXT_URGENT];
    bool news = is_news(engine);
    bool homeless;

    if (queue_total(&engine->queue) == 0) {
        dispatch->announced[TEXT_URGENT] = 0;
        dispatch->announced[TEXT_ORDINARY] = 0;
        dispatch->announce_gap_us = ANNOUNCE_GAP_US;
        return;
    }
    if (engine->now_us < dispatch->announced_at_us + ANNOUNCE_MIN_US ||
        (!news && engine->now_us < dispatch->announce_at_us)) {
        return;
    }
    first = first != NULL ? first : engine->queue.head[TEXT_ORDINARY];
    homeless = !upstream_serves(&engine->upstream, first->request.service);
    tell_some(engine, first->request.service,
              homeless ? ANNOUNCE_PEERS_HOMELESS : ANNOUNCE_PEERS);
    dispatch->announced[TEXT_URGENT] = engine->queue.count[TEXT_URGENT];
    dispatch->announced[TEXT_ORDINARY] = engine->queue.count[TEXT_ORDINARY];
    dispatch->announce_gap_us =
        MIN(2 * dispatch->announce_gap_us, ANNOUNCE_GAP_MAX_US);
    dispatch->announced_at_us = engine->now_us;
    dispatch->announce_at_us = engine->now_us + dispatch->announce_gap_us;
}

static void
settle(struct engine *engine)
{
    announce(engine);
    use_free_slots(engine);
    if (engine->now_us >= engine->dispatch.beat_at_us) {
        engine->dispatch.beat_at_us = engine->now_us + BEAT_US;
        tell_some(engine, engine->upstream.service, BEAT_PEERS);
    }
}

/* A PULL is an offer of slots; one that comes for work that is gone gets
 * told, so that it holds no slot in vain. */
static void
told(struct engine *engine, struct peer *peer,
     const struct engine_peer_msg *msg)
{
    struct dispatch *dispatch = &engine->dispatch;

    if (msg->type == ENGINE_PEER_DONE) {
        peer->offer = 1;
        peer->offer_until_us = engine->now_us + OFFER_KEEP_US;
        return;
    }
    if (msg->type == ENGINE_PEER_PULL) {
        peer->offer = msg->free_slots;
        peer->offer_until_us = engine->now_us + OFFER_KEEP_US;
        dispatch->announce_gap_us = ANNOUNCE_GAP_US;
        if (queue_total(&engine->queue) == 0 &&
            engine->now_us < peer->told_at_us + ANNOUNCE_GAP_MAX_US) {
            dispatch_status(engine, peer);
        }
        return;
    }
    if (msg->waiting[TEXT_URGENT] == 0) {
        dispatch->hold_until_us = 0;
    }
}

void
dispatch_taken(struct engine *engine)
{
    struct dispatch *dispatch = &engine->dispatch;

    dispatch->hold_until_us = 0;
    dispatch->offer_gap_us = OFFER_GAP_US;
    if (dispatch->asked > 0) {
        dispatch->asked--;
    }
}

const struct dispatch_ops dispatch_pull = {
    .name = "pull",
    .place = place,
    .settle = settle,
    .told = told,
};
