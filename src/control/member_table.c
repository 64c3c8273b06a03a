#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/hash.h"
#include "control/member_internal.h"

#define ENTRIES_INITIAL 16

/* Position of @id in the order, or its insertion point. */
static size_t
order_position(const struct member_core *core, uint64_t id)
{
    size_t low = 0;
    size_t high = core->count;

    while (low < high) {
        size_t middle = low + (high - low) / 2;

        if (core->entries[core->order[middle]].member.id < id)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

/* Dead members don't count: each process removes them at its own time. */
static uint32_t
entry_digest(const struct member_entry *entry)
{
    uint64_t parts[4];

    if (entry->member.health == MEMBER_DEAD)
        return 0;
    parts[0] = entry->member.id;
    parts[1] = entry->member.incarnation;
    parts[2] = entry->start;
    parts[3] = ((uint64_t)entry->revision << 8) | entry->member.health;
    return hash_bytes(parts, sizeof(parts), 0) | 1;
}

/* Mixes in the id, so that equal digests of two members don't cancel out. */
static uint64_t
entry_digest_part(const struct member_entry *entry)
{
    return entry->digest == 0 ? 0 : hash_pair(entry->member.id, entry->digest);
}

static void
grow(struct member_core *core)
{
    size_t capacity =
        core->entry_capacity == 0 ? ENTRIES_INITIAL : 2 * core->entry_capacity;

    if (capacity > VIEW_MEMBERS_MAX)
        capacity = VIEW_MEMBERS_MAX;
    core->entries = g_renew(struct member_entry, core->entries, capacity);
    core->order = g_renew(uint16_t, core->order, capacity);
    core->probe_order = g_renew(uint16_t, core->probe_order, capacity);
    memset(&core->entries[core->entry_capacity], 0,
           (capacity - core->entry_capacity) * sizeof(core->entries[0]));
    core->entry_capacity = capacity;
}

/* Removes the member that has been dead for longest. */
static bool
evict_dead(struct member_core *core)
{
    struct member_entry *oldest = NULL;

    for (size_t i = 0; i < core->entry_count; i++) {
        struct member_entry *entry = &core->entries[i];

        if (entry->member.id == 0 || entry->member.health != MEMBER_DEAD)
            continue;
        if (oldest == NULL || entry->health_since_us < oldest->health_since_us)
            oldest = entry;
    }
    if (oldest == NULL)
        return false;
    member_remove(core, oldest);
    return true;
}

static size_t
free_slot(struct member_core *core)
{
    for (size_t i = 0; i < core->entry_count; i++) {
        if (core->entries[i].member.id == 0)
            return i;
    }
    if (core->entry_count == core->entry_capacity)
        grow(core);
    return core->entry_count++;
}

static uint16_t
send_limit(const struct member_core *core)
{
    uint16_t log = 1;

    while ((1u << log) <= core->count)
        log++;
    return 3 * log;
}

struct member_entry *
member_lookup(struct member_core *core, uint64_t id)
{
    size_t position = order_position(core, id);
    struct member_entry *entry;

    if (position == core->count)
        return NULL;
    entry = &core->entries[core->order[position]];
    return entry->member.id == id ? entry : NULL;
}

const struct member_entry *
member_find(const struct member_core *core, uint64_t id)
{
    return member_lookup((struct member_core *)core, id);
}

struct member_entry *
member_self(struct member_core *core)
{
    return &core->entries[core->self];
}

struct member_entry *
member_insert(struct member_core *core, uint64_t id, uint64_t now_us)
{
    size_t position;
    size_t slot;
    size_t probe_position;

    g_assert(id != 0);
    if (core->count == VIEW_MEMBERS_MAX && !evict_dead(core)) {
        core->stats.refused_full++;
        return NULL;
    }
    slot = free_slot(core);
    position = order_position(core, id);
    memmove(&core->order[position + 1], &core->order[position],
            (core->count - position) * sizeof(core->order[0]));
    core->order[position] = slot;
    core->count++;
    memset(&core->entries[slot], 0, sizeof(core->entries[slot]));
    core->entries[slot].member.id = id;
    core->entries[slot].member.since_us = now_us;

    /* Insert at a random position in the rest of the permutation. */
    if (core->probe_count < core->entry_capacity) {
        probe_position =
            random_between(&core->random, core->probe_next, core->probe_count);
        core->probe_order[core->probe_count] =
            core->probe_order[probe_position];
        core->probe_order[probe_position] = slot;
        core->probe_count++;
    }
    return &core->entries[slot];
}

void
member_remove(struct member_core *core, struct member_entry *entry)
{
    size_t position = order_position(core, entry->member.id);

    g_assert(entry != member_self(core));
    memmove(&core->order[position], &core->order[position + 1],
            (core->count - position - 1) * sizeof(core->order[0]));
    core->count--;
    core->digest ^= entry_digest_part(entry);
    if (entry->sends_left > 0)
        core->pending--;
    memset(entry, 0, sizeof(*entry));
    core->changed = true;
}

void
member_mark_changed(struct member_core *core, struct member_entry *entry,
                    bool urgent, uint64_t now_us)
{
    core->digest ^= entry_digest_part(entry);
    entry->digest = entry_digest(entry);
    core->digest ^= entry_digest_part(entry);
    if (entry->sends_left == 0)
        core->pending++;
    entry->sends_left = send_limit(core);
    entry->change_seq = ++core->change_seq;
    entry->urgent = urgent;
    core->changed = true;
    if (urgent && core->push_us == 0)
        core->push_us = now_us + MEMBER_PUSH_DELAY_US;
}

size_t
member_alive_count(const struct member_core *core)
{
    size_t alive = 0;

    for (size_t i = 0; i < core->count; i++) {
        if (core->entries[core->order[i]].member.health == MEMBER_ALIVE)
            alive++;
    }
    return alive;
}

size_t
member_rank(const struct member_core *core, uint64_t key, size_t *alive)
{
    uint64_t own = hash_pair(key, core->entries[core->self].member.id);
    size_t before = 0;
    size_t ranked = 0;

    for (size_t i = 0; i < core->count; i++) {
        const struct view_member *member =
            &core->entries[core->order[i]].member;

        if (member->health != MEMBER_ALIVE || member->state == MEMBER_LEAVING)
            continue;
        ranked++;
        if (hash_pair(key, member->id) > own)
            before++;
    }
    if (alive != NULL)
        *alive = ranked;
    return before;
}

const struct member_entry *
member_random_alive(struct member_core *core)
{
    size_t first = random_below(&core->random, core->count);

    for (size_t i = 0; i < core->count; i++) {
        size_t position = (first + i) % core->count;
        uint16_t slot = core->order[position];

        if (slot != core->self &&
            core->entries[slot].member.health == MEMBER_ALIVE)
            return &core->entries[slot];
    }
    return NULL;
}

static bool
is_visible(const struct member_entry *entry, uint64_t now_us)
{
    return entry->member.health != MEMBER_DEAD ||
           now_us < entry->health_since_us + MEMBER_DEAD_VISIBLE_US;
}

struct view *
member_view(const struct member_core *core, uint64_t seq, uint64_t now_us)
{
    struct view *view = view_new(core->count);

    if (view == NULL)
        return NULL;
    view->seq = seq;
    for (size_t i = 0; i < core->count; i++) {
        const struct member_entry *entry = &core->entries[core->order[i]];

        if (!is_visible(entry, now_us))
            continue;
        if (core->order[i] == core->self)
            view->self = view->count;
        view->members[view->count++] = entry->member;
    }
    return view;
}
