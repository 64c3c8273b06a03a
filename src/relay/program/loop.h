/**
 * DOC: loop - single-threaded event loop with a timer and signals
 *
 * Runs the owner's tick when it is due, and calls it back on SIGTERM and
 * SIGINT (stop) and on SIGHUP (reload).
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_LOOP_H
#define SWIFTARCH_RELAY_PROGRAM_LOOP_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

struct loop;

/** struct loop_ops - callbacks into the owner */
struct loop_ops {
    /** @tick: do due work; returns when the next tick is due, UINT64_MAX for
     * never */
    uint64_t (*tick)(struct loop *loop, uint64_t now_us);
    /** @stop: SIGTERM or SIGINT requests a planned stop */
    void (*stop)(struct loop *loop, uint64_t now_us);
    /** @reload: SIGHUP requests a reload of the settings */
    void (*reload)(struct loop *loop);
};

/**
 * struct loop - state of the loop
 * @ops: callbacks into the owner
 * @base: libevent's loop
 * @clock: monotonic clock
 * @timer: runs the tick
 * @signals: SIGTERM, SIGINT, SIGHUP
 * @tick_us: time of the last tick, a little ahead of the clock
 * @armed_us: when @timer expires, UINT64_MAX for never
 */
struct loop {
    const struct loop_ops *ops;
    struct event_base *base;
    struct clock clock;
    struct event *timer;
    struct event *signals[3];
    uint64_t tick_us;
    uint64_t armed_us;
};

/** loop_init() - set up events and signals, ignore SIGPIPE; 0 or -ENOMEM */
int
loop_init(struct loop *loop, const struct loop_ops *ops);

/** loop_finish() - free events and the loop, also after a failed loop_init()
 */
void
loop_finish(struct loop *loop);

/** loop_now_us() - monotonic time in microseconds, in ticks and between them
 */
uint64_t
loop_now_us(struct loop *loop);

/** loop_schedule() - run the tick at @due_us, unless it is due sooner */
void
loop_schedule(struct loop *loop, uint64_t due_us);

/** loop_run() - run until loop_stop() */
void
loop_run(struct loop *loop);

/** loop_stop() - make loop_run() return */
void
loop_stop(struct loop *loop);

#endif
