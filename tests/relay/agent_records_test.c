#include <event2/event.h>

#include "lib/harness.h"
#include "relay/program/relay_agent_private.h"
#include "relay/relay_fixture.h"

#define SUITE "/relay/agent_records"

/**
 * struct fixture - an agent with no more than the record of open flows
 * @agent: the agent
 * @metrics: its metrics of the record
 * @state: its state of the record
 */
struct fixture {
    struct relay_agent agent;
    GString *metrics;
    struct json_object *state;
};

static void
fixture_init(struct fixture *fixture)
{
    fixture->agent.loop.base = event_base_new();
    fixture->agent.settings.store = fixture_addr("127.0.0.1:9");
    fixture->metrics = g_string_new(NULL);
    fixture->state = json_object_new_object();
}

static void
fixture_finish(struct fixture *fixture)
{
    relay_agent_records_finish(&fixture->agent);
    json_object_put(fixture->state);
    g_string_free(fixture->metrics, TRUE);
    event_base_free(fixture->agent.loop.base);
}

static void
start(struct fixture *fixture, bool flow_records)
{
    fixture->agent.settings.flow_records = flow_records;
    g_assert_cmpint(relay_agent_records_start(&fixture->agent, 1), ==, 0);
    relay_agent_records_metrics(&fixture->agent, fixture->metrics);
    relay_agent_records_state(&fixture->agent, fixture->state);
}

TEST_F(fixture, without_the_setting_no_call_is_made_and_nothing_is_shown)
{
    start(fixture, false);
    /* No connection to the store, and no tick that could use one. */
    g_assert_null(fixture->agent.records);
    fixture->agent.registration.step = REGISTRATION_DONE;
    g_assert_cmpuint(relay_agent_records_tick(&fixture->agent, 2), ==,
                     UINT64_MAX);
    g_assert_null(fixture->agent.records);
    g_assert_cmpstr(fixture->metrics->str, ==, "");
    g_assert_cmpint(json_object_object_length(fixture->state), ==, 0);
}

TEST_F(fixture, with_the_setting_the_record_is_shown)
{
    start(fixture, true);
    g_assert_nonnull(fixture->agent.records);
    g_assert_nonnull(
        strstr(fixture->metrics->str, "swiftarch_flow_records_total"));
    g_assert_nonnull(
        strstr(fixture->metrics->str, "swiftarch_unrecorded_flows 0\n"));
    g_assert_cmpint(json_object_object_length(fixture->state), ==, 2);
}
