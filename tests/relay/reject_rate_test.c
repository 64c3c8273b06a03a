#include "base/clock.h"
#include "lib/harness.h"
#include "relay/scheduler/reject_rate.h"

#define SUITE "/relay/reject_rate"

#define START_US (100 * USEC_PER_SEC)

TEST(it_counts_the_last_second)
{
    struct reject_rate reject_rate = {0};

    g_assert_cmpuint(reject_rate_per_mille(&reject_rate, START_US), ==, 0);
    reject_rate_record(&reject_rate, true, START_US);
    g_assert_cmpuint(reject_rate_per_mille(&reject_rate, START_US), ==, 1000);
    for (unsigned i = 1; i < 4; i++) {
        reject_rate_record(&reject_rate, false,
                           START_US + i * 250 * USEC_PER_MSEC);
    }
    g_assert_cmpuint(
        reject_rate_per_mille(&reject_rate, START_US + 999 * USEC_PER_MSEC),
        ==, 250);
    g_assert_cmpuint(
        reject_rate_per_mille(&reject_rate, START_US + USEC_PER_SEC), ==, 0);
    reject_rate_record(&reject_rate, true, START_US + USEC_PER_SEC);
    g_assert_cmpuint(
        reject_rate_per_mille(&reject_rate, START_US + USEC_PER_SEC), ==, 250);
}

TEST(a_pause_ends_it)
{
    struct reject_rate reject_rate = {0};

    reject_rate_record(&reject_rate, true, START_US);
    g_assert_cmpuint(
        reject_rate_per_mille(&reject_rate, START_US + 10 * USEC_PER_SEC), ==,
        0);
    reject_rate_record(&reject_rate, false, START_US + 10 * USEC_PER_SEC);
    g_assert_cmpuint(
        reject_rate_per_mille(&reject_rate, START_US + 10 * USEC_PER_SEC), ==,
        0);
}
