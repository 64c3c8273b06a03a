/**
 * DOC: backup - holds the flows of other agents and, when one of these has
 * died, makes its callers show themselves
 *
 * An owner is dead when the view says so, has no entry for it any more, or
 * shows a later start of its process. Each of its flows is then probed in
 * BACKUP_ROUNDS rounds, since segments get lost, others may hear of the
 * death later, and callers answer few such segments a second. While any
 * agent is suspected, answers meet no reset: when the last suspicion ends,
 * BACKUP_EXTRA_ROUNDS more follow. Memory is bounded in owners and in
 * flows.
 *
 * What was probed is kept for a while: an owner that was thought dead and
 * comes back with the same process need not tell all again.
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
#define BACKUP_LAST_ROUND_US (18 * USEC_PER_SEC) /* to the last one */
#define BACKUP_EXTRA_ROUNDS 2
#define BACKUP_EXTRA_INTERVAL_US (300 * USEC_PER_MSEC)
#define BACKUP_PROBES_PER_S 10000

/* An owner that is alive and says nothing has chosen other backups. One
 * that is dead for so long will not come back. */
#define BACKUP_EXPIRY_US (60 * USEC_PER_SEC)

/** struct orphan_probe - a flow whose caller is to be probed */
struct orphan_probe {
    struct addr service;
    struct addr caller;
};

/**
 * struct replica - the flows of one process of an owner
 * @owner: its member id
 * @since_us: start of the process, by the view
 * @boot: the same as the owner tells it
 * @session: present transfer
 * @seq: last batch of it
 * @service_addrs: addresses service_addrs by @flows
 * @last_batch_us: when the owner last said something
 * @alive: what the last view said of it
 * @replaced: a later process of the owner has been heard
 * @dead: its flows are being probed
 * @dead_us: since when
 * @rounds_done: rounds done, at most BACKUP_ROUNDS
 * @extra_rounds: rounds to make besides
 * @next_extra_us: when the next of these begins
 * @cursor: where the present rounds_done has come to
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
 * struct backup - all that is replica for others
 * @items: @count entries
 * @flows: flows in all of them
 * @suspects: the last view showed agents that are suspected
 * @refused: flows and owners for which there was no room
 * @tokens: probes that may be sent now
 * @tokens_us: when @tokens was last filled
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

/** backup_init() - holds nothing */
void
backup_init(struct backup *backup);

/** backup_finish() - free everything */
void
backup_finish(struct backup *backup);

/** backup_set_view() - judge the owners by a new view */
void
backup_set_view(struct backup *backup, const struct view *view,
                uint64_t now_us);

/**
 * backup_receive() - a batch came from owner @from
 * @view: view in force
 * @reply: acknowledgement to send back
 *
 * Return: whether @reply is to be sent.
 */
bool
backup_receive(struct backup *backup, const struct view *view, uint64_t from,
               const struct orphan_message *message, uint64_t now_us,
               struct orphan_message *reply);

/** backup_probes() - callers to probe now; their count, at most @max */
size_t
backup_probes(struct backup *backup, uint64_t now_us,
              struct orphan_probe *probes, size_t max);

/** backup_tick() - drop what is no longer kept up; about once a second */
void
backup_tick(struct backup *backup, uint64_t now_us);

#endif
