#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder_fixture.h"

#define SUITE "/relay/forwarder_data_centres"

/* Which agents may take new flows: evacuations, cold endpoints, region
 * affinity. */

static void
evacuate(struct fixture *fixture, uint64_t revision, const char *data_centre,
         bool from_store)
{
    struct evacuations reported = {.revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&reported, evacuations_key(data_centre));
    }
    forwarder_evacuations(&fixture->forwarder, &reported, from_store,
                          fixture->now_us);
}

/* Lists an agent in another data centre. */
static void
set_data_centre(struct fixture *fixture, unsigned number,
                const char *data_centre)
{
    agents_list(&fixture->forwarder.agents, fixture_agent_addr(number),
                hash_service("lots"), data_centre, fixture->now_us);
}

TEST_F(fixture, new_flows_go_round_an_evacuated_data_centre, 6)
{
    for (unsigned i = 1; i <= 3; i++) {
        set_data_centre(fixture, i, "east");
    }
    evacuate(fixture, 5, "here", false);
    for (unsigned flow = 1; flow <= 20; flow++) {
        fixture_receive(fixture, fixture_from_caller(fixture_flow(flow),
                                                     RELAY_SYN, 9, 0, 0));
        /* Agents there are neither tried first nor listed as further stops. */
        g_assert_cmpuint(fixture->frame.next_count, ==, 2);
    }
    for (unsigned i = 4; i <= 6; i++) {
        g_assert_false(fixture->named[i]);
    }
    evacuate(fixture, 6, NULL, false);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(21), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(fixture->frame.next_count, ==, 5);
}

TEST_F(fixture, established_flows_in_an_evacuated_data_centre_continue, 2)
{
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    fixture_established(fixture, fixture_agent_addr(2), 1, 500);
    evacuate(fixture, 5, "here", false);
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(2)));
}

TEST_F(fixture, callers_are_refused_at_once_while_all_is_evacuated, 2)
{
    evacuate(fixture, 5, "here", false);
    fixture->forwarder.current = true;
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    fixture_expect(fixture->record, "drop 4", "reset 1001 at 0", NULL);
    g_assert_cmpuint(fixture->forwarded, ==, 0);
    /* A balancer with an outdated view doesn't refuse: the evacuation may have
     * ended. */
    fixture->forwarder.current = false;
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(2), RELAY_SYN, 9, 0, 0));
    fixture_expect(fixture->record, "drop 4", NULL);
}

/* Draining endpoints may be replaced soon. */
TEST_F(fixture, callers_are_not_refused_while_another_data_centre_drains, 3)
{
    set_data_centre(fixture, 3, "east");
    fixture_report(fixture, 3,
                   (struct frame_status){.type = FRAME_STATE,
                                         .health.state = ENDPOINT_DRAINING});
    evacuate(fixture, 5, "here", false);
    fixture->forwarder.current = true;
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    fixture_expect(fixture->record, "drop 3", NULL);
}

TEST_F(fixture, an_agent_added_later_is_evacuated_too, 2)
{
    evacuate(fixture, 5, "east", false);
    set_data_centre(fixture, 1, "east");
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(2)));
    g_assert_cmpuint(fixture->frame.next_count, ==, 0);
}

/* Evacuates two data centres, as read from the store. */
static void
evacuate_two(struct fixture *fixture, uint64_t revision, const char *one,
             const char *other)
{
    struct evacuations reported = {.revision = revision};

    evacuations_add(&reported, evacuations_key(one));
    evacuations_add(&reported, evacuations_key(other));
    forwarder_evacuations(&fixture->forwarder, &reported, true,
                          fixture->now_us);
}

TEST_F(fixture, agents_are_notified_of_an_evacuation_read_from_the_store, 6)
{
    for (unsigned i = 1; i <= 4; i++) {
        set_data_centre(fixture, i, "east");
    }
    fixture_advance_ms(fixture, 1);
    fixture->pings = 0;
    evacuate(fixture, 5, "east", true);
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->pings, ==, 4);
    /* Agents of "east" may have received an end of its evacuation in
     * between. */
    fixture->pings = 0;
    for (unsigned i = 1; i <= 6; i++) {
        fixture_report(fixture, i, (struct frame_status){.type = FRAME_STATE});
    }
    evacuate_two(fixture, 9, "east", "here");
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->pings, ==, 6);
    /* Sets received from other hosts aren't passed on. */
    fixture->pings = 0;
    evacuate(fixture, 10, "here", false);
    for (unsigned i = 1; i <= 6; i++) {
        fixture_report(fixture, i, (struct frame_status){.type = FRAME_STATE});
    }
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(fixture->pings, ==, 0);
}

TEST_F(fixture, syns_carry_the_slow_start_limit, 2)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = 6;
    fixture_add_route(&routes, "198.18.0.1:443", "lots");
    routes.items[0].shares[0].slow_start_per_s = 5;
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    forwarder_routes(&fixture->forwarder, &routes, fixture->now_us);
    fixture->forwarder.slow_start =
        (struct forwarder_slow_start){.over = 1.5, .slack = 5};
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(fixture->frame.slow_start_limit, ==, 12);
    /* Each copy carries it, as the agent may have forgotten the flow. */
    fixture_report(
        fixture, 1,
        (struct frame_status){.type = FRAME_QUEUED, .flow = fixture_flow(1)});
    fixture->frame.slow_start_limit = 0;
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 1, 0));
    g_assert_cmpuint(fixture->frame.slow_start_limit, ==, 12);
    fixture_established(fixture, fixture_agent_addr(1), 1, 500);
    fixture->frame.slow_start_limit = 0;
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 2, 0));
    g_assert_cmpuint(fixture->frame.slow_start_limit, ==, 12);
}

/* Puts agents 1 to 3 into one region and the others into another. */
static void
split_regions(struct fixture *fixture, unsigned agents)
{
    struct regions regions = {
        .items = {{evacuations_key("here"), region_key("coast")},
                  {evacuations_key("east"), region_key("inland")}},
        .count = 2,
    };

    agents_set_regions(&fixture->forwarder.agents, &regions);
    for (unsigned i = 1; i <= agents; i++) {
        set_data_centre(fixture, i, i <= 3 ? "here" : "east");
    }
}

static void
set_affinity(struct fixture *fixture, const char *region)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = 6;
    fixture_add_route(&routes, "198.18.0.1:443", "lots");
    region_affinity_add(&routes.items[0].region_affinity, region_key(region));
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    forwarder_routes(&fixture->forwarder, &routes, fixture->now_us);
}

TEST_F(fixture, flows_stay_in_the_regions_of_their_route, 6)
{
    split_regions(fixture, 6);
    set_affinity(fixture, "inland");
    for (unsigned flow = 1; flow <= 20; flow++) {
        fixture_receive(fixture, fixture_from_caller(fixture_flow(flow),
                                                     RELAY_SYN, 9, 0, 0));
        g_assert_cmpuint(fixture->frame.next_count, ==, 2);
    }
    /* Lookups stay there too, as their packets contain the request. */
    fixture_receive(
        fixture, fixture_from_caller(fixture_flow(30), RELAY_ACK, 9, 77, 40));
    for (unsigned i = 1; i <= 3; i++) {
        g_assert_false(fixture->named[i]);
    }
    g_assert_cmpuint(fixture->lookups, ==, 1);
}

TEST_F(fixture, an_agent_of_an_unknown_region_is_in_no_affinity, 6)
{
    split_regions(fixture, 6);
    set_data_centre(fixture, 5, "nowhere");
    set_affinity(fixture, "inland");
    for (unsigned flow = 1; flow <= 20; flow++) {
        fixture_receive(fixture, fixture_from_caller(fixture_flow(flow),
                                                     RELAY_SYN, 9, 0, 0));
    }
    g_assert_false(fixture->named[5]);
    g_assert_true(fixture->named[4]);
}

TEST_F(fixture, learned_routes_are_limited_to_their_reported_regions, 6)
{
    struct frame_served served = {
        .service = hash_service("lots"),
        .addrs = {fixture_addr("198.18.0.1:443")},
        .count = 1,
    };

    split_regions(fixture, 6);
    routes_finish(&fixture->forwarder.routes);
    forwarder_served(&fixture->forwarder, fixture_agent_addr(2), &served);
    for (unsigned flow = 1; flow <= 20; flow++) {
        fixture_receive(fixture, fixture_from_caller(fixture_flow(flow),
                                                     RELAY_SYN, 9, 0, 0));
    }
    for (unsigned i = 4; i <= 6; i++) {
        g_assert_false(fixture->named[i]);
    }
    /* Nothing is learned from an agent of an unknown region. */
    served.addrs[0] = fixture_addr("198.18.0.7:443");
    forwarder_served(&fixture->forwarder, fixture_agent_addr(9), &served);
    g_assert_cmpuint(fixture->forwarder.learned.count, ==, 1);
    served.addrs[0] = fixture_addr("198.18.0.1:443");
    /* Another region's endpoint reports the address too. */
    forwarder_served(&fixture->forwarder, fixture_agent_addr(5), &served);
    fixture_receive(fixture,
                    fixture_from_caller(fixture_flow(21), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(fixture->frame.next_count, ==, 5);
}

/* After a restart of all hosts with the store unreachable no list has the
 * agents' data centres. */
TEST_F(fixture, agents_report_their_data_centre, 1)
{
    const struct agent_row *row;
    struct frame_status status = {
        .type = FRAME_STATE,
        .health.state = ENDPOINT_READY,
        .health.data_centre = evacuations_key("east"),
    };

    split_regions(fixture, 1);
    evacuate(fixture, 5, "east", false);
    fixture_report(fixture, 9, status);
    row = agents_find(&fixture->forwarder.agents, fixture_agent_addr(9));
    g_assert_cmpuint(row->region, ==, region_key("inland"));
    g_assert_true(row->evacuated);
}
