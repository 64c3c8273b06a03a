#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/auth.h"
#include "control/member_internal.h"
#include "control/wire.h"

#define UPDATE_BYTES_MIN 40 /* lower bound of an encoded update */
#define UPDATES_BYTES_MAX                                                     \
    (MEMBER_DATAGRAM_MAX - AUTH_OVERHEAD - WIRE_HEADER_MAX)
#define UPDATES_MAX (UPDATES_BYTES_MAX / UPDATE_BYTES_MIN)

struct member_update
member_update_of(const struct member_entry *entry)
{
    struct member_update update = {
        .member = entry->member,
        .start = entry->start,
        .revision = entry->revision,
    };

    return update;
}

struct member_msg *
member_send(struct member_core *core, enum member_kind kind, struct addr to,
            uint64_t now_us, struct member_actions *out)
{
    const struct member_entry *self = member_self(core);
    struct member_action *action;
    struct member_msg *msg;
    uint64_t age_us;

    if (out->count == out->capacity) {
        out->capacity = out->capacity == 0 ? 8 : 2 * out->capacity;
        out->items = g_renew(struct member_action, out->items, out->capacity);
    }
    action = &out->items[out->count++];
    memset(action, 0, sizeof(*action));
    action->to = to;
    action->stream = kind >= MEMBER_SYNC_SUMMARY;
    msg = &action->msg;
    msg->kind = kind;
    msg->from = self->member.id;
    msg->cell = core->cell;
    msg->digest = core->digest;
    msg->incarnation = self->member.incarnation;
    msg->busy = self->member.busy;
    msg->waiting = self->member.waiting;
    msg->config_version = core->config_version;
    msg->word_age_ms = UINT32_MAX;
    if (core->confirmed_us != 0) {
        age_us = now_us > core->confirmed_us ? now_us - core->confirmed_us : 0;
        msg->word_age_ms = MIN(age_us / USEC_PER_MSEC, UINT32_MAX);
    }
    return msg;
}

static bool
has_priority(const struct member_entry *a, const struct member_entry *b)
{
    if (a->urgent != b->urgent)
        return a->urgent;
    return a->change_seq > b->change_seq;
}

/* The @max pending entries of highest priority, in order. */
static size_t
pick_updates(struct member_core *core, struct member_entry **picked,
             size_t max)
{
    size_t count = 0;

    for (size_t i = 0; i < core->entry_count; i++) {
        struct member_entry *entry = &core->entries[i];
        size_t at;

        if (entry->member.id == 0 || entry->sends_left == 0)
            continue;
        if (count == max && !has_priority(entry, picked[count - 1]))
            continue;
        at = count < max ? count++ : count - 1;
        while (at > 0 && has_priority(entry, picked[at - 1])) {
            picked[at] = picked[at - 1];
            at--;
        }
        picked[at] = entry;
    }
    return count;
}

void
member_count_send(struct member_core *core, struct member_entry *entry)
{
    if (entry->sends_left == 0)
        return;
    entry->sends_left--;
    if (entry->sends_left == 0) {
        entry->urgent = false;
        core->pending--;
    }
}

static bool
add_update(struct member_msg *msg, const struct member_entry *entry,
           size_t *room)
{
    struct member_update update = member_update_of(entry);
    size_t size = wire_update_size(&update);

    if (size > *room)
        return false;
    if (msg->updates == NULL)
        msg->updates = g_new(struct member_update, UPDATES_MAX);
    g_assert(msg->update_count < UPDATES_MAX);
    msg->updates[msg->update_count++] = update;
    *room -= size;
    return true;
}

void
member_attach(struct member_core *core, struct member_msg *msg,
              struct member_entry *first, uint64_t now_us)
{
    struct member_entry *picked[UPDATES_MAX];
    size_t room = UPDATES_BYTES_MAX;
    size_t spent;
    size_t count;

    if (first != NULL && add_update(msg, first, &room))
        member_count_send(core, first);
    if (core->pending == 0)
        return;
    room = MIN(room, bucket_level(&core->gossip_bucket, now_us));
    spent = room;
    count = pick_updates(core, picked, UPDATES_MAX - 1);
    for (size_t i = 0; i < count; i++) {
        if (picked[i] == first)
            continue;
        if (!add_update(msg, picked[i], &room))
            break;
        member_count_send(core, picked[i]);
    }
    spent -= room;
    bucket_take(&core->gossip_bucket, spent, now_us);
}

void
member_attach_sample(struct member_core *core, struct member_msg *msg)
{
    size_t room = UPDATES_BYTES_MAX;
    size_t first = random_below(&core->random, core->count);

    add_update(msg, member_self(core), &room);
    for (size_t i = 0; i < core->count; i++) {
        uint16_t slot = core->order[(first + i) % core->count];
        const struct member_entry *entry = &core->entries[slot];

        if (slot == core->self || entry->member.health != MEMBER_ALIVE)
            continue;
        if (!add_update(msg, entry, &room))
            return;
    }
}

void
member_push(struct member_core *core, uint64_t now_us,
            struct member_actions *out)
{
    uint64_t sent_to[MEMBER_PUSH_FANOUT];
    size_t count = 0;

    if (core->push_us == 0 || now_us < core->push_us)
        return;
    core->push_us = 0;
    if (!bucket_take(&core->push_bucket, 1, now_us))
        return;
    for (size_t i = 0; i < 2 * MEMBER_PUSH_FANOUT; i++) {
        const struct member_entry *entry = member_random_alive(core);
        struct member_msg *msg;
        bool duplicate = false;

        if (entry == NULL || count == MEMBER_PUSH_FANOUT)
            return;
        for (size_t j = 0; j < count; j++)
            duplicate |= sent_to[j] == entry->member.id;
        if (duplicate)
            continue;
        sent_to[count++] = entry->member.id;
        msg =
            member_send(core, MEMBER_PUSH, entry->member.control, now_us, out);
        member_attach(core, msg, NULL, now_us);
    }
}

void
member_msg_finish(struct member_msg *msg)
{
    g_free(msg->updates);
    g_free(msg->summary);
    g_free(msg->want);
    memset(msg, 0, sizeof(*msg));
}

void
member_actions_clear(struct member_actions *out)
{
    for (size_t i = 0; i < out->count; i++)
        member_msg_finish(&out->items[i].msg);
    out->count = 0;
}

void
member_actions_finish(struct member_actions *out)
{
    member_actions_clear(out);
    g_free(out->items);
    memset(out, 0, sizeof(*out));
}
