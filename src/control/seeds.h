/**
 * DOC: seeds - the platform's object "cell-NAME", a pure core
 *
 * It lists up to SEEDS_MAX members of a cell, so that a process whose
 * settings name no living member finds the others. Only the first-ranked
 * member writes it, by conditional update, at most once each
 * SEEDS_WRITE_INTERVAL_US and only when the list changed; entries are merged
 * by incarnation. Two writers at once harm nobody: one update fails and is
 * tried again after another read. The writer also reads it now and then and
 * tries members that it doesn't know: two halves of a cell find each other so.
 * A process that finds nobody writes itself into an object that is missing or
 * names only members that don't answer.
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
#define SEEDS_VALUE_MAX 4096
#define SEEDS_WRITE_INTERVAL_US (10 * USEC_PER_SEC)
#define SEEDS_READ_INTERVAL_US (60 * USEC_PER_SEC)
#define SEEDS_RETRY_MAX_US (60 * USEC_PER_SEC)
#define SEEDS_CALL_TIMEOUT_US (5 * USEC_PER_SEC)
#define SEEDS_START_DELAY_US (3 * USEC_PER_SEC)
#define SEEDS_START_JITTER_US (5 * USEC_PER_SEC)
#define SEEDS_ISOLATED_INTERVAL_US (15 * USEC_PER_SEC)
#define SEEDS_ISOLATED_RETRY_US (2 * USEC_PER_SEC)
#define SEEDS_FOREIGN_ROUNDS 3

/** struct seed - one entry */
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

/** enum seeds_action - what the program must do */
enum seeds_action { SEEDS_NOTHING, SEEDS_READ, SEEDS_WRITE };

/** struct seeds_stats - counts since the start */
struct seeds_stats {
    uint64_t reads;
    uint64_t writes;
    uint64_t lost_races;
    uint64_t failed_calls;
};

/**
 * struct seeds_core - see DOC
 * @known: whether @version and @stored are what was last read or written
 * @version: of the object, 0 for none
 * @stored: its entries
 * @pending: what a write under way says
 * @foreign_rounds: reads in a row that told of members nobody here knows
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
    uint64_t isolated_read_us; /* next read of a lone process */
    uint64_t backoff_us;
    struct seeds_stats stats;
};

/** seeds_core_init() - nothing read yet */
void
seeds_core_init(struct seeds_core *core, uint64_t seed, uint64_t now_us);

/**
 * seeds_tick() - what to do now; one call at a time
 * @members: the cell
 * @cell: key of the ranking
 *
 * A write publishes @core->pending over @core->version.
 */
enum seeds_action
seeds_tick(struct seeds_core *core, const struct member_core *members,
           uint64_t cell, uint64_t now_us);

/** seeds_read_done() - a read ended; @list is NULL but for status 0. All its
 * entries are candidates for member_add_contact(). */
void
seeds_read_done(struct seeds_core *core, int status, uint64_t version,
                const struct seed_list *list, uint64_t now_us);

/** seeds_write_done() - a write ended; any other error than -ESTALE leaves
 * its outcome open, which the next read settles */
void
seeds_write_done(struct seeds_core *core, int status, uint64_t version,
                 uint64_t now_us);

/** seeds_encode() - JSON of a list, g_free() it */
char *
seeds_encode(const struct seed_list *list, size_t *len);

/** seeds_decode() - read it; 0 or -EINVAL */
int
seeds_decode(const char *value, size_t len, struct seed_list *list);

#endif
