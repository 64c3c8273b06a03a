/**
 * DOC: program - state of the agent process
 *
 * The thread of the event loop owns all state but the flow table and the
 * counters. The stack's thread may call egress_output(), which takes
 * @flow_lock while the stack holds its core lock. The stack must therefore not
 * be called with @flow_lock held.
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

/** enum agent_stop - phase of a planned stop */
enum agent_stop {
    AGENT_RUNNING,
    AGENT_DRAINING, /* no new flows; flows end after their next response */
    AGENT_CLOSING /* drained, or drain_s has passed: flows are closed when idle
                   */
};

#define AGENT_EVENTS 8

/**
 * struct agent - state of the process
 * @stack_owner: callbacks of the stack; first member
 * @runtime: system clock
 * @clock: clock in use: @runtime, or a manual clock in tests
 * @flow_lock: protects @flows
 * @self: own member id
 * @service: configuration of the announced service; id 0 without one
 * @service_known: the current configuration has that service
 * @addresses: retired addresses of the service, while @service_known
 * @view_seq: sequence number of the view last passed to the modules
 * @text_version: version of the configuration last passed to the engine
 * @listening: address the stack listens on; port 0 for none
 * @stop: phase of a planned stop
 * @stop_until_us: end of the current phase
 * @hard_stop: a second signal was received
 * @ticked_us: time of the last tick
 * @paused_from_us: last tick before a pause of the process, until the next
 *                  tick; 0 otherwise
 * @events: timers, signals and the stack's descriptor
 * @metrics: handles of the exported metrics
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

/** agent_now() - monotonic time in microseconds */
static inline uint64_t
agent_now(struct agent *agent)
{
    return clock_now_us(agent->clock);
}

/**
 * agent_was_paused() - record a tick; whether the process was paused before it
 *
 * The caller skips the tick after a pause: data that arrived during the pause
 * is read before deadlines are checked, as it may have the awaited response.
 */
bool
agent_was_paused(struct agent *agent);

/**
 * agent_arrival_us() - earliest arrival time of data that is read now
 *
 * After a pause of the process this is the last tick before it, otherwise the
 * current time. A deadline counted from it is never too late.
 */
uint64_t
agent_arrival_us(struct agent *agent);

/** agent_address() - kind of an address for the local service, by the current
 * configuration */
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

/** agent_accepts() - whether the agent takes new flows and requests */
bool
agent_accepts(const struct agent *agent);

/** agent_refresh() - pass a new view or configuration to the modules */
void
agent_refresh(struct agent *agent);

/** agent_upstream_changed() - pass a change of the upstream, or the start of a
 * planned stop, to the modules */
void
agent_upstream_changed(struct agent *agent);

/** agent_publish_load() - publish busy slots and waiting requests on the
 * blackboard */
void
agent_publish_load(struct agent *agent);

/** agent_stop_begin() - begin a planned stop, or exit at once during one */
void
agent_stop_begin(struct agent *agent);

/** agent_stop_tick() - advance a planned stop; called every 10 ms */
void
agent_stop_tick(struct agent *agent);

#endif
