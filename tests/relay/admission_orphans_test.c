#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"

#define SUITE "/relay/admission_orphans"

/* A balancer queries @count flows from @first on. */
static void
send_query_from(struct fixture *fixture, unsigned first, unsigned count)
{
    struct frame_query query = {.query = 7, .view.version = 1};

    for (unsigned i = 0; i < count; i++) {
        query.flows[query.count++] = fixture_flow(first + i);
    }
    admission_handle_query(&fixture->admission, fixture_addr(FIXTURE_BALANCER),
                           &query, fixture->now_us);
}

static void
send_query(struct fixture *fixture, unsigned count)
{
    send_query_from(fixture, 1, count);
}

/* The endpoint bounces a lookup's packet. */
static void
bounce_lookup_packet(struct fixture *fixture, unsigned flow)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(flow), RELAY_ACK, 101, 501, 40);

    fixture_receive(fixture, data, 0, false);
    fixture_answer(fixture, fixture_bounced(data));
}

TEST_F(fixture, a_complete_incarnation_has_no_unknown_flows)
{
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 3);
    fixture_expect(fixture->record,
                   "notify established reason=0 on=0 busy=1 state=1",
                   "absent 6", NULL);
}

TEST_F(fixture, an_incomplete_incarnation_may_hold_unknown_flows)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 3);
    fixture_expect(fixture->record, "absent 0", NULL);
}

TEST_F(fixture, a_flow_whose_packet_bounced_is_absent)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    bounce_lookup_packet(fixture, 2);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 3);
    fixture_expect(fixture->record, "absent 2", NULL);
}

/* A bounced SYN only shows that the endpoint is full. */
TEST_F(fixture, a_bounced_syn_does_not_prove_absence)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0);

    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture_receive(fixture, syn, 0, false);
    fixture_answer(fixture, fixture_bounced(syn));
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

TEST_F(fixture, an_opening_flow_is_not_absent)
{
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 0, 0),
                    0, false);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

/* The first incarnation was running when the agent started, the second one
 * wasn't: the agent would have heard it. */
TEST_F(fixture, a_later_incarnation_is_complete_again)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
}

/* Guards against resets of flows that a living endpoint holds: an agent that
 * has just started denied them, as the number of the heartbeat was low. */
TEST_F(fixture, a_restarted_agent_denies_no_flow_of_a_new_endpoint)
{
    for (uint64_t sequence = 0; sequence < 2; sequence++) {
        fixture_heartbeat(fixture, "i-1", "lots", false, sequence);
        g_string_truncate(fixture->record, 0);
        send_query(fixture, 1);
        fixture_expect(fixture->record, "absent 0", NULL);
        fixture_receive(
            fixture,
            fixture_from_caller(fixture_flow(2), RELAY_ACK, 101, 501, 40), 0,
            false);
        fixture_expect(fixture->record, "endpoint 40", NULL);
    }
}

/* Heartbeats that came while the agent was paused are read after it. */
TEST_F(fixture, a_heartbeat_read_after_a_pause_does_not_show_a_start)
{
    admission_tick(&fixture->admission, fixture->now_us);
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

TEST_F(fixture, an_endpoint_that_has_ended_holds_nothing)
{
    fixture_heartbeat(fixture, "i-1", "lots", true, 12);
    fixture_open_flow(fixture, 1);
    admission_endpoint_left(&fixture->admission, "i-1", 0, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
}

/* Guards against resets of flows that a living endpoint holds: a delayed
 * goodbye of the one before it is the first that a restarted agent hears. */
TEST_F(fixture, a_goodbye_of_an_unknown_endpoint_denies_no_flow)
{
    admission_endpoint_left(&fixture->admission, "i-0", 0, fixture->now_us);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40),
        0, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
}

TEST_F(fixture, an_evicted_flow_is_not_absent)
{
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    for (unsigned i = 0; i <= ADMISSION_FLOWS_MAX; i++) {
        fixture_answer(fixture, fixture_from_endpoint(fixture_flow(i),
                                                      RELAY_ACK, 1, 1, 100));
    }
    g_string_truncate(fixture->record, 0);
    send_query_from(fixture, ADMISSION_FLOWS_MAX + 5, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

/* Longer than the interval of heartbeats, with half of it for a late one. */
#define QUIET_US (1800 * USEC_PER_MSEC)

TEST_F(fixture, an_endpoint_never_heard_is_probed_when_a_heartbeat_is_overdue)
{
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    fixture->now_us += QUIET_US;
    send_query(fixture, 1);
    fixture_expect(fixture->record, "probe", "absent 0", NULL);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    g_assert_true(
        admission_probe_refused(&fixture->admission, fixture->now_us));
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
    /* The next incarnation is complete, as the endpoint was down before. */
    fixture_heartbeat(fixture, "i-1", "lots", false, 3);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
}

/* Guards against the reset of all flows of an endpoint that lives and has no
 * listener: a refused connection proves nothing beside a sign of life. */
TEST_F(fixture, a_refused_probe_of_a_living_endpoint_proves_nothing)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    g_string_truncate(fixture->record, 0);
    fixture->now_us += QUIET_US - 1;
    g_assert_false(
        admission_probe_refused(&fixture->admission, fixture->now_us));
    fixture_expect(fixture->record, NULL);
    /* The answer comes while the probe's result is on its way. */
    fixture->now_us += 1;
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 100));
    g_assert_false(
        admission_probe_refused(&fixture->admission, fixture->now_us));
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record,
                   "notify established reason=0 on=0 busy=0 state=1",
                   "absent 0", NULL);
}

/* The same after this agent's start beside an endpoint that drains. */
TEST_F(fixture, a_refused_probe_soon_after_the_start_proves_nothing)
{
    g_assert_false(
        admission_probe_refused(&fixture->admission, fixture->now_us));
    fixture_heartbeat(fixture, "i-1", "lots", true, 12);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

/* While the agent stood still, it read no heartbeat. */
TEST_F(fixture, silence_during_a_pause_of_the_agent_does_not_count)
{
    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    admission_tick(&fixture->admission, fixture->now_us);
    fixture->now_us += 2 * QUIET_US;
    g_assert_false(
        admission_probe_refused(&fixture->admission, fixture->now_us));
}

/* A heartbeat of the same incarnation shows that the endpoint was running all
 * the while, so it holds the flows that it held. */
TEST_F(fixture, an_endpoint_wrongly_found_down_is_as_incomplete_as_before)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture->now_us += QUIET_US;
    g_assert_true(
        admission_probe_refused(&fixture->admission, fixture->now_us));
    fixture_heartbeat(fixture, "i-1", "lots", false, 13);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

TEST_F(fixture, an_endpoint_with_an_overdue_answer_becomes_silent)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40),
        0, false);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    fixture->now_us += USEC_PER_SEC;
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0 silent", NULL);
    fixture->now_us += QUIET_US - USEC_PER_SEC;
    send_query(fixture, 1);
    fixture_expect(fixture->record, "probe", "absent 0 silent", NULL);
    fixture_heartbeat(fixture, "i-1", "lots", false, 13);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
}

/* An acknowledgement without data needs no answer. */
TEST_F(fixture, an_endpoint_without_overdue_answers_is_not_silent)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 12);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 0),
        0, false);
    fixture->now_us += 2 * USEC_PER_SEC;
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "probe", "absent 0", NULL);
}

/* The flow may have been opened at the new incarnation before its first
 * heartbeat. It isn't reported absent until the endpoint bounces one of its
 * packets. */
TEST_F(fixture, a_repeated_syn_of_an_earlier_incarnation_may_be_held)
{
    struct relay_packet data =
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 501, 40);

    fixture_watch(fixture);
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_open_flow(fixture, 1);
    fixture_heartbeat(fixture, "i-2", "lots", false, 1);
    fixture_heartbeat(fixture, "i-2", "lots", true, 2);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 100, 1, 0),
                    1, false);
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    fixture_receive(fixture, data, 1, false);
    fixture_expect(fixture->record, "endpoint 40", NULL);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 0", NULL);
    fixture_answer(fixture, fixture_bounced(data));
    g_string_truncate(fixture->record, 0);
    send_query(fixture, 1);
    fixture_expect(fixture->record, "absent 1", NULL);
}
