#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/door_site.h"
#include "relay/relay_rig.h"

#define SUITE "/relay/door_open"

TEST_F(site, a_flow_opens_and_is_answered)
{
    struct relay_flow flow = rig_flow(1);

    site_open_flow(site, 1);
    rig_expect(site->record, "endpoint 0",
               "tell placed reason=0 on=0 busy=1 state=0", "caller 1001",
               NULL);
    site_arrive(site, rig_from_caller(flow, RELAY_ACK, 101, 501, 40), 0,
                false);
    site_answer(site, rig_from_endpoint(flow, RELAY_ACK, 501, 141, 900));
    rig_expect(site->record, "endpoint 40", "caller 1001", NULL);
    g_assert_cmpuint(site->door.busy_count, ==, 0);
}

TEST_F(site, a_syn_that_was_let_go_is_not_waited_for)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0);

    site_arrive(site, syn, 0, false);
    site_answer(site, rig_bounced(syn));
    rig_expect(site->record, "endpoint 0",
               "tell state reason=0 on=0 busy=1 state=4", "drop 1",
               "tell passed reason=4 on=0 busy=0 state=4", NULL);
    site_pass_ms(site, 6);
    rig_expect(site->record, NULL);
}

TEST_F(site, an_endpoint_that_is_not_up_costs_one_syn)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0);

    site_arrive(site, syn, 1, false);
    site_answer(site, rig_bounced(syn));
    rig_expect(site->record, "endpoint 0",
               "tell state reason=0 on=0 busy=1 state=4",
               "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=4 on=1 busy=0 state=4", NULL);
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 1, 0, 0), 1,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=3 on=1 busy=0 state=4", NULL);
    site_heartbeat(site, "i-1", "lots", false, 1);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(3), RELAY_SYN, 1, 0, 0), 1,
                false);
    rig_expect(site->record, "endpoint 0", NULL);
}

TEST_F(site, an_endpoint_that_refuses_while_idle_is_down)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0);

    site_heartbeat(site, "i-1", "lots", false, 1);
    g_string_truncate(site->record, 0);
    site_arrive(site, syn, 1, false);
    site_answer(site, rig_bounced(syn));
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 1, 0, 0), 1,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=3 on=1 busy=0 state=4", NULL);
    site_heartbeat(site, "i-1", "lots", false, 2);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(3), RELAY_SYN, 1, 0, 0), 1,
                false);
    rig_expect(site->record, "endpoint 0", NULL);
}

TEST_F(site, an_endpoint_that_refuses_while_busy_is_full)
{
    struct relay_packet syn;

    site_heartbeat(site, "i-1", "lots", false, 1);
    site_open_flow(site, 1);
    site_open_flow(site, 2);
    site_open_flow(site, 3);
    syn = rig_from_caller(rig_flow(4), RELAY_SYN, 100, 0, 0);
    site_arrive(site, syn, 0, true);
    site_answer(site, rig_bounced(syn));
    g_assert_cmpint(site->door.endpoint.state, ==, ENDPOINT_READY);
}

TEST_F(site, a_silent_endpoint_costs_one_syn)
{
    struct relay_flow flow = rig_flow(1);

    site_arrive(site, rig_from_caller(flow, RELAY_SYN, 100, 0, 0), 2, false);
    site_pass_ms(site, 4);
    rig_expect(site->record, "endpoint 0", NULL);
    site_pass_ms(site, 1);
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=4",
               "carry 10.0.0.2:7000 hops=1 left=1",
               "tell passed reason=3 on=1 busy=0 state=4", NULL);
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 1, 0, 0), 2,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1",
               "tell passed reason=3 on=1 busy=0 state=4", NULL);
    /* Its late answer would open the flow in two places. */
    site_answer(site,
                rig_from_endpoint(flow, RELAY_SYN | RELAY_ACK, 5, 101, 0));
    rig_expect(site->record, "tell state reason=0 on=0 busy=0 state=1",
               "drop 2", NULL);
}

TEST_F(site, a_busy_endpoint_sends_new_flows_on)
{
    site_open_flow(site, 1);
    site_open_flow(site, 2);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(3), RELAY_SYN, 1, 0, 0), 1,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=1 on=1 busy=2 state=0", NULL);
    /* Nobody else: the least busy takes it, and that is this one. */
    site_arrive(site, rig_from_caller(rig_flow(4), RELAY_SYN, 1, 0, 0), 0,
                false);
    rig_expect(site->record, "endpoint 0",
               "tell passed reason=1 on=1 busy=3 state=0", NULL);
    site_arrive(site, rig_from_caller(rig_flow(5), RELAY_SYN, 1, 0, 0), 1,
                true);
    rig_expect(site->record, "endpoint 0", NULL);
    site_arrive(site, rig_from_caller(rig_flow(6), RELAY_SYN, 1, 0, 0), 1,
                true);
    /* What waits counts too. */
    rig_expect(site->record, "tell held reason=0 on=0 busy=5 state=0", NULL);
}

/* The endpoint answers the request of an open flow, and is given @expected
 * next. */
static void
finish_request(struct site *site, unsigned number, const char *expected)
{
    site_arrive(site,
                rig_from_caller(rig_flow(number), RELAY_ACK, 101, 501, 40), 0,
                false);
    g_string_truncate(site->record, 0);
    site_answer(site,
                rig_from_endpoint(rig_flow(number), RELAY_ACK, 501, 141, 900));
    if (expected != NULL) {
        rig_expect(site->record, expected, "endpoint 0", NULL);
    }
}

TEST_F(site, what_can_be_in_time_goes_before_what_is_late)
{
    site_fill(site);
    site_arrive_forced(site, 4, 0, 800, 1);
    site_arrive_forced(site, 5, 100, 1400, 2);
    g_assert_cmpuint(site->door.queue_count, ==, 2);
    finish_request(site, 1, "caller 1001");
    g_assert_cmpuint(site->door.queue_count, ==, 1);
    site_answer(site, rig_from_endpoint(rig_flow(5), RELAY_SYN | RELAY_ACK,
                                        500, 101, 0));
    rig_expect(site->record, "tell placed reason=0 on=0 busy=4 state=0",
               "caller 1005", NULL);
    /* The late one needs a slot that is free, not one that will be. */
    finish_request(site, 2, NULL);
    finish_request(site, SITE_FILL_LAST, NULL);
    g_assert_cmpuint(site->door.queue_count, ==, 1);
    finish_request(site, 3, "caller 1003");
    g_assert_cmpuint(site->door.queue_count, ==, 0);
}

TEST_F(site, far_callers_do_not_leave_slots_idle)
{
    /* A handshake takes twice as long as a request. */
    site->door.pace = (struct pace){.work_us = 15000, .trip_us = 30000};
    for (unsigned i = 1; i <= 5; i++) {
        site_arrive(site, rig_from_caller(rig_flow(i), RELAY_SYN, 100, 0, 0),
                    2, false);
    }
    g_assert_cmpuint(site->door.busy_count, ==, 5);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(7), RELAY_SYN, 100, 0, 0), 2,
                false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=1",
               "tell passed reason=1 on=1 busy=5 state=0", NULL);
}

TEST_F(site, the_urgent_goes_first_among_equals)
{
    site_fill(site);
    site_arrive_forced(site, 4, 100, 1400, 2);
    site_arrive_forced(site, 5, 100, 1400, 1);
    finish_request(site, 1, "caller 1001");
    g_assert_cmpuint(site->door.queue_count, ==, 1);
    site_answer(site, rig_from_endpoint(rig_flow(5), RELAY_SYN | RELAY_ACK,
                                        500, 101, 0));
    rig_expect(site->record, "tell placed reason=0 on=0 busy=5 state=0",
               "caller 1005", NULL);
}

TEST_F(site, a_held_syn_is_not_given_to_an_endpoint_after_its_caller_left)
{
    site_fill(site);
    site_arrive_forced(site, 4, 0, 50, 2);
    g_string_truncate(site->record, 0);
    site_pass_ms(site, 55);
    rig_expect(site->record, "drop 3", NULL);
    g_assert_cmpuint(site->door.queue_count, ==, 0);
}

TEST_F(site, a_held_syn_whose_flow_opened_elsewhere_is_let_go)
{
    struct relay_packet data =
        rig_from_caller(rig_flow(4), RELAY_ACK, 101, 900001, 40);

    site_fill(site);
    site_arrive_forced(site, 4, 0, 1400, 2);
    g_assert_cmpuint(site->door.queue_count, ==, 1);
    g_string_truncate(site->record, 0);
    /* Who sends more than a SYN has had an answer to it. */
    site_arrive(site, data, 1, false);
    g_assert_cmpuint(site->door.queue_count, ==, 0);
    site_answer(site, rig_bounced(data));
    rig_expect(site->record, "endpoint 40",
               "carry 10.0.0.2:7000 hops=1 left=0", NULL);
}

TEST_F(site, held_syns_go_elsewhere_when_the_endpoint_leaves)
{
    site_fill(site);
    site_arrive_forced(site, 4, 100, 1400, 2);
    site_heartbeat(site, "i-1", "lots", true, 1);
    g_string_truncate(site->record, 0);
    site_pass_ms(site, 1);
    rig_expect(site->record, "drop 1",
               "tell passed reason=2 on=0 busy=4 state=2", NULL);
}

/* Its copy was given to another start of the endpoint, which has its own time
 * to answer. */
TEST_F(site, a_wait_for_an_earlier_start_is_over)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(1), RELAY_SYN, 100, 0, 0);

    site_heartbeat(site, "i-1", "lots", false, 1);
    site_arrive(site, syn, 1, false);
    site_pass_ms(site, 3);
    site_heartbeat(site, "i-2", "lots", false, 1);
    site_arrive(site, syn, 1, false);
    g_string_truncate(site->record, 0);
    site_pass_ms(site, 2);
    rig_expect(site->record, NULL);
    site_pass_ms(site, 3);
    g_assert_nonnull(strstr(site->record->str, "carry 10.0.0.2:7000"));
}

/* The endpoint resets flows 1 to 3 with their requests in progress. */
static void
fail_three(struct site *site)
{
    for (unsigned i = 1; i <= 3; i++) {
        site_open_flow(site, i);
        site_arrive(site,
                    rig_from_caller(rig_flow(i), RELAY_ACK, 101, 501, 40), 0,
                    false);
        g_string_truncate(site->record, 0);
        site_answer(site, rig_from_endpoint(rig_flow(i), RELAY_RST | RELAY_ACK,
                                            501, 141, 0));
    }
}

/* Its heartbeats say that it is well. */
TEST_F(site, an_endpoint_that_resets_requests_gets_what_no_other_takes)
{
    struct relay_packet syn =
        rig_from_caller(rig_flow(4), RELAY_SYN, 100, 0, 0);

    site_heartbeat(site, "i-1", "lots", false, 1);
    fail_three(site);
    /* Balancers are told at once. */
    rig_expect(site->record, "tell state reason=0 on=0 busy=1 state=1",
               "caller 1003", NULL);
    site_arrive(site, syn, 1, false);
    rig_expect(site->record, "carry 10.0.0.2:7000 hops=1 left=0",
               "tell passed reason=6 on=1 busy=0 state=1", NULL);
    site_arrive(site, rig_from_caller(rig_flow(5), RELAY_SYN, 100, 0, 0), 0,
                false);
    rig_expect(site->record, "endpoint 0", NULL);
    site_answer(site, rig_from_endpoint(rig_flow(5), RELAY_SYN | RELAY_ACK,
                                        500, 101, 0));
    site_pass_ms(site, 5000);
    g_string_truncate(site->record, 0);
    site_arrive(site, rig_from_caller(rig_flow(6), RELAY_SYN, 100, 0, 0), 1,
                false);
    g_assert_nonnull(strstr(site->record->str, "endpoint 0"));
}
