/* A balancer's decisions on SYNs, pings and configurations. */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder_fixture.h"

#define SUITE "/relay/forwarder"

TEST_F(fixture, an_established_flow_stays_with_its_agent, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    g_assert_cmpuint(fixture->frame.next_count, ==, 3);
    fixture_established(fixture, fixture_agent_addr(3), 1, 500);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(3)));
    g_assert_cmpuint(fixture->frame.next_count, ==, 0);
}

/* Of the route, whole: an agent schedules the request that begins with it. */
TEST_F(fixture, data_of_open_flows_carries_its_requests_priority_and_times, 4)
{
    struct relay_flow flow = fixture_flow(1);
    struct route *route = fixture->forwarder.routes.items;

    route->priority = 2;
    route->target_ms = 200;
    route->timeout_ms = 1200;
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    fixture_established(fixture, fixture_agent_addr(3), 1, 500);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->frame.priority, ==, 2);
    g_assert_cmpuint(fixture->frame.target_ms, ==, 200);
    g_assert_cmpuint(fixture->frame.request_timeout_ms, ==, 1200);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_ACK, 30, 600, 0));
    g_assert_cmpuint(fixture->frame.request_timeout_ms, ==, 0);
    /* Of a lookup, too. */
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(2), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->frame.next_count, >, 0);
    g_assert_cmpuint(fixture->frame.priority, ==, 2);
    g_assert_cmpuint(fixture->frame.request_timeout_ms, ==, 1200);
}

TEST_F(fixture, an_unanswered_syn_goes_to_another_agent_after_15_ms, 3)
{
    struct addr first;

    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    first = fixture->sent;
    fixture_advance_ms(fixture, 14);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 2);
    g_assert_false(addr_equal(fixture->sent, first));
    g_assert_false(fixture_path_names(fixture, first));
    for (unsigned i = 2; i < 30; i++) {
        fixture_receive(
            fixture, fixture_from_caller(fixture_flow(i), RELAY_SYN, 9, 0, 0));
        g_assert_false(fixture_path_names(fixture, first));
    }
}

/* The SYN's way through the agents has ended at @agent. */
static void
report_full(struct fixture *fixture, struct addr agent)
{
    fixture_report(fixture, agent.ip - FIXTURE_AGENTS_NET,
                   (struct frame_status){.type = FRAME_REDIRECTED,
                                         .reason = FRAME_REASON_FULL,
                                         .flow = fixture_flow(1),
                                         .health.state = ENDPOINT_READY});
}

static void
send_syn(struct fixture *fixture, unsigned copies)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, copies, 0);

    syn.age_ms = (uint16_t)(200 * copies);
    fixture_receive(fixture, syn);
}

TEST_F(fixture, a_flow_that_no_endpoint_has_room_for_is_reset, 3)
{
    send_syn(fixture, 0);
    report_full(fixture, fixture->sent);
    fixture_expect(fixture->record, "reset 1001 at 0", NULL);
    /* Its SYN isn't sent again. */
    fixture_advance_ms(fixture, 100);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
}

/* Its SYN took a second way as the first agent didn't reply in time. */
TEST_F(fixture, a_flow_is_not_reset_while_its_syn_may_find_room, 3)
{
    struct addr first;

    send_syn(fixture, 0);
    first = fixture->sent;
    fixture_advance_ms(fixture, 15);
    g_assert_cmpuint(fixture->forwarded, ==, 2);
    report_full(fixture, first);
    fixture_expect(fixture->record, NULL);
    report_full(fixture, fixture->sent);
    fixture_expect(fixture->record, "reset 1001 at 0", NULL);
}

TEST_F(fixture, a_flow_that_an_endpoint_accepted_is_not_reset, 3)
{
    send_syn(fixture, 0);
    fixture_established(fixture, fixture_agent_addr(1), 1, 500);
    report_full(fixture, fixture_agent_addr(2));
    fixture_expect(fixture->record, NULL);
}

/* The agent has restarted and doesn't know the flow that its endpoint holds;
 * the SYN is a delayed copy. */
TEST_F(fixture, an_open_flow_is_not_reset_when_its_agent_is_full, 3)
{
    struct addr agent = fixture_agent_addr(1);

    send_syn(fixture, 0);
    fixture_established(fixture, agent, 1, 500);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    report_full(fixture, agent);
    fixture_expect(fixture->record, NULL);
    fixture->forwarded = 0;
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    g_assert_cmpuint(fixture->frame.next_count, ==, 0);
}

/* Another balancer may have forwarded the first copy. */
TEST_F(fixture, a_flow_is_not_reset_for_a_copy_of_its_syn, 3)
{
    send_syn(fixture, 1);
    report_full(fixture, fixture->sent);
    fixture_expect(fixture->record, NULL);
}

/* Another balancer may have forwarded the second copy. */
TEST_F(fixture, a_flow_is_not_reset_when_its_caller_may_have_sent_a_copy, 3)
{
    send_syn(fixture, 0);
    fixture->now_us += 150 * USEC_PER_MSEC;
    report_full(fixture, fixture->sent);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, the_reply_timeout_follows_distant_agents, 3)
{
    /* Each takes 18 ms. */
    for (unsigned i = 1; i <= 40; i++) {
        fixture_receive(
            fixture, fixture_from_caller(fixture_flow(i), RELAY_SYN, 9, 0, 0));
        fixture->now_us += 18 * USEC_PER_MSEC;
        fixture_established(fixture, fixture->sent, i, 500);
    }
    fixture_advance_ms(fixture, 100);
    fixture->forwarded = 0;
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(90), RELAY_SYN, 9, 0, 0));
    fixture_advance_ms(fixture, 30);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->forwarded, ==, 2);
}

TEST_F(fixture, the_last_agent_with_the_syn_becomes_suspect, 3)
{
    struct frame_status redirected = {
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
    redirected.target = second;
    fixture_report(fixture, first.ip - 0x0a000000, redirected);
    fixture_advance_ms(fixture, 15);
    g_assert_cmpuint(fixture->forwarded, ==, 2);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 9, 0, 0));
    g_assert_false(fixture_path_names(fixture, second));
    g_assert_true(fixture_path_names(fixture, first));
}

TEST_F(fixture, paths_exclude_agents_that_never_replied, 2)
{
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(9),
                hash_service("lots"), "here", fixture->now_us);
    for (unsigned i = 1; i < 30; i++) {
        fixture_receive(
            fixture, fixture_from_caller(fixture_flow(i), RELAY_SYN, 9, 0, 0));
        g_assert_false(fixture_path_names(fixture, fixture_agent_addr(9)));
    }
}

TEST_F(fixture, a_reply_ends_the_pings, 3)
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

TEST_F(fixture, an_unlisted_agent_is_notified, 3)
{
    agents_unlist(&fixture->forwarder.agents, fixture_agent_addr(2),
                  fixture->now_us);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->pings, ==, 1);
    g_assert_true(fixture->unlisted);
    /* It takes new flows as long as it replies. */
    fixture_report(fixture, 2,
                   (struct frame_status){.type = FRAME_STATE,
                                         .health.state = ENDPOINT_READY});
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_true(fixture_path_names(fixture, fixture_agent_addr(2)));
}

/* Frames that the agent sent before it received the notice must not cancel
 * it. */
TEST_F(fixture, an_unlisted_agent_is_notified_after_other_frames, 3)
{
    struct frame_status ready = {.type = FRAME_STATE,
                                 .health.state = ENDPOINT_READY};

    agents_unlist(&fixture->forwarder.agents, fixture_agent_addr(2),
                  fixture->now_us);
    fixture_report(fixture, 2, ready);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->pings, ==, 1);
    g_assert_true(fixture->unlisted);
    /* The notice is repeated until the agent is listed again, as datagrams may
     * be lost. */
    fixture_report(fixture, 2, ready);
    fixture_advance_ms(fixture, 100);
    g_assert_cmpuint(fixture->pings, ==, 2);
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(2),
                hash_service("lots"), "here", fixture->now_us);
    fixture_report(fixture, 2, ready);
    fixture_advance_ms(fixture, 5000);
    g_assert_cmpuint(fixture->pings, ==, 2);
}

/* An agent whose endpoint has ended must not register again. */
TEST_F(fixture, an_unlisted_agent_without_an_endpoint_gets_few_pings, 3)
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

TEST_F(fixture, a_silent_agent_is_pinged_at_growing_intervals, 3)
{
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(9),
                hash_service("lots"), "here", fixture->now_us);
    for (unsigned i = 0; i < 20000; i++) {
        fixture_advance_ms(fixture, 1);
    }
    g_assert_cmpuint(fixture->pings, >=, 12);
    g_assert_cmpuint(fixture->pings, <=, 16);
}

/* Guards against traffic that grows with the number of lost hosts, as all
 * balancers ping them. */
TEST_F(fixture, pings_to_a_lost_host_are_bounded, 3)
{
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(9),
                hash_service("lots"), "here", fixture->now_us);
    for (unsigned i = 0; i < 36000; i++) {
        fixture_advance_ms(fixture, 100);
    }
    g_assert_cmpuint(fixture->pings, >=, 40);
    g_assert_cmpuint(fixture->pings, <=, 80);
}

TEST_F(fixture, an_abandoned_syn_goes_to_another_agent, 2)
{
    struct frame_status redirected = {
        .type = FRAME_REDIRECTED,
        .reason = FRAME_REASON_LEAVING,
        .flow = fixture_flow(1),
        .health.state = ENDPOINT_DRAINING,
    };
    struct addr first;

    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    first = fixture->sent;
    fixture_report(fixture, first.ip - 0x0a000000, redirected);
    g_assert_cmpuint(fixture->forwarded, ==, 2);
    g_assert_false(addr_equal(fixture->sent, first));
}

TEST_F(fixture, a_flow_is_explained, 4)
{
    struct relay_flow flow = fixture_flow(1);
    struct forwarder_explanation explanation;

    forwarder_explain(&fixture->forwarder, flow, fixture->now_us,
                      &explanation);
    g_assert_false(explanation.known);
    g_assert_nonnull(explanation.route);
    g_assert_cmpuint(explanation.service, ==, hash_service("lots"));
    g_assert_cmpuint(explanation.next.count, ==, 4);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    g_assert_true(addr_equal(fixture->sent, explanation.next.addrs[0]));
    fixture_established(fixture, fixture->sent, 1, 500);
    fixture_advance_ms(fixture, 7);
    forwarder_explain(&fixture->forwarder, flow, fixture->now_us,
                      &explanation);
    g_assert_true(explanation.known);
    g_assert_false(explanation.opened);
    g_assert_cmpuint(explanation.tries, ==, 1);
    g_assert_cmpuint(explanation.age_us, ==, 7 * USEC_PER_MSEC);
    g_assert_cmpuint(explanation.acceptor_count, ==, 1);
    g_assert_true(addr_equal(explanation.acceptors[0], fixture->sent));
    flow.service.port++;
    forwarder_explain(&fixture->forwarder, flow, fixture->now_us,
                      &explanation);
    g_assert_null(explanation.route);
    g_assert_cmpuint(explanation.next.count, ==, 0);
}

TEST_F(fixture, a_reused_port_is_a_new_flow, 4)
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

TEST_F(fixture, an_older_configuration_is_ignored, 2)
{
    struct relay_flow flow = fixture_flow(1);

    flow.service = fixture_addr("198.18.0.2:443");
    fixture_set_routes(fixture, 6, false);
    fixture_set_routes(fixture, 5, true);
    g_assert_cmpuint(fixture->forwarder.routes.version, ==, 6);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    fixture_expect(fixture->record, "drop 2", NULL);
}

TEST_F(fixture, routes_are_learned_while_there_is_no_configuration, 2)
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
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    /* A configuration replaces the learned routes. */
    fixture_set_routes(fixture, 3, false);
    g_assert_cmpuint(fixture->forwarder.learned.count, ==, 0);
    served.addrs[0] = fixture_addr("198.18.0.9:443");
    forwarder_served(&fixture->forwarder, fixture_agent_addr(1), &served);
    g_assert_cmpuint(fixture->forwarder.learned.count, ==, 0);
}

/* A host receives packets before it has read the configuration. */
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
    /* Packets of established flows aren't queued. */
    fixture_expect(fixture->record, "drop 1", NULL);
    fixture->now_us += 50 * USEC_PER_MSEC;
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
    fixture_set_routes(fixture, 3, false);
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    g_assert_cmpuint(fixture->frame.caller_timeout_ms, ==, 1350);
    forwarder_tick(&fixture->forwarder, fixture->now_us);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
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
    g_assert_cmpuint(fixture->forwarded, ==, 1);
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
    /* Another balancer may have forwarded the first copy. */
    syn.age_ms = 200;
    fixture_receive(fixture, syn);
    fixture_expect(fixture->record, "drop 2", NULL);
    /* An established flow may belong to a removed route. */
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_ACK, 9, 77, 40));
    fixture_expect(fixture->record, "drop 2", NULL);
}

TEST_F(fixture, a_newer_configuration_elsewhere_is_reported, 2)
{
    fixture_report(
        fixture, 1,
        (struct frame_status){.type = FRAME_STATE,
                              .health.state = ENDPOINT_READY,
                              .heard = {7, fixture_addr("10.9.0.2:8166")}});
    fixture_expect(fixture->record, "newer config 7", NULL);
}

/* The list may be older than the object of an agent that has just started. */
TEST_F(fixture, a_never_listed_agent_is_not_notified, 2)
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

TEST_F(fixture, the_number_of_other_store_readers_is_reported, 2)
{
    fixture_report(fixture, 1,
                   (struct frame_status){.type = FRAME_STATE,
                                         .health.state = ENDPOINT_READY,
                                         .readers = {3, 1}});
    g_assert_cmpuint(fixture->readers, ==, 3);
}

TEST_F(fixture, witnesses_are_the_same_for_all_balancers, 20)
{
    struct agents_choice witnesses;
    struct agents_choice replaced;
    struct agents_choice repeated;

    agents_witnesses(&fixture->forwarder.agents, &witnesses);
    g_assert_cmpuint(witnesses.count, ==, AGENTS_WITNESSES_MAX);
    agents_witnesses(&fixture->forwarder.agents, &repeated);
    g_assert_cmpmem(
        &witnesses.addrs, sizeof(witnesses.addrs[0]) * witnesses.count,
        &repeated.addrs, sizeof(repeated.addrs[0]) * repeated.count);
    /* A suspect witness is replaced, and the others stay. */
    agents_mark_unanswered(&fixture->forwarder.agents, witnesses.addrs[0],
                           fixture->now_us, fixture->now_us);
    agents_witnesses(&fixture->forwarder.agents, &replaced);
    g_assert_true(addr_equal(replaced.addrs[0], witnesses.addrs[1]));
    g_assert_true(addr_equal(replaced.addrs[1], witnesses.addrs[2]));
    forwarder_ping_witnesses(&fixture->forwarder);
    g_assert_cmpuint(fixture->pings, ==, AGENTS_WITNESSES_MAX);
}

TEST_F(fixture, frames_carry_the_view_of_the_store, 2)
{
    fixture->forwarder.reader = FRAME_READER_READING;
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0));
    g_assert_cmpuint(fixture->frame.view.reader, ==, FRAME_READER_READING);
    g_assert_cmpuint(fixture->frame.view.version, ==,
                     fixture->forwarder.routes.version);
}

TEST_F(fixture, packets_not_from_callers_are_dropped, 2)
{
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(1), RELAY_SYN | RELAY_ACK, 9, 0, 0));
    fixture_receive(fixture, fixture_bounced(fixture_from_caller(
                                 fixture_flow(1), RELAY_SYN, 9, 0, 0)));
    fixture_expect(fixture->record, "drop 0", "drop 0", NULL);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
}
