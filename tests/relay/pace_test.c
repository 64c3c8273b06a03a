#include "base/clock.h"
#include "lib/harness.h"
#include "relay/door/pace.h"

#define SUITE "/relay/pace"

TEST(averages_follow_what_is_seen)
{
    struct pace pace;

    pace_init(&pace);
    for (unsigned i = 0; i < 60; i++) {
        pace_answer(&pace, 40 * USEC_PER_MSEC, 1, 2);
        pace_trip(&pace, 9 * USEC_PER_MSEC);
    }
    g_assert_cmpuint(pace.work_us, >, 38 * USEC_PER_MSEC);
    g_assert_cmpuint(pace.work_us, <=, 40 * USEC_PER_MSEC);
    g_assert_cmpuint(pace.trip_us, >, 8 * USEC_PER_MSEC);
}

TEST(waiting_in_a_queue_is_not_work)
{
    struct pace pace;

    pace_init(&pace);
    for (unsigned i = 0; i < 60; i++) {
        /* Six requests on two slots: three rounds of 20 ms. */
        pace_answer(&pace, 60 * USEC_PER_MSEC, 6, 2);
    }
    g_assert_cmpuint(pace.work_us, <=, 20 * USEC_PER_MSEC);
}

TEST(one_request_that_hangs_says_little)
{
    struct pace pace;
    uint64_t before;

    pace_init(&pace);
    before = pace.work_us;
    pace_answer(&pace, 60 * USEC_PER_SEC, 1, 2);
    g_assert_cmpuint(pace.work_us, <, 2 * before);
}

TEST(the_further_callers_are_the_more_may_be_on_their_way)
{
    struct pace pace = {.work_us = 16000, .trip_us = 7000};

    g_assert_cmpuint(pace_ahead(&pace, 2), ==, 0);
    pace.trip_us = 9000;
    g_assert_cmpuint(pace_ahead(&pace, 2), ==, 0);
    pace.trip_us = 17000;
    g_assert_cmpuint(pace_ahead(&pace, 2), ==, 1);
    pace.trip_us = 31000;
    g_assert_cmpuint(pace_ahead(&pace, 2), ==, 3);
    /* Tiny requests don't open the door wide. */
    pace.work_us = 100;
    g_assert_cmpuint(pace_ahead(&pace, 2), ==, 8);
}

TEST(more_in_progress_takes_longer)
{
    struct pace pace;

    pace_init(&pace);
    g_assert_cmpuint(pace_expect(&pace, 1, 2), ==, pace_expect(&pace, 0, 2));
    g_assert_cmpuint(pace_expect(&pace, 2, 2), >, pace_expect(&pace, 1, 2));
    g_assert_cmpuint(pace_expect(&pace, 9, 2), >, pace_expect(&pace, 9, 8));
}
