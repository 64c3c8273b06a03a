/**
 * DOC: agents_private - interface between the parts of agents
 *
 * agents.c keeps the rows, agents_reach.c tracks which agents reply and
 * schedules pings, agents_choice.c chooses the agents for a packet,
 * agents_levels.c compares the endpoints of a service.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_AGENTS_PRIVATE_H
#define SWIFTARCH_RELAY_FORWARDER_AGENTS_PRIVATE_H

#include "relay/forwarder/agents.h"
#include "relay/forwarder/expected_wait.h"

/* Slots of an endpoint that hasn't reported any. */
#define AGENT_SLOTS_DEFAULT 2

/** enum tier - how likely an agent takes a new flow, best first */
enum tier {
    AGENT_TIER_OPEN,     /* it reported that it takes new flows */
    AGENT_TIER_UNHEARD,  /* listed, but no frame has arrived from it */
    AGENT_TIER_SUSPECT,  /* it missed a reply */
    AGENT_TIER_UNLISTED, /* not in the store's list */
    AGENT_TIER_CLOSED,   /* it reported that it takes none */
};

/** agents_tier() - tier of an agent */
enum tier
agents_tier(const struct agents *agents, const struct agent_row *row);

/** agents_place_by_wait() - whether new flows of a service are placed by
 * expected wait */
bool
agents_place_by_wait(const struct agents *agents, uint32_t service);

/**
 * agents_expected_wait_us() - expected wait of a new flow at an agent
 * @fresh: its count of requests is up to date
 * @sent: its count of new flows is up to date
 */
uint64_t
agents_expected_wait_us(const struct agents *agents,
                        const struct agent_row *row, bool fresh, bool sent,
                        uint64_t now_us);

/** agents_set_ping() - schedule the next ping of a row; 0 for never */
void
agents_set_ping(struct agents *agents, struct agent_row *row,
                uint64_t ping_us);

/** agents_ping_now() - ping a row at once, and restart its backoff */
void
agents_ping_now(struct agents *agents, struct agent_row *row, uint64_t now_us);

/** agents_clear_suspect() - mark a row as not suspect */
void
agents_clear_suspect(struct agent_row *row);

/** agents_remove() - remove and free a row */
void
agents_remove(struct agents *agents, struct agent_row *row);

#endif
