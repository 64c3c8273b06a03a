/**
 * DOC: orphan_notifier - tells callers of other hosts' deaths, see src/orphans
 *
 * Hands flows and views to the core, sends its messages over the peer
 * links and its probes to the fabric. From the event loop only.
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
 * struct orphan_notifier - the core and its counters
 * @core: decides
 * @batches: counter handle, batches sent to backups
 * @probes: counter handle, callers probed
 * @replicated_flows: gauge handle, flows replicated_flows for others
 * @refused: gauge handle, flows and owners there was no room for
 */
struct orphan_notifier {
    struct orphans core;
    int batches;
    int probes;
    int replicated_flows;
    int refused;
};

/** orphan_notifier_register() - register the counters; before any thread */
void
orphan_notifier_register(struct agent *agent);

/** orphan_notifier_init() - begin without flows */
void
orphan_notifier_init(struct agent *agent);

/** orphan_notifier_finish() - free what is replicated_flows */
void
orphan_notifier_finish(struct agent *agent);

/** orphan_notifier_set_view() - another view is in force */
void
orphan_notifier_set_view(struct agent *agent, const struct view *view);

/** orphan_notifier_flow() - an own flow was established or ended */
void
orphan_notifier_flow(struct agent *agent, const struct stack_conn *conn,
                     bool open);

/** orphan_notifier_receive() - a message of peer @from */
void
orphan_notifier_receive(struct agent *agent, uint64_t from,
                        const struct peer_wire *wire);

/** orphan_notifier_tick() - send what is due; every 10 ms */
void
orphan_notifier_tick(struct agent *agent);

/** orphan_notifier_set_gauges() - bring the gauges up to date */
void
orphan_notifier_set_gauges(struct agent *agent);

#endif
