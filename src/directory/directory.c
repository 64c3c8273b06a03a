#include "directory/directory.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "base/hash.h"
#include "directory/directory_internal.h"

void
directory_core_init(struct directory_core *core, const char *cell,
                    struct addr self, uint64_t seed, uint64_t now_us)
{
    memset(core, 0, sizeof(*core));
    core->cell = directory_cell(cell);
    core->self = self;
    core->random.state = seed;
    bucket_init(&core->bytes, DIRECTORY_RATE, DIRECTORY_BURST, now_us);
    core->cell_us =
        now_us + random_below(&core->random, DIRECTORY_CELL_INTERVAL_US);
    core->region_us =
        now_us + random_below(&core->random, DIRECTORY_REGION_INTERVAL_US);
}

void
directory_core_finish(struct directory_core *core)
{
    for (size_t i = 0; i < core->count; i++)
        directory_entry_unref(core->slots[i].entry);
    directory_entry_unref(core->own);
    memset(core, 0, sizeof(*core));
}

void
directory_add_seed(struct directory_core *core, struct addr seed)
{
    if (addr_equal(seed, core->self) ||
        core->seed_count == DIRECTORY_SEEDS_MAX)
        return;
    for (size_t i = 0; i < core->seed_count; i++) {
        if (addr_equal(core->seeds[i], seed))
            return;
    }
    core->seeds[core->seed_count++] = seed;
}

void
directory_set_role(struct directory_core *core,
                   const struct directory_role *role)
{
    assert(role->author_count <= DIRECTORY_AUTHORS);
    assert(role->balancer_count <= DIRECTORY_PEERS_MAX);
    core->role = *role;
}

void
directory_set_local_entry(struct directory_core *core,
                          struct directory_entry *own)
{
    assert(own->cell == core->cell);
    if (core->own == NULL || core->own->version.sum != own->version.sum)
        core->override_count = 0;
    directory_entry_unref(core->own);
    core->own = own;
}

/* Index of the first slot whose cell id is at least @cell */
static size_t
lower_bound(const struct directory_core *core, uint64_t cell)
{
    size_t low = 0;
    size_t high = core->count;

    while (low < high) {
        size_t middle = (low + high) / 2;

        if (core->slots[middle].entry->cell < cell)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

const struct directory_slot *
directory_find(const struct directory_core *core, uint64_t cell)
{
    size_t at = lower_bound(core, cell);

    if (at == core->count || core->slots[at].entry->cell != cell)
        return NULL;
    return &core->slots[at];
}

static bool
insert(struct directory_core *core, size_t at, uint64_t cell)
{
    /* One slot is reserved for the own cell. */
    size_t max_cells = cell == core->cell || directory_find(core, core->cell)
                           ? DIRECTORY_CELLS_MAX
                           : DIRECTORY_CELLS_MAX - 1;

    if (core->count >= max_cells) {
        core->stats.rejected++;
        return false;
    }
    memmove(&core->slots[at + 1], &core->slots[at],
            (core->count - at) * sizeof(core->slots[0]));
    core->slots[at].entry = NULL;
    core->count++;
    return true;
}

bool
directory_merge(struct directory_core *core, struct directory_entry *entry,
                uint64_t now_us)
{
    size_t at = lower_bound(core, entry->cell);
    bool known =
        at < core->count && core->slots[at].entry->cell == entry->cell;

    if (known && directory_version_compare(
                     &entry->version, &core->slots[at].entry->version) <= 0) {
        core->stats.stale++;
        return false;
    }
    if (!known && !insert(core, at, entry->cell))
        return false;
    directory_entry_ref(entry);
    directory_entry_unref(core->slots[at].entry);
    core->slots[at].entry = entry;
    core->slots[at].since_us = now_us;
    core->stats.merged++;
    core->changed = true;
    core->fast_rounds = DIRECTORY_FAST_ROUNDS;
    core->region_us =
        MIN(core->region_us, now_us + DIRECTORY_FAST_INTERVAL_US);
    return true;
}

static void
author_entry(struct directory_core *core, uint64_t now_us, uint64_t wall_ms)
{
    const struct directory_slot *current = directory_find(core, core->cell);
    struct directory_entry *entry = directory_entry_copy(core->own);

    if (entry == NULL)
        return; /* retried at the next tick */
    entry->version.counter = wall_ms;
    if (current != NULL && current->entry->version.counter >= wall_ms)
        entry->version.counter = current->entry->version.counter + 1;
    if (directory_merge(core, entry, now_us))
        core->stats.authored++;
    directory_entry_unref(entry);
    core->author_at_us = 0;
    core->renew_us = 0;
}

/* The random delay lets one author renew the entry before the others. */
static bool
renewal_due(struct directory_core *core, const struct directory_slot *current,
            uint64_t now_us)
{
    if (core->renew_us <= current->since_us)
        core->renew_us =
            current->since_us +
            random_between(&core->random, DIRECTORY_RENEW_INTERVAL_US,
                           DIRECTORY_RENEW_INTERVAL_US * 5 / 4);
    return now_us >= core->renew_us;
}

static bool
override_due(struct directory_core *core, uint64_t now_us)
{
    uint64_t base_delay_us =
        DIRECTORY_BACKOFF_US
        << MIN(core->override_count, DIRECTORY_BACKOFF_SHIFT_MAX);

    if (core->author_at_us == 0)
        core->author_at_us =
            now_us +
            random_between(&core->random, base_delay_us, 3 * base_delay_us);
    if (now_us < core->author_at_us)
        return false;
    core->override_count++;
    return true;
}

static bool
author_due(struct directory_core *core, uint64_t now_us)
{
    const struct directory_slot *current = directory_find(core, core->cell);
    const struct directory_version *own;
    const struct directory_version *version;

    if (!core->role.author || core->own == NULL)
        return false;
    if (current == NULL)
        return true;
    own = &core->own->version;
    version = &current->entry->version;
    if (own->config_version > version->config_version)
        return true;
    /* A process with an older configuration does not author. */
    if (own->config_version == version->config_version &&
        own->sum != version->sum)
        return override_due(core, now_us);
    core->author_at_us = 0;
    return own->config_version == version->config_version &&
           renewal_due(core, current, now_us);
}

/* Authors hold news first; one digest in four goes to them, to limit load. */
static bool
choose_cell_peer(struct directory_core *core, struct addr *peer)
{
    const struct directory_role *role = &core->role;
    size_t authors = role->author_count;
    size_t balancers = role->balancer_count;

    if (authors > 0 && (balancers == 0 || random_below(&core->random, 4) == 0))
        *peer = role->authors[random_below(&core->random, authors)];
    else if (balancers > 0)
        *peer = role->balancers[random_below(&core->random, balancers)];
    else
        return false;
    return true;
}

static bool
choose_contact(struct directory_core *core,
               const struct directory_entry *entry, struct addr *peer)
{
    size_t gateways = entry->gateway_count;

    if (entry->author_count > 0 &&
        (gateways == 0 || random_below(&core->random, 4) != 0))
        *peer =
            entry->authors[random_below(&core->random, entry->author_count)];
    else if (gateways > 0)
        *peer = entry->gateways[random_below(&core->random, gateways)].control;
    else
        return false;
    return true;
}

/* The seeds together are as likely as one cell, so that parts of a region
 * that lost contact find each other again. */
static bool
choose_region_peer(struct directory_core *core, struct addr *peer)
{
    size_t at = random_below(&core->random,
                             core->count + (core->seed_count > 0 ? 1 : 0));

    if (at < core->count && core->slots[at].entry->cell != core->cell)
        return choose_contact(core, core->slots[at].entry, peer);
    if (core->seed_count == 0)
        return false;
    *peer = core->seeds[random_below(&core->random, core->seed_count)];
    return true;
}

static void
tick_cell(struct directory_core *core, uint64_t now_us,
          struct directory_actions *out)
{
    struct addr peer;

    if (now_us < core->cell_us)
        return;
    if (!choose_cell_peer(core, &peer)) {
        core->cell_us = now_us + DIRECTORY_FAST_INTERVAL_US;
        return;
    }
    core->cell_us =
        now_us + random_between(&core->random,
                                DIRECTORY_CELL_INTERVAL_US * 3 / 4,
                                DIRECTORY_CELL_INTERVAL_US * 5 / 4);
    directory_send_digest(core, peer, out);
}

static void
tick_region(struct directory_core *core, uint64_t now_us,
            struct directory_actions *out)
{
    uint64_t period = DIRECTORY_REGION_INTERVAL_US;
    struct addr peer;

    if (now_us < core->region_us)
        return;
    if (core->fast_rounds > 0) {
        core->fast_rounds--;
        period = DIRECTORY_FAST_INTERVAL_US;
    }
    core->region_us =
        now_us + random_between(&core->random, period * 3 / 4, period * 5 / 4);
    if (core->role.author && choose_region_peer(core, &peer))
        directory_send_digest(core, peer, out);
}

void
directory_tick(struct directory_core *core, uint64_t now_us, uint64_t wall_ms,
               struct directory_actions *out)
{
    if (!core->role.holds)
        return;
    if (author_due(core, now_us))
        author_entry(core, now_us, wall_ms);
    tick_cell(core, now_us, out);
    tick_region(core, now_us, out);
}

uint64_t
directory_next_us(const struct directory_core *core)
{
    uint64_t next = core->cell_us;

    if (!core->role.holds)
        return UINT64_MAX;
    if (core->role.author)
        next = MIN(next, core->region_us);
    if (core->role.author && core->author_at_us != 0)
        next = MIN(next, core->author_at_us);
    return next;
}

void
directory_actions_clear(struct directory_actions *actions)
{
    for (size_t i = 0; i < actions->count; i++)
        directory_msg_finish(&actions->items[i].msg);
    actions->count = 0;
}
