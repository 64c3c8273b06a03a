#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"

#define SUITE "/relay/admission_records"

/* Opens a flow whose endpoint has answered a request of 100 bytes. */
static void
open_proven_flow(struct fixture *fixture, unsigned number)
{
    struct relay_flow flow = fixture_flow(number);

    fixture_open_flow(fixture, number);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 100));
}

static void
beat(struct fixture *fixture, const char *id, uint64_t started_ms,
     uint64_t sequence)
{
    struct heartbeat heartbeat = {
        .started_ms = started_ms,
        .service = fixture->admission.endpoint.service,
        .slots = 2,
        .sequence = sequence,
    };

    g_strlcpy(heartbeat.id, id, sizeof(heartbeat.id));
    admission_handle_heartbeat(&fixture->admission, &heartbeat,
                               fixture->now_us);
}

/* An endpoint with one open flow that its next heartbeat confirms. */
static void
hold_flow(struct fixture *fixture)
{
    fixture_starts(fixture, "i-1", 100);
    open_proven_flow(fixture, 1);
    fixture_advance_ms(fixture, 1200);
    beat(fixture, "i-1", 100, 2);
}

static unsigned
count_open_flows(struct fixture *fixture, uint32_t *seq)
{
    struct relay_flow flow;
    unsigned count = 0;
    uint32_t at = 0;

    while (admission_next_open_flow(&fixture->admission, &at, &flow, seq)) {
        count++;
    }
    return count;
}

TEST_F(fixture, an_open_flow_is_listed_with_the_end_of_its_answers)
{
    uint32_t seq = 0;

    hold_flow(fixture);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 1);
    g_assert_cmpuint(seq, ==, 601);
}

TEST_F(fixture, a_flow_that_its_caller_ended_is_not_listed)
{
    uint32_t seq;

    hold_flow(fixture);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_ACK | RELAY_FIN,
                                        141, 601, 0),
                    0, false);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 0);
}

TEST_F(fixture, a_flow_that_the_endpoint_ended_is_not_listed)
{
    uint32_t seq;

    hold_flow(fixture);
    fixture_answer(fixture,
                   fixture_from_endpoint(fixture_flow(1),
                                         RELAY_ACK | RELAY_FIN, 601, 141, 0));
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 0);
}

/* It may be of the next incarnation, whose first heartbeat is still to come.
 */
TEST_F(fixture, a_flow_opened_after_the_last_heartbeat_is_not_listed)
{
    uint32_t seq;

    hold_flow(fixture);
    open_proven_flow(fixture, 2);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 1);
    fixture_advance_ms(fixture, 900);
    beat(fixture, "i-1", 100, 3);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 1);
    fixture_advance_ms(fixture, 1200);
    beat(fixture, "i-1", 100, 4);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 2);
}

TEST_F(fixture, flows_of_an_earlier_incarnation_are_not_listed)
{
    uint32_t seq;

    hold_flow(fixture);
    fixture_starts(fixture, "i-2", 200);
    fixture_advance_ms(fixture, 1200);
    beat(fixture, "i-2", 200, 2);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 0);
}

/* Uses the port of flow 1 again for a flow that gets a request answered. */
static void
use_port_again(struct fixture *fixture)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_receive(fixture, fixture_from_caller(flow, RELAY_SYN, 9000, 0, 0),
                    0, false);
    fixture_answer(fixture, fixture_from_endpoint(flow, RELAY_SYN | RELAY_ACK,
                                                  700000, 9001, 0));
    fixture_receive(fixture,
                    fixture_from_caller(flow, RELAY_ACK, 9001, 700001, 40), 0,
                    false);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 700001, 9041, 100));
}

/* The endpoint was replaced, and its first heartbeat is still to come. */
TEST_F(fixture, a_port_used_again_at_the_next_incarnation_is_not_listed)
{
    uint32_t seq;

    hold_flow(fixture);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 1);
    use_port_again(fixture);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 0);
    /* The last heartbeat of the earlier incarnation is late. */
    fixture_advance_ms(fixture, 900);
    beat(fixture, "i-1", 100, 3);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 0);
    fixture_starts(fixture, "i-2", 200);
    fixture_advance_ms(fixture, 1200);
    beat(fixture, "i-2", 200, 2);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 0);
}

TEST_F(fixture, a_port_used_again_is_listed_after_a_later_heartbeat)
{
    uint32_t seq = 0;

    hold_flow(fixture);
    use_port_again(fixture);
    fixture_advance_ms(fixture, 1200);
    beat(fixture, "i-1", 100, 3);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 1);
    g_assert_cmpuint(seq, ==, 700101);
}

TEST_F(fixture, a_flow_open_elsewhere_is_not_listed)
{
    uint32_t seq;

    fixture_starts(fixture, "i-1", 100);
    fixture_open_flow(fixture, 1);
    /* The caller accepted another endpoint's SYN+ACK. */
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(1), RELAY_ACK, 101, 900001, 40), 2,
        false);
    fixture_advance_ms(fixture, 1200);
    beat(fixture, "i-1", 100, 2);
    g_assert_cmpuint(count_open_flows(fixture, &seq), ==, 0);
}

TEST_F(fixture, a_recorded_flow_that_was_not_seen_since_is_reset)
{
    g_assert_true(
        admission_reset_ended(&fixture->admission, fixture_flow(1), 601));
    fixture_expect(fixture->record, "reset 1001 at 601", NULL);
    g_assert_cmpuint(fixture->admission.table.used, ==, 0);
}

/* Its port was used again before the record was read. */
TEST_F(fixture, a_recorded_flow_whose_port_opened_another_is_not_reset)
{
    fixture_open_flow(fixture, 1);
    g_string_truncate(fixture->record, 0);
    g_assert_false(
        admission_reset_ended(&fixture->admission, fixture_flow(1), 601));
    fixture_expect(fixture->record, NULL);
}

/* Its caller sent since, so that a lookup decides. */
TEST_F(fixture, a_recorded_flow_that_a_lookup_decides_on_is_not_reset)
{
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 141, 601, 40),
        2, false);
    g_string_truncate(fixture->record, 0);
    g_assert_false(
        admission_reset_ended(&fixture->admission, fixture_flow(1), 601));
    fixture_expect(fixture->record, NULL);
}
