#include "flow/members.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static bool
of_service(const struct view_member *member, uint32_t service)
{
    return member->role == MEMBER_AGENT && service != 0 &&
           member->service == service;
}

static struct member_copy *
copy_members(const struct view *view, uint32_t service, size_t *count)
{
    size_t max = view == NULL ? 0 : view->count;
    struct member_copy *items = calloc(max + 1, sizeof(*items));
    size_t i;

    *count = 0;
    for (i = 0; items != NULL && i < max; i++) {
        const struct view_member *member = &view->members[i];

        if (!of_service(member, service)) {
            continue;
        }
        items[*count].id = member->id;
        items[*count].incarnation = member->incarnation;
        items[*count].data = member->data;
        items[*count].state = member->state;
        items[*count].health = member->health;
        (*count)++;
    }
    return items;
}

static bool
copies_equal(const struct member_copy *a, const struct member_copy *b,
             size_t count)
{
    size_t i;

    for (i = 0; i < count; i++) {
        if (a[i].id != b[i].id || a[i].incarnation != b[i].incarnation ||
            !addr_equal(a[i].data, b[i].data) || a[i].state != b[i].state ||
            a[i].health != b[i].health) {
            return false;
        }
    }
    return true;
}

static const struct member_copy *
find_copy(const struct member_copy *items, size_t count, uint64_t id)
{
    size_t low = 0;
    size_t high = count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (items[middle].id < id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low < count && items[low].id == id ? &items[low] : NULL;
}

/* Whether a member of @next was missing or dead in @members. */
static bool
has_joined(const struct members *members, const struct members *next)
{
    const struct member_copy *before;
    size_t i;

    for (i = 0; i < next->count; i++) {
        if (next->items[i].health == MEMBER_DEAD) {
            continue;
        }
        before = members_find(members, next->items[i].id);
        if (before == NULL || before->health == MEMBER_DEAD) {
            return true;
        }
    }
    return false;
}

/* Ranks the members of @next that are not dead. They are sorted by id, so
 * @by_rank is in the order of the rank's handles. */
static int
rank_members(struct members *next, const struct members *previous,
             uint64_t self)
{
    uint64_t *ids = calloc(next->count + 1, sizeof(*ids));
    uint16_t *by_rank = calloc(next->count + 1, sizeof(*by_rank));
    size_t count = 0;
    size_t i;
    int rc = -ENOMEM;

    if (ids == NULL || by_rank == NULL) {
        goto err;
    }
    for (i = 0; i < next->count; i++) {
        if (next->items[i].health == MEMBER_DEAD) {
            continue;
        }
        next->suspects |= next->items[i].health == MEMBER_SUSPECT &&
                          next->items[i].id != self;
        by_rank[count] = (uint16_t)i;
        ids[count++] = next->items[i].id;
    }
    rc = rank_init(&next->rank, ids, count,
                   previous->rank.table == NULL ? NULL : &previous->rank);
    if (rc < 0) {
        goto err;
    }
    next->by_rank = by_rank;
    free(ids);
    return 0;
err:
    free(ids);
    free(by_rank);
    return rc;
}

int
members_update(struct members *members, const struct view *view,
               uint32_t service, uint64_t self, uint64_t now_us)
{
    struct members next = {.joined_us = members->joined_us};
    int rc;

    next.items = copy_members(view, service, &next.count);
    if (next.items == NULL) {
        return -ENOMEM;
    }
    if (members->by_rank != NULL && next.count == members->count &&
        copies_equal(next.items, members->items, next.count)) {
        free(next.items);
        return 0;
    }
    if (has_joined(members, &next)) {
        next.joined_us = now_us;
    }
    rc = rank_members(&next, members, self);
    if (rc < 0) {
        free(next.items);
        return rc;
    }
    members_finish(members);
    *members = next;
    return 1;
}

void
members_finish(struct members *members)
{
    free(members->items);
    free(members->by_rank);
    if (members->rank.table != NULL) {
        rank_finish(&members->rank);
    }
    memset(members, 0, sizeof(*members));
}

const struct member_copy *
members_find(const struct members *members, uint64_t id)
{
    return find_copy(members->items, members->count, id);
}

size_t
members_top(const struct members *members, uint32_t bucket,
            const struct member_copy **top, size_t max)
{
    const uint16_t *row;
    size_t count = 0;
    size_t i;

    if (members->rank.table == NULL) {
        return 0;
    }
    row = &members->rank.table[(size_t)bucket * RANK_DEPTH];
    for (i = 0; i < RANK_DEPTH && row[i] != RANK_NONE && count < max; i++) {
        const struct member_copy *member =
            &members->items[members->by_rank[row[i]]];

        if (member->health == MEMBER_ALIVE) {
            top[count++] = member;
        }
    }
    return count;
}
