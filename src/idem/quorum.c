#include "idem/quorum.h"

struct reserve_replica *
quorum_find(struct reserve *reserve, uint64_t id)
{
    for (size_t i = 0; i < reserve->queried_count; i++) {
        if (reserve->queried[i].id == id) {
            return &reserve->queried[i];
        }
    }
    return NULL;
}

static struct reserve_replica *
add_queried(struct reserve *reserve, const struct replica_session *session)
{
    struct reserve_replica *queried = quorum_find(reserve, session->id);

    if (queried == NULL) {
        g_assert(reserve->queried_count < RESERVE_QUERIED_MAX);
        queried = &reserve->queried[reserve->queried_count++];
        *queried = (struct reserve_replica){.id = session->id,
                                            .session = session->number};
    }
    return queried;
}

void
quorum_select(const struct idem *idem, struct reserve *reserve,
              uint64_t now_us)
{
    int64_t earlier_us = replicas_earlier_us(now_us);
    struct replica_set set;

    replicas_targets(&idem->replicas, &reserve->key, now_us, &set);
    for (size_t i = 0; i < set.count; i++) {
        (void)add_queried(reserve, set.sessions[i]);
    }
    replicas_at(&idem->replicas, &reserve->key, (int64_t)now_us, &set);
    for (size_t i = 0; i < set.count; i++) {
        struct reserve_replica *queried =
            add_queried(reserve, set.sessions[i]);

        queried->in_current = true;
        queried->current_ineligible =
            !replicas_eligible(set.sessions[i], (int64_t)now_us);
    }
    replicas_at(&idem->replicas, &reserve->key, earlier_us, &set);
    reserve->service_existed_earlier = set.count > 0;
    replicas_earlier(&idem->replicas, &reserve->key, now_us, &set);
    reserve->had_earlier = set.count > 0;
    reserve->recently_ended =
        replicas_recently_ended(&idem->replicas, &reserve->key, now_us);
    for (size_t i = 0; i < set.count; i++) {
        struct reserve_replica *queried;

        if (set.sessions[i]->gone) {
            continue;
        }
        queried = add_queried(reserve, set.sessions[i]);
        queried->in_earlier = true;
        queried->earlier_ineligible =
            !replicas_eligible(set.sessions[i], earlier_us);
    }
}

/* Returns the queried session, or NULL when its memory is lost. */
static const struct replica_session *
find_live_session(const struct idem *idem,
                  const struct reserve_replica *queried)
{
    for (size_t i = 0; i < idem->replicas.count; i++) {
        const struct replica_session *session = &idem->replicas.sessions[i];

        if (session->number == queried->session) {
            return session->gone ? NULL : session;
        }
    }
    return NULL;
}

/* Returns how many of the @earlier survivors must grant: IDEM_QUORUM, or all
 * of them when
 * - a replica that is in neither set has ended: it may share a record with
 *   only one of the survivors;
 * - this process has just started: it may have missed the death of a replica,
 *   or have derived another earlier set from its clock than other
 *   coordinators, and quorums of two overlapping sets needn't overlap. In a
 *   younger service the earlier set is the same for all. */
static size_t
earlier_needed(const struct idem *idem, const struct reserve *reserve,
               size_t earlier, uint64_t now_us)
{
    bool need_all = reserve->recently_ended > 0 ||
                    (reserve->service_existed_earlier &&
                     replicas_recently_started(&idem->replicas, now_us));

    return need_all ? earlier : MIN(IDEM_QUORUM, earlier);
}

bool
quorum_reached(const struct idem *idem, const struct reserve *reserve,
               uint64_t now_us)
{
    bool starting = replicas_starting(&idem->replicas, now_us);
    size_t current = 0;
    size_t current_granted = 0;
    size_t earlier = 0;
    size_t earlier_granted = 0;

    for (size_t i = 0; i < reserve->queried_count; i++) {
        const struct reserve_replica *queried = &reserve->queried[i];
        bool live = find_live_session(idem, queried) != NULL;
        bool granted = live && queried->granted && !queried->starting;

        if (starting && queried->in_current && queried->current_ineligible) {
            return false;
        }
        /* An ineligible replica counts only in a set that lacked eligible
         * ones. */
        current += queried->in_current;
        current_granted +=
            queried->in_current && granted &&
            (!queried->incomplete || queried->current_ineligible);
        earlier += queried->in_earlier && live;
        earlier_granted +=
            queried->in_earlier && granted &&
            (!queried->incomplete || queried->earlier_ineligible);
    }
    if (current == 0 || current_granted < MIN(IDEM_QUORUM, current) ||
        reserve->recently_ended >= IDEM_QUORUM ||
        replicas_stale(&idem->replicas, now_us) ||
        replicas_partitioned(&idem->replicas, reserve->key.service, now_us)) {
        return false;
    }
    return !reserve->had_earlier ||
           (earlier > 0 &&
            earlier_granted >= earlier_needed(idem, reserve, earlier, now_us));
}

bool
quorum_lost(const struct idem *idem, const struct reserve *reserve)
{
    bool survivor = false;

    for (size_t i = 0; i < reserve->queried_count; i++) {
        const struct reserve_replica *queried = &reserve->queried[i];

        survivor |=
            queried->in_earlier && find_live_session(idem, queried) != NULL;
    }
    return reserve->had_earlier && !survivor;
}

bool
quorum_must_wait(const struct idem *idem, const struct reserve *reserve,
                 bool suspects)
{
    for (size_t i = 0; i < reserve->queried_count; i++) {
        const struct reserve_replica *queried = &reserve->queried[i];
        const struct replica_session *session =
            find_live_session(idem, queried);

        if ((queried->in_current || queried->in_earlier) &&
            !queried->answered && session != NULL &&
            (suspects || !session->suspect)) {
            return true;
        }
    }
    return false;
}
