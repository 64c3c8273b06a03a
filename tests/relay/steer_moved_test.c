#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/steer/steer_private.h"
#include "relay/steer_site.h"

#define SUITE "/relay/steer_moved"

/* Addresses that go to another service leave their open flows where they are.
 * Agents of "lots" are 1 to LOTS, those of "albums" follow. */

#define LOTS 4
#define ALBUMS 2
#define ALL 0xffffffffu

/* Longer than any flow lives. */
#define SETTLED_MS 61000

static void
list_albums(struct site *site)
{
    for (unsigned i = LOTS + 1; i <= LOTS + ALBUMS; i++) {
        agents_list(&site->steer.agents, site_agent_addr(i),
                    hash_service("albums"), "here", site->now_us);
    }
    agents_listed(&site->steer.agents);
}

/* A configuration in which the address of "lots" goes to @service. */
static void
move_route(struct site *site, uint64_t version, const char *service)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = version;
    site_add_route(&routes, "198.18.0.1:443", service);
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    g_assert_true(steer_routes(&site->steer, &routes, site->now_us));
}

/* A packet of a flow that was opened through another balancer. */
static void
send_on(struct site *site, unsigned flow)
{
    site_arrive(site,
                rig_from_caller(rig_flow(flow), RELAY_ACK, 101, 501, 40));
}

static void
deny(struct site *site, unsigned agent)
{
    struct frame_absent frame = {.round = site->ask.round, .absent = {ALL}};

    steer_absent(&site->steer, site_agent_addr(agent), &frame, site->now_us);
}

TEST_F(site, agents_of_all_services_are_asked_for_a_lost_flow, LOTS)
{
    list_albums(site);
    move_route(site, 6, "albums");
    send_on(site, 1);
    site_pass_ms(site, 10);
    g_assert_cmpuint(site->asked, ==, LOTS + ALBUMS);
    for (unsigned i = 2; i <= LOTS + ALBUMS; i++) {
        deny(site, i);
    }
    /* The first of "lots" may hold it still. */
    g_assert_cmpuint(site->confirms, ==, 0);
    deny(site, 1);
    g_assert_cmpuint(site->confirms, ==, 1);
}

/* Also at a balancer that doesn't know yet that the route has moved. */
TEST_F(site, a_flow_of_a_service_that_the_route_gets_later_is_asked_for, LOTS)
{
    list_albums(site);
    send_on(site, 1);
    site_pass_ms(site, 10);
    for (unsigned i = 1; i <= LOTS; i++) {
        deny(site, i);
    }
    g_assert_cmpuint(site->confirms, ==, 0);
}

TEST_F(site, a_flow_that_is_found_keeps_its_service, LOTS)
{
    list_albums(site);
    move_route(site, 6, "albums");
    send_on(site, 1);
    site_placed(site, site_agent_addr(3), 1, 500);
    send_on(site, 1);
    g_assert_true(addr_equal(site->sent, site_agent_addr(3)));
    g_assert_cmpuint(site->frame.service, ==, hash_service("lots"));
}

/* Agents that have started beside an endpoint know nothing of its flows; only
 * the packet itself finds them. */
TEST_F(site, the_second_search_goes_to_another_service_too, LOTS)
{
    list_albums(site);
    move_route(site, 6, "albums");
    send_on(site, 1);
    for (unsigned i = 1; i <= LOTS; i++) {
        g_assert_false(site->named[i]);
    }
    send_on(site, 1);
    for (unsigned i = 1; i <= LOTS; i++) {
        g_assert_true(site->named[i]);
    }
    g_assert_cmpuint(site->frame.service, ==, hash_service("lots"));
}

TEST_F(site, a_route_that_has_long_been_the_same_is_not_looked_for_elsewhere,
       LOTS)
{
    list_albums(site);
    move_route(site, 6, "albums");
    site->now_us += SETTLED_MS * USEC_PER_MSEC;
    move_route(site, 7, "albums");
    send_on(site, 1);
    send_on(site, 1);
    for (unsigned i = 1; i <= LOTS; i++) {
        g_assert_false(site->named[i]);
    }
}

TEST_F(site, a_copy_of_a_syn_follows_its_route, LOTS)
{
    struct relay_packet syn = rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0);

    list_albums(site);
    site_arrive(site, syn);
    g_assert_cmpuint(site->frame.service, ==, hash_service("lots"));
    move_route(site, 6, "albums");
    syn.age_ms = 200;
    site_arrive(site, syn);
    g_assert_cmpuint(site->frame.service, ==, hash_service("albums"));
}

/* Each of the two may have answered; the caller says which counts. */
TEST_F(site, a_flow_that_opened_before_its_copy_moved_is_kept, LOTS)
{
    struct relay_packet syn = rig_from_caller(rig_flow(1), RELAY_SYN, 9, 0, 0);

    list_albums(site);
    site_arrive(site, syn);
    site_placed(site, site_agent_addr(2), 1, 500);
    move_route(site, 6, "albums");
    syn.age_ms = 200;
    site_arrive(site, syn);
    g_assert_cmpuint(site->frame.service, ==, hash_service("albums"));
    site_placed(site, site_agent_addr(LOTS + 1), 1, 9000000);
    send_on(site, 1);
    g_assert_true(addr_equal(site->sent, site_agent_addr(2)));
}

/* Of so many agents only those of the route's service can be asked. */
static void
list_many(struct site *site)
{
    for (unsigned i = 0; i < STEER_ASK_AGENTS_MOST; i++) {
        struct addr addr = {0x0b000000 + i, 7000};

        agents_list(&site->steer.agents, addr, hash_service("others"), "here",
                    site->now_us);
    }
    agents_listed(&site->steer.agents);
}

TEST_F(site, many_agents_are_not_asked_for_a_route_that_is_new_here, LOTS)
{
    list_many(site);
    site->steer.current = true;
    send_on(site, 1);
    site_pass_ms(site, 10);
    g_assert_cmpuint(site->asked, ==, 0);
    /* It doesn't keep the balancer busy either. */
    site_pass_ms(site, 1);
    g_assert_cmpuint(steer_lost_next_us(&site->steer), >, site->now_us);
}

TEST_F(site, of_many_agents_those_of_the_service_are_asked, LOTS)
{
    list_many(site);
    site->steer.current = true;
    site_pass_ms(site, SETTLED_MS);
    send_on(site, 1);
    site_pass_ms(site, 10);
    g_assert_cmpuint(site->asked, ==, LOTS);
}

TEST_F(site, of_many_agents_none_is_asked_by_who_may_be_behind, LOTS)
{
    list_many(site);
    site_pass_ms(site, SETTLED_MS);
    send_on(site, 1);
    site_pass_ms(site, 10);
    g_assert_cmpuint(site->asked, ==, 0);
}
