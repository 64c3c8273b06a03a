#include "relay/program/loop.h"

#include <errno.h>
#include <signal.h>
#include <stddef.h>
#include <string.h>

/* Work due within this time is done in the current tick, which saves a
 * wakeup. */
#define TICK_TOLERANCE_US 200

static void
arm_timer(struct loop *loop, uint64_t due_us)
{
    uint64_t now_us = loop_now_us(loop);
    uint64_t delay_us = due_us > now_us ? due_us - now_us : 0;
    struct timeval delay = {
        .tv_sec = (time_t)(delay_us / USEC_PER_SEC),
        .tv_usec = (suseconds_t)(delay_us % USEC_PER_SEC),
    };

    loop->armed_us = due_us;
    if (due_us != UINT64_MAX) {
        evtimer_add(loop->timer, &delay);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *data)
{
    struct loop *loop = data;

    loop->armed_us = UINT64_MAX;
    loop->tick_us = loop_now_us(loop) + TICK_TOLERANCE_US;
    arm_timer(loop, loop->ops->tick(loop, loop->tick_us));
}

static void
on_signal(evutil_socket_t number, short events, void *data)
{
    struct loop *loop = data;

    if (number == SIGHUP) {
        loop->ops->reload(loop);
    }
    else {
        loop->ops->stop(loop, loop_now_us(loop));
    }
    loop_schedule(loop, loop_now_us(loop));
}

static int
add_signals(struct loop *loop)
{
    static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};

    for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
        loop->signals[i] =
            evsignal_new(loop->base, numbers[i], on_signal, loop);
        if (loop->signals[i] == NULL ||
            event_add(loop->signals[i], NULL) < 0) {
            return -ENOMEM;
        }
    }
    return 0;
}

int
loop_init(struct loop *loop, const struct loop_ops *ops)
{
    memset(loop, 0, sizeof(*loop));
    loop->ops = ops;
    loop->armed_us = UINT64_MAX;
    clock_runtime_init(&loop->clock);
    signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
    loop->base = event_base_new();
    if (loop->base == NULL) {
        return -ENOMEM;
    }
    loop->timer = evtimer_new(loop->base, on_timer, loop);
    if (loop->timer == NULL) {
        return -ENOMEM;
    }
    return add_signals(loop);
}

void
loop_finish(struct loop *loop)
{
    for (size_t i = 0; i < 3; i++) {
        if (loop->signals[i] != NULL) {
            event_free(loop->signals[i]);
        }
    }
    if (loop->timer != NULL) {
        event_free(loop->timer);
    }
    if (loop->base != NULL) {
        event_base_free(loop->base);
    }
}

uint64_t
loop_now_us(struct loop *loop)
{
    uint64_t now_us = clock_now_us(&loop->clock);

    /* Never before a time that the last tick has used. */
    return now_us > loop->tick_us ? now_us : loop->tick_us;
}

void
loop_schedule(struct loop *loop, uint64_t due_us)
{
    if (due_us < loop->armed_us) {
        arm_timer(loop, due_us);
    }
}

void
loop_run(struct loop *loop)
{
    arm_timer(loop, loop_now_us(loop));
    event_base_dispatch(loop->base);
}

void
loop_stop(struct loop *loop)
{
    event_base_loopbreak(loop->base);
}
