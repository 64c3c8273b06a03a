#include "lib/harness.h"
#include "relay/program/loop.h"

#define SUITE "/relay/loop"

#define TICKS 20

/** struct ticker - a loop that stops after TICKS ticks */
struct ticker {
    struct loop loop;
    unsigned ticks;
    uint64_t last_us;
    bool went_back;
};

static void
check_time(struct ticker *ticker, uint64_t now_us)
{
    ticker->went_back |= now_us < ticker->last_us;
    ticker->last_us = now_us;
}

static uint64_t
on_tick(struct loop *loop, uint64_t now_us)
{
    struct ticker *ticker = (struct ticker *)loop;

    check_time(ticker, now_us);
    check_time(ticker, loop_now_us(loop));
    if (++ticker->ticks == TICKS) {
        loop_stop(loop);
    }
    return now_us;
}

static void
ignore_stop(struct loop *loop, uint64_t now_us)
{
}

static void
ignore_reload(struct loop *loop)
{
}

/* Guards against an age that underflows: an event just after a tick found the
 * endpoint's silence, or a query, to be half a million years old. */
TEST(time_does_not_go_back_after_a_tick)
{
    static const struct loop_ops ops = {on_tick, ignore_stop, ignore_reload};
    struct ticker ticker = {0};

    g_assert_cmpint(loop_init(&ticker.loop, &ops), ==, 0);
    loop_run(&ticker.loop);
    loop_finish(&ticker.loop);
    g_assert_false(ticker.went_back);
}
