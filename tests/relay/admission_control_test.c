#include "base/clock.h"
#include "lib/harness.h"
#include "relay/overload/admission_control.h"

#define SUITE "/relay/admission_control"

#define START_US (100 * USEC_PER_SEC)
#define SERVICE 7
#define BUDGET_MS 1500
#define URGENT 0
#define ORDINARY 1

/** struct fixture - admission control whose service's agents report a wait */
struct fixture {
    struct admission_control control;
    struct pressure pressure;
    uint64_t now_us;
};

static void
set_wait(struct fixture *fixture, unsigned wait_ms)
{
    fixture->pressure = (struct pressure){.agents = 4,
                                          .heard = 4,
                                          .wait_ms = wait_ms,
                                          .answer_ms = wait_ms,
                                          .capacity = 8,
                                          .room = wait_ms == 0};
}

static void
advance_ms(struct fixture *fixture, unsigned ms)
{
    for (; ms > 0; ms--) {
        fixture->now_us += USEC_PER_MSEC;
        admission_control_tick(&fixture->control, fixture->now_us);
    }
}

static void
fixture_init(struct fixture *fixture)
{
    fixture->now_us = START_US;
    admission_control_init(&fixture->control, START_US);
    advance_ms(fixture, 1000);
}

static bool
admits_within(struct fixture *fixture, unsigned priority, unsigned budget_ms)
{
    struct admission_control_flow flow = {SERVICE, (uint8_t)priority,
                                          budget_ms, 0};

    return admission_control_decide(&fixture->control, &flow,
                                    &fixture->pressure, fixture->now_us) ==
           ADMISSION_CONTROL_ADMIT;
}

static bool
admits(struct fixture *fixture, unsigned priority)
{
    return admits_within(fixture, priority, BUDGET_MS);
}

static unsigned
threshold(const struct fixture *fixture)
{
    return admission_control_threshold(
        admission_control_find(&fixture->control, SERVICE), fixture->now_us);
}

static uint64_t
changes(const struct fixture *fixture)
{
    return admission_control_find(&fixture->control, SERVICE)->changes;
}

TEST(a_crowd_that_cannot_be_served_in_time_is_refused_at_once)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, BUDGET_MS);
    g_assert_true(admits(&fixture, ORDINARY));
    g_assert_cmpuint(threshold(&fixture), ==, UINT8_MAX + 1);
    set_wait(&fixture, BUDGET_MS + 1);
    g_assert_false(admits(&fixture, ORDINARY));
    g_assert_cmpuint(threshold(&fixture), ==, ORDINARY);
}

TEST(a_crowd_is_refused_if_the_answer_would_miss_the_time_budget)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, BUDGET_MS - 20);
    fixture.pressure.answer_ms = BUDGET_MS;
    g_assert_true(admits(&fixture, ORDINARY));
    fixture.pressure.answer_ms = BUDGET_MS + 1;
    g_assert_false(admits(&fixture, ORDINARY));
}

TEST(a_crowd_is_admitted_as_soon_as_an_agent_reports_room)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, 5000);
    g_assert_false(admits(&fixture, ORDINARY));
    fixture.pressure.room = true;
    g_assert_true(admits(&fixture, ORDINARY));
}

TEST(a_flow_with_a_longer_time_budget_is_admitted)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, 1600);
    g_assert_false(admits(&fixture, ORDINARY));
    g_assert_true(admits_within(&fixture, ORDINARY, 4000));
}

TEST(a_crowd_of_urgent_flows_is_refused_after_the_ordinary_ones)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, 5000);
    g_assert_false(admits(&fixture, ORDINARY));
    for (unsigned ms = 0; ms < 200; ms += 20) {
        g_assert_true(admits(&fixture, URGENT));
        g_assert_false(admits(&fixture, ORDINARY));
        advance_ms(&fixture, 20);
    }
    g_assert_false(admits(&fixture, URGENT));
}

TEST(a_crowd_of_urgent_flows_alone_is_refused)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, 5000);
    g_assert_false(admits(&fixture, URGENT));
}

TEST(no_priority_is_refused_in_a_crowd_while_a_lower_one_is_admitted)
{
    struct fixture fixture;
    GRand *rand = g_rand_new_with_seed(1);
    uint64_t admitted_us[3] = {0};
    struct admission_control_flow flow;
    unsigned refused = 0;

    fixture_init(&fixture);
    for (unsigned i = 0; i < 200000; i++) {
        unsigned priority = (unsigned)g_rand_int_range(rand, 0, 3);
        /* The wait wanders, and more urgent requests have less time. */
        unsigned wait_ms = 500 + (i / 10) % 4000;

        advance_ms(&fixture, (unsigned)g_rand_int_range(rand, 0, 3));
        set_wait(&fixture, i % 1000 == 0 ? 0 : wait_ms);
        flow = (struct admission_control_flow){SERVICE, (uint8_t)priority,
                                               1000 + 500 * priority,
                                               i % 3 == 0 ? 100 : 0};
        if (admission_control_decide(&fixture.control, &flow,
                                     &fixture.pressure, fixture.now_us) ==
            ADMISSION_CONTROL_ADMIT) {
            admitted_us[priority] = fixture.now_us;
            continue;
        }
        refused++;
        for (unsigned lower = priority + 1; lower < 3; lower++) {
            g_assert_cmpuint(fixture.now_us - admitted_us[lower], >=,
                             ADMISSION_CONTROL_STEP_US);
        }
    }
    g_assert_cmpuint(refused, >, 10000);
    g_rand_free(rand);
}

TEST(a_wait_that_wavers_around_the_time_budget_changes_the_threshold_once)
{
    struct fixture fixture;

    fixture_init(&fixture);
    for (unsigned i = 0; i < 1000; i++) {
        set_wait(&fixture, BUDGET_MS * (i % 2 == 0 ? 98 : 102) / 100);
        admits(&fixture, ORDINARY);
        advance_ms(&fixture, 10);
    }
    g_assert_cmpuint(changes(&fixture), ==, 1);
    set_wait(&fixture, BUDGET_MS / 2);
    g_assert_true(admits(&fixture, ORDINARY));
    g_assert_cmpuint(changes(&fixture), ==, 2);
}

static bool
admits_retry(struct fixture *fixture, unsigned priority, unsigned retry_ms)
{
    struct admission_control_flow flow = {SERVICE, (uint8_t)priority,
                                          BUDGET_MS, retry_ms};

    return admission_control_decide(&fixture->control, &flow,
                                    &fixture->pressure, fixture->now_us) ==
           ADMISSION_CONTROL_ADMIT;
}

TEST(in_a_crowd_retries_go_before_first_tries_if_they_can_be_in_time)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, BUDGET_MS + 1);
    g_assert_false(admits(&fixture, ORDINARY));
    g_assert_false(admits_retry(&fixture, ORDINARY, 30));
    set_wait(&fixture, BUDGET_MS - 100);
    g_assert_false(admits(&fixture, ORDINARY));
    g_assert_true(admits_retry(&fixture, ORDINARY, 30));
    g_assert_true(admits_retry(&fixture, ORDINARY, 100));
    g_assert_false(admits_retry(&fixture, ORDINARY, 101));
    g_assert_false(admits_retry(&fixture, ORDINARY, 5000));
    g_assert_false(admits(&fixture, ORDINARY));
    g_assert_cmpuint(changes(&fixture), ==, 1);
}

TEST(in_a_crowd_no_retry_goes_before_more_urgent_first_tries)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, BUDGET_MS + 1);
    g_assert_false(admits(&fixture, ORDINARY));
    advance_ms(&fixture, 1000);
    g_assert_false(admits(&fixture, ORDINARY));
    g_assert_false(admits(&fixture, URGENT));
    set_wait(&fixture, BUDGET_MS - 100);
    g_assert_false(admits_retry(&fixture, ORDINARY, 30));
    g_assert_true(admits_retry(&fixture, URGENT, 30));
}

TEST(a_balancer_that_has_just_started_refuses_nothing)
{
    struct fixture fixture = {.now_us = START_US};

    admission_control_init(&fixture.control, START_US);
    set_wait(&fixture, 5000);
    g_assert_true(admits(&fixture, ORDINARY));
    advance_ms(&fixture, 999);
    g_assert_true(admits(&fixture, ORDINARY));
    advance_ms(&fixture, 1);
    g_assert_false(admits(&fixture, ORDINARY));
}

TEST(a_balancer_that_was_frozen_for_2_s_refuses_nothing_for_a_second)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, 5000);
    g_assert_false(admits(&fixture, ORDINARY));
    fixture.now_us += 2 * USEC_PER_SEC;
    admission_control_tick(&fixture.control, fixture.now_us);
    g_assert_true(admits(&fixture, ORDINARY));
    advance_ms(&fixture, 999);
    g_assert_true(admits(&fixture, ORDINARY));
    advance_ms(&fixture, 1);
    g_assert_false(admits(&fixture, ORDINARY));
}

TEST(balancers_that_disagree_decide_each_by_what_they_heard)
{
    struct fixture hears;
    struct fixture cut_off;

    fixture_init(&hears);
    fixture_init(&cut_off);
    set_wait(&hears, 5000);
    set_wait(&cut_off, 5000);
    cut_off.pressure.heard = 1;
    g_assert_false(admits(&hears, ORDINARY));
    g_assert_true(admits(&cut_off, ORDINARY));
    /* The refused caller's next try at the other balancer is served. */
    g_assert_true(admits(&cut_off, ORDINARY));
}

TEST(a_crowd_of_services_takes_bounded_memory)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, 5000);
    for (uint32_t service = 1; service <= 1000; service++) {
        struct admission_control_flow flow = {service, ORDINARY, BUDGET_MS, 0};

        advance_ms(&fixture, 1);
        g_assert_cmpint(admission_control_decide(&fixture.control, &flow,
                                                 &fixture.pressure,
                                                 fixture.now_us),
                        ==, ADMISSION_CONTROL_REFUSE);
    }
    g_assert_null(admission_control_find(&fixture.control, 1));
    g_assert_nonnull(admission_control_find(&fixture.control, 1000));
}
