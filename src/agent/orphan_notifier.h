/**
 * DOC: orphan_notifier - connects src/orphans to the agent
 *
 * Passes flows, views and peer messages to the core, sends its messages over
 * the peer links and its probes to the fabric. Called from the event loop
 * only.
 */
#ifndef SWIFTARCH_AGENT_ORPHAN_NOTIFIER_H
#define SWIFTARCH_AGENT_ORPHAN_NOTIFIER_H

#include <stdbool.h>
#include <stdint.h>

#include "control/view.h"
#include "orphans/orphans.h"
#include "stack/stack.h"

struct agent;
struct peer_wire;

/**
 * struct orphan_notifier - core of src/orphans and its counters
 * @core: state as an owner and as a backup
 * @batches: counter handle, messages sent to backups
 * @probes: counter handle, probes sent to callers
 * @replicated_flows: gauge handle, flows stored for other agents
 * @refused: gauge handle, flows and owners refused because of the limits
 */
struct orphan_notifier {
    struct orphans core;
    int batches;
    int probes;
    int replicated_flows;
    int refused;
};

/** orphan_notifier_register() - register the counters; called before any
 * thread starts */
void
orphan_notifier_register(struct agent *agent);

/** orphan_notifier_init() - start without flows */
void
orphan_notifier_init(struct agent *agent);

/** orphan_notifier_finish() - free all memory */
void
orphan_notifier_finish(struct agent *agent);

/** orphan_notifier_set_view() - pass a new view to the core */
void
orphan_notifier_set_view(struct agent *agent, const struct view *view);

/** orphan_notifier_flow() - record that a local flow was established (@open)
 * or closed */
void
orphan_notifier_flow(struct agent *agent, const struct stack_conn *conn,
                     bool open);

/** orphan_notifier_receive() - handle a message of peer @from; replies if
 * needed */
void
orphan_notifier_receive(struct agent *agent, uint64_t from,
                        const struct peer_wire *wire);

/** orphan_notifier_tick() - send due messages and probes; called every 10 ms
 */
void
orphan_notifier_tick(struct agent *agent);

/** orphan_notifier_set_gauges() - copy current values to the gauges */
void
orphan_notifier_set_gauges(struct agent *agent);

#endif
