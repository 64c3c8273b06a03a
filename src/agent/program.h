/**
 * DOC: program - the parts of the running agent, and who owns what
 *
 * One thread with a libevent loop owns everything here but the flow table
 * and the counters. The stack's own thread may call egress_output(), which
 * takes @flow_lock; the lock is a leaf under the stack's core lock, so the
 * stack is never called while it is held.
 */
#ifndef SWIFTARCH_AGENT_PROGRAM_H
#define SWIFTARCH_AGENT_PROGRAM_H

#include <event2/event.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "agent/addresses.h"
#include "agent/backend.h"
#include "agent/datagram.h"
#include "agent/frontend.h"
#include "agent/metrics.h"
#include "agent/ingress.h"
#include "agent/orphan_notifier.h"
#include "agent/peer_links.h"
#include "agent/requests.h"
#include "agent/upstream.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/httpd.h"
#include "base/settings.h"
#include "base/trace.h"
#include "control/blackboard.h"
#include "control/control.h"
#include "flow/flow.h"
#include "stack/stack.h"
#include "service_config/service_config.h"

/** enum agent_stop - how far a planned stop has come */
enum agent_stop {
    AGENT_RUNNING,
    AGENT_DRAINING, /* no new flow; flows end after their next answer */
    AGENT_CLOSING   /* drain_s is over: FIN between requests */
};

#define AGENT_EVENTS 8

/**
 * struct agent - the whole program
 * @stack_owner: what the stack calls; first member
 * @runtime: the clock of programs
 * @clock: the clock in use; tests put a paused one here
 * @self: own member id
 * @service: the text's entry of the announced service; id 0 without one
 * @service_known: the text in force has that service
 * @view_seq: view last handed to the cores
 * @text_version: text last handed to the engine
 * @addresses: of the service before, while @service_known
 * @listening: address the stack listens on, port 0: none
 * @stop: planned stop
 * @stop_until_us: end of the present step of the stop
 * @hard_stop: a second signal came
 * @ticked_us: last tick
 * @paused_from_us: the tick before the process stood still, until the next
 *                  tick; 0 otherwise
 * @events: timers, signals and the stack's descriptor
 * @metrics: figures on /metrics
 */
struct agent {
    struct stack_owner stack_owner;
    struct settings settings;
    struct clock runtime;
    struct clock *clock;
    struct counter_table counters;
    struct trace trace;
    struct blackboard blackboard;
    struct control *control;
    struct event_base *base;
    struct stack *stack;
    pthread_mutex_t flow_lock;
    struct flow_table *flows;
    struct frontend frontend;
    struct backend backend;
    struct requests requests;
    struct peer_links links;
    struct upstream upstream;
    struct ingress ingress;
    struct datagrams datagrams;
    struct orphan_notifier orphan_notifier;
    uint64_t self;
    struct service_config_entry service;
    bool service_known;
    struct addresses addresses;
    uint64_t view_seq;
    uint64_t text_version;
    struct addr listening;
    enum agent_stop stop;
    uint64_t stop_until_us;
    bool hard_stop;
    uint64_t ticked_us;
    uint64_t paused_from_us;
    struct event *events[AGENT_EVENTS];
    struct metrics metrics;
};

/** agent_now() - monotonic time, microseconds */
static inline uint64_t
agent_now(struct agent *agent)
{
    return clock_now_us(agent->clock);
}

/**
 * agent_was_paused() - note a tick; whether the process stood still before
 *
 * What arrived during a pause is read before any deadline is judged, for an
 * answer may be among it: such a tick does nothing else.
 */
bool
agent_was_paused(struct agent *agent);

/**
 * agent_arrival_us() - since when bytes read now may have waited
 *
 * Now, or the last time the process ran when it has stood still: a deadline
 * counted from then is never too generous.
 */
uint64_t
agent_arrival_us(struct agent *agent);

/** agent_address() - what an address is to the service served here, by the
 * text in force */
static inline enum flow_address
agent_address(const struct agent *agent, uint32_t ip, uint16_t port,
              uint8_t proto)
{
    if (!agent->service_known) {
        return FLOW_ADDRESS_NONE;
    }
    return addresses_find(&agent->addresses, &agent->service, ip, port, proto,
                          (uint64_t)g_get_real_time() / USEC_PER_MSEC);
}

/** agent_accepts() - whether new flows and new work are taken here */
bool
agent_accepts(const struct agent *agent);

/** agent_refresh() - hand a changed view, text or upstream to the cores */
void
agent_refresh(struct agent *agent);

/** agent_upstream_changed() - the upstream's announcement changed */
void
agent_upstream_changed(struct agent *agent);

/** agent_publish_load() - put slots busy and requests waiting on the
 * blackboard
 */
void
agent_publish_load(struct agent *agent);

/** agent_stop_begin() - a planned stop, or the end at once if one runs */
void
agent_stop_begin(struct agent *agent);

/** agent_stop_tick() - go on with a planned stop; every 10 ms */
void
agent_stop_tick(struct agent *agent);

#endif
