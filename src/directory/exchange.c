#include <string.h>

#include <glib.h>

#include "base/hash.h"
#include "directory/directory_internal.h"

/* Upper bound of the encoded fields besides entries, in bytes */
#define HEADER_BYTES 64

static unsigned
group_of(uint64_t cell)
{
    return cell % DIRECTORY_GROUPS;
}

static void
hash_groups(const struct directory_core *core, uint32_t salt, uint32_t *hashes)
{
    uint64_t sums[DIRECTORY_GROUPS];

    for (size_t i = 0; i < DIRECTORY_GROUPS; i++)
        sums[i] = salt;
    for (size_t i = 0; i < core->count; i++) {
        const struct directory_entry *entry = core->slots[i].entry;
        uint64_t *sum = &sums[group_of(entry->cell)];

        *sum = hash_pair(*sum, entry->cell);
        *sum = hash_pair(*sum, entry->version.config_version);
        *sum = hash_pair(*sum, entry->version.counter);
        *sum = hash_pair(*sum, entry->version.sum);
    }
    for (size_t i = 0; i < DIRECTORY_GROUPS; i++)
        hashes[i] = (uint32_t)(sums[i] >> 32);
}

static struct directory_msg *
add_message(struct directory_core *core, enum directory_kind kind,
            struct addr to, struct directory_actions *out)
{
    struct directory_action *action;

    if (out->count == DIRECTORY_ACTIONS_MAX)
        return NULL;
    action = &out->items[out->count++];
    memset(action, 0, sizeof(*action));
    action->to = to;
    action->msg.kind = kind;
    action->msg.from = core->self;
    return &action->msg;
}

void
directory_send_digest(struct directory_core *core, struct addr to,
                      struct directory_actions *out)
{
    struct directory_msg *msg = add_message(core, DIRECTORY_DIGEST, to, out);

    if (msg == NULL)
        return;
    msg->salt = (uint32_t)random_next(&core->random);
    hash_groups(core, msg->salt, msg->hashes);
    core->stats.digests++;
}

static void
drop_last_message(struct directory_actions *out)
{
    directory_msg_finish(&out->items[--out->count].msg);
}

/* Charges the last message to the byte budget, or drops it. */
static void
charge_budget(struct directory_core *core, uint64_t now_us,
              struct directory_actions *out)
{
    struct directory_msg *msg = &out->items[out->count - 1].msg;
    size_t size = directory_msg_size(msg);

    if (bucket_take(&core->bytes, (uint32_t)size, now_us))
        return;
    core->stats.delayed++;
    drop_last_message(out);
}

static void
receive_digest(struct directory_core *core, const struct directory_msg *msg,
               uint64_t now_us, struct directory_actions *out)
{
    uint32_t hashes[DIRECTORY_GROUPS];
    struct directory_msg *summary;
    uint32_t groups = 0;

    hash_groups(core, msg->salt, hashes);
    for (size_t i = 0; i < DIRECTORY_GROUPS; i++) {
        if (hashes[i] != msg->hashes[i])
            groups |= 1u << i;
    }
    if (groups == 0) {
        core->stats.synced++;
        return;
    }
    summary = add_message(core, DIRECTORY_SUMMARY, msg->from, out);
    if (summary == NULL)
        return;
    summary->groups = groups;
    summary->items = g_new(struct directory_item, core->count);
    for (size_t i = 0; i < core->count; i++) {
        const struct directory_entry *entry = core->slots[i].entry;
        struct directory_item *item = &summary->items[summary->item_count];

        if ((groups >> group_of(entry->cell) & 1) == 0)
            continue;
        item->cell = entry->cell;
        item->version = entry->version;
        summary->item_count++;
    }
    charge_budget(core, now_us, out);
}

/**
 * struct sender - builds one message of entries within the byte budget
 * @core: core that sends
 * @to: control address of the receiver
 * @now_us: current time
 * @out: receives the message
 * @msg: message, NULL before the first entry
 * @size: upper bound of the encoded size in bytes
 */
struct sender {
    struct directory_core *core;
    struct addr to;
    uint64_t now_us;
    struct directory_actions *out;
    struct directory_msg *msg;
    size_t size;
};

static bool
send_entry(struct sender *sender, struct directory_entry *entry)
{
    struct directory_core *core = sender->core;
    size_t size = directory_entry_size(entry);

    /* Later digests lead to the rest. */
    if (sender->size + size > DIRECTORY_MESSAGE_MAX ||
        sender->size + size > bucket_level(&core->bytes, sender->now_us)) {
        core->stats.delayed++;
        return false;
    }
    if (sender->msg == NULL) {
        sender->msg =
            add_message(core, DIRECTORY_ENTRIES, sender->to, sender->out);
        if (sender->msg == NULL)
            return false;
        sender->msg->entries =
            g_new(struct directory_entry *, DIRECTORY_CELLS_MAX);
    }
    sender->size += size;
    sender->msg->entries[sender->msg->entry_count++] =
        directory_entry_ref(entry);
    return true;
}

static void
receive_want(struct directory_core *core, const struct directory_msg *msg,
             uint64_t now_us, struct directory_actions *out)
{
    struct sender sender = {.core = core,
                            .to = msg->from,
                            .now_us = now_us,
                            .out = out,
                            .size = HEADER_BYTES};

    for (size_t i = 0; i < msg->want_count; i++) {
        const struct directory_slot *slot = directory_find(core, msg->want[i]);

        if (slot != NULL && !send_entry(&sender, slot->entry))
            break;
    }
    if (sender.msg != NULL)
        charge_budget(core, now_us, out);
}

/* Whether only the counter differs, so that the entry need not be sent */
static bool
is_renewal(const struct directory_version *current,
           const struct directory_version *later)
{
    return current->config_version == later->config_version &&
           current->sum == later->sum;
}

static const struct directory_item *
find_item(const struct directory_msg *msg, uint64_t cell)
{
    for (size_t i = 0; i < msg->item_count; i++) {
        if (msg->items[i].cell == cell)
            return &msg->items[i];
    }
    return NULL;
}

/* Sends entries that are missing from the summary or later than in it. */
static void
reply_to_summary(struct directory_core *core, const struct directory_msg *msg,
                 uint64_t now_us, struct directory_actions *out)
{
    struct sender sender = {.core = core,
                            .to = msg->from,
                            .now_us = now_us,
                            .out = out,
                            .size = HEADER_BYTES};

    for (size_t i = 0; i < core->count; i++) {
        struct directory_entry *entry = core->slots[i].entry;
        const struct directory_item *item;

        if ((msg->groups >> group_of(entry->cell) & 1) == 0)
            continue;
        item = find_item(msg, entry->cell);
        if (item != NULL &&
            (directory_version_compare(&entry->version, &item->version) <= 0 ||
             is_renewal(&item->version, &entry->version)))
            continue;
        if (!send_entry(&sender, entry))
            break;
    }
    if (sender.msg != NULL)
        charge_budget(core, now_us, out);
}

/* Sends versions of renewed entries in a summary without groups. */
static void
reply_with_renewals(struct directory_core *core,
                    const struct directory_msg *msg, uint64_t now_us,
                    struct directory_actions *out)
{
    struct directory_msg *reply =
        add_message(core, DIRECTORY_SUMMARY, msg->from, out);

    if (reply == NULL)
        return;
    reply->items = g_new(struct directory_item, msg->item_count);
    for (size_t i = 0; i < msg->item_count; i++) {
        const struct directory_item *item = &msg->items[i];
        const struct directory_slot *slot = directory_find(core, item->cell);
        struct directory_item *reply_item = &reply->items[reply->item_count];

        if (slot == NULL ||
            !is_renewal(&item->version, &slot->entry->version) ||
            slot->entry->version.counter <= item->version.counter)
            continue;
        reply_item->cell = item->cell;
        reply_item->version = slot->entry->version;
        reply->item_count++;
    }
    if (reply->item_count > 0)
        charge_budget(core, now_us, out);
    else
        drop_last_message(out);
}

static void
renew(struct directory_core *core, const struct directory_slot *slot,
      uint64_t counter, uint64_t now_us)
{
    struct directory_entry *entry = directory_entry_copy(slot->entry);

    if (entry == NULL)
        return; /* the next digest differs again */
    entry->version.counter = counter;
    directory_merge(core, entry, now_us);
    directory_entry_unref(entry);
}

static void
request_entries(struct directory_core *core, const struct directory_msg *msg,
                uint64_t now_us, struct directory_actions *out)
{
    struct directory_msg *want =
        add_message(core, DIRECTORY_WANT, msg->from, out);

    if (want == NULL)
        return;
    want->want = g_new(uint64_t, msg->item_count);
    for (size_t i = 0; i < msg->item_count; i++) {
        const struct directory_item *item = &msg->items[i];
        const struct directory_slot *slot = directory_find(core, item->cell);

        if (slot != NULL && directory_version_compare(
                                &item->version, &slot->entry->version) <= 0)
            continue;
        if (slot != NULL && is_renewal(&slot->entry->version, &item->version))
            renew(core, slot, item->version.counter, now_us);
        else
            want->want[want->want_count++] = item->cell;
    }
    if (want->want_count > 0) {
        charge_budget(core, now_us, out);
    }
    else {
        core->stats.synced++;
        drop_last_message(out);
    }
}

static void
receive_summary(struct directory_core *core, const struct directory_msg *msg,
                uint64_t now_us, struct directory_actions *out)
{
    request_entries(core, msg, now_us, out);
    reply_with_renewals(core, msg, now_us, out);
    reply_to_summary(core, msg, now_us, out);
}

void
directory_receive(struct directory_core *core, const struct directory_msg *msg,
                  uint64_t now_us, struct directory_actions *out)
{
    if (!core->role.holds)
        return;
    switch (msg->kind) {
    case DIRECTORY_DIGEST:
        receive_digest(core, msg, now_us, out);
        break;
    case DIRECTORY_SUMMARY:
        receive_summary(core, msg, now_us, out);
        break;
    case DIRECTORY_WANT:
        receive_want(core, msg, now_us, out);
        break;
    case DIRECTORY_ENTRIES:
        core->stats.synced++;
        for (size_t i = 0; i < msg->entry_count; i++)
            directory_merge(core, msg->entries[i], now_us);
        break;
    }
}
