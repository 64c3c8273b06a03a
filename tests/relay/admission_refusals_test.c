/* New flows are refused while requests of open flows fill the endpoint, and
 * only if no endpoint may hold or take them. */
#include <string.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/requests_fixture.h"

#define SUITE "/relay/admission_refusals"

/* Each agent on its way was full, and this one was the least busy. It is open
 * nowhere on this way; its balancer knows of others. */
SCHEDULED_TEST(a_new_flow_of_the_lowest_priority_is_refused_when_all_are_full)
{
    requests_start_full(fixture, 0);
    requests_send_syn(fixture, 9, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=8 on=0 busy=4 state=1", NULL);
    /* A copy is decided on again. */
    requests_answer(fixture, 1, 1);
    g_string_truncate(fixture->record, 0);
    requests_send_syn(fixture, 9, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, "endpoint 0",
                   "notify redirected reason=1 on=1 busy=4 state=1", NULL);
}

/* The agent knows of no lower priority yet. */
SCHEDULED_TEST(an_urgent_flow_is_not_refused_before_a_lower_priority_is_seen)
{
    for (unsigned i = 1; i <= REQUESTS_ROOM; i++) {
        requests_send_syn(fixture, i, REQUESTS_URGENT);
        requests_answer_syn(fixture, i);
        requests_send_request(fixture, i, 0, REQUESTS_URGENT);
        requests_answer(fixture, i, 0);
    }
    for (unsigned i = 1; i <= REQUESTS_ROOM; i++) {
        requests_send_request(fixture, i, 1, REQUESTS_URGENT);
    }
    g_string_truncate(fixture->record, 0);
    requests_send_syn(fixture, 9, REQUESTS_URGENT);
    g_assert_null(strstr(fixture->record->str, "reason=8"));
    g_assert_nonnull(strstr(fixture->record->str, "endpoint 0"));
}

/* Only the higher priority has had requests, the lower one new flows. */
SCHEDULED_TEST(a_new_flow_of_a_lower_priority_makes_others_urgent)
{
    requests_start_full(fixture, 0);
    requests_send_syn(fixture, 9, REQUESTS_ORDINARY + 1);
    g_assert_nonnull(strstr(fixture->record->str, "reason=8"));
    g_string_truncate(fixture->record, 0);
    requests_send_syn(fixture, 10, REQUESTS_ORDINARY);
    g_assert_null(strstr(fixture->record->str, "reason=8"));
    g_assert_nonnull(strstr(fixture->record->str, "endpoint 0"));
}

/* The endpoint takes ten requests. A new flow waits in its queue for the
 * handshake and again for its request, so that half of it counts as room. */
SCHEDULED_TEST(a_new_flow_is_refused_from_half_of_the_endpoints_queue_on)
{
    requests_start_full(fixture, 0);
    fixture->admission.scheduler.limit = 10;
    for (unsigned number = 9; number <= 10; number++) {
        requests_send_syn(fixture, number, REQUESTS_ORDINARY);
        g_assert_null(strstr(fixture->record->str, "reason=8"));
    }
    g_assert_cmpuint(fixture->admission.busy_count, ==, REQUESTS_ROOM + 2);
    g_string_truncate(fixture->record, 0);
    requests_send_syn(fixture, 11, REQUESTS_ORDINARY);
    g_assert_nonnull(strstr(fixture->record->str, "reason=8"));
}

/* The endpoint answers the first copy late, the caller opens its flow there,
 * and the second copy finds every endpoint full. */
SCHEDULED_TEST(a_syn_that_an_endpoint_may_hold_is_not_reset)
{
    requests_start_full(fixture, 0);
    requests_answer(fixture, 1, 1);
    requests_answer(fixture, 2, 1);
    requests_send_syn(fixture, 9, REQUESTS_ORDINARY);
    fixture_advance_ms(fixture, 6);
    requests_answer(fixture, 3, 1);
    requests_send_request(fixture, 3, 2, REQUESTS_ORDINARY);
    requests_send_request(fixture, 1, 2, REQUESTS_ORDINARY);
    requests_send_request(fixture, 2, 2, REQUESTS_ORDINARY);
    g_string_truncate(fixture->record, 0);
    requests_send_packet(
        fixture, fixture_from_caller(fixture_flow(9), RELAY_SYN, 100, 1, 0),
        REQUESTS_ORDINARY);
    g_assert_null(strstr(fixture->record->str, "reset"));
}

/* An endpoint before this one was given it and didn't answer in time. */
SCHEDULED_TEST(a_syn_that_was_given_to_another_endpoint_is_not_refused)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(9), RELAY_SYN, 100, 0, 0);
    struct frame_forward frame = {
        .service = fixture->admission.endpoint.service,
        .origin = fixture_addr(FIXTURE_BALANCER),
        .view.version = 1,
        .given = true,
        .hops = 1,
        .priority = REQUESTS_ORDINARY,
        .target_ms = REQUESTS_TARGET_MS,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    requests_start_full(fixture, 0);
    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=1 on=0 busy=4 state=1", NULL);
}

SCHEDULED_TEST(a_new_flow_is_not_refused_while_another_agent_is_left)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(9), RELAY_SYN, 100, 0, 0);

    requests_start_full(fixture, 0);
    fixture_receive(fixture, syn, 1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=1 on=1 busy=4 state=1", NULL);
}

/* It has room as soon as its slow start lets it have the next request. */
SCHEDULED_TEST(a_new_flow_is_not_refused_by_a_cold_endpoint_with_idle_slots)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(9), RELAY_SYN, 100, 0, 0);
    struct frame_forward frame = {
        .service = fixture->admission.endpoint.service,
        .origin = fixture_addr(FIXTURE_BALANCER),
        .view.version = 1,
        .priority = REQUESTS_ORDINARY,
        .target_ms = REQUESTS_TARGET_MS,
        .caller_timeout_ms = 1400,
        .slow_start_limit = 1,
        .bytes = syn.bytes,
        .size = syn.size,
    };

    requests_start_full(fixture, 0);
    for (unsigned i = 1; i <= REQUESTS_ROOM; i++) {
        requests_answer(fixture, i, 1);
    }
    g_assert_cmpuint(fixture->admission.busy_count, ==, 0);
    slow_start_set_remaining(&fixture->admission.slow_start, 5000,
                             fixture->now_us);
    g_string_truncate(fixture->record, 0);
    admission_handle_forward(&fixture->admission, &frame, &syn,
                             fixture->now_us);
    fixture_expect(fixture->record,
                   "notify queued reason=0 on=0 busy=2 state=1",
                   "notify redirected reason=1 on=1 busy=2 state=1", NULL);
    fixture_advance_ms(fixture, 1100);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

/* Other endpoints may have room. */
SCHEDULED_TEST(a_flow_of_a_drained_endpoint_is_not_refused)
{
    requests_start_full(fixture, 0);
    admission_drain(&fixture->admission, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    requests_send_syn(fixture, 9, REQUESTS_ORDINARY);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=2 on=0 busy=4 state=2", NULL);
}
