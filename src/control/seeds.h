/**
 * DOC: seeds - maintains the seed list in the platform's object "cell-NAME"
 *
 * The object lists up to SEEDS_MAX members of a cell, so that a process whose
 * settings name no live member can join. Only the first-ranked member writes
 * it, by conditional update, at most once per SEEDS_WRITE_INTERVAL_US and only
 * if the list changed. When two members write at once, one update fails and is
 * retried after a read. The writer also reads the object periodically and
 * contacts members missing from its list, which reunites a split cell. A
 * process that can't join adds itself if the object is missing or lists only
 * members that don't answer.
 *
 * Pure logic: no sockets, threads or clocks.
 */
#ifndef SWIFTARCH_CONTROL_SEEDS_H
#define SWIFTARCH_CONTROL_SEEDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/clock.h"
#include "control/member.h"
#include "control/random.h"

#define SEEDS_MAX 16
#define SEEDS_VALUE_MAX 4096 /* bytes of the object */
#define SEEDS_WRITE_INTERVAL_US (10 * USEC_PER_SEC)
#define SEEDS_READ_INTERVAL_US (60 * USEC_PER_SEC)
#define SEEDS_RETRY_MAX_US (60 * USEC_PER_SEC)
#define SEEDS_CALL_TIMEOUT_US (5 * USEC_PER_SEC)
#define SEEDS_START_DELAY_US (3 * USEC_PER_SEC)
#define SEEDS_START_JITTER_US (5 * USEC_PER_SEC)
#define SEEDS_ISOLATED_INTERVAL_US (15 * USEC_PER_SEC)
#define SEEDS_ISOLATED_RETRY_US (2 * USEC_PER_SEC)
#define SEEDS_FOREIGN_ROUNDS 3 /* reads before unknown members are dropped */

/** struct seed - one entry; @incarnation is the start of the process */
struct seed {
    char name[VIEW_NAME_MAX];
    struct addr control;
    uint64_t incarnation;
};

/** struct seed_list - entries sorted by name */
struct seed_list {
    size_t count;
    struct seed items[SEEDS_MAX];
};

/** enum seeds_action - action for the control thread */
enum seeds_action { SEEDS_NOTHING, SEEDS_READ, SEEDS_WRITE };

/** struct seeds_stats - counts since seeds_core_init() */
struct seeds_stats {
    uint64_t reads;
    uint64_t writes;
    uint64_t lost_races;
    uint64_t failed_calls;
};

/**
 * struct seeds_core - see DOC
 * @known: whether @version and @stored hold the last read or write
 * @version: version of the object, 0 if it is missing
 * @stored: entries of the object
 * @pending: entries of the pending write
 * @foreign_rounds: reads in a row with entries, since the list changed
 */
struct seeds_core {
    bool known;
    uint64_t version;
    struct seed_list stored;
    struct seed_list pending;
    unsigned foreign_rounds;
    struct random random;
    enum seeds_action calling;
    uint64_t call_us;
    uint64_t write_us;         /* earliest next write */
    uint64_t read_us;          /* next read of the writer */
    uint64_t isolated_read_us; /* next read before joining */
    uint64_t backoff_us;
    struct seeds_stats stats;
};

/** seeds_core_init() - start without a known object */
void
seeds_core_init(struct seeds_core *core, uint64_t seed, uint64_t now_us);

/**
 * seeds_tick() - the action that is due; one platform call at a time
 * @members: membership of the cell
 * @cell: key of the ranking
 *
 * A write publishes @core->pending over @core->version.
 */
enum seeds_action
seeds_tick(struct seeds_core *core, const struct member_core *members,
           uint64_t cell, uint64_t now_us);

/** seeds_read_done() - handle the end of a read; @list is NULL unless @status
 * is 0. The caller passes its entries to member_add_contact(). */
void
seeds_read_done(struct seeds_core *core, int status, uint64_t version,
                const struct seed_list *list, uint64_t now_us);

/** seeds_write_done() - handle the end of a write; after an error other than
 * -ESTALE the outcome is unknown until the next read */
void
seeds_write_done(struct seeds_core *core, int status, uint64_t version,
                 uint64_t now_us);

/** seeds_encode() - encode a list as JSON; g_free() the result */
char *
seeds_encode(const struct seed_list *list, size_t *len);

/** seeds_decode() - decode JSON; 0, or -EINVAL with an empty @list */
int
seeds_decode(const char *value, size_t len, struct seed_list *list);

#endif
