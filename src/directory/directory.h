/**
 * DOC: directory - replicated directory of the addresses of a region's cells
 *
 * Pure protocol core without I/O or clock. It keeps one entry per cell:
 * addresses, gateways and authors. The authors of a cell are its
 * DIRECTORY_AUTHORS highest-ranked balancers; they write the cell's entry. An
 * entry is replaced only by a later version, so merging is idempotent and
 * independent of order.
 *
 * Each balancer sends a digest to another process of its cell every
 * DIRECTORY_CELL_INTERVAL_US. Authors also send one to another cell every
 * DIRECTORY_REGION_INTERVAL_US, and DIRECTORY_FAST_ROUNDS more at shorter
 * intervals after an entry changed. Differing entries are then exchanged in
 * both directions. A token bucket of DIRECTORY_RATE limits all messages but
 * digests.
 *
 * Entries do not expire. Authors renew theirs every
 * DIRECTORY_RENEW_INTERVAL_US; an older entry means that its cell can't be
 * reached.
 */
#ifndef SWIFTARCH_DIRECTORY_DIRECTORY_H
#define SWIFTARCH_DIRECTORY_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "control/bucket.h"
#include "control/random.h"
#include "directory/entry.h"
#include "directory/message.h"

#define DIRECTORY_CELL_INTERVAL_US (2 * USEC_PER_SEC)
#define DIRECTORY_REGION_INTERVAL_US (1 * USEC_PER_SEC)
#define DIRECTORY_FAST_INTERVAL_US (250 * USEC_PER_MSEC)
#define DIRECTORY_FAST_ROUNDS 3
#define DIRECTORY_RENEW_INTERVAL_US (300 * USEC_PER_SEC)
/* Authors of a cell wait before they overwrite a differing entry, since their
 * views usually converge. The wait doubles with each overwrite, for cells that
 * stay partitioned. */
#define DIRECTORY_BACKOFF_US (500 * USEC_PER_MSEC)
#define DIRECTORY_BACKOFF_SHIFT_MAX 7 /* max doublings */
#define DIRECTORY_RATE 2048           /* bytes per second, without digests */
#define DIRECTORY_BURST (64u * 1024)  /* bytes */
#define DIRECTORY_PEERS_MAX 256
#define DIRECTORY_SEEDS_MAX 16
#define DIRECTORY_ACTIONS_MAX 4

/**
 * struct directory_action - a message to send
 * @to: control address of the receiver
 * @msg: message, owned by the action
 */
struct directory_action {
    struct addr to;
    struct directory_msg msg;
};

/** struct directory_actions - messages to send after a call of the core */
struct directory_actions {
    struct directory_action items[DIRECTORY_ACTIONS_MAX];
    size_t count;
};

/**
 * struct directory_role - role of this process in its cell
 * @holds: holds a directory; a process without one neither sends nor replies
 * @author: is an author of its cell
 * @authors: control addresses of the other authors
 * @author_count: number of @authors
 * @balancers: control addresses of the other balancers of the cell
 * @balancer_count: number of @balancers
 */
struct directory_role {
    bool holds;
    bool author;
    struct addr authors[DIRECTORY_AUTHORS];
    size_t author_count;
    struct addr balancers[DIRECTORY_PEERS_MAX];
    size_t balancer_count;
};

/** struct directory_stats - counts since the start */
struct directory_stats {
    uint64_t digests;
    uint64_t synced; /* messages after which nothing is missing from a peer */
    uint64_t merged; /* entries with a later version, accepted */
    uint64_t stale;  /* entries without a later version, ignored */
    uint64_t rejected; /* entries of new cells beyond DIRECTORY_CELLS_MAX */
    uint64_t delayed;  /* messages or entries beyond the byte budget */
    uint64_t authored; /* entries written for the own cell */
};

/**
 * struct directory_slot - current entry of a cell
 * @entry: entry, one reference
 * @since_us: when this version was merged
 */
struct directory_slot {
    struct directory_entry *entry;
    uint64_t since_us;
};

/**
 * struct directory_core - protocol state of one process
 * @cell: id of the own cell
 * @self: own control address
 * @random: random numbers for intervals and peers
 * @bytes: byte budget of all messages but digests
 * @role: role in the cell
 * @seeds: control addresses of configured processes of the region
 * @seed_count: number of @seeds
 * @slots: entries sorted by cell id
 * @count: number of @slots, that of the own cell included
 * @own: entry of the own cell as this process would author it, or NULL
 * @author_at_us: when to author @own over a differing entry; 0 if none differs
 * @override_count: times that the current @own was authored over another entry
 * @renew_us: when to renew the own cell's entry
 * @cell_us: when the next digest within the cell is due
 * @region_us: when the next digest to another cell is due
 * @fast_rounds: digests left to send at DIRECTORY_FAST_INTERVAL_US
 * @changed: set when an entry was replaced; cleared by the owner
 * @stats: counts since the start
 */
struct directory_core {
    uint64_t cell;
    struct addr self;
    struct random random;
    struct bucket bytes;
    struct directory_role role;
    struct addr seeds[DIRECTORY_SEEDS_MAX];
    size_t seed_count;
    struct directory_slot slots[DIRECTORY_CELLS_MAX];
    size_t count;
    struct directory_entry *own;
    uint64_t author_at_us;
    unsigned override_count;
    uint64_t renew_us;
    uint64_t cell_us;
    uint64_t region_us;
    unsigned fast_rounds;
    bool changed;
    struct directory_stats stats;
};

/**
 * directory_core_init() - initialise a core without entries
 * @cell: name of the own cell
 * @self: own control address
 * @seed: seed of the random numbers
 * @now_us: current time
 */
void
directory_core_init(struct directory_core *core, const char *cell,
                    struct addr self, uint64_t seed, uint64_t now_us);

/** directory_core_finish() - release all entries */
void
directory_core_finish(struct directory_core *core);

/** directory_add_seed() - add a first contact in the region; duplicates, the
 * own address and seeds beyond DIRECTORY_SEEDS_MAX are ignored */
void
directory_add_seed(struct directory_core *core, struct addr seed);

/** directory_set_role() - set the role after a change of view; copies @role */
void
directory_set_role(struct directory_core *core,
                   const struct directory_role *role);

/**
 * directory_set_local_entry() - set the entry to author for the own cell
 * @own: finalized entry; its counter is ignored; takes the caller's reference
 */
void
directory_set_local_entry(struct directory_core *core,
                          struct directory_entry *own);

/** directory_find() - find the slot of a cell id, or NULL */
const struct directory_slot *
directory_find(const struct directory_core *core, uint64_t cell);

/**
 * directory_merge() - accept an entry if it is later than the current one
 *
 * Adds its own reference.
 *
 * Return: whether the entry was accepted.
 */
bool
directory_merge(struct directory_core *core, struct directory_entry *entry,
                uint64_t now_us);

/** directory_receive() - process a message and append the replies to @out */
void
directory_receive(struct directory_core *core, const struct directory_msg *msg,
                  uint64_t now_us, struct directory_actions *out);

/**
 * directory_tick() - author the own entry and send digests when due
 * @now_us: current time
 * @wall_ms: wall clock, for the counter of an authored entry
 * @out: messages are appended
 */
void
directory_tick(struct directory_core *core, uint64_t now_us, uint64_t wall_ms,
               struct directory_actions *out);

/** directory_next_us() - time of the next directory_tick(), UINT64_MAX for a
 * process without a directory */
uint64_t
directory_next_us(const struct directory_core *core);

/** directory_actions_clear() - free all messages */
void
directory_actions_clear(struct directory_actions *actions);

#endif
