/**
 * DOC: loop - one thread: events, a tick when something is due, signals
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_LOOP_H
#define SWIFTARCH_RELAY_PROGRAM_LOOP_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"

struct loop;

/** struct loop_ops - what the owner is asked */
struct loop_ops {
    /** @tick: do what is due, then say when the next tick is due */
    uint64_t (*tick)(struct loop *loop, uint64_t now_us);
    /** @stop: a planned stop was asked for */
    void (*stop)(struct loop *loop, uint64_t now_us);
    /** @reload: the settings file has changed */
    void (*reload)(struct loop *loop);
};

/**
 * struct loop - the loop; the vtable comes first
 * @ops: the owner
 * @base: events
 * @clock: time
 * @timer: fires the tick
 * @signals: SIGTERM, SIGINT, SIGHUP
 * @armed_us: when the timer is set to fire
 */
struct loop {
    const struct loop_ops *ops;
    struct event_base *base;
    struct clock clock;
    struct event *timer;
    struct event *signals[3];
    uint64_t armed_us;
};

/** loop_init() - 0 or -ENOMEM */
int
loop_init(struct loop *loop, const struct loop_ops *ops);

/** loop_finish() - free the events */
void
loop_finish(struct loop *loop);

/** loop_now_us() - steady time */
uint64_t
loop_now_us(struct loop *loop);

/** loop_schedule() - something is due at @due_us, maybe sooner than the timer
 */
void
loop_schedule(struct loop *loop, uint64_t due_us);

/** loop_run() - until loop_stop() */
void
loop_run(struct loop *loop);

/** loop_stop() - leave loop_run() */
void
loop_stop(struct loop *loop);

#endif
