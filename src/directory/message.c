#include "directory/message.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "directory/directory.pb-c.h"

/* Upper bounds of encoded parts of a message, in bytes */
#define ENTRY_BYTES (24 + DIRECTORY_NAME_MAX + 24)
#define GATEWAY_BYTES 24

void
directory_msg_finish(struct directory_msg *msg)
{
    for (size_t i = 0; i < msg->entry_count; i++)
        directory_entry_unref(msg->entries[i]);
    g_free(msg->entries);
    g_free(msg->items);
    g_free(msg->want);
    memset(msg, 0, sizeof(*msg));
}

size_t
directory_entry_size(const struct directory_entry *entry)
{
    return ENTRY_BYTES + entry->gateway_count * GATEWAY_BYTES +
           (entry->author_count + entry->count) * sizeof(uint64_t);
}

static uint64_t
pack_addr(struct addr addr)
{
    return (uint64_t)addr.ip << 16 | addr.port;
}

static bool
unpack_addr(uint64_t value, struct addr *addr)
{
    addr->ip = (uint32_t)(value >> 16);
    addr->port = (uint16_t)value;
    return value >> 48 == 0 && addr->ip != 0 && addr->port != 0;
}

/** struct packer - protobuf structures of a message during encoding */
struct packer {
    Swiftarch__DirectoryMessage out;
    Swiftarch__DirectoryItem *items;
    Swiftarch__DirectoryItem **item_pointers;
    Swiftarch__DirectoryEntry *entries;
    Swiftarch__DirectoryEntry **entry_pointers;
    Swiftarch__DirectoryGateway *gateways;
    Swiftarch__DirectoryGateway **gateway_pointers;
    uint64_t *authors;
};

static void
pack_items(struct packer *packer, const struct directory_msg *msg)
{
    packer->items = g_new(Swiftarch__DirectoryItem, msg->item_count);
    packer->item_pointers = g_new(Swiftarch__DirectoryItem *, msg->item_count);
    for (size_t i = 0; i < msg->item_count; i++) {
        Swiftarch__DirectoryItem *item = &packer->items[i];

        swiftarch__directory_item__init(item);
        item->cell = msg->items[i].cell;
        item->config_version = msg->items[i].version.config_version;
        item->counter = msg->items[i].version.counter;
        item->sum = msg->items[i].version.sum;
        packer->item_pointers[i] = item;
    }
    packer->out.items = packer->item_pointers;
    packer->out.n_items = msg->item_count;
}

static void
pack_gateways(struct packer *packer, size_t at,
              const struct directory_entry *entry)
{
    Swiftarch__DirectoryEntry *out = &packer->entries[at];

    at *= DIRECTORY_GATEWAYS;
    out->gateways = packer->gateway_pointers + at;
    out->n_gateways = entry->gateway_count;
    for (size_t i = 0; i < entry->gateway_count; i++, at++) {
        Swiftarch__DirectoryGateway *gateway = &packer->gateways[at];

        swiftarch__directory_gateway__init(gateway);
        gateway->data_ip = entry->gateways[i].data.ip;
        gateway->data_port = entry->gateways[i].data.port;
        gateway->control_ip = entry->gateways[i].control.ip;
        gateway->control_port = entry->gateways[i].control.port;
        packer->gateway_pointers[at] = gateway;
    }
}

static void
pack_entry(struct packer *packer, size_t at,
           const struct directory_entry *entry)
{
    Swiftarch__DirectoryEntry *out = &packer->entries[at];

    swiftarch__directory_entry__init(out);
    out->name = (char *)entry->name;
    out->config_version = entry->version.config_version;
    out->counter = entry->version.counter;
    out->addresses = (uint64_t *)entry->addresses;
    out->n_addresses = entry->count;
    out->authors = packer->authors + at * DIRECTORY_AUTHORS;
    out->n_authors = entry->author_count;
    for (size_t i = 0; i < entry->author_count; i++)
        out->authors[i] = pack_addr(entry->authors[i]);
    pack_gateways(packer, at, entry);
    packer->entry_pointers[at] = out;
}

static void
pack_entries(struct packer *packer, const struct directory_msg *msg)
{
    size_t count = msg->entry_count;

    packer->entries = g_new(Swiftarch__DirectoryEntry, count);
    packer->entry_pointers = g_new(Swiftarch__DirectoryEntry *, count);
    packer->gateways =
        g_new(Swiftarch__DirectoryGateway, count * DIRECTORY_GATEWAYS);
    packer->gateway_pointers =
        g_new(Swiftarch__DirectoryGateway *, count * DIRECTORY_GATEWAYS);
    packer->authors = g_new(uint64_t, count * DIRECTORY_AUTHORS);
    for (size_t i = 0; i < count; i++)
        pack_entry(packer, i, msg->entries[i]);
    packer->out.entries = packer->entry_pointers;
    packer->out.n_entries = count;
}

static void
packer_init(struct packer *packer, const struct directory_msg *msg)
{
    memset(packer, 0, sizeof(*packer));
    swiftarch__directory_message__init(&packer->out);
    packer->out.kind = msg->kind;
    packer->out.from = pack_addr(msg->from);
    packer->out.salt = msg->salt;
    packer->out.groups = msg->groups;
    if (msg->kind == DIRECTORY_DIGEST) {
        packer->out.hashes = (uint32_t *)msg->hashes;
        packer->out.n_hashes = DIRECTORY_GROUPS;
    }
    packer->out.want = msg->want;
    packer->out.n_want = msg->want_count;
    pack_items(packer, msg);
    pack_entries(packer, msg);
}

static void
packer_finish(struct packer *packer)
{
    g_free(packer->items);
    g_free(packer->item_pointers);
    g_free(packer->entries);
    g_free(packer->entry_pointers);
    g_free(packer->gateways);
    g_free(packer->gateway_pointers);
    g_free(packer->authors);
}

size_t
directory_msg_size(const struct directory_msg *msg)
{
    struct packer packer;
    size_t size;

    packer_init(&packer, msg);
    size = swiftarch__directory_message__get_packed_size(&packer.out);
    packer_finish(&packer);
    return size;
}

size_t
directory_msg_encode(const struct directory_msg *msg, uint8_t *buf)
{
    struct packer packer;
    size_t size;

    packer_init(&packer, msg);
    size = swiftarch__directory_message__pack(&packer.out, buf);
    packer_finish(&packer);
    return size;
}

static int
unpack_gateways(const Swiftarch__DirectoryEntry *in,
                struct directory_entry *entry)
{
    for (size_t i = 0; i < in->n_gateways; i++) {
        const Swiftarch__DirectoryGateway *from = in->gateways[i];
        struct directory_gateway *to = &entry->gateways[i];

        if (from->data_port > UINT16_MAX || from->control_port > UINT16_MAX)
            return -EBADMSG;
        to->data.ip = from->data_ip;
        to->data.port = (uint16_t)from->data_port;
        to->control.ip = from->control_ip;
        to->control.port = (uint16_t)from->control_port;
        if (to->data.ip == 0 || to->data.port == 0 || to->control.ip == 0 ||
            to->control.port == 0)
            return -EBADMSG;
    }
    entry->gateway_count = in->n_gateways;
    return 0;
}

static bool
entry_in_range(const Swiftarch__DirectoryEntry *in)
{
    size_t len = strlen(in->name);

    if (len == 0 || len >= DIRECTORY_NAME_MAX || in->config_version == 0 ||
        in->counter == 0)
        return false;
    if (in->n_gateways > DIRECTORY_GATEWAYS ||
        in->n_authors > DIRECTORY_AUTHORS ||
        in->n_addresses > DIRECTORY_ADDRESSES_MAX)
        return false;
    /* Ascending without duplicates, flag bits ignored. */
    for (size_t i = 1; i < in->n_addresses; i++) {
        if (in->addresses[i] >> 8 <= in->addresses[i - 1] >> 8)
            return false;
    }
    return true;
}

static int
unpack_entry(const Swiftarch__DirectoryEntry *in,
             struct directory_entry **result)
{
    struct directory_entry *entry;
    int ret;

    if (!entry_in_range(in))
        return -EBADMSG;
    entry = directory_entry_new(in->name, in->n_addresses);
    if (entry == NULL)
        return -ENOMEM;
    entry->version.config_version = in->config_version;
    entry->version.counter = in->counter;
    if (in->n_addresses > 0)
        memcpy(entry->addresses, in->addresses,
               in->n_addresses * sizeof(uint64_t));
    ret = unpack_gateways(in, entry);
    for (size_t i = 0; i < in->n_authors && ret == 0; i++) {
        if (!unpack_addr(in->authors[i], &entry->authors[i]))
            ret = -EBADMSG;
    }
    if (ret < 0) {
        directory_entry_unref(entry);
        return ret;
    }
    entry->author_count = in->n_authors;
    directory_entry_finalize(entry);
    *result = entry;
    return 0;
}

static void
unpack_items(const Swiftarch__DirectoryMessage *in, struct directory_msg *msg)
{
    msg->items = g_new(struct directory_item, in->n_items);
    msg->item_count = in->n_items;
    for (size_t i = 0; i < in->n_items; i++) {
        msg->items[i].cell = in->items[i]->cell;
        msg->items[i].version.config_version = in->items[i]->config_version;
        msg->items[i].version.counter = in->items[i]->counter;
        msg->items[i].version.sum = in->items[i]->sum;
    }
}

static int
unpack(const Swiftarch__DirectoryMessage *in, struct directory_msg *msg)
{
    bool digest = in->kind == DIRECTORY_DIGEST;

    if (in->kind < DIRECTORY_DIGEST || in->kind > DIRECTORY_ENTRIES ||
        !unpack_addr(in->from, &msg->from) ||
        in->n_hashes != (digest ? DIRECTORY_GROUPS : 0) ||
        in->groups >> DIRECTORY_GROUPS != 0 ||
        in->n_items > DIRECTORY_CELLS_MAX ||
        in->n_want > DIRECTORY_CELLS_MAX ||
        in->n_entries > DIRECTORY_CELLS_MAX)
        return -EBADMSG;
    msg->kind = in->kind;
    msg->salt = in->salt;
    msg->groups = in->groups;
    if (digest)
        memcpy(msg->hashes, in->hashes, sizeof(msg->hashes));
    unpack_items(in, msg);
    msg->want = g_memdup2(in->want, in->n_want * sizeof(uint64_t));
    msg->want_count = in->n_want;
    msg->entries = g_new0(struct directory_entry *, in->n_entries);
    for (size_t i = 0; i < in->n_entries; i++) {
        int ret = unpack_entry(in->entries[i], &msg->entries[i]);

        if (ret < 0)
            return ret;
        msg->entry_count++;
    }
    return 0;
}

int
directory_msg_decode(const uint8_t *buf, size_t len, struct directory_msg *msg)
{
    Swiftarch__DirectoryMessage *in;
    int ret;

    memset(msg, 0, sizeof(*msg));
    if (len > DIRECTORY_MESSAGE_MAX)
        return -EBADMSG;
    in = swiftarch__directory_message__unpack(NULL, len, buf);
    if (in == NULL)
        return -EBADMSG;
    ret = unpack(in, msg);
    swiftarch__directory_message__free_unpacked(in, NULL);
    if (ret < 0)
        directory_msg_finish(msg);
    return ret;
}
