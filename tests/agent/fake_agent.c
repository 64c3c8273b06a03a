#include "tests/agent/fake_agent.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "lib/sample.h"

static void
set_service(struct agent *agent, uint64_t now_us, unsigned deadline_ms)
{
    g_autofree char *source = g_strdup_printf(
        "{\"services\":[{\"name\":\"lots\",\"address\":\"10.0.0.1\","
        "\"port\":80,\"protocol\":\"tcp\",\"class\":\"urgent\","
        "\"limits\":{\"deadline_ms\":%u}}]}",
        deadline_ms);
    struct engine *engine = agent->requests.engine;
    struct view *view = sample_pair("self", FAKE_AGENT_PEER, "lots");
    struct service_config *config = sample_parse(source);

    engine_set_view(engine, view, now_us, &agent->requests.out);
    requests_execute_actions(agent);
    agent->service = *service_config_find_name(config, "lots");
    agent->service_known = true;
    engine_set_text(engine, config, now_us, &agent->requests.out);
    requests_execute_actions(agent);
    engine_set_upstream(engine, hash_service("lots"), 2, true, now_us,
                        &agent->requests.out);
    requests_execute_actions(agent);
    free(view);
    service_config_free(config);
}

void
fake_agent_init(struct agent *agent, struct clock_manual *clock, uint64_t seed,
                unsigned deadline_ms)
{
    clock_manual_init(clock, FAKE_AGENT_START_US);
    agent->clock = &clock->base;
    agent->ticked_us = FAKE_AGENT_START_US;
    agent->self = hash_name("self");
    agent->trace.fd = -1;
    agent->upstream.service = hash_service("lots");
    counter_table_init(&agent->counters);
    requests_register(agent);
    g_assert_cmpint(requests_init(agent, seed), ==, 0);
    backend_init(&agent->backend, NULL, &agent->requests.backend_owner);
    frontend_init(&agent->frontend, &agent->requests.frontend_owner, "self");
    agent->frontend.limits =
        (struct frontend_limits){10, 10, 1024, 3600 * USEC_PER_SEC};
    set_service(agent, FAKE_AGENT_START_US, deadline_ms);
}

void
fake_agent_finish(struct agent *agent)
{
    requests_finish(agent);
    frontend_finish(&agent->frontend);
    counter_table_finish(&agent->counters);
}

GByteArray *
fake_agent_answer(const char *body)
{
    GByteArray *answer = g_byte_array_new();
    g_autofree char *message =
        g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu"
                        "\r\n\r\n%s",
                        strlen(body), body);

    g_byte_array_append(answer, (guint8 *)message, (guint)strlen(message));
    return answer;
}
