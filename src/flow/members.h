/**
 * DOC: members - an agent's copy of the agents of its service
 *
 * Copied from a view, so that decisions need no lock on the blackboard.
 */
#ifndef SWIFTARCH_FLOW_MEMBERS_H
#define SWIFTARCH_FLOW_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control/view.h"
#include "packet/rank.h"

/** struct member_copy - fields of struct view_member that flow decisions use
 */
struct member_copy {
    uint64_t id;
    uint64_t incarnation;
    struct addr data;
    enum member_state state;
    enum member_health health;
};

/**
 * struct members - agents of one service
 * @items: sorted by id, this agent and dead ones included
 * @rank: ranks of the agents that are not dead
 * @by_rank: index in @items of each handle of @rank
 * @suspects: whether another agent is suspected
 * @joined_us: when an agent was last added or came back from dead
 */
struct members {
    struct member_copy *items;
    size_t count;
    struct rank rank;
    uint16_t *by_rank;
    bool suspects;
    uint64_t joined_us;
};

/**
 * members_update() - copy the agents of @service from a view
 * @view: new view, or NULL for no members
 *
 * Return: 1 when they changed, 0 when not, or a negative errno value with the
 * former ones kept.
 */
int
members_update(struct members *members, const struct view *view,
               uint32_t service, uint64_t self, uint64_t now_us);

/** members_finish() - free the copies */
void
members_finish(struct members *members);

/** members_find() - find a member by id, or NULL */
const struct member_copy *
members_find(const struct members *members, uint64_t id);

/** members_top() - write the best ranked members of @bucket that are alive;
 * returns their count, at most @max */
size_t
members_top(const struct members *members, uint32_t bucket,
            const struct member_copy **top, size_t max);

#endif
