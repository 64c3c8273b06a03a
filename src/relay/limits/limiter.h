/**
 * DOC: limiter - a rate and a burst, in exact integers (GCRA)
 *
 * Each event adds a cost to a debt, and each microsecond repays a part of it;
 * an event is allowed while the debt stays within the burst. A limiter may
 * hold an equal share of a rate: its owner then allows 1/shares of the rate
 * and of the burst, at least one event. Costs are scaled by the number of
 * shares, so nothing is rounded and no drift adds up.
 *
 * The module reads no clock: callers pass the time.
 */
#ifndef SWIFTARCH_RELAY_LIMITS_LIMITER_H
#define SWIFTARCH_RELAY_LIMITS_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

/* Largest rate, burst and number of shares; the debt then fits 64 bits. */
#define LIMITER_RATE_MAX 1000000u
#define LIMITER_BURST_MAX 1000000u
#define LIMITER_SHARES_MAX 10000u

/**
 * struct limiter - rate, burst and debt
 * @per_s: events a second of all shares, 0 to allow none
 * @burst: events that may follow each other at once, of all shares
 * @shares: number of equal shares, at least 1
 * @debt: repaid by @per_s each microsecond; an event costs @shares times the
 *     microseconds of a second
 * @updated_us: time of @debt
 */
struct limiter {
    uint32_t per_s;
    uint32_t burst;
    uint32_t shares;
    uint64_t debt;
    uint64_t updated_us;
};

/** limiter_init() - a limiter without debt */
void
limiter_init(struct limiter *limiter, uint32_t per_s, uint32_t burst,
             uint32_t shares, uint64_t now_us);

/** limiter_change() - follow another rate, burst or number of shares; events
 * that have been counted stay counted, up to the new burst */
void
limiter_change(struct limiter *limiter, uint32_t per_s, uint32_t burst,
               uint32_t shares, uint64_t now_us);

/** limiter_allows() - whether an event is allowed now; doesn't count it */
bool
limiter_allows(const struct limiter *limiter, uint64_t now_us);

/** limiter_count() - count an event that limiter_allows() */
void
limiter_count(struct limiter *limiter, uint64_t now_us);

#endif
