/* A balancer's decisions on packets of established flows: lookups, acceptors
 * and resets. */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder_fixture.h"

#define SUITE "/relay/forwarder_established"

TEST_F(fixture, a_flow_of_another_balancer_is_looked_up, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->frame.next_count, ==, 3);
    fixture_established(fixture, fixture_agent_addr(2), 1, 500);
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_ACK, 30, 501, 0));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(2)));
}

TEST_F(fixture, a_lookup_lists_every_agent_that_may_hold_the_flow, 16)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    for (unsigned i = 1; i <= 16; i++) {
        g_assert_true(fixture_path_names(fixture, fixture_agent_addr(i)));
    }
}

/* The first packet goes to the 16 best-ranked agents; the orphan query follows
 * before the caller retransmits. */
TEST_F(fixture, every_agent_is_queried_before_the_second_packet, 100)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    g_assert_cmpuint(fixture_named_count(fixture), ==, 16);
    g_assert_cmpuint(fixture->lookups, ==, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, 100);
}

TEST_F(fixture, a_second_lookup_goes_to_64_agents, 64)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    fixture->forwarded = 0;
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_cmpuint(fixture->forwarded, ==, 4);
    g_assert_cmpuint(fixture_named_count(fixture), ==, 64);
    g_assert_cmpuint(fixture->lookups, ==, 2);
}

TEST_F(fixture, a_lookup_continues_with_the_next_agents, 100)
{
    for (unsigned packet = 0; packet < 3; packet++) {
        fixture_receive(fixture, fixture_from_caller(fixture_flow(1),
                                                     RELAY_ACK, 10, 501, 20));
        for (unsigned path = 1; path <= 4; path++) {
            fixture_abandon(fixture, path, 1);
        }
    }
    g_assert_cmpuint(fixture_named_count(fixture), ==, 100);
}

TEST_F(fixture, two_packets_of_a_lookup_skip_no_agents, 100)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 0));
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_FIN, 10, 501, 0));
    for (unsigned path = 1; path <= 8; path++) {
        fixture_abandon(fixture, path, 1);
    }
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_FIN, 10, 501, 0));
    g_assert_cmpuint(fixture_named_count(fixture), ==, 100);
}

/* A dead agent ends each path that reaches it. */
TEST_F(fixture, the_next_lookup_reverses_the_path, 4)
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

TEST_F(fixture, an_established_flow_without_an_acceptor_is_looked_up, 4)
{
    struct relay_flow flow = fixture_flow(1);
    struct frame_status refused = {
        .type = FRAME_REDIRECTED,
        .reason = FRAME_REASON_REFUSED,
        .flow = flow,
        .health.state = ENDPOINT_READY,
    };
    struct addr first;

    /* The flow was opened through another balancer. */
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    first = fixture->sent;
    fixture->now_us += 4 * USEC_PER_SEC;
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(fixture->sent, first));
    g_assert_cmpuint(fixture->frame.next_count, ==, 3);
    /* Its SYN isn't sent again, whatever the agents report. */
    fixture->forwarded = 0;
    fixture_report(fixture, first.ip - 0x0a000000, refused);
    fixture_advance_ms(fixture, 50);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
}

TEST_F(fixture, a_late_syn_of_an_established_flow_is_not_forwarded, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    fixture->forwarded = 0;
    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 1, 0));
    fixture_advance_ms(fixture, 50);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
}

TEST_F(fixture, a_flow_denied_by_its_acceptor_is_looked_up, 4)
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

/* Guards against a reset on the word of an agent that has restarted: it
 * refuses a copy of the SYN, or a packet whose frame names another service,
 * while its endpoint holds the flow. */
TEST_F(fixture, a_refusal_without_certainty_resets_no_established_flow, 4)
{
    static const enum frame_reason reasons[] = {
        FRAME_REASON_BUSY,          FRAME_REASON_LEAVING,
        FRAME_REASON_SILENT,        FRAME_REASON_REFUSED,
        FRAME_REASON_WRONG_SERVICE, FRAME_REASON_FAILING,
        FRAME_REASON_EVACUATED,     FRAME_REASON_FULL,
    };

    for (unsigned i = 0; i < G_N_ELEMENTS(reasons); i++) {
        struct relay_flow flow = fixture_flow(i);

        fixture_receive(fixture,
                        fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
        fixture_established(fixture, fixture_agent_addr(2), i, 500);
        fixture_receive(fixture,
                        fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
        fixture_report(fixture, 2,
                       (struct frame_status){.type = FRAME_REDIRECTED,
                                             .reason = (uint8_t)reasons[i],
                                             .flow = flow});
        fixture_receive(fixture,
                        fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    }
    fixture_expect(fixture->record, NULL);
}

/* A refused copy of the SYN leaves the flow where it is. */
TEST_F(fixture, a_refused_copy_keeps_the_acceptor_of_an_established_flow, 4)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9, 0, 0));
    fixture_established(fixture, fixture_agent_addr(2), 1, 500);
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    fixture_report(fixture, 2,
                   (struct frame_status){.type = FRAME_REDIRECTED,
                                         .reason = FRAME_REASON_LEAVING,
                                         .flow = flow});
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(2)));
    g_assert_cmpuint(fixture->frame.next_count, ==, 0);
}

TEST_F(fixture, a_flow_whose_endpoint_has_ended_is_reset, 4)
{
    struct frame_status absent = {
        .type = FRAME_REDIRECTED,
        .reason = FRAME_REASON_ABSENT,
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
    /* A denial from another agent proves nothing. */
    fixture_report(fixture, 3, absent);
    fixture_expect(fixture->record, NULL);
    fixture_report(fixture, 2, absent);
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

TEST_F(fixture, the_acknowledgement_selects_between_two_acceptors, 4)
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
