#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/steer_site.h"

#define SUITE "/relay/steer"

TEST_F(site, a_flow_stays_where_it_was_placed, 4)
{
    struct relay_flow flow = rig_flow(1);

    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(site->carried, ==, 1);
    g_assert_cmpuint(site->frame.next_count, ==, 3);
    site_placed(site, site_agent_addr(3), 1, 500);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, site_agent_addr(3)));
    g_assert_cmpuint(site->frame.next_count, ==, 0);
}

TEST_F(site, an_agent_that_does_not_answer_costs_15_ms_once, 3)
{
    struct addr first;

    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    first = site->sent;
    site_pass_ms(site, 14);
    g_assert_cmpuint(site->carried, ==, 1);
    site_pass_ms(site, 1);
    g_assert_cmpuint(site->carried, ==, 2);
    g_assert_false(addr_equal(site->sent, first));
    g_assert_false(site_chain_names(site, first));
    for (unsigned i = 2; i < 30; i++) {
        site_arrive(site, rig_from_caller(rig_flow(i), RELAY_SYN, 9, 0, 0));
        g_assert_false(site_chain_names(site, first));
    }
}

TEST_F(site, far_agents_are_given_time_to_answer, 3)
{
    /* They take 18 ms each time. */
    for (unsigned i = 1; i <= 40; i++) {
        site_arrive(site, rig_from_caller(rig_flow(i), RELAY_SYN, 9, 0, 0));
        site->now_us += 18 * USEC_PER_MSEC;
        site_placed(site, site->sent, i, 500);
    }
    site_pass_ms(site, 100);
    site->carried = 0;
    site_arrive(site, rig_from_caller(rig_flow(90), RELAY_SYN, 9, 0, 0));
    site_pass_ms(site, 30);
    g_assert_cmpuint(site->carried, ==, 1);
    site_pass_ms(site, 10);
    g_assert_cmpuint(site->carried, ==, 2);
}

TEST_F(site, whoever_has_the_syn_last_is_blamed, 3)
{
    struct frame_status passed = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_BUSY,
        .flow = rig_flow(1),
        .health.state = ENDPOINT_READY,
    };
    struct addr first, second;

    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    first = site->sent;
    second = site->frame.next[0];
    passed.target = second;
    site_say(site, first.ip - 0x0a000000, passed);
    site_pass_ms(site, 15);
    g_assert_cmpuint(site->carried, ==, 2);
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 9, 0, 0));
    g_assert_false(site_chain_names(site, second));
    g_assert_true(site_chain_names(site, first));
}

TEST_F(site, an_agent_that_never_spoke_ends_no_chain, 2)
{
    agents_list(&site->steer.agents, site_agent_addr(9), hash_service("lots"),
                "here", site->now_us);
    for (unsigned i = 1; i < 30; i++) {
        site_arrive(site, rig_from_caller(rig_flow(i), RELAY_SYN, 9, 0, 0));
        g_assert_false(site_chain_names(site, site_agent_addr(9)));
    }
}

TEST_F(site, an_agent_that_answers_is_pinged_no_more, 3)
{
    agents_list(&site->steer.agents, site_agent_addr(9), hash_service("lots"),
                "here", site->now_us);
    site_pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 1);
    site_say(site, 9,
             (struct frame_status){.type = FRAME_STATE,
                                   .health.state = ENDPOINT_READY});
    for (unsigned i = 0; i < 3000; i++) {
        site_pass_ms(site, 1);
    }
    g_assert_cmpuint(site->pings, ==, 1);
    g_assert_cmpuint(steer_next_us(&site->steer), ==, UINT64_MAX);
}

TEST_F(site, an_agent_whose_object_is_gone_is_told, 3)
{
    agents_unlist(&site->steer.agents, site_agent_addr(2), site->now_us);
    site_pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 1);
    g_assert_true(site->unlisted);
    /* It serves on while it answers. */
    site_say(site, 2,
             (struct frame_status){.type = FRAME_STATE,
                                   .health.state = ENDPOINT_READY});
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_true(site_chain_names(site, site_agent_addr(2)));
}

/* Its answers to callers' packets may come before it was told. */
TEST_F(site, an_agent_that_speaks_meanwhile_is_told_all_the_same, 3)
{
    struct frame_status ready = {.type = FRAME_STATE,
                                 .health.state = ENDPOINT_READY};

    agents_unlist(&site->steer.agents, site_agent_addr(2), site->now_us);
    site_say(site, 2, ready);
    site_pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 1);
    g_assert_true(site->unlisted);
    /* And once more, as a datagram may be lost, until the store names it. */
    site_say(site, 2, ready);
    site_pass_ms(site, 100);
    g_assert_cmpuint(site->pings, ==, 2);
    agents_list(&site->steer.agents, site_agent_addr(2), hash_service("lots"),
                "here", site->now_us);
    site_say(site, 2, ready);
    site_pass_ms(site, 5000);
    g_assert_cmpuint(site->pings, ==, 2);
}

/* One that has ended isn't to write its object again. */
TEST_F(site, an_agent_without_an_endpoint_is_not_told_again_and_again, 3)
{
    agents_unlist(&site->steer.agents, site_agent_addr(2), site->now_us);
    for (unsigned i = 0; i < 20; i++) {
        site_say(site, 2,
                 (struct frame_status){.type = FRAME_STATE,
                                       .health.state = ENDPOINT_GONE});
        site_pass_ms(site, 100);
    }
    g_assert_cmpuint(site->pings, <=, 5);
}

TEST_F(site, a_silent_agent_is_pinged_more_and_more_rarely, 3)
{
    agents_list(&site->steer.agents, site_agent_addr(9), hash_service("lots"),
                "here", site->now_us);
    for (unsigned i = 0; i < 20000; i++) {
        site_pass_ms(site, 1);
    }
    g_assert_cmpuint(site->pings, >=, 12);
    g_assert_cmpuint(site->pings, <=, 16);
}

/* Thousands of hosts are lost for good each day, and all balancers ping them.
 */
TEST_F(site, a_host_that_is_gone_for_good_costs_next_to_nothing, 3)
{
    agents_list(&site->steer.agents, site_agent_addr(9), hash_service("lots"),
                "here", site->now_us);
    for (unsigned i = 0; i < 36000; i++) {
        site_pass_ms(site, 100);
    }
    g_assert_cmpuint(site->pings, >=, 40);
    g_assert_cmpuint(site->pings, <=, 80);
}

TEST_F(site, an_agent_that_lets_go_is_followed_by_the_next, 2)
{
    struct frame_status passed = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_LEAVING,
        .flow = rig_flow(1),
        .health.state = ENDPOINT_DRAINING,
    };
    struct addr first;

    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    first = site->sent;
    site_say(site, first.ip - 0x0a000000, passed);
    g_assert_cmpuint(site->carried, ==, 2);
    g_assert_false(addr_equal(site->sent, first));
}

TEST_F(site, a_flow_of_another_balancer_is_looked_for, 4)
{
    struct relay_flow flow = rig_flow(1);

    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(site->frame.next_count, ==, 3);
    site_placed(site, site_agent_addr(2), 1, 500);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 30, 501, 0));
    g_assert_true(addr_equal(site->sent, site_agent_addr(2)));
}

TEST_F(site, a_search_names_every_agent_that_may_hold_the_flow, 16)
{
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    for (unsigned i = 1; i <= 16; i++) {
        g_assert_true(site_chain_names(site, site_agent_addr(i)));
    }
}

/* The first packet goes to the likeliest; before the caller sends again every
 * agent is asked, and who holds the flow says so. */
TEST_F(site, every_agent_is_asked_before_the_second_packet, 100)
{
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(site->carried, ==, 1);
    g_assert_cmpuint(site_named_count(site), ==, 16);
    g_assert_cmpuint(site->searches, ==, 1);
    site_pass_ms(site, 10);
    g_assert_cmpuint(site->asked, ==, 100);
}

TEST_F(site, a_second_search_goes_to_64_agents_at_once, 64)
{
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    site->carried = 0;
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(site->carried, ==, 4);
    g_assert_cmpuint(site_named_count(site), ==, 64);
    g_assert_cmpuint(site->searches, ==, 2);
}

TEST_F(site, a_search_that_ends_goes_on_with_the_others, 100)
{
    for (unsigned packet = 0; packet < 3; packet++) {
        site_arrive(site,
                    rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
        for (unsigned chain = 1; chain <= 4; chain++) {
            site_let_go(site, chain, 1);
        }
    }
    g_assert_cmpuint(site_named_count(site), ==, 100);
}

TEST_F(site, two_packets_of_a_search_skip_no_agents, 100)
{
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 0));
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_FIN, 10, 501, 0));
    for (unsigned chain = 1; chain <= 8; chain++) {
        site_let_go(site, chain, 1);
    }
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_FIN, 10, 501, 0));
    g_assert_cmpuint(site_named_count(site), ==, 100);
}

/* An agent that is dead ends each chain that comes to it. */
TEST_F(site, the_next_search_goes_the_other_way, 4)
{
    struct frame_carry frame;
    struct addr first;

    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    first = site->sent;
    frame = site->frame;
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, frame.next[2]));
    g_assert_true(addr_equal(site->frame.next[0], frame.next[1]));
    g_assert_true(addr_equal(site->frame.next[2], first));
}

TEST_F(site, an_open_flow_without_a_place_is_looked_for, 4)
{
    struct relay_flow flow = rig_flow(1);
    struct frame_status refused = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_REFUSED,
        .flow = flow,
        .health.state = ENDPOINT_READY,
    };
    struct addr first;

    /* This balancer was cut off; the flow opened through another one. */
    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    first = site->sent;
    site->now_us += 4 * USEC_PER_SEC;
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, first));
    g_assert_cmpuint(site->frame.next_count, ==, 3);
    /* Its SYN is history, whatever the agents say. */
    site->carried = 0;
    site_say(site, first.ip - 0x0a000000, refused);
    site_pass_ms(site, 50);
    g_assert_cmpuint(site->carried, ==, 0);
}

TEST_F(site, a_late_copy_of_an_open_flows_syn_goes_nowhere, 4)
{
    struct relay_flow flow = rig_flow(1);

    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    site->carried = 0;
    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 1, 0));
    site_pass_ms(site, 50);
    g_assert_cmpuint(site->carried, ==, 0);
}

TEST_F(site, a_lost_place_is_looked_for_again, 4)
{
    struct relay_flow flow = rig_flow(1);

    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    site_placed(site, site_agent_addr(2), 1, 500);
    site_say(site, 2,
             (struct frame_status){.type = FRAME_PASSED,
                                   .reason = FRAME_REASON_REFUSED,
                                   .flow = flow});
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(site->frame.next_count, ==, 3);
}

TEST_F(site, a_flow_whose_endpoint_is_no_more_is_reset, 4)
{
    struct frame_status refused = {
        .type = FRAME_PASSED,
        .reason = FRAME_REASON_REFUSED,
        .flow = rig_flow(1),
    };
    struct frame_status gone = {
        .type = FRAME_STATE,
        .health.state = ENDPOINT_GONE,
    };

    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    site_placed(site, site_agent_addr(2), 1, 500);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    /* Another agent doesn't hold it: that says nothing. */
    site_say(site, 3, refused);
    rig_expect(site->record, NULL);
    site_say(site, 2, refused);
    rig_expect(site->record, "reset 1001 at 501", NULL);
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 9, 0, 0));
    site_placed(site, site_agent_addr(4), 2, 500);
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_ACK, 10, 501, 20));
    site_say(site, 4, gone);
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_ACK, 30, 777, 20));
    rig_expect(site->record, "reset 1002 at 777", NULL);
}

TEST_F(site, two_answers_to_a_syn_are_told_apart, 4)
{
    struct relay_flow flow = rig_flow(1);

    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    site_placed(site, site_agent_addr(1), 1, 500);
    site_placed(site, site_agent_addr(2), 1, 4000000);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 4000001, 20));
    g_assert_true(addr_equal(site->sent, site_agent_addr(2)));
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, site_agent_addr(1)));
}

TEST_F(site, a_flow_is_explained, 4)
{
    struct relay_flow flow = rig_flow(1);
    struct steer_explanation told;

    steer_explain(&site->steer, flow, site->now_us, &told);
    g_assert_false(told.known);
    g_assert_nonnull(told.route);
    g_assert_cmpuint(told.service, ==, hash_service("lots"));
    g_assert_cmpuint(told.next.count, ==, 4);
    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    g_assert_true(addr_equal(site->sent, told.next.addrs[0]));
    site_placed(site, site->sent, 1, 500);
    site_pass_ms(site, 7);
    steer_explain(&site->steer, flow, site->now_us, &told);
    g_assert_true(told.known);
    g_assert_false(told.opened);
    g_assert_cmpuint(told.tries, ==, 1);
    g_assert_cmpuint(told.age_us, ==, 7 * USEC_PER_MSEC);
    g_assert_cmpuint(told.place_count, ==, 1);
    g_assert_true(addr_equal(told.places[0], site->sent));
    flow.service.port++;
    steer_explain(&site->steer, flow, site->now_us, &told);
    g_assert_null(told.route);
    g_assert_cmpuint(told.next.count, ==, 0);
}

TEST_F(site, a_port_used_again_is_another_flow, 4)
{
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    site_placed(site, site_agent_addr(1), 1, 500);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 1, 0));
    g_assert_true(addr_equal(site->sent, site_agent_addr(1)));
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 700, 0, 0));
    g_assert_cmpuint(site->frame.next_count, ==, 3);
}

TEST_F(site, configuration_never_goes_back, 2)
{
    struct relay_flow flow = rig_flow(1);

    flow.service = rig_addr("198.18.0.2:443");
    site_set_routes(site, 6, false);
    site_set_routes(site, 5, true);
    g_assert_cmpuint(site->steer.routes.version, ==, 6);
    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 9, 0, 0));
    rig_expect(site->record, "drop 2", NULL);
}

TEST_F(site, without_configuration_agents_tell_what_they_serve, 2)
{
    struct frame_served served = {
        .service = hash_service("lots"),
        .addrs = {rig_addr("198.18.0.1:443")},
        .count = 1,
    };
    struct relay_packet syn = rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0);

    routes_finish(&site->steer.routes);
    site_arrive(site, syn);
    rig_expect(site->record, NULL);
    site->now_us += 400 * USEC_PER_MSEC;
    steer_tick(&site->steer, site->now_us);
    rig_expect(site->record, "drop 1", NULL);
    g_assert_false(steer_ready(&site->steer));
    steer_served(&site->steer, site_agent_addr(1), &served);
    steer_served(&site->steer, site_agent_addr(1), &served);
    g_assert_true(steer_ready(&site->steer));
    g_assert_cmpuint(site->steer.learned.count, ==, 1);
    site_arrive(site, syn);
    g_assert_cmpuint(site->carried, ==, 1);
    /* A configuration replaces all of it. */
    site_set_routes(site, 3, false);
    g_assert_cmpuint(site->steer.learned.count, ==, 0);
    served.addrs[0] = rig_addr("198.18.0.9:443");
    steer_served(&site->steer, site_agent_addr(1), &served);
    g_assert_cmpuint(site->steer.learned.count, ==, 0);
}

/* A host that starts takes packets before it has read the configuration. */
TEST_F(site, early_syns_are_sent_once_a_configuration_is_known, 2)
{
    struct relay_packet syn = rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0);
    struct relay_packet ack =
        rig_from_caller(rig_flow(2), RELAY_ACK, 9, 77, 40);

    routes_finish(&site->steer.routes);
    syn.patience_ms = 1400;
    site_arrive(site, syn);
    site_arrive(site, ack);
    /* Only an endpoint can say what becomes of a flow that is open. */
    rig_expect(site->record, "drop 1", NULL);
    site->now_us += 50 * USEC_PER_MSEC;
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->carried, ==, 0);
    site_set_routes(site, 3, false);
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->carried, ==, 1);
    g_assert_cmpuint(site->frame.patience_ms, ==, 1350);
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->carried, ==, 1);
}

TEST_F(site, early_syns_wait_for_the_list_of_agents_too, 0)
{
    struct relay_packet syn = rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0);

    syn.patience_ms = 1400;
    site->steer.agents.listed_once = false;
    site_arrive(site, syn);
    rig_expect(site->record, NULL);
    agents_list(&site->steer.agents, site_agent_addr(1), hash_service("lots"),
                "here", site->now_us);
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->carried, ==, 1);
}

TEST_F(site, callers_of_an_address_without_a_route_are_refused_at_once, 2)
{
    struct relay_flow flow = rig_flow(1);
    struct relay_packet syn;

    flow.service = rig_addr("198.18.0.9:443");
    syn = rig_from_caller(flow, RELAY_SYN, 9, 0, 0);
    /* A newer configuration may have the route. */
    site_arrive(site, syn);
    rig_expect(site->record, "drop 2", NULL);
    site->steer.current = true;
    site_arrive(site, syn);
    rig_expect(site->record, "drop 2", "reset 1001 at 0", NULL);
    /* The first copy may have found an endpoint through another balancer. */
    syn.age_ms = 200;
    site_arrive(site, syn);
    rig_expect(site->record, "drop 2", NULL);
    /* A flow that is open may be of a route that was here. */
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 9, 77, 40));
    rig_expect(site->record, "drop 2", NULL);
}

TEST_F(site, a_newer_configuration_elsewhere_is_told, 2)
{
    site_say(site, 1,
             (struct frame_status){.type = FRAME_STATE,
                                   .health.state = ENDPOINT_READY,
                                   .heard = {7, rig_addr("10.9.0.2:8166")}});
    rig_expect(site->record, "behind 7", NULL);
}

/* A list may be older than the object of an agent that has just started. */
TEST_F(site, an_agent_that_the_store_never_named_is_not_told_so, 2)
{
    struct addr fresh = site_agent_addr(7);

    agents_heard(&site->steer.agents, fresh,
                 &(struct frame_health){.service = hash_service("lots")},
                 site->now_us);
    agents_unlist(&site->steer.agents, fresh, site->now_us);
    steer_tick(&site->steer, site->now_us);
    g_assert_cmpuint(site->pings, >, 0);
    g_assert_false(site->unlisted);
}

TEST_F(site, how_many_others_read_the_store_is_told, 2)
{
    site_say(site, 1,
             (struct frame_status){.type = FRAME_STATE,
                                   .health.state = ENDPOINT_READY,
                                   .readers = {3, 1}});
    g_assert_cmpuint(site->readers, ==, 3);
}

TEST_F(site, witnesses_are_the_same_for_all_balancers, 20)
{
    struct agents_choice here;
    struct agents_choice there;
    struct agents_choice again;

    agents_witnesses(&site->steer.agents, &here);
    g_assert_cmpuint(here.count, ==, AGENTS_WITNESSES);
    agents_witnesses(&site->steer.agents, &again);
    g_assert_cmpmem(&here.addrs, sizeof(here.addrs[0]) * here.count,
                    &again.addrs, sizeof(again.addrs[0]) * again.count);
    /* One that doesn't answer is replaced, and the others stay. */
    agents_missed(&site->steer.agents, here.addrs[0], site->now_us,
                  site->now_us);
    agents_witnesses(&site->steer.agents, &there);
    g_assert_true(addr_equal(there.addrs[0], here.addrs[1]));
    g_assert_true(addr_equal(there.addrs[1], here.addrs[2]));
    steer_ping_witnesses(&site->steer);
    g_assert_cmpuint(site->pings, ==, AGENTS_WITNESSES);
}

TEST_F(site, frames_say_how_the_balancer_keeps_up_with_the_store, 2)
{
    site->steer.reader = FRAME_READER_READS;
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0));
    g_assert_cmpuint(site->frame.view.reader, ==, FRAME_READER_READS);
    g_assert_cmpuint(site->frame.view.version, ==, site->steer.routes.version);
}

TEST_F(site, what_no_caller_sends_is_dropped, 2)
{
    site_arrive(site,
                rig_from_caller(rig_flow(1), RELAY_SYN | RELAY_ACK, 9, 0, 0));
    site_arrive(site,
                rig_bounced(rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0)));
    rig_expect(site->record, "drop 0", "drop 0", NULL);
    g_assert_cmpuint(site->carried, ==, 0);
}
