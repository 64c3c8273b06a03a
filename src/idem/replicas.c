#include "idem/replicas.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>

#include "base/hash.h"

void
replicas_finish(struct replicas *replicas)
{
    free(replicas->sessions);
    *replicas = (struct replicas){0};
}

int64_t
replicas_earlier_us(uint64_t now_us)
{
    return (int64_t)now_us - (int64_t)IDEM_ELIGIBLE_AFTER_US;
}

bool
replicas_eligible(const struct replica_session *session, int64_t at_us)
{
    return session->since_us + (int64_t)IDEM_ELIGIBLE_AFTER_US <= at_us;
}

/* Whether a member can store records of its service. */
static bool
can_store_records(const struct view_member *member)
{
    return member->role == MEMBER_AGENT && member->service != 0 &&
           member->health != MEMBER_DEAD && member->state != MEMBER_LEAVING;
}

const struct replica_session *
replicas_find(const struct replicas *replicas, uint64_t id, uint32_t service)
{
    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_session *session = &replicas->sessions[i];

        if (session->id == id && session->service == service &&
            session->ended_us == 0) {
            return session;
        }
    }
    return NULL;
}

/* Whether @member has a session in the list, present or ended. */
static bool
had_session(const struct replicas *replicas, const struct view_member *member)
{
    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_session *session = &replicas->sessions[i];

        if (session->id == member->id && session->service == member->service) {
            return true;
        }
    }
    return false;
}

/* Returns the start of a new session: now, or, in a process that has just
 * started and sees all members for the first time, an estimate from the wall
 * clock in the incarnations. */
static int64_t
session_start_us(const struct replicas *replicas,
                 const struct view_member *member, uint64_t now_us)
{
    bool incomplete = now_us < replicas->start_us + IDEM_ELIGIBLE_AFTER_US;
    int64_t age;

    if ((!incomplete && replicas->count > 0) ||
        had_session(replicas, member)) {
        return (int64_t)now_us;
    }
    age = (int64_t)(replicas->incarnation - member->incarnation);
    age += (int64_t)(now_us - replicas->start_us);
    return (int64_t)now_us - MAX(age, 0);
}

static int
add_session(struct replicas *replicas, const struct replica_session *session)
{
    if (replicas->count == replicas->capacity) {
        size_t capacity = replicas->capacity ? 2 * replicas->capacity : 16;
        struct replica_session *sessions;

        sessions = realloc(replicas->sessions, capacity * sizeof(*sessions));
        if (sessions == NULL) {
            return -ENOMEM;
        }
        replicas->sessions = sessions;
        replicas->capacity = capacity;
    }
    replicas->sessions[replicas->count] = *session;
    replicas->sessions[replicas->count++].number = ++replicas->next_number;
    return 0;
}

static int
start_session(struct replicas *replicas, const struct view_member *member,
              uint64_t now_us)
{
    struct replica_session session = {
        .id = member->id,
        .service = member->service,
        .incarnation = member->incarnation,
        .seen_us = member->since_us,
        .since_us = session_start_us(replicas, member, now_us),
        .suspect = member->health == MEMBER_SUSPECT,
    };

    return add_session(replicas, &session);
}

int
replicas_resume(struct replicas *replicas, uint64_t self, uint64_t paused_us,
                uint64_t now_us)
{
    size_t count = replicas->count;

    replicas->complete_since_us = now_us;
    if (paused_us >= IDEM_STALE_US) {
        replicas->stale_us = now_us;
    }
    for (size_t i = 0; i < count; i++) {
        struct replica_session session = replicas->sessions[i];
        int rc;

        if (session.id != self || session.ended_us != 0) {
            continue;
        }
        replicas->sessions[i].ended_us = (int64_t)now_us;
        replicas->sessions[i].left = true;
        session.since_us = (int64_t)now_us;
        rc = add_session(replicas, &session);
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
           now_us < replicas->stale_us + 2 * IDEM_ELIGIBLE_AFTER_US;
}

bool
replicas_recently_started(const struct replicas *replicas, uint64_t now_us)
{
    return now_us < replicas->start_us + 2 * IDEM_ELIGIBLE_AFTER_US;
}

bool
replicas_incomplete(const struct replicas *replicas, uint64_t now_us)
{
    return now_us < replicas->complete_since_us + IDEM_ELIGIBLE_AFTER_US;
}

bool
replicas_starting(const struct replicas *replicas, uint64_t now_us)
{
    return now_us < replicas->complete_since_us + IDEM_START_US;
}

static void
end_session(struct replica_session *session, const struct view_member *member,
            uint64_t now_us)
{
    session->ended_us = now_us > 0 ? (int64_t)now_us : 1;
    session->gone = member == NULL || member->health == MEMBER_DEAD ||
                    member->since_us != session->seen_us;
    session->left = !session->gone;
}

/* Ends the sessions that the view no longer contains and updates suspicions.
 * Returns whether any session changed. */
static bool
refresh_sessions(struct replicas *replicas, const struct view *view,
                 uint64_t now_us)
{
    bool changed = false;

    for (size_t i = 0; i < replicas->count; i++) {
        struct replica_session *session = &replicas->sessions[i];
        const struct view_member *member = view_find(view, session->id);

        if (session->ended_us != 0) {
            if (!session->gone &&
                (member == NULL || member->health == MEMBER_DEAD ||
                 member->since_us != session->seen_us)) {
                session->gone = true;
                changed = true;
            }
            continue;
        }
        if (member == NULL || !can_store_records(member) ||
            member->service != session->service ||
            member->since_us != session->seen_us) {
            end_session(session, member, now_us);
            changed = true;
            continue;
        }
        session->suspect = member->health == MEMBER_SUSPECT;
    }
    return changed;
}

static bool
remove_expired(struct replicas *replicas, uint64_t now_us)
{
    bool changed = false;

    for (size_t i = replicas->count; i-- > 0;) {
        struct replica_session *session = &replicas->sessions[i];

        if (session->ended_us != 0 &&
            session->ended_us + (int64_t)REPLICAS_PARTITION_US <=
                (int64_t)now_us &&
            (session->gone ||
             replicas_find(replicas, session->id, session->service) != NULL)) {
            *session = replicas->sessions[--replicas->count];
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
        replicas->complete_since_us = replicas->start_us;
        replicas->incarnation = self->incarnation;
    }
    replicas->alone = view->count == 1;
    *changed = remove_expired(replicas, now_us);
    *changed |= refresh_sessions(replicas, view, now_us);
    for (size_t i = 0; i < view->count; i++) {
        const struct view_member *member = &view->members[i];

        if (!can_store_records(member) ||
            replicas_find(replicas, member->id, member->service) != NULL) {
            continue;
        }
        rc = start_session(replicas, member, now_us);
        if (rc < 0) {
            return rc;
        }
        *changed = true;
    }
    return 0;
}

bool
replicas_partitioned(const struct replicas *replicas, uint32_t service,
                     uint64_t now_us)
{
    uint64_t lowest_id = UINT64_MAX;
    bool lowest_present = false;
    size_t present_count = 0;
    size_t silent_count = 0;

    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_session *session = &replicas->sessions[i];
        bool present = session->ended_us == 0;

        if (session->service != service || session->left) {
            continue;
        }
        if (!present &&
            (session->ended_us + (int64_t)REPLICAS_PARTITION_US <=
                 (int64_t)now_us ||
             replicas_find(replicas, session->id, service) != NULL)) {
            continue;
        }
        present_count += present;
        silent_count += !present;
        if (session->id < lowest_id) {
            lowest_id = session->id;
            lowest_present = present;
        }
    }
    if (replicas->alone &&
        now_us < replicas->start_us + IDEM_ELIGIBLE_AFTER_US) {
        return true;
    }
    return present_count < silent_count ||
           (present_count == silent_count && !lowest_present);
}

static uint64_t
score(const struct replica_session *session, const struct idem_key *key)
{
    return hash_pair(session->id, key->hash[0] ^ key->service);
}

/* Ranks eligible sessions first, by score for the key. Others follow by age,
 * so that all views agree. */
static bool
ranks_before(const struct replica_session *a, const struct replica_session *b,
             const struct idem_key *key, int64_t eligible_us)
{
    bool a_eligible = replicas_eligible(a, eligible_us);
    bool b_eligible = replicas_eligible(b, eligible_us);
    uint64_t a_score = score(a, key);
    uint64_t b_score = score(b, key);

    if (a_eligible != b_eligible) {
        return a_eligible;
    }
    if (!a_eligible && a->incarnation != b->incarnation) {
        return a->incarnation < b->incarnation;
    }
    return a_score != b_score ? a_score > b_score : a->id < b->id;
}

static void
insert_ranked(struct replica_set *set, const struct replica_session *session,
              const struct idem_key *key, int64_t eligible_us)
{
    size_t at = set->count;

    while (at > 0 &&
           ranks_before(session, set->sessions[at - 1], key, eligible_us)) {
        at--;
    }
    if (at == IDEM_REPLICAS) {
        return;
    }
    if (set->count < IDEM_REPLICAS) {
        set->count++;
    }
    for (size_t i = set->count - 1; i > at; i--) {
        set->sessions[i] = set->sessions[i - 1];
    }
    set->sessions[at] = session;
}

/* Selects the highest-ranked sessions among those alive at @at_us. Eligibility
 * is judged at @eligible_us; a time far enough ahead makes all eligible. */
static void
select_replicas(const struct replicas *replicas, const struct idem_key *key,
                int64_t at_us, int64_t eligible_us, struct replica_set *set)
{
    set->count = 0;
    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_session *session = &replicas->sessions[i];

        if (session->service == key->service && session->since_us <= at_us &&
            (session->ended_us == 0 || session->ended_us > at_us)) {
            insert_ranked(set, session, key, eligible_us);
        }
    }
}

void
replicas_at(const struct replicas *replicas, const struct idem_key *key,
            int64_t at_us, struct replica_set *set)
{
    select_replicas(replicas, key, at_us, at_us, set);
}

/* In a service that is younger, all sessions since then are ranked. */
void
replicas_earlier(const struct replicas *replicas, const struct idem_key *key,
                 uint64_t now_us, struct replica_set *set)
{
    int64_t earlier_us = replicas_earlier_us(now_us);

    select_replicas(replicas, key, earlier_us, earlier_us, set);
    if (set->count > 0) {
        return;
    }
    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_session *session = &replicas->sessions[i];

        if (session->service == key->service &&
            (session->ended_us == 0 || session->ended_us > earlier_us)) {
            insert_ranked(set, session, key, earlier_us);
        }
    }
}

/* Whether an ended session was one of @key's replicas at its end, for members
 * that considered it eligible. */
static bool
was_replica(const struct replicas *replicas, const struct idem_key *key,
            const struct replica_session *session)
{
    struct replica_set set;

    select_replicas(replicas, key, session->ended_us - 1,
                    session->ended_us + (int64_t)IDEM_ELIGIBLE_AFTER_US, &set);
    for (size_t i = 0; i < set.count; i++) {
        if (set.sessions[i] == session) {
            return true;
        }
    }
    return false;
}

size_t
replicas_recently_ended(const struct replicas *replicas,
                        const struct idem_key *key, uint64_t now_us)
{
    int64_t earlier_us = replicas_earlier_us(now_us);
    size_t recently_ended = 0;

    for (size_t i = 0; i < replicas->count; i++) {
        const struct replica_session *session = &replicas->sessions[i];

        recently_ended += session->service == key->service &&
                          session->ended_us > earlier_us &&
                          !replicas_eligible(session, earlier_us) &&
                          was_replica(replicas, key, session);
    }
    return recently_ended;
}

void
replicas_targets(const struct replicas *replicas, const struct idem_key *key,
                 uint64_t now_us, struct replica_set *set)
{
    struct replica_set later;

    select_replicas(replicas, key, (int64_t)now_us, (int64_t)now_us, set);
    select_replicas(replicas, key, (int64_t)now_us,
                    (int64_t)(now_us + 2 * IDEM_ELIGIBLE_AFTER_US), &later);
    for (size_t i = 0; i < later.count; i++) {
        bool present = false;

        for (size_t j = 0; j < set->count; j++) {
            present |= set->sessions[j] == later.sessions[i];
        }
        if (!present) {
            set->sessions[set->count++] = later.sessions[i];
        }
    }
}
