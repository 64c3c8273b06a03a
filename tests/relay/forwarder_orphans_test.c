/* Guards against resetting a flow that an endpoint holds, and against
 * callers that wait for a flow that no endpoint holds. */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/orphans_fixture.h"

#define SUITE "/relay/forwarder_orphans"
#define QUERY_MS 70

TEST_F(fixture, a_caller_is_reset_once_every_agent_denies_its_flow, false)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    fixture_expect(fixture->record, NULL);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
    /* Further packets of the flow get the same reply. */
    fixture_send_established(fixture, 1);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, the_order_of_replies_does_not_matter, false)
{
    fixture_start_query(fixture);
    fixture_reply(fixture, 3, FIXTURE_ALL, false);
    fixture_reply(fixture, 3, FIXTURE_ALL, false);
    fixture_reply_all_except(fixture, 1);
    g_assert_cmpuint(fixture->confirm_us, ==, 0);
    fixture_reply(fixture, 1, FIXTURE_ALL, false);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, no_caller_is_reset_without_a_confirmed_list, true)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture_expect(fixture->record, NULL);
}

/* The store's reply to a request from before the flow's packet isn't
 * accepted. */
TEST_F(fixture, a_list_from_before_the_packet_proves_nothing, true)
{
    uint64_t before_us = fixture->now_us;

    fixture_advance_ms(fixture, 1);
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    forwarder_confirmed(&fixture->forwarder, before_us, fixture->now_us);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, one_uncertain_agent_prevents_a_reset, true)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 1);
    fixture_reply(fixture, 1, 0, false);
    /* The store isn't asked either. */
    g_assert_cmpuint(fixture->confirm_us, ==, 0);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_reply_to_an_earlier_query_does_not_count, true)
{
    struct frame_query_reply late = {.absent = {FIXTURE_ALL}};

    fixture_start_query(fixture);
    late.query = fixture->query.query;
    fixture_reply_all_except(fixture, 1);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture_advance_ms(fixture, QUERY_MS);
    g_assert_cmpuint(fixture->query.query, !=, late.query);
    fixture_reply_all_except(fixture, 1);
    forwarder_query_reply(&fixture->forwarder, fixture_agent_addr(1), &late,
                          fixture->now_us);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_found_flow_is_not_queried_for, false)
{
    struct frame_status established = {
        .type = FRAME_ESTABLISHED,
        .flow = fixture_flow(1),
        .seq = 500,
        .health = {.service = hash_service("lots"),
                   .slots = 2,
                   .state = ENDPOINT_READY},
    };

    fixture_send_established(fixture, 1);
    forwarder_status(&fixture->forwarder, fixture_agent_addr(4), &established,
                     fixture->now_us);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, 0);
}

TEST_F(fixture, a_reused_port_is_a_new_flow, false)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 900, 0, 0);

    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    fixture_confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    forwarder_packet(&fixture->forwarder, &syn, fixture->now_us);
    fixture_send_established(fixture, 1);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_proof_expires, false)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    fixture_confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 1100);
    fixture_send_established(fixture, 1);
    fixture_expect(fixture->record, NULL);
}

/* After a loss of all hosts the number of queries must be bounded by the
 * agents, not by the flows. */
TEST_F(fixture, many_flows_share_a_query, false)
{
    for (unsigned ms = 0; ms < 1000; ms += 10) {
        for (unsigned flow = 0; flow < 800; flow++) {
            if (flow % 20 == ms / 10 % 20) {
                fixture_send_established(fixture, flow);
            }
        }
        fixture_advance_ms(fixture, 10);
        fixture_reply_all_except(fixture, 0);
        fixture_confirmed(fixture);
    }
    /* Every caller is reset, with at least 20 ms between two queries. */
    g_assert_cmpuint(fixture->ended_queries, <=, 50);
    g_assert_cmpuint(fixture->queries, <=, 50 * FIXTURE_AGENTS);
    for (unsigned flow = 0; flow < 800; flow++) {
        char line[32];

        g_snprintf(line, sizeof(line), "reset %u ", 1000 + flow);
        g_assert_nonnull(strstr(fixture->record->str, line));
    }
}

static void
open_flow(struct fixture *fixture, unsigned flow)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(flow), RELAY_SYN, 100, 0, 0);

    forwarder_packet(&fixture->forwarder, &syn, fixture->now_us);
}

/* Other balancers must find the holder of each flow in the list. */
TEST_F(fixture, new_flows_go_to_listed_agents, false)
{
    fixture_report_health(fixture, 9, ENDPOINT_READY);
    for (unsigned flow = 1; flow <= 200; flow++) {
        open_flow(fixture, flow);
        g_assert_cmpuint(fixture->forwarded_to, <=, FIXTURE_AGENTS);
    }
    /* Without listed agents, others take new flows. */
    for (unsigned i = 1; i <= FIXTURE_AGENTS; i++) {
        agents_unlist(&fixture->forwarder.agents, fixture_agent_addr(i),
                      fixture->now_us);
        fixture_report_health(fixture, i, ENDPOINT_GONE);
    }
    open_flow(fixture, 300);
    g_assert_cmpuint(fixture->forwarded_to, ==, 9);
}

/* The frame may be from the previous or the next host with the address; the
 * store's list decides. */
TEST_F(fixture, an_agent_with_a_conflicting_service_is_queried, false)
{
    fixture_report_health_of(fixture, 1, ENDPOINT_READY, "albums");
    fixture_send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, FIXTURE_AGENTS);
    g_assert_true(fixture->queried[1]);
}

/* The confirmed list contains it, but it wasn't queried. */
TEST_F(fixture, an_agent_added_during_a_query_may_hold_the_flow, false)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(8),
                hash_service("lots"), "here", fixture->now_us);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* An endpoint that resets requests is chosen only if the others have four more
 * requests on each slot. */
TEST_F(fixture, a_failing_endpoint_is_chosen_last, false)
{
    struct frame_status status = {
        .type = FRAME_STATE,
        .health = {.service = hash_service("lots"),
                   .slots = 2,
                   .failing = true,
                   .state = ENDPOINT_READY},
    };

    forwarder_status(&fixture->forwarder, fixture_agent_addr(2), &status,
                     fixture->now_us);
    for (unsigned flow = 1; flow <= 40; flow++) {
        open_flow(fixture, flow);
        g_assert_cmpuint(fixture->forwarded_to, !=, 2);
    }
    for (unsigned i = 1; i <= FIXTURE_AGENTS; i++) {
        status.health.failing = i == 2;
        status.health.busy = i == 2 ? 0 : 10;
        forwarder_status(&fixture->forwarder, fixture_agent_addr(i), &status,
                         fixture->now_us);
    }
    open_flow(fixture, 41);
    g_assert_cmpuint(fixture->forwarded_to, ==, 2);
}

/* The store came back from an older copy: its list may lack live agents. */
TEST_F(fixture, nothing_is_proved_until_all_can_be_listed_again, true)
{
    struct evacuations first = {.epoch = 1, .revision = 90};
    struct evacuations later = {.epoch = 2, .revision = 40};

    forwarder_evacuations(&fixture->forwarder, &first, false, fixture->now_us);
    forwarder_evacuations(&fixture->forwarder, &later, false, fixture->now_us);
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    fixture_confirmed(fixture);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture_expect(fixture->record, NULL);
    for (unsigned ms = 0; ms < 30000; ms += 100) {
        fixture_advance_ms(fixture, 100);
    }
    fixture->queries = 0;
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

/* The balancer's first reading of the store is of the new epoch. */
TEST_F(fixture, a_balancer_started_after_a_rollback_proves_nothing, true)
{
    struct evacuations reported = {.epoch = 2, .recovery_s = 7};

    forwarder_evacuations(&fixture->forwarder, &reported, false,
                          fixture->now_us);
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    fixture_confirmed(fixture);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture_expect(fixture->record, NULL);
}

/* An agent that has restarted doesn't track all flows of its endpoint and
 * can't deny them. */
static void
reply_partial(struct fixture *fixture, unsigned agent)
{
    struct frame_query_reply frame = {.query = fixture->query.query,
                                      .partial = true};

    forwarder_query_reply(&fixture->forwarder, fixture_agent_addr(agent),
                          &frame, fixture->now_us);
}

TEST_F(fixture, an_agent_that_denied_a_flow_gets_no_packet_of_it, true)
{
    fixture_start_query(fixture);
    reply_partial(fixture, 3);
    fixture_reply_all_except(fixture, 3);
    for (unsigned i = 1; i < 3; i++) {
        fixture_reply(fixture, i, FIXTURE_ALL, false);
    }
    fixture->forwarded = 0;
    fixture_send_established(fixture, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    g_assert_cmpuint(fixture->forwarded_to, ==, 3);
    g_assert_cmpuint(fixture->next_count, ==, 0);
}

TEST_F(fixture, an_agent_that_did_not_reply_still_gets_packets, true)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 2);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture->forwarded = 0;
    fixture_send_established(fixture, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 1);
    g_assert_cmpuint(fixture->forwarded_to, <=, 2);
    g_assert_cmpuint(fixture->next_count, ==, 1);
}

/* Only the orphan query decides on it. */
TEST_F(fixture, a_flow_denied_by_all_agents_is_not_forwarded, true)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 0);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture->forwarded = 0;
    fixture_send_established(fixture, 1);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture_reply_all_except(fixture, 0);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

TEST_F(fixture, a_lookup_begins_at_partial_agents, true)
{
    fixture_start_query(fixture);
    reply_partial(fixture, 5);
    for (unsigned flow = 2; flow <= 9; flow++) {
        fixture_send_established(fixture, flow);
        g_assert_cmpuint(fixture->forwarded_to, ==, 5);
        g_assert_cmpuint(fixture->next_count, ==, FIXTURE_AGENTS - 1);
    }
}
