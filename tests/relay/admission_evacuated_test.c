#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission_fixture.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/admission_evacuated"

/* The agent itself refuses SYNs in an evacuated data centre, so that a
 * balancer with an older list can't open flows there. */

static bool
receive_evacuations(struct fixture *fixture, uint64_t revision,
                    const char *data_centre)
{
    struct evacuations evacuations = {.revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&evacuations, evacuations_key(data_centre));
    }
    return admission_handle_evacuations(&fixture->admission, &evacuations,
                                        fixture->now_us);
}

static void
receive_syn(struct fixture *fixture, unsigned number, unsigned next,
            bool forced)
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
    g_assert_true(receive_evacuations(fixture, 5, "here"));
    receive_syn(fixture, 1, 1, false);
    fixture_expect(fixture->record, "forward 10.0.0.2:7000 hops=1 left=0",
                   "notify redirected reason=7 on=1 busy=0 state=1", NULL);
}

TEST_F(fixture, no_flow_is_taken_though_no_other_agent_is_left)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    receive_evacuations(fixture, 5, "here");
    receive_syn(fixture, 1, 0, true);
    fixture_expect(fixture->record, "drop 1",
                   "notify redirected reason=7 on=0 busy=0 state=1", NULL);
}

TEST_F(fixture, an_evacuation_of_another_data_centre_has_no_effect)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    g_string_truncate(fixture->record, 0);
    g_assert_false(receive_evacuations(fixture, 5, "east"));
    receive_syn(fixture, 1, 1, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

TEST_F(fixture, open_flows_continue)
{
    struct relay_flow flow = fixture_flow(1);

    fixture_open_flow(fixture, 1);
    receive_evacuations(fixture, 5, "here");
    g_string_truncate(fixture->record, 0);
    fixture_receive(
        fixture, fixture_from_caller(flow, RELAY_ACK, 101, 501, 40), 0, false);
    fixture_answer(fixture,
                   fixture_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    fixture_expect(fixture->record, "endpoint 40", "caller 1001", NULL);
}

TEST_F(fixture, queued_syns_are_redirected)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_fill(fixture);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(4), RELAY_SYN, 100, 0, 0),
                    1, true);
    g_string_truncate(fixture->record, 0);
    receive_evacuations(fixture, 5, "here");
    fixture_expect(fixture->record,
                   "forward 10.0.0.2:7000 hops=1 left=0 forced",
                   "notify redirected reason=7 on=1 busy=4 state=1", NULL);
    g_assert_cmpuint(fixture->admission.queue_count, ==, 0);
}

TEST_F(fixture, new_flows_are_taken_after_its_end)
{
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    receive_evacuations(fixture, 5, "here");
    g_assert_true(receive_evacuations(fixture, 6, NULL));
    /* A delayed older list. */
    g_assert_false(receive_evacuations(fixture, 5, "here"));
    g_string_truncate(fixture->record, 0);
    receive_syn(fixture, 1, 1, false);
    fixture_expect(fixture->record, "endpoint 0", NULL);
}

TEST_F(fixture, heartbeats_are_still_handled)
{
    receive_evacuations(fixture, 5, "here");
    fixture_heartbeat(fixture, "i-1", "lots", false, 1);
    fixture_heartbeat(fixture, "i-1", "lots", true, 2);
    g_assert_cmpint(fixture->admission.endpoint.state, ==, ENDPOINT_DRAINING);
}
