#include "flow/hop_list.h"

#include <string.h>

#include "flow/flow.h"

/* Interval after which another unavailable hop is tried first, so that
 * a caller's retransmissions reach different ones. */
#define UNAVAILABLE_ROTATION_US (128 * USEC_PER_MSEC)

static bool
hop_list_contains(const struct hop_list *hop_list, uint64_t member)
{
    size_t i;

    for (i = 0; i < hop_list->gue.count; i++) {
        if (hop_list->gue.hops[i].member == member) {
            return true;
        }
    }
    return member == hop_list->self;
}

/* Removes duplicates behind the current hop. */
static void
hop_list_remove_duplicates(struct hop_list *hop_list)
{
    struct gue *gue = &hop_list->gue;
    size_t end = gue->count;
    size_t i;

    gue->count = (uint8_t)(gue->index + 1);
    for (i = gue->count; i < end; i++) {
        struct gue_hop hop = gue->hops[i];

        if (!hop_list_contains(hop_list, hop.member)) {
            gue->hops[gue->count++] = hop;
        }
    }
}

void
hop_list_init(struct hop_list *hop_list, const struct gue *gue)
{
    hop_list->gue = *gue;
    if (hop_list->gue.count > GUE_HOPS_MAX) {
        hop_list->gue.count = GUE_HOPS_MAX;
    }
    if (hop_list->gue.index >= hop_list->gue.count) {
        hop_list->gue.index =
            (uint8_t)(hop_list->gue.count - (hop_list->gue.count > 0));
    }
    if (hop_list->gue.count > 0) {
        hop_list_remove_duplicates(hop_list);
    }
}

unsigned
hop_list_continuations(const struct hop_list *hop_list)
{
    return (hop_list->gue.flags & FLOW_GUE_CONTINUATION_MASK) /
           FLOW_GUE_CONTINUATION;
}

static void
hop_list_insert(struct hop_list *hop_list, size_t at,
                const struct member_copy *member)
{
    struct gue *gue = &hop_list->gue;

    if (gue->count == GUE_HOPS_MAX) {
        /* hop_list_append() adds the last hop again if it is a member. */
        gue->count--;
    }
    memmove(&gue->hops[at + 1], &gue->hops[at],
            (gue->count - at) * sizeof(gue->hops[0]));
    gue->hops[at].member = member->id;
    gue->hops[at].data = member->data;
    gue->count++;
}

static size_t
hop_list_merge_pins(struct hop_list *hop_list, size_t at)
{
    uint64_t owners[PINS_PER_BUCKET];
    size_t count = pins_owners(hop_list->pins, hop_list->bucket,
                               hop_list->now_us, owners);
    size_t i;

    for (i = 0; i < count; i++) {
        const struct member_copy *member =
            members_find(hop_list->members, owners[i]);

        if (member == NULL || member->health == MEMBER_DEAD ||
            hop_list_contains(hop_list, owners[i])) {
            continue;
        }
        if (at == GUE_HOPS_MAX) {
            /* An owner that does not fit counts as one that may not answer:
             * the packet is not reset. */
            hop_list->gue.flags |= GUE_SUSPECTS;
            break;
        }
        hop_list_insert(hop_list, at++, member);
    }
    return at;
}

void
hop_list_merge(struct hop_list *hop_list)
{
    const struct member_copy *top[FLOW_CANDIDATES];
    size_t at = (size_t)hop_list->gue.index + 1;
    size_t count;
    size_t i;

    at = hop_list_merge_pins(hop_list, at);
    count =
        members_top(hop_list->members, hop_list->bucket, top, FLOW_CANDIDATES);
    for (i = 0; i < count && at < GUE_HOPS_MAX; i++) {
        if (!hop_list_contains(hop_list, top[i]->id)) {
            hop_list_insert(hop_list, at++, top[i]);
        }
    }
}

/* A hop that is not in the own view counts as alive: it is in the view of the
 * process that listed it. */
static bool
may_not_answer(const struct hop_list *hop_list, uint64_t id)
{
    const struct member_copy *member = members_find(hop_list->members, id);

    return member != NULL && member->health != MEMBER_ALIVE;
}

bool
hop_list_order(struct hop_list *hop_list)
{
    struct gue *gue = &hop_list->gue;
    struct gue_hop unavailable[GUE_HOPS_MAX];
    size_t unavailable_count = 0;
    size_t at = (size_t)gue->index + 1;
    size_t rotation = 0;
    size_t i;
    bool answers;

    for (i = at; i < gue->count; i++) {
        if (may_not_answer(hop_list, gue->hops[i].member)) {
            unavailable[unavailable_count++] = gue->hops[i];
        }
        else {
            gue->hops[at++] = gue->hops[i];
        }
    }
    answers = at > (size_t)gue->index + 1;
    if (unavailable_count > 0) {
        gue->flags |= GUE_SUSPECTS;
        rotation =
            hop_list->now_us / UNAVAILABLE_ROTATION_US % unavailable_count;
    }
    for (i = 0; i < unavailable_count; i++) {
        gue->hops[at++] = unavailable[(i + rotation) % unavailable_count];
    }
    return answers;
}

static bool
accepts_flows(const struct member_copy *member)
{
    return member->health == MEMBER_ALIVE &&
           (member->state == MEMBER_READY || member->state == MEMBER_WARMING);
}

void
hop_list_keep_accepting(struct hop_list *hop_list)
{
    struct gue *gue = &hop_list->gue;
    size_t at = (size_t)gue->index + 1;
    size_t i;

    for (i = at; i < gue->count; i++) {
        const struct member_copy *member =
            members_find(hop_list->members, gue->hops[i].member);

        if (member == NULL || accepts_flows(member)) {
            gue->hops[at++] = gue->hops[i];
        }
    }
    if (at < gue->count) {
        gue->count = (uint8_t)at;
    }
}

/* Highest score of the agents still to be listed. A continued list is sorted
 * by descending score, so agents above its last hop were on it. */
static uint64_t
hop_list_max_score(const struct hop_list *hop_list)
{
    if (hop_list_continuations(hop_list) == 0) {
        return UINT64_MAX;
    }
    return rank_score(hop_list->gue.hops[hop_list->gue.count - 1].member,
                      hop_list->bucket);
}

/**
 * struct unlisted - iterator over the agents missing from a list, best first
 * @accepting_only: only agents that accept new flows
 * @health: health of the agents returned now; suspected agents come last
 * @max_score: highest score to return
 */
struct unlisted {
    bool accepting_only;
    enum member_health health;
    uint64_t max_score;
};

static const struct member_copy *
unlisted_best(const struct hop_list *hop_list, const struct unlisted *unlisted)
{
    const struct members *members = hop_list->members;
    const struct member_copy *best = NULL;
    uint64_t best_score = 0;
    size_t i;

    for (i = 0; i < members->count; i++) {
        const struct member_copy *member = &members->items[i];
        uint64_t score;

        if (member->health != unlisted->health ||
            (unlisted->accepting_only && !accepts_flows(member)) ||
            hop_list_contains(hop_list, member->id)) {
            continue;
        }
        score = rank_score(member->id, hop_list->bucket);
        if (score <= unlisted->max_score &&
            (best == NULL || score > best_score)) {
            best = member;
            best_score = score;
        }
    }
    return best;
}

static const struct member_copy *
unlisted_next(const struct hop_list *hop_list, struct unlisted *unlisted)
{
    const struct member_copy *next = unlisted_best(hop_list, unlisted);

    if (next == NULL && unlisted->health == MEMBER_ALIVE &&
        !unlisted->accepting_only) {
        unlisted->health = MEMBER_SUSPECT;
        unlisted->max_score = UINT64_MAX;
        next = unlisted_best(hop_list, unlisted);
    }
    if (next != NULL) {
        unlisted->max_score = rank_score(next->id, hop_list->bucket) - 1;
    }
    return next;
}

/* Adds the agents missing from @from to @to; true when some did not fit. */
static bool
hop_list_fill(struct hop_list *to, const struct hop_list *from,
              bool accepting_only)
{
    struct unlisted unlisted = {.accepting_only = accepting_only,
                                .health = MEMBER_ALIVE,
                                .max_score = hop_list_max_score(from)};
    const struct member_copy *next;

    if ((from->gue.flags & FLOW_GUE_SUSPECTS_ONLY) != 0) {
        unlisted.health = MEMBER_SUSPECT;
        unlisted.max_score = UINT64_MAX;
    }
    for (;;) {
        next = unlisted_next(from, &unlisted);
        if (next == NULL) {
            return false;
        }
        if (to->gue.count == GUE_HOPS_MAX) {
            return true;
        }
        if (unlisted.health == MEMBER_SUSPECT) {
            to->gue.flags |= GUE_SUSPECTS | FLOW_GUE_SUSPECTS_ONLY;
        }
        hop_list_insert(to, to->gue.count, next);
    }
}

bool
hop_list_append(struct hop_list *hop_list, bool accepting_only)
{
    struct gue *gue = &hop_list->gue;
    struct hop_list from;
    struct gue unavailable = *gue;
    bool unlisted;
    size_t i;

    gue->count = (uint8_t)(gue->index + 1);
    from = *hop_list;
    unlisted = hop_list_fill(hop_list, &from, accepting_only);
    for (i = (size_t)unavailable.index + 1; i < unavailable.count; i++) {
        if (gue->count < GUE_HOPS_MAX &&
            !hop_list_contains(hop_list, unavailable.hops[i].member)) {
            gue->hops[gue->count++] = unavailable.hops[i];
        }
    }
    return unlisted;
}

void
hop_list_continue(struct hop_list *hop_list)
{
    struct hop_list from = *hop_list;
    struct gue *gue = &hop_list->gue;

    gue->hops[0] = gue->hops[gue->index];
    gue->count = 1;
    gue->index = 0;
    gue->flags = (uint8_t)(gue->flags + FLOW_GUE_CONTINUATION);
    hop_list_fill(hop_list, &from, false);
}

bool
hop_list_advance(struct hop_list *hop_list)
{
    if (hop_list->gue.index + 1 >= hop_list->gue.count) {
        return false;
    }
    hop_list->gue.index++;
    return true;
}
