#include "relay/scheduler/wait_histogram.h"

#include <glib.h>

#include "base/clock.h"

const unsigned wait_histogram_bounds_ms[WAIT_HISTOGRAM_BUCKETS - 1] = {
    1, 5, 10, 25, 50, 100, 250, 500};

void
wait_histogram_add(struct wait_histogram *histogram, uint8_t priority,
                   uint64_t wait_us)
{
    unsigned row = MIN(priority, WAIT_HISTOGRAM_PRIORITIES - 1);
    unsigned bucket = 0;

    while (bucket < WAIT_HISTOGRAM_BUCKETS - 1 &&
           wait_us > wait_histogram_bounds_ms[bucket] * USEC_PER_MSEC) {
        bucket++;
    }
    histogram->count[row][bucket]++;
    histogram->sum_us[row] += wait_us;
}
