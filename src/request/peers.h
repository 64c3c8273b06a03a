/**
 * DOC: peers - the other agents, from the view and from their messages
 *
 * The view lags by seconds; messages between engines are fresh. What
 * passive_health shows of a peer goes before both.
 */
#ifndef SWIFTARCH_REQUEST_PEERS_H
#define SWIFTARCH_REQUEST_PEERS_H

#include <glib.h>

#include "control/view.h"
#include "request/engine.h"
#include "request/health.h"

#define PEERS_LOAD_FRESH_US (10 * USEC_PER_SEC)

/**
 * struct peer - one other agent
 * @id: member id
 * @service: service of its upstream
 * @state: as announced
 * @health: as judged by the membership
 * @slots: of its upstream
 * @view_busy: busy slots by the view, late
 * @view_waiting: waiting requests by the view, late
 * @load: per mille of slot time busy, as it said
 * @load_at_us: when it said so, 0: never
 * @waiting: urgent and ordinary requests waiting there, as it said
 * @waiting_at_us: when it said so
 * @in_flight: PROBE: busy and waiting there, as it said
 * @in_flight_at_us: when it said so, 0: never or used up
 * @slot_advert: slots it offered to run our requests on
 * @slot_advert_until_us: when the slot_advert lapses
 * @status_sent_us: when we last told it our status
 * @sent: our requests that it has now
 * @declines: requests it declined in a row
 * @declined_until_us: it gets nothing before, it had no slot
 * @passive_health: what passive_health shows of it
 */
struct peer {
    uint64_t id;
    uint32_t service;
    enum member_state state;
    enum member_health health;
    uint16_t slots;
    uint16_t view_busy;
    uint16_t view_waiting;
    uint16_t load;
    uint64_t load_at_us;
    uint16_t waiting[2];
    uint64_t waiting_at_us;
    unsigned in_flight;
    uint64_t in_flight_at_us;
    unsigned slot_advert;
    uint64_t slot_advert_until_us;
    uint64_t status_sent_us;
    unsigned sent;
    unsigned declines;
    uint64_t declined_until_us;
    struct health passive_health;
};

/**
 * struct peers - all agents but this one
 * @by_id: struct peer by member id
 * @by_service: GPtrArray of struct peer, in order of id, by service
 * @ever_working: services that had a working agent once
 */
struct peers {
    GHashTable *by_id;
    GHashTable *by_service;
    GHashTable *ever_working;
};

/** peers_init() - nobody */
void
peers_init(struct peers *peers);

/** peers_finish() - free */
void
peers_finish(struct peers *peers);

/**
 * peers_set_view() - take over a view
 * @gone: ids of members that left or died are appended (uint64_t)
 */
void
peers_set_view(struct peers *peers, const struct view *view, uint64_t self,
               GArray *gone);

/** peers_find() - peer or NULL */
struct peer *
peers_find(const struct peers *peers, uint64_t id);

/** peers_of_service() - peers of @service; an empty list when there are none
 */
const GPtrArray *
peers_of_service(const struct peers *peers, uint32_t service);

/** peers_working() - whether any peer of @service takes work */
bool
peers_working(const struct peers *peers, uint32_t service);

/** peers_lost_service() - @service had working agents and has none now */
bool
peers_lost_service(const struct peers *peers, uint32_t service);

/** peer_accepts() - whether @peer may be sent work at all now */
bool
peer_accepts(const struct peer *peer, uint64_t now_us);

/** peer_idle_slots() - slots of @peer that were idle lately, by its load */
double
peer_idle_slots(const struct peer *peer);

/** peer_has_waiting() - @peer said lately that requests of @class wait */
bool
peer_has_waiting(const struct peer *peer, enum text_class class,
                 uint64_t now_us);

/** peer_answered() - a request sent to @peer was answered after @took_us */
void
peer_answered(struct peer *peer, uint64_t took_us);

/** peer_declined() - @peer had no slot for a request; what it reported
 * counts for less each time */
void
peer_declined(struct peer *peer, uint64_t now_us);

/** peer_failed() - @peer lost a request; shunned unless too many are */
void
peer_failed(struct peers *peers, struct peer *peer, uint64_t now_us);

#endif
