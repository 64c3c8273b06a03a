#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/door_open"

TEST_F(fixture, a_flow_opens_and_is_answered)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    fixture_expect(fixture->record, "endpoint 0",
                   "tell placed reason=0 on=0 busy=1 state=0", "caller 1001",
                   NULL);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    fixture_expect(fixture->record, "endpoint 40", "caller 1001", NULL);
    g_assert_cmpuint(fixture->admission.busy_count, ==, 0);
}

TEST_F(fixture, a_syn_that_was_let_go_is_not_waited_for)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_receive(fixture, syn, 0, false);
    fixture_answer(fixture, fixture_bounced(syn));
    fixture_expect(fixture->record, "endpoint 0",
                   "tell state reason=0 on=0 busy=1 state=4", "drop 1",
                   "tell passed reason=4 on=0 busy=0 state=4", NULL);
    fixture_advance_ms(fixture, 6);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, an_endpoint_that_is_not_up_costs_one_syn)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_receive(fixture, syn, 1, false);
    fixture_answer(fixture, fixture_bounced(syn));
    fixture_expect(fixture->record, "endpoint 0",
                   "tell state reason=0 on=0 busy=1 state=4",
                   "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=4 on=1 busy=0 state=4", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=3 on=1 busy=0 state=4", NULL);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(3), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

TEST_F(fixture, an_endpoint_that_refuses_while_idle_is_down)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, syn, 1, false);
    fixture_answer(fixture, fixture_bounced(syn));
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=3 on=1 busy=0 state=4", NULL);
    fixture_heartbeat(fixture, "i-1", "lots", false, 2);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(3), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

TEST_F(fixture, an_endpoint_that_refuses_while_busy_is_full)
{
    struct relay_packet syn;

    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    fixture_open_flow(fixture, 2);
    fixture_open_flow(fixture, 3);
    syn = fixture_from_caller(fixture_flow(4), RELAY_SYN, 100, 0, 0);
    fixture_receive(fixture, syn, 0, true);
    fixture_answer(fixture, fixture_bounced(syn));
    g_assert_cmpint(fixture->admission.endpoint.state, ==, ENDPOINT_READY);
}

TEST_F(fixture, a_silent_endpoint_costs_one_syn)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 0, 0),
                    2, false);
    fixture_advance_ms(fixture, 4);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=1 state=4",
                   "carry 10.0.0.2:7000 hops=1 left=1",
                   "tell passed reason=3 on=1 busy=0 state=4", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 1, 0, 0),
                    2, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=1",
                   "tell passed reason=3 on=1 busy=0 state=4", NULL);
    /* Its late answer would open the flow in two places. */
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_SYN | RELAY_ACK,
                                                  5, 101, 0));
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=0 state=1",
                   "drop 2", NULL);
}

TEST_F(fixture, a_busy_endpoint_sends_new_flows_on)
{
    fixture_open_flow(fixture, 1);
    fixture_open_flow(fixture, 2);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(3), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=1 on=1 busy=2 state=0", NULL);
    /* Nobody else: the least busy takes it, and that is this one. */
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(4), RELAY_SYN, 1, 0, 0),
                    0, false);
    fixture_expect(fixture->record, "endpoint 0",
                   "tell passed reason=1 on=1 busy=3 state=0", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(5), RELAY_SYN, 1, 0, 0),
                    1, true);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(6), RELAY_SYN, 1, 0, 0),
                    1, true);
    /* What waits counts too. */
    fixture_expect(fixture->record, "tell held reason=0 on=0 busy=5 state=0",
                   NULL);
}

/* The endpoint answers the request of an open flow, and is given @expected
 * next. */
static void
finish_request(struct fixture *fixture, unsigned number, const char *expected)
{
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(number), RELAY_ACK, 101, 501, 40), 0,
        false);
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(number),
                                                  RELAY_ACK, 501, 141, 900));
    if (expected != NULL) {
        fixture_expect(fixture->record, expected, "endpoint 0", NULL);
    }
}

TEST_F(fixture, what_can_be_in_time_goes_before_what_is_late)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 0, 800, 1);
    fixture_receive_forced(fixture, 5, 100, 1400, 2);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 2);
    finish_request(fixture, 1, "caller 1001");
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(5),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
    fixture_expect(fixture->record, "tell placed reason=0 on=0 busy=4 state=0",
                   "caller 1005", NULL);
    /* The late one needs a slot that is free, not one that will be. */
    finish_request(fixture, 2, NULL);
    finish_request(fixture, FIXTURE_FILL_LAST, NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    finish_request(fixture, 3, "caller 1003");
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

TEST_F(fixture, far_callers_do_not_leave_slots_idle)
{
    /* A handshake takes twice as long as a request. */
    fixture->admission.latency =
        (struct latency){.service_us = 15000, .rtt_us = 30000};
    for (unsigned i = 1; i <= 5; i++) {
        fixture_receive(
            fixture,
            fixture_from_caller(fixture_flow(i), RELAY_SYN, 100, 0, 0), 2,
            false);
    }
    g_assert_cmpuint(fixture->admission.busy_count, ==, 5);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(7), RELAY_SYN, 100, 0, 0),
                    2, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=1",
                   "tell passed reason=1 on=1 busy=5 state=0", NULL);
}

TEST_F(fixture, the_urgent_goes_first_among_equals)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 100, 1400, 2);
    fixture_receive_forced(fixture, 5, 100, 1400, 1);
    finish_request(fixture, 1, "caller 1001");
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(5),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
    fixture_expect(fixture->record, "tell placed reason=0 on=0 busy=5 state=0",
                   "caller 1005", NULL);
}

TEST_F(fixture, a_held_syn_is_not_given_to_an_endpoint_after_its_caller_left)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 0, 50, 2);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 55);
    fixture_expect(fixture->record, "drop 3", NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

TEST_F(fixture, a_held_syn_whose_flow_opened_elsewhere_is_let_go)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(4), RELAY_ACK, 101, 900001, 40);

    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 0, 1400, 2);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    g_string_truncate(fixture->record, 0);
    /* Who sends more than a SYN has had an answer to it. */
    fixture_receive(fixture, data, 1, false);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
    fixture_answer(fixture, fixture_bounced(data));
    fixture_expect(fixture->record, "endpoint 40",
                   "carry 10.0.0.2:7000 hops=1 left=0", NULL);
}

TEST_F(fixture, held_syns_go_elsewhere_when_the_endpoint_leaves)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 100, 1400, 2);
    fixture_heartbeat(fixture, "i-1", "lots", true, 1);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record, "drop 1",
                   "tell passed reason=2 on=0 busy=4 state=2", NULL);
}

/* Its copy was given to another start of the endpoint, which has its own time
 * to answer. */
TEST_F(fixture, a_wait_for_an_earlier_start_is_over)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_receive(fixture, syn, 1, false);
    fixture_advance_ms(fixture, 3);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    fixture_receive(fixture, syn, 1, false);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 2);
    fixture_expect(fixture->record, NULL);
    fixture_advance_ms(fixture, 3);
    g_assert_nonnull(strstr(fixture->record->str, "carry 10.0.0.2:7000"));
}

/* The endpoint resets flows 1 to 3 with their requests in progress. */
static void
fail_three(struct fixture *fixture)
{
    for (unsigned i = 1; i <= 3; i++) {
        fixture_open_flow(fixture, i);
        fixture_receive(
            fixture,
            fixture_from_caller(fixture_flow(i), RELAY_ACK, 101, 501, 40), 0,
            false);
        g_string_truncate(fixture->record, 0);
        fixture_answer(fixture, fixture_from_endpoint(fixture_flow(i),
                                                      RELAY_RST | RELAY_ACK,
                                                      501, 141, 0));
    }
}

/* Its heartbeats say that it is well. */
TEST_F(fixture, an_endpoint_that_resets_requests_gets_what_no_other_takes)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(4), RELAY_SYN, 100, 0, 0);

    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fail_three(fixture);
    /* Balancers are told at once. */
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=1 state=1",
                   "caller 1003", NULL);
    fixture_receive(fixture, syn, 1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=6 on=1 busy=0 state=1", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(5), RELAY_SYN, 100, 0, 0),
                    0, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(5),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
    fixture_advance_ms(fixture, 5000);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(6), RELAY_SYN, 100, 0, 0),
                    1, false);
    g_assert_nonnull(strstr(fixture->record->str, "endpoint 0"));
}
