/**
 * DOC: agents - a balancer's table of agents, and its choice among them
 *
 * Agents come from the store's list and from the frames they send. The health
 * of an agent's endpoint comes only from the agent, with each reply. An agent
 * that doesn't reply becomes suspect: it gets no new flow while another agent
 * can take it, and is pinged until it replies.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_AGENTS_H
#define SWIFTARCH_RELAY_FORWARDER_AGENTS_H

#include <limits.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/addr.h"
#include "packet/rank.h"
#include "relay/forwarder/endpoint_level.h"
#include "relay/forwarder/region_affinity.h"
#include "relay/forwarder/round_trips.h"
#include "relay/overload/pressure.h"
#include "relay/wire/frame.h"
#include "relay/wire/packet.h"
#include "relay/wire/store_state.h"

#define AGENT_DATA_CENTRE_MAX 64

/**
 * struct agent_row - one agent
 * @addr: address at which it receives frames
 * @member: its id in rank_score(), derived from @addr
 * @data_centre: name of its data centre, empty when unknown
 * @data_centre_key: evacuations_key() of its data centre; the agent reports it
 *     too
 * @region: region_key() of the data centre's region, 0 when unknown
 * @evacuated: operators have taken its data centre out of service
 * @health: latest health it reported
 * @listed: it is in the store's list
 * @ever_listed: it has been in the store's list
 * @unlisted: it was in the store's list and has been removed
 * @disputed: its object in the store seems to be foreign
 * @disputed_service: service in that object, 0 if it can't be read
 * @suspect: it missed a reply
 * @silent_us: when the first unanswered frame was sent, 0 while not suspect
 * @down: it last reported that its endpoint's process isn't running
 * @reply_optional: the open orphan query doesn't wait for its reply: it was
 *     unreachable or down when the query was sent
 * @inconclusive: the orphan query has no usable reply from it: it is
 *     unreachable, or its endpoint is silent
 * @complete: it answered the last orphan query sent to it, with certainty for
 *     each flow
 * @partial: its last reply said that its endpoint may hold flows that it
 *     doesn't track
 * @queried: number of the last orphan query sent to it
 * @replied: number of the last orphan query that it answered
 * @heard_us: when its last frame arrived, 0 for never
 * @health_us: when @health arrived
 * @level: how many new flows it gets, with expected waits
 * @report: load of its endpoint, for pressure on its service
 * @sent: new flows sent to it since @health_us, in a short time
 * @sent_us: when the last of these was sent
 * @opened: new flows sent to it since @health_us, however long ago
 * @pinged_us: when it was last pinged, 0 for never
 * @ping_us: when the next ping is due, 0 for never
 * @ping_gap_us: interval between the next ping and the one after it
 * @key: key of @addr in agents.by_addr
 * @row_at: its index in agents.rows
 * @service_at: its index among the rows of its service
 * @ping_at: its index in agents.pinged, or -1
 */
struct agent_row {
    struct addr addr;
    uint64_t member;
    char data_centre[AGENT_DATA_CENTRE_MAX];
    uint32_t data_centre_key;
    uint32_t region;
    bool evacuated;
    struct frame_health health;
    bool listed;
    bool ever_listed;
    bool unlisted;
    bool disputed;
    uint32_t disputed_service;
    bool suspect;
    uint64_t silent_us;
    bool down;
    bool reply_optional;
    bool inconclusive;
    bool complete;
    bool partial;
    uint32_t queried;
    uint32_t replied;
    uint64_t heard_us;
    uint64_t health_us;
    struct endpoint_level level;
    struct pressure_report report;
    unsigned sent;
    uint64_t sent_us;
    unsigned opened;
    uint64_t pinged_us;
    uint64_t ping_us;
    uint64_t ping_gap_us;
    uint64_t key;
    unsigned row_at;
    unsigned service_at;
    int ping_at;
};

/**
 * struct agents - table of all agents
 *
 * Choosing an agent scans the rows of one service, and a tick scans the rows
 * with a scheduled ping, so that neither grows with the whole fleet.
 *
 * @rows: GPtrArray of struct agent_row, unordered
 * @by_addr: row by address
 * @by_service: GPtrArray of rows by service
 * @pinged: rows with a scheduled ping
 * @list_complete: the store's list has been read to its end
 * @additions: number of times an agent was added to a service
 * @expected_wait: place new flows by expected wait, where agents report load
 * @views: comparison of a service's endpoints, by service
 * @round_trips: round trips to the data centres
 * @own_data_centre: evacuations_key() of the balancer's data centre
 * @store: epoch of the store, and evacuated data centres
 * @regions: region of each data centre
 */
struct agents {
    GPtrArray *rows;
    GHashTable *by_addr;
    GHashTable *by_service;
    GPtrArray *pinged;
    bool list_complete;
    uint64_t additions;
    bool expected_wait;
    GHashTable *views;
    struct round_trips round_trips;
    uint32_t own_data_centre;
    struct store_state store;
    struct regions regions;
};

/* Agents in a choice: the first stop of a frame and the stops listed in it. */
#define AGENTS_CHOICE_MAX (FRAME_NEXT_MAX + 1)

/* Agents that relay which balancers read the store; two of them may fail at a
 * time. */
#define AGENTS_WITNESSES_MAX 3

/* Initial value of agents_ping_due()'s @left. */
#define AGENTS_ALL_PINGS UINT_MAX

/* Above all ranks: starts a lookup at the best-ranked agent. */
#define AGENTS_ALL UINT64_MAX

/**
 * struct agents_choice - agents for one packet, best first
 * @addrs: their addresses
 * @count: number of @addrs
 */
struct agents_choice {
    struct addr addrs[AGENTS_CHOICE_MAX];
    unsigned count;
};

/**
 * agents_init() - initialize an empty table; @data_centre is the balancer's
 */
void
agents_init(struct agents *agents, const char *data_centre);

/** agents_set_regions() - set the region of each data centre */
void
agents_set_regions(struct agents *agents, const struct regions *regions);

/** agents_finish() - free the rows */
void
agents_finish(struct agents *agents);

/** agent_is_known() - whether it is in the list or has been heard; else only
 * its address is known, from a foreign object */
bool
agent_is_known(const struct agent_row *row);

/**
 * agents_find() - row of an address, or NULL; valid until the row is removed
 */
struct agent_row *
agents_find(const struct agents *agents, struct addr addr);

/** agents_count() - number of agents */
size_t
agents_count(const struct agents *agents);

/** agents_at() - row by index; indices change when a row is removed */
struct agent_row *
agents_at(const struct agents *agents, size_t at);

/**
 * agents_list() - add or update an agent that is in the store's list
 * @service: hash of the service it belongs to
 * @data_centre: name of its data centre
 */
void
agents_list(struct agents *agents, struct addr addr, uint32_t service,
            const char *data_centre, uint64_t now_us);

/**
 * agents_unlist() - mark an agent as absent from the store's list
 *
 * An agent that was listed before is notified by its next ping. One that never
 * was isn't: its object may not be written yet, or the list may be older than
 * the object.
 *
 * The row is removed once the agent has been silent for seconds. When its
 * endpoint has ended, the row stays for a minute, so that callers of its flows
 * can be reset.
 */
void
agents_unlist(struct agents *agents, struct addr addr, uint64_t now_us);

/**
 * agents_dispute() - an agent's object seems to be foreign
 * @service: service in the object, 0 if it can't be read
 *
 * What is known of the agent holds, and its own reports decide on its service.
 * Its next pings notify it, so that it writes its object again. An agent that
 * isn't known yet is pinged too.
 */
void
agents_dispute(struct agents *agents, struct addr addr, uint32_t service,
               uint64_t now_us);

/**
 * agents_list_complete() - the store's list has been read to its end: from now
 * on unlisted agents get new flows only if no listed agent can take them, so
 * that other balancers find the holder of each flow in the list
 */
void
agents_list_complete(struct agents *agents);

/**
 * agents_evacuate() - update the set of evacuated data centres
 * @ping: ping all agents in evacuated data centres at once, as this balancer
 *     may be the first to read the change; agents of data centres that were
 *     evacuated already are pinged too, as they may have received a different
 *     state in between
 *
 * Return: whether the set has changed.
 */
bool
agents_evacuate(struct agents *agents, const struct evacuations *reported,
                bool ping, uint64_t now_us);

/**
 * agents_tick() - update evacuations when the time limits of struct
 * store_state pass
 */
void
agents_tick(struct agents *agents, uint64_t now_us);

/**
 * agents_all_evacuated() - whether a service has evacuated agents in the
 * regions of @region_affinity, and no others there except gone ones
 */
bool
agents_all_evacuated(const struct agents *agents, uint32_t service,
                     const struct region_affinity *region_affinity);

/**
 * agents_update_health() - record the health in an agent's frame; adds the
 * agent if necessary. The store's list overrides the service that the agent
 * reports.
 */
void
agents_update_health(struct agents *agents, struct addr addr,
                     const struct frame_health *health, uint64_t now_us);

/**
 * struct agents_observer - receiver of changes of level
 * @level_changed: an endpoint's level has changed; @median_us: median service
 *     time of its service, 0 if unknown
 * @data: for @level_changed
 */
struct agents_observer {
    void (*level_changed)(void *data, const struct agent_row *row,
                          uint64_t median_us);
    void *data;
};

/**
 * agents_update_levels() - set the levels of the endpoints of an agent's
 * service, after a frame of that agent; does nothing unless it reports load
 */
void
agents_update_levels(struct agents *agents, struct addr addr,
                     const struct agents_observer *observer, uint64_t now_us);

/** agents_add_rtt() - add the time that an agent took to reply to a SYN */
void
agents_add_rtt(struct agents *agents, struct addr addr, uint64_t rtt_us);

/** agents_wait_us() - expected wait of a new flow at an agent, in microseconds
 */
uint64_t
agents_wait_us(const struct agents *agents, const struct agent_row *row,
               uint64_t now_us);

/** agents_mark_alive() - record a frame that carries no health */
void
agents_mark_alive(struct agents *agents, struct agent_row *row,
                  uint64_t now_us);

/**
 * agents_mark_unanswered() - mark an agent suspect unless a frame arrived from
 * it after @sent_us
 */
void
agents_mark_unanswered(struct agents *agents, struct addr addr,
                       uint64_t sent_us, uint64_t now_us);

/** agents_sent() - count a new flow sent to an agent */
void
agents_sent(struct agents *agents, struct addr addr, uint64_t now_us);

/**
 * agents_ping_due() - next agent to ping now
 * @left: rows still to be checked in this tick; AGENTS_ALL_PINGS at first
 * @addr: set to its address
 * @unlisted: set to whether the ping must notify the agent that it was removed
 *     from the store's list, or its object replaced
 *
 * Also removes rows of unlisted agents that have been silent for long.
 *
 * Return: false when no ping is due.
 */
bool
agents_ping_due(struct agents *agents, unsigned *left, uint64_t now_us,
                struct addr *addr, bool *unlisted);

/** agents_next_ping_us() - when the next ping is due, UINT64_MAX for never */
uint64_t
agents_next_ping_us(const struct agents *agents);

/**
 * agents_for_new() - agents that may take a new flow in the regions of
 * @region_affinity, best first; only agents of the best available tier
 */
void
agents_for_new(const struct agents *agents, uint32_t service,
               const struct region_affinity *region_affinity, uint64_t hash,
               uint64_t now_us, struct agents_choice *choice);

/**
 * agents_for_established() - agents that may hold an established flow, best
 * rank first
 *
 * Agents whose endpoints may hold flows that they don't track are always
 * included, as they can't answer an orphan query with certainty.
 *
 * @region_affinity: regions in which the flow can have been opened
 * @denied: an orphan query for the flow found no holder: agents that answered
 *     it with certainty are left out
 * @below: only agents that rank below this, AGENTS_ALL for all; set to the
 *     rank of the last agent of @choice
 *
 * Return: false when there are none.
 */
bool
agents_for_established(const struct agents *agents, uint32_t service,
                       const struct region_affinity *region_affinity,
                       uint64_t hash, bool denied, uint64_t *below,
                       struct agents_choice *choice);

/**
 * agents_of_service() - rows of a service, or NULL; valid until a row is added
 * or removed
 */
const GPtrArray *
agents_of_service(const struct agents *agents, uint32_t service);

/**
 * agents_next_service() - the service with agents whose hash follows @service,
 * wrapping to the lowest; skips @excluded, and returns it when there is no
 * other
 */
uint32_t
agents_next_service(const struct agents *agents, uint32_t service,
                    uint32_t excluded);

/**
 * agent_is_unreachable() - whether an agent has been silent for too long for
 * its reply to reach a caller in time
 */
bool
agent_is_unreachable(const struct agent_row *row, uint64_t now_us);

/**
 * agents_witnesses() - agents that relay which balancers read the store
 *
 * All balancers of a data centre choose the same few, as far as they have the
 * same agents and the same suspects.
 */
void
agents_witnesses(const struct agents *agents, struct agents_choice *choice);

/**
 * agents_pressure() - pressure on the agents that may take a new flow of
 * @service in the regions of @region_affinity
 */
void
agents_pressure(const struct agents *agents, uint32_t service,
                const struct region_affinity *region_affinity, uint64_t now_us,
                struct pressure *pressure);

/** agents_can_serve() - whether an agent may take a new flow of @service */
bool
agents_can_serve(const struct agents *agents, uint32_t service);

#endif
