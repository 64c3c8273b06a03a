/**
 * DOC: notice - callers learn of their host's death without sending
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
#ifndef SWIFTARCH_NOTICE_NOTICE_H
#define SWIFTARCH_NOTICE_NOTICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "control/view.h"
#include "notice/backup.h"
#include "notice/message.h"
#include "notice/owner.h"

/** struct notice - both roles of an agent */
struct notice {
    struct owner owner;
    struct backup backup;
};

/** notice_init() - no flows; @boot grows with each start of the process,
 * for example wall clock in microseconds; not 0 */
void
notice_init(struct notice *notice, uint64_t boot);

/** notice_finish() - free everything */
void
notice_finish(struct notice *notice);

/** notice_set_view() - use another view */
void
notice_set_view(struct notice *notice, const struct view *view,
                uint64_t now_us);

/** notice_opened() - an own flow was established; see owner_opened() */
int
notice_opened(struct notice *notice, struct addr caller, struct addr service);

/** notice_closed() - an own flow ended */
void
notice_closed(struct notice *notice, struct addr caller, struct addr service);

/** notice_next() - the next message to send to @to; call until false */
bool
notice_next(struct notice *notice, uint64_t now_us, uint64_t *to,
            struct notice_message *message);

/**
 * notice_receive() - a message came from agent @from
 * @view: view in force
 *
 * Return: whether @reply is to be sent back.
 */
bool
notice_receive(struct notice *notice, const struct view *view, uint64_t from,
               const struct notice_message *message, uint64_t now_us,
               struct notice_message *reply);

/** notice_probes() - callers to probe now; see backup_probes() */
size_t
notice_probes(struct notice *notice, uint64_t now_us,
              struct notice_probe *probes, size_t max);

/** notice_tick() - drop what is no longer kept up; about once a second */
void
notice_tick(struct notice *notice, uint64_t now_us);

/** notice_held() - flows held for others */
size_t
notice_held(const struct notice *notice);

#endif
