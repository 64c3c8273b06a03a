/**
 * DOC: hop_list - the agents that a packet visits to find its flow's owner
 *
 * The index only grows and no member is listed twice, so every list ends. A
 * full list may be continued by another one; the flags count continuations.
 */
#ifndef SWIFTARCH_FLOW_HOP_LIST_H
#define SWIFTARCH_FLOW_HOP_LIST_H

#include <stdbool.h>
#include <stdint.h>

#include "flow/members.h"
#include "flow/pins.h"
#include "packet/gue.h"

/**
 * struct hop_list - a packet's list while an agent works on it
 * @gue: the list; @gue.index is the current hop, this agent
 * @members: agents of the service
 * @pins: registered owners
 * @self: own member id
 * @now_us: current time
 * @bucket: rank bucket of the flow
 */
struct hop_list {
    struct gue gue;
    const struct members *members;
    const struct pins *pins;
    uint64_t self;
    uint64_t now_us;
    uint32_t bucket;
};

/** hop_list_init() - copy a received list; corrects its index and count and
 * removes duplicates */
void
hop_list_init(struct hop_list *hop_list, const struct gue *gue);

/** hop_list_continuations() - number of lists exhausted before this one */
unsigned
hop_list_continuations(const struct hop_list *hop_list);

/** hop_list_merge() - insert registered owners and the first FLOW_CANDIDATES
 * members of the own view as next hops, unless listed */
void
hop_list_merge(struct hop_list *hop_list);

/** hop_list_order() - move suspected and dead hops to the end; returns whether
 * the next hop is alive */
bool
hop_list_order(struct hop_list *hop_list);

/** hop_list_keep_accepting() - remove next hops that accept no new flows */
void
hop_list_keep_accepting(struct hop_list *hop_list);

/**
 * hop_list_append() - add the other agents of the service, best ranked first
 * @accepting_only: only agents that accept new flows
 *
 * Inserts them before the remaining hops, which may not answer.
 *
 * Return: whether some did not fit.
 */
bool
hop_list_append(struct hop_list *hop_list, bool accepting_only);

/** hop_list_continue() - start another list with the agents that did not fit
 */
void
hop_list_continue(struct hop_list *hop_list);

/** hop_list_advance() - move to the next hop; false at the end of the list */
bool
hop_list_advance(struct hop_list *hop_list);

#endif
