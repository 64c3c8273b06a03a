#include <stdlib.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/endpoint_model.h"
#include "relay/scheduler/scheduler.h"

#define SUITE "/relay/scheduler"

#define SLOTS 2
#define START_US (100 * USEC_PER_SEC)
#define URGENT 0
#define ORDINARY 1

/* Seeds of the property test; SCHEDULER_SEEDS=N runs others. */
#define SEEDS 200

static struct scheduler_request
make_request(uint32_t handle, uint8_t priority, unsigned target_ms)
{
    return (struct scheduler_request){
        .handle = handle,
        .priority = priority,
        .target_us = START_US + target_ms * USEC_PER_MSEC,
        .abandon_us = START_US + 10 * target_ms * USEC_PER_MSEC,
    };
}

/* Whether the request is given at once. */
static bool
begin(struct scheduler *scheduler, uint32_t handle, uint8_t priority,
      unsigned target_ms)
{
    struct scheduler_request request =
        make_request(handle, priority, target_ms);
    enum scheduler_reason reason;

    return scheduler_begin(scheduler, &request, START_US, &reason);
}

/* A scheduler with requests 1 to its limit at the endpoint. */
static void
start_full(struct scheduler *scheduler)
{
    scheduler_init(scheduler, SLOTS);
    for (uint32_t i = 1; i <= scheduler->limit; i++) {
        g_assert_true(begin(scheduler, i, ORDINARY, 1000));
    }
}

static uint32_t
next(struct scheduler *scheduler, unsigned after_ms,
     enum scheduler_reason *reason)
{
    return scheduler_next(scheduler, START_US + after_ms * USEC_PER_MSEC,
                          reason);
}

/* A request ends, 50 ms after the last one. */
static enum scheduler_end
end(struct scheduler *scheduler, uint32_t handle)
{
    return scheduler_end(scheduler, handle, false,
                         START_US +
                             (scheduler->ended + 1) * 50 * USEC_PER_MSEC);
}

/* A request is answered at once. */
static enum scheduler_end
end_at_once(struct scheduler *scheduler, uint32_t handle)
{
    return scheduler_end(scheduler, handle, false, START_US);
}

TEST(a_request_is_held_while_the_endpoint_has_no_room)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;

    start_full(&scheduler);
    g_assert_false(begin(&scheduler, 10, ORDINARY, 1000));
    g_assert_true(scheduler_is_held(&scheduler, 10));
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, SCHEDULER_NONE);
    g_assert_cmpint(end(&scheduler, 1), ==, SCHEDULER_ANSWERED);
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, 10);
    g_assert_cmpint(reason, ==, SCHEDULER_ROOM);
    g_assert_false(scheduler_is_held(&scheduler, 10));
}

TEST(room_goes_to_the_higher_priority_then_to_the_earliest_target)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;

    start_full(&scheduler);
    g_assert_false(begin(&scheduler, 10, ORDINARY, 500));
    g_assert_false(begin(&scheduler, 11, ORDINARY, 900));
    g_assert_false(begin(&scheduler, 12, URGENT, 400));
    end(&scheduler, 1);
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, 12);
    end(&scheduler, 2);
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, 10);
    end(&scheduler, 3);
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, 11);
}

TEST(the_lowest_priority_gets_a_quarter_of_the_turns)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;
    unsigned ordinary = 0;

    start_full(&scheduler);
    for (uint32_t i = 0; i < 40; i++) {
        g_assert_false(begin(&scheduler, 100 + i, URGENT, 2000));
        g_assert_false(begin(&scheduler, 200 + i, ORDINARY, 2000));
    }
    for (uint32_t i = 0; i < 40; i++) {
        uint32_t handle;

        end(&scheduler, scheduler.running[0].handle);
        handle = next(&scheduler, 1, &reason);
        ordinary += handle >= 200;
        g_assert_cmpint(reason, ==,
                        handle >= 200 ? SCHEDULER_TURN : SCHEDULER_ROOM);
    }
    g_assert_cmpuint(ordinary, ==, 10);
}

TEST(each_priority_below_the_highest_held_one_gets_turns)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;
    unsigned given[3] = {0};

    start_full(&scheduler);
    for (uint32_t i = 0; i < 40; i++) {
        for (uint8_t priority = 0; priority < 3; priority++) {
            g_assert_false(
                begin(&scheduler, 100 * (priority + 1u) + i, priority, 3000));
        }
    }
    for (uint32_t i = 0; i < 16; i++) {
        end(&scheduler, scheduler.running[0].handle);
        given[next(&scheduler, 1, &reason) / 100 - 1]++;
    }
    g_assert_cmpuint(given[0], ==, 12);
    g_assert_cmpuint(given[1], ==, 2);
    g_assert_cmpuint(given[2], ==, 2);
}

TEST(a_request_that_becomes_late_is_given_without_room)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;
    uint64_t late_us;

    start_full(&scheduler);
    g_assert_false(begin(&scheduler, 10, ORDINARY, 200));
    late_us = scheduler_next_us(&scheduler);
    g_assert_cmpuint(late_us, <, START_US + 200 * USEC_PER_MSEC);
    g_assert_cmpuint(late_us, >, START_US);
    g_assert_cmpuint(scheduler_next(&scheduler, late_us - 1, &reason), ==,
                     SCHEDULER_NONE);
    g_assert_cmpuint(scheduler_next(&scheduler, late_us, &reason), ==, 10);
    g_assert_cmpint(reason, ==, SCHEDULER_LATE);
    g_assert_cmpuint(scheduler_next_us(&scheduler), ==, UINT64_MAX);
}

/* Ten are before it. */
TEST(a_request_is_not_held_behind_more_than_its_target_allows)
{
    struct scheduler scheduler;

    start_full(&scheduler);
    for (uint32_t i = 0; i < 10; i++) {
        g_assert_false(begin(&scheduler, 10 + i, ORDINARY, 300));
    }
    g_assert_true(begin(&scheduler, 20, ORDINARY, 145));
    g_assert_cmpuint(scheduler.running_count, ==, scheduler.limit + 1);
    g_assert_false(begin(&scheduler, 21, ORDINARY, 160));
    g_assert_false(begin(&scheduler, 22, URGENT, 80));
}

TEST(a_request_that_is_late_from_the_start_is_given_at_once)
{
    struct scheduler scheduler;
    struct scheduler_request request = make_request(10, ORDINARY, 5);
    enum scheduler_reason reason;

    start_full(&scheduler);
    g_assert_true(scheduler_begin(&scheduler, &request, START_US, &reason));
    g_assert_cmpint(reason, ==, SCHEDULER_LATE);
}

TEST(an_urgent_request_is_held_past_its_target_while_its_caller_waits)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;

    start_full(&scheduler);
    g_assert_false(begin(&scheduler, 10, URGENT, 15));
    g_assert_cmpuint(next(&scheduler, 20, &reason), ==, SCHEDULER_NONE);
    end(&scheduler, 1);
    g_assert_cmpuint(next(&scheduler, 20, &reason), ==, 10);
    g_assert_cmpint(reason, ==, SCHEDULER_ROOM);
}

TEST(an_urgent_request_is_given_before_its_caller_abandons_it)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;

    start_full(&scheduler);
    g_assert_false(begin(&scheduler, 10, URGENT, 20));
    g_assert_cmpuint(next(&scheduler, 195, &reason), ==, 10);
    g_assert_cmpint(reason, ==, SCHEDULER_LATE);
}

TEST(late_requests_do_not_make_others_late)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;

    start_full(&scheduler);
    for (uint32_t i = 0; i < 20; i++) {
        g_assert_false(begin(&scheduler, 10 + i, ORDINARY, 400 + i));
    }
    g_assert_cmpuint(
        scheduler_next(&scheduler, scheduler_next_us(&scheduler), &reason), ==,
        10);
    g_assert_cmpuint(scheduler_next(&scheduler, START_US, &reason), ==,
                     SCHEDULER_NONE);
    g_assert_cmpuint(scheduler.held_count, ==, 19);
}

TEST(an_answer_at_once_before_its_turn_is_a_rejection_and_lowers_the_limit)
{
    struct scheduler scheduler;

    start_full(&scheduler);
    g_assert_cmpint(end_at_once(&scheduler, 4), ==, SCHEDULER_REJECTED);
    g_assert_cmpuint(scheduler.limit, ==, 3);
    g_assert_cmpint(end_at_once(&scheduler, 3), ==, SCHEDULER_REJECTED);
    g_assert_cmpuint(scheduler.limit, ==, SLOTS);
    /* Requests that run in a slot may end in any order, and at once. */
    g_assert_cmpint(end_at_once(&scheduler, 2), ==, SCHEDULER_ANSWERED);
    g_assert_cmpint(end(&scheduler, 1), ==, SCHEDULER_ANSWERED);
    g_assert_cmpuint(scheduler.limit, ==, SLOTS);
}

/* An endpoint may take requests of its queue in another order. */
TEST(an_answer_before_its_turn_after_some_time_is_none)
{
    struct scheduler scheduler;

    start_full(&scheduler);
    g_assert_cmpint(end(&scheduler, 4), ==, SCHEDULER_ANSWERED);
    g_assert_cmpuint(scheduler.limit, >=, 4);
}

/* An endpoint that looks at new flows only when a slot is free rejects their
 * requests together, long after they were given. */
TEST(an_answer_that_no_slot_can_have_run_is_a_rejection)
{
    struct scheduler scheduler;
    unsigned limit;

    start_full(&scheduler);
    limit = scheduler.limit;
    g_assert_cmpint(end(&scheduler, 1), ==, SCHEDULER_ANSWERED);
    g_assert_cmpint(end(&scheduler, 2), ==, SCHEDULER_ANSWERED);
    g_assert_cmpint(scheduler_end(&scheduler, 3, false,
                                  START_US + 50 * USEC_PER_MSEC + 300),
                    ==, SCHEDULER_REJECTED);
    g_assert_cmpuint(scheduler.limit, ==, limit);
    g_assert_cmpuint(scheduler.ended, ==, 2);
    g_assert_cmpint(end(&scheduler, 4), ==, SCHEDULER_ANSWERED);
}

TEST(a_queued_request_may_be_answered_after_those_before_it)
{
    struct scheduler scheduler;

    start_full(&scheduler);
    g_assert_cmpint(end(&scheduler, 2), ==, SCHEDULER_ANSWERED);
    g_assert_cmpint(end(&scheduler, 3), ==, SCHEDULER_ANSWERED);
    g_assert_cmpint(end(&scheduler, 4), ==, SCHEDULER_ANSWERED);
}

/* Two requests were given before the first of them was rejected. */
TEST(rejected_requests_do_not_count_as_before_others)
{
    struct scheduler scheduler;

    start_full(&scheduler);
    g_assert_cmpint(end_at_once(&scheduler, 3), ==, SCHEDULER_REJECTED);
    g_assert_cmpint(end(&scheduler, 1), ==, SCHEDULER_ANSWERED);
    g_assert_cmpint(end_at_once(&scheduler, 4), ==, SCHEDULER_ANSWERED);
}

TEST(answered_requests_at_the_limit_raise_it)
{
    struct scheduler scheduler;
    unsigned limit;

    start_full(&scheduler);
    limit = scheduler.limit;
    for (uint32_t i = 1; i < limit; i++) {
        end(&scheduler, i);
        g_assert_cmpuint(scheduler.limit, ==, limit);
    }
    g_assert_cmpint(end(&scheduler, limit), ==, SCHEDULER_ANSWERED);
    g_assert_cmpuint(scheduler.limit, ==, limit + 1);
}

TEST(an_urgent_request_does_not_try_a_raised_limit)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;
    unsigned limit;

    start_full(&scheduler);
    limit = scheduler.limit;
    for (uint32_t i = 1; i <= limit; i++) {
        end(&scheduler, i);
    }
    g_assert_cmpuint(scheduler.limit, ==, limit + 1);
    for (uint32_t i = 1; i <= limit; i++) {
        g_assert_true(begin(&scheduler, i, ORDINARY, 9000));
    }
    g_assert_false(begin(&scheduler, 10, URGENT, 9000));
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, SCHEDULER_NONE);
    g_assert_false(begin(&scheduler, 11, ORDINARY, 9000));
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, 11);
    g_assert_cmpint(reason, ==, SCHEDULER_ROOM);
    end(&scheduler, 1);
    end(&scheduler, 2);
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, 10);
}

TEST(a_request_that_was_cut_says_nothing_about_the_limit)
{
    struct scheduler scheduler;
    unsigned limit;

    start_full(&scheduler);
    limit = scheduler.limit;
    g_assert_cmpint(scheduler_end(&scheduler, limit, true, START_US), ==,
                    SCHEDULER_CUT);
    g_assert_cmpuint(scheduler.limit, ==, limit);
    g_assert_cmpuint(scheduler.running_count, ==, limit - 1);
}

/* Begins and ends a request at the given time. */
static void
pass_at(struct scheduler *scheduler, uint32_t handle, uint8_t priority,
        uint64_t at_us)
{
    struct scheduler_request request = {
        .handle = handle,
        .priority = priority,
        .target_us = at_us + USEC_PER_SEC,
        .abandon_us = at_us + 2 * USEC_PER_SEC,
    };
    enum scheduler_reason reason;

    g_assert_true(scheduler_begin(scheduler, &request, at_us, &reason));
    scheduler_end(scheduler, handle, false, at_us + 50 * USEC_PER_MSEC);
}

TEST(the_lowest_priority_is_forgotten_when_none_comes_any_more)
{
    struct scheduler scheduler;
    uint64_t at_us = START_US;
    unsigned limit;

    scheduler_init(&scheduler, SLOTS);
    pass_at(&scheduler, 1, 2, at_us);
    for (unsigned i = 0; i < 130; i++) {
        at_us += USEC_PER_SEC;
        pass_at(&scheduler, 2, ORDINARY, at_us);
    }
    /* The lowest one tries whether the endpoint takes more. */
    limit = scheduler.limit;
    scheduler.proven = SLOTS;
    for (uint32_t i = 0; i < limit; i++) {
        struct scheduler_request request = {
            .handle = 10 + i,
            .priority = ORDINARY,
            .target_us = at_us + USEC_PER_SEC,
            .abandon_us = at_us + 2 * USEC_PER_SEC,
        };
        enum scheduler_reason reason;

        g_assert_true(scheduler_begin(&scheduler, &request, at_us, &reason));
        g_assert_cmpint(reason, ==, SCHEDULER_ROOM);
    }
}

TEST(dropped_requests_are_forgotten)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;

    start_full(&scheduler);
    g_assert_false(begin(&scheduler, 10, ORDINARY, 1000));
    scheduler_drop(&scheduler, 10);
    scheduler_drop(&scheduler, 1);
    scheduler_drop(&scheduler, 99);
    g_assert_cmpuint(scheduler.running_count, ==, scheduler.limit - 1);
    g_assert_cmpuint(next(&scheduler, 1, &reason), ==, SCHEDULER_NONE);
}

TEST(without_memory_requests_go_to_the_endpoint)
{
    struct scheduler scheduler;
    struct scheduler_request request = make_request(9999, ORDINARY, 9000);
    enum scheduler_reason reason;

    start_full(&scheduler);
    for (uint32_t i = 0; i < SCHEDULER_HELD_MAX; i++) {
        g_assert_false(begin(&scheduler, 100 + i, ORDINARY, 9000));
    }
    for (uint32_t i = 0; i < 2 * SCHEDULER_RUNNING_MAX; i++) {
        request.handle = 10000 + i;
        g_assert_true(
            scheduler_begin(&scheduler, &request, START_US, &reason));
        g_assert_cmpint(reason, ==, SCHEDULER_FULL);
    }
    g_assert_cmpuint(scheduler.held_count, ==, SCHEDULER_HELD_MAX);
    /* The last ones aren't tracked. */
    g_assert_cmpint(end(&scheduler, request.handle), ==, SCHEDULER_ANSWERED);
}

TEST(the_wait_counts_what_goes_first)
{
    struct scheduler scheduler;

    scheduler_init(&scheduler, SLOTS);
    scheduler.service_us = 10 * USEC_PER_MSEC;
    g_assert_cmpuint(scheduler_wait_us(&scheduler, ORDINARY), ==, 0);
    start_full(&scheduler);
    scheduler.service_us = 10 * USEC_PER_MSEC;
    g_assert_cmpuint(scheduler_wait_us(&scheduler, ORDINARY), ==,
                     15 * USEC_PER_MSEC);
    g_assert_false(begin(&scheduler, 10, ORDINARY, 1000));
    g_assert_false(begin(&scheduler, 11, ORDINARY, 1000));
    g_assert_cmpuint(scheduler_wait_us(&scheduler, ORDINARY), ==,
                     25 * USEC_PER_MSEC);
    g_assert_cmpuint(scheduler_wait_us(&scheduler, URGENT), ==,
                     15 * USEC_PER_MSEC);
}

/* A random load on the model of an endpoint, for the property test. */

#define PROPERTY_REQUESTS 400

/**
 * struct property - a run
 * @random: the seed's numbers
 * @scheduler: under test
 * @model: the endpoint
 * @given: how often each request was given
 * @ended: whether each request has ended
 * @late_us: when a held request must have been given
 * @now_us: the time
 */
struct property {
    GRand *random;
    struct scheduler scheduler;
    struct endpoint_model model;
    unsigned given[PROPERTY_REQUESTS];
    bool ended[PROPERTY_REQUESTS];
    uint64_t late_us[PROPERTY_REQUESTS];
    uint64_t now_us;
};

/* Gives a request to the endpoint, which answers a rejected one at once. */
static void
property_give(struct property *property, uint32_t handle)
{
    g_assert_cmpuint(++property->given[handle], ==, 1);
    g_assert_cmpuint(property->now_us, <=, property->late_us[handle]);
    if (endpoint_model_take(&property->model, handle, property->now_us)) {
        return;
    }
    g_assert_cmpint(
        scheduler_end(&property->scheduler, handle, false, property->now_us),
        ==, SCHEDULER_REJECTED);
    property->ended[handle] = true;
}

static void
property_drain(struct property *property)
{
    enum scheduler_reason reason;
    uint32_t handle;

    while ((handle = scheduler_next(&property->scheduler, property->now_us,
                                    &reason)) != SCHEDULER_NONE) {
        property_give(property, handle);
    }
    g_assert_cmpuint(property->scheduler.limit, >=, property->model.slots);
    g_assert_cmpuint(property->scheduler.proven, <=,
                     property->scheduler.limit);
    for (unsigned i = 0; i < property->scheduler.held_count; i++) {
        uint8_t priority = property->scheduler.held[i].request.priority;

        g_assert_cmpuint(property->scheduler.running_count, >=,
                         priority == scheduler_lowest(&property->scheduler)
                             ? property->scheduler.limit
                             : property->scheduler.proven);
    }
}

/* Ends requests and gives late ones until @until_us. */
static void
property_advance(struct property *property, uint64_t until_us)
{
    uint64_t next_us;

    while ((next_us = MIN(endpoint_model_next_us(&property->model),
                          scheduler_next_us(&property->scheduler))) <=
           until_us) {
        property->now_us = MAX(property->now_us, next_us);
        if (next_us == endpoint_model_next_us(&property->model)) {
            uint32_t handle =
                endpoint_model_end(&property->model, property->now_us);

            g_assert_cmpint(scheduler_end(&property->scheduler, handle, false,
                                          property->now_us),
                            ==, SCHEDULER_ANSWERED);
            property->ended[handle] = true;
        }
        property_drain(property);
    }
    property->now_us = until_us;
}

static void
property_begin(struct property *property, uint32_t handle)
{
    unsigned target_ms =
        20 + (unsigned)g_rand_int_range(property->random, 0, 500);
    struct scheduler_request request = {
        .handle = handle,
        .priority = (uint8_t)g_rand_int_range(property->random, 0, 3),
        .target_us = property->now_us + target_ms * USEC_PER_MSEC,
        .abandon_us = property->now_us + 3 * target_ms * USEC_PER_MSEC,
    };
    enum scheduler_reason reason;

    property->late_us[handle] = request.abandon_us;
    if (scheduler_begin(&property->scheduler, &request, property->now_us,
                        &reason)) {
        property_give(property, handle);
    }
    property_drain(property);
}

static void
property_run(unsigned seed)
{
    struct property property = {.now_us = START_US};
    unsigned slots;

    property.random = g_rand_new_with_seed(seed);
    slots = (unsigned)g_rand_int_range(property.random, 1, 9);
    property.model = (struct endpoint_model){
        .slots = slots,
        .takes = slots + (unsigned)g_rand_int_range(property.random, 0, 12),
        .service_us = (uint64_t)g_rand_int_range(property.random, 1000, 60000),
    };
    scheduler_init(&property.scheduler, slots);
    property.scheduler.service_us = property.model.service_us;
    for (uint32_t i = 0; i < PROPERTY_REQUESTS; i++) {
        uint64_t pause_us = (uint64_t)g_rand_int_range(
            property.random, 0,
            2 * (int)property.model.service_us / (int)slots);

        property_begin(&property, i);
        property_advance(&property, property.now_us + pause_us);
    }
    property_advance(&property, property.now_us + 100 * USEC_PER_SEC);
    for (uint32_t i = 0; i < PROPERTY_REQUESTS; i++) {
        g_assert_cmpuint(property.given[i], ==, 1);
        g_assert_true(property.ended[i]);
    }
    g_assert_cmpuint(property.scheduler.running_count, ==, 0);
    g_rand_free(property.random);
}

TEST(each_request_is_given_once_and_each_rejection_is_seen)
{
    const char *text = g_getenv("SCHEDULER_SEEDS");
    unsigned seeds = text != NULL ? (unsigned)strtoul(text, NULL, 10) : SEEDS;

    for (unsigned seed = 1; seed <= seeds; seed++) {
        g_test_message("seed %u", seed);
        property_run(seed);
    }
}

/* With all arrays in use, as in a burst of everybody. */
TEST(a_hundred_thousand_requests_take_less_than_a_second)
{
    struct scheduler scheduler;
    enum scheduler_reason reason;
    const uint32_t count = 100000;
    uint32_t handle = 1000;
    gint64 began_us;
    gint64 elapsed_us;

    start_full(&scheduler);
    for (uint32_t i = 0; i < SCHEDULER_HELD_MAX / 2; i++) {
        g_assert_false(begin(&scheduler, 100 + i, (uint8_t)(i % 2), 1000));
    }
    began_us = g_get_monotonic_time();
    for (uint32_t i = 0; i < count; i++) {
        (void)begin(&scheduler, handle++, (uint8_t)(i % 2), 1000);
        end(&scheduler, scheduler.running[0].handle);
        (void)next(&scheduler, 1, &reason);
    }
    elapsed_us = g_get_monotonic_time() - began_us;
    g_test_message("%u requests with %u held: %" G_GINT64_FORMAT " us", count,
                   scheduler.held_count, elapsed_us);
    /* Loose, as the machine may be busy and the build unoptimized. */
    g_assert_cmpint(elapsed_us, <, (gint64)USEC_PER_SEC);
}
