#include "idem/quorum.h"

struct reserve_asked *
quorum_find(struct reserve *reserve, uint64_t id)
{
    for (size_t i = 0; i < reserve->asked_count; i++) {
        if (reserve->asked[i].id == id) {
            return &reserve->asked[i];
        }
    }
    return NULL;
}

static struct reserve_asked *
add(struct reserve *reserve, const struct replica_life *life)
{
    struct reserve_asked *asked = quorum_find(reserve, life->id);

    if (asked == NULL) {
        g_assert(reserve->asked_count < RESERVE_ASKED_MAX);
        asked = &reserve->asked[reserve->asked_count++];
        *asked = (struct reserve_asked){.id = life->id, .life = life->number};
    }
    return asked;
}

/* Who must be asked: both sets, and those who will hold the record later. */
void
quorum_choose(const struct idem *idem, struct reserve *reserve,
              uint64_t now_us)
{
    int64_t ago = replicas_ago(now_us);
    struct replica_set set;

    replicas_targets(&idem->replicas, &reserve->key, now_us, &set);
    for (size_t i = 0; i < set.count; i++) {
        (void)add(reserve, set.lives[i]);
    }
    replicas_at(&idem->replicas, &reserve->key, (int64_t)now_us, &set);
    for (size_t i = 0; i < set.count; i++) {
        struct reserve_asked *asked = add(reserve, set.lives[i]);

        asked->now = true;
        asked->now_unsettled =
            !replicas_settled(set.lives[i], (int64_t)now_us);
    }
    replicas_at(&idem->replicas, &reserve->key, ago, &set);
    reserve->lived_earlier = set.count > 0;
    replicas_earlier(&idem->replicas, &reserve->key, now_us, &set);
    reserve->had_earlier = set.count > 0;
    reserve->missed = replicas_missed(&idem->replicas, &reserve->key, now_us);
    for (size_t i = 0; i < set.count; i++) {
        struct reserve_asked *asked;

        if (set.lives[i]->gone) {
            continue;
        }
        asked = add(reserve, set.lives[i]);
        asked->earlier = true;
        asked->earlier_unsettled = !replicas_settled(set.lives[i], ago);
    }
}

/* The life that was asked, while its memory is still there. */
static const struct replica_life *
living(const struct idem *idem, const struct reserve_asked *asked)
{
    for (size_t i = 0; i < idem->replicas.count; i++) {
        const struct replica_life *life = &idem->replicas.lives[i];

        if (life->number == asked->life) {
            return life->gone ? NULL : life;
        }
    }
    return NULL;
}

/* How many of the @earlier ones left must grant: all if they are fewer than
 * the quorum, and all in three more cases.
 * - A replica came and went: it may hold a record together with one of them.
 * - One that a newcomer never saw die may have had the place of any of them;
 *   then the others are the survivors.
 * - The service was starting then: who lived at that time depends on the
 *   clock of the process that tells. Two sets share members, but two of three
 *   of one and two of three of the other needn't. While nobody lived that
 *   long ago they are the oldest for everybody, and the quorum does. */
static size_t
earlier_needed(const struct idem *idem, const struct reserve *reserve,
               size_t earlier, uint64_t now_us)
{
    bool all =
        reserve->missed > 0 ||
        (reserve->lived_earlier && replicas_newcomer(&idem->replicas, now_us));

    return all ? earlier : MIN(IDEM_QUORUM, earlier);
}

/* Grants of both sets. Of the earlier set at least one must be left. */
bool
quorum_reached(const struct idem *idem, const struct reserve *reserve,
               uint64_t now_us)
{
    bool starting = replicas_starting(&idem->replicas, now_us);
    size_t now = 0;
    size_t now_granted = 0;
    size_t earlier = 0;
    size_t earlier_granted = 0;

    for (size_t i = 0; i < reserve->asked_count; i++) {
        const struct reserve_asked *asked = &reserve->asked[i];
        bool there = living(idem, asked) != NULL;
        bool granted = there && asked->granted && !asked->starting;

        if (starting && asked->now && asked->now_unsettled) {
            return false;
        }
        /* A young memory counts only where nobody had an older one. */
        now += asked->now;
        now_granted +=
            asked->now && granted && (!asked->young || asked->now_unsettled);
        earlier += asked->earlier && there;
        earlier_granted += asked->earlier && granted &&
                           (!asked->young || asked->earlier_unsettled);
    }
    if (now == 0 || now_granted < MIN(IDEM_QUORUM, now) ||
        reserve->missed >= IDEM_QUORUM ||
        replicas_stale(&idem->replicas, now_us) ||
        replicas_cut_off(&idem->replicas, reserve->key.service, now_us)) {
        return false;
    }
    return !reserve->had_earlier ||
           (earlier > 0 &&
            earlier_granted >= earlier_needed(idem, reserve, earlier, now_us));
}

/* Whether nobody of the earlier set is left. */
bool
quorum_lost(const struct idem *idem, const struct reserve *reserve)
{
    bool any = false;

    for (size_t i = 0; i < reserve->asked_count; i++) {
        const struct reserve_asked *asked = &reserve->asked[i];

        any |= asked->earlier && living(idem, asked) != NULL;
    }
    return reserve->had_earlier && !any;
}

/* Whether the word of somebody who should know is still out; of suspects
 * only with @suspects. */
bool
quorum_must_wait(const struct idem *idem, const struct reserve *reserve,
                 bool suspects)
{
    for (size_t i = 0; i < reserve->asked_count; i++) {
        const struct reserve_asked *asked = &reserve->asked[i];
        const struct replica_life *life = living(idem, asked);

        if ((asked->now || asked->earlier) && !asked->answered &&
            life != NULL && (suspects || !life->suspect)) {
            return true;
        }
    }
    return false;
}
