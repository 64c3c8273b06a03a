/**
 * DOC: table - where packets for other cells go
 *
 * Built from the entries held whenever one was replaced; never changed
 * afterwards, so packet workers read it under RCU without a lock and
 * without allocation.
 *
 * Where several cells claim an address, one that serves it goes before those
 * that retired it, then the lower cell id; all processes that hold the same
 * entries decide alike, the claimants' own balancers too. Such an address
 * counts as a conflict. Another cell without a gateway claims nothing:
 * packets to it have nowhere to go.
 */
#ifndef SWIFTARCH_DIRECTORY_TABLE_H
#define SWIFTARCH_DIRECTORY_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu.h>

#include "directory/directory.h"

/** struct directory_table_slot - address and index of its cell */
struct directory_table_slot {
    uint64_t address; /* 0: free */
    uint16_t cell;
};

/** struct directory_table_cell - a cell and its gateways */
struct directory_table_cell {
    uint64_t id;
    bool own;
    struct addr gateways[DIRECTORY_GATEWAYS];
    size_t gateway_count;
};

/**
 * struct directory_table - see DOC
 * @rcu: for freeing after a grace period
 * @cells: cells that claim something
 * @cell_count: how many
 * @addresses: distinct addresses
 * @conflicts: of them, how many several cells claim
 * @overridden: addresses of the own cell that are another one's by these rules
 * @slots: hash table
 * @slot_mask: its size less one, which is a power of two
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

/** directory_table_new() - table of what @core holds; 0 or -ENOMEM */
int
directory_table_new(const struct directory_core *core,
                    struct directory_table **table);

/** directory_table_free() - NULL is allowed */
void
directory_table_free(struct directory_table *table);

/** directory_table_find() - other cell that has an address, or NULL */
const struct directory_table_cell *
directory_table_find(const struct directory_table *table, uint32_t ip,
                     uint16_t port, uint8_t proto);

/** directory_table_gateway() - gateway number @turn, modulo their count */
struct addr
directory_table_gateway(const struct directory_table_cell *cell,
                        uint64_t turn);

/** directory_table_bytes() - memory held */
size_t
directory_table_bytes(const struct directory_table *table);

#endif
