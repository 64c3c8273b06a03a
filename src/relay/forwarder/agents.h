/**
 * DOC: agents - what a balancer knows of the agents, and which it would ask
 *
 * Whether an agent exists comes from the platform's store or from the agent
 * itself; how its endpoint is comes only from the agent, with each answer.
 * An agent that doesn't answer is suspected: it gets no new flow while
 * another can take it, and is pinged until it replies.
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
#include "relay/forwarder/region_affinity.h"
#include "relay/wire/frame.h"
#include "relay/wire/packet.h"
#include "relay/wire/store_state.h"

#define AGENT_DATA_CENTRE_MAX 64

/**
 * struct agent_row - one agent
 * @addr: where it takes frames
 * @member: rank id, from @addr
 * @data_centre: where it stands, empty when not known
 * @data_centre_key: evacuations_key() of where it stands, which it says itself
 * too
 * @region: in which that lies, 0 when it isn't known
 * @evacuated: operators have taken that data centre out of service
 * @health: its own last word
 * @listed: the store names it
 * @ever_listed: the store ever_listed it once
 * @unlisted: the store ever_listed it once and doesn't any more
 * @suspect: it didn't answer when it should have
 * @silent_us: since when, 0 while it isn't suspected
 * @down: it said last that its endpoint's process isn't there
 * @reply_optional: its answer isn't waited for: it was out of reach when that
 * was queried, or had nothing to hold flows
 * @inconclusive: that question was left without an answer that says anything:
 * it was out of reach, or its endpoint is silent
 * @complete: its last answer to that question was for certain on each flow,
 * and it replied the last one that it was queried
 * @partial: it said then that its endpoint may hold flows that it doesn't know
 * @queried: last question about orphaned flows that it was queried
 * @replied: last one that it replied
 * @heard_us: last frame from it, 0 for never
 * @health_us: when @health was reported
 * @sent: flows sent to it since then
 * @sent_us: last of these
 * @pinged_us: last ping, 0 for never
 * @ping_us: when to ping it next, 0 for never
 * @ping_gap_us: pause before the ping after that
 * @key: of @addr
 * @row_at: data_centre_key among all rows
 * @service_at: data_centre_key among those of its service
 * @ping_at: data_centre_key among those to be pinged, or -1
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
    unsigned sent;
    uint64_t sent_us;
    uint64_t pinged_us;
    uint64_t ping_us;
    uint64_t ping_gap_us;
    uint64_t key;
    unsigned row_at;
    unsigned service_at;
    int ping_at;
};

/**
 * struct agents - all of them
 *
 * A choice looks at the agents of one service only, and a tick at those to be
 * pinged, so neither grows with the fleet.
 *
 * @rows: GPtrArray of struct agent_row, in no order
 * @by_addr: row of an address
 * @by_service: GPtrArray of the rows of a service
 * @pinged: rows that are to be pinged
 * @list_complete: the store's list was read to its end
 * @additions: how often an agent came to a service
 * @own_data_centre: evacuations_key() of where the balancer stands
 * @store: what is known of the store, and which data centres take no new flow
 * @regions: in which each data centre lies
 */
struct agents {
    GPtrArray *rows;
    GHashTable *by_addr;
    GHashTable *by_service;
    GPtrArray *pinged;
    bool list_complete;
    uint64_t additions;
    uint32_t own_data_centre;
    struct store_state store;
    struct regions regions;
};

/* Agents in a choice: as many as a frame and its first stop hold. */
#define AGENTS_CHOICE_MAX (FRAME_NEXT_MAX + 1)

/* Agents that pass on who reads the store: two may be dead or slow at a
 * time. */
#define AGENTS_WITNESSES_MAX 3

/* More than there can be to ping. */
#define AGENTS_ALL_PINGS UINT_MAX

/* Above all ranks: a search from the likeliest agent on. */
#define AGENTS_ALL UINT64_MAX

/**
 * struct agents_choice - agents for one packet, best first
 * @addrs: their addresses
 * @count: how many
 */
struct agents_choice {
    struct addr addrs[AGENTS_CHOICE_MAX];
    unsigned count;
};

/** agents_init() - none; @data_centre is the balancer's own */
void
agents_init(struct agents *agents, const char *data_centre);

/** agents_set_regions() - in which region each data centre lies */
void
agents_set_regions(struct agents *agents, const struct regions *regions);

/** agents_finish() - free the rows */
void
agents_finish(struct agents *agents);

/** agents_find() - row of an address or NULL; valid until it is removed */
struct agent_row *
agents_find(const struct agents *agents, struct addr addr);

/** agents_count() - how many are known */
size_t
agents_count(const struct agents *agents);

/** agents_at() - one of them, by data_centre_key; places change as rows go */
struct agent_row *
agents_at(const struct agents *agents, size_t at);

/**
 * agents_list() - the store names an agent
 * @data_centre: where it stands
 */
void
agents_list(struct agents *agents, struct addr addr, uint32_t service,
            const char *data_centre, uint64_t now_us);

/**
 * agents_unlist() - the store doesn't name it, or no more
 *
 * One that it ever_listed once is reported so. One that it never did may be
 * about to be written, or the list be older than its object.
 *
 * It stays until it has been silent for seconds; for a minute when its
 * endpoint has ended, so that callers of flows there can be reported.
 */
void
agents_unlist(struct agents *agents, struct addr addr, uint64_t now_us);

/** agents_list_complete() - the store's list was read to its end: new flows go
 * to agents in it from now on, so that whoever reads it later knows who may
 * hold them; to others only when there is nobody else */
void
agents_list_complete(struct agents *agents);

/**
 * agents_evacuate() - somebody reported which data centres are evacuated
 * @ping: tell the agents there at once: the caller may be the first to know.
 *        Also where nothing changed for it: others may have reported of a
 * state in between, and no balancer that knows better sends anything there
 *
 * Return: whether the set of evacuated data centres has changed.
 */
bool
agents_evacuate(struct agents *agents, const struct evacuations *reported,
                bool ping, uint64_t now_us);

/** agents_tick() - mind evacuations of an epoch of the store that has ended */
void
agents_tick(struct agents *agents, uint64_t now_us);

/** agents_all_evacuated() - whether a service has agents in @region_affinity,
 * excluded in evacuated data centres only */
bool
agents_all_evacuated(const struct agents *agents, uint32_t service,
                     const struct region_affinity *region_affinity);

/** agents_update_health() - a frame with its own word came from an agent; of
 * which service it is, the store says first */
void
agents_update_health(struct agents *agents, struct addr addr,
                     const struct frame_health *health, uint64_t now_us);

/** agents_mark_alive() - a frame without a word on its endpoint came from an
 * agent
 */
void
agents_mark_alive(struct agents *agents, struct agent_row *row,
                  uint64_t now_us);

/** agents_mark_unanswered() - an agent didn't answer a new flow sent at
 * @sent_us */
void
agents_mark_unanswered(struct agents *agents, struct addr addr,
                       uint64_t sent_us, uint64_t now_us);

/** agents_sent() - a new flow went to an agent */
void
agents_sent(struct agents *agents, struct addr addr, uint64_t now_us);

/**
 * agents_ping_due() - an agent to ping now
 * @left: places that are still to be looked at; AGENTS_ALL_PINGS at first, so
 *        that a query looks at each once
 * @addr: its address
 * @unlisted: whether it is to be reported that the store doesn't name it any
 *            more
 *
 * Return: false when none is due.
 */
bool
agents_ping_due(struct agents *agents, unsigned *left, uint64_t now_us,
                struct addr *addr, bool *unlisted);

/** agents_next_ping_us() - when the next ping is due, UINT64_MAX for never */
uint64_t
agents_next_ping_us(const struct agents *agents);

/** agents_for_new() - who may take a new flow in @region_affinity, best first;
 * the suspected only when there is nobody else */
void
agents_for_new(const struct agents *agents, uint32_t service,
               const struct region_affinity *region_affinity, uint64_t hash,
               uint64_t now_us, struct agents_choice *choice);

/**
 * agents_for_established() - who may hold an open flow, likeliest first
 *
 * Agents whose endpoints may hold flows that they don't know are always among
 * them, as only a packet tells; the others can be queried.
 *
 * @region_affinity: where it can have been opened
 * @denied: all agents were queried for it: those whose replies are for certain
 *          are left out
 * @below: only those that rank below this, AGENTS_ALL for all; becomes the
 *         rank of the last of @choice
 *
 * Return: false when there are none.
 */
bool
agents_for_established(const struct agents *agents, uint32_t service,
                       const struct region_affinity *region_affinity,
                       uint64_t hash, bool denied, uint64_t *below,
                       struct agents_choice *choice);

/** agents_of_service() - rows of a service, NULL for none; valid until any
 * additions */
const GPtrArray *
agents_of_service(const struct agents *agents, uint32_t service);

/** agents_next_service() - the service with agents that follows @service in
 * the order of their hashes, the first after the last; @excluded is left out,
 * and reported when there is no other */
uint32_t
agents_next_service(const struct agents *agents, uint32_t service,
                    uint32_t excluded);

/** agent_is_unreachable() - whether an agent has been silent for so long that
 * an answer through it can't be in time any more */
bool
agent_is_unreachable(const struct agent_row *row, uint64_t now_us);

/**
 * agents_witnesses() - agents that all balancers of this data centre know of
 *
 * The same few for each of them, as far as they know the same agents and trust
 * them: what one tells these, the others can ask them.
 */
void
agents_witnesses(const struct agents *agents, struct agents_choice *choice);

/** agents_can_serve() - whether some agent may take a new flow of @service */
bool
agents_can_serve(const struct agents *agents, uint32_t service);

#endif
