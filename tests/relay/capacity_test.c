#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission/capacity.h"

#define SUITE "/relay/capacity"

#define SLOTS 2
#define TYPICAL_US (20 * USEC_PER_MSEC)

/* Interval of requests: ten a second. */
#define GAP_US (100 * USEC_PER_MSEC)

/** struct fixture - an endpoint whose requests are answered one by one */
struct fixture {
    struct capacity capacity;
    uint64_t now_us;
};

static void
answer(struct fixture *fixture, uint64_t elapsed_us, unsigned times)
{
    for (unsigned i = 0; i < times; i++) {
        fixture->now_us += GAP_US;
        capacity_add(&fixture->capacity, elapsed_us, 1, SLOTS,
                     fixture->now_us);
    }
}

static uint64_t
service_us(const struct fixture *fixture)
{
    return capacity_service_us(&fixture->capacity, fixture->now_us);
}

TEST(an_endpoint_without_requests_is_unknown)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};

    g_assert_cmpuint(service_us(&fixture), ==, 0);
    answer(&fixture, TYPICAL_US, 3);
    g_assert_cmpuint(service_us(&fixture), ==, 0);
    answer(&fixture, TYPICAL_US, 1);
    g_assert_cmpuint(service_us(&fixture), ==, TYPICAL_US);
}

TEST(one_long_request_of_seven_times_the_mean_isnt_slow)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};

    answer(&fixture, TYPICAL_US, CAPACITY_SAMPLES);
    answer(&fixture, 7 * TYPICAL_US, 1);
    g_assert_cmpuint(service_us(&fixture), ==, TYPICAL_US);
    answer(&fixture, 7 * TYPICAL_US, 1);
    g_assert_cmpuint(service_us(&fixture), ==, TYPICAL_US);
}

TEST(three_percent_of_requests_seven_times_as_long_are_hardly_ever_slow)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};
    GRand *rand = g_rand_new_with_seed(47);
    unsigned slow = 0;

    for (unsigned i = 0; i < 10000; i++) {
        bool is_long = g_rand_double(rand) < 0.03;

        answer(&fixture, is_long ? 7 * TYPICAL_US : TYPICAL_US, 1);
        slow += i > CAPACITY_SAMPLES && service_us(&fixture) > 2 * TYPICAL_US;
    }
    g_assert_cmpuint(slow, <, 20);
    g_rand_free(rand);
}

TEST(four_times_slower_shows_within_half_a_second_at_ten_a_second)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};

    answer(&fixture, TYPICAL_US, CAPACITY_SAMPLES);
    answer(&fixture, 4 * TYPICAL_US, 4);
    g_assert_cmpuint(service_us(&fixture), >, 2 * TYPICAL_US);
    answer(&fixture, 4 * TYPICAL_US, 2);
    g_assert_cmpuint(service_us(&fixture), ==, 4 * TYPICAL_US);
}

TEST(eight_times_slower_and_well_again_after_six_requests)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};

    answer(&fixture, 8 * TYPICAL_US, CAPACITY_SAMPLES);
    g_assert_cmpuint(service_us(&fixture), ==, 8 * TYPICAL_US);
    answer(&fixture, TYPICAL_US, 6);
    g_assert_cmpuint(service_us(&fixture), ==, TYPICAL_US);
}

TEST(queueing_for_a_slot_isnt_slow)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};

    for (unsigned i = 0; i < CAPACITY_SAMPLES; i++) {
        capacity_add(&fixture.capacity, 4 * TYPICAL_US, 4 * SLOTS, SLOTS,
                     fixture.now_us);
    }
    g_assert_cmpuint(service_us(&fixture), ==, TYPICAL_US);
}

TEST(old_samples_are_unknown)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};

    answer(&fixture, 8 * TYPICAL_US, CAPACITY_SAMPLES);
    fixture.now_us += 4 * USEC_PER_SEC;
    g_assert_cmpuint(service_us(&fixture), ==, 0);
}

TEST(a_restarted_endpoint_is_unknown_but_keeps_its_flows)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};
    uint64_t used_us = 0;

    answer(&fixture, 8 * TYPICAL_US, CAPACITY_SAMPLES);
    capacity_flow_used(&fixture.capacity, &used_us, fixture.now_us);
    capacity_forget_samples(&fixture.capacity);
    g_assert_cmpuint(service_us(&fixture), ==, 0);
    g_assert_cmpuint(capacity_flows(&fixture.capacity, fixture.now_us), ==, 1);
}

TEST(a_hanging_request_is_stuck_a_long_one_isnt)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};
    const struct capacity *capacity = &fixture.capacity;

    answer(&fixture, TYPICAL_US, CAPACITY_SAMPLES);
    g_assert_false(
        capacity_is_stuck(capacity, 7 * TYPICAL_US, 1, SLOTS, fixture.now_us));
    g_assert_true(capacity_is_stuck(capacity, 17 * TYPICAL_US, 1, SLOTS,
                                    fixture.now_us));
    g_assert_false(capacity_is_stuck(capacity, 17 * TYPICAL_US, 4, SLOTS,
                                     fixture.now_us));
}

TEST(a_short_request_is_never_stuck)
{
    struct fixture fixture = {.now_us = USEC_PER_SEC};

    answer(&fixture, USEC_PER_MSEC, CAPACITY_SAMPLES);
    g_assert_false(capacity_is_stuck(&fixture.capacity, 290 * USEC_PER_MSEC, 1,
                                     SLOTS, fixture.now_us));
}

TEST(without_a_service_time_a_second_is_stuck)
{
    struct capacity capacity = {0};

    g_assert_false(capacity_is_stuck(&capacity, 900 * USEC_PER_MSEC, 1, SLOTS,
                                     USEC_PER_SEC));
    g_assert_true(capacity_is_stuck(&capacity, 1100 * USEC_PER_MSEC, 1, SLOTS,
                                    USEC_PER_SEC));
}

TEST(flows_count_once_until_they_end_or_idle)
{
    struct capacity capacity = {0};
    uint64_t now_us = 100 * USEC_PER_SEC;
    uint64_t used_us[3] = {0};

    for (unsigned i = 0; i < 3; i++) {
        capacity_flow_used(&capacity, &used_us[i], now_us);
        capacity_flow_used(&capacity, &used_us[i], now_us + USEC_PER_SEC);
    }
    now_us += USEC_PER_SEC;
    g_assert_cmpuint(capacity_flows(&capacity, now_us), ==, 3);
    capacity_flow_ended(&capacity, &used_us[0]);
    capacity_flow_ended(&capacity, &used_us[0]);
    g_assert_cmpuint(capacity_flows(&capacity, now_us), ==, 2);
    now_us += 5 * USEC_PER_SEC;
    capacity_flow_used(&capacity, &used_us[1], now_us);
    g_assert_cmpuint(capacity_flows(&capacity, now_us), ==, 2);
    now_us += 5 * USEC_PER_SEC;
    g_assert_cmpuint(capacity_flows(&capacity, now_us), ==, 1);
    now_us += 3600 * USEC_PER_SEC;
    g_assert_cmpuint(capacity_flows(&capacity, now_us), ==, 0);
    capacity_flow_ended(&capacity, &used_us[1]);
    g_assert_cmpuint(capacity_flows(&capacity, now_us), ==, 0);
}
