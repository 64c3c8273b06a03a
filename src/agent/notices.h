/**
 * DOC: notices - tells callers of other hosts' deaths, see src/orphans
 *
 * Hands flows and views to the core, sends its messages over the peer
 * links and its probes to the fabric. From the event loop only.
 */
#ifndef SWIFTARCH_AGENT_NOTICES_H
#define SWIFTARCH_AGENT_NOTICES_H

#include <stdbool.h>
#include <stdint.h>

#include "control/view.h"
#include "orphans/orphans.h"
#include "stack/stack.h"

struct agent;
struct peer_wire;

/**
 * struct notices - the core and its counters
 * @core: decides
 * @batches: counter handle, batches sent to backups
 * @probes: counter handle, callers probed
 * @held: gauge handle, flows held for others
 * @refused: gauge handle, flows and owners there was no room for
 */
struct notices {
    struct orphans core;
    int batches;
    int probes;
    int held;
    int refused;
};

/** notices_register() - register the counters; before any thread */
void
notices_register(struct agent *agent);

/** notices_init() - begin without flows */
void
notices_init(struct agent *agent);

/** notices_finish() - free what is held */
void
notices_finish(struct agent *agent);

/** notices_set_view() - another view is in force */
void
notices_set_view(struct agent *agent, const struct view *view);

/** notices_flow() - an own flow was established or ended */
void
notices_flow(struct agent *agent, const struct stack_conn *conn, bool open);

/** notices_receive() - a message of peer @from */
void
notices_receive(struct agent *agent, uint64_t from,
                const struct peer_wire *wire);

/** notices_tick() - send what is due; every 10 ms */
void
notices_tick(struct agent *agent);

/** notices_set_gauges() - bring the gauges up to date */
void
notices_set_gauges(struct agent *agent);

#endif
