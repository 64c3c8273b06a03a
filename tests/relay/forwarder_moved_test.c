#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder/forwarder_private.h"
#include "relay/forwarder_fixture.h"

#define SUITE "/relay/steer_moved"

/* Addresses that go to another service leave their open flows where they are.
 * Agents of "lots" are 1 to LOTS, those of "albums" follow. */

#define LOTS 4
#define ALBUMS 2
#define ALL 0xffffffffu

/* Longer than any flow lives. */
#define SETTLED_MS 61000

static void
list_albums(struct fixture *fixture)
{
    for (unsigned i = LOTS + 1; i <= LOTS + ALBUMS; i++) {
        agents_list(&fixture->forwarder.agents, fixture_agent_addr(i),
                    hash_service("albums"), "here", fixture->now_us);
    }
    agents_list_complete(&fixture->forwarder.agents);
}

/* A configuration in which the address of "lots" goes to @service. */
static void
move_route(struct fixture *fixture, uint64_t version, const char *service)
{
    struct routes routes;

    routes_init(&routes);
    routes.version = version;
    fixture_add_route(&routes, "198.18.0.1:443", service);
    g_assert_cmpint(routes_seal(&routes), ==, 0);
    g_assert_true(
        forwarder_routes(&fixture->forwarder, &routes, fixture->now_us));
}

/* A packet of a flow that was opened through another balancer. */
static void
send_on(struct fixture *fixture, unsigned flow)
{
    fixture_receive(fixture, fixture_from_caller(fixture_flow(flow), RELAY_ACK,
                                                 101, 501, 40));
}

static void
deny(struct fixture *fixture, unsigned agent)
{
    struct frame_query_reply frame = {.query = fixture->ask.query,
                                      .absent = {ALL}};

    forwarder_query_reply(&fixture->forwarder, fixture_agent_addr(agent),
                          &frame, fixture->now_us);
}

TEST_F(fixture, agents_of_all_services_are_asked_for_a_lost_flow, LOTS)
{
    list_albums(fixture);
    move_route(fixture, 6, "albums");
    send_on(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->asked, ==, LOTS + ALBUMS);
    for (unsigned i = 2; i <= LOTS + ALBUMS; i++) {
        deny(fixture, i);
    }
    /* The first of "lots" may hold it still. */
    g_assert_cmpuint(fixture->confirms, ==, 0);
    deny(fixture, 1);
    g_assert_cmpuint(fixture->confirms, ==, 1);
}

/* Also at a balancer that doesn't know yet that the route has moved. */
TEST_F(fixture, a_flow_of_a_service_that_the_route_gets_later_is_asked_for,
       LOTS)
{
    list_albums(fixture);
    send_on(fixture, 1);
    fixture_advance_ms(fixture, 10);
    for (unsigned i = 1; i <= LOTS; i++) {
        deny(fixture, i);
    }
    g_assert_cmpuint(fixture->confirms, ==, 0);
}

TEST_F(fixture, a_flow_that_is_found_keeps_its_service, LOTS)
{
    list_albums(fixture);
    move_route(fixture, 6, "albums");
    send_on(fixture, 1);
    fixture_established(fixture, fixture_agent_addr(3), 1, 500);
    send_on(fixture, 1);
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(3)));
    g_assert_cmpuint(fixture->frame.service, ==, hash_service("lots"));
}

/* Agents that have started beside an endpoint know nothing of its flows; only
 * the packet itself finds them. */
TEST_F(fixture, the_second_search_goes_to_another_service_too, LOTS)
{
    list_albums(fixture);
    move_route(fixture, 6, "albums");
    send_on(fixture, 1);
    for (unsigned i = 1; i <= LOTS; i++) {
        g_assert_false(fixture->named[i]);
    }
    send_on(fixture, 1);
    for (unsigned i = 1; i <= LOTS; i++) {
        g_assert_true(fixture->named[i]);
    }
    g_assert_cmpuint(fixture->frame.service, ==, hash_service("lots"));
}

TEST_F(fixture,
       a_route_that_has_long_been_the_same_is_not_looked_for_elsewhere, LOTS)
{
    list_albums(fixture);
    move_route(fixture, 6, "albums");
    fixture->now_us += SETTLED_MS * USEC_PER_MSEC;
    move_route(fixture, 7, "albums");
    send_on(fixture, 1);
    send_on(fixture, 1);
    for (unsigned i = 1; i <= LOTS; i++) {
        g_assert_false(fixture->named[i]);
    }
}

TEST_F(fixture, a_copy_of_a_syn_follows_its_route, LOTS)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0);

    list_albums(fixture);
    fixture_receive(fixture, syn);
    g_assert_cmpuint(fixture->frame.service, ==, hash_service("lots"));
    move_route(fixture, 6, "albums");
    syn.age_ms = 200;
    fixture_receive(fixture, syn);
    g_assert_cmpuint(fixture->frame.service, ==, hash_service("albums"));
}

/* Each of the two may have answered; the caller says which counts. */
TEST_F(fixture, a_flow_that_opened_before_its_copy_moved_is_kept, LOTS)
{
    struct relay_packet syn =
        fixture_from_caller(fixture_flow(1), RELAY_SYN, 9, 0, 0);

    list_albums(fixture);
    fixture_receive(fixture, syn);
    fixture_established(fixture, fixture_agent_addr(2), 1, 500);
    move_route(fixture, 6, "albums");
    syn.age_ms = 200;
    fixture_receive(fixture, syn);
    g_assert_cmpuint(fixture->frame.service, ==, hash_service("albums"));
    fixture_established(fixture, fixture_agent_addr(LOTS + 1), 1, 9000000);
    send_on(fixture, 1);
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(2)));
}

/* Of so many agents only those of the route's service can be asked. */
static void
list_many(struct fixture *fixture)
{
    for (unsigned i = 0; i < FORWARDER_QUERY_AGENTS_MAX; i++) {
        struct addr addr = {0x0b000000 + i, 7000};

        agents_list(&fixture->forwarder.agents, addr, hash_service("others"),
                    "here", fixture->now_us);
    }
    agents_list_complete(&fixture->forwarder.agents);
}

TEST_F(fixture, many_agents_are_not_asked_for_a_route_that_is_new_here, LOTS)
{
    list_many(fixture);
    fixture->forwarder.current = true;
    send_on(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->asked, ==, 0);
    /* It doesn't keep the balancer busy either. */
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(forwarder_orphans_next_us(&fixture->forwarder), >,
                     fixture->now_us);
}

TEST_F(fixture, of_many_agents_those_of_the_service_are_asked, LOTS)
{
    list_many(fixture);
    fixture->forwarder.current = true;
    fixture_advance_ms(fixture, SETTLED_MS);
    send_on(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->asked, ==, LOTS);
}

TEST_F(fixture, of_many_agents_none_is_asked_by_who_may_be_behind, LOTS)
{
    list_many(fixture);
    fixture_advance_ms(fixture, SETTLED_MS);
    send_on(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->asked, ==, 0);
}
