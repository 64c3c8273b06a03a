/**
 * DOC: message - messages of the directory protocol and their encoding
 *
 * A digest holds a hash of each group of cells. A process whose hashes differ
 * replies with a summary, the versions of its entries in those groups. The
 * receiver sends the entries of which it has a later version and requests
 * those of which it has an earlier one. Of a renewed entry, which has the same
 * sum, only the version is sent.
 */
#ifndef SWIFTARCH_DIRECTORY_MESSAGE_H
#define SWIFTARCH_DIRECTORY_MESSAGE_H

#include <stddef.h>
#include <stdint.h>

#include "directory/entry.h"

#define DIRECTORY_GROUPS 16
#define DIRECTORY_CELLS_MAX 256
#define DIRECTORY_MESSAGE_MAX 36864 /* bytes; fits the largest entry */

/** enum directory_kind - message kinds, as on the wire */
enum directory_kind {
    DIRECTORY_DIGEST = 1,
    DIRECTORY_SUMMARY,
    DIRECTORY_WANT,
    DIRECTORY_ENTRIES
};

/** struct directory_item - cell id and version of the sender's entry */
struct directory_item {
    uint64_t cell;
    struct directory_version version;
};

/**
 * struct directory_msg - decoded message; fields of other kinds are empty
 * @kind: message kind
 * @from: control address of the sender
 * @salt: digest: random seed of the hashes, so that a collision does not
 *        persist
 * @hashes: digest: hash of each group
 * @groups: summary: bit mask of the groups listed completely
 * @items: summary: versions
 * @item_count: number of @items
 * @want: want: ids of the requested cells
 * @want_count: number of @want
 * @entries: entries: one reference each
 * @entry_count: number of @entries
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

/** directory_msg_finish() - free the fields and zero the message */
void
directory_msg_finish(struct directory_msg *msg);

/** directory_entry_size() - upper bound of an encoded entry in bytes */
size_t
directory_entry_size(const struct directory_entry *entry);

/** directory_msg_size() - size of the encoded message in bytes */
size_t
directory_msg_size(const struct directory_msg *msg);

/**
 * directory_msg_encode() - encode a message
 * @buf: at least directory_msg_size() bytes
 *
 * Return: bytes written.
 */
size_t
directory_msg_encode(const struct directory_msg *msg, uint8_t *buf);

/**
 * directory_msg_decode() - decode and validate a message
 *
 * Return: 0, -EBADMSG for a malformed or out-of-range message, or -ENOMEM;
 * after an error @msg is empty.
 */
int
directory_msg_decode(const uint8_t *buf, size_t len,
                     struct directory_msg *msg);

#endif
