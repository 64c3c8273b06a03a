/**
 * DOC: wait_histogram - waits of held requests, by priority
 */
#ifndef SWIFTARCH_RELAY_SCHEDULER_WAIT_HISTOGRAM_H
#define SWIFTARCH_RELAY_SCHEDULER_WAIT_HISTOGRAM_H

#include <stdint.h>

/* Priorities that are told apart; lower ones count as the last. */
#define WAIT_HISTOGRAM_PRIORITIES 4
#define WAIT_HISTOGRAM_BUCKETS 9

/* Upper bounds of the buckets in milliseconds; the last has none. */
extern const unsigned wait_histogram_bounds_ms[WAIT_HISTOGRAM_BUCKETS - 1];

/**
 * struct wait_histogram - the waits
 * @count: waits by priority and bucket
 * @sum_us: sum of the waits by priority
 */
struct wait_histogram {
    uint64_t count[WAIT_HISTOGRAM_PRIORITIES][WAIT_HISTOGRAM_BUCKETS];
    uint64_t sum_us[WAIT_HISTOGRAM_PRIORITIES];
};

/** wait_histogram_add() - count a wait */
void
wait_histogram_add(struct wait_histogram *histogram, uint8_t priority,
                   uint64_t wait_us);

#endif
