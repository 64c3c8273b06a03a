/**
 * DOC: pressure - what a balancer believes of a service's room
 *
 * Agents report the load of their endpoints with each status frame. The newest
 * report of each agent counts for a second. Pressure is the sum over the
 * agents that may take a flow: whether one of them may have room, and else how
 * long the flow would wait at the least loaded one.
 *
 * A report ages: the wait that it tells passes, flows sent since add to it. An
 * agent whose wait is over may have room, as may one that hasn't reported
 * lately. One that doesn't reply
 * is out of reach and has no say, but when most agents are silent the balancer
 * itself may be cut off, and nothing is believed.
 */
#ifndef SWIFTARCH_RELAY_OVERLOAD_PRESSURE_H
#define SWIFTARCH_RELAY_OVERLOAD_PRESSURE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "relay/wire/frame.h"

/* Maximum age of a report that counts. */
#define PRESSURE_MAX_AGE_US (1 * USEC_PER_SEC)

/* After an agent's restart its reports don't count for this time: a frame of
 * its earlier incarnation may still be on its way. */
#define PRESSURE_SETTLE_US (200 * USEC_PER_MSEC)

/**
 * struct pressure_report - newest report of one agent; all zero for none
 * @load: its load
 * @busy: requests in progress, and queued ones that can be in time
 * @slots: requests that its endpoint runs at a time
 * @sent: flows sent to it since
 * @at_us: when it arrived, 0 if none counts
 * @settled_us: reports that arrive before this don't count
 */
struct pressure_report {
    struct frame_load load;
    uint8_t busy;
    uint8_t slots;
    unsigned sent;
    uint64_t at_us;
    uint64_t settled_us;
};

/** enum pressure_reach - what a balancer knows of an agent besides its load */
enum pressure_reach {
    PRESSURE_WITHIN, /* it may be given a flow */
    PRESSURE_BEYOND, /* it doesn't reply */
    PRESSURE_OUTSIDE /* it takes no new flows: it has no say at all */
};

/**
 * struct pressure - the agents that may take a flow, taken together
 * @agents: agents that take new flows
 * @heard: of these, agents within reach whose report counts
 * @room: an agent within reach may have room
 * @wait_ms: shortest wait of a new request of the lowest priority, from now
 * @answer_ms: shortest time until it is answered, as far as agents tell the
 *     mean time of a request
 * @capacity: requests that the heard agents' endpoints take at a time
 * @busy: requests at them
 * @rejects: sum of their reports; pressure_rejects() is the mean
 * @age_us: age of the oldest report that counts
 */
struct pressure {
    unsigned agents;
    unsigned heard;
    bool room;
    unsigned wait_ms;
    unsigned answer_ms;
    unsigned capacity;
    unsigned busy;
    unsigned rejects;
    uint64_t age_us;
};

/** pressure_report_update() - an agent's frame arrived */
void
pressure_report_update(struct pressure_report *report,
                       const struct frame_health *health, uint64_t now_us);

/** pressure_report_sent() - a flow was sent to the agent */
void
pressure_report_sent(struct pressure_report *report);

/** pressure_init() - no agents yet */
void
pressure_init(struct pressure *pressure);

/** pressure_add() - add an agent */
void
pressure_add(struct pressure *pressure, const struct pressure_report *report,
             enum pressure_reach reach, uint64_t now_us);

/** pressure_rejects() - requests that endpoints didn't take, per mille */
unsigned
pressure_rejects(const struct pressure *pressure);

/** pressure_is_full() - whether no agent within reach can have room, as far as
 * enough agents have told */
bool
pressure_is_full(const struct pressure *pressure);

#endif
