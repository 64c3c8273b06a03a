#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/addr.h"
#include "control/member_internal.h"
#include "control/wire.h"

void
member_sync_start(struct member_core *core, struct addr to, uint64_t now_us,
                  struct member_actions *out)
{
    struct member_msg *msg =
        member_send(core, MEMBER_SYNC_SUMMARY, to, now_us, out);

    msg->summary = g_new(struct member_summary, core->count);
    for (size_t i = 0; i < core->count; i++) {
        const struct member_entry *entry = &core->entries[core->order[i]];

        if (entry->member.health == MEMBER_DEAD)
            continue;
        msg->summary[msg->summary_count].id = entry->member.id;
        msg->summary[msg->summary_count].digest = entry->digest;
        msg->summary_count++;
    }
    core->stats.syncs++;
    core->mismatch_us = 0;
    core->sync_us =
        now_us + random_between(&core->random, MEMBER_SYNC_INTERVAL_US,
                                2 * MEMBER_SYNC_INTERVAL_US);
}

/* Adds an entry to a sync message within the rate limit. */
static bool
add_within_budget(struct member_core *core, struct member_msg *msg,
                  const struct member_entry *entry, uint64_t now_us)
{
    struct member_update update = member_update_of(entry);

    if (!bucket_take(&core->sync_bucket, wire_update_size(&update), now_us))
        return false;
    msg->updates[msg->update_count++] = update;
    return true;
}

static int
compare_summary(const void *left, const void *right)
{
    const struct member_summary *a = left;
    const struct member_summary *b = right;

    return (a->id > b->id) - (a->id < b->id);
}

static void
reply_sync(struct member_core *core, const struct member_msg *msg,
           struct addr from, uint64_t now_us, struct member_actions *out)
{
    struct member_msg *reply;
    size_t first = random_below(&core->random, core->count);

    /* The peer learns this list and pushes the entries that it lacks. */
    core->joined = true;
    qsort(msg->summary, msg->summary_count, sizeof(msg->summary[0]),
          compare_summary);
    reply = member_send(core, MEMBER_SYNC_REPLY, from, now_us, out);
    reply->updates = g_new(struct member_update, core->count);
    reply->want = g_new(uint64_t, msg->summary_count);
    for (size_t i = 0; i < core->count; i++) {
        uint16_t slot = core->order[(first + i) % core->count];
        const struct member_entry *entry = &core->entries[slot];
        struct member_summary key = {.id = entry->member.id};
        const struct member_summary *theirs =
            bsearch(&key, msg->summary, msg->summary_count, sizeof(key),
                    compare_summary);

        if (theirs == NULL && entry->member.health == MEMBER_DEAD)
            continue;
        if (theirs != NULL && theirs->digest == entry->digest)
            continue;
        if (!add_within_budget(core, reply, entry, now_us))
            break;
    }
    for (size_t i = 0; i < msg->summary_count; i++) {
        const struct member_entry *entry =
            member_lookup(core, msg->summary[i].id);

        if (entry == NULL || entry->digest != msg->summary[i].digest)
            reply->want[reply->want_count++] = msg->summary[i].id;
    }
}

static void
send_wanted(struct member_core *core, const struct member_msg *msg,
            struct addr from, uint64_t now_us, struct member_actions *out)
{
    struct member_msg *reply;

    core->joined = true;
    /* The lists still differ: updates are in transit, or the peer reached
     * its rate limit. Sync soon with another member. */
    if (msg->digest != core->digest)
        core->sync_us =
            now_us + random_between(&core->random, MEMBER_SYNC_RETRY_US,
                                    2 * MEMBER_SYNC_RETRY_US);
    if (msg->want_count == 0)
        return;
    reply = member_send(core, MEMBER_SYNC_PUSH, from, now_us, out);
    reply->updates = g_new(struct member_update, msg->want_count);
    for (size_t i = 0; i < msg->want_count; i++) {
        const struct member_entry *entry = member_lookup(core, msg->want[i]);

        if (entry != NULL && !add_within_budget(core, reply, entry, now_us))
            return;
    }
}

static void
reply_join(struct member_core *core, struct addr from, uint64_t now_us,
           struct member_actions *out)
{
    struct member_msg *reply;

    if (!bucket_take(&core->join_bucket, 1, now_us)) {
        core->stats.refused_joins++;
        return;
    }
    reply = member_send(core, MEMBER_JOIN_REPLY, from, now_us, out);
    member_attach_sample(core, reply);
}

/* A new member syncs with a random member, which spares the seeds. */
static void
handle_join_reply(struct member_core *core, uint64_t now_us,
                  struct member_actions *out)
{
    const struct member_entry *peer = member_random_alive(core);

    if (core->joined || peer == NULL || now_us < core->sync_us)
        return;
    member_sync_start(core, peer->member.control, now_us, out);
    core->sync_us = now_us + USEC_PER_SEC;
}

void
member_sync_receive(struct member_core *core, const struct member_msg *msg,
                    struct addr from, uint64_t now_us,
                    struct member_actions *out)
{
    switch (msg->kind) {
    case MEMBER_JOIN:
        reply_join(core, from, now_us, out);
        break;
    case MEMBER_JOIN_REPLY:
        handle_join_reply(core, now_us, out);
        break;
    case MEMBER_SYNC_SUMMARY:
        reply_sync(core, msg, from, now_us, out);
        break;
    case MEMBER_SYNC_REPLY:
        send_wanted(core, msg, from, now_us, out);
        break;
    default:
        break;
    }
}

void
member_sync_digest(struct member_core *core, const struct member_entry *peer,
                   uint64_t digest, uint64_t now_us,
                   struct member_actions *out)
{
    if (digest == core->digest) {
        /* Peers may lack the same update: require several matches. */
        if (++core->matches >= MEMBER_SYNC_MATCHES)
            core->mismatch_us = 0;
        return;
    }
    core->matches = 0;
    if (core->mismatch_us == 0)
        core->mismatch_us = now_us;
    /* Updates in transit explain a short mismatch. */
    if (now_us < core->mismatch_us + MEMBER_SYNC_AFTER_US ||
        now_us < core->sync_us)
        return;
    member_sync_start(core, peer->member.control, now_us, out);
}

static bool
is_listed(const struct member_core *core, struct addr contact)
{
    for (size_t i = 0; i < core->count; i++) {
        const struct view_member *member =
            &core->entries[core->order[i]].member;

        if (member->health != MEMBER_DEAD &&
            addr_equal(member->control, contact))
            return true;
    }
    return false;
}

static struct addr *
next_contact(struct member_core *core)
{
    for (size_t i = 0; i < core->contact_count; i++) {
        struct addr *contact =
            &core->contacts[core->contact_next++ % core->contact_count];

        if (!is_listed(core, *contact))
            return contact;
    }
    return NULL;
}

void
member_contact_tick(struct member_core *core, uint64_t now_us,
                    struct member_actions *out)
{
    struct addr *contact;
    struct member_msg *msg;

    if (now_us < core->contact_us)
        return;
    if (core->joined)
        core->contact_interval_us = MEMBER_CONTACT_INTERVAL_US;
    else
        core->contact_interval_us =
            MIN(2 * core->contact_interval_us, MEMBER_CONTACT_INTERVAL_US / 4);
    core->contact_us =
        now_us + random_between(&core->random, core->contact_interval_us / 2,
                                core->contact_interval_us);
    contact = next_contact(core);
    if (contact == NULL) {
        /* All contacts are listed: retry a first sync that was lost. */
        handle_join_reply(core, now_us, out);
        return;
    }
    msg = member_send(core, MEMBER_JOIN, *contact, now_us, out);
    member_attach(core, msg, member_self(core), now_us);
}
