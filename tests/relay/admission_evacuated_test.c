#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/door_evacuated"

/* What evacuates a data centre comes as one entry in the operators' store and
 * is told by others; the agent that would give a SYN to its endpoint has the
 * last word. */

static bool
told(struct fixture *fixture, uint64_t revision, const char *data_centre)
{
    struct evacuations evacuations = {.revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&evacuations, evacuations_key(data_centre));
    }
    return admission_handle_evacuations(&fixture->admission, &evacuations,
                                        fixture->now_us);
}

static void
syn(struct fixture *fixture, unsigned number, unsigned next, bool forced)
{
    fixture_receive(
        fixture,
        fixture_from_caller(fixture_flow(number), RELAY_SYN, 100, 0, 0), next,
        forced);
}

TEST_F(fixture, a_new_flow_goes_to_another_data_centre_at_once)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    g_assert_true(told(fixture, 5, "here"));
    syn(fixture, 1, 1, false);
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0",
                   "tell passed reason=7 on=1 busy=0 state=1", NULL);
}

TEST_F(fixture, none_is_taken_though_nobody_else_is_left)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    told(fixture, 5, "here");
    syn(fixture, 1, 0, true);
    fixture_expect(fixture->record, "drop 1",
                   "tell passed reason=7 on=0 busy=0 state=1", NULL);
}

TEST_F(fixture, another_data_centre_is_nothing_to_this_one)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    g_assert_false(told(fixture, 5, "east"));
    syn(fixture, 1, 1, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

TEST_F(fixture, flows_that_are_open_go_on)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    told(fixture, 5, "here");
    g_string_truncate(fixture->record, 0);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    fixture_expect(fixture->record, "endpoint 40", "caller 1001", NULL);
}

TEST_F(fixture, syns_that_wait_for_a_slot_go_elsewhere)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_fill(fixture);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(4), RELAY_SYN, 100, 0, 0),
                    1, true);
    g_string_truncate(fixture->record, 0);
    told(fixture, 5, "here");
    fixture_expect(fixture->record, "carry 10.0.0.2:7000 hops=1 left=0 forced",
                   "tell passed reason=7 on=1 busy=4 state=1", NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

TEST_F(fixture, after_its_end_new_flows_are_taken_again)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    told(fixture, 5, "here");
    g_assert_true(told(fixture, 6, NULL));
    /* What was held up on its way. */
    g_assert_false(told(fixture, 5, "here"));
    g_string_truncate(fixture->record, 0);
    syn(fixture, 1, 1, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

TEST_F(fixture, heartbeats_are_acknowledged_all_the_while)
{
    told(fixture, 5, "here");
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_heartbeat(fixture, "i-1", "lots", true, 2);
    g_assert_cmpint(fixture->admission.endpoint.state, ==, ENDPOINT_DRAINING);
}
