#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission/slow_start.h"
#include "relay/admission_fixture.h"

#define SUITE "/relay/slow_start"

/* Limit of an endpoint that bears 5 requests a second while it is cold: 5 x
 * 1.5 + 5. */
#define LIMIT 12
#define STEP_US (7 * USEC_PER_MSEC)
#define START_US (100 * USEC_PER_SEC)

/* Admits requests whenever allowed from @from_us to @to_us; returns their
 * times. */
static GArray *
admit(struct slow_start *slow_start, uint64_t from_us, uint64_t to_us)
{
    GArray *admitted = g_array_new(FALSE, FALSE, sizeof(uint64_t));

    for (uint64_t now_us = from_us; now_us < to_us; now_us += STEP_US) {
        if (slow_start_allows(slow_start, now_us)) {
            slow_start_record(slow_start, now_us);
            g_array_append_val(admitted, now_us);
        }
    }
    return admitted;
}

/* Maximum number of requests in any second. */
static unsigned
max_in_a_second(const GArray *admitted)
{
    unsigned max = 0;

    for (guint i = 0; i < admitted->len; i++) {
        uint64_t first_us = g_array_index(admitted, uint64_t, i);
        guint end = i;

        while (end < admitted->len && g_array_index(admitted, uint64_t, end) <
                                          first_us + USEC_PER_SEC) {
            end++;
        }
        max = MAX(max, end - i);
    }
    return max;
}

TEST(a_cold_endpoint_gets_at_most_the_limit_in_any_second)
{
    struct slow_start slow_start;
    GArray *admitted;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, LIMIT);
    slow_start_set_remaining(&slow_start, 60000, START_US);
    admitted = admit(&slow_start, START_US + 2 * USEC_PER_SEC,
                     START_US + 12 * USEC_PER_SEC);
    g_assert_cmpuint(max_in_a_second(admitted), ==, LIMIT);
    /* The limit is also used up, for 10 s. */
    g_assert_cmpuint(admitted->len, >=, 9 * LIMIT);
    g_array_unref(admitted);
}

TEST(a_warm_endpoint_is_not_limited)
{
    struct slow_start slow_start;
    GArray *admitted;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, LIMIT);
    slow_start_set_remaining(&slow_start, 500, START_US);
    admitted = admit(&slow_start, START_US + 500 * USEC_PER_MSEC,
                     START_US + 1500 * USEC_PER_MSEC);
    g_assert_cmpuint(admitted->len, >, LIMIT);
    g_array_unref(admitted);
}

TEST(without_a_limit_a_cold_endpoint_is_not_limited)
{
    struct slow_start slow_start;

    slow_start_init(&slow_start, START_US);
    for (unsigned i = 0; i < 10 * LIMIT; i++) {
        g_assert_true(slow_start_allows(&slow_start, START_US));
        slow_start_record(&slow_start, START_US);
    }
}

TEST(an_endpoint_is_cold_until_known_to_be_warm)
{
    struct slow_start slow_start;
    GArray *admitted;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, LIMIT);
    slow_start_set_remaining(&slow_start, 0, START_US);
    slow_start_restart(&slow_start);
    admitted = admit(&slow_start, START_US + 2 * USEC_PER_SEC,
                     START_US + 3 * USEC_PER_SEC);
    g_assert_cmpuint(admitted->len, ==, LIMIT);
    g_array_unref(admitted);
}

/* The last agent may have admitted a full second's requests just before it
 * ended. */
TEST(a_starting_agent_admits_nothing_for_a_window)
{
    struct slow_start slow_start;

    slow_start_init(&slow_start, START_US);
    slow_start_limit(&slow_start, LIMIT);
    slow_start_set_remaining(&slow_start, 60000, START_US);
    g_assert_false(
        slow_start_allows(&slow_start, START_US + 900 * USEC_PER_MSEC));
    g_assert_true(
        slow_start_allows(&slow_start, START_US + 1100 * USEC_PER_MSEC));
    /* An endpoint that reports to be warm isn't limited. */
    slow_start_init(&slow_start, START_US);
    slow_start_set_remaining(&slow_start, 0, START_US);
    slow_start_limit(&slow_start, LIMIT);
    g_assert_true(slow_start_allows(&slow_start, START_US + 1));
}

TEST(the_time_of_the_next_request_is_known)
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

/* A SYN beyond the limit is redirected at once, and queued if no other agent
 * takes it. */
static void
receive_syn(struct fixture *fixture, unsigned number, unsigned next,
            bool forced)
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

TEST_F(fixture, requests_beyond_the_limit_are_redirected_or_queued)
{
    struct heartbeat heartbeat = {
        .id = "i-1",
        .service = fixture->admission.endpoint.service,
        .slots = 2,
        .warmup_left_ms = 3000,
        .sequence = 1,
    };

    fixture_advance_ms(fixture, 1100);
    admission_handle_heartbeat(&fixture->admission, &heartbeat,
                               fixture->now_us);
    g_string_truncate(fixture->record, 0);
    receive_syn(fixture, 1, 1, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(1),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
    g_string_truncate(fixture->record, 0);
    /* One slot is free, but balancers are notified that none is. */
    receive_syn(fixture, 2, 1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=1 on=1 busy=2 state=1", NULL);
    receive_syn(fixture, 3, 0, true);
    fixture_expect(fixture->record,
                   "notify queued reason=0 on=0 busy=2 state=1", NULL);
    g_assert_cmpuint(admission_next_us(&fixture->admission), <=,
                     fixture->now_us + 1050 * USEC_PER_MSEC);
    fixture_advance_ms(fixture, 1050);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

/* After a loss of all hosts some balancers serve before they have read the
 * configuration. */
TEST_F(fixture, a_balancer_without_configuration_keeps_the_limit)
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
    receive_syn(fixture, 1, 1, false);
    g_string_truncate(fixture->record, 0);
    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=1 on=1 busy=2 state=0", NULL);
}
