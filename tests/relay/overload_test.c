#include <string.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/overload/overload.h"
#include "relay/program/relay_pressure.h"

#define SUITE "/relay/overload"

#define START_US (100 * USEC_PER_SEC)
#define SERVICE 7
#define HEAVY 0x0a000001
#define OTHERS 0x14000000
#define BUDGET_MS 1500
#define TARGET_MS 100

/** struct fixture - a balancer's refusals for one service */
struct fixture {
    struct overload overload;
    struct pressure pressure;
    uint64_t now_us;
};

static void
set_wait(struct fixture *fixture, unsigned wait_ms, unsigned rejects)
{
    fixture->pressure = (struct pressure){.agents = 4,
                                          .heard = 4,
                                          .wait_ms = wait_ms,
                                          .answer_ms = wait_ms,
                                          .capacity = 8,
                                          .busy = 8,
                                          .rejects = 4 * rejects,
                                          .room = wait_ms == 0};
}

static void
advance_ms(struct fixture *fixture, unsigned ms)
{
    for (; ms > 0; ms--) {
        fixture->now_us += USEC_PER_MSEC;
        admission_control_tick(&fixture->overload.control, fixture->now_us);
    }
}

static void
fixture_init(struct fixture *fixture)
{
    fixture->now_us = START_US;
    overload_init(&fixture->overload, 1, 32, START_US);
    advance_ms(fixture, 1000);
}

static enum overload_verdict
decide(struct fixture *fixture, uint32_t caller)
{
    struct overload_flow flow = {.control = {SERVICE, 1, BUDGET_MS},
                                 .target_ms = TARGET_MS,
                                 .caller = caller};

    return overload_decide(&fixture->overload, &flow, &fixture->pressure,
                           fixture->now_us);
}

/* Opens 4 flows each ms beside 20 others of 5 a second, which are admitted;
 * returns the refused ones. */
static unsigned
crowd(struct fixture *fixture, unsigned ms)
{
    unsigned refused = 0;

    for (unsigned i = 0; i < 4 * ms; i++) {
        if (i % 40 == 0) {
            g_assert_cmpint(decide(fixture, OTHERS + i / 40 % 20), ==,
                            OVERLOAD_ADMIT);
        }
        refused += decide(fixture, HEAVY) != OVERLOAD_ADMIT;
        if (i % 4 == 3) {
            advance_ms(fixture, 1);
        }
    }
    return refused;
}

TEST(a_crowd_of_requests_in_time_gets_no_shares)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, TARGET_MS / 4 - 1, 0);
    g_assert_cmpuint(crowd(&fixture, 2000), ==, 0);
}

TEST(a_crowd_of_late_requests_gets_shares)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, TARGET_MS / 4, 0);
    g_assert_cmpuint(crowd(&fixture, 2000), >, 0);
    g_assert_cmpint(decide(&fixture, HEAVY + 1), ==, OVERLOAD_ADMIT);
}

TEST(a_crowd_of_rejected_requests_gets_shares)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, 1, 10);
    g_assert_cmpuint(crowd(&fixture, 2000), >, 0);
}

TEST(a_frozen_balancer_gives_no_shares_for_a_second)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, TARGET_MS, 0);
    crowd(&fixture, 2000);
    g_assert_cmpint(decide(&fixture, HEAVY), ==, OVERLOAD_REFUSE_SHARE);
    fixture.now_us += 2 * USEC_PER_SEC;
    admission_control_tick(&fixture.overload.control, fixture.now_us);
    g_assert_cmpuint(crowd(&fixture, 999), ==, 0);
}

TEST(a_refused_caller_of_a_crowd_is_admitted_before_first_tries)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, BUDGET_MS + 1, 0);
    g_assert_cmpint(decide(&fixture, OTHERS), ==, OVERLOAD_REFUSE_WAIT);
    advance_ms(&fixture, 30);
    set_wait(&fixture, BUDGET_MS - 100, 0);
    g_assert_cmpint(decide(&fixture, OTHERS + 1), ==, OVERLOAD_REFUSE_WAIT);
    g_assert_cmpint(decide(&fixture, OTHERS), ==, OVERLOAD_ADMIT);
    g_assert_cmpint(decide(&fixture, OTHERS), ==, OVERLOAD_REFUSE_WAIT);
}

TEST(each_change_is_reported_once)
{
    struct fixture fixture;
    struct overload_change change;

    fixture_init(&fixture);
    set_wait(&fixture, 0, 0);
    decide(&fixture, HEAVY);
    g_assert_false(
        overload_take_change(&fixture.overload, fixture.now_us, &change));
    set_wait(&fixture, BUDGET_MS + 1, 0);
    decide(&fixture, HEAVY);
    g_assert_true(
        overload_take_change(&fixture.overload, fixture.now_us, &change));
    g_assert_cmpuint(change.service, ==, SERVICE);
    g_assert_cmpuint(change.threshold, ==, 1);
    g_assert_cmpuint(change.pressure.wait_ms, ==, BUDGET_MS + 1);
    for (unsigned i = 0; i < 100; i++) {
        decide(&fixture, HEAVY + i);
        g_assert_false(
            overload_take_change(&fixture.overload, fixture.now_us, &change));
    }
    advance_ms(&fixture, 3000);
    g_assert_true(
        overload_take_change(&fixture.overload, fixture.now_us, &change));
    g_assert_cmpuint(change.threshold, ==, UINT8_MAX + 1);
}

TEST(offered_flows_are_those_of_the_last_second)
{
    struct fixture fixture;

    fixture_init(&fixture);
    set_wait(&fixture, 0, 0);
    crowd(&fixture, 3000);
    g_assert_cmpuint(
        overload_offered_per_s(fixture.overload.last, fixture.now_us), >=,
        4090);
    g_assert_cmpuint(
        overload_offered_per_s(fixture.overload.last, fixture.now_us), <=,
        4110);
    advance_ms(&fixture, 2000);
    g_assert_cmpuint(
        overload_offered_per_s(fixture.overload.last, fixture.now_us), ==, 0);
}

static int64_t
number_of(struct json_object *json, const char *key)
{
    struct json_object *value;

    g_assert_true(json_object_object_get_ex(json, key, &value));
    return json_object_get_int64(value);
}

TEST(operators_see_capacity_wait_refusals_and_the_heaviest_caller)
{
    struct fixture fixture;
    struct json_object *json;
    struct json_object *services;
    struct json_object *service;
    struct json_object *heaviest;

    fixture_init(&fixture);
    set_wait(&fixture, BUDGET_MS + 1, 0);
    decide(&fixture, HEAVY);
    json = relay_pressure_json(&fixture.overload, fixture.now_us);
    g_assert_true(json_object_object_get_ex(json, "services", &services));
    g_assert_cmpuint(json_object_array_length(services), ==, 1);
    service = json_object_array_get_idx(services, 0);
    g_assert_cmpint(number_of(service, "capacity"), ==, 8);
    g_assert_cmpint(number_of(service, "wait_ms"), ==, BUDGET_MS + 1);
    g_assert_cmpint(number_of(service, "refused_from_priority"), ==, 1);
    g_assert_cmpint(number_of(service, "refused_wait"), ==, 1);
    g_assert_true(json_object_object_get_ex(service, "heaviest", &heaviest));
    g_assert_cmpuint(json_object_array_length(heaviest), ==, 1);
    g_assert_cmpstr(
        json_object_to_json_string_ext(json_object_array_get_idx(heaviest, 0),
                                       JSON_C_TO_STRING_PLAIN),
        ==,
        "{\"caller\":\"10.0.0.1\",\"offered_per_s\":0,"
        "\"admitted_per_s\":0}");
    json_object_put(json);
}

TEST(operators_see_that_the_setting_is_off)
{
    struct json_object *json = relay_pressure_json(NULL, START_US);

    g_assert_cmpstr(
        json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN), ==,
        "{\"on\":false,\"services\":[]}");
    json_object_put(json);
}
