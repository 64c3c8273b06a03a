#include "control/seeds.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/hash.h"

#define BACKOFF_FIRST_US (1 * USEC_PER_SEC)

void
seeds_core_init(struct seeds_core *core, uint64_t seed, uint64_t now_us)
{
    memset(core, 0, sizeof(*core));
    core->random.state = seed;
    core->isolated_read_us =
        now_us + SEEDS_START_DELAY_US +
        random_below(&core->random, SEEDS_START_JITTER_US);
    core->read_us = core->isolated_read_us;
}

static int
compare_names(const void *left, const void *right)
{
    const struct seed *a = left;
    const struct seed *b = right;

    return strcmp(a->name, b->name);
}

static bool
lists_equal(const struct seed_list *a, const struct seed_list *b)
{
    if (a->count != b->count)
        return false;
    for (size_t i = 0; i < a->count; i++) {
        if (strcmp(a->items[i].name, b->items[i].name) != 0 ||
            !addr_equal(a->items[i].control, b->items[i].control) ||
            a->items[i].incarnation != b->items[i].incarnation)
            return false;
    }
    return true;
}

/* Members of the cell with the highest ranks, at most SEEDS_MAX. */
static size_t
best_ranked(const struct member_core *members, uint64_t cell,
            const struct member_entry **best)
{
    uint64_t scores[SEEDS_MAX];
    size_t count = 0;

    for (size_t i = 0; i < members->count; i++) {
        const struct member_entry *entry =
            &members->entries[members->order[i]];
        uint64_t score = hash_pair(cell, entry->member.id);
        size_t at;

        if (entry->member.health != MEMBER_ALIVE ||
            entry->member.state == MEMBER_LEAVING)
            continue;
        if (count == SEEDS_MAX && score <= scores[count - 1])
            continue;
        at = count < SEEDS_MAX ? count++ : count - 1;
        for (; at > 0 && scores[at - 1] < score; at--) {
            scores[at] = scores[at - 1];
            best[at] = best[at - 1];
        }
        scores[at] = score;
        best[at] = entry;
    }
    return count;
}

/*
 * Stores the start of the process rather than its incarnation, which a
 * refutation raises: suspicions must not cause writes.
 */
static void
add_member(struct seed_list *list, const struct member_entry *entry)
{
    struct seed *seed = &list->items[list->count++];

    g_strlcpy(seed->name, entry->member.name, sizeof(seed->name));
    seed->control = entry->member.control;
    seed->incarnation = entry->start;
}

static bool
is_foreign(const struct member_core *members, const struct seed *seed)
{
    const struct member_entry *entry =
        member_find(members, hash_name(seed->name));

    return entry == NULL || entry->start < seed->incarnation;
}

/* Entries that the object should have: known members and, for some reads,
 * stored entries that aren't known yet. */
static void
wanted_seeds(const struct seeds_core *core, const struct member_core *members,
             uint64_t cell, struct seed_list *list)
{
    const struct member_entry *best[SEEDS_MAX];
    size_t count = best_ranked(members, cell, best);

    list->count = 0;
    for (size_t i = 0; i < core->stored.count; i++) {
        const struct seed *seed = &core->stored.items[i];

        /* At least half of the list is left for known members. */
        if (core->foreign_rounds < SEEDS_FOREIGN_ROUNDS &&
            list->count < SEEDS_MAX / 2 && is_foreign(members, seed))
            list->items[list->count++] = *seed;
    }
    for (size_t i = 0; i < count && list->count < SEEDS_MAX; i++)
        add_member(list, best[i]);
    qsort(list->items, list->count, sizeof(list->items[0]), compare_names);
}

static bool
has_foreign(const struct seeds_core *core, const struct member_core *members)
{
    for (size_t i = 0; i < core->stored.count; i++) {
        if (is_foreign(members, &core->stored.items[i]))
            return true;
    }
    return false;
}

/* Brings the next read of an isolated process forward. */
static void
advance_isolated_read(struct seeds_core *core, uint64_t now_us)
{
    uint64_t retry_us =
        now_us + random_below(&core->random, SEEDS_ISOLATED_RETRY_US);

    core->isolated_read_us = MIN(core->isolated_read_us, retry_us);
}

static void
call_failed(struct seeds_core *core, uint64_t now_us)
{
    uint64_t last = MAX(core->backoff_us, BACKOFF_FIRST_US);
    uint64_t high = MIN(3 * last, SEEDS_RETRY_MAX_US);

    core->stats.failed_calls++;
    core->known = false;
    core->backoff_us = random_between(&core->random, BACKOFF_FIRST_US, high);
    core->read_us = now_us + core->backoff_us;
}

static enum seeds_action
start_call(struct seeds_core *core, enum seeds_action action, uint64_t now_us)
{
    core->calling = action;
    core->call_us = now_us;
    if (action == SEEDS_READ)
        core->stats.reads++;
    else
        core->stats.writes++;
    return action;
}

/* Whether the object is empty or none of its members has answered. */
static bool
lacks_live_member(const struct seeds_core *core)
{
    return core->stored.count == 0 ||
           core->foreign_rounds >= SEEDS_FOREIGN_ROUNDS;
}

static enum seeds_action
tick_isolated(struct seeds_core *core, const struct member_core *members,
              uint64_t cell, uint64_t now_us)
{
    if (now_us < core->isolated_read_us)
        return SEEDS_NOTHING;
    if (core->known && lacks_live_member(core)) {
        wanted_seeds(core, members, cell, &core->pending);
        if (!lists_equal(&core->pending, &core->stored)) {
            core->isolated_read_us = now_us + SEEDS_WRITE_INTERVAL_US;
            return start_call(core, SEEDS_WRITE, now_us);
        }
    }
    core->isolated_read_us =
        now_us + random_between(&core->random, SEEDS_ISOLATED_INTERVAL_US,
                                3 * SEEDS_ISOLATED_INTERVAL_US);
    return start_call(core, SEEDS_READ, now_us);
}

static enum seeds_action
tick_writer(struct seeds_core *core, const struct member_core *members,
            uint64_t cell, uint64_t now_us)
{
    if (now_us >= core->read_us) {
        core->read_us =
            now_us + random_between(&core->random,
                                    SEEDS_READ_INTERVAL_US * 3 / 4,
                                    SEEDS_READ_INTERVAL_US * 5 / 4);
        return start_call(core, SEEDS_READ, now_us);
    }
    if (!core->known || now_us < core->write_us)
        return SEEDS_NOTHING;
    wanted_seeds(core, members, cell, &core->pending);
    if (lists_equal(&core->pending, &core->stored))
        return SEEDS_NOTHING;
    core->write_us = now_us + SEEDS_WRITE_INTERVAL_US;
    return start_call(core, SEEDS_WRITE, now_us);
}

enum seeds_action
seeds_tick(struct seeds_core *core, const struct member_core *members,
           uint64_t cell, uint64_t now_us)
{
    if (core->calling != SEEDS_NOTHING) {
        if (now_us < core->call_us + SEEDS_CALL_TIMEOUT_US)
            return SEEDS_NOTHING;
        core->calling = SEEDS_NOTHING;
        call_failed(core, now_us);
    }
    if (!members->joined && members->contact_count > 0)
        return tick_isolated(core, members, cell, now_us);
    if (member_rank(members, cell, NULL) > 0) {
        /* If this process becomes the writer, it reads first. */
        core->known = false;
        core->read_us = MAX(now_us, core->call_us + SEEDS_WRITE_INTERVAL_US);
        return SEEDS_NOTHING;
    }
    if (core->known && core->foreign_rounds > 0 && !has_foreign(core, members))
        core->foreign_rounds = 0;
    return tick_writer(core, members, cell, now_us);
}

void
seeds_read_done(struct seeds_core *core, int status, uint64_t version,
                const struct seed_list *list, uint64_t now_us)
{
    struct seed_list read = {0};

    core->calling = SEEDS_NOTHING;
    if (status != 0 && status != -ENOENT) {
        call_failed(core, now_us);
        return;
    }
    core->backoff_us = 0;
    core->known = true;
    core->version = status == 0 ? version : 0;
    if (status == 0 && list != NULL)
        read = *list;
    qsort(read.items, read.count, sizeof(read.items[0]), compare_names);
    if (!lists_equal(&read, &core->stored))
        core->foreign_rounds = 0;
    if (read.count > 0)
        core->foreign_rounds++;
    else
        advance_isolated_read(core, now_us);
    core->stored = read;
}

void
seeds_write_done(struct seeds_core *core, int status, uint64_t version,
                 uint64_t now_us)
{
    core->calling = SEEDS_NOTHING;
    if (status == 0) {
        core->version = version;
        core->stored = core->pending;
        return;
    }
    if (status == -ESTALE) {
        core->stats.lost_races++;
        advance_isolated_read(core, now_us);
        core->known = false;
        core->read_us =
            now_us + random_between(&core->random, 0, SEEDS_WRITE_INTERVAL_US);
        return;
    }
    call_failed(core, now_us);
}
