#include "base/clock.h"

#include <assert.h>
#include <time.h>

static uint64_t
runtime_now_us(struct clock *clock)
{
    struct timespec now;

    (void)clock;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * USEC_PER_SEC + (uint64_t)now.tv_nsec / 1000;
}

static uint64_t
manual_now_us(struct clock *clock)
{
    /* The base is the first member, so the cast is valid. */
    return ((struct clock_manual *)clock)->now_us;
}

static const struct clock_ops runtime_ops = {.now_us = runtime_now_us};
static const struct clock_ops manual_ops = {.now_us = manual_now_us};

uint64_t
clock_now_us(struct clock *clock)
{
    return clock->ops->now_us(clock);
}

void
clock_runtime_init(struct clock *clock)
{
    clock->ops = &runtime_ops;
}

void
clock_manual_init(struct clock_manual *clock, uint64_t now_us)
{
    clock->base.ops = &manual_ops;
    clock->now_us = now_us;
}

void
clock_manual_advance(struct clock_manual *clock, uint64_t delta_us)
{
    assert(clock->now_us + delta_us >= clock->now_us);
    clock->now_us += delta_us;
}
