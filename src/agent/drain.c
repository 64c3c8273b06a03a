#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/program.h"
#include "base/log.h"

/* Time for requests in progress to end after drain_s. */
#define CLOSE_GRACE_US (10 * USEC_PER_SEC)
/* Time to send the last segments and messages before the exit. */
#define FINAL_FLUSH_US (200 * USEC_PER_MSEC)

static void
end_loop(struct agent *agent)
{
    event_base_loopbreak(agent->base);
}

void
agent_stop_begin(struct agent *agent)
{
    if (agent->stop != AGENT_RUNNING) {
        g_warning("Second signal: stopping without draining.");
        agent->hard_stop = true;
        end_loop(agent);
        return;
    }
    g_message("Planned stop: draining %zu open flows.",
              frontend_count(&agent->frontend));
    agent->stop = AGENT_DRAINING;
    agent->stop_until_us =
        agent_now(agent) + agent->settings.drain_s * USEC_PER_SEC;
    agent->frontend.stopping = true;
    agent_upstream_changed(agent);
}

static bool
is_idle(const struct agent *agent)
{
    const struct engine *engine = agent->requests.engine;

    return frontend_count(&agent->frontend) == 0 &&
           engine_open_requests(engine) == 0 && engine_busy(engine) == 0;
}

/* Idle, and other agents have acknowledged all idempotency records. */
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
    agent->stop_until_us = now_us + CLOSE_GRACE_US;
    engine_stop(agent->requests.engine, now_us, &agent->requests.out);
    requests_execute_actions(agent);
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
        frontend_close_idle(&agent->frontend);
        if (is_done(agent) && agent->stop_until_us > now_us + FINAL_FLUSH_US) {
            agent->stop_until_us = now_us + FINAL_FLUSH_US;
        }
        if (now_us >= agent->stop_until_us) {
            end_loop(agent);
        }
    }
}
