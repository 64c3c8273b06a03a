#include "relay/door/pace.h"

#include <assert.h>

#include "base/clock.h"

/* Until the first request was seen: what requests of small sites take, and a
 * way of 3 ms to callers and back. */
#define WORK_FIRST_US (15 * USEC_PER_MSEC)
#define TRIP_FIRST_US (7 * USEC_PER_MSEC)

/* Weight of a new sample: some ten requests, a quarter of a second at an
 * endpoint of two slots, make an average. */
#define SAMPLE_WEIGHT 8

/* One sample counts at most so many times the average: a request that hangs
 * says little about the next. */
#define SAMPLE_MOST 6

/* Requests that take up to twice the mean are still in time: five of six.
 * With the mean alone a tenth of the slots of an overloaded second went to
 * answers that came just too late (0.007 of worth on such a day). */
#define WORK_SAFE 2

/* Flows on their way, at most so many times the slots: what an endpoint
 * queues if all of them arrive at once. */
#define AHEAD_MOST 4

static void
average(uint64_t *value, uint64_t sample)
{
    if (sample > SAMPLE_MOST * *value) {
        sample = SAMPLE_MOST * *value;
    }
    *value = (*value * (SAMPLE_WEIGHT - 1) + sample) / SAMPLE_WEIGHT;
}

void
pace_init(struct pace *pace)
{
    *pace = (struct pace){WORK_FIRST_US, TRIP_FIRST_US};
}

void
pace_trip(struct pace *pace, uint64_t trip_us)
{
    average(&pace->trip_us, trip_us);
}

void
pace_answer(struct pace *pace, uint64_t took_us, unsigned depth,
            unsigned slots)
{
    if (depth > slots) {
        took_us = took_us * slots / depth;
    }
    average(&pace->work_us, took_us);
}

unsigned
pace_ahead(const struct pace *pace, unsigned slots)
{
    uint64_t halves = 2 * slots * pace->trip_us / (pace->work_us + 1);
    uint64_t ahead = halves > 0 ? (halves - 1) / 2 : 0;
    unsigned most = AHEAD_MOST * slots;

    return ahead < most ? (unsigned)ahead : most;
}

uint64_t
pace_expect(const struct pace *pace, unsigned busy, unsigned slots)
{
    unsigned ahead = pace_ahead(pace, slots);
    uint64_t expect_us = pace->trip_us + WORK_SAFE * pace->work_us;

    assert(slots > 0);
    busy -= ahead < busy ? ahead : busy;
    if (busy >= slots) {
        expect_us += (busy + 1 - slots) * pace->work_us / slots;
    }
    return expect_us;
}
