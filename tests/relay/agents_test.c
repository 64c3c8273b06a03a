#include "base/clock.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "relay/forwarder/agents.h"
#include "relay/relay_fixture.h"

/* A balancer's table of agents: what the store's list and agents' own reports
 * say of one address. */
#define SUITE "/relay/agents"

#define NOW_US (10 * USEC_PER_SEC)

static const struct region_affinity anywhere;

/* Agents that a new flow of @service may go to. */
static unsigned
count_for_new(const struct agents *agents, const char *service)
{
    struct agents_choice choice;

    agents_for_new(agents, hash_service(service), &anywhere, 7, NOW_US,
                   &choice);
    return choice.count;
}

static void
report(struct agents *agents, struct addr agent, const char *service)
{
    struct frame_health health = {
        .service = hash_service(service), .state = ENDPOINT_READY, .slots = 2};

    agents_update_health(agents, agent, &health, NOW_US);
}

/* An agent's address has moved to another host: its report and the list name
 * different services, and either may be outdated. Neither service's flows go
 * there until they agree. */
TEST(an_agent_whose_service_differs_from_the_list_gets_no_flow)
{
    struct addr agent = fixture_addr("10.0.0.1:7000");
    struct agents agents;

    agents_init(&agents, "north");
    agents_list(&agents, agent, hash_service("desk"), "north", NOW_US);
    agents_list_complete(&agents);
    report(&agents, agent, "desk");
    g_assert_cmpuint(count_for_new(&agents, "desk"), ==, 1);
    report(&agents, agent, "report");
    g_assert_cmpuint(count_for_new(&agents, "desk"), ==, 0);
    g_assert_cmpuint(count_for_new(&agents, "report"), ==, 0);
    report(&agents, agent, "desk");
    g_assert_cmpuint(count_for_new(&agents, "desk"), ==, 1);
    agents_finish(&agents);
}

/* Without a whole list an agent's own report counts. */
TEST(an_agent_reports_its_service_while_the_list_is_incomplete)
{
    struct addr agent = fixture_addr("10.0.0.1:7000");
    struct agents agents;

    agents_init(&agents, "north");
    agents_list(&agents, agent, hash_service("desk"), "north", NOW_US);
    report(&agents, agent, "report");
    g_assert_cmpuint(count_for_new(&agents, "desk"), ==, 0);
    g_assert_cmpuint(count_for_new(&agents, "report"), ==, 1);
    agents_finish(&agents);
}
