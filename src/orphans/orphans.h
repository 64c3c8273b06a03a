/**
 * DOC: orphans - callers learn of their host's death without sending
 *
 * When a host dies, the next packet of each of its flows is answered with
 * a reset. A caller that only waits for its answer sends none. So each
 * agent (owner) tells two others (backups) the addresses of its callers,
 * and a backup that learns of the owner's death sends each of them a
 * segment that it has to acknowledge. The acknowledgement goes the way of
 * any packet: where its flow has no owner it gets the exact reset, and
 * where a live owner is found after all it is taken and changes nothing.
 *
 * Pure: events and the time come in, messages and probes go out.
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

/** struct orphans - both roles of an agent */
struct orphans {
    struct owner owner;
    struct backup backup;
};

/** orphan_init() - no flows; @boot grows with each start of the process,
 * for example wall clock in microseconds; not 0 */
void
orphan_init(struct orphans *orphans, uint64_t boot);

/** orphan_finish() - free everything */
void
orphan_finish(struct orphans *orphans);

/** orphan_set_view() - use another view */
void
orphan_set_view(struct orphans *orphans, const struct view *view,
                uint64_t now_us);

/** orphan_flow_opened() - an own flow was established; see owner_flow_opened()
 */
int
orphan_flow_opened(struct orphans *orphans, struct addr caller,
                   struct addr service);

/** orphan_flow_closed() - an own flow ended */
void
orphan_flow_closed(struct orphans *orphans, struct addr caller,
                   struct addr service);

/** orphan_next_message() - the next message to send to @to; call until false
 */
bool
orphan_next_message(struct orphans *orphans, uint64_t now_us, uint64_t *to,
                    struct orphan_message *message);

/**
 * orphan_receive() - a message came from agent @from
 * @view: view in force
 *
 * Return: whether @reply is to be sent back.
 */
bool
orphan_receive(struct orphans *orphans, const struct view *view, uint64_t from,
               const struct orphan_message *message, uint64_t now_us,
               struct orphan_message *reply);

/** orphan_next_probes() - callers to probe now; see backup_probes() */
size_t
orphan_next_probes(struct orphans *orphans, uint64_t now_us,
                   struct orphan_probe *probes, size_t max);

/** orphan_tick() - drop what is no longer kept up; about once a second */
void
orphan_tick(struct orphans *orphans, uint64_t now_us);

/** orphan_replicated_flows() - flows held for others */
size_t
orphan_replicated_flows(const struct orphans *orphans);

#endif
