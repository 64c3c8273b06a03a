/**
 * DOC: gauges - figures of the agent that rise and fall
 */
#ifndef SWIFTARCH_AGENT_GAUGES_H
#define SWIFTARCH_AGENT_GAUGES_H

struct agent;

/** enum gauge - one each */
enum gauge {
    GAUGE_FLOWS,
    GAUGE_EMBRYOS,
    GAUGE_BUSY,
    GAUGE_WAITING,
    GAUGE_BACKLOG,
    GAUGE_REFUSED,
    GAUGE_BAD,
    GAUGE_SLOW,
    GAUGE_RSS,
    GAUGES
};

/** struct gauges - counter handles */
struct gauges {
    int handles[GAUGES];
};

/** gauges_register() - register them; before any thread */
void
gauges_register(struct agent *agent);

/** gauges_set() - bring them up to date, before they are read */
void
gauges_set(struct agent *agent);

#endif
