#define G_LOG_DOMAIN "swiftarch-control"

#include "control/member.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/addr.h"
#include "base/log.h"
#include "control/member_internal.h"

#define PUSH_RATE 5 /* pushes per second */
#define PUSH_BURST 20
#define CONTACT_FIRST_INTERVAL_US (100 * USEC_PER_MSEC)

int
member_core_init(struct member_core *core, const struct member_update *self,
                 uint32_t cell, uint64_t seed, uint64_t now_us)
{
    struct member_entry *entry;

    g_assert(self->member.id != 0);
    memset(core, 0, sizeof(*core));
    core->cell = cell;
    core->random.state = seed;
    bucket_init(&core->gossip_bucket, MEMBER_GOSSIP_RATE, MEMBER_GOSSIP_BURST,
                now_us);
    bucket_init(&core->push_bucket, PUSH_RATE, PUSH_BURST, now_us);
    bucket_init(&core->sync_bucket, MEMBER_SYNC_RATE, MEMBER_SYNC_BURST,
                now_us);
    bucket_init(&core->join_bucket, MEMBER_JOIN_RATE, MEMBER_JOIN_BURST,
                now_us);
    entry = member_insert(core, self->member.id, now_us);
    if (entry == NULL)
        return -ENOMEM;
    core->self = 0;
    entry->member = self->member;
    entry->member.health = MEMBER_ALIVE;
    entry->member.since_us = now_us;
    entry->start = self->start;
    entry->member.incarnation = self->start;
    entry->revision = self->revision;
    member_mark_changed(core, entry, false, now_us);
    core->next_seq = random_next(&core->random);
    core->contact_interval_us = CONTACT_FIRST_INTERVAL_US;
    core->period_us = now_us + random_below(&core->random, MEMBER_PERIOD_US);
    core->dead_probe_us =
        now_us + random_below(&core->random, MEMBER_DEAD_PROBE_US);
    core->tick_us = now_us;
    return 0;
}

void
member_core_finish(struct member_core *core)
{
    g_free(core->entries);
    g_free(core->order);
    g_free(core->probe_order);
    memset(core, 0, sizeof(*core));
}

void
member_add_contact(struct member_core *core, struct addr contact)
{
    if (addr_equal(contact, member_self(core)->member.control))
        return;
    for (size_t i = 0; i < core->contact_count; i++) {
        if (addr_equal(core->contacts[i], contact))
            return;
    }
    /* When full, a new contact replaces the last one: settings stay. */
    if (core->contact_count < MEMBER_CONTACTS_MAX)
        core->contacts[core->contact_count++] = contact;
    else
        core->contacts[MEMBER_CONTACTS_MAX - 1] = contact;
}

/* Applies the sender's load and configuration version. */
static void
apply_header(struct member_core *core, const struct member_msg *msg)
{
    struct member_entry *sender = member_lookup(core, msg->from);
    struct view_member *member;

    if (sender == NULL || sender->member.incarnation != msg->incarnation)
        return;
    member = &sender->member;
    if (member->busy == msg->busy && member->waiting == msg->waiting &&
        member->config_version >= msg->config_version)
        return;
    member->busy = msg->busy;
    member->waiting = msg->waiting;
    if (msg->config_version > member->config_version)
        member->config_version = msg->config_version;
    core->load_changed = true;
}

/* Members learned from a join or sync aren't gossiped: others sync as well. */
static void
apply_updates(struct member_core *core, const struct member_msg *msg,
              uint64_t now_us)
{
    bool quiet = msg->kind >= MEMBER_JOIN_REPLY;

    for (size_t i = 0; i < msg->update_count; i++) {
        const struct member_update *update = &msg->updates[i];
        bool known = member_lookup(core, update->member.id) != NULL;
        struct member_entry *entry;

        if (!member_merge(core, update, now_us) || !quiet || known)
            continue;
        entry = member_lookup(core, update->member.id);
        if (entry != NULL && entry->sends_left > 0) {
            entry->sends_left = 0;
            core->pending--;
        }
    }
}

/* After a pause of this process, probes and suspicions start anew. */
static void
detect_stall(struct member_core *core, uint64_t now_us)
{
    uint64_t pause_us = now_us - core->tick_us;

    if (now_us < core->tick_us || pause_us < MEMBER_STALL_US)
        return;
    core->stats.stalls++;
    core->tick_us = now_us;
    member_probe_stop(core, now_us + MEMBER_PERIOD_US);
    for (size_t i = 0; i < core->entry_count; i++) {
        struct member_entry *entry = &core->entries[i];

        if (entry->member.id == 0 || entry->member.health != MEMBER_SUSPECT)
            continue;
        entry->health_since_us = now_us;
        entry->confirm_us = now_us + MEMBER_CONFIRM_PROBE_US;
    }
}

void
member_receive(struct member_core *core, const struct member_msg *msg,
               struct addr from, uint64_t now_us, struct member_actions *out)
{
    const struct member_entry *sender;

    if (core->left || msg->from == member_self(core)->member.id)
        return;
    if (msg->cell != core->cell) {
        /* A wrong seed in the settings must not join two cells. */
        if (core->stats.other_cell++ == 0)
            g_warning("Dropped a message from a member of another cell.");
        return;
    }
    detect_stall(core, now_us);
    apply_updates(core, msg, now_us);
    apply_header(core, msg);
    if (msg->kind <= MEMBER_PING_REQ)
        member_probe_receive(core, msg, from, now_us, out);
    else
        member_sync_receive(core, msg, from, now_us, out);
    sender = member_lookup(core, msg->from);
    if (sender != NULL && msg->kind < MEMBER_SYNC_SUMMARY)
        member_sync_digest(core, sender, msg->digest, now_us, out);
    member_push(core, now_us, out);
}

void
member_tick(struct member_core *core, uint64_t now_us,
            struct member_actions *out)
{
    if (core->left)
        return;
    detect_stall(core, now_us);
    core->tick_us = now_us;
    member_contact_tick(core, now_us, out);
    member_probe_tick(core, now_us, out);
    member_expire(core, now_us, out);
    member_push(core, now_us, out);
}

uint64_t
member_next_us(const struct member_core *core)
{
    uint64_t next = core->period_us;

    next = MIN(next, core->contact_us);
    if (core->push_us != 0)
        next = MIN(next, core->push_us);
    for (size_t i = 0; i < MEMBER_PROBES; i++) {
        const struct member_probe *probe = &core->probes[i];

        if (!probe->active)
            continue;
        next = MIN(next, probe->resend_us);
        if (!probe->indirect_sent)
            next = MIN(next, probe->start_us + MEMBER_INDIRECT_DELAY_US);
    }
    for (size_t i = 0; i < MEMBER_RELAYS_MAX; i++) {
        if (core->relays[i].tries_left > 0)
            next = MIN(next, core->relays[i].resend_us);
    }
    return next;
}

void
member_announce(struct member_core *core, enum member_state state,
                uint32_t service, uint16_t slots, uint16_t busy,
                uint16_t waiting, uint64_t now_us)
{
    struct member_entry *self = member_self(core);

    if (self->member.busy != busy || self->member.waiting != waiting)
        core->load_changed = true;
    self->member.busy = busy;
    self->member.waiting = waiting;
    if (self->member.state == state && self->member.service == service &&
        self->member.slots == slots)
        return;
    self->member.state = state;
    self->member.service = service;
    self->member.slots = slots;
    self->revision++;
    member_mark_changed(core, self, true, now_us);
}

void
member_set_config(struct member_core *core, uint64_t version,
                  uint64_t confirmed_us, uint64_t now_us)
{
    core->confirmed_us = confirmed_us;
    if (version <= core->config_version)
        return;
    core->config_version = version;
    member_self(core)->member.config_version = version;
    core->load_changed = true;
    if (core->push_us == 0)
        core->push_us = now_us;
}

void
member_leave(struct member_core *core, uint64_t now_us,
             struct member_actions *out)
{
    struct member_entry *self = member_self(core);

    if (core->left)
        return;
    self->member.state = MEMBER_LEAVING;
    self->member.health = MEMBER_DEAD;
    self->revision++;
    member_mark_changed(core, self, true, now_us);
    for (size_t i = 0; i < 2 * MEMBER_PUSH_FANOUT; i++) {
        const struct member_entry *peer = member_random_alive(core);
        struct member_msg *msg;

        if (peer == NULL)
            break;
        msg =
            member_send(core, MEMBER_PUSH, peer->member.control, now_us, out);
        member_attach(core, msg, self, now_us);
    }
    core->left = true;
}
