/**
 * DOC: gauges - figures that the parts keep for themselves, for readers
 *
 * Gauges rise and fall; tallies only grow. Both are copied to the counter
 * table once a second and before it is read.
 */
#ifndef SWIFTARCH_AGENT_GAUGES_H
#define SWIFTARCH_AGENT_GAUGES_H

#include <stdint.h>

#include "request/engine.h"

struct agent;

/** enum gauge - one each */
enum gauge {
    GAUGE_FLOWS,
    GAUGE_EMBRYOS,
    GAUGE_BUSY,
    GAUGE_WAITING,
    GAUGE_BACKLOG,
    GAUGE_RSS,
    GAUGES
};

/** enum tally - one each */
enum tally {
    TALLY_FLOWS_OPENED,
    TALLY_FLOWS_REFUSED,
    TALLY_FLOWS_RESET,
    TALLY_FLOWS_SLOW,
    TALLY_BAD_REQUESTS,
    TALLY_ARRIVED,
    TALLY_RETRIED,
    TALLY_DECLINED,
    TALLY_DISPLACED,
    TALLY_DROPPED,
    TALLY_PEER_STATUS, /* then one for each engine_peer_type */
    TALLIES = TALLY_PEER_STATUS + ENGINE_PEER_TYPES
};

/**
 * struct gauges - counter handles
 * @handles: of the gauges
 * @tallies: of the tallies
 * @told: what each tally showed last
 */
struct gauges {
    int handles[GAUGES];
    int tallies[TALLIES];
    uint64_t told[TALLIES];
};

/** gauges_register() - register them; before any thread */
void
gauges_register(struct agent *agent);

/** gauges_set() - bring them up to date, before they are read */
void
gauges_set(struct agent *agent);

#endif
