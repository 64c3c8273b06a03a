/**
 * DOC: metrics - figures that the parts keep for themselves, for readers
 *
 * Gauges rise and fall; counter_handles only grow. Both are copied to the
 * counter table once a second and before it is read.
 */
#ifndef SWIFTARCH_AGENT_METRICS_H
#define SWIFTARCH_AGENT_METRICS_H

#include <stdint.h>

#include "request/engine.h"

struct agent;

/** enum gauge - one each */
enum gauge {
    GAUGE_FLOWS,
    GAUGE_HALF_OPEN,
    GAUGE_BUSY,
    GAUGE_WAITING,
    GAUGE_BACKLOG,
    GAUGE_RSS,
    GAUGES
};

/** enum metric_counter - one each */
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
    METRIC_PEER_STATUS, /* then one for each engine_peer_type */
    METRIC_COUNTERS = METRIC_PEER_STATUS + ENGINE_PEER_TYPES
};

/**
 * struct metrics - counter handles
 * @handles: of the metrics
 * @counter_handles: of the counter_handles
 * @reported: what each metric_counter showed last
 */
struct metrics {
    int handles[GAUGES];
    int counter_handles[METRIC_COUNTERS];
    uint64_t reported[METRIC_COUNTERS];
};

/** metrics_register() - register them; before any thread */
void
metrics_register(struct agent *agent);

/** metrics_update() - bring them up to date, before they are read */
void
metrics_update(struct agent *agent);

#endif
