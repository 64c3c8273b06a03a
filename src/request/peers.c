#include "request/peers.h"

#define WAITING_FRESH_US USEC_PER_SEC
#define DECLINED_FIRST_US (2 * USEC_PER_MSEC)
#define DECLINED_DOUBLINGS 8
#define EJECTED_DIVISOR 3 /* ejects at most a third of the agents */
#define FULL_LOAD 1000.0  /* per mille */

static gpointer
service_key(uint32_t service)
{
    return GUINT_TO_POINTER(service);
}

static bool
peer_working(const struct peer *peer)
{
    return peer->health != MEMBER_DEAD &&
           (peer->state == MEMBER_READY || peer->state == MEMBER_WARMING);
}

static void
list_free(gpointer list)
{
    g_ptr_array_free(list, TRUE);
}

void
peers_init(struct peers *peers)
{
    peers->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    peers->by_service = g_hash_table_new_full(NULL, NULL, NULL, list_free);
    peers->ever_working = g_hash_table_new(NULL, NULL);
}

void
peers_finish(struct peers *peers)
{
    g_hash_table_destroy(peers->by_service);
    g_hash_table_destroy(peers->by_id);
    g_hash_table_destroy(peers->ever_working);
}

static bool
is_peer(const struct view_member *member, uint64_t self)
{
    return member->role == MEMBER_AGENT && member->id != self &&
           member->service != 0 && member->health != MEMBER_DEAD;
}

static void
update_peer(struct peers *peers, const struct view_member *member)
{
    struct peer *peer = peers_find(peers, member->id);

    if (peer == NULL) {
        peer = g_new0(struct peer, 1);
        peer->id = member->id;
        g_hash_table_insert(peers->by_id, &peer->id, peer);
    }
    peer->service = member->service;
    peer->state = member->state;
    peer->health = member->health;
    peer->slots = member->slots;
    peer->view_busy = member->busy;
    peer->view_waiting = member->waiting;
}

static void
list_by_service(struct peers *peers, struct peer *peer)
{
    gpointer key = service_key(peer->service);
    GPtrArray *list = g_hash_table_lookup(peers->by_service, key);

    if (list == NULL) {
        list = g_ptr_array_new();
        g_hash_table_insert(peers->by_service, key, list);
    }
    g_ptr_array_add(list, peer);
    if (peer_working(peer)) {
        g_hash_table_add(peers->ever_working, key);
    }
}

static void
remove_gone(struct peers *peers, const struct view *view, uint64_t self,
            GArray *gone)
{
    GHashTable *present = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter iter;
    gpointer value;

    for (size_t i = 0; i < view->count; i++) {
        if (is_peer(&view->members[i], self)) {
            g_hash_table_add(present, (gpointer)&view->members[i].id);
        }
    }
    g_hash_table_iter_init(&iter, peers->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer *peer = value;

        if (!g_hash_table_contains(present, &peer->id)) {
            g_array_append_val(gone, peer->id);
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_destroy(present);
}

void
peers_set_view(struct peers *peers, const struct view *view, uint64_t self,
               GArray *gone)
{
    g_hash_table_remove_all(peers->by_service);
    remove_gone(peers, view, self, gone);
    for (size_t i = 0; i < view->count; i++) {
        const struct view_member *member = &view->members[i];

        if (is_peer(member, self)) {
            update_peer(peers, member);
            list_by_service(peers, peers_find(peers, member->id));
        }
    }
}

struct peer *
peers_find(const struct peers *peers, uint64_t id)
{
    return g_hash_table_lookup(peers->by_id, &id);
}

const GPtrArray *
peers_of_service(const struct peers *peers, uint32_t service)
{
    static const GPtrArray empty = {0};
    const GPtrArray *list =
        g_hash_table_lookup(peers->by_service, service_key(service));

    return list != NULL ? list : &empty;
}

bool
peers_working(const struct peers *peers, uint32_t service)
{
    const GPtrArray *list = peers_of_service(peers, service);

    for (guint i = 0; i < list->len; i++) {
        if (peer_working(g_ptr_array_index(list, i))) {
            return true;
        }
    }
    return false;
}

bool
peers_lost_service(const struct peers *peers, uint32_t service)
{
    return g_hash_table_contains(peers->ever_working, service_key(service)) &&
           !peers_working(peers, service);
}

bool
peer_accepts(const struct peer *peer, uint64_t now_us)
{
    return peer_working(peer) && peer->health == MEMBER_ALIVE &&
           now_us >= peer->declined_until_us &&
           !health_is_ejected(&peer->passive_health, now_us) &&
           !(peer->passive_health.trial && peer->sent > 0);
}

double
peer_idle_slots(const struct peer *peer)
{
    return peer->slots * (1.0 - peer->load / FULL_LOAD);
}

bool
peer_has_waiting(const struct peer *peer, enum service_config_class class,
                 uint64_t now_us)
{
    return peer->waiting[class] > 0 && peer->health == MEMBER_ALIVE &&
           now_us < peer->waiting_at_us + WAITING_FRESH_US;
}

void
peer_answered(struct peer *peer, uint64_t took_us)
{
    peer->declines = 0;
    health_answered(&peer->passive_health, took_us);
}

void
peer_declined(struct peer *peer, uint64_t now_us)
{
    unsigned doublings = MIN(peer->declines, DECLINED_DOUBLINGS);

    peer->declines++;
    peer->declined_until_us = now_us + (DECLINED_FIRST_US << doublings);
    peer->slot_advert = 0;
}

static unsigned
count_ejected(const GPtrArray *list, uint64_t now_us)
{
    unsigned n = 0;

    for (guint i = 0; i < list->len; i++) {
        const struct peer *peer = g_ptr_array_index(list, i);

        n += health_is_ejected(&peer->passive_health, now_us) ? 1 : 0;
    }
    return n;
}

void
peer_failed(struct peers *peers, struct peer *peer, uint64_t now_us)
{
    const GPtrArray *list = peers_of_service(peers, peer->service);

    if (!health_failed(&peer->passive_health)) {
        return;
    }
    if ((count_ejected(list, now_us) + 1) * EJECTED_DIVISOR <= list->len + 1) {
        health_eject(&peer->passive_health, now_us);
    }
}
