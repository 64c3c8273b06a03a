#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/program.h"
#include "base/log.h"

/* After drain_s, requests in progress still get this long. */
#define CLOSING_US (10 * USEC_PER_SEC)
/* Lets last segments and messages go out before the end. */
#define LAST_WORDS_US (200 * USEC_PER_MSEC)

static void
end_loop(struct agent *agent)
{
    event_base_loopbreak(agent->base);
}

void
agent_stop_begin(struct agent *agent)
{
    if (agent->stop != AGENT_RUNNING) {
        g_warning("Stopping at once.");
        agent->hard_stop = true;
        end_loop(agent);
        return;
    }
    g_message("A planned stop has begun: %zu flows are open.",
              front_count(&agent->front));
    agent->stop = AGENT_DRAINING;
    agent->stop_until_us =
        agent_now(agent) + agent->settings.drain_s * USEC_PER_SEC;
    agent->front.stopping = true;
    agent_upstream_changed(agent);
}

static bool
is_idle(const struct agent *agent)
{
    const struct engine *engine = agent->requests.engine;

    return front_count(&agent->front) == 0 &&
           engine_open_requests(engine) == 0 && engine_busy(engine) == 0;
}

/* Nothing in progress, and the records of keys are held by others too. */
static bool
is_done(const struct agent *agent)
{
    return is_idle(agent) &&
           engine_unacked_records(agent->requests.engine) == 0;
}

static void
begin_closing(struct agent *agent, uint64_t now_us)
{
    agent->stop = AGENT_CLOSING;
    agent->stop_until_us = now_us + CLOSING_US;
    engine_stop(agent->requests.engine, now_us, &agent->requests.out);
    requests_act(agent);
}

void
agent_stop_tick(struct agent *agent)
{
    uint64_t now_us = agent_now(agent);

    if (agent->stop == AGENT_RUNNING) {
        return;
    }
    if (agent->stop == AGENT_DRAINING &&
        (is_idle(agent) || now_us >= agent->stop_until_us)) {
        begin_closing(agent, now_us);
    }
    if (agent->stop == AGENT_CLOSING) {
        front_close_idle(&agent->front);
        if (is_done(agent) && agent->stop_until_us > now_us + LAST_WORDS_US) {
            agent->stop_until_us = now_us + LAST_WORDS_US;
        }
        if (now_us >= agent->stop_until_us) {
            end_loop(agent);
        }
    }
}
