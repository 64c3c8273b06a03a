#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder/forwarder_private.h"
#include "relay/forwarder_fixture.h"

#define SUITE "/relay/forwarder_moved"

/* Guards against breaking established flows whose address has moved to another
 * service. Agents 1 to LOTS serve "lots", the next ones "albums". */

#define LOTS 4
#define ALBUMS 2
#define ALL 0xffffffffu

/* Longer than the maximum lifetime of a flow. */
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

/* Installs a configuration in which the address of "lots" belongs to
 * @service. */
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

/* Sends a packet of a flow that was opened through another balancer. */
static void
send_established(struct fixture *fixture, unsigned flow)
{
    fixture_receive(fixture, fixture_from_caller(fixture_flow(flow), RELAY_ACK,
                                                 101, 501, 40));
}

static void
reply_absent(struct fixture *fixture, unsigned agent)
{
    struct frame_query_reply frame = {.query = fixture->query.query,
                                      .absent = {ALL}};

    forwarder_query_reply(&fixture->forwarder, fixture_agent_addr(agent),
                          &frame, fixture->now_us);
}

TEST_F(fixture, agents_of_all_services_are_queried_for_an_orphan, LOTS)
{
    list_albums(fixture);
    move_route(fixture, 6, "albums");
    send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, LOTS + ALBUMS);
    for (unsigned i = 2; i <= LOTS + ALBUMS; i++) {
        reply_absent(fixture, i);
    }
    /* The first agent of "lots" may still hold it. */
    g_assert_cmpuint(fixture->confirms, ==, 0);
    reply_absent(fixture, 1);
    g_assert_cmpuint(fixture->confirms, ==, 1);
}

/* The route may have moved without this balancer's knowledge. */
TEST_F(fixture, all_services_are_queried_with_an_older_configuration, LOTS)
{
    list_albums(fixture);
    send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    for (unsigned i = 1; i <= LOTS; i++) {
        reply_absent(fixture, i);
    }
    g_assert_cmpuint(fixture->confirms, ==, 0);
}

TEST_F(fixture, a_found_flow_keeps_its_service, LOTS)
{
    list_albums(fixture);
    move_route(fixture, 6, "albums");
    send_established(fixture, 1);
    fixture_established(fixture, fixture_agent_addr(3), 1, 500);
    send_established(fixture, 1);
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(3)));
    g_assert_cmpuint(fixture->frame.service, ==, hash_service("lots"));
}

/* Agents that have restarted don't track their endpoints' flows; only packets
 * find these. */
TEST_F(fixture, the_second_lookup_includes_another_service, LOTS)
{
    list_albums(fixture);
    move_route(fixture, 6, "albums");
    send_established(fixture, 1);
    for (unsigned i = 1; i <= LOTS; i++) {
        g_assert_false(fixture->named[i]);
    }
    send_established(fixture, 1);
    for (unsigned i = 1; i <= LOTS; i++) {
        g_assert_true(fixture->named[i]);
    }
    g_assert_cmpuint(fixture->frame.service, ==, hash_service("lots"));
}

TEST_F(fixture, a_settled_route_is_not_looked_up_in_other_services, LOTS)
{
    list_albums(fixture);
    move_route(fixture, 6, "albums");
    fixture->now_us += SETTLED_MS * USEC_PER_MSEC;
    move_route(fixture, 7, "albums");
    send_established(fixture, 1);
    send_established(fixture, 1);
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

/* Both endpoints may accept; the caller's acknowledgement selects one. */
TEST_F(fixture, a_flow_accepted_before_its_route_moved_is_kept, LOTS)
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
    send_established(fixture, 1);
    g_assert_true(addr_equal(fixture->sent, fixture_agent_addr(2)));
}

/* With so many agents only those of the route's service are queried. */
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

TEST_F(fixture, many_agents_are_not_queried_for_an_unsettled_route, LOTS)
{
    list_many(fixture);
    fixture->forwarder.current = true;
    send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, 0);
    /* Nor does it keep the balancer busy. */
    fixture_advance_ms(fixture, 1);
    g_assert_cmpuint(forwarder_orphans_next_us(&fixture->forwarder), >,
                     fixture->now_us);
}

TEST_F(fixture, of_many_agents_those_of_the_service_are_queried, LOTS)
{
    list_many(fixture);
    fixture->forwarder.current = true;
    fixture_advance_ms(fixture, SETTLED_MS);
    send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, LOTS);
}

TEST_F(fixture, many_agents_are_not_queried_with_an_outdated_configuration,
       LOTS)
{
    list_many(fixture);
    fixture_advance_ms(fixture, SETTLED_MS);
    send_established(fixture, 1);
    fixture_advance_ms(fixture, 10);
    g_assert_cmpuint(fixture->queries, ==, 0);
}
