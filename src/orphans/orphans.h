/**
 * DOC: orphans - resets waiting callers when the host of their flows dies
 *
 * A packet of a flow without an owner is answered with a reset, but a caller
 * that waits for its response sends none. Each agent (owner) therefore reports
 * the addresses of its callers to two others (backups). When the owner dies,
 * a backup sends each caller a segment that it has to acknowledge. The
 * acknowledgement is reset like any packet of an orphaned flow; a live owner
 * takes it, and its flow is unchanged.
 *
 * Does no I/O: takes events and the time, returns messages and probes.
 */
#ifndef SWIFTARCH_ORPHANS_ORPHANS_H
#define SWIFTARCH_ORPHANS_ORPHANS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control/view.h"
#include "orphans/backup.h"
#include "orphans/message.h"
#include "orphans/owner.h"

/** struct orphans - an agent's state as an owner and as a backup */
struct orphans {
    struct owner owner;
    struct backup backup;
};

/**
 * orphan_init() - start without flows
 * @boot: not 0, greater with each start of the process, for example the wall
 * clock in microseconds
 */
void
orphan_init(struct orphans *orphans, uint64_t boot);

/** orphan_finish() - free all memory */
void
orphan_finish(struct orphans *orphans);

/** orphan_set_view() - choose backups and find dead owners in a new view */
void
orphan_set_view(struct orphans *orphans, const struct view *view,
                uint64_t now_us);

/** orphan_flow_opened() - add an established flow; see owner_flow_opened() */
int
orphan_flow_opened(struct orphans *orphans, struct addr caller,
                   struct addr service);

/** orphan_flow_closed() - remove a flow that has ended */
void
orphan_flow_closed(struct orphans *orphans, struct addr caller,
                   struct addr service);

/** orphan_next_message() - write the next message to send to @to; call until
 * false */
bool
orphan_next_message(struct orphans *orphans, uint64_t now_us, uint64_t *to,
                    struct orphan_message *message);

/**
 * orphan_receive() - handle a message from agent @from
 * @view: current view
 *
 * Return: whether to send @reply back.
 */
bool
orphan_receive(struct orphans *orphans, const struct view *view, uint64_t from,
               const struct orphan_message *message, uint64_t now_us,
               struct orphan_message *reply);

/** orphan_next_probes() - write the callers to probe now; see backup_probes()
 */
size_t
orphan_next_probes(struct orphans *orphans, uint64_t now_us,
                   struct orphan_probe *probes, size_t max);

/** orphan_tick() - remove expired replicas; call about once a second */
void
orphan_tick(struct orphans *orphans, uint64_t now_us);

/** orphan_replicated_flows() - number of flows held as a backup */
size_t
orphan_replicated_flows(const struct orphans *orphans);

#endif
