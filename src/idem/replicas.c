#include "idem/replicas.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>

#include "base/hash.h"

void
replicas_finish(struct replicas *replicas)
{
    free(replicas->lives);
    *replicas = (struct replicas){0};
}

int64_t
replicas_ago(uint64_t now_us)
{
    return (int64_t)now_us - (int64_t)IDEM_SETTLE_US;
}

bool
replicas_settled(const struct replica_life *life, int64_t at_us)
{
    return life->since_us + (int64_t)IDEM_SETTLE_US <= at_us;
}

/* Whether a member keeps records of its service. */
static bool
serves(const struct view_member *member)
{
    return member->role == MEMBER_AGENT && member->service != 0 &&
           member->health != MEMBER_DEAD && member->state != MEMBER_LEAVING;
}

const struct replica_life *
replicas_find(const struct replicas *replicas, uint64_t id, uint32_t service)
{
    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_life *life = &replicas->lives[i];

        if (life->id == id && life->service == service &&
            life->ended_us == 0) {
            return life;
        }
    }
    return NULL;
}

/* Whether @member had an earlier life here that is not forgotten yet. */
static bool
lived_before(const struct replicas *replicas, const struct view_member *member)
{
    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_life *life = &replicas->lives[i];

        if (life->id == member->id && life->service == member->service) {
            return true;
        }
    }
    return false;
}

/* A life begins now. But a process that has just started sees everyone for
 * the first time: it tells by the wall clock in the incarnations who was
 * there before it. */
static int64_t
beginning(const struct replicas *replicas, const struct view_member *member,
          uint64_t now_us)
{
    bool young = now_us < replicas->start_us + IDEM_SETTLE_US;
    int64_t age;

    if ((!young && replicas->count > 0) || lived_before(replicas, member)) {
        return (int64_t)now_us;
    }
    age = (int64_t)(replicas->incarnation - member->incarnation);
    age += (int64_t)(now_us - replicas->start_us);
    return (int64_t)now_us - MAX(age, 0);
}

static int
add_life(struct replicas *replicas, const struct replica_life *life)
{
    if (replicas->count == replicas->capacity) {
        size_t capacity = replicas->capacity ? 2 * replicas->capacity : 16;
        struct replica_life *lives;

        lives = realloc(replicas->lives, capacity * sizeof(*lives));
        if (lives == NULL) {
            return -ENOMEM;
        }
        replicas->lives = lives;
        replicas->capacity = capacity;
    }
    replicas->lives[replicas->count] = *life;
    replicas->lives[replicas->count++].number = ++replicas->next_number;
    return 0;
}

static int
begin_life(struct replicas *replicas, const struct view_member *member,
           uint64_t now_us)
{
    struct replica_life life = {
        .id = member->id,
        .service = member->service,
        .incarnation = member->incarnation,
        .seen_us = member->since_us,
        .since_us = beginning(replicas, member, now_us),
        .suspect = member->health == MEMBER_SUSPECT,
    };

    return add_life(replicas, &life);
}

int
replicas_resume(struct replicas *replicas, uint64_t self, uint64_t paused_us,
                uint64_t now_us)
{
    size_t count = replicas->count;

    replicas->young_us = now_us;
    if (paused_us >= IDEM_STALE_US) {
        replicas->stale_us = now_us;
    }
    for (size_t i = 0; i < count; i++) {
        struct replica_life life = replicas->lives[i];
        int rc;

        if (life.id != self || life.ended_us != 0) {
            continue;
        }
        replicas->lives[i].ended_us = (int64_t)now_us;
        replicas->lives[i].left = true;
        life.since_us = (int64_t)now_us;
        rc = add_life(replicas, &life);
        if (rc < 0) {
            return rc;
        }
    }
    return 0;
}

bool
replicas_stale(const struct replicas *replicas, uint64_t now_us)
{
    return replicas->stale_us != 0 &&
           now_us < replicas->stale_us + 2 * IDEM_SETTLE_US;
}

bool
replicas_newcomer(const struct replicas *replicas, uint64_t now_us)
{
    return now_us < replicas->start_us + 2 * IDEM_SETTLE_US;
}

bool
replicas_young(const struct replicas *replicas, uint64_t now_us)
{
    return now_us < replicas->young_us + IDEM_SETTLE_US;
}

bool
replicas_starting(const struct replicas *replicas, uint64_t now_us)
{
    return now_us < replicas->young_us + IDEM_START_US;
}

static void
end_life(struct replica_life *life, const struct view_member *member,
         uint64_t now_us)
{
    life->ended_us = now_us > 0 ? (int64_t)now_us : 1;
    life->gone = member == NULL || member->health == MEMBER_DEAD ||
                 member->since_us != life->seen_us;
    life->left = !life->gone;
}

/* End what is no more, note what is suspected. */
static bool
refresh(struct replicas *replicas, const struct view *view, uint64_t now_us)
{
    bool changed = false;

    for (size_t i = 0; i < replicas->count; i++) {
        struct replica_life *life = &replicas->lives[i];
        const struct view_member *member = view_find(view, life->id);

        if (life->ended_us != 0) {
            if (!life->gone &&
                (member == NULL || member->health == MEMBER_DEAD ||
                 member->since_us != life->seen_us)) {
                life->gone = true;
                changed = true;
            }
            continue;
        }
        if (member == NULL || !serves(member) ||
            member->service != life->service ||
            member->since_us != life->seen_us) {
            end_life(life, member, now_us);
            changed = true;
            continue;
        }
        life->suspect = member->health == MEMBER_SUSPECT;
    }
    return changed;
}

static bool
forget(struct replicas *replicas, uint64_t now_us)
{
    bool changed = false;

    for (size_t i = replicas->count; i-- > 0;) {
        struct replica_life *life = &replicas->lives[i];

        if (life->ended_us != 0 &&
            life->ended_us + (int64_t)REPLICAS_CUT_OFF_US <= (int64_t)now_us &&
            (life->gone ||
             replicas_find(replicas, life->id, life->service) != NULL)) {
            *life = replicas->lives[--replicas->count];
            changed = true;
        }
    }
    return changed;
}

int
replicas_update(struct replicas *replicas, const struct view *view,
                uint64_t now_us, bool *changed)
{
    int rc;

    if (view->self >= view->count) {
        return -EINVAL;
    }
    if (replicas->start_us == 0) {
        const struct view_member *self = &view->members[view->self];

        replicas->start_us = MIN(MAX(self->since_us, 1), MAX(now_us, 1));
        replicas->young_us = replicas->start_us;
        replicas->incarnation = self->incarnation;
    }
    replicas->alone = view->count == 1;
    *changed = forget(replicas, now_us);
    *changed |= refresh(replicas, view, now_us);
    for (size_t i = 0; i < view->count; i++) {
        const struct view_member *member = &view->members[i];

        if (!serves(member) ||
            replicas_find(replicas, member->id, member->service) != NULL) {
            continue;
        }
        rc = begin_life(replicas, member, now_us);
        if (rc < 0) {
            return rc;
        }
        *changed = true;
    }
    return 0;
}

bool
replicas_cut_off(const struct replicas *replicas, uint32_t service,
                 uint64_t now_us)
{
    uint64_t lowest = UINT64_MAX;
    bool lowest_here = false;
    size_t here = 0;
    size_t silent = 0;

    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_life *life = &replicas->lives[i];
        bool present = life->ended_us == 0;

        if (life->service != service || life->left) {
            continue;
        }
        if (!present && (life->ended_us + (int64_t)REPLICAS_CUT_OFF_US <=
                             (int64_t)now_us ||
                         replicas_find(replicas, life->id, service) != NULL)) {
            continue;
        }
        here += present;
        silent += !present;
        if (life->id < lowest) {
            lowest = life->id;
            lowest_here = present;
        }
    }
    if (replicas->alone && now_us < replicas->start_us + IDEM_SETTLE_US) {
        return true;
    }
    return here < silent || (here == silent && !lowest_here);
}

static uint64_t
score(const struct replica_life *life, const struct idem_key *key)
{
    return hash_pair(life->id, key->hash[0] ^ key->service);
}

/* Order of choice: the settled before the others, the settled by their
 * score for the key, the others by age (so that all views agree). */
static bool
better(const struct replica_life *a, const struct replica_life *b,
       const struct idem_key *key, int64_t settled_us)
{
    bool a_settled = replicas_settled(a, settled_us);
    bool b_settled = replicas_settled(b, settled_us);
    uint64_t a_score = score(a, key);
    uint64_t b_score = score(b, key);

    if (a_settled != b_settled) {
        return a_settled;
    }
    if (!a_settled && a->incarnation != b->incarnation) {
        return a->incarnation < b->incarnation;
    }
    return a_score != b_score ? a_score > b_score : a->id < b->id;
}

static void
insert(struct replica_set *set, const struct replica_life *life,
       const struct idem_key *key, int64_t settled_us)
{
    size_t at = set->count;

    while (at > 0 && better(life, set->lives[at - 1], key, settled_us)) {
        at--;
    }
    if (at == IDEM_REPLICAS) {
        return;
    }
    if (set->count < IDEM_REPLICAS) {
        set->count++;
    }
    for (size_t i = set->count - 1; i > at; i--) {
        set->lives[i] = set->lives[i - 1];
    }
    set->lives[at] = life;
}

/* The best of those who lived at @at_us; all of them count as settled when
 * @settled_us lies far enough ahead. */
static void
pick(const struct replicas *replicas, const struct idem_key *key,
     int64_t at_us, int64_t settled_us, struct replica_set *set)
{
    set->count = 0;
    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_life *life = &replicas->lives[i];

        if (life->service == key->service && life->since_us <= at_us &&
            (life->ended_us == 0 || life->ended_us > at_us)) {
            insert(set, life, key, settled_us);
        }
    }
}

void
replicas_at(const struct replicas *replicas, const struct idem_key *key,
            int64_t at_us, struct replica_set *set)
{
    pick(replicas, key, at_us, at_us, set);
}

/* While a service starts nobody lived that long ago: then all count who
 * lived since. */
void
replicas_earlier(const struct replicas *replicas, const struct idem_key *key,
                 uint64_t now_us, struct replica_set *set)
{
    int64_t ago = replicas_ago(now_us);

    pick(replicas, key, ago, ago, set);
    if (set->count > 0) {
        return;
    }
    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_life *life = &replicas->lives[i];

        if (life->service == key->service &&
            (life->ended_us == 0 || life->ended_us > ago)) {
            insert(set, life, key, ago);
        }
    }
}

/* Whether a life that has ended was one of @key's replicas at its end for
 * those to whom it was settled. */
static bool
was_replica(const struct replicas *replicas, const struct idem_key *key,
            const struct replica_life *life)
{
    struct replica_set set;

    pick(replicas, key, life->ended_us - 1,
         life->ended_us + (int64_t)IDEM_SETTLE_US, &set);
    for (size_t i = 0; i < set.count; i++) {
        if (set.lives[i] == life) {
            return true;
        }
    }
    return false;
}

size_t
replicas_missed(const struct replicas *replicas, const struct idem_key *key,
                uint64_t now_us)
{
    int64_t ago = replicas_ago(now_us);
    size_t missed = 0;

    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_life *life = &replicas->lives[i];

        missed += life->service == key->service && life->ended_us > ago &&
                  !replicas_settled(life, ago) &&
                  was_replica(replicas, key, life);
    }
    return missed;
}

void
replicas_targets(const struct replicas *replicas, const struct idem_key *key,
                 uint64_t now_us, struct replica_set *set)
{
    struct replica_set later;

    pick(replicas, key, (int64_t)now_us, (int64_t)now_us, set);
    pick(replicas, key, (int64_t)now_us,
         (int64_t)(now_us + 2 * IDEM_SETTLE_US), &later);
    for (size_t i = 0; i < later.count; i++) {
        bool present = false;

        for (size_t j = 0; j < set->count; j++) {
            present |= set->lives[j] == later.lives[i];
        }
        if (!present) {
            set->lives[set->count++] = later.lives[i];
        }
    }
}
