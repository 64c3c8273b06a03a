/**
 * DOC: metrics - exports the state of the agent's modules to the counter table
 *
 * Gauges may fall, counters only grow. Both are copied from the modules once a
 * second and before each read of /metrics.
 */
#ifndef SWIFTARCH_AGENT_METRICS_H
#define SWIFTARCH_AGENT_METRICS_H

#include <stdint.h>

#include "request/engine.h"

struct agent;

/** enum gauge - exported gauges */
enum gauge {
    GAUGE_FLOWS,
    GAUGE_HALF_OPEN,
    GAUGE_BUSY,
    GAUGE_WAITING,
    GAUGE_BACKLOG,
    GAUGE_RSS,
    GAUGES
};

/** enum metric_counter - exported counters */
enum metric_counter {
    METRIC_FLOWS_OPENED,
    METRIC_FLOWS_REFUSED,
    METRIC_FLOWS_RESET,
    METRIC_FLOWS_SLOW,
    METRIC_BAD_REQUESTS,
    METRIC_ARRIVED,
    METRIC_RETRIED,
    METRIC_DECLINED,
    METRIC_DISPLACED,
    METRIC_DROPPED,
    METRIC_PEER_STATUS, /* first of one for each engine_peer_type */
    METRIC_COUNTERS = METRIC_PEER_STATUS + ENGINE_PEER_TYPES
};

/**
 * struct metrics - handles in the counter table
 * @handles: handles of the gauges, by enum gauge
 * @counter_handles: handles of the counters, by enum metric_counter
 * @reported: last exported value of each metric_counter
 */
struct metrics {
    int handles[GAUGES];
    int counter_handles[METRIC_COUNTERS];
    uint64_t reported[METRIC_COUNTERS];
};

/** metrics_register() - register all metrics; called before any thread starts
 */
void
metrics_register(struct agent *agent);

/** metrics_update() - copy the current values to the counter table */
void
metrics_update(struct agent *agent);

#endif
