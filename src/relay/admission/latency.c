#include "relay/admission/latency.h"

#include <assert.h>

#include "base/clock.h"

/* Until the first request was seen: what requests of small sites take, and a
 * way of 3 ms to callers and back. */
#define SERVICE_INITIAL_US (15 * USEC_PER_MSEC)
#define RTT_INITIAL_US (7 * USEC_PER_MSEC)

/* Weight of a new sample: some ten requests, a quarter of a second at an
 * endpoint of two slots, make an average. */
#define SAMPLE_WEIGHT 8

/* One sample counts at most so many times the average: a request that hangs
 * says little about the next. */
#define SAMPLE_MAX_RATIO 6

/* Requests that take up to twice the mean are still in time: five of six.
 * With the mean alone a tenth of the slots of an overloaded second went to
 * answers that came just too late (0.007 of worth on such a day). */
#define SERVICE_MARGIN 2

/* Flows on their way, at most so many times the slots: what an endpoint
 * queues if all of them arrive at once. */
#define OVERCOMMIT_MAX_RATIO 4

static void
average(uint64_t *value, uint64_t sample)
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
    average(&latency->rtt_us, rtt_us);
}

void
latency_add_service(struct latency *latency, uint64_t took_us, unsigned depth,
                    unsigned slots)
{
    if (depth > slots) {
        took_us = took_us * slots / depth;
    }
    average(&latency->service_us, took_us);
}

unsigned
latency_overcommit(const struct latency *latency, unsigned slots)
{
    uint64_t halves = 2 * slots * latency->rtt_us / (latency->service_us + 1);
    uint64_t ahead = halves > 0 ? (halves - 1) / 2 : 0;
    unsigned most = OVERCOMMIT_MAX_RATIO * slots;

    return ahead < most ? (unsigned)ahead : most;
}

uint64_t
latency_estimate(const struct latency *latency, unsigned busy, unsigned slots)
{
    unsigned ahead = latency_overcommit(latency, slots);
    uint64_t expect_us =
        latency->rtt_us + SERVICE_MARGIN * latency->service_us;

    assert(slots > 0);
    busy -= ahead < busy ? ahead : busy;
    if (busy >= slots) {
        expect_us += (busy + 1 - slots) * latency->service_us / slots;
    }
    return expect_us;
}
