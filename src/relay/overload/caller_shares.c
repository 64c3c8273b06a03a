#include "relay/overload/caller_shares.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/hash.h"

#define STEP_US (50 * USEC_PER_MSEC)

/* Factor on counts in each step: they halve in twenty. */
#define DECAY 0.965936f

/* A stopped clock may leave many steps to make up for; counts are gone then.
 */
#define STEPS_MAX 200

/* Factors on the level in each step. */
#define LEVEL_DOWN 0.7f
#define LEVEL_UP 1.02f

/* A level is forgotten when no flow came for this time. */
#define LEVEL_MAX_AGE_US (2 * USEC_PER_SEC)

/* The level is never below this multiple of what a caller typically opens: a
 * flow and two retries are no more than a crowd's members open each. */
#define LEVEL_MIN_FACTOR 4.0f

/* Callers that tell what is typical, and the least flows of one that counts.
 */
#define TYPICAL_MAX 256
#define TYPICAL_MIN 0.5f

G_STATIC_ASSERT(sizeof(struct caller_shares) <= 64 * 1024);

static void
decay(struct caller_shares *shares)
{
    for (unsigned i = 0; i < CALLER_SHARES_BUCKETS * CALLER_SHARES_WAYS; i++) {
        struct caller_share *caller = &shares->callers[0][0] + i;

        caller->offered *= DECAY;
        caller->error *= DECAY;
        caller->admitted *= DECAY;
        caller->urgent *= DECAY;
    }
}

static void
decay_due(struct caller_shares *shares, uint64_t now_us)
{
    if (now_us > shares->decay_us + STEPS_MAX * STEP_US) {
        memset(shares->callers, 0, sizeof(shares->callers));
        shares->decay_us = now_us;
    }
    while (now_us >= shares->decay_us) {
        decay(shares);
        shares->decay_us += STEP_US;
    }
}

/* Flows that a caller certainly opened. */
static float
certain(const struct caller_share *caller)
{
    return caller->offered - caller->error;
}

static struct caller_share *
bucket_of(struct caller_shares *shares, uint32_t service, uint32_t prefix)
{
    uint32_t key[2] = {service, prefix};

    return shares->callers[hash_bytes(key, sizeof(key), shares->seed) %
                           CALLER_SHARES_BUCKETS];
}

/* Entry of a caller; replaces the one with fewest flows in its bucket. */
static struct caller_share *
caller_of(struct caller_shares *shares, uint32_t service, uint32_t prefix)
{
    struct caller_share *bucket = bucket_of(shares, service, prefix);
    struct caller_share *least = &bucket[0];

    for (unsigned i = 0; i < CALLER_SHARES_WAYS; i++) {
        if (bucket[i].service == service && bucket[i].prefix == prefix) {
            return &bucket[i];
        }
        if (bucket[i].offered < least->offered) {
            least = &bucket[i];
        }
    }
    *least = (struct caller_share){
        .service = service,
        .prefix = prefix,
        .offered = least->offered,
        .error = least->offered,
    };
    return least;
}

static struct caller_level *
level_of(struct caller_shares *shares, uint32_t service, uint64_t now_us)
{
    struct caller_level *oldest = &shares->levels[0];

    for (unsigned i = 0; i < CALLER_SHARES_SERVICES_MAX; i++) {
        struct caller_level *level = &shares->levels[i];

        if (level->service == service) {
            return level;
        }
        if (level->due_us < oldest->due_us) {
            oldest = level;
        }
    }
    *oldest = (struct caller_level){
        .service = service,
        .due_us = now_us + STEP_US,
    };
    return oldest;
}

/* Flows of the heaviest caller of a service. */
static float
heaviest_count(const struct caller_shares *shares, uint32_t service)
{
    const struct caller_share *caller;

    return caller_shares_heaviest(shares, service, &caller, 1) == 1
               ? certain(caller)
               : 0;
}

static int
compare_counts(const void *a, const void *b)
{
    float x = *(const float *)a;
    float y = *(const float *)b;

    return (x > y) - (x < y);
}

/* Median of what callers of a service opened, at least one flow. */
static float
typical_count(const struct caller_shares *shares, uint32_t service)
{
    float counts[TYPICAL_MAX];
    unsigned count = 0;

    for (unsigned i = 0;
         i < CALLER_SHARES_BUCKETS * CALLER_SHARES_WAYS && count < TYPICAL_MAX;
         i++) {
        const struct caller_share *caller = &shares->callers[0][0] + i;

        if (caller->service == service && certain(caller) >= TYPICAL_MIN) {
            counts[count++] = certain(caller);
        }
    }
    qsort(counts, count, sizeof(counts[0]), compare_counts);
    return count > 0 ? MAX(counts[(count - 1) / 2], 1) : 1;
}

static void
move_level(const struct caller_shares *shares, struct caller_level *level,
           uint64_t now_us)
{
    float heaviest = heaviest_count(shares, level->service);

    if (now_us >= level->due_us + LEVEL_MAX_AGE_US) {
        level->level = 0;
    }
    if (level->pressed) {
        level->level =
            level->level > 0 ? MIN(level->level, heaviest) : heaviest;
        level->level =
            MAX(level->level * LEVEL_DOWN,
                LEVEL_MIN_FACTOR * typical_count(shares, level->service));
    }
    else if (level->level > 0) {
        level->level *= LEVEL_UP;
        if (level->level > heaviest) {
            level->level = 0;
        }
    }
    level->pressed = false;
    level->due_us = now_us + STEP_US;
}

void
caller_shares_init(struct caller_shares *shares, uint64_t seed,
                   unsigned prefix_bits, uint64_t now_us)
{
    memset(shares, 0, sizeof(*shares));
    shares->seed = seed;
    shares->mask = prefix_bits == 0
                       ? 0
                       : UINT32_MAX
                             << (CALLER_SHARES_PREFIX_MAX - prefix_bits);
    shares->decay_us = now_us + STEP_US;
}

bool
caller_shares_allow(struct caller_shares *shares, uint32_t service,
                    uint32_t ip, bool urgent, bool pressed, bool full,
                    uint64_t now_us)
{
    struct caller_share *caller;
    struct caller_level *level;
    float admitted;

    decay_due(shares, now_us);
    caller = caller_of(shares, service, ip & shares->mask);
    caller->offered++;
    level = level_of(shares, service, now_us);
    level->pressed |= pressed;
    if (now_us >= level->due_us) {
        move_level(shares, level, now_us);
    }
    admitted = urgent ? caller->urgent : caller->admitted;
    if (full && level->level > 0 && certain(caller) > level->level &&
        admitted >= level->level) {
        return false;
    }
    caller->admitted++;
    caller->urgent += urgent;
    return true;
}

double
caller_share_per_s(double count)
{
    return count * (1 - DECAY) * USEC_PER_SEC / STEP_US;
}

double
caller_shares_level(const struct caller_shares *shares, uint32_t service,
                    uint64_t now_us)
{
    for (unsigned i = 0; i < CALLER_SHARES_SERVICES_MAX; i++) {
        const struct caller_level *level = &shares->levels[i];

        if (level->service == service) {
            return now_us < level->due_us + LEVEL_MAX_AGE_US
                       ? caller_share_per_s(level->level)
                       : 0;
        }
    }
    return 0;
}

unsigned
caller_shares_heaviest(const struct caller_shares *shares, uint32_t service,
                       const struct caller_share **heaviest, unsigned max)
{
    unsigned count = 0;

    for (unsigned i = 0; i < CALLER_SHARES_BUCKETS * CALLER_SHARES_WAYS; i++) {
        const struct caller_share *caller = &shares->callers[0][0] + i;
        unsigned at;

        if (caller->service != service || certain(caller) <= 0) {
            continue;
        }
        if (count < max) {
            at = count++;
        }
        else if (certain(caller) > certain(heaviest[max - 1])) {
            at = max - 1;
        }
        else {
            continue;
        }
        while (at > 0 && certain(heaviest[at - 1]) < certain(caller)) {
            heaviest[at] = heaviest[at - 1];
            at--;
        }
        heaviest[at] = caller;
    }
    return count;
}
