/**
 * DOC: agents_private - what the parts of agents share
 *
 * agents keeps the rows, agents_reach who replies and is pinged, agents_choice
 * whom a packet goes to.
 */
#ifndef SWIFTARCH_RELAY_FORWARDER_AGENTS_PRIVATE_H
#define SWIFTARCH_RELAY_FORWARDER_AGENTS_PRIVATE_H

#include "relay/forwarder/agents.h"

/** enum tier - how likely an agent takes a new flow, best first */
enum tier {
    AGENT_TIER_OPEN,     /* its own word says so */
    AGENT_TIER_UNHEARD,  /* the store names it, and it hasn't spoken yet */
    AGENT_TIER_SUSPECT,  /* may be dead or frozen */
    AGENT_TIER_UNLISTED, /* the store's list doesn't name it */
    AGENT_TIER_CLOSED,   /* said that it takes none */
};

/** agents_tier() - an agent's */
enum tier
agents_tier(const struct agents *agents, const struct agent_row *row);

/** agents_set_ping() - set when a row is pinged next; 0 for never */
void
agents_set_ping(struct agents *agents, struct agent_row *row,
                uint64_t ping_us);

/** agents_ping_now() - a row is pinged at once, and often at first */
void
agents_ping_now(struct agents *agents, struct agent_row *row, uint64_t now_us);

/** agents_clear_suspect() - a row isn't suspected */
void
agents_clear_suspect(struct agent_row *row);

/** agents_remove() - a row is forgotten */
void
agents_remove(struct agents *agents, struct agent_row *row);

#endif
