#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/door_site.h"
#include "relay/relay_rig.h"

#define SUITE "/relay/door_known"

TEST_F(site, packets_follow_a_flow_that_went_on)
{
    struct relay_flow flow = rig_flow(3);

    site_open_flow(site, 1);
    site_open_flow(site, 2);
    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 1, 0, 0), 2, false);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 2, 7, 30), 0, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0", NULL);
}

TEST_F(site, a_leaving_endpoint_takes_nothing_new_and_keeps_its_flows)
{
    struct relay_flow flow = rig_flow(1);

    site_open_flow(site, 1);
    g_string_truncate(site->record, 0);
    site_heartbeat(site, "i-1", "lots", true, 4);
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=2", NULL);
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 1, 0, 0), 1,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=2 on=1 busy=1 state=2", NULL);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0,
                false);
    rig_expect(site->record, "endpoint 40", NULL);
}

TEST_F(site, a_flow_from_before_the_start_is_offered_first)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet data = rig_from_caller(flow, RELAY_ACK, 101, 501, 40);

    site_arrive(site, data, 2, false);
    rig_expect(site->record, "endpoint 40", NULL);
    site_answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    rig_expect(site->record, "tell placed reason=0 on=0 busy=0 state=0",
               "caller 1001", NULL);
}

TEST_F(site, only_flows_from_before_the_start_tell_what_is_served)
{
    struct frame_ping nothing = {0};

    door_ping(&site->door, rig_addr(SITE_BALANCER), &nothing, site->now_us);
    rig_expect(site->record, "tell state reason=0 on=0 busy=0 state=0", NULL);
    site_open_flow(site, 1);
    g_string_truncate(site->record, 0);
    door_ping(&site->door, rig_addr(SITE_BALANCER), &nothing, site->now_us);
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=0", NULL);
    site_answer(site,
                rig_from_endpoint(rig_flow(7), RELAY_ACK, 501, 141, 900));
    rig_expect(site->record, "serves 1", "caller 1007", NULL);
    door_ping(&site->door, rig_addr(SITE_BALANCER), &nothing, site->now_us);
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=0",
               "serves 1", NULL);
}

TEST_F(site, an_agent_greets_until_a_balancer_speaks)
{
    struct frame_ping ping = {.view.version = 4};

    door_greet(&site->door, rig_addr(SITE_BALANCER));
    site_pass_ms(site, 1);
    rig_expect(site->record, "tell state reason=0 on=0 busy=0 state=0", NULL);
    site_pass_ms(site, 99);
    rig_expect(site->record, NULL);
    site_pass_ms(site, 1);
    rig_expect(site->record, "tell state reason=0 on=0 busy=0 state=0", NULL);
    door_ping(&site->door, rig_addr(SITE_BALANCER), &ping, site->now_us);
    g_string_truncate(site->record, 0);
    site_pass_ms(site, 500);
    rig_expect(site->record, NULL);
}

TEST_F(site, who_spoke_last_is_named_as_the_holder_of_a_version)
{
    struct frame_ping ping = {.view.version = 4};
    struct addr second = rig_addr("10.9.0.2:7720");

    door_ping(&site->door, rig_addr(SITE_BALANCER), &ping, site->now_us);
    door_ping(&site->door, second, &ping, site->now_us);
    g_assert_true(addr_equal(site->door.heard.holder, second));
    ping.view.version = 3;
    door_ping(&site->door, rig_addr(SITE_BALANCER), &ping, site->now_us);
    g_assert_true(addr_equal(site->door.heard.holder, second));
    g_assert_cmpuint(site->door.heard.version, ==, 4);
}

TEST_F(site, balancers_that_read_the_store_are_counted_for_the_others)
{
    struct frame_ping reads = {.view = {4, FRAME_READER_READS}};
    struct frame_ping reads_not = {.view = {4, FRAME_READER_NONE}};
    struct frame_ping tries = {.view = {4, FRAME_READER_TRIES}};
    struct addr second = rig_addr("10.9.0.2:7720");

    door_ping(&site->door, rig_addr(SITE_BALANCER), &reads, site->now_us);
    g_assert_cmpuint(site->readers, ==, 0);
    door_ping(&site->door, second, &reads_not, site->now_us);
    g_assert_cmpuint(site->readers, ==, 1);
    door_ping(&site->door, rig_addr(SITE_BALANCER), &tries, site->now_us);
    door_ping(&site->door, second, &reads_not, site->now_us);
    g_assert_cmpuint(site->readers, ==, 0);
    g_assert_cmpuint(site->trying, ==, 1);
    door_ping(&site->door, rig_addr(SITE_BALANCER), &reads, site->now_us);
    /* One that wasn't heard from for a second may be gone. */
    site->now_us += 1100 * USEC_PER_MSEC;
    door_ping(&site->door, second, &reads, site->now_us);
    g_assert_cmpuint(site->readers, ==, 0);
    door_ping(&site->door, rig_addr(SITE_BALANCER), &reads_not, site->now_us);
    g_assert_cmpuint(site->readers, ==, 1);
    door_ping(&site->door, second, &reads_not, site->now_us);
    door_ping(&site->door, rig_addr(SITE_BALANCER), &reads_not, site->now_us);
    g_assert_cmpuint(site->readers, ==, 0);
}

TEST_F(site, a_flow_is_explained)
{
    struct relay_flow flow = rig_flow(1);
    struct door_explanation told;

    g_assert_false(door_explain(&site->door, flow, &told));
    site_open_flow(site, 1);
    g_assert_true(door_explain(&site->door, flow, &told));
    g_assert_cmpstr(told.state, ==, "here");
    g_assert_true(told.in_progress);
    g_assert_false(told.confirmed);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900001, 40), 2,
                false);
    g_assert_true(door_explain(&site->door, flow, &told));
    g_assert_cmpstr(told.state, ==, "elsewhere");
    g_assert_true(addr_equal(told.target, rig_addr(SITE_SECOND)));
    g_assert_true(addr_equal(told.origin, rig_addr(SITE_BALANCER)));
}

TEST_F(site, a_flow_that_the_endpoint_lacks_is_looked_for)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40);

    site_arrive(site, data, 2, false);
    site_answer(site, rig_bounced(data));
    rig_expect(site->record, "endpoint 40",
               "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

/* Nothing is kept of it, and only its end is told. */
TEST_F(site, a_search_passes_who_knows_all_flows)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40);

    site_heartbeat(site, "i-1", "lots", false, 1);
    g_string_truncate(site->record, 0);
    site_arrive(site, data, 2, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
    site_arrive(site, data, 0, false);
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=1", NULL);
    g_assert_cmpuint(site->door.table.used, ==, 0);
}

TEST_F(site, two_packets_of_a_search_go_the_same_way)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet ack = rig_from_caller(flow, RELAY_ACK, 101, 501, 0);
    struct relay_packet fin =
        rig_from_caller(flow, RELAY_ACK | RELAY_FIN, 101, 501, 1);

    site_arrive(site, ack, 2, false);
    site_arrive(site, fin, 2, false);
    site_answer(site, rig_bounced(ack));
    g_string_truncate(site->record, 0);
    /* It may overtake the first, and must not end the search then. */
    site_answer(site, rig_bounced(fin));
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

/* An endpoint that has just started answers data of flows that it never held
 * with a reset, where others hand it back. */
TEST_F(site, a_reset_of_an_endpoint_that_lacks_the_flow_goes_nowhere)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet data = rig_from_caller(flow, RELAY_ACK, 101, 501, 40);

    site_arrive(site, data, 2, false);
    g_string_truncate(site->record, 0);
    site_answer(site,
                rig_from_endpoint(flow, RELAY_RST | RELAY_ACK, 501, 101, 0));
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=0", NULL);
    g_assert_cmpuint(site->door.served.count, ==, 0);
    /* The caller sends it again: it is looked for further on. */
    site_arrive(site, data, 2, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

TEST_F(site, a_reset_before_the_caller_confirmed_goes_nowhere)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet rst =
        rig_from_endpoint(flow, RELAY_RST | RELAY_ACK, 501, 101, 0);

    site_open_flow(site, 1);
    g_string_truncate(site->record, 0);
    /* The caller may have taken another endpoint's answer. */
    site_answer(site, rst);
    rig_expect(site->record, "drop 1", NULL);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0,
                false);
    g_string_truncate(site->record, 0);
    site_answer(site, rst);
    rig_expect(site->record, "caller 1001", NULL);
}

TEST_F(site, a_search_goes_where_its_own_frame_says)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40);

    site_arrive(site, data, 2, false);
    site_answer(site, rig_bounced(data));
    g_string_truncate(site->record, 0);
    /* The second agent has stopped since, and is not named any more. */
    site_arrive_along(site, data, SITE_THIRD, NULL);
    rig_expect(site->record, "carry 10.0.0.3:7000 hops=1 left=0", NULL);
    /* Where it went on to is named still: that is likeliest. */
    site_arrive(site, data, 2, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
}

TEST_F(site, a_search_that_goes_the_other_way_is_not_turned_round)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40);

    site_arrive(site, data, 2, false);
    site_answer(site, rig_bounced(data));
    g_string_truncate(site->record, 0);
    /* The second agent, where the first packet went, may be dead. */
    site_arrive_along(site, data, SITE_THIRD, SITE_SECOND);
    rig_expect(site->record, "carry 10.0.0.3:7000 hops=1 left=1", NULL);
}

TEST_F(site, the_other_answer_to_a_syn_counts)
{
    struct relay_flow flow = rig_flow(1);

    site_open_flow(site, 1);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(site, a_flow_that_is_open_elsewhere_stays_elsewhere)
{
    struct relay_flow flow = rig_flow(1);

    site_open_flow(site, 1);
    g_string_truncate(site->record, 0);
    /* Its balancer knows of this answer alone, the caller took another. */
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900001, 40), 0,
                false);
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=0", NULL);
    /* The endpoint still waits for its own handshake, and would say nothing
     * to a packet of the other's. */
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900001, 40), 2,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1", NULL);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900001, 40), 0,
                false);
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=0", NULL);
}

TEST_F(site, a_flow_that_the_endpoint_has_not_answered_is_not_here)
{
    struct relay_flow flow = rig_flow(1);

    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 0, 0), 2, false);
    g_string_truncate(site->record, 0);
    /* Its SYN was answered elsewhere too. */
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                false);
    rig_expect(site->record, "endpoint 40", NULL);
}

TEST_F(site, an_answer_to_a_syn_alone_proves_no_flow)
{
    struct relay_flow flow = rig_flow(1);

    /* The SYN went through an agent that has started anew since. */
    site_answer(site,
                rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 500, 101, 0));
    rig_expect(site->record, "caller 1001", NULL);
    g_assert_cmpuint(site->door.served.count, ==, 0);
    /* The caller took another endpoint's answer. */
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900000, 40), 1,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=4 on=1 busy=0 state=0", NULL);
}

TEST_F(site, data_that_bounces_does_not_end_the_handshake)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet data =
        rig_from_caller(flow, RELAY_ACK, 101, 900000, 40);

    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 0, 0), 0, false);
    site_arrive(site, data, 1, false);
    site_answer(site, rig_bounced(data));
    g_string_truncate(site->record, 0);
    site_answer(site,
                rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 500, 101, 0));
    rig_expect(site->record, "tell placed reason=0 on=0 busy=1 state=0",
               "caller 1001", NULL);
}

TEST_F(site, a_flow_whose_endpoint_started_anew_is_reset)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet data = rig_from_caller(flow, RELAY_ACK, 101, 501, 40);

    site_open_flow(site, 1);
    site_arrive(site, data, 0, false);
    g_string_truncate(site->record, 0);
    /* Not proven open yet: it may have been answered elsewhere. */
    site_answer(site, rig_bounced(data));
    rig_expect(site->record, "drop 1",
               "tell passed reason=4 on=0 busy=0 state=0", NULL);
    site_open_flow(site, 2);
    flow = rig_flow(2);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0,
                false);
    site_answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    g_string_truncate(site->record, 0);
    data = rig_from_caller(flow, RELAY_ACK, 141, 1401, 40);
    site_arrive(site, data, 0, false);
    site_answer(site, rig_bounced(data));
    rig_expect(site->record, "endpoint 40", "reset 1002 at 1401", NULL);
}

TEST_F(site, flows_of_an_endpoint_that_has_ended_are_reset)
{
    struct relay_flow flow = rig_flow(1);

    site_heartbeat(site, "i-1", "lots", false, 1);
    site_open_flow(site, 1);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0,
                false);
    site_answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    door_left(&site->door, "i-1", 0, site->now_us);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 141, 1401, 40), 0,
                false);
    rig_expect(site->record, "reset 1001 at 1401", NULL);
}

/* Its caller may yet say that it took another answer. */
TEST_F(site, a_flow_that_was_never_answered_is_not_reset)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    site_open_flow(site, 1);
    door_left(&site->door, "i-1", 0, site->now_us);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40), 0,
                false);
    rig_expect(site->record, "endpoint 40", NULL);
}

TEST_F(site, another_service_at_the_address_takes_no_flow_of_the_old_one)
{
    site_heartbeat(site, "i-9", "albums", false, 1);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 1, 0, 0), 1,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=5 on=1 busy=0 state=1", NULL);
}

TEST_F(site, a_late_syn_of_an_earlier_start_is_a_new_one)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    site_open_flow(site, 1);
    site_heartbeat(site, "i-2", "lots", false, 1);
    site_heartbeat(site, "i-2", "lots", true, 2);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 100, 1, 0), 1,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=2 on=1 busy=0 state=2", NULL);
}

TEST_F(site, a_late_syn_of_another_service_is_passed_on)
{
    struct relay_flow flow = rig_flow(1);

    /* A packet of the endpoint that had the address before. */
    site_answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    site_heartbeat(site, "i-9", "albums", false, 1);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 1, 0), 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=5 on=1 busy=0 state=1", NULL);
}

TEST_F(site, a_late_heartbeat_of_a_dead_start_changes_nothing)
{
    site_heartbeat(site, "i-1", "lots", false, 7);
    site_heartbeat(site, "i-2", "lots", false, 1);
    site_heartbeat(site, "i-1", "lots", true, 6);
    g_assert_cmpint(site->door.endpoint.state, ==, ENDPOINT_READY);
    g_assert_cmpstr(site->door.endpoint.starts[0].id, ==, "i-2");
}

TEST_F(site, a_flow_of_an_earlier_start_of_the_same_id_is_over)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(1), RELAY_ACK, 141, 1401, 40);

    site_starts(site, "i-1", 5000);
    site_open_flow(site, 1);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 101, 501, 40), 0,
                false);
    site_answer(site,
                rig_from_endpoint(rig_flow(1), RELAY_ACK, 501, 141, 900));
    site_starts(site, "i-1", 9000);
    g_string_truncate(site->record, 0);
    site_arrive(site, data, 0, false);
    site_answer(site, rig_bounced(data));
    rig_expect(site->record, "endpoint 40", "reset 1001 at 1401", NULL);
}

/* Its SYN waits here for a slot, at an agent that has just started; the
 * endpoint took it before. */
TEST_F(site, a_held_syn_whose_flow_was_here_all_along_waits_no_more)
{
    site_fill(site);
    site_arrive_forced(site, 4, 100, 1400, 2);
    g_assert_cmpuint(site->door.queue_count, ==, 1);
    g_string_truncate(site->record, 0);
    site_answer(site,
                rig_from_endpoint(rig_flow(4), RELAY_ACK, 501, 141, 900));
    g_assert_cmpuint(site->door.queue_count, ==, 0);
    rig_expect(site->record, "tell placed reason=0 on=0 busy=4 state=0",
               "caller 1004", NULL);
    /* The slots are free again, and no SYN of it goes out. */
    site_pass_ms(site, 70);
    rig_expect(site->record, NULL);
}

/* The answer of an endpoint that is no more was read late; a copy of the SYN
 * went to the next start, whose answer the caller took. */
TEST_F(site, the_last_answer_to_a_syn_is_the_one_that_counts)
{
    struct relay_flow flow = rig_flow(1);

    site_open_flow(site, 1);
    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 1, 0), 1, false);
    site_answer(
        site, rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 900000, 101, 0));
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 900001, 40), 1,
                false);
    g_assert_nonnull(strstr(site->record->str, "endpoint 40"));
}
