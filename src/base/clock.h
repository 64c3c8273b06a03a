/**
 * DOC: clock - the time that all decisions see, in microseconds
 *
 * Programs use clock_runtime; tests use clock_manual, which stands still
 * until it is advanced.
 */
#ifndef SWIFTARCH_BASE_CLOCK_H
#define SWIFTARCH_BASE_CLOCK_H

#include <stdint.h>

#define USEC_PER_MSEC UINT64_C(1000)
#define USEC_PER_SEC UINT64_C(1000000)

struct clock;

/** struct clock_ops - how a clock tells the time */
struct clock_ops {
    uint64_t (*now_us)(struct clock *clock);
};

/** struct clock - any clock; the vtable comes first */
struct clock {
    const struct clock_ops *ops;
};

/**
 * struct clock_manual - a clock that tests set and advance
 * @base: the clock
 * @now_us: time shown, microseconds
 */
struct clock_manual {
    struct clock base;
    uint64_t now_us;
};

/** clock_now_us() - monotonic time of @clock, microseconds */
uint64_t
clock_now_us(struct clock *clock);

/** clock_runtime_init() - make @clock the monotonic clock of the system */
void
clock_runtime_init(struct clock *clock);

/** clock_manual_init() - make @clock a paused clock showing @now_us */
void
clock_manual_init(struct clock_manual *clock, uint64_t now_us);

/** clock_manual_advance() - move @clock on by @delta_us */
void
clock_manual_advance(struct clock_manual *clock, uint64_t delta_us);

#endif
