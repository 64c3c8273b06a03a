/**
 * DOC: entry - what a region knows of one cell, immutable and counted
 *
 * Entries of a cell are ordered by (config_version, counter, sum). The
 * counter is the author's wall clock, raised above every counter that the
 * author has seen for its cell. The sum, a hash of the content, makes the
 * order total: two entries that compare equal are the same.
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
#define DIRECTORY_ADDRESSES_MAX 4352 /* services and retired of one text */

/**
 * struct directory_gateway - a balancer that takes packets for its cell
 * @data: where it takes packets
 * @control: where it takes control messages
 */
struct directory_gateway {
    struct addr data;
    struct addr control;
};

/**
 * struct directory_version - place of an entry in the order of its cell
 * @config_version: of the cell's text
 * @counter: see DOC
 * @sum: hash of the content
 */
struct directory_version {
    uint64_t config_version;
    uint64_t counter;
    uint64_t sum;
};

/**
 * struct directory_entry - see DOC
 * @refs: references, taken and dropped by one thread
 * @cell: directory_cell() of @name
 * @name: name of the cell
 * @version: place in the order
 * @authors: control addresses of who writes the entry
 * @author_count: how many
 * @gateways: balancers of the cell
 * @gateway_count: how many
 * @count: addresses
 * @addresses: directory_address() of each, ascending, each address once
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

/** directory_cell() - id of a cell by its name; never 0 */
uint64_t
directory_cell(const char *name);

/** directory_address() - address as a number; @retired is its lowest bit */
uint64_t
directory_address(uint32_t ip, uint16_t port, uint8_t proto, bool retired);

/** directory_version_compare() - below, equal to or above 0 */
int
directory_version_compare(const struct directory_version *a,
                          const struct directory_version *b);

/** directory_entry_new() - a blank entry with room for @count addresses and
 * one reference, or NULL */
struct directory_entry *
directory_entry_new(const char *name, size_t count);

/** directory_entry_copy() - a copy with one reference, or NULL */
struct directory_entry *
directory_entry_copy(const struct directory_entry *entry);

/** directory_entry_ref() - one more reference */
struct directory_entry *
directory_entry_ref(struct directory_entry *entry);

/** directory_entry_unref() - drop a reference; NULL is allowed */
void
directory_entry_unref(struct directory_entry *entry);

/**
 * directory_entry_finalize() - sort the addresses, drop what is named twice
 * and compute the sum
 *
 * An address that is named both retired and not is not retired.
 */
void
directory_entry_finalize(struct directory_entry *entry);

#endif
