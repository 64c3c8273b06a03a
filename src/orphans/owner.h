/**
 * DOC: owner - reports an agent's flows to its backups
 *
 * Each backup has one unacknowledged batch at a time, which is sent again
 * until it is acknowledged. All flows are reported again to a new backup and
 * to one that rejects a batch. A flow that closes before it was reported needs
 * no message.
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

/* Interval between batches: partly filled, and full. */
#define OWNER_BATCH_INTERVAL_US (200 * USEC_PER_MSEC)
#define OWNER_FULL_BATCH_INTERVAL_US (50 * USEC_PER_MSEC)

/* Resend interval of an unacknowledged batch; also the minimum interval
 * between two sessions. */
#define OWNER_RESEND_US (1 * USEC_PER_SEC)

/* Interval of empty batches, which check that the backup still has the flows.
 */
#define OWNER_KEEPALIVE_US (10 * USEC_PER_SEC)

/**
 * struct caller_queue - FIFO of callers
 * @items: ring buffer
 * @allocated: size of the ring, a power of two
 * @head: index of the first caller
 * @count: number of callers
 */
struct caller_queue {
    struct caller *items;
    size_t allocated;
    size_t head;
    size_t count;
};

/**
 * struct owner_backup - an owner's state for one backup
 * @member: member id, 0 for none
 * @since_us: start of its process, from the view
 * @session: current session
 * @awaiting_ack: @last is not acknowledged
 * @more_queued: @last did not hold all that was queued
 * @sent_us: when @last was sent
 * @session_start_us: when the session begins or began
 * @last: last batch
 * @queue: flows to report
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
 * struct owner - an agent's flows and their backups
 * @boot: start of this process
 * @service_addrs: addresses that @flows refer to
 * @sessions: number of sessions begun
 * @flows: open flows and closed ones still to be reported, with flags
 * @live: number of open flows
 * @backups: the current backups
 */
struct owner {
    uint64_t boot;
    struct service_addrs service_addrs;
    uint32_t sessions;
    struct caller_set flows;
    size_t live;
    struct owner_backup backups[OWNER_BACKUPS];
};

/** owner_init() - start without flows and backups */
void
owner_init(struct owner *owner, uint64_t boot);

/** owner_finish() - free the owner's memory */
void
owner_finish(struct owner *owner);

/**
 * owner_flow_opened() - add a flow that was opened
 * @service: address it was opened to
 *
 * Return: 0; -EINVAL, -ENOSPC or -ENOMEM when the flow will not be reported.
 */
int
owner_flow_opened(struct owner *owner, struct addr caller,
                  struct addr service);

/** owner_flow_closed() - remove a flow that has ended */
void
owner_flow_closed(struct owner *owner, struct addr caller,
                  struct addr service);

/**
 * owner_set_backups() - set the backups; begins a session with new ones
 * @members: OWNER_BACKUPS member ids, 0 for none
 * @since_us: start of the process of each, from the view
 */
void
owner_set_backups(struct owner *owner, const uint64_t *members,
                  const uint64_t *since_us, uint64_t now_us);

/** owner_next_batch() - write the next batch and its receiver; false when none
 * is due */
bool
owner_next_batch(struct owner *owner, uint64_t now_us, uint64_t *to,
                 struct orphan_message *message);

/** owner_acknowledged() - handle an acknowledgement from member @from */
void
owner_acknowledged(struct owner *owner, uint64_t from,
                   const struct orphan_message *message, uint64_t now_us);

#endif
