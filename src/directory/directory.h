/**
 * DOC: directory - which cell of the region serves an address, a pure core
 *
 * A process knows the services of its own cell only. Of each other cell of
 * its region it keeps one entry: addresses, gateways and authors. The
 * authors of a cell, the two of its balancers that rank highest, write its
 * entry. Later versions replace earlier ones, whoever brings them and how
 * often; nothing ever goes back.
 *
 * Each process that holds a directory (the balancers) sends a digest to
 * another of its cell every DIRECTORY_CELL_INTERVAL_US; authors also send one
 * to another cell every DIRECTORY_REGION_INTERVAL_US, and a few at once after
 * they learned something. What differs is exchanged both ways. All but the
 * digests is paid for from a budget of bytes, so that nothing that happens
 * (a region healing, a data centre starting) costs a process more than
 * DIRECTORY_RATE for long.
 *
 * Entries age but stay: authors renew theirs every
 * DIRECTORY_RENEW_INTERVAL_US, so an entry that is older than that says that
 * its cell is silent.
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
/* Both authors see the same after a while; before, they'd take turns. Where
 * they don't, as in a cell that is cut in two, turns get rare. */
#define DIRECTORY_BACKOFF_US (500 * USEC_PER_MSEC)
#define DIRECTORY_BACKOFF_SHIFT_MAX 7 /* doublings of the time above */
#define DIRECTORY_RATE 2048           /* bytes a second, digests apart */
#define DIRECTORY_BURST (64u * 1024)  /* bytes */
#define DIRECTORY_PEERS_MAX 256
#define DIRECTORY_SEEDS_MAX 16
#define DIRECTORY_ACTIONS_MAX 4

/**
 * struct directory_action - a message to send
 * @to: control address
 * @msg: message
 */
struct directory_action {
    struct addr to;
    struct directory_msg msg;
};

/** struct directory_actions - what one call wants sent */
struct directory_actions {
    struct directory_action items[DIRECTORY_ACTIONS_MAX];
    size_t count;
};

/**
 * struct directory_role - where this process stands in its cell
 * @holds: it keeps a directory; others neither send nor answer
 * @author: it is an author of its cell
 * @authors: control addresses of the other authors
 * @author_count: how many
 * @balancers: control addresses of the other balancers of the cell
 * @balancer_count: how many
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
    uint64_t synced;   /* messages after which a peer had no more to tell */
    uint64_t merged;   /* entries that were news */
    uint64_t stale;    /* entries that were not */
    uint64_t rejected; /* cells without room */
    uint64_t delayed;  /* messages for which there was no budget */
    uint64_t authored;
};

/**
 * struct directory_slot - an entry held
 * @entry: the entry
 * @since_us: when this version came
 */
struct directory_slot {
    struct directory_entry *entry;
    uint64_t since_us;
};

/**
 * struct directory_core - see DOC
 * @cell: own cell
 * @self: own control address
 * @role: role in the cell
 * @slots: by cell, ascending
 * @count: entries held, that of the own cell included
 * @own: what the own cell serves as seen from here, or NULL
 * @author_at_us: when to author @own, which differs from the entry held; 0
 * when it doesn't
 * @override_count: times that @own, unchanged, was authored over another's
 * @changed: set when an entry was replaced; the owner clears it
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

/** directory_core_init() - a core that holds nothing */
void
directory_core_init(struct directory_core *core, const char *cell,
                    struct addr self, uint64_t seed, uint64_t now_us);

/** directory_core_finish() - free what it holds */
void
directory_core_finish(struct directory_core *core);

/** directory_add_seed() - a process of the region that may know others */
void
directory_add_seed(struct directory_core *core, struct addr seed);

/** directory_set_role() - the list of members changed; copied */
void
directory_set_role(struct directory_core *core,
                   const struct directory_role *role);

/**
 * directory_set_local_entry() - what the own cell serves, as seen from here
 * @own: sealed; the counter is ignored; takes the caller's reference
 */
void
directory_set_local_entry(struct directory_core *core,
                          struct directory_entry *own);

/** directory_find() - slot of a cell, or NULL */
const struct directory_slot *
directory_find(const struct directory_core *core, uint64_t cell);

/**
 * directory_merge() - take an entry if it is later than the one held
 *
 * Takes a reference of its own. Return: whether it was taken.
 */
bool
directory_merge(struct directory_core *core, struct directory_entry *entry,
                uint64_t now_us);

/** directory_receive() - a message came; answers are added to @out */
void
directory_receive(struct directory_core *core, const struct directory_msg *msg,
                  uint64_t now_us, struct directory_actions *out);

/**
 * directory_tick() - do what is due
 * @wall_ms: wall clock, for the counter of an entry authored now
 */
void
directory_tick(struct directory_core *core, uint64_t now_us, uint64_t wall_ms,
               struct directory_actions *out);

/** directory_next_us() - when directory_tick() may have something to do,
 * UINT64_MAX if it holds no directory */
uint64_t
directory_next_us(const struct directory_core *core);

/** directory_actions_clear() - free the messages */
void
directory_actions_clear(struct directory_actions *actions);

#endif
