#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission/slow_start.h"
#include "relay/admission_fixture.h"

#define SUITE "/relay/warming"

/* Load: an endpoint that has just started and bears 5 requests a second until
 * it is warm, while callers come as fast as it answers. In no second may it
 * get more than the limit: 5 x 1.5 + 5, as on the users' sheet. */
#define LIMIT 12
#define STEP_US (7 * USEC_PER_MSEC)
#define START_US (100 * USEC_PER_SEC)

/* Gives whatever there is room for from @from_us to @to_us; the times. */
static GArray *
give(struct slow_start *slow_start, uint64_t from_us, uint64_t to_us)
{
    GArray *given = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (uint64_t now_us = from_us; now_us < to_us; now_us += STEP_US) {
        if (slow_start_allows(slow_start, now_us)) {
            slow_start_record(slow_start, now_us);
            g_array_append_val(given, now_us);
        }
    }
    return given;
}

/* The most in any second that slides over them. */
static unsigned
most_in_a_second(const GArray *given)
{
    unsigned most = 0;

    for (guint i = 0; i < given->len; i++) {
        uint64_t first_us = g_array_index(given, uint64_t, i);
        guint end = i;

        while (end < given->len &&
               g_array_index(given, uint64_t, end) < first_us + USEC_PER_SEC) {
            end++;
        }
        most = MAX(most, end - i);
    }
    return most;
}

TEST(in_any_second_a_cold_endpoint_gets_the_limit_and_no_more)
{
    struct slow_start slow_start;
    GArray *given;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, LIMIT);
    slow_start_set_remaining(&slow_start, 60000, START_US);
    given = give(&slow_start, START_US + 2 * USEC_PER_SEC,
                 START_US + 12 * USEC_PER_SEC);
    g_assert_cmpuint(most_in_a_second(given), ==, LIMIT);
    /* Nor much less: 10 s of it. */
    g_assert_cmpuint(given->len, >=, 9 * LIMIT);
    g_array_unref(given);
}

TEST(a_warm_endpoint_gets_what_comes)
{
    struct slow_start slow_start;
    GArray *given;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, LIMIT);
    slow_start_set_remaining(&slow_start, 500, START_US);
    given = give(&slow_start, START_US + 500 * USEC_PER_MSEC,
                 START_US + 1500 * USEC_PER_MSEC);
    g_assert_cmpuint(given->len, >, LIMIT);
    g_array_unref(given);
}

TEST(without_a_limit_a_cold_endpoint_gets_what_comes)
{
    struct slow_start slow_start;

    slow_start_init(&slow_start, START_US);
    for (unsigned i = 0; i < 10 * LIMIT; i++) {
        g_assert_true(slow_start_allows(&slow_start, START_US));
        slow_start_record(&slow_start, START_US);
    }
}

TEST(what_is_not_known_to_be_warm_is_cold)
{
    struct slow_start slow_start;
    GArray *given;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, LIMIT);
    slow_start_set_remaining(&slow_start, 0, START_US);
    slow_start_restart(&slow_start);
    given = give(&slow_start, START_US + 2 * USEC_PER_SEC,
                 START_US + 3 * USEC_PER_SEC);
    g_assert_cmpuint(given->len, ==, LIMIT);
    g_array_unref(given);
}

/* The agent before it may have given all of the second's requests just before
 * it ended. */
TEST(an_agent_that_starts_beside_a_cold_endpoint_does_not_begin_anew)
{
    struct slow_start slow_start;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, LIMIT);
    slow_start_set_remaining(&slow_start, 60000, START_US);
    g_assert_false(
        slow_start_allows(&slow_start, START_US + 900 * USEC_PER_MSEC));
    g_assert_true(
        slow_start_allows(&slow_start, START_US + 1100 * USEC_PER_MSEC));
    /* Unless its endpoint says that it is warm. */
    slow_start_init(&slow_start, START_US);
    slow_start_set_remaining(&slow_start, 0, START_US);
    slow_start_limit(&slow_start, LIMIT);
    g_assert_true(slow_start_allows(&slow_start, START_US + 1));
}

TEST(when_there_will_be_room_is_known)
{
    struct slow_start slow_start;
    uint64_t now_us = START_US + 5 * USEC_PER_SEC;
    uint64_t next_us;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, 2);
    slow_start_set_remaining(&slow_start, 60000, START_US);
    slow_start_record(&slow_start, now_us);
    slow_start_record(&slow_start, now_us + 10);
    g_assert_false(slow_start_allows(&slow_start, now_us + 20));
    next_us = slow_start_next_us(&slow_start);
    g_assert_false(slow_start_allows(&slow_start, next_us - 1));
    g_assert_true(slow_start_allows(&slow_start, next_us));
}

/* The agent: what it may not give goes on at once, and what nobody else takes
 * waits until there is room. */
static void
arrive(struct fixture *fixture, unsigned number, unsigned next, bool forced)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(number), RELAY_SYN, 100, 0, 0);
    struct frame_forward frame = {
        .service = fixture->admission.endpoint.service,
        .origin = fixture_addr(FIXTURE_BALANCER),
        .view.version = 1,
        .forced = forced,
        .target_ms = 1000,
        .caller_timeout_ms = 1400,
        .slow_start_limit = 1,
        .next = {fixture_addr(FIXTURE_SECOND)},
        .next_count = (uint8_t)next,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
}

TEST_F(fixture, what_a_cold_endpoint_may_not_get_goes_on_or_waits)
{
    struct heartbeat beat = {
        .id = "i-1",
        .service = fixture->admission.endpoint.service,
        .slots = 2,
        .warmup_left_ms = 3000,
        .sequence = 1,
    };

    fixture_advance_ms(fixture, 1100);
    admission_handle_heartbeat(&fixture->admission, &beat, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    arrive(fixture, 1, 1, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(1),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
    g_string_truncate(fixture->record, 0);
    /* One slot is free, but balancers are told that none is. */
    arrive(fixture, 2, 1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=1 on=1 busy=2 state=1", NULL);
    arrive(fixture, 3, 0, true);
    fixture_expect(fixture->record, "tell held reason=0 on=0 busy=2 state=1",
                   NULL);
    g_assert_cmpuint(admission_next_us(&fixture->admission), <=,
                     fixture->now_us + 1050 * USEC_PER_MSEC);
    fixture_advance_ms(fixture, 1050);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

/* After a loss of all hosts some balancers serve before they have read the
 * configuration. */
TEST_F(fixture, a_balancer_without_a_configuration_lifts_no_limit)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(2), RELAY_SYN, 100, 0, 0);
    struct frame_forward frame = {
        .service = fixture->admission.endpoint.service,
        .origin = fixture_addr(FIXTURE_BALANCER),
        .target_ms = 1000,
        .caller_timeout_ms = 1400,
        .next = {fixture_addr(FIXTURE_SECOND)},
        .next_count = 1,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    fixture_advance_ms(fixture, 1100);
    arrive(fixture, 1, 1, false);
    g_string_truncate(fixture->record, 0);
    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=1 on=1 busy=2 state=0", NULL);
}
