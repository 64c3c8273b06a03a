/**
 * DOC: message - what processes tell each other of the directory
 *
 * A digest names a hash for each group of cells. Whoever finds other hashes
 * answers with a summary of those groups; the receiver then sends the
 * entries of which it has the later version and asks for the others. A
 * version with the sum of the entry held says all: nothing else is sent of
 * an entry that was only renewed.
 */
#ifndef SWIFTARCH_DIRECTORY_MESSAGE_H
#define SWIFTARCH_DIRECTORY_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include "directory/entry.h"

#define DIRECTORY_GROUPS 16
#define DIRECTORY_CELLS_MAX 256
#define DIRECTORY_MESSAGE_MAX 36864 /* an entry of the largest text fits */

/** enum directory_kind - kinds of messages */
enum directory_kind {
    DIRECTORY_DIGEST = 1,
    DIRECTORY_SUMMARY,
    DIRECTORY_WANT,
    DIRECTORY_ENTRIES
};

/** struct directory_item - version that the sender holds of a cell */
struct directory_item {
    uint64_t cell;
    struct directory_version version;
};

/**
 * struct directory_msg - one message; of the parts, only those of its kind
 * @kind: kind
 * @from: control address of the sender
 * @salt: digest: seed of the hashes, new for each, so that two lists that
 *        differ but hash alike are found out by the next digest
 * @hashes: digest: of each group
 * @groups: summary: bit for each group told
 * @items: summary
 * @item_count: how many
 * @want: cells wanted
 * @want_count: how many
 * @entries: entries, each with a reference
 * @entry_count: how many
 */
struct directory_msg {
    enum directory_kind kind;
    struct addr from;
    uint32_t salt;
    uint32_t hashes[DIRECTORY_GROUPS];
    uint32_t groups;
    struct directory_item *items;
    size_t item_count;
    uint64_t *want;
    size_t want_count;
    struct directory_entry **entries;
    size_t entry_count;
};

/** directory_msg_finish() - free what the message holds */
void
directory_msg_finish(struct directory_msg *msg);

/** directory_entry_size() - most bytes that an entry adds to a message */
size_t
directory_entry_size(const struct directory_entry *entry);

/** directory_msg_size() - bytes of the encoded message */
size_t
directory_msg_size(const struct directory_msg *msg);

/** directory_msg_encode() - write directory_msg_size() bytes; that size */
size_t
directory_msg_encode(const struct directory_msg *msg, uint8_t *buf);

/**
 * directory_msg_decode() - read a message
 *
 * Return: 0 or -EBADMSG for what is malformed or out of range, -ENOMEM;
 * @msg then holds nothing.
 */
int
directory_msg_decode(const uint8_t *buf, size_t len,
                     struct directory_msg *msg);

#endif
