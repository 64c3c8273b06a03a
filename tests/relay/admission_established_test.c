#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/door_known"

TEST_F(fixture, packets_follow_a_flow_that_went_on)
{
    struct relay_flow flow = fixture_flow(3);

    fixture_open_flow(fixture, 1);
    fixture_open_flow(fixture, 2);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 1, 0, 0), 2,
                    false);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_ACK, 2, 7, 30), 0,
                    false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0", NULL);
}

TEST_F(fixture, a_leaving_endpoint_takes_nothing_new_and_keeps_its_flows)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    fixture_heartbeat(fixture, "i-1", "lots", true, 4);
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=1 state=2",
                   NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=2 on=1 busy=1 state=2", NULL);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
}

TEST_F(fixture, a_flow_from_before_the_start_is_offered_first)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet data =
        fixture_from_caller(flow, RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    fixture_expect(fixture->record, "tell placed reason=0 on=0 busy=0 state=0",
                   "caller 1001", NULL);
}

TEST_F(fixture, only_flows_from_before_the_start_tell_what_is_served)
{
    struct frame_ping nothing = {0};

    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &nothing, fixture->now_us);
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=0 state=0",
                   NULL);
    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &nothing, fixture->now_us);
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=1 state=0",
                   NULL);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(7), RELAY_ACK,
                                                  501, 141, 900));
    fixture_expect(fixture->record, "serves 1", "caller 1007", NULL);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &nothing, fixture->now_us);
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=1 state=0",
                   "serves 1", NULL);
}

TEST_F(fixture, an_agent_greets_until_a_balancer_speaks)
{
    struct frame_ping ping = {.view.version = 4};

    admission_add_announce_target(&fixture->admission,
                                  fixture_addr(FIXTURE_BALANCER));
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=0 state=0",
                   NULL);
    fixture_advance_ms(fixture, 99);
    fixture_expect(fixture->record, NULL);
    fixture_advance_ms(fixture, 1);
    fixture_expect(fixture->record, "tell state reason=0 on=0 busy=0 state=0",
                   NULL);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &ping, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 500);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, who_spoke_last_is_named_as_the_holder_of_a_version)
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
    struct frame_ping reads = {.view = {4, FRAME_READER_READING}};
    struct frame_ping reads_not = {.view = {4, FRAME_READER_NONE}};
    struct frame_ping tries = {.view = {4, FRAME_READER_TRYING}};
    struct addr second = fixture_addr("10.9.0.2:7720");

    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &reads, fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 0);
    admission_handle_ping(&fixture->admission, second, &reads_not,
                          fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 1);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &tries, fixture->now_us);
    admission_handle_ping(&fixture->admission, second, &reads_not,
                          fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 0);
    g_assert_cmpuint(fixture->trying, ==, 1);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &reads, fixture->now_us);
    /* One that wasn't heard from for a second may be gone. */
    fixture->now_us += 1100 * USEC_PER_MSEC;
    admission_handle_ping(&fixture->admission, second, &reads,
                          fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 0);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &reads_not, fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 1);
    admission_handle_ping(&fixture->admission, second, &reads_not,
                          fixture->now_us);
    admission_handle_ping(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                          &reads_not, fixture->now_us);
    g_assert_cmpuint(fixture->readers, ==, 0);
}

TEST_F(fixture, a_flow_is_explained)
{
    struct relay_flow flow = fixture_flow(1);
    struct admission_explanation told;

    g_assert_false(admission_explain(&fixture->admission, flow, &told));
    fixture_open_flow(fixture, 1);
    g_assert_true(admission_explain(&fixture->admission, flow, &told));
    g_assert_cmpstr(told.state, ==, "here");
    g_assert_true(told.in_progress);
    g_assert_false(told.confirmed);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 2,
                    false);
    g_assert_true(admission_explain(&fixture->admission, flow, &told));
    g_assert_cmpstr(told.state, ==, "elsewhere");
    g_assert_true(addr_equal(told.target, fixture_addr(FIXTURE_SECOND)));
    g_assert_true(addr_equal(told.origin, fixture_addr(FIXTURE_BALANCER)));
}

TEST_F(fixture, a_flow_that_the_endpoint_lacks_is_looked_for)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    fixture_answer(fixture, fixture_bounced(data));
    fixture_expect(fixture->record, "endpoint 40",
                   "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

/* Nothing is kept of it, and only its end is told. */
TEST_F(fixture, a_search_passes_who_knows_all_flows)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, data, 2, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
    fixture_receive(fixture, data, 0, false);
    fixture_expect(fixture->record, "drop 1",
                   "tell passed reason=4 on=0 busy=0 state=1", NULL);
    g_assert_cmpuint(fixture->admission.table.used, ==, 0);
}

TEST_F(fixture, two_packets_of_a_search_go_the_same_way)
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
    /* It may overtake the first, and must not end the search then. */
    fixture_answer(fixture, fixture_bounced(fin));
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

/* An endpoint that has just started answers data of flows that it never held
 * with a reset, where others hand it back. */
TEST_F(fixture, a_reset_of_an_endpoint_that_lacks_the_flow_goes_nowhere)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet data =
        fixture_from_caller(flow, RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_RST | RELAY_ACK,
                                                  501, 101, 0));
    fixture_expect(fixture->record, "drop 1",
                   "tell passed reason=4 on=0 busy=0 state=0", NULL);
    g_assert_cmpuint(fixture->admission.served.count, ==, 0);
    /* The caller sends it again: it is looked for further on. */
    fixture_receive(fixture, data, 2, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

TEST_F(fixture, a_reset_before_the_caller_confirmed_goes_nowhere)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet rst =
        fixture_from_endpoint(flow, RELAY_RST | RELAY_ACK, 501, 101, 0);

    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    /* The caller may have taken another endpoint's answer. */
    fixture_answer(fixture, rst);
    fixture_expect(fixture->record, "drop 1", NULL);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, rst);
    fixture_expect(fixture->record, "caller 1001", NULL);
}

TEST_F(fixture, a_search_goes_where_its_own_frame_says)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    fixture_answer(fixture, fixture_bounced(data));
    g_string_truncate(fixture->record, 0);
    /* The second agent has stopped since, and is not named any more. */
    fixture_receive_along(fixture, data, FIXTURE_THIRD, NULL);
    fixture_expect(fixture->record, "carry 10.0.0.3:7000 hops=1 left=0", NULL);
    /* Where it went on to is named still: that is likeliest. */
    fixture_receive(fixture, data, 2, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

TEST_F(fixture, a_search_that_goes_the_other_way_is_not_turned_round)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 2, false);
    fixture_answer(fixture, fixture_bounced(data));
    g_string_truncate(fixture->record, 0);
    /* The second agent, where the first packet went, may be dead. */
    fixture_receive_along(fixture, data, FIXTURE_THIRD, FIXTURE_SECOND);
    fixture_expect(fixture->record, "carry 10.0.0.3:7000 hops=1 left=1", NULL);
}

TEST_F(fixture, the_other_answer_to_a_syn_counts)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                    false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(fixture, a_flow_that_is_open_elsewhere_stays_elsewhere)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    /* Its balancer knows of this answer alone, the caller took another. */
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 0,
                    false);
    fixture_expect(fixture->record, "drop 1",
                   "tell passed reason=4 on=0 busy=0 state=0", NULL);
    /* The endpoint still waits for its own handshake, and would say nothing
     * to a packet of the other's. */
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 2,
                    false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900001, 40), 0,
                    false);
    fixture_expect(fixture->record, "drop 1",
                   "tell passed reason=4 on=0 busy=0 state=0", NULL);
}

TEST_F(fixture, a_flow_that_the_endpoint_has_not_answered_is_not_here)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 0, 0),
                    2, false);
    g_string_truncate(fixture->record, 0);
    /* Its SYN was answered elsewhere too. */
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                    false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
}

TEST_F(fixture, an_answer_to_a_syn_alone_proves_no_flow)
{
    struct relay_flow flow = fixture_flow(1);

    /* The SYN went through an agent that has started anew since. */
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_SYN | RELAY_ACK,
                                                  500, 101, 0));
    fixture_expect(fixture->record, "caller 1001", NULL);
    g_assert_cmpuint(fixture->admission.served.count, ==, 0);
    /* The caller took another endpoint's answer. */
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                    false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(fixture, data_that_bounces_does_not_end_the_handshake)
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
    fixture_expect(fixture->record, "tell placed reason=0 on=0 busy=1 state=0",
                   "caller 1001", NULL);
}

TEST_F(fixture, a_flow_whose_endpoint_started_anew_is_reset)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet data =
        fixture_from_caller(flow, RELAY_ACK, 101, 501, 40);

    fixture_open_flow(fixture, 1);
    fixture_receive(fixture, data, 0, false);
    g_string_truncate(fixture->record, 0);
    /* Not proven open yet: it may have been answered elsewhere. */
    fixture_answer(fixture, fixture_bounced(data));
    fixture_expect(fixture->record, "drop 1",
                   "tell passed reason=4 on=0 busy=0 state=0", NULL);
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

/* Its caller may yet say that it took another answer. */
TEST_F(fixture, a_flow_that_was_never_answered_is_not_reset)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    admission_endpoint_left(&fixture->admission, "i-1", 0, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40),
        0, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
}

TEST_F(fixture, another_service_at_the_address_takes_no_flow_of_the_old_one)
{
    fixture_heartbeat(fixture, "i-9", "albums", false, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 1, 0, 0),
                    1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=5 on=1 busy=0 state=1", NULL);
}

TEST_F(fixture, a_late_syn_of_an_earlier_start_is_a_new_one)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    fixture_heartbeat(fixture, "i-2", "lots", true, 2);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 1, 0),
                    1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=2 on=1 busy=0 state=2", NULL);
}

TEST_F(fixture, a_late_syn_of_another_service_is_passed_on)
{
    struct relay_flow flow = fixture_flow(1);

    /* A packet of the endpoint that had the address before. */
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    fixture_heartbeat(fixture, "i-9", "albums", false, 1);
    g_string_truncate(fixture->record, 0);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 100, 1, 0),
                    1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=5 on=1 busy=0 state=1", NULL);
}

TEST_F(fixture, a_late_heartbeat_of_a_dead_start_changes_nothing)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 7);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    fixture_heartbeat(fixture, "i-1", "lots", true, 6);
    g_assert_cmpint(fixture->admission.endpoint.state, ==, ENDPOINT_READY);
    g_assert_cmpstr(fixture->admission.endpoint.incarnations[0].id, ==, "i-2");
}

TEST_F(fixture, a_flow_of_an_earlier_start_of_the_same_id_is_over)
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

/* Its SYN waits here for a slot, at an agent that has just started; the
 * endpoint took it before. */
TEST_F(fixture, a_held_syn_whose_flow_was_here_all_along_waits_no_more)
{
    fixture_fill(fixture);
    fixture_receive_forced(fixture, 4, 100, 1400, 2);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 1);
    g_string_truncate(fixture->record, 0);
    fixture_answer(fixture, fixture_from_endpoint(fixture_flow(4), RELAY_ACK,
                                                  501, 141, 900));
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
    fixture_expect(fixture->record, "tell placed reason=0 on=0 busy=4 state=0",
                   "caller 1004", NULL);
    /* The slots are free again, and no SYN of it goes out. */
    fixture_advance_ms(fixture, 70);
    fixture_expect(fixture->record, NULL);
}

/* The answer of an endpoint that is no more was read late; a copy of the SYN
 * went to the next start, whose answer the caller took. */
TEST_F(fixture, the_last_answer_to_a_syn_is_the_one_that_counts)
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
