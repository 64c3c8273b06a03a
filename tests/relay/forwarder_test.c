#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder_fixture.h"

#define SUITE "/relay/steer"

TEST_F(fixture, a_flow_stays_where_it_was_placed, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(fixture->carried, ==, 1);
    g_assert_cmpuint(fixture->frame.next_count, ==, 3);
    fixture_established(fixture, fixture_agent_addr(3), 1, 500);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(3)));
    g_assert_cmpuint(fixture->frame.next_count, ==, 0);
}

TEST_F(fixture, an_agent_that_does_not_answer_costs_15_ms_once, 3)
{
    struct addr first;

    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    first = fixture->sent;
    fixture_advance_ms(fixture, 14);
    g_assert_cmpuint(fixture->carried, ==, 1);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->carried, ==, 2);
    g_assert_false(addr_equal(fixture->sent, first));
    g_assert_false(fixture_path_names(fixture, first));
    for (unsigned i = 2; i < 30; i++) {
        fixture_receive(
            fixture, fixture_from_caller(fixture_flow(i), RELAY_SYN, 9, 0, 0));
        g_assert_false(fixture_path_names(fixture, first));
    }
}

TEST_F(fixture, far_agents_are_given_time_to_answer, 3)
{
    /* They take 18 ms each time. */
    for (unsigned i = 1; i <= 40; i++) {
        fixture_receive(
            fixture, fixture_from_caller(fixture_flow(i), RELAY_SYN, 9, 0, 0));
        fixture->now_us += 18 * USEC_PER_MSEC;
        fixture_established(fixture, fixture->sent, i, 500);
    }
    fixture_advance_ms(fixture, 100);
    fixture->carried = 0;
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(90), RELAY_SYN, 9, 0, 0));
    fixture_advance_ms(fixture, 30);
    g_assert_cmpuint(fixture->carried, ==, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->carried, ==, 2);
}

TEST_F(fixture, whoever_has_the_syn_last_is_blamed, 3)
{
    struct frame_status passed = {
        .type = FRAME_REDIRECTED,
        .reason = FRAME_REASON_BUSY,
        .flow = fixture_flow(1),
        .health.state = ENDPOINT_READY,
    };
    struct addr first, second;

    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    first = fixture->sent;
    second = fixture->frame.next[0];
    passed.target = second;
    fixture_report(fixture, first.ip - 0x0a000000, passed);
    fixture_advance_ms(fixture, 15);
    g_assert_cmpuint(fixture->carried, ==, 2);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 9, 0, 0));
    g_assert_false(fixture_path_names(fixture, second));
    g_assert_true(fixture_path_names(fixture, first));
}

TEST_F(fixture, an_agent_that_never_spoke_ends_no_chain, 2)
{
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(9),
                hash_service("lots"), "here", fixture->now_us);
    for (unsigned i = 1; i < 30; i++) {
        fixture_receive(
            fixture, fixture_from_caller(fixture_flow(i), RELAY_SYN, 9, 0, 0));
        g_assert_false(fixture_path_names(fixture, fixture_agent_addr(9)));
    }
}

TEST_F(fixture, an_agent_that_answers_is_pinged_no_more, 3)
{
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(9),
                hash_service("lots"), "here", fixture->now_us);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->pings, ==, 1);
    fixture_report(fixture, 9,
                   (struct frame_status){.type = FRAME_STATE,
                                         .health.state = ENDPOINT_READY});
    for (unsigned i = 0; i < 3000; i++) {
        fixture_advance_ms(fixture, 1);
    }
    g_assert_cmpuint(fixture->pings, ==, 1);
    g_assert_cmpuint(forwarder_next_us(&fixture->forwarder), ==, UINT64_MAX);
}

TEST_F(fixture, an_agent_whose_object_is_gone_is_told, 3)
{
    agents_unlist(&fixture->forwarder.agents, fixture_agent_addr(2),
                  fixture->now_us);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->pings, ==, 1);
    g_assert_true(fixture->unlisted);
    /* It serves on while it answers. */
    fixture_report(fixture, 2,
                   (struct frame_status){.type = FRAME_STATE,
                                         .health.state = ENDPOINT_READY});
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_true(fixture_path_names(fixture, fixture_agent_addr(2)));
}

/* Its answers to callers' packets may come before it was told. */
TEST_F(fixture, an_agent_that_speaks_meanwhile_is_told_all_the_same, 3)
{
    struct frame_status ready = {.type = FRAME_STATE,
                                 .health.state = ENDPOINT_READY};

    agents_unlist(&fixture->forwarder.agents, fixture_agent_addr(2),
                  fixture->now_us);
    fixture_report(fixture, 2, ready);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->pings, ==, 1);
    g_assert_true(fixture->unlisted);
    /* And once more, as a datagram may be lost, until the store names it. */
    fixture_report(fixture, 2, ready);
    fixture_advance_ms(fixture, 100);
    g_assert_cmpuint(fixture->pings, ==, 2);
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(2),
                hash_service("lots"), "here", fixture->now_us);
    fixture_report(fixture, 2, ready);
    fixture_advance_ms(fixture, 5000);
    g_assert_cmpuint(fixture->pings, ==, 2);
}

/* One that has ended isn't to write its object again. */
TEST_F(fixture, an_agent_without_an_endpoint_is_not_told_again_and_again, 3)
{
    agents_unlist(&fixture->forwarder.agents, fixture_agent_addr(2),
                  fixture->now_us);
    for (unsigned i = 0; i < 20; i++) {
        fixture_report(fixture, 2,
                       (struct frame_status){.type = FRAME_STATE,
                                             .health.state = ENDPOINT_GONE});
        fixture_advance_ms(fixture, 100);
    }
    g_assert_cmpuint(fixture->pings, <=, 5);
}

TEST_F(fixture, a_silent_agent_is_pinged_more_and_more_rarely, 3)
{
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(9),
                hash_service("lots"), "here", fixture->now_us);
    for (unsigned i = 0; i < 20000; i++) {
        fixture_advance_ms(fixture, 1);
    }
    g_assert_cmpuint(fixture->pings, >=, 12);
    g_assert_cmpuint(fixture->pings, <=, 16);
}

/* Thousands of hosts are lost for good each day, and all balancers ping them.
 */
TEST_F(fixture, a_host_that_is_gone_for_good_costs_next_to_nothing, 3)
{
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(9),
                hash_service("lots"), "here", fixture->now_us);
    for (unsigned i = 0; i < 36000; i++) {
        fixture_advance_ms(fixture, 100);
    }
    g_assert_cmpuint(fixture->pings, >=, 40);
    g_assert_cmpuint(fixture->pings, <=, 80);
}

TEST_F(fixture, an_agent_that_lets_go_is_followed_by_the_next, 2)
{
    struct frame_status passed = {
        .type = FRAME_REDIRECTED,
        .reason = FRAME_REASON_LEAVING,
        .flow = fixture_flow(1),
        .health.state = ENDPOINT_DRAINING,
    };
    struct addr first;

    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    first = fixture->sent;
    fixture_report(fixture, first.ip - 0x0a000000, passed);
    g_assert_cmpuint(fixture->carried, ==, 2);
    g_assert_false(addr_equal(fixture->sent, first));
}

TEST_F(fixture, a_flow_of_another_balancer_is_looked_for, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->frame.next_count, ==, 3);
    fixture_established(fixture, fixture_agent_addr(2), 1, 500);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_ACK, 30, 501, 0));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(2)));
}

TEST_F(fixture, a_search_names_every_agent_that_may_hold_the_flow, 16)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    for (unsigned i = 1; i <= 16; i++) {
        g_assert_true(fixture_path_names(fixture, fixture_agent_addr(i)));
    }
}

/* The first packet goes to the likeliest; before the caller sends again every
 * agent is asked, and who holds the flow says so. */
TEST_F(fixture, every_agent_is_asked_before_the_second_packet, 100)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->carried, ==, 1);
    g_assert_cmpuint(fixture_named_count(fixture), ==, 16);
    g_assert_cmpuint(fixture->lookups, ==, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->asked, ==, 100);
}

TEST_F(fixture, a_second_search_goes_to_64_agents_at_once, 64)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    fixture->carried = 0;
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->carried, ==, 4);
    g_assert_cmpuint(fixture_named_count(fixture), ==, 64);
    g_assert_cmpuint(fixture->lookups, ==, 2);
}

TEST_F(fixture, a_search_that_ends_goes_on_with_the_others, 100)
{
    for (unsigned packet = 0; packet < 3; packet++) {
        fixture_receive(fixture, fixture_from_caller(fixture_flow(1),
                                                     RELAY_ACK, 10, 501, 20));
        for (unsigned chain = 1; chain <= 4; chain++) {
            fixture_abandon(fixture, chain, 1);
        }
    }
    g_assert_cmpuint(fixture_named_count(fixture), ==, 100);
}

TEST_F(fixture, two_packets_of_a_search_skip_no_agents, 100)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 0));
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_FIN, 10, 501, 0));
    for (unsigned chain = 1; chain <= 8; chain++) {
        fixture_abandon(fixture, chain, 1);
    }
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_FIN, 10, 501, 0));
    g_assert_cmpuint(fixture_named_count(fixture), ==, 100);
}

/* An agent that is dead ends each chain that comes to it. */
TEST_F(fixture, the_next_search_goes_the_other_way, 4)
{
    struct frame_forward frame;
    struct addr first;

    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    first = fixture->sent;
    frame = fixture->frame;
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(fixture->sent, frame.next[2]));
    g_assert_true(addr_equal(fixture->frame.next[0], frame.next[1]));
    g_assert_true(addr_equal(fixture->frame.next[2], first));
}

TEST_F(fixture, an_open_flow_without_a_place_is_looked_for, 4)
{
    struct relay_flow flow = fixture_flow(1);
    struct frame_status refused = {
        .type = FRAME_REDIRECTED,
        .reason = FRAME_REASON_REFUSED,
        .flow = flow,
        .health.state = ENDPOINT_READY,
    };
    struct addr first;

    /* This balancer was cut off; the flow opened through another one. */
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    first = fixture->sent;
    fixture->now_us += 4 * USEC_PER_SEC;
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(fixture->sent, first));
    g_assert_cmpuint(fixture->frame.next_count, ==, 3);
    /* Its SYN is history, whatever the agents say. */
    fixture->carried = 0;
    fixture_report(fixture, first.ip - 0x0a000000, refused);
    fixture_advance_ms(fixture, 50);
    g_assert_cmpuint(fixture->carried, ==, 0);
}

TEST_F(fixture, a_late_copy_of_an_open_flows_syn_goes_nowhere, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    fixture->carried = 0;
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 1, 0));
    fixture_advance_ms(fixture, 50);
    g_assert_cmpuint(fixture->carried, ==, 0);
}

TEST_F(fixture, a_lost_place_is_looked_for_again, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    fixture_established(fixture, fixture_agent_addr(2), 1, 500);
    fixture_report(fixture, 2,
                   (struct frame_status){.type = FRAME_REDIRECTED,
                                         .reason = FRAME_REASON_REFUSED,
                                         .flow = flow});
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->frame.next_count, ==, 3);
}

TEST_F(fixture, a_flow_whose_endpoint_is_no_more_is_reset, 4)
{
    struct frame_status refused = {
        .type = FRAME_REDIRECTED,
        .reason = FRAME_REASON_REFUSED,
        .flow = fixture_flow(1),
    };
    struct frame_status gone = {
        .type = FRAME_STATE,
        .health.state = ENDPOINT_GONE,
    };

    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    fixture_established(fixture, fixture_agent_addr(2), 1, 500);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    /* Another agent doesn't hold it: that says nothing. */
    fixture_report(fixture, 3, refused);
    fixture_expect(fixture->record, NULL);
    fixture_report(fixture, 2, refused);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 9, 0, 0));
    fixture_established(fixture, fixture_agent_addr(4), 2, 500);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(2), RELAY_ACK, 10, 501, 20));
    fixture_report(fixture, 4, gone);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(2), RELAY_ACK, 30, 777, 20));
    fixture_expect(fixture->record, "reset 1002 at 777", NULL);
}

TEST_F(fixture, two_answers_to_a_syn_are_told_apart, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    fixture_established(fixture, fixture_agent_addr(1), 1, 500);
    fixture_established(fixture, fixture_agent_addr(2), 1, 4000000);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 4000001, 20));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(2)));
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(1)));
}

TEST_F(fixture, a_flow_is_explained, 4)
{
    struct relay_flow flow = fixture_flow(1);
    struct forwarder_explanation told;

    forwarder_explain(&fixture->forwarder, flow, fixture->now_us, &told);
    g_assert_false(told.known);
    g_assert_nonnull(told.route);
    g_assert_cmpuint(told.service, ==, hash_service("lots"));
    g_assert_cmpuint(told.next.count, ==, 4);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    g_assert_true(addr_equal(fixture->sent, told.next.addrs[0]));
    fixture_established(fixture, fixture->sent, 1, 500);
    fixture_advance_ms(fixture, 7);
    forwarder_explain(&fixture->forwarder, flow, fixture->now_us, &told);
    g_assert_true(told.known);
    g_assert_false(told.opened);
    g_assert_cmpuint(told.tries, ==, 1);
    g_assert_cmpuint(told.age_us, ==, 7 * USEC_PER_MSEC);
    g_assert_cmpuint(told.acceptor_count, ==, 1);
    g_assert_true(addr_equal(told.acceptors[0], fixture->sent));
    flow.service.port++;
    forwarder_explain(&fixture->forwarder, flow, fixture->now_us, &told);
    g_assert_null(told.route);
    g_assert_cmpuint(told.next.count, ==, 0);
}

TEST_F(fixture, a_port_used_again_is_another_flow, 4)
{
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    fixture_established(fixture, fixture_agent_addr(1), 1, 500);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 1, 0));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(1)));
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_SYN, 700, 0, 0));
    g_assert_cmpuint(fixture->frame.next_count, ==, 3);
}

TEST_F(fixture, configuration_never_goes_back, 2)
{
    struct relay_flow flow = fixture_flow(1);

    flow.service = fixture_addr("198.18.0.2:443");
    fixture_set_routes(fixture, 6, false);
    fixture_set_routes(fixture, 5, true);
    g_assert_cmpuint(fixture->forwarder.routes.version, ==, 6);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    fixture_expect(fixture->record, "drop 2", NULL);
}

TEST_F(fixture, without_configuration_agents_tell_what_they_serve, 2)
{
    struct frame_served served = {
        .service = hash_service("lots"),
        .addrs = {fixture_addr("198.18.0.1:443")},
        .count = 1,
    };
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0);

    routes_finish(&fixture->forwarder.routes);
    fixture_receive(fixture, syn);
    fixture_expect(fixture->record, NULL);
    fixture->now_us += 400 * USEC_PER_MSEC;
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    fixture_expect(fixture->record, "drop 1", NULL);
    g_assert_false(forwarder_ready(&fixture->forwarder));
    forwarder_served(&fixture->forwarder, fixture_agent_addr(1), &served);
    forwarder_served(&fixture->forwarder, fixture_agent_addr(1), &served);
    g_assert_true(forwarder_ready(&fixture->forwarder));
    g_assert_cmpuint(fixture->forwarder.learned.count, ==, 1);
    fixture_receive(fixture, syn);
    g_assert_cmpuint(fixture->carried, ==, 1);
    /* A configuration replaces all of it. */
    fixture_set_routes(fixture, 3, false);
    g_assert_cmpuint(fixture->forwarder.learned.count, ==, 0);
    served.addrs[0] = fixture_addr("198.18.0.9:443");
    forwarder_served(&fixture->forwarder, fixture_agent_addr(1), &served);
    g_assert_cmpuint(fixture->forwarder.learned.count, ==, 0);
}

/* A host that starts takes packets before it has read the configuration. */
TEST_F(fixture, early_syns_are_sent_once_a_configuration_is_known, 2)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0);
    struct relay_packet ack =
        fixture_from_caller(fixture_flow(2), RELAY_ACK, 9, 77, 40);

    routes_finish(&fixture->forwarder.routes);
    syn.caller_timeout_ms = 1400;
    fixture_receive(fixture, syn);
    fixture_receive(fixture, ack);
    /* Only an endpoint can say what becomes of a flow that is open. */
    fixture_expect(fixture->record, "drop 1", NULL);
    fixture->now_us += 50 * USEC_PER_MSEC;
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    g_assert_cmpuint(fixture->carried, ==, 0);
    fixture_set_routes(fixture, 3, false);
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    g_assert_cmpuint(fixture->carried, ==, 1);
    g_assert_cmpuint(fixture->frame.caller_timeout_ms, ==, 1350);
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    g_assert_cmpuint(fixture->carried, ==, 1);
}

TEST_F(fixture, early_syns_wait_for_the_list_of_agents_too, 0)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0);

    syn.caller_timeout_ms = 1400;
    fixture->forwarder.agents.list_complete = false;
    fixture_receive(fixture, syn);
    fixture_expect(fixture->record, NULL);
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(1),
                hash_service("lots"), "here", fixture->now_us);
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    g_assert_cmpuint(fixture->carried, ==, 1);
}

TEST_F(fixture, callers_of_an_address_without_a_route_are_refused_at_once, 2)
{
    struct relay_flow flow = fixture_flow(1);
    struct relay_packet syn;

    flow.service = fixture_addr("198.18.0.9:443");
    syn = fixture_from_caller(flow, RELAY_SYN, 9, 0, 0);
    /* A newer configuration may have the route. */
    fixture_receive(fixture, syn);
    fixture_expect(fixture->record, "drop 2", NULL);
    fixture->forwarder.current = true;
    fixture_receive(fixture, syn);
    fixture_expect(fixture->record, "drop 2", "reset 1001 at 0", NULL);
    /* The first copy may have found an endpoint through another balancer. */
    syn.age_ms = 200;
    fixture_receive(fixture, syn);
    fixture_expect(fixture->record, "drop 2", NULL);
    /* A flow that is open may be of a route that was here. */
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_ACK, 9, 77, 40));
    fixture_expect(fixture->record, "drop 2", NULL);
}

TEST_F(fixture, a_newer_configuration_elsewhere_is_told, 2)
{
    fixture_report(
        fixture, 1,
        (struct frame_status){.type = FRAME_STATE,
                              .health.state = ENDPOINT_READY,
                              .heard = {7, fixture_addr("10.9.0.2:8166")}});
    fixture_expect(fixture->record, "behind 7", NULL);
}

/* A list may be older than the object of an agent that has just started. */
TEST_F(fixture, an_agent_that_the_store_never_named_is_not_told_so, 2)
{
    struct addr fresh = fixture_agent_addr(7);

    agents_update_health(
        &fixture->forwarder.agents, fresh,
        &(struct frame_health){.service = hash_service("lots")},
        fixture->now_us);
    agents_unlist(&fixture->forwarder.agents, fresh, fixture->now_us);
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    g_assert_cmpuint(fixture->pings, >, 0);
    g_assert_false(fixture->unlisted);
}

TEST_F(fixture, how_many_others_read_the_store_is_told, 2)
{
    fixture_report(fixture, 1,
                   (struct frame_status){.type = FRAME_STATE,
                                         .health.state = ENDPOINT_READY,
                                         .readers = {3, 1}});
    g_assert_cmpuint(fixture->readers, ==, 3);
}

TEST_F(fixture, witnesses_are_the_same_for_all_balancers, 20)
{
    struct agents_choice here;
    struct agents_choice there;
    struct agents_choice again;

    agents_witnesses(&fixture->forwarder.agents, &here);
    g_assert_cmpuint(here.count, ==, AGENTS_WITNESSES_MAX);
    agents_witnesses(&fixture->forwarder.agents, &again);
    g_assert_cmpmem(&here.addrs, sizeof(here.addrs[0]) * here.count,
                    &again.addrs, sizeof(again.addrs[0]) * again.count);
    /* One that doesn't answer is replaced, and the others stay. */
    agents_mark_unanswered(&fixture->forwarder.agents, here.addrs[0],
                           fixture->now_us, fixture->now_us);
    agents_witnesses(&fixture->forwarder.agents, &there);
    g_assert_true(addr_equal(there.addrs[0], here.addrs[1]));
    g_assert_true(addr_equal(there.addrs[1], here.addrs[2]));
    forwarder_ping_witnesses(&fixture->forwarder);
    g_assert_cmpuint(fixture->pings, ==, AGENTS_WITNESSES_MAX);
}

TEST_F(fixture, frames_say_how_the_balancer_keeps_up_with_the_store, 2)
{
    fixture->forwarder.reader = FRAME_READER_READING;
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0));
    g_assert_cmpuint(fixture->frame.view.reader, ==, FRAME_READER_READING);
    g_assert_cmpuint(fixture->frame.view.version, ==,
                     fixture->forwarder.routes.version);
}

TEST_F(fixture, what_no_caller_sends_is_dropped, 2)
{
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(1), RELAY_SYN | RELAY_ACK, 9, 0, 0));
    fixture_receive(fixture, fixture_bounced(fixture_from_caller(
                                 fixture_flow(1), RELAY_SYN, 9, 0, 0)));
    fixture_expect(fixture->record, "drop 0", "drop 0", NULL);
    g_assert_cmpuint(fixture->carried, ==, 0);
}
