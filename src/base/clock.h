/**
 * DOC: clock - injectable monotonic clock, in microseconds
 *
 * Programs use the system's monotonic clock; tests use clock_manual, which
 * changes only in clock_manual_advance().
 */
#ifndef SWIFTARCH_BASE_CLOCK_H
#define SWIFTARCH_BASE_CLOCK_H

#include <stdint.h>

#define USEC_PER_MSEC UINT64_C(1000)
#define USEC_PER_SEC UINT64_C(1000000)

struct clock;

/**
 * struct clock_ops - vtable of a clock
 * @now_us: returns the current time, microseconds
 */
struct clock_ops {
    uint64_t (*now_us)(struct clock *clock);
};

/** struct clock - a clock; implementations embed it as first member */
struct clock {
    const struct clock_ops *ops;
};

/**
 * struct clock_manual - a clock advanced by tests
 * @base: clock to pass to the code under test
 * @now_us: current time, microseconds
 */
struct clock_manual {
    struct clock base;
    uint64_t now_us;
};

/** clock_now_us() - monotonic time of @clock, microseconds */
uint64_t
clock_now_us(struct clock *clock);

/** clock_runtime_init() - use the system's monotonic clock */
void
clock_runtime_init(struct clock *clock);

/** clock_manual_init() - start a manual clock at @now_us */
void
clock_manual_init(struct clock_manual *clock, uint64_t now_us);

/** clock_manual_advance() - add @delta_us to the time */
void
clock_manual_advance(struct clock_manual *clock, uint64_t delta_us);

#endif
