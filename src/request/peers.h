/**
 * DOC: peers - state of the other agents
 *
 * Combines the membership view, which lags by seconds, with reports in engine
 * messages. Passive health overrides both.
 */
#ifndef SWIFTARCH_REQUEST_PEERS_H
#define SWIFTARCH_REQUEST_PEERS_H

#include <glib.h>

#include "control/view.h"
#include "request/engine.h"
#include "request/health.h"

#define PEERS_LOAD_FRESH_US (10 * USEC_PER_SEC)

/**
 * struct peer - another agent
 * @id: member id
 * @service: service of its upstream
 * @state: announced state
 * @health: health by membership
 * @slots: slots of its upstream
 * @view_busy: busy slots in the view
 * @view_waiting: queued requests in the view
 * @load: reported busy share of its slot time, per mille
 * @load_at_us: time of that report, 0 if none
 * @waiting: reported queued requests by class
 * @waiting_at_us: time of that report
 * @in_flight: policy probe: reported busy slots and queued requests
 * @in_flight_at_us: time of that report, 0 if none or used
 * @slot_advert: slots it advertised for our requests
 * @slot_advert_until_us: expiry of the advert
 * @status_sent_us: time of our last STATUS to it
 * @sent: our requests in progress there
 * @declines: consecutive requests it declined
 * @declined_until_us: gets no requests until then, after a decline
 * @passive_health: health by the outcome of our requests
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
 * struct peers - all other agents
 * @by_id: struct peer by member id
 * @by_service: GPtrArray of struct peer, in order of id, by service
 * @ever_working: services that have had a working agent
 */
struct peers {
    GHashTable *by_id;
    GHashTable *by_service;
    GHashTable *ever_working;
};

/** peers_init() - initialise without peers */
void
peers_init(struct peers *peers);

/** peers_finish() - free all peers */
void
peers_finish(struct peers *peers);

/**
 * peers_set_view() - apply a new membership view
 * @gone: receives the ids (uint64_t) of members that left or died
 */
void
peers_set_view(struct peers *peers, const struct view *view, uint64_t self,
               GArray *gone);

/** peers_find() - look up a peer, or NULL */
struct peer *
peers_find(const struct peers *peers, uint64_t id);

/** peers_of_service() - peers of @service, possibly an empty list */
const GPtrArray *
peers_of_service(const struct peers *peers, uint32_t service);

/** peers_working() - whether any peer of @service accepts work */
bool
peers_working(const struct peers *peers, uint32_t service);

/** peers_lost_service() - whether @service had working agents and has none
 * now */
bool
peers_lost_service(const struct peers *peers, uint32_t service);

/** peer_accepts() - whether @peer may be sent requests now */
bool
peer_accepts(const struct peer *peer, uint64_t now_us);

/** peer_idle_slots() - idle slots of @peer by its reported load */
double
peer_idle_slots(const struct peer *peer);

/** peer_has_waiting() - whether @peer recently reported queued requests of
 * @class */
bool
peer_has_waiting(const struct peer *peer, enum service_config_class class,
                 uint64_t now_us);

/** peer_answered() - record an answer of @peer after @took_us */
void
peer_answered(struct peer *peer, uint64_t took_us);

/** peer_declined() - record that @peer had no slot; backs off longer each
 * time */
void
peer_declined(struct peer *peer, uint64_t now_us);

/** peer_failed() - record that @peer lost a request; ejects it unless too
 * many peers are ejected */
void
peer_failed(struct peers *peers, struct peer *peer, uint64_t now_us);

#endif
