#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/steer_site.h"

#define SUITE "/relay/steer_places"

/* Where new flows may go: evacuations, cold endpoints, homes. */

static void
evacuate(struct site *site, uint64_t revision, const char *data_centre,
         bool first)
{
    struct evacuations told = {.revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&told, evacuations_key(data_centre));
    }
    steer_evacuations(&site->steer, &told, first, site->now_us);
}

/* Puts an agent into another data centre. */
static void
move_to(struct site *site, unsigned number, const char *data_centre)
{
    agents_list(&site->steer.agents, site_agent_addr(number),
                hash_service("lots"), data_centre, site->now_us);
}

TEST_F(site, new_flows_go_round_an_evacuated_data_centre, 6)
{
    for (unsigned i = 1; i <= 3; i++) {
        move_to(site, i, "east");
    }
    evacuate(site, 5, "here", false);
    for (unsigned flow = 1; flow <= 20; flow++) {
        site_arrive(site, rig_from_caller(rig_flow(flow), RELAY_SYN, 9, 0, 0));
        /* At once: no agent there is asked first, or named for later. */
        g_assert_cmpuint(site->frame.next_count, ==, 2);
    }
    for (unsigned i = 4; i <= 6; i++) {
        g_assert_false(site->named[i]);
    }
    evacuate(site, 6, NULL, false);
    site_arrive(site, rig_from_caller(rig_flow(21), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(site->frame.next_count, ==, 5);
}

TEST_F(site, flows_in_an_evacuated_data_centre_go_on, 2)
{
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    site_placed(site, site_agent_addr(2), 1, 500);
    evacuate(site, 5, "here", false);
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_ACK, 10, 501, 20));
    g_assert_true(addr_equal(site->sent, site_agent_addr(2)));
}

TEST_F(site, callers_are_refused_at_once_while_all_is_evacuated, 2)
{
    evacuate(site, 5, "here", false);
    site->steer.current = true;
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    rig_expect(site->record, "drop 4", "reset 1001 at 0", NULL);
    g_assert_cmpuint(site->carried, ==, 0);
    /* Not by a balancer that may not have heard of its end. */
    site->steer.current = false;
    site_arrive(site, rig_from_caller(rig_flow(2), RELAY_SYN, 9, 0, 0));
    rig_expect(site->record, "drop 4", NULL);
}

/* The other data centre's endpoints may take it soon. */
TEST_F(site, callers_are_not_refused_while_another_data_centre_drains, 3)
{
    move_to(site, 3, "east");
    site_say(site, 3,
             (struct frame_status){.type = FRAME_STATE,
                                   .health.state = ENDPOINT_DRAINING});
    evacuate(site, 5, "here", false);
    site->steer.current = true;
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    rig_expect(site->record, "drop 3", NULL);
}

TEST_F(site, an_agent_that_comes_later_is_evacuated_too, 2)
{
    evacuate(site, 5, "east", false);
    move_to(site, 1, "east");
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_true(addr_equal(site->sent, site_agent_addr(2)));
    g_assert_cmpuint(site->frame.next_count, ==, 0);
}

/* The store tells that two data centres are evacuated. */
static void
evacuate_two(struct site *site, uint64_t revision, const char *one,
             const char *other)
{
    struct evacuations told = {.revision = revision};

    evacuations_add(&told, evacuations_key(one));
    evacuations_add(&told, evacuations_key(other));
    steer_evacuations(&site->steer, &told, true, site->now_us);
}

TEST_F(site, who_reads_of_an_evacuation_tells_the_agents_there, 6)
{
    for (unsigned i = 1; i <= 4; i++) {
        move_to(site, i, "east");
    }
    site_pass_ms(site, 1);
    site->pings = 0;
    evacuate(site, 5, "east", true);
    site_pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 4);
    /* Others may have heard that the first was back in between. */
    site->pings = 0;
    for (unsigned i = 1; i <= 6; i++) {
        site_say(site, i, (struct frame_status){.type = FRAME_STATE});
    }
    evacuate_two(site, 9, "east", "here");
    site_pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 6);
    /* Whoever is told by others leaves that to them. */
    site->pings = 0;
    evacuate(site, 10, "here", false);
    for (unsigned i = 1; i <= 6; i++) {
        site_say(site, i, (struct frame_status){.type = FRAME_STATE});
    }
    site_pass_ms(site, 1);
    g_assert_cmpuint(site->pings, ==, 0);
}

TEST_F(site, a_syn_says_how_much_a_cold_endpoint_bears, 2)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = 6;
    site_add_route(&routes, "198.18.0.1:443", "lots");
    routes.items[0].shares[0].warming_per_s = 5;
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    steer_routes(&site->steer, &routes, site->now_us);
    site->steer.warming = (struct steer_warming){.over = 1.5, .slack = 5};
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(site->frame.warming_limit, ==, 12);
    /* Each copy: the agent that held the flow may have forgotten it. */
    site_say(site, 1,
             (struct frame_status){.type = FRAME_HELD, .flow = rig_flow(1)});
    site->frame.warming_limit = 0;
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 1, 0));
    g_assert_cmpuint(site->frame.warming_limit, ==, 12);
    site_placed(site, site_agent_addr(1), 1, 500);
    site->frame.warming_limit = 0;
    site_arrive(site, rig_from_caller(rig_flow(1), RELAY_SYN, 9, 2, 0));
    g_assert_cmpuint(site->frame.warming_limit, ==, 12);
}

/* Lays agents 1 to 3 into one region and the others into another. */
static void
split_regions(struct site *site, unsigned agents)
{
    struct regions regions = {
        .items = {{evacuations_key("here"), homes_key("coast")},
                  {evacuations_key("east"), homes_key("inland")}},
        .count = 2,
    };

    agents_set_regions(&site->steer.agents, &regions);
    for (unsigned i = 1; i <= agents; i++) {
        move_to(site, i, i <= 3 ? "here" : "east");
    }
}

static void
set_home(struct site *site, const char *region)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = 6;
    site_add_route(&routes, "198.18.0.1:443", "lots");
    homes_add(&routes.items[0].homes, homes_key(region));
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    steer_routes(&site->steer, &routes, site->now_us);
}

TEST_F(site, flows_of_a_route_with_homes_stay_in_them, 6)
{
    split_regions(site, 6);
    set_home(site, "inland");
    for (unsigned flow = 1; flow <= 20; flow++) {
        site_arrive(site, rig_from_caller(rig_flow(flow), RELAY_SYN, 9, 0, 0));
        g_assert_cmpuint(site->frame.next_count, ==, 2);
    }
    /* Nor is it looked for elsewhere: the packet holds the request. */
    site_arrive(site, rig_from_caller(rig_flow(30), RELAY_ACK, 9, 77, 40));
    for (unsigned i = 1; i <= 3; i++) {
        g_assert_false(site->named[i]);
    }
    g_assert_cmpuint(site->searches, ==, 1);
}

TEST_F(site, an_agent_of_an_unknown_region_is_at_no_home, 6)
{
    split_regions(site, 6);
    move_to(site, 5, "nowhere");
    set_home(site, "inland");
    for (unsigned flow = 1; flow <= 20; flow++) {
        site_arrive(site, rig_from_caller(rig_flow(flow), RELAY_SYN, 9, 0, 0));
    }
    g_assert_false(site->named[5]);
    g_assert_true(site->named[4]);
}

TEST_F(site, what_is_learned_is_served_where_it_was_served, 6)
{
    struct frame_served served = {
        .service = hash_service("lots"),
        .addrs = {rig_addr("198.18.0.1:443")},
        .count = 1,
    };

    split_regions(site, 6);
    routes_finish(&site->steer.routes);
    steer_served(&site->steer, site_agent_addr(2), &served);
    for (unsigned flow = 1; flow <= 20; flow++) {
        site_arrive(site, rig_from_caller(rig_flow(flow), RELAY_SYN, 9, 0, 0));
    }
    for (unsigned i = 4; i <= 6; i++) {
        g_assert_false(site->named[i]);
    }
    /* Nor anywhere while nobody knows where it was. */
    served.addrs[0] = rig_addr("198.18.0.7:443");
    steer_served(&site->steer, site_agent_addr(9), &served);
    g_assert_cmpuint(site->steer.learned.count, ==, 1);
    served.addrs[0] = rig_addr("198.18.0.1:443");
    /* Another region's endpoint tells of it too. */
    steer_served(&site->steer, site_agent_addr(5), &served);
    site_arrive(site, rig_from_caller(rig_flow(21), RELAY_SYN, 9, 0, 0));
    g_assert_cmpuint(site->frame.next_count, ==, 5);
}

/* After a loss of all hosts while the store is away no list names them. */
TEST_F(site, an_agent_says_itself_where_it_stands, 1)
{
    const struct agent_row *row;
    struct frame_status status = {
        .type = FRAME_STATE,
        .health.state = ENDPOINT_READY,
        .health.data_centre = evacuations_key("east"),
    };

    split_regions(site, 1);
    evacuate(site, 5, "east", false);
    site_say(site, 9, status);
    row = agents_find(&site->steer.agents, site_agent_addr(9));
    g_assert_cmpuint(row->region, ==, homes_key("inland"));
    g_assert_true(row->evacuated);
}
