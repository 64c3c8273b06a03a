/**
 * DOC: backup - replicates the flows of other agents and probes the callers of
 * dead owners
 *
 * An owner is dead when it is dead or missing in the view, or when the view
 * has a later start of its process. Each of its flows is then probed in
 * BACKUP_ROUNDS rounds, since segments may be lost, other agents may learn of
 * the death later, and callers answer few such segments a second. While an
 * agent is suspected, callers' replies are not reset: BACKUP_EXTRA_ROUNDS more
 * rounds follow when no agent is suspected any more. The numbers of owners and
 * flows are bounded.
 *
 * Replicas are kept for a while after probing, so that an owner that was dead
 * in the view by mistake need not report all flows again.
 */
#ifndef SWIFTARCH_ORPHANS_BACKUP_H
#define SWIFTARCH_ORPHANS_BACKUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/view.h"
#include "orphans/caller_set.h"
#include "orphans/message.h"
#include "orphans/service_addrs.h"

#define BACKUP_OWNERS_MAX 64
#define BACKUP_FLOWS_MAX 262144
#define BACKUP_ROUNDS 7
#define BACKUP_LAST_ROUND_US (18 * USEC_PER_SEC) /* after the death */
#define BACKUP_EXTRA_ROUNDS 2
#define BACKUP_EXTRA_INTERVAL_US (300 * USEC_PER_MSEC)
#define BACKUP_PROBES_PER_S 10000

/* Time after which a replica is removed: without a batch from a live owner,
 * which has selected other backups, or after an owner's death. */
#define BACKUP_EXPIRY_US (60 * USEC_PER_SEC)

/** struct orphan_probe - addresses of a probe, sent from @service to @caller
 */
struct orphan_probe {
    struct addr service;
    struct addr caller;
};

/**
 * struct replica - the flows of one process of an owner
 * @owner: member id
 * @since_us: start of the process, from the view
 * @boot: start of the process, from the owner's messages
 * @session: current session
 * @seq: last batch applied of the session
 * @service_addrs: addresses that @flows refer to
 * @last_batch_us: when the owner's last batch was received
 * @alive: whether the owner is alive in the last view
 * @replaced: a later process of the owner has sent a batch
 * @dead: the owner is dead, and its flows are probed
 * @dead_us: when @dead was set
 * @rounds_done: regular rounds done, at most BACKUP_ROUNDS
 * @extra_rounds: extra rounds still to do
 * @next_extra_us: start of the next extra round
 * @cursor: slot of @flows that the current round continues at
 * @flows: callers
 */
struct replica {
    uint64_t owner;
    uint64_t since_us;
    uint64_t boot;
    uint32_t session;
    uint32_t seq;
    struct service_addrs service_addrs;
    uint64_t last_batch_us;
    bool alive;
    bool replaced;
    bool dead;
    uint64_t dead_us;
    unsigned rounds_done;
    unsigned extra_rounds;
    uint64_t next_extra_us;
    size_t cursor;
    struct caller_set flows;
};

/**
 * struct backup - replicas held for other agents
 * @items: @count replicas
 * @flows: number of flows in all replicas
 * @suspects: whether the last view had suspected agents
 * @refused: number of flows and owners that were not added
 * @tokens: probes allowed now (token bucket)
 * @tokens_us: last refill of @tokens
 */
struct backup {
    struct replica items[BACKUP_OWNERS_MAX];
    size_t count;
    size_t flows;
    bool suspects;
    uint64_t refused;
    uint64_t tokens;
    uint64_t tokens_us;
};

/** backup_init() - start without replicas */
void
backup_init(struct backup *backup);

/** backup_finish() - free all replicas */
void
backup_finish(struct backup *backup);

/** backup_set_view() - update the state of the owners from a new view */
void
backup_set_view(struct backup *backup, const struct view *view,
                uint64_t now_us);

/**
 * backup_receive() - handle a batch from owner @from
 * @view: current view
 * @reply: acknowledgement to send back
 *
 * Return: whether to send @reply.
 */
bool
backup_receive(struct backup *backup, const struct view *view, uint64_t from,
               const struct orphan_message *message, uint64_t now_us,
               struct orphan_message *reply);

/** backup_probes() - write the callers to probe now; returns their count, at
 * most @max */
size_t
backup_probes(struct backup *backup, uint64_t now_us,
              struct orphan_probe *probes, size_t max);

/** backup_tick() - remove expired replicas; call about once a second */
void
backup_tick(struct backup *backup, uint64_t now_us);

#endif
