#include "relay/limits/limiter.h"

#include <glib.h>

#include "base/clock.h"

/* Debt of one event. */
static uint64_t
event_cost(const struct limiter *limiter)
{
    return limiter->shares * USEC_PER_SEC;
}

/* Largest debt: the burst, but at least one event. */
static uint64_t
debt_max(const struct limiter *limiter)
{
    return MAX(limiter->burst * USEC_PER_SEC, event_cost(limiter));
}

/* Debt that is left at @now_us. A time before the last one repays nothing. */
static uint64_t
debt_at(const struct limiter *limiter, uint64_t now_us)
{
    uint64_t elapsed_us =
        now_us > limiter->updated_us ? now_us - limiter->updated_us : 0;

    if (limiter->per_s == 0) {
        return limiter->debt;
    }
    /* Compares before it multiplies: a long pause would overflow. */
    if (elapsed_us >= limiter->debt / limiter->per_s + 1) {
        return 0;
    }
    return limiter->debt - MIN(limiter->debt, elapsed_us * limiter->per_s);
}

static void
repay(struct limiter *limiter, uint64_t now_us)
{
    limiter->debt = debt_at(limiter, now_us);
    limiter->updated_us = MAX(limiter->updated_us, now_us);
}

void
limiter_init(struct limiter *limiter, uint32_t per_s, uint32_t burst,
             uint32_t shares, uint64_t now_us)
{
    *limiter = (struct limiter){
        .per_s = per_s,
        .burst = burst,
        .shares = shares,
        .updated_us = now_us,
    };
}

void
limiter_change(struct limiter *limiter, uint32_t per_s, uint32_t burst,
               uint32_t shares, uint64_t now_us)
{
    uint64_t events;
    uint64_t rest;

    repay(limiter, now_us);
    /* The debt in events stays the same, to within a microsecond's part, but
     * at most the new burst: at a lower rate an earlier burst would refuse all
     * events for a long time. */
    events = limiter->debt / event_cost(limiter);
    rest = limiter->debt % event_cost(limiter) / limiter->shares;
    limiter->per_s = per_s;
    limiter->burst = burst;
    limiter->shares = shares;
    limiter->debt =
        MIN(events * event_cost(limiter) + rest * shares, debt_max(limiter));
}

bool
limiter_allows(const struct limiter *limiter, uint64_t now_us)
{
    return limiter->per_s > 0 &&
           debt_at(limiter, now_us) + event_cost(limiter) <= debt_max(limiter);
}

void
limiter_count(struct limiter *limiter, uint64_t now_us)
{
    repay(limiter, now_us);
    limiter->debt += event_cost(limiter);
}
