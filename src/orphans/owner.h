/**
 * DOC: owner - tells an agent's backups which flows it holds
 *
 * One batch at a time is on its way to each backup; it is sent again until
 * it is acknowledged. A backup that is new, or that says that it knows
 * nothing, is told of all flows again. A flow that closes before it was
 * told costs no message.
 */
#ifndef SWIFTARCH_ORPHANS_OWNER_H
#define SWIFTARCH_ORPHANS_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "orphans/caller_set.h"
#include "orphans/message.h"
#include "orphans/service_addrs.h"

#define OWNER_BACKUPS 2
#define OWNER_FLOWS_MAX 65536

/* Between two batches: not filled, and filled. */
#define OWNER_BATCH_INTERVAL_US (200 * USEC_PER_MSEC)
#define OWNER_FULL_BATCH_INTERVAL_US (50 * USEC_PER_MSEC)

/* After a batch without acknowledgement; also between two full transfers. */
#define OWNER_RESEND_US (1 * USEC_PER_SEC)

/* An empty batch shows that the backup still knows the flows. */
#define OWNER_KEEPALIVE_US (10 * USEC_PER_SEC)

/**
 * struct caller_queue - callers in order of arrival
 * @items: ring of @allocated, a power of two
 */
struct caller_queue {
    struct caller *items;
    size_t allocated;
    size_t head;
    size_t count;
};

/**
 * struct owner_backup - one backup as the owner sees it
 * @member: its id, 0 for none
 * @since_us: start of its process, by the view
 * @session: present transfer
 * @awaiting_ack: @last is not acknowledged
 * @more_queued: not all that was queued had room in @last
 * @sent_us: when @last was sent
 * @session_start_us: when the session began
 * @last: batch sent last
 * @queue: flows about which it has to be told something
 */
struct owner_backup {
    uint64_t member;
    uint64_t since_us;
    uint32_t session;
    bool awaiting_ack;
    bool more_queued;
    uint64_t sent_us;
    uint64_t session_start_us;
    struct orphan_message last;
    struct caller_queue queue;
};

/**
 * struct owner - the flows of this agent
 * @boot: start of this process
 * @service_addrs: addresses service_addrs by @flows
 * @sessions: sessions begun so far
 * @flows: flows held or still to be told of, with their marks
 * @live: flows held
 */
struct owner {
    uint64_t boot;
    struct service_addrs service_addrs;
    uint32_t sessions;
    struct caller_set flows;
    size_t live;
    struct owner_backup backups[OWNER_BACKUPS];
};

/** owner_init() - no flows, no backups */
void
owner_init(struct owner *owner, uint64_t boot);

/** owner_finish() - free everything */
void
owner_finish(struct owner *owner);

/**
 * owner_flow_opened() - a flow was opened
 * @service: address it was opened to
 *
 * Return: 0, -EINVAL, -ENOSPC or -ENOMEM: it will not be told.
 */
int
owner_flow_opened(struct owner *owner, struct addr caller,
                  struct addr service);

/** owner_flow_closed() - a flow ended */
void
owner_flow_closed(struct owner *owner, struct addr caller,
                  struct addr service);

/**
 * owner_set_backups() - use these backups
 * @members: OWNER_BACKUPS ids, 0 for none
 * @since_us: start of each
 */
void
owner_set_backups(struct owner *owner, const uint64_t *members,
                  const uint64_t *since_us, uint64_t now_us);

/** owner_next_batch() - the next batch to send, if one is due */
bool
owner_next_batch(struct owner *owner, uint64_t now_us, uint64_t *to,
                 struct orphan_message *message);

/** owner_acknowledged() - an acknowledgement came from @from */
void
owner_acknowledged(struct owner *owner, uint64_t from,
                   const struct orphan_message *message, uint64_t now_us);

#endif
