#include "relay/admission/outcome.h"

#include "base/clock.h"

/* A request has a weight of 1/SAMPLE_WEIGHT. Three resets in a row reach the
 * threshold, a single one doesn't: it may be of a flow that the endpoint just
 * closed. */
#define SAMPLE_WEIGHT 8
#define FAILING_PER_MILLE 300

/* The rate halves after this time without requests, so that the endpoint is
 * tried again. */
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

    failed -= failed / SAMPLE_WEIGHT;
    outcome->failed = failed + (reset ? 1000 / SAMPLE_WEIGHT : 0);
    outcome->at_us = now_us;
}

bool
outcome_is_failing(const struct outcome *outcome, uint64_t now_us)
{
    return failure_rate_at(outcome, now_us) >= FAILING_PER_MILLE;
}
