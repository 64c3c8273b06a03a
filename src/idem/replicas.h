/**
 * DOC: replicas - which members keep the record of a key
 *
 * A session is one stretch of a member's memory for one service: it begins
 * when the process is first seen, announces the service or comes back from
 * the dead, and ends when it dies, restarts, leaves or drops the service.
 * The own session ends and begins anew also when the process was paused:
 * others may have taken it for dead.
 * Ended sessions are remembered for REPLICAS_PARTITION_US, and as long as
 * their process sessions, so that the replicas of a while ago can still be
 * told.
 */
#ifndef SWIFTARCH_IDEM_REPLICAS_H
#define SWIFTARCH_IDEM_REPLICAS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control/view.h"
#include "idem/idem.h"

#define REPLICAS_TARGETS_MAX (2 * IDEM_REPLICAS)
#define REPLICAS_PARTITION_US (60 * USEC_PER_SEC)

/**
 * struct replica_session - one session of a member
 * @id: member id
 * @number: of this session, never reused; never 0
 * @service: service id
 * @incarnation: of the member when the session began
 * @seen_us: since_us of its view entry, to notice a restart
 * @since_us: beginning of the session; may lie before the own start
 * @ended_us: end of the session, or 0
 * @gone: its memory is lost, not only on the way out
 * @left: it was on the way out before
 * @suspect: asked, but not waited for
 */
struct replica_session {
    uint64_t id;
    uint32_t number;
    uint32_t service;
    uint64_t incarnation;
    uint64_t seen_us;
    int64_t since_us;
    int64_t ended_us;
    bool gone;
    bool left;
    bool suspect;
};

/**
 * struct replicas - all sessions known
 * @sessions: in no order
 * @count: sessions
 * @capacity: room in @sessions
 * @next_number: number of the next session
 * @incarnation: of the own process, when first seen
 * @start_us: own start; 0 before the first view
 * @complete_since_us: own memory is whole since then: own start, or the end of
 * the last pause
 * @stale_us: end of the last pause of IDEM_STALE_US or more; 0: none
 * @alone: nobody else is in the view
 */
struct replicas {
    struct replica_session *sessions;
    size_t count;
    size_t capacity;
    uint32_t next_number;
    uint64_t incarnation;
    uint64_t start_us;
    uint64_t complete_since_us;
    uint64_t stale_us;
    bool alone;
};

/** struct replica_set - members picked for a key, best first */
struct replica_set {
    const struct replica_session *sessions[REPLICAS_TARGETS_MAX];
    size_t count;
};

/** replicas_finish() - free the sessions */
void
replicas_finish(struct replicas *replicas);

/**
 * replicas_update() - take in a view
 * @changed: set to whether a session began or ended
 *
 * Return: 0 or -ENOMEM, -EINVAL for a view without the own member.
 */
int
replicas_update(struct replicas *replicas, const struct view *view,
                uint64_t now_us, bool *changed);

/**
 * replicas_resume() - this process was paused: others may have taken it for
 * dead and gone on without it, so its own session begins anew
 * @paused_us: for how long
 *
 * Return: 0 or -ENOMEM.
 */
int
replicas_resume(struct replicas *replicas, uint64_t self, uint64_t paused_us,
                uint64_t now_us);

/** replicas_stale() - whether a pause may have hidden joins that others
 * count as settled: the members catch up, then the newcomers settle here */
bool
replicas_stale(const struct replicas *replicas, uint64_t now_us);

/** replicas_recently_started() - whether this process may not know who died,
 * or came back from the dead, before it started and yet counts for the others
 */
bool
replicas_recently_started(const struct replicas *replicas, uint64_t now_us);

/** replicas_incomplete() - whether the own memory isn't settled */
bool
replicas_incomplete(const struct replicas *replicas, uint64_t now_us);

/** replicas_starting() - whether it is younger than IDEM_START_US */
bool
replicas_starting(const struct replicas *replicas, uint64_t now_us);

/** replicas_at() - the replicas of @key at @at_us, now or earlier */
void
replicas_at(const struct replicas *replicas, const struct idem_key *key,
            int64_t at_us, struct replica_set *set);

/** replicas_earlier() - the replicas of @key IDEM_ELIGIBLE_AFTER_US ago, or,
 * in a service that is younger, the oldest of all who were there since */
void
replicas_earlier(const struct replicas *replicas, const struct idem_key *key,
                 uint64_t now_us, struct replica_set *set);

/**
 * replicas_missed() - who held records of @key lately without being in the
 * set of now or the earlier one
 *
 * A member that settles and leaves within IDEM_ELIGIBLE_AFTER_US is in neither
 * here, but in both where it settled before. How many such sessions ended
 * since.
 */
size_t
replicas_missed(const struct replicas *replicas, const struct idem_key *key,
                uint64_t now_us);

/** replicas_targets() - who should hold the record: the replicas of now and
 * those that will be when all who are here have settled */
void
replicas_targets(const struct replicas *replicas, const struct idem_key *key,
                 uint64_t now_us, struct replica_set *set);

/** replicas_eligible() - whether a session counts as a replica at @at_us */
bool
replicas_eligible(const struct replica_session *session, int64_t at_us);

/** replicas_earlier_us() - IDEM_ELIGIBLE_AFTER_US before @now_us */
int64_t
replicas_earlier_us(uint64_t now_us);

/**
 * replicas_partitioned() - whether this process may be the one that is cut off
 *
 * True for REPLICAS_PARTITION_US after half of a service's members (or more)
 * fell silent without a goodbye: they may be running on the other side of
 * a cut. Of two equal halves the one with the lowest id goes on. True also
 * in the first IDEM_ELIGIBLE_AFTER_US of a process that sees nobody else.
 */
bool
replicas_partitioned(const struct replicas *replicas, uint32_t service,
                     uint64_t now_us);

/** replicas_find() - the present session of member @id in @service, or NULL */
const struct replica_session *
replicas_find(const struct replicas *replicas, uint64_t id, uint32_t service);

#endif
