#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/admission_open"

TEST_F(fixture, a_flow_opens_and_is_answered)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    fixture_expect(fixture->record, "endpoint 0",
                   "notify established reason=0 on=0 busy=1 state=0",
                   "caller 1001", NULL);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    fixture_expect(fixture->record, "endpoint 40", "caller 1001", NULL);
    g_assert_cmpuint(fixture->admission.busy_count, ==, 0);
}

TEST_F(fixture, an_abandoned_syn_has_no_timeout)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_receive(fixture, syn, 0, false);
    fixture_answer(fixture, fixture_bounced(syn));
    fixture_expect(fixture->record, "endpoint 0",
                   "notify state reason=0 on=0 busy=1 state=4", "drop 1",
                   "notify redirected reason=4 on=0 busy=0 state=4", NULL);
    fixture_advance_ms(fixture, 6);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, an_endpoint_that_is_not_up_gets_one_syn)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_receive(fixture, syn, 1, false);
    fixture_answer(fixture, fixture_bounced(syn));
    fixture_expect(fixture->record, "endpoint 0",
                   "notify state reason=0 on=0 busy=1 state=4",
                   "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=4 on=1 busy=0 state=4", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=3 on=1 busy=0 state=4", NULL);
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
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=3 on=1 busy=0 state=4", NULL);
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

TEST_F(fixture, a_silent_endpoint_gets_one_syn)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 0, 0),
                    2, false);
    fixture_advance_ms(fixture, 4);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=1 state=4",
                   "forward 10.0.0.2:7000 hops=1 left=1",
                   "notify redirected reason=3 on=1 busy=0 state=4", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 1, 0, 0),
                    2, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=1",
                   "notify redirected reason=3 on=1 busy=0 state=4", NULL);
    /* Its late SYN+ACK would open the flow at two endpoints. */
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_SYN | RELAY_ACK,
                                                  5, 101, 0));
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=0 state=1", "drop 2",
                   NULL);
}

TEST_F(fixture, a_busy_endpoint_redirects_new_flows)
{
    fixture_open_flow(fixture, 1);
    fixture_open_flow(fixture, 2);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(3), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=1 on=1 busy=2 state=0", NULL);
    /* No other agent is left, and this one is the least busy. */
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(4), RELAY_SYN, 1, 0, 0),
                    0, false);
    fixture_expect(fixture->record, "endpoint 0",
                   "notify redirected reason=1 on=1 busy=3 state=0", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(5), RELAY_SYN, 1, 0, 0),
                    1, true);
    fixture_expect(fixture->record, "endpoint 0", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(6), RELAY_SYN, 1, 0, 0),
                    1, true);
    /* The queued SYN counts as busy. */
    fixture_expect(fixture->record,
                   "notify queued reason=0 on=0 busy=5 state=0", NULL);
}

/* The endpoint answers an open flow's request. Unless @expected is NULL,
 * checks that output and a queued SYN for the endpoint. */
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

TEST_F(fixture, syns_in_time_are_admitted_before_late_ones)
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
    fixture_expect(fixture->record,
                   "notify established reason=0 on=0 busy=4 state=0",
                   "caller 1005", NULL);
    /* The late one needs a free slot, without the extra room. */
    finish_request(fixture, 2, NULL);
    finish_request(fixture, FIXTURE_FILL_LAST, NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    finish_request(fixture, 3, "caller 1003");
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

TEST_F(fixture, long_round_trips_do_not_leave_slots_idle)
{
    /* The round trip takes twice as long as a request. */
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
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=1",
                   "notify redirected reason=1 on=1 busy=5 state=0", NULL);
}

TEST_F(fixture, higher_priority_is_admitted_first)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 100, 1400, 2);
    fixture_receive_forced(fixture, 5, 100, 1400, 1);
    finish_request(fixture, 1, "caller 1001");
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(5),
                                         RELAY_SYN | RELAY_ACK, 500, 101, 0));
    fixture_expect(fixture->record,
                   "notify established reason=0 on=0 busy=5 state=0",
                   "caller 1005", NULL);
}

TEST_F(fixture, an_abandoned_syn_leaves_the_queue)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 0, 50, 2);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 55);
    fixture_expect(fixture->record, "drop 3", NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

TEST_F(fixture, a_queued_syn_whose_flow_opened_elsewhere_is_removed)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(4), RELAY_ACK, 101, 900001, 40);

    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 0, 1400, 2);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    g_string_truncate(fixture->record, 0);
    /* A caller that sends data has accepted a SYN+ACK. */
    fixture_receive(fixture, data, 1, false);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
    fixture_answer(fixture, fixture_bounced(data));
    fixture_expect(fixture->record, "endpoint 40",
                   "forward 10.0.0.2:7000 hops=1 left=0", NULL);
}

TEST_F(fixture, queued_syns_are_redirected_when_the_endpoint_drains)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 100, 1400, 2);
    fixture_heartbeat(fixture, "i-1", "lots", true, 1);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=2 on=0 busy=4 state=2", NULL);
}

/* A copy of the SYN goes to the next incarnation, with a timeout of its own.
 */
TEST_F(fixture, a_syn_timer_of_an_earlier_incarnation_is_stale)
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
    g_assert_nonnull(strstr(fixture->record->str, "forward 10.0.0.2:7000"));
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

/* Its heartbeats still report it as ready. */
TEST_F(fixture, a_failing_endpoint_only_gets_flows_no_other_agent_takes)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(4), RELAY_SYN, 100, 0, 0);

    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fail_three(fixture);
    /* Balancers are notified at once. */
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=1 state=1", "caller 1003",
                   NULL);
    fixture_receive(fixture, syn, 1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=6 on=1 busy=0 state=1", NULL);
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

/* Guards against a new flow at an endpoint that drains: it bounced the first
 * SYN, or hasn't answered it yet, and would accept the copy. */
TEST_F(fixture,
       a_copy_of_an_unanswered_syn_is_not_given_to_a_draining_endpoint)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_receive(fixture, syn, 0, false);
    fixture_heartbeat(fixture, "i-1", "lots", true, 2);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, syn, 0, false);
    fixture_expect(fixture->record, "drop 1", NULL);
}
