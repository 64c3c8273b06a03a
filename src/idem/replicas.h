/**
 * DOC: replicas - ranks the members that store the record of a key
 *
 * A session is a period in which a member stores records of one service. It
 * starts when the process is first seen, announces the service or reappears
 * after it was declared dead, and ends when it dies, restarts, leaves or drops
 * the service. The local session also restarts after a pause of this process,
 * since other members may have declared it dead.
 *
 * An ended session stays in the list for REPLICAS_PARTITION_US, and until its
 * process has died or started another one, so that earlier replica sets can
 * be computed.
 */
#ifndef SWIFTARCH_IDEM_REPLICAS_H
#define SWIFTARCH_IDEM_REPLICAS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control/view.h"
#include "idem/types.h"

#define REPLICAS_TARGETS_MAX (2 * IDEM_REPLICAS)
#define REPLICAS_PARTITION_US (60 * USEC_PER_SEC)

/**
 * struct replica_session - one session of a member
 * @id: member id
 * @number: session number; never reused, never 0
 * @service: service id
 * @incarnation: the member's incarnation when the session started
 * @seen_us: since_us of its view entry, to detect a restart
 * @since_us: start of the session; may be before the start of this process
 * @ended_us: end of the session, or 0
 * @gone: the process has ended and its memory is lost
 * @left: the session ended while the process was alive
 * @suspect: the member is suspected: queried, but not waited for
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
 * struct replicas - sessions of all members
 * @sessions: present and ended sessions, unordered
 * @count: number of sessions
 * @capacity: allocated entries of @sessions
 * @next_number: number of the latest session
 * @incarnation: incarnation of this process in its first view
 * @start_us: start of this process; 0 before the first view
 * @complete_since_us: since when this process has received all messages: its
 *                     start, or the end of its last pause
 * @stale_us: end of the last pause of IDEM_STALE_US or more; 0: none
 * @alone: the view contains only this member
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

/** struct replica_set - replicas of a key, highest rank first. Pointers are
 * valid until the sessions change */
struct replica_set {
    const struct replica_session *sessions[REPLICAS_TARGETS_MAX];
    size_t count;
};

/** replicas_finish() - free the sessions */
void
replicas_finish(struct replicas *replicas);

/**
 * replicas_update() - update the sessions from a view
 * @changed: set to whether a session started, ended or was removed
 *
 * Return: 0 or -ENOMEM, -EINVAL for a view without this member.
 */
int
replicas_update(struct replicas *replicas, const struct view *view,
                uint64_t now_us, bool *changed);

/**
 * replicas_resume() - restart the local session after a pause, during which
 * other members may have declared this process dead
 * @paused_us: length of the pause
 *
 * Return: 0 or -ENOMEM.
 */
int
replicas_resume(struct replicas *replicas, uint64_t self, uint64_t paused_us,
                uint64_t now_us);

/** replicas_stale() - whether other members may already count members as
 * eligible whose joins this process missed during a pause */
bool
replicas_stale(const struct replicas *replicas, uint64_t now_us);

/** replicas_recently_started() - whether this process may have missed deaths
 * and returns before its start that still affect the earlier set */
bool
replicas_recently_started(const struct replicas *replicas, uint64_t now_us);

/** replicas_incomplete() - whether this process isn't eligible: it started or
 * was paused less than IDEM_ELIGIBLE_AFTER_US ago */
bool
replicas_incomplete(const struct replicas *replicas, uint64_t now_us);

/** replicas_starting() - whether this process started or was paused less than
 * IDEM_START_US ago */
bool
replicas_starting(const struct replicas *replicas, uint64_t now_us);

/** replicas_at() - the replicas of @key at @at_us, which isn't in the future
 */
void
replicas_at(const struct replicas *replicas, const struct idem_key *key,
            int64_t at_us, struct replica_set *set);

/** replicas_earlier() - the replicas of @key IDEM_ELIGIBLE_AFTER_US ago; in a
 * younger service the oldest sessions since then */
void
replicas_earlier(const struct replicas *replicas, const struct idem_key *key,
                 uint64_t now_us, struct replica_set *set);

/**
 * replicas_recently_ended() - number of recent replicas of @key that are in
 * neither the current nor the earlier set
 *
 * A session that becomes eligible and ends within IDEM_ELIGIBLE_AFTER_US is
 * in neither set here, but may be in both at a member for which it became
 * eligible sooner.
 */
size_t
replicas_recently_ended(const struct replicas *replicas,
                        const struct idem_key *key, uint64_t now_us);

/** replicas_targets() - members that should store the record: the current
 * replicas, and those once all present members are eligible */
void
replicas_targets(const struct replicas *replicas, const struct idem_key *key,
                 uint64_t now_us, struct replica_set *set);

/** replicas_eligible() - whether a session is at least IDEM_ELIGIBLE_AFTER_US
 * old at @at_us */
bool
replicas_eligible(const struct replica_session *session, int64_t at_us);

/** replicas_earlier_us() - IDEM_ELIGIBLE_AFTER_US before @now_us */
int64_t
replicas_earlier_us(uint64_t now_us);

/**
 * replicas_partitioned() - whether this process may be in the minority of a
 * network partition
 *
 * True for REPLICAS_PARTITION_US after half or more of a service's members
 * fell silent without leaving. Of two equal halves the one with the lowest id
 * continues. Also true in the first IDEM_ELIGIBLE_AFTER_US of a process that
 * sees no other member.
 */
bool
replicas_partitioned(const struct replicas *replicas, uint32_t service,
                     uint64_t now_us);

/** replicas_find() - the present session of member @id in @service, or NULL */
const struct replica_session *
replicas_find(const struct replicas *replicas, uint64_t id, uint32_t service);

#endif
