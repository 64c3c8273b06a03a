#define G_LOG_DOMAIN "swiftarch-control"

#include <string.h>

#include "base/addr.h"
#include "base/hash.h"
#include "base/log.h"
#include "control/member_internal.h"

static bool
is_newer_announcement(const struct member_update *update,
                      const struct member_entry *entry)
{
    if (update->start != entry->start)
        return update->start > entry->start;
    return update->revision > entry->revision;
}

static bool
is_newer_health(const struct member_update *update,
                const struct member_entry *entry)
{
    if (update->member.incarnation != entry->member.incarnation)
        return update->member.incarnation > entry->member.incarnation;
    return update->member.health > entry->member.health;
}

static bool
is_same(const struct member_update *update, const struct member_entry *entry)
{
    return update->start == entry->start &&
           update->revision == entry->revision &&
           update->member.incarnation == entry->member.incarnation &&
           update->member.health == entry->member.health;
}

static void
apply_announcement(struct member_entry *entry,
                   const struct member_update *update, uint64_t now_us)
{
    struct view_member *member = &entry->member;
    const struct view_member *announced = &update->member;

    if (update->start != entry->start) {
        member->since_us = now_us;
        member->busy = 0;
        member->waiting = 0;
        member->config_version = 0;
    }
    memcpy(member->name, announced->name, sizeof(member->name));
    memcpy(member->data_centre, announced->data_centre,
           sizeof(member->data_centre));
    member->role = announced->role;
    member->state = announced->state;
    member->data = announced->data;
    member->control = announced->control;
    member->service = announced->service;
    member->slots = announced->slots;
    entry->start = update->start;
    entry->revision = update->revision;
}

static void
set_health(struct member_entry *entry, enum member_health health,
           uint64_t now_us)
{
    if (entry->member.health == health)
        return;
    entry->member.health = health;
    entry->health_since_us = now_us;
    entry->confirm_us = now_us + MEMBER_CONFIRM_PROBE_US;
}

static bool
merge_new(struct member_core *core, const struct member_update *update,
          uint64_t now_us)
{
    struct member_entry *entry;

    /* A death of an unknown member needs no entry. */
    if (update->member.health == MEMBER_DEAD)
        return false;
    entry = member_insert(core, update->member.id, now_us);
    if (entry == NULL)
        return false;
    apply_announcement(entry, update, now_us);
    entry->member.incarnation = update->member.incarnation;
    set_health(entry, update->member.health, now_us);
    member_mark_changed(core, entry, false, now_us);
    return true;
}

/*
 * The update has this name and a newer start. With the own address, or not
 * alive, it is an earlier process whose clock was ahead: outbid its
 * incarnation. Otherwise another process has the same name.
 */
static bool
merge_name_conflict(struct member_core *core, struct member_entry *self,
                    const struct member_update *update, uint64_t now_us)
{
    if (update->member.health == MEMBER_ALIVE &&
        !addr_equal(update->member.control, self->member.control)) {
        if (core->stats.name_conflicts++ == 0)
            g_warning("Another process in the cell uses the name %s.",
                      self->member.name);
        return false;
    }
    self->start = update->member.incarnation + 1;
    self->member.incarnation = self->start;
    member_mark_changed(core, self, true, now_us);
    return true;
}

static bool
merge_self(struct member_core *core, const struct member_update *update,
           uint64_t now_us)
{
    struct member_entry *self = member_self(core);

    if (core->left || update->member.incarnation < self->member.incarnation)
        return false;
    if (update->start > self->start)
        return merge_name_conflict(core, self, update, now_us);
    if (update->member.incarnation == self->member.incarnation &&
        update->member.health == MEMBER_ALIVE)
        return false;
    self->member.incarnation = update->member.incarnation + 1;
    core->stats.self_refutations++;
    member_mark_changed(core, self, true, now_us);
    return true;
}

bool
member_merge(struct member_core *core, const struct member_update *update,
             uint64_t now_us)
{
    struct member_entry *entry;
    bool newer_announcement;
    bool newer_health;
    bool urgent;

    if (update->member.id == member_self(core)->member.id)
        return merge_self(core, update, now_us);
    entry = member_lookup(core, update->member.id);
    if (entry == NULL)
        return merge_new(core, update, now_us);
    newer_announcement = is_newer_announcement(update, entry);
    newer_health = is_newer_health(update, entry);
    if (!newer_announcement && !newer_health) {
        if (is_same(update, entry))
            member_count_send(core, entry);
        return false;
    }
    urgent = newer_announcement && update->member.state != entry->member.state;
    if (newer_announcement)
        apply_announcement(entry, update, now_us);
    if (newer_health) {
        urgent |= update->member.health != entry->member.health;
        if (update->member.health == MEMBER_ALIVE &&
            entry->member.health != MEMBER_ALIVE)
            core->stats.refuted++;
        /* A newer incarnation restarts the suspicion timeout. */
        if (update->member.incarnation > entry->member.incarnation)
            entry->member.health = MEMBER_ALIVE;
        entry->member.incarnation = update->member.incarnation;
        set_health(entry, update->member.health, now_us);
    }
    if (entry->member.health == MEMBER_DEAD)
        entry->left_cleanly = entry->member.state == MEMBER_LEAVING;
    member_mark_changed(core, entry, urgent, now_us);
    return true;
}

void
member_worsen_health(struct member_core *core, struct member_entry *entry,
                     enum member_health health, uint64_t now_us)
{
    g_assert(entry != member_self(core));
    if (entry->member.health >= health)
        return;
    set_health(entry, health, now_us);
    entry->left_cleanly = entry->member.state == MEMBER_LEAVING;
    member_mark_changed(core, entry, true, now_us);
}

/* Whether this process confirms the death of @entry before the timeout. */
static bool
is_confirmer(const struct member_core *core, const struct member_entry *entry)
{
    uint64_t own =
        hash_pair(core->entries[core->self].member.id, entry->member.id);
    size_t better = 0;

    for (size_t i = 0; i < core->count; i++) {
        const struct view_member *other =
            &core->entries[core->order[i]].member;

        if (other->health == MEMBER_ALIVE &&
            hash_pair(other->id, entry->member.id) > own)
            better++;
    }
    return better < MEMBER_CONFIRMERS;
}

static void
declare_dead(struct member_core *core, struct member_entry *entry,
             uint64_t now_us)
{
    core->stats.deaths++;
    member_worsen_health(core, entry, MEMBER_DEAD, now_us);
}

static void
expire_suspect(struct member_core *core, struct member_entry *entry,
               uint64_t now_us, struct member_actions *out)
{
    struct member_msg *msg;

    if (now_us >= entry->health_since_us + MEMBER_SUSPECT_TIMEOUT_US) {
        declare_dead(core, entry, now_us);
        return;
    }
    if (now_us < entry->confirm_us || !is_confirmer(core, entry))
        return;
    if (now_us >= entry->health_since_us + MEMBER_CONFIRM_US) {
        declare_dead(core, entry, now_us);
        return;
    }
    entry->confirm_us = now_us + MEMBER_PERIOD_US;
    msg = member_send(core, MEMBER_PING, entry->member.control, now_us, out);
    msg->target = entry->member.id;
    member_attach(core, msg, entry, now_us);
}

void
member_expire(struct member_core *core, uint64_t now_us,
              struct member_actions *out)
{
    for (size_t i = core->entry_count; i-- > 0;) {
        struct member_entry *entry = &core->entries[i];
        uint64_t retention_us;

        if (entry->member.id == 0 || i == core->self)
            continue;
        if (entry->member.health == MEMBER_SUSPECT)
            expire_suspect(core, entry, now_us, out);
        if (entry->member.health != MEMBER_DEAD)
            continue;
        retention_us = entry->left_cleanly ? MEMBER_LEFT_TOMBSTONE_US
                                           : MEMBER_TOMBSTONE_US;
        if (now_us >= entry->health_since_us + retention_us)
            member_remove(core, entry);
    }
}

void
member_proven_dead(struct member_core *core, uint64_t id, uint64_t incarnation,
                   uint64_t now_us)
{
    struct member_entry *entry = member_lookup(core, id);

    if (entry == NULL || entry == member_self(core) ||
        entry->member.incarnation > incarnation ||
        entry->member.health == MEMBER_DEAD)
        return;
    core->stats.proven++;
    member_worsen_health(core, entry, MEMBER_DEAD, now_us);
}

void
member_refused(struct member_core *core, struct addr at, uint64_t now_us)
{
    for (size_t i = 0; i < core->count; i++) {
        const struct view_member *member =
            &core->entries[core->order[i]].member;

        if (addr_equal(member->control, at))
            member_proven_dead(core, member->id, member->incarnation, now_us);
    }
}
