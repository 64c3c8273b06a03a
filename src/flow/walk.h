/**
 * DOC: walk - the hop list of a packet on its way to an owner
 *
 * The index only grows and no member is listed twice, so a list ends. A
 * full list may be continued by another one; the flags count these.
 */
#ifndef SWIFTARCH_FLOW_WALK_H
#define SWIFTARCH_FLOW_WALK_H

#include <stdbool.h>
#include <stdint.h>

#include "flow/members.h"
#include "flow/pins.h"
#include "packet/gue.h"

/**
 * struct walk - a list as one agent goes on with it
 * @gue: the list; @gue.index is the own place
 * @self: own member id
 * @bucket: rank bucket of the flow
 */
struct walk {
    struct gue gue;
    const struct members *members;
    const struct pins *pins;
    uint64_t self;
    uint64_t now_us;
    uint32_t bucket;
};

/** walk_init() - take over the list that came; mends a wrong one */
void
walk_init(struct walk *walk, const struct gue *gue);

/** walk_stage() - how many lists have been exhausted before this one */
unsigned
walk_stage(const struct walk *walk);

/** walk_merge() - put owners that registered and the own first FLOW_REACH
 * candidates next, unless they are listed */
void
walk_merge(struct walk *walk);

/** walk_order() - put those that may not answer last; whether the next one
 * answers */
bool
walk_order(struct walk *walk);

/** walk_keep_openers() - leave out those that take no new flow */
void
walk_keep_openers(struct walk *walk);

/**
 * walk_append() - add the other agents of the service, best ranked first
 *
 * They go before hops that are left: these may not answer.
 *
 * @openers: only those that take new flows
 *
 * Return: whether some found no room.
 */
bool
walk_append(struct walk *walk, bool openers);

/** walk_continue() - start another list with those that found no room */
void
walk_continue(struct walk *walk);

/** walk_step() - go to the next hop; false at the end of the list */
bool
walk_step(struct walk *walk);

#endif
