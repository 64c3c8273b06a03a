#include "base/clock.h"
#include "lib/harness.h"
#include "relay/door_site.h"
#include "relay/relay_rig.h"

#define SUITE "/relay/door_evacuated"

/* What evacuates a data centre comes as one entry in the operators' store and
 * is told by others; the agent that would give a SYN to its endpoint has the
 * last word. */

static bool
told(struct site *site, uint64_t revision, const char *data_centre)
{
    struct evacuations evacuations = {.revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&evacuations, evacuations_key(data_centre));
    }
    return door_evacuations(&site->door, &evacuations, site->now_us);
}

static void
syn(struct site *site, unsigned number, unsigned next, bool forced)
{
    site_arrive(site, rig_from_caller(rig_flow(number), RELAY_SYN, 100, 0, 0),
                next, forced);
}

TEST_F(site, a_new_flow_goes_to_another_data_centre_at_once)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    g_string_truncate(site->record, 0);
    g_assert_true(told(site, 5, "here"));
    syn(site, 1, 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=7 on=1 busy=0 state=1", NULL);
}

TEST_F(site, none_is_taken_though_nobody_else_is_left)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    g_string_truncate(site->record, 0);
    told(site, 5, "here");
    syn(site, 1, 0, true);
    rig_expect(site->record, "drop 1",
               "tell passed reason=7 on=0 busy=0 state=1", NULL);
}

TEST_F(site, another_data_centre_is_nothing_to_this_one)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    g_string_truncate(site->record, 0);
    g_assert_false(told(site, 5, "east"));
    syn(site, 1, 1, false);
    rig_expect(site->record, "endpoint 0", NULL);
}

TEST_F(site, flows_that_are_open_go_on)
{
    struct relay_flow flow = rig_flow(1);

    site_open_flow(site, 1);
    told(site, 5, "here");
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0,
                false);
    site_answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    rig_expect(site->record, "endpoint 40", "caller 1001", NULL);
}

TEST_F(site, syns_that_wait_for_a_slot_go_elsewhere)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    site_fill(site);
    site_arrive(site, rig_from_caller(rig_flow(4), RELAY_SYN, 100, 0, 0), 1,
                true);
    g_string_truncate(site->record, 0);
    told(site, 5, "here");
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0 forced",
               "tell passed reason=7 on=1 busy=4 state=1", NULL);
    g_assert_cmpuint(site->door.queue_count, ==, 0);
}

TEST_F(site, after_its_end_new_flows_are_taken_again)
{
    site_heartbeat(site, "i-1", "lots", false, 1);
    told(site, 5, "here");
    g_assert_true(told(site, 6, NULL));
    /* What was held up on its way. */
    g_assert_false(told(site, 5, "here"));
    g_string_truncate(site->record, 0);
    syn(site, 1, 1, false);
    rig_expect(site->record, "endpoint 0", NULL);
}

TEST_F(site, heartbeats_are_acknowledged_all_the_while)
{
    told(site, 5, "here");
    site_heartbeat(site, "i-1", "lots", false, 1);
    site_heartbeat(site, "i-1", "lots", true, 2);
    g_assert_cmpint(site->door.endpoint.state, ==, ENDPOINT_DRAINING);
}
