#include "relay/admission/latency.h"

#include <assert.h>

#include "base/clock.h"

/* Averages before the first sample: requests of small sites, and callers 3 ms
 * away. */
#define SERVICE_INITIAL_US (15 * USEC_PER_MSEC)
#define RTT_INITIAL_US (7 * USEC_PER_MSEC)

/* A new sample has a weight of 1/SAMPLE_WEIGHT: about ten requests make an
 * average. */
#define SAMPLE_WEIGHT 8

/* A sample counts as at most this many times the average, so that one hanging
 * request has little effect. */
#define SAMPLE_MAX_RATIO 6

/* Estimates allow for requests of twice the mean; five of six take no longer.
 * With the mean alone a tenth of an overloaded endpoint's slots went to
 * answers that came just too late. */
#define SERVICE_MARGIN 2

/* Overcommitted flows are limited to this many times the slots: the endpoint
 * queues them if all requests arrive at once. */
#define OVERCOMMIT_MAX_RATIO 4

static void
update_average(uint64_t *value, uint64_t sample)
{
    if (sample > SAMPLE_MAX_RATIO * *value) {
        sample = SAMPLE_MAX_RATIO * *value;
    }
    *value = (*value * (SAMPLE_WEIGHT - 1) + sample) / SAMPLE_WEIGHT;
}

void
latency_init(struct latency *latency)
{
    *latency = (struct latency){SERVICE_INITIAL_US, RTT_INITIAL_US};
}

void
latency_add_rtt(struct latency *latency, uint64_t rtt_us)
{
    update_average(&latency->rtt_us, rtt_us);
}

void
latency_add_service(struct latency *latency, uint64_t elapsed_us,
                    unsigned depth, unsigned slots)
{
    if (depth > slots) {
        elapsed_us = elapsed_us * slots / depth;
    }
    update_average(&latency->service_us, elapsed_us);
}

unsigned
latency_overcommit(const struct latency *latency, unsigned slots)
{
    uint64_t halves = 2 * slots * latency->rtt_us / (latency->service_us + 1);
    uint64_t overcommit = halves > 0 ? (halves - 1) / 2 : 0;
    unsigned max = OVERCOMMIT_MAX_RATIO * slots;

    return overcommit < max ? (unsigned)overcommit : max;
}

uint64_t
latency_estimate(const struct latency *latency, unsigned busy, unsigned slots)
{
    unsigned overcommit = latency_overcommit(latency, slots);
    uint64_t estimate_us =
        latency->rtt_us + SERVICE_MARGIN * latency->service_us;

    assert(slots > 0);
    busy -= overcommit < busy ? overcommit : busy;
    if (busy >= slots) {
        estimate_us += (busy + 1 - slots) * latency->service_us / slots;
    }
    return estimate_us;
}
