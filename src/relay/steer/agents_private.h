/**
 * DOC: agents_private - what the parts of agents share
 *
 * agents keeps the rows, agents_reach who answers and is pinged, agents_choice
 * whom a packet goes to.
 */
#ifndef SWIFTARCH_RELAY_STEER_AGENTS_PRIVATE_H
#define SWIFTARCH_RELAY_STEER_AGENTS_PRIVATE_H

#include "relay/steer/agents.h"

/** enum standing - how likely an agent takes a new flow, best first */
enum standing {
    STANDING_OPEN,    /* its own word says so */
    STANDING_UNHEARD, /* the store names it, and it hasn't spoken yet */
    STANDING_SUSPECT, /* may be dead or frozen */
    STANDING_ABSENT,  /* the store's list doesn't name it */
    STANDING_CLOSED,  /* said that it takes none */
};

/** agents_standing() - an agent's */
enum standing
agents_standing(const struct agents *agents, const struct agent_row *row);

/** agents_set_ping() - set when a row is pinged next; 0 for never */
void
agents_set_ping(struct agents *agents, struct agent_row *row,
                uint64_t ping_us);

/** agents_ping_now() - a row is pinged at once, and often at first */
void
agents_ping_now(struct agents *agents, struct agent_row *row, uint64_t now_us);

/** agents_trust() - a row isn't suspected */
void
agents_trust(struct agent_row *row);

/** agents_remove() - a row is forgotten */
void
agents_remove(struct agents *agents, struct agent_row *row);

#endif
