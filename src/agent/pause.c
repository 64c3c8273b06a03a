#include "agent/program.h"

/* A longer gap between two ticks (every 10 ms) counts as a pause of the
 * process. */
#define PAUSE_MIN_US (100 * USEC_PER_MSEC)

bool
agent_was_paused(struct agent *agent)
{
    uint64_t now_us = agent_now(agent);
    uint64_t before_us = agent->ticked_us;

    agent->ticked_us = now_us;
    agent->paused_from_us = now_us - before_us > PAUSE_MIN_US ? before_us : 0;
    return agent->paused_from_us != 0;
}

uint64_t
agent_arrival_us(struct agent *agent)
{
    uint64_t now_us = agent_now(agent);

    if (agent->paused_from_us != 0) {
        return agent->paused_from_us;
    }
    return now_us - agent->ticked_us > PAUSE_MIN_US ? agent->ticked_us
                                                    : now_us;
}
