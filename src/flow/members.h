/**
 * DOC: members - what an agent knows of the agents of its service
 *
 * Copied from a view, so that a decision needs no lock on the board.
 */
#ifndef SWIFTARCH_FLOW_MEMBERS_H
#define SWIFTARCH_FLOW_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control/view.h"
#include "packet/rank.h"

/** struct member_copy - what is needed of a struct view_member */
struct member_copy {
    uint64_t id;
    uint64_t incarnation;
    struct addr data;
    enum member_state state;
    enum member_health health;
};

/**
 * struct members - agents of one service
 * @items: sorted by id, own entry and dead ones included
 * @rank: ranks of those that are not dead
 * @by_rank: index in @items of each handle of @rank
 * @suspects: whether another one is suspected
 * @joined_us: when one was last seen that was not there or dead before
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
 * members_update() - take over a new view
 * @view: new view, or NULL for no member
 *
 * Return: 1 when it differs from the earlier one, 0, or a negative errno
 * value with the earlier one kept.
 */
int
members_update(struct members *members, const struct view *view,
               uint32_t service, uint64_t self, uint64_t now_us);

/** members_finish() - free the copies */
void
members_finish(struct members *members);

/** members_find() - member @id or NULL */
const struct member_copy *
members_find(const struct members *members, uint64_t id);

/** members_top() - the best ranked of @bucket that are alive, suspects
 * skipped; their count, at most @max */
size_t
members_top(const struct members *members, uint32_t bucket,
            const struct member_copy **top, size_t max);

#endif
