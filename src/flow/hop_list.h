/**
 * DOC: hop_list - the hop list of a packet on its way to an owner
 *
 * The index only grows and no member is listed twice, so a list ends. A
 * full list may be continued by another one; the flags count these.
 */
#ifndef SWIFTARCH_FLOW_HOP_LIST_H
#define SWIFTARCH_FLOW_HOP_LIST_H

#include <stdbool.h>
#include <stdint.h>

#include "flow/members.h"
#include "flow/pins.h"
#include "packet/gue.h"

/**
 * struct hop_list - a list as one agent goes on with it
 * @gue: the list; @gue.index is the own place
 * @self: own member id
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

/** hop_list_init() - take over the list that came; mends a wrong one */
void
hop_list_init(struct hop_list *hop_list, const struct gue *gue);

/** hop_list_continuations() - how many lists have been exhausted before this
 * one */
unsigned
hop_list_continuations(const struct hop_list *hop_list);

/** hop_list_merge() - put owners that registered and the own first
 * FLOW_CANDIDATES candidates next, unless they are listed */
void
hop_list_merge(struct hop_list *hop_list);

/** hop_list_order() - put those that may not answer last; whether the next one
 * answers */
bool
hop_list_order(struct hop_list *hop_list);

/** hop_list_keep_accepting() - leave out those that take no new flow */
void
hop_list_keep_accepting(struct hop_list *hop_list);

/**
 * hop_list_append() - add the other agents of the service, best ranked first
 *
 * They go before hops that are left: these may not answer.
 *
 * @openers: only those that take new flows
 *
 * Return: whether some found no room.
 */
bool
hop_list_append(struct hop_list *hop_list, bool openers);

/** hop_list_continue() - start another list with those that found no room */
void
hop_list_continue(struct hop_list *hop_list);

/** hop_list_advance() - go to the next hop; false at the end of the list */
bool
hop_list_advance(struct hop_list *hop_list);

#endif
