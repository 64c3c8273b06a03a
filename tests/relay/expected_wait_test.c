#include "base/clock.h"
#include "lib/harness.h"
#include "relay/forwarder/expected_wait.h"
#include "relay/forwarder/round_trips.h"

#define SUITE "/relay/expected_wait"

#define TYPICAL_US (20 * USEC_PER_MSEC)
#define HERE 1
#define THERE 2

static const struct expected_wait idle = {
    .fresh = true,
    .slots = 2,
    .service_us = TYPICAL_US,
};

TEST(an_idle_endpoint_takes_the_service_time)
{
    g_assert_cmpuint(expected_wait_us(&idle), ==, TYPICAL_US);
}

TEST(requests_and_flows_just_sent_wait_for_slots)
{
    struct expected_wait endpoint = idle;

    endpoint.requests = 2;
    g_assert_cmpuint(expected_wait_us(&endpoint), ==, 2 * TYPICAL_US);
    endpoint.sent = 2;
    g_assert_cmpuint(expected_wait_us(&endpoint), ==, 3 * TYPICAL_US);
}

TEST(four_times_slower_is_behind_three_requests_on_each_slot_of_others)
{
    struct expected_wait slow = idle;
    struct expected_wait busy = idle;

    slow.service_us = 4 * TYPICAL_US;
    busy.requests = 5;
    g_assert_cmpuint(expected_wait_us(&slow), >, expected_wait_us(&busy));
    busy.requests = 7;
    g_assert_cmpuint(expected_wait_us(&slow), <, expected_wait_us(&busy));
}

TEST(open_flows_weigh_more_at_a_slow_endpoint)
{
    struct expected_wait endpoint = idle;
    struct expected_wait slow = idle;

    endpoint.flows = slow.flows = 50;
    slow.service_us = 4 * TYPICAL_US;
    g_assert_cmpuint(expected_wait_us(&endpoint), <, 2 * TYPICAL_US);
    g_assert_cmpuint(expected_wait_us(&slow), >, 6 * TYPICAL_US);
}

TEST(an_old_count_of_requests_gives_way_to_those_that_flows_bring)
{
    struct expected_wait endpoint = idle;
    uint64_t fresh_us;

    endpoint.flows = 50;
    endpoint.requests = 5;
    fresh_us = expected_wait_us(&endpoint);
    endpoint.fresh = false;
    g_assert_cmpuint(expected_wait_us(&endpoint), <, fresh_us);
    endpoint.fresh = true;
    endpoint.requests = 0;
    fresh_us = expected_wait_us(&endpoint);
    endpoint.fresh = false;
    g_assert_cmpuint(expected_wait_us(&endpoint), >, fresh_us);
}

TEST(a_hanging_request_holds_a_slot_but_isnt_in_the_queue)
{
    struct expected_wait endpoint = idle;

    endpoint.requests = 2;
    endpoint.stuck = 1;
    g_assert_cmpuint(expected_wait_us(&endpoint), ==, 2 * TYPICAL_US);
    endpoint.stuck = 2;
    g_assert_cmpuint(expected_wait_us(&endpoint), >, USEC_PER_SEC);
}

TEST(nonsense_in_a_report_gives_a_wait)
{
    struct expected_wait endpoint = {.requests = 255,
                                     .sent = 1000,
                                     .flows = UINT16_MAX,
                                     .stuck = 255,
                                     .service_us = 6553500,
                                     .failing = true};

    g_assert_cmpuint(expected_wait_us(&endpoint), <, 1ull << 62);
}

TEST(another_data_centre_costs_its_round_trips_and_two_requests)
{
    struct expected_wait here = idle;
    struct expected_wait there = idle;

    there.remote = true;
    there.extra_rtt_us = 5 * USEC_PER_MSEC;
    g_assert_cmpuint(expected_wait_us(&there), ==,
                     3 * TYPICAL_US + 10 * USEC_PER_MSEC);
    here.requests = 5;
    g_assert_cmpuint(expected_wait_us(&here), <=, expected_wait_us(&there));
    here.requests = 6;
    g_assert_cmpuint(expected_wait_us(&here), >, expected_wait_us(&there));
}

TEST(a_trip_is_learned_from_the_lowest_round_trips)
{
    struct round_trips round_trips = {0};

    g_assert_cmpuint(round_trips_additional_us(&round_trips, HERE, THERE), ==,
                     0);
    round_trips_add(&round_trips, HERE, 3000);
    g_assert_cmpuint(round_trips_additional_us(&round_trips, HERE, THERE), ==,
                     0);
    for (unsigned i = 0; i < 40; i++) {
        round_trips_add(&round_trips, HERE, 1000);
        round_trips_add(&round_trips, THERE, 6000);
    }
    round_trips_add(&round_trips, THERE, 30000);
    g_assert_cmpuint(round_trips_additional_us(&round_trips, HERE, THERE), >=,
                     4900);
    g_assert_cmpuint(round_trips_additional_us(&round_trips, HERE, THERE), <=,
                     5500);
    g_assert_cmpuint(round_trips_additional_us(&round_trips, THERE, HERE), ==,
                     0);
}

TEST(more_data_centres_than_there_is_room_for_count_as_near)
{
    struct round_trips round_trips = {0};

    for (uint32_t key = 1; key <= ROUND_TRIPS_MAX + 1; key++) {
        round_trips_add(&round_trips, key, 1000 * key);
    }
    g_assert_cmpuint(
        round_trips_additional_us(&round_trips, 1, ROUND_TRIPS_MAX), ==,
        1000 * (ROUND_TRIPS_MAX - 1));
    g_assert_cmpuint(
        round_trips_additional_us(&round_trips, 1, ROUND_TRIPS_MAX + 1), ==,
        0);
}
