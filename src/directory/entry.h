/**
 * DOC: entry - directory entry of one cell, immutable and reference-counted
 *
 * Entries of a cell are ordered by (config_version, counter, sum). The
 * counter is the author's wall clock, raised above the counter of the current
 * entry. The sum, a hash of the content, makes the order total.
 */
#ifndef SWIFTARCH_DIRECTORY_ENTRY_H
#define SWIFTARCH_DIRECTORY_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"

#define DIRECTORY_NAME_MAX 32
#define DIRECTORY_AUTHORS 2
#define DIRECTORY_GATEWAYS 4
#define DIRECTORY_ADDRESSES_MAX 4352 /* fits any configuration */

/**
 * struct directory_gateway - balancer that receives packets for its cell
 * @data: address for packets
 * @control: address for control messages
 */
struct directory_gateway {
    struct addr data;
    struct addr control;
};

/**
 * struct directory_version - version of a cell's entry
 * @config_version: version of the cell's configuration
 * @counter: author's wall clock in ms or above, see DOC
 * @sum: hash of the content
 */
struct directory_version {
    uint64_t config_version;
    uint64_t counter;
    uint64_t sum;
};

/**
 * struct directory_entry - addresses, gateways and authors of a cell
 * @refs: reference count, not atomic
 * @cell: directory_cell() of @name
 * @name: name of the cell
 * @version: version
 * @authors: control addresses of the cell's authors
 * @author_count: number of @authors
 * @gateways: balancers that receive packets for the cell
 * @gateway_count: number of @gateways
 * @count: number of @addresses
 * @addresses: values of directory_address(), ascending, each address once
 */
struct directory_entry {
    unsigned refs;
    uint64_t cell;
    char name[DIRECTORY_NAME_MAX];
    struct directory_version version;
    struct addr authors[DIRECTORY_AUTHORS];
    size_t author_count;
    struct directory_gateway gateways[DIRECTORY_GATEWAYS];
    size_t gateway_count;
    size_t count;
    uint64_t addresses[];
};

/** directory_cell() - hash of a cell name; never 0 */
uint64_t
directory_cell(const char *name);

/** directory_address() - pack an address; @retired is the lowest bit */
uint64_t
directory_address(uint32_t ip, uint16_t port, uint8_t proto, bool retired);

/** directory_version_compare() - negative, 0 or positive, as strcmp() */
int
directory_version_compare(const struct directory_version *a,
                          const struct directory_version *b);

/** directory_entry_new() - allocate a zeroed entry with @count addresses and
 * one reference, or NULL */
struct directory_entry *
directory_entry_new(const char *name, size_t count);

/** directory_entry_copy() - copy an entry, with one reference, or NULL */
struct directory_entry *
directory_entry_copy(const struct directory_entry *entry);

/** directory_entry_ref() - add a reference */
struct directory_entry *
directory_entry_ref(struct directory_entry *entry);

/** directory_entry_unref() - drop a reference and free with the last; NULL is
 * allowed */
void
directory_entry_unref(struct directory_entry *entry);

/**
 * directory_entry_finalize() - sort the addresses, drop duplicates and compute
 * the sum
 *
 * An address listed as both retired and not retired is not retired.
 */
void
directory_entry_finalize(struct directory_entry *entry);

#endif
