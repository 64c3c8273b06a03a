#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission/latency.h"

#define SUITE "/relay/latency"

TEST(averages_follow_the_samples)
{
    struct latency latency;

    latency_init(&latency);
    for (unsigned i = 0; i < 60; i++) {
        latency_add_service(&latency, 40 * USEC_PER_MSEC, 1, 2);
        latency_add_rtt(&latency, 9 * USEC_PER_MSEC);
    }
    g_assert_cmpuint(latency.service_us, >, 38 * USEC_PER_MSEC);
    g_assert_cmpuint(latency.service_us, <=, 40 * USEC_PER_MSEC);
    g_assert_cmpuint(latency.rtt_us, >, 8 * USEC_PER_MSEC);
}

TEST(service_time_excludes_queueing)
{
    struct latency latency;

    latency_init(&latency);
    for (unsigned i = 0; i < 60; i++) {
        /* Six requests on two slots at 20 ms each. */
        latency_add_service(&latency, 60 * USEC_PER_MSEC, 6, 2);
    }
    g_assert_cmpuint(latency.service_us, <=, 20 * USEC_PER_MSEC);
}

TEST(one_hanging_request_has_little_effect)
{
    struct latency latency;
    uint64_t before;

    latency_init(&latency);
    before = latency.service_us;
    latency_add_service(&latency, 60 * USEC_PER_SEC, 1, 2);
    g_assert_cmpuint(latency.service_us, <, 2 * before);
}

TEST(overcommit_grows_with_the_round_trip_time)
{
    struct latency latency = {.service_us = 16000, .rtt_us = 7000};

    g_assert_cmpuint(latency_overcommit(&latency, 2), ==, 0);
    latency.rtt_us = 9000;
    g_assert_cmpuint(latency_overcommit(&latency, 2), ==, 0);
    latency.rtt_us = 17000;
    g_assert_cmpuint(latency_overcommit(&latency, 2), ==, 1);
    latency.rtt_us = 31000;
    g_assert_cmpuint(latency_overcommit(&latency, 2), ==, 3);
    /* Short requests don't lift the limit. */
    latency.service_us = 100;
    g_assert_cmpuint(latency_overcommit(&latency, 2), ==, 8);
}

TEST(the_estimate_grows_with_requests_in_progress)
{
    struct latency latency;

    latency_init(&latency);
    g_assert_cmpuint(latency_estimate(&latency, 1, 2), ==,
                     latency_estimate(&latency, 0, 2));
    g_assert_cmpuint(latency_estimate(&latency, 2, 2), >,
                     latency_estimate(&latency, 1, 2));
    g_assert_cmpuint(latency_estimate(&latency, 9, 2), >,
                     latency_estimate(&latency, 9, 8));
}
