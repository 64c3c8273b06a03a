/* Guards against resetting a flow that a silent agent's endpoint may hold, and
 * against callers that wait for an agent whose host is gone. */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/orphans_fixture.h"

#define SUITE "/relay/forwarder_silent"
#define QUERY_MS 70

/* Agent 1 stays silent: for idempotent requests callers are reset after a
 * second. */
static void
run_with_one_silent(struct fixture *fixture)
{
    fixture_run_2_s(fixture, 1);
}

TEST_F(fixture, idempotent_requests_do_not_wait_for_a_silent_agent, true)
{
    fixture_start_query(fixture);
    fixture_advance_ms(fixture, 600);
    fixture_expect(fixture->record, NULL);
    run_with_one_silent(fixture);
    g_assert_nonnull(strstr(fixture->record->str, "reset 1001"));
}

TEST_F(fixture, other_requests_wait_for_a_silent_agent, false)
{
    fixture_start_query(fixture);
    fixture_advance_ms(fixture, 600);
    run_with_one_silent(fixture);
    fixture_expect(fixture->record, NULL);
}

/* It may be in a planned restart. */
TEST_F(fixture, a_draining_agent_is_waited_for, true)
{
    fixture_report_health(fixture, 1, ENDPOINT_DRAINING);
    fixture_start_query(fixture);
    fixture_advance_ms(fixture, 600);
    run_with_one_silent(fixture);
    fixture_expect(fixture->record, NULL);
}

/* The balancer may be cut off, or most hosts may have failed. */
TEST_F(fixture, a_balancer_that_reaches_few_agents_proves_nothing, true)
{
    fixture_start_query(fixture);
    fixture_advance_ms(fixture, 600);
    /* Three of seven are too many, even one by one. */
    fixture_run_2_s(fixture, 1);
    g_string_truncate(fixture->record, 0);
    fixture_advance_ms(fixture, 1100);
    for (unsigned except = 1; except <= 3; except++) {
        agents_mark_unanswered(&fixture->forwarder.agents,
                               fixture_agent_addr(except), fixture->now_us,
                               fixture->now_us);
    }
    fixture_advance_ms(fixture, 1100);
    fixture_run_2_s(fixture, 3);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, a_silent_endpoint_counts_as_a_silent_agent, false)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 1);
    fixture_reply(fixture, 1, FIXTURE_ALL, true);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

TEST_F(fixture, an_agent_with_an_ended_endpoint_is_not_queried, false)
{
    fixture_report_health(fixture, 1, ENDPOINT_GONE);
    fixture_send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, FIXTURE_AGENTS - 1);
    g_assert_false(fixture->queried[1]);
    fixture_reply_all_except(fixture, 1);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

/* Its host is being removed: its reply is optional before it has been silent
 * for a second. */
TEST_F(fixture, a_silent_agent_without_an_endpoint_is_not_waited_for, true)
{
    struct frame_query_reply down = {.down = true, .absent = {FIXTURE_ALL}};

    fixture_start_query(fixture);
    down.query = fixture->query.query;
    forwarder_query_reply(&fixture->forwarder, fixture_agent_addr(1), &down,
                          fixture->now_us);
    fixture_reply_all_except(fixture, 1);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
    fixture_send_established(fixture, 2);
    fixture_advance_ms(fixture, 30);
    fixture_reply_all_except(fixture, 1);
    fixture_advance_ms(fixture, 16);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, "reset 1002 at 501", NULL);
}

TEST_F(fixture, other_requests_wait_for_an_agent_without_an_endpoint, false)
{
    struct frame_query_reply down = {.down = true, .absent = {FIXTURE_ALL}};

    fixture_start_query(fixture);
    down.query = fixture->query.query;
    forwarder_query_reply(&fixture->forwarder, fixture_agent_addr(1), &down,
                          fixture->now_us);
    fixture_reply_all_except(fixture, 1);
    fixture_confirmed(fixture);
    g_string_truncate(fixture->record, 0);
    fixture_send_established(fixture, 2);
    fixture_advance_ms(fixture, 30);
    fixture_reply_all_except(fixture, 1);
    fixture_advance_ms(fixture, 16);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* A balancer that was slow for a second takes all agents for silent; they
 * reply, and one of them holds the flow. */
TEST_F(fixture, a_reply_from_a_seemingly_silent_agent_counts, true)
{
    for (unsigned i = 1; i <= FIXTURE_AGENTS; i++) {
        agents_mark_unanswered(&fixture->forwarder.agents,
                               fixture_agent_addr(i), fixture->now_us + 1,
                               fixture->now_us + 1);
    }
    fixture_advance_ms(fixture, 1200);
    fixture_report_others_ready(fixture, 2);
    fixture_send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    fixture_reply_all_except(fixture, 2);
    fixture_reply(fixture, 1, 0, false);
    fixture_advance_ms(fixture, 16);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, NULL);
}

/* The tick is late: replies may be unread, so that the balancer waits for them
 * once more. */
TEST_F(fixture, a_slow_balancer_does_not_conclude_at_once, true)
{
    agents_mark_unanswered(&fixture->forwarder.agents, fixture_agent_addr(1),
                           fixture->now_us + 1, fixture->now_us + 1);
    fixture_advance_ms(fixture, 1200);
    fixture_report_others_ready(fixture, 1);
    fixture_send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    fixture_reply_all_except(fixture, 1);
    fixture_advance_ms(fixture, 40);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, NULL);
    fixture_advance_ms(fixture, 15);
    fixture_confirmed(fixture);
    fixture_expect(fixture->record, "reset 1001 at 501", NULL);
}

/* When many agents seem silent, the balancer itself is slow. */
TEST_F(fixture, a_query_with_few_replies_makes_no_agent_suspect, true)
{
    fixture_start_query(fixture);
    fixture_reply_all_except(fixture, 3);
    fixture_advance_ms(fixture, QUERY_MS);
    for (unsigned i = 1; i <= FIXTURE_AGENTS; i++) {
        g_assert_false(
            agents_find(&fixture->forwarder.agents, fixture_agent_addr(i))
                ->suspect);
    }
    fixture_send_established(fixture, 1);
    fixture_advance_ms(fixture, QUERY_MS);
    fixture_reply_all_except(fixture, 1);
    fixture_advance_ms(fixture, QUERY_MS);
    g_assert_true(
        agents_find(&fixture->forwarder.agents, fixture_agent_addr(1))
            ->suspect);
}
