#include "relay/forwarder/endpoint_level.h"

#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"

/* Service time against the median at which an endpoint becomes slow, and at
 * which it is well again, in 1/10. */
#define SLOW_TENTHS 20
#define WELL_TENTHS 15

/* A smaller difference matters to no caller. */
#define SLOW_MIN_US (10 * USEC_PER_MSEC)

/* Endpoints with a known service time that make a median. */
#define KNOWN_MIN 3

/* Rejected requests of an endpoint, and of the median one. */
#define REJECTS_PER_MILLE 200
#define SIBLING_REJECTS_PER_MILLE 20

/* Divisors: share of a service that may be below normal, and above which none
 * is, as the load or something common to all is the cause. */
#define BELOW_MAX_DIVISOR 3
#define COMMON_DIVISOR 2

/* Time of good reports until the return to normal. It doubles with each
 * relapse. */
#define GOOD_US (300 * USEC_PER_MSEC)
#define RELAPSES_MAX 5

/* A later change for the worse isn't a relapse. */
#define RELAPSE_US (20 * USEC_PER_SEC)

/* Interval of trials: the agents limit those of all balancers together. */
#define TRIAL_GAP_US (1 * USEC_PER_SEC)

static int
by_service_time(const void *a, const void *b)
{
    const struct endpoint_level_member *left = a;
    const struct endpoint_level_member *right = b;

    return (left->service_us > right->service_us) -
           (left->service_us < right->service_us);
}

static int
by_rejects(const void *a, const void *b)
{
    const struct endpoint_level_member *left = a;
    const struct endpoint_level_member *right = b;

    return (left->rejects > right->rejects) - (left->rejects < right->rejects);
}

static int
worst_first(const void *a, const void *b)
{
    const struct endpoint_level_member *left = a;
    const struct endpoint_level_member *right = b;

    return (left->severity < right->severity) -
           (left->severity > right->severity);
}

static uint64_t
median_service_us(struct endpoint_level_member *members, unsigned count)
{
    unsigned unknown = 0;

    qsort(members, count, sizeof(*members), by_service_time);
    while (unknown < count && members[unknown].service_us == 0) {
        unknown++;
    }
    if (count - unknown < KNOWN_MIN) {
        return 0;
    }
    return members[unknown + (count - unknown - 1) / 2].service_us;
}

static bool
is_slow(const struct endpoint_level_member *member, uint64_t median_us)
{
    bool was_slow = member->level->kind == ENDPOINT_LEVEL_REDUCED &&
                    member->level->cause == ENDPOINT_LEVEL_SLOW;
    uint64_t tenths = was_slow ? WELL_TENTHS : SLOW_TENTHS;

    return median_us != 0 && member->service_us > median_us + SLOW_MIN_US &&
           10 * member->service_us > tenths * median_us;
}

/* Sets the level that a member's own report asks for. */
static void
judge(struct endpoint_level_member *member, uint64_t median_us,
      unsigned median_rejects)
{
    member->wanted = ENDPOINT_LEVEL_NORMAL;
    member->cause = ENDPOINT_LEVEL_WELL;
    member->severity = 0;
    if (member->stuck > 0) {
        member->wanted = 2 * member->stuck >= member->slots
                             ? ENDPOINT_LEVEL_TRIAL
                             : ENDPOINT_LEVEL_REDUCED;
        member->cause = ENDPOINT_LEVEL_STUCK;
        member->severity = UINT32_MAX + (uint64_t)member->stuck;
    }
    else if (is_slow(member, median_us)) {
        member->wanted = ENDPOINT_LEVEL_REDUCED;
        member->cause = ENDPOINT_LEVEL_SLOW;
        member->severity = member->service_us;
    }
    else if (member->rejects >= REJECTS_PER_MILLE &&
             median_rejects <= SIBLING_REJECTS_PER_MILLE) {
        member->wanted = ENDPOINT_LEVEL_REDUCED;
        member->cause = ENDPOINT_LEVEL_REJECTS;
        member->severity = member->rejects;
    }
}

static void
set_kind(struct endpoint_level_member *member, enum endpoint_level_kind kind,
         uint64_t now_us)
{
    member->changed = member->level->kind != kind;
    if (member->changed) {
        member->level->kind = kind;
        member->level->since_us = now_us;
    }
}

static void
lower(struct endpoint_level_member *member, uint64_t now_us)
{
    struct endpoint_level *level = member->level;

    if (level->kind == ENDPOINT_LEVEL_NORMAL) {
        bool relapse =
            level->since_us != 0 && now_us - level->since_us < RELAPSE_US;

        level->relapses = relapse ? MIN(level->relapses + 1, RELAPSES_MAX) : 0;
    }
    level->good_us = 0;
    level->cause = member->cause;
    set_kind(member, member->wanted, now_us);
}

static void
raise_when_good(struct endpoint_level_member *member, uint64_t now_us)
{
    struct endpoint_level *level = member->level;

    if (level->kind == ENDPOINT_LEVEL_NORMAL) {
        return;
    }
    if (level->good_us == 0) {
        level->good_us = now_us;
    }
    if (now_us - level->good_us >= GOOD_US << level->relapses) {
        set_kind(member, ENDPOINT_LEVEL_NORMAL, now_us);
    }
}

uint64_t
endpoint_level_update(struct endpoint_level_member *members, unsigned count,
                      uint64_t now_us)
{
    uint64_t median_us = median_service_us(members, count);
    unsigned max = count / BELOW_MAX_DIVISOR;
    unsigned wanted = 0;
    unsigned below;

    qsort(members, count, sizeof(*members), by_rejects);
    for (unsigned i = 0; i < count; i++) {
        /* The sorted order isn't changed before the loop's end. */
        judge(&members[i], median_us, members[count / 2].rejects);
        wanted += members[i].wanted != ENDPOINT_LEVEL_NORMAL;
    }
    if (wanted > count / COMMON_DIVISOR) {
        max = 0;
    }
    qsort(members, count, sizeof(*members), worst_first);
    below = 0;
    for (unsigned i = 0; i < count; i++) {
        members[i].changed = false;
        if (below == max) {
            set_kind(&members[i], ENDPOINT_LEVEL_NORMAL, now_us);
        }
        else if (members[i].wanted == ENDPOINT_LEVEL_NORMAL) {
            raise_when_good(&members[i], now_us);
        }
        else {
            lower(&members[i], now_us);
        }
        below += members[i].level->kind != ENDPOINT_LEVEL_NORMAL;
    }
    return median_us;
}

bool
endpoint_level_trial_due(const struct endpoint_level *level, uint64_t now_us)
{
    return now_us - level->tried_us >= TRIAL_GAP_US;
}
