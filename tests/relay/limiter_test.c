/* The rate limiter: bursts, drift, changes and shares. */
#include "base/clock.h"
#include "lib/harness.h"
#include "relay/limits/limiter.h"

#define SUITE "/relay/limiter"

#define START_US (7 * USEC_PER_SEC + 3)
#define DAY_S (24 * 60 * 60)

/* Counts an event if it is allowed. */
static bool
take(struct limiter *limiter, uint64_t now_us)
{
    if (!limiter_allows(limiter, now_us)) {
        return false;
    }
    limiter_count(limiter, now_us);
    return true;
}

/* Events allowed at one moment. */
static unsigned
take_all(struct limiter *limiter, uint64_t now_us)
{
    unsigned count = 0;

    while (take(limiter, now_us)) {
        count++;
    }
    return count;
}

TEST(a_burst_is_exact_and_then_the_rate)
{
    struct limiter limiter;

    limiter_init(&limiter, 3, 5, 1, START_US);
    g_assert_cmpuint(take_all(&limiter, START_US), ==, 5);
    /* A third of a second is 333,333.3 us. */
    g_assert_false(take(&limiter, START_US + 333333));
    g_assert_true(take(&limiter, START_US + 333334));
    g_assert_false(take(&limiter, START_US + 666666));
    g_assert_true(take(&limiter, START_US + 666667));
    g_assert_true(take(&limiter, START_US + USEC_PER_SEC));
    g_assert_false(take(&limiter, START_US + USEC_PER_SEC));
}

TEST(twenty_four_hours_of_load_don_t_drift)
{
    struct limiter limiter;
    uint64_t count = 0;

    /* 7 and 13 divide no second into whole microseconds. */
    limiter_init(&limiter, 7, 1, 1, START_US);
    for (uint64_t step = 0; step <= DAY_S * UINT64_C(13); step++) {
        count += take(&limiter, START_US + step * USEC_PER_SEC / 13);
    }
    /* Each event of a burst of 1 waits for the next attempt, 2/13 s. */
    g_assert_cmpuint(count, ==, DAY_S * UINT64_C(13) / 2 + 1);

    limiter_init(&limiter, 7, 2, 1, START_US);
    count = 0;
    for (uint64_t step = 0; step <= DAY_S * UINT64_C(13); step++) {
        count += take(&limiter, START_US + step * USEC_PER_SEC / 13);
    }
    /* The burst, and 7 a second: none is lost in 24 h. */
    g_assert_cmpuint(count, ==, DAY_S * UINT64_C(7) + 2);
}

TEST(a_paused_clock_gives_one_burst)
{
    struct limiter limiter;
    uint64_t day_us = DAY_S * USEC_PER_SEC;

    limiter_init(&limiter, LIMITER_RATE_MAX, 4, 1, START_US);
    g_assert_cmpuint(take_all(&limiter, START_US), ==, 4);
    g_assert_cmpuint(take_all(&limiter, START_US + day_us), ==, 4);
    g_assert_cmpuint(take_all(&limiter, UINT64_MAX), ==, 4);
    /* A clock that steps back repays nothing. */
    g_assert_cmpuint(take_all(&limiter, START_US), ==, 0);
}

TEST(the_largest_values_don_t_overflow)
{
    struct limiter limiter;

    limiter_init(&limiter, 1, LIMITER_BURST_MAX, LIMITER_SHARES_MAX, START_US);
    g_assert_cmpuint(take_all(&limiter, START_US), ==,
                     LIMITER_BURST_MAX / LIMITER_SHARES_MAX);
    limiter_change(&limiter, LIMITER_RATE_MAX, LIMITER_BURST_MAX, 1, START_US);
    g_assert_cmpuint(take_all(&limiter, START_US), ==,
                     LIMITER_BURST_MAX -
                         LIMITER_BURST_MAX / LIMITER_SHARES_MAX);
}

TEST(a_change_keeps_what_was_counted)
{
    struct limiter limiter;

    limiter_init(&limiter, 10, 10, 1, START_US);
    g_assert_cmpuint(take_all(&limiter, START_US), ==, 10);
    /* Writing the same limit again gives no second burst. */
    limiter_change(&limiter, 10, 10, 1, START_US);
    g_assert_cmpuint(take_all(&limiter, START_US), ==, 0);
    limiter_change(&limiter, 10, 12, 1, START_US);
    g_assert_cmpuint(take_all(&limiter, START_US), ==, 2);
    /* A smaller burst: it is used up, and the rate counts from now on. */
    limiter_change(&limiter, 10, 2, 1, START_US);
    g_assert_false(take(&limiter, START_US + 99999));
    g_assert_true(take(&limiter, START_US + 100000));
    g_assert_false(take(&limiter, START_US + 199999));
    g_assert_true(take(&limiter, START_US + 200000));
}

TEST(a_lower_rate_refuses_no_longer_than_its_own_burst_takes)
{
    struct limiter limiter;

    limiter_init(&limiter, 1000, 1000, 1, START_US);
    g_assert_cmpuint(take_all(&limiter, START_US), ==, 1000);
    limiter_change(&limiter, 1, 1, 1, START_US);
    g_assert_false(take(&limiter, START_US + USEC_PER_SEC - 1));
    g_assert_true(take(&limiter, START_US + USEC_PER_SEC));
    g_assert_false(take(&limiter, START_US + 2 * USEC_PER_SEC - 1));
    g_assert_true(take(&limiter, START_US + 2 * USEC_PER_SEC));
    /* A share of less than one event: one event is left to pay for. */
    limiter_change(&limiter, 10, 10, 303, START_US + 2 * USEC_PER_SEC);
    g_assert_false(take(&limiter, START_US + 2 * USEC_PER_SEC + 30299999));
    g_assert_true(take(&limiter, START_US + 2 * USEC_PER_SEC + 30300000));
}

TEST(rate_0_allows_none)
{
    struct limiter limiter;

    limiter_init(&limiter, 0, 0, 1, START_US);
    g_assert_false(take(&limiter, START_US));
    g_assert_false(take(&limiter, START_US + DAY_S * USEC_PER_SEC));
}

TEST(a_share_below_one_event_a_second_is_exact)
{
    struct limiter limiter;
    unsigned count = 0;

    /* 10 a second over 303: one in 30.3 s. */
    limiter_init(&limiter, 10, 10, 303, START_US);
    for (uint64_t ms = 0; ms <= 303 * 1000; ms++) {
        count += take(&limiter, START_US + ms * USEC_PER_MSEC);
    }
    g_assert_cmpuint(count, ==, 11);
}
