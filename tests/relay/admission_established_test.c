#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/admission_established"

TEST_F(fixture, packets_follow_a_redirected_flow)
{
    struct relay_flow flow = fixture_flow(3);

    fixture_open_flow(fixture, 1);
    fixture_open_flow(fixture, 2);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 1, 0, 0), 2,
                    false);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_ACK, 2, 7, 30), 0,
                    false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   NULL);
}

TEST_F(fixture, a_draining_endpoint_takes_no_new_flows_and_keeps_its_own)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    fixture_heartbeat(fixture, "i-1", "lots", true, 4);
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=1 state=2", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=2 on=1 busy=1 state=2", NULL);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
}

TEST_F(fixture, an_unknown_flow_is_offered_to_the_endpoint)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet data =
        fixture_from_caller(flow, RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    fixture_expect(fixture->record,
                   "notify established reason=0 on=0 busy=0 state=0",
                   "caller 1001", NULL);
}

TEST_F(fixture, only_flows_from_before_the_start_prove_served_addresses)
{
    struct frame_ping nothing = {0};

    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &nothing, fixture->now_us);
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=0 state=0", NULL);
    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &nothing, fixture->now_us);
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=1 state=0", NULL);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(7), RELAY_ACK,
                                                  501, 141, 900));
    fixture_expect(fixture->record, "served 1", "caller 1007", NULL);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &nothing, fixture->now_us);
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=1 state=0", "served 1",
                   NULL);
}

TEST_F(fixture, an_agent_announces_itself_until_a_balancer_is_heard)
{
    struct frame_ping ping = {.view.version = 4};

    admission_add_announce_target(&fixture->admission,
                                  fixture_addr(FIXTURE_BALANCER));
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=0 state=0", NULL);
    fixture_advance_ms(fixture, 99);
    fixture_expect(fixture->record, NULL);
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record,
                   "notify state reason=0 on=0 busy=0 state=0", NULL);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &ping, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 500);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, the_balancer_heard_last_is_reported_as_holder_of_a_version)
{
    struct frame_ping ping = {.view.version = 4};
    struct addr second = fixture_addr("10.9.0.2:7720");

    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &ping, fixture->now_us);
    admission_handle_ping(&fixture->admission, second, &ping, fixture->now_us);
    g_assert_true(addr_equal(fixture->admission.heard.holder, second));
    ping.view.version = 3;
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &ping, fixture->now_us);
    g_assert_true(addr_equal(fixture->admission.heard.holder, second));
    g_assert_cmpuint(fixture->admission.heard.version, ==, 4);
}

TEST_F(fixture, balancers_that_read_the_store_are_counted_for_the_others)
{
    struct frame_ping reading = {.view = {4, FRAME_READER_READING}};
    struct frame_ping not_reading = {.view = {4, FRAME_READER_NONE}};
    struct frame_ping trying = {.view = {4, FRAME_READER_TRYING}};
    struct addr second = fixture_addr("10.9.0.2:7720");

    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &reading, fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 0);
    admission_handle_ping(&fixture->admission, second, &not_reading,
                          fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 1);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &trying, fixture->now_us);
    admission_handle_ping(&fixture->admission, second, &not_reading,
                          fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 0);
    g_assert_cmpuint(fixture->trying, ==, 1);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &reading, fixture->now_us);
    /* A balancer without a frame for a second isn't counted. */
    fixture->now_us += 1100 * USEC_PER_MSEC;
    admission_handle_ping(&fixture->admission, second, &reading,
                          fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 0);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &not_reading, fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 1);
    admission_handle_ping(&fixture->admission, second, &not_reading,
                          fixture->now_us);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &not_reading, fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 0);
}

TEST_F(fixture, a_flow_is_explained)
{
    struct relay_flow flow = fixture_flow(1);
    struct admission_explanation explanation;

    g_assert_false(admission_explain(&fixture->admission, flow,
                                     fixture->now_us, &explanation));
    fixture_open_flow(fixture, 1);
    g_assert_true(admission_explain(&fixture->admission, flow, fixture->now_us,
                                    &explanation));
    g_assert_cmpstr(explanation.state, ==, "here");
    g_assert_true(explanation.in_progress);
    g_assert_false(explanation.confirmed);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 2,
                    false);
    g_assert_true(admission_explain(&fixture->admission, flow, fixture->now_us,
                                    &explanation));
    g_assert_cmpstr(explanation.state, ==, "elsewhere");
    g_assert_true(
        addr_equal(explanation.target, fixture_addr(FIXTURE_SECOND)));
    g_assert_true(
        addr_equal(explanation.origin, fixture_addr(FIXTURE_BALANCER)));
}

TEST_F(fixture, a_bounced_packet_continues_its_lookup)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    fixture_answer(fixture, fixture_bounced(data));
    fixture_expect(fixture->record, "endpoint 40",
                   "forward 10.0.0.2:7000 hops=1 left=1", NULL);
}

/* No flow is added, and only the end of the lookup is reported. */
TEST_F(fixture, a_lookup_skips_an_endpoint_whose_flows_are_all_known)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, data, 2, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=1",
                   NULL);
    fixture_receive(fixture, data, 0, false);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=9 on=0 busy=0 state=1", NULL);
    g_assert_cmpuint(fixture->admission.table.used, ==, 0);
}

/* Guards against a reset of a flow that the endpoint holds from before this
 * agent's start: the agent may not deny it for certain. */
TEST_F(fixture, a_lookup_for_another_service_ends_without_certainty)
{
    fixture_heartbeat(fixture, "i-1", "albums", false, 12);
    g_string_truncate(fixture->record, 0);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40),
        0, false);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=4 on=0 busy=0 state=1", NULL);
}

TEST_F(fixture, two_packets_of_a_lookup_go_the_same_way)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet ack =
        fixture_from_caller(flow, RELAY_ACK, 101, 501, 0);
    struct relay_packet fin =
        fixture_from_caller(flow, RELAY_ACK | RELAY_FIN, 101, 501, 1);

    fixture_receive(fixture, ack, 2, false);
    fixture_receive(fixture, fin, 2, false);
    fixture_answer(fixture, fixture_bounced(ack));
    g_string_truncate(fixture->record, 0);
    /* The FIN may overtake the first packet and must not end the lookup. */
    fixture_answer(fixture, fixture_bounced(fin));
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=1",
                   NULL);
}

/* An endpoint that has just started may reset flows that it never held instead
 * of bouncing their packets. */
TEST_F(fixture, a_reset_of_a_flow_not_held_is_dropped)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet data =
        fixture_from_caller(flow, RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_RST | RELAY_ACK,
                                                  501, 101, 0));
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=9 on=0 busy=0 state=0", NULL);
    g_assert_cmpuint(fixture->admission.served.count, ==, 0);
    /* A packet that is sent again continues the lookup. */
    fixture_receive(fixture, data, 2, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=1",
                   NULL);
}

TEST_F(fixture, a_reset_before_the_caller_confirmed_is_dropped)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet rst =
        fixture_from_endpoint(flow, RELAY_RST | RELAY_ACK, 501, 101, 0);

    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    /* The caller may have accepted another endpoint's SYN+ACK. */
    fixture_answer(fixture, rst);
    fixture_expect(fixture->record, "drop 1", NULL);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, rst);
    fixture_expect(fixture->record, "caller 1001", NULL);
}

TEST_F(fixture, a_lookup_follows_the_path_in_its_frame)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    fixture_answer(fixture, fixture_bounced(data));
    g_string_truncate(fixture->record, 0);
    /* The second agent has stopped and isn't on the lookup path any more. */
    fixture_receive_along(fixture, data, FIXTURE_THIRD, NULL);
    fixture_expect(fixture->record, "forward 10.0.0.3:7000 hops=1 left=0",
                   NULL);
    /* The agent that got the first packet is still on the path and is
     * preferred. */
    fixture_receive(fixture, data, 2, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=1",
                   NULL);
}

TEST_F(fixture, a_lookup_in_reverse_order_keeps_its_order)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    fixture_answer(fixture, fixture_bounced(data));
    g_string_truncate(fixture->record, 0);
    /* The second agent, which got the first packet, may be down. */
    fixture_receive_along(fixture, data, FIXTURE_THIRD, FIXTURE_SECOND);
    fixture_expect(fixture->record, "forward 10.0.0.3:7000 hops=1 left=1",
                   NULL);
}

TEST_F(fixture, a_flow_that_acks_another_syn_ack_is_redirected)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                    false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(fixture, a_flow_open_elsewhere_is_not_offered_again)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    /* The balancer has this SYN+ACK only, the caller accepted another. */
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 0,
                    false);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=4 on=0 busy=0 state=0", NULL);
    /* The endpoint waits for its own handshake and would silently take the
     * packet. */
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 2,
                    false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=1",
                   NULL);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 0,
                    false);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=4 on=0 busy=0 state=0", NULL);
}

TEST_F(fixture, a_packet_of_an_opening_flow_goes_to_the_endpoint_only)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 0, 0),
                    2, false);
    g_string_truncate(fixture->record, 0);
    /* Another endpoint answered the SYN too. */
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                    false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
}

TEST_F(fixture, a_syn_ack_alone_proves_no_flow)
{
    struct relay_flow flow = fixture_flow(1);

    /* The SYN came before this agent's start. */
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_SYN | RELAY_ACK,
                                                  500, 101, 0));
    fixture_expect(fixture->record, "caller 1001", NULL);
    g_assert_cmpuint(fixture->admission.served.count, ==, 0);
    /* The caller accepted another endpoint's SYN+ACK. */
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                    false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(fixture, bounced_data_does_not_end_the_handshake)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet data =
        fixture_from_caller(flow, RELAY_ACK, 101, 900000, 40);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 0, 0),
                    0, false);
    fixture_receive(fixture, data, 1, false);
    fixture_answer(fixture, fixture_bounced(data));
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_SYN | RELAY_ACK,
                                                  500, 101, 0));
    fixture_expect(fixture->record,
                   "notify established reason=0 on=0 busy=1 state=0",
                   "caller 1001", NULL);
}

TEST_F(fixture, a_proven_flow_that_bounces_is_reset)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet data =
        fixture_from_caller(flow, RELAY_ACK, 101, 501, 40);

    fixture_open_flow(fixture, 1);
    fixture_receive(fixture, data, 0, false);
    g_string_truncate(fixture->record, 0);
    /* The flow isn't proven open: another endpoint may have answered its SYN.
     */
    fixture_answer(fixture, fixture_bounced(data));
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=9 on=0 busy=0 state=0", NULL);
    fixture_open_flow(fixture, 2);
    flow = fixture_flow(2);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    g_string_truncate(fixture->record, 0);
    data = fixture_from_caller(flow, RELAY_ACK, 141, 1401, 40);
    fixture_receive(fixture, data, 0, false);
    fixture_answer(fixture, fixture_bounced(data));
    fixture_expect(fixture->record, "endpoint 40", "reset 1002 at 1401", NULL);
}

TEST_F(fixture, flows_of_an_endpoint_that_has_ended_are_reset)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    admission_endpoint_left(&fixture->admission, "i-1", 0, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 141, 1401, 40), 0,
                    false);
    fixture_expect(fixture->record, "reset 1001 at 1401", NULL);
}

/* The caller may still accept another SYN+ACK. */
TEST_F(fixture, an_unproven_flow_of_an_ended_endpoint_is_not_reset)
{
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    admission_endpoint_left(&fixture->admission, "i-1", 0, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40),
        0, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
}

TEST_F(fixture, an_endpoint_of_another_service_takes_no_flow)
{
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-9", "albums", false, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=5 on=1 busy=0 state=1", NULL);
}

TEST_F(fixture, a_repeated_syn_of_an_earlier_incarnation_is_a_new_one)
{
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    fixture_heartbeat(fixture, "i-2", "lots", true, 2);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 1, 0),
                    1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=2 on=1 busy=0 state=2", NULL);
}

TEST_F(fixture, a_repeated_syn_of_another_service_is_redirected)
{
    struct relay_flow flow = fixture_flow(1);

    /* A packet of the endpoint that had the address before. */
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-9", "albums", false, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 1, 0),
                    1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=5 on=1 busy=0 state=1", NULL);
}

TEST_F(fixture, a_late_heartbeat_of_an_earlier_incarnation_is_ignored)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 7);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    fixture_heartbeat(fixture, "i-1", "lots", true, 6);
    g_assert_cmpint(fixture->admission.endpoint.state, ==, ENDPOINT_READY);
    g_assert_cmpstr(fixture->admission.endpoint.incarnations[0].id, ==, "i-2");
}

TEST_F(fixture, a_flow_of_an_earlier_incarnation_of_the_same_id_is_reset)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 141, 1401, 40);

    fixture_starts(fixture, "i-1", 5000);
    fixture_open_flow(fixture, 1);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40),
        0, false);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(1), RELAY_ACK,
                                                  501, 141, 900));
    fixture_starts(fixture, "i-1", 9000);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, data, 0, false);
    fixture_answer(fixture, fixture_bounced(data));
    fixture_expect(fixture->record, "endpoint 40", "reset 1001 at 1401", NULL);
}

/* The endpoint held the flow before this agent started and queued its SYN. */
TEST_F(fixture, a_queued_syn_of_an_established_flow_leaves_the_queue)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 100, 1400, 2);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(4), RELAY_ACK,
                                                  501, 141, 900));
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
    fixture_expect(fixture->record,
                   "notify established reason=0 on=0 busy=4 state=0",
                   "caller 1004", NULL);
    /* The slots are free again, and the SYN isn't sent. */
    fixture_advance_ms(fixture, 70);
    fixture_expect(fixture->record, NULL);
}

/* A SYN+ACK of the last incarnation is read late. A copy of the SYN goes to
 * the next one, whose SYN+ACK the caller accepts. */
TEST_F(fixture, a_later_syn_ack_replaces_an_earlier_one)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 1, 0),
                    1, false);
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_SYN | RELAY_ACK,
                                                  900000, 101, 0));
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 1,
                    false);
    g_assert_nonnull(strstr(fixture->record->str, "endpoint 40"));
}
