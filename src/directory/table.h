/**
 * DOC: table - lookup of the cell that serves an address
 *
 * Rebuilt from the directory's entries whenever one changes, and immutable, so
 * packet workers read it under RCU without locks or allocation.
 *
 * If several cells claim an address, a cell that serves it takes priority over
 * one that retired it, then the lower cell id wins. This holds in all cells,
 * the claimants' own included, so processes with the same entries agree.
 * Claims of other cells without a gateway are ignored.
 */
#ifndef SWIFTARCH_DIRECTORY_TABLE_H
#define SWIFTARCH_DIRECTORY_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#include "directory/directory.h"

/** struct directory_table_slot - packed address and index of its cell */
struct directory_table_slot {
    uint64_t address; /* 0: free */
    uint16_t cell;
};

/** struct directory_table_cell - cell id and data addresses of its gateways */
struct directory_table_cell {
    uint64_t id;
    bool own;
    struct addr gateways[DIRECTORY_GATEWAYS];
    size_t gateway_count;
};

/**
 * struct directory_table - hash table from address to cell
 * @rcu: for freeing after a grace period
 * @cells: own cell and other cells with gateways
 * @cell_count: number of @cells
 * @addresses: number of distinct addresses of other cells
 * @conflicts: number of addresses claimed by several cells
 * @overridden: addresses of the own cell that belong to another cell by the
 *              priority rules
 * @slots: hash table with linear probing
 * @slot_mask: size of @slots, a power of two, minus one
 */
struct directory_table {
    struct rcu_head rcu;
    struct directory_table_cell *cells;
    size_t cell_count;
    size_t addresses;
    size_t conflicts;
    size_t overridden;
    struct directory_table_slot *slots;
    uint32_t slot_mask;
};

/** directory_table_new() - build the table of the entries of @core; 0 or
 * -ENOMEM */
int
directory_table_new(const struct directory_core *core,
                    struct directory_table **table);

/** directory_table_free() - free a table without readers; NULL is allowed */
void
directory_table_free(struct directory_table *table);

/** directory_table_find() - find the other cell that serves or retired an
 * address, or NULL */
const struct directory_table_cell *
directory_table_find(const struct directory_table *table, uint32_t ip,
                     uint16_t port, uint8_t proto);

/** directory_table_gateway() - gateway at index @turn modulo their number */
struct addr
directory_table_gateway(const struct directory_table_cell *cell,
                        uint64_t turn);

/** directory_table_bytes() - memory of a table in bytes */
size_t
directory_table_bytes(const struct directory_table *table);

#endif
