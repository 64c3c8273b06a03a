#include "base/clock.h"
#include "lib/harness.h"
#include "relay/overload/pressure.h"

#define SUITE "/relay/pressure"

#define AGENTS 6
#define START_US (100 * USEC_PER_SEC)

/** struct fixture - reports of the agents of one service */
struct fixture {
    struct pressure_report reports[AGENTS];
    enum pressure_reach reach[AGENTS];
    uint64_t now_us;
};

static struct frame_health
health_of(unsigned busy, unsigned wait_ms)
{
    return (struct frame_health){
        .busy = (uint8_t)busy,
        .slots = 2,
        .load = {.known = true,
                 .limit = 8,
                 .service_time = 200,
                 .wait_ms = (uint16_t)wait_ms,
                 .rejects = 500},
    };
}

static void
report(struct fixture *fixture, unsigned agent, unsigned busy,
       unsigned wait_ms)
{
    struct frame_health health = health_of(busy, wait_ms);

    pressure_report_update(&fixture->reports[agent], &health, fixture->now_us);
}

static void
report_all_full(struct fixture *fixture)
{
    for (unsigned i = 0; i < AGENTS; i++) {
        report(fixture, i, 8, 300 + 100 * i);
    }
}

static void
fixture_init(struct fixture *fixture)
{
    *fixture = (struct fixture){.now_us = START_US};
    report_all_full(fixture);
}

static struct pressure
sum(const struct fixture *fixture)
{
    struct pressure pressure;

    pressure_init(&pressure);
    for (unsigned i = 0; i < AGENTS; i++) {
        pressure_add(&pressure, &fixture->reports[i], fixture->reach[i],
                     fixture->now_us);
    }
    return pressure;
}

static bool
is_full(const struct fixture *fixture)
{
    struct pressure pressure = sum(fixture);

    return pressure_is_full(&pressure);
}

TEST(the_wait_is_that_of_the_least_loaded_agent)
{
    struct fixture fixture;
    struct pressure pressure;

    fixture_init(&fixture);
    pressure = sum(&fixture);
    g_assert_true(pressure_is_full(&pressure));
    g_assert_cmpuint(pressure.wait_ms, ==, 300);
    g_assert_cmpuint(pressure.answer_ms, ==, 320);
    g_assert_cmpuint(pressure.capacity, ==, 8 * AGENTS);
    g_assert_cmpuint(pressure_rejects(&pressure), ==, 500);
}

TEST(one_agent_with_room_ends_the_pressure)
{
    struct fixture fixture;

    fixture_init(&fixture);
    report(&fixture, 5, 8, 0);
    g_assert_false(is_full(&fixture));
    report(&fixture, 5, 1, 40);
    g_assert_false(is_full(&fixture));
    report(&fixture, 5, 2, 40);
    g_assert_true(is_full(&fixture));
}

TEST(flows_sent_since_the_report_take_its_room)
{
    struct fixture fixture;

    fixture_init(&fixture);
    report(&fixture, 5, 1, 0);
    pressure_report_sent(&fixture.reports[5]);
    g_assert_true(is_full(&fixture));
    g_assert_cmpuint(sum(&fixture).wait_ms, ==, 10);
    report(&fixture, 5, 0, 0);
    pressure_report_sent(&fixture.reports[5]);
    g_assert_false(is_full(&fixture));
}

TEST(an_agent_that_claims_an_endless_wait_changes_nothing_for_the_others)
{
    struct fixture fixture;

    fixture_init(&fixture);
    report(&fixture, 0, 8, UINT16_MAX);
    fixture.reports[0].load.service_time = UINT16_MAX;
    g_assert_cmpuint(sum(&fixture).wait_ms, ==, 400);
    g_assert_cmpuint(sum(&fixture).answer_ms, ==, 420);
    for (unsigned i = 1; i < AGENTS; i++) {
        report(&fixture, i, 0, 0);
    }
    g_assert_false(is_full(&fixture));
}

TEST(an_agent_that_sends_no_load_may_have_room)
{
    struct fixture fixture;
    struct frame_health health = {.busy = 200, .slots = 2};

    fixture_init(&fixture);
    fixture.reports[2] = (struct pressure_report){0};
    pressure_report_update(&fixture.reports[2], &health, fixture.now_us);
    g_assert_false(is_full(&fixture));
}

TEST(a_reported_wait_passes)
{
    struct fixture fixture;

    fixture_init(&fixture);
    fixture.now_us += 200 * USEC_PER_MSEC;
    g_assert_cmpuint(sum(&fixture).wait_ms, ==, 100);
    fixture.now_us += 99 * USEC_PER_MSEC;
    g_assert_true(is_full(&fixture));
    fixture.now_us += 1 * USEC_PER_MSEC;
    g_assert_false(is_full(&fixture));
}

TEST(a_report_older_than_a_second_does_not_count)
{
    struct fixture fixture;

    fixture_init(&fixture);
    for (unsigned i = 0; i < AGENTS; i++) {
        report(&fixture, i, 8, 5000);
    }
    fixture.now_us += PRESSURE_MAX_AGE_US;
    g_assert_true(is_full(&fixture));
    fixture.now_us++;
    g_assert_false(is_full(&fixture));
}

TEST(a_report_from_the_future_does_not_count)
{
    struct fixture fixture;

    fixture_init(&fixture);
    fixture.now_us--;
    g_assert_false(is_full(&fixture));
}

TEST(a_frame_of_an_earlier_incarnation_does_not_count)
{
    struct fixture fixture;
    struct frame_health restarted = {.slots = 2};

    fixture_init(&fixture);
    pressure_report_update(&fixture.reports[0], &restarted, fixture.now_us);
    /* A frame that was sent before the restart arrives late. */
    fixture.now_us += PRESSURE_SETTLE_US / 2;
    report(&fixture, 0, 8, 900);
    g_assert_false(is_full(&fixture));
    fixture.now_us += PRESSURE_SETTLE_US / 2;
    report(&fixture, 0, 8, 900);
    g_assert_true(is_full(&fixture));
}

TEST(a_balancer_that_hears_less_than_half_sees_no_pressure)
{
    struct fixture fixture;

    fixture_init(&fixture);
    for (unsigned i = 0; i < 3; i++) {
        fixture.reach[i] = PRESSURE_BEYOND;
    }
    g_assert_true(is_full(&fixture));
    fixture.reach[3] = PRESSURE_BEYOND;
    g_assert_false(is_full(&fixture));
}

TEST(a_balancer_that_has_heard_nothing_sees_no_pressure)
{
    struct fixture fixture = {.now_us = START_US};

    g_assert_false(is_full(&fixture));
    for (unsigned i = 0; i < AGENTS; i++) {
        fixture.reach[i] = PRESSURE_OUTSIDE;
    }
    g_assert_false(is_full(&fixture));
}

TEST(loss_of_a_data_centre_shows_within_a_second)
{
    struct fixture fixture;

    fixture_init(&fixture);
    report(&fixture, 0, 0, 0);
    report(&fixture, 1, 0, 0);
    /* Its agents had room until they were lost; the others fill up. */
    for (unsigned ms = 100; ms <= 1000; ms += 100) {
        fixture.now_us = START_US + ms * USEC_PER_MSEC;
        for (unsigned i = 2; i < AGENTS; i++) {
            report(&fixture, i, 8, 100 + ms);
        }
        if (ms == 100) {
            g_assert_false(is_full(&fixture));
            fixture.reach[0] = fixture.reach[1] = PRESSURE_BEYOND;
        }
        g_assert_true(is_full(&fixture));
    }
    g_assert_cmpuint(sum(&fixture).wait_ms, ==, 1100);
}

TEST(sums_of_the_largest_reports_do_not_wrap)
{
    struct frame_health health = {
        .busy = UINT8_MAX,
        .slots = UINT8_MAX,
        .load = {.known = true,
                 .limit = UINT8_MAX,
                 .wait_ms = UINT16_MAX,
                 .rejects = UINT16_MAX},
    };
    struct pressure_report largest = {0};
    struct pressure pressure;

    pressure_report_update(&largest, &health, START_US);
    pressure_init(&pressure);
    for (unsigned i = 0; i < 100000; i++) {
        pressure_add(&pressure, &largest, PRESSURE_WITHIN, START_US);
    }
    g_assert_cmpuint(pressure_rejects(&pressure), ==, 1000);
    g_assert_cmpuint(pressure.capacity, ==, 25500000);
    g_assert_true(pressure_is_full(&pressure));
}
