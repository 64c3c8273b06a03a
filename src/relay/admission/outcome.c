#include "relay/admission/outcome.h"

#include "base/clock.h"

/* Weight of one request: three resets in a row make an endpoint a failing
 * one, seven answers a well one again. One reset alone, as of a flow that its
 * endpoint has just closed, makes none. */
#define WEIGHT 8
#define FAILING 300

/* What isn't asked can't show that it is well again: its past counts half
 * after this long, and it is tried. */
#define HALF_LIFE_US (2 * USEC_PER_SEC)

static unsigned
failure_rate_at(const struct outcome *outcome, uint64_t now_us)
{
    uint64_t halves = (now_us - outcome->at_us) / HALF_LIFE_US;

    return halves < 16 ? outcome->failed >> halves : 0;
}

void
outcome_record(struct outcome *outcome, bool reset, uint64_t now_us)
{
    unsigned failed = failure_rate_at(outcome, now_us);

    failed -= failed / WEIGHT;
    outcome->failed = failed + (reset ? 1000 / WEIGHT : 0);
    outcome->at_us = now_us;
}

bool
outcome_is_failing(const struct outcome *outcome, uint64_t now_us)
{
    return failure_rate_at(outcome, now_us) >= FAILING;
}
