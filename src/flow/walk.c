#include "flow/walk.h"

#include <string.h>

#include "flow/flow.h"

/* Hops that may not answer take turns at being asked first. */
#define TURN_US (128 * USEC_PER_MSEC)

static bool
walk_lists(const struct walk *walk, uint64_t member)
{
    size_t i;

    for (i = 0; i < walk->gue.count; i++) {
        if (walk->gue.hops[i].member == member) {
            return true;
        }
    }
    return member == walk->self;
}

/* Removes what comes twice behind the own place. */
static void
walk_unique(struct walk *walk)
{
    struct gue *gue = &walk->gue;
    size_t end = gue->count;
    size_t i;

    gue->count = (uint8_t)(gue->index + 1);
    for (i = gue->count; i < end; i++) {
        struct gue_hop hop = gue->hops[i];

        if (!walk_lists(walk, hop.member)) {
            gue->hops[gue->count++] = hop;
        }
    }
}

void
walk_init(struct walk *walk, const struct gue *gue)
{
    walk->gue = *gue;
    if (walk->gue.count > GUE_HOPS_MAX) {
        walk->gue.count = GUE_HOPS_MAX;
    }
    if (walk->gue.index >= walk->gue.count) {
        walk->gue.index = (uint8_t)(walk->gue.count - (walk->gue.count > 0));
    }
    if (walk->gue.count > 0) {
        walk_unique(walk);
    }
}

unsigned
walk_stage(const struct walk *walk)
{
    return (walk->gue.flags & FLOW_GUE_STAGE_MASK) / FLOW_GUE_STAGE;
}

static void
walk_insert(struct walk *walk, size_t at, const struct member_copy *member)
{
    struct gue *gue = &walk->gue;

    if (gue->count == GUE_HOPS_MAX) {
        /* The last is found again by walk_append(), where it is known. */
        gue->count--;
    }
    memmove(&gue->hops[at + 1], &gue->hops[at],
            (gue->count - at) * sizeof(gue->hops[0]));
    gue->hops[at].member = member->id;
    gue->hops[at].data = member->data;
    gue->count++;
}

static size_t
walk_merge_pins(struct walk *walk, size_t at)
{
    uint64_t owners[PINS_PER_BUCKET];
    size_t count = pins_of(walk->pins, walk->bucket, walk->now_us, owners);
    size_t i;

    for (i = 0; i < count; i++) {
        const struct member_copy *member =
            members_find(walk->members, owners[i]);

        if (member == NULL || member->health == MEMBER_DEAD ||
            walk_lists(walk, owners[i])) {
            continue;
        }
        if (at == GUE_HOPS_MAX) {
            /* Not all owners fit in: as good as one that doesn't answer. */
            walk->gue.flags |= GUE_SUSPECTS;
            break;
        }
        walk_insert(walk, at++, member);
    }
    return at;
}

void
walk_merge(struct walk *walk)
{
    const struct member_copy *top[FLOW_REACH];
    size_t at = (size_t)walk->gue.index + 1;
    size_t count;
    size_t i;

    at = walk_merge_pins(walk, at);
    count = members_top(walk->members, walk->bucket, top, FLOW_REACH);
    for (i = 0; i < count && at < GUE_HOPS_MAX; i++) {
        if (!walk_lists(walk, top[i]->id)) {
            walk_insert(walk, at++, top[i]);
        }
    }
}

/* Unknown here is taken for alive: the sender has heard of it. */
static bool
may_not_answer(const struct walk *walk, uint64_t id)
{
    const struct member_copy *member = members_find(walk->members, id);

    return member != NULL && member->health != MEMBER_ALIVE;
}

bool
walk_order(struct walk *walk)
{
    struct gue *gue = &walk->gue;
    struct gue_hop late[GUE_HOPS_MAX];
    size_t late_count = 0;
    size_t at = (size_t)gue->index + 1;
    size_t turn = 0;
    size_t i;
    bool answers;

    for (i = at; i < gue->count; i++) {
        if (may_not_answer(walk, gue->hops[i].member)) {
            late[late_count++] = gue->hops[i];
        }
        else {
            gue->hops[at++] = gue->hops[i];
        }
    }
    answers = at > (size_t)gue->index + 1;
    if (late_count > 0) {
        gue->flags |= GUE_SUSPECTS;
        turn = walk->now_us / TURN_US % late_count;
    }
    for (i = 0; i < late_count; i++) {
        gue->hops[at++] = late[(i + turn) % late_count];
    }
    return answers;
}

static bool
opens(const struct member_copy *member)
{
    return member->health == MEMBER_ALIVE &&
           (member->state == MEMBER_READY || member->state == MEMBER_WARMING);
}

void
walk_keep_openers(struct walk *walk)
{
    struct gue *gue = &walk->gue;
    size_t at = (size_t)gue->index + 1;
    size_t i;

    for (i = at; i < gue->count; i++) {
        const struct member_copy *member =
            members_find(walk->members, gue->hops[i].member);

        if (member == NULL || opens(member)) {
            gue->hops[at++] = gue->hops[i];
        }
    }
    if (at < gue->count) {
        gue->count = (uint8_t)at;
    }
}

/* A continued list went down in score; what lies above has been asked. */
static uint64_t
walk_ceiling(const struct walk *walk)
{
    if (walk_stage(walk) == 0) {
        return UINT64_MAX;
    }
    return rank_score(walk->gue.hops[walk->gue.count - 1].member,
                      walk->bucket);
}

/**
 * struct rest - going through the agents that a list lacks, best first
 * @openers: only those that take new flows
 * @health: of those asked for now; suspects come last
 * @ceiling: highest score to look at
 */
struct rest {
    bool openers;
    enum member_health health;
    uint64_t ceiling;
};

static const struct member_copy *
rest_best(const struct walk *walk, const struct rest *rest)
{
    const struct members *members = walk->members;
    const struct member_copy *best = NULL;
    uint64_t best_score = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        const struct member_copy *member = &members->items[i];
        uint64_t score;

        if (member->health != rest->health ||
            (rest->openers && !opens(member)) ||
            walk_lists(walk, member->id)) {
            continue;
        }
        score = rank_score(member->id, walk->bucket);
        if (score <= rest->ceiling && (best == NULL || score > best_score)) {
            best = member;
            best_score = score;
        }
    }
    return best;
}

static const struct member_copy *
rest_next(const struct walk *walk, struct rest *rest)
{
    const struct member_copy *next = rest_best(walk, rest);

    if (next == NULL && rest->health == MEMBER_ALIVE && !rest->openers) {
        rest->health = MEMBER_SUSPECT;
        rest->ceiling = UINT64_MAX;
        next = rest_best(walk, rest);
    }
    if (next != NULL) {
        rest->ceiling = rank_score(next->id, walk->bucket) - 1;
    }
    return next;
}

/* Fills @to with the rest of @from; returns whether some found no room. */
static bool
walk_fill(struct walk *to, const struct walk *from, bool openers)
{
    struct rest rest = {.openers = openers,
                        .health = MEMBER_ALIVE,
                        .ceiling = walk_ceiling(from)};
    const struct member_copy *next;

    if ((from->gue.flags & FLOW_GUE_LAST) != 0) {
        rest.health = MEMBER_SUSPECT;
        rest.ceiling = UINT64_MAX;
    }
    for (;;) {
        next = rest_next(from, &rest);
        if (next == NULL) {
            return false;
        }
        if (to->gue.count == GUE_HOPS_MAX) {
            return true;
        }
        if (rest.health == MEMBER_SUSPECT) {
            to->gue.flags |= GUE_SUSPECTS | FLOW_GUE_LAST;
        }
        walk_insert(to, to->gue.count, next);
    }
}

bool
walk_append(struct walk *walk, bool openers)
{
    struct gue *gue = &walk->gue;
    struct walk from;
    struct gue late = *gue;
    bool rest;
    size_t i;

    gue->count = (uint8_t)(gue->index + 1);
    from = *walk;
    rest = walk_fill(walk, &from, openers);
    for (i = (size_t)late.index + 1; i < late.count; i++) {
        if (gue->count < GUE_HOPS_MAX &&
            !walk_lists(walk, late.hops[i].member)) {
            gue->hops[gue->count++] = late.hops[i];
        }
    }
    return rest;
}

void
walk_continue(struct walk *walk)
{
    struct walk from = *walk;
    struct gue *gue = &walk->gue;

    gue->hops[0] = gue->hops[gue->index];
    gue->count = 1;
    gue->index = 0;
    gue->flags = (uint8_t)(gue->flags + FLOW_GUE_STAGE);
    walk_fill(walk, &from, false);
}

bool
walk_step(struct walk *walk)
{
    if (walk->gue.index + 1 >= walk->gue.count) {
        return false;
    }
    walk->gue.index++;
    return true;
}
