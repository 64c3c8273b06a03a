#include "directory/table.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>

#include "base/hash.h"

#define ADDRESS_RETIRED UINT64_C(1)
#define SLOTS_MIN 16

static uint32_t
first_slot(const struct directory_table *table, uint64_t key)
{
    return (uint32_t)hash_pair(key, 0) & table->slot_mask;
}

/* Slot of the address @key, or the free slot to insert it. @key has no retired
 * flag; a slot's address may have one, which is ignored. */
static struct directory_table_slot *
probe(const struct directory_table *table, uint64_t key)
{
    uint32_t at = first_slot(table, key);

    while (table->slots[at].address != 0 &&
           (table->slots[at].address & ~ADDRESS_RETIRED) != key)
        at = (at + 1) & table->slot_mask;
    return &table->slots[at];
}

/* Whether the claim of @cell to @address takes priority over the slot's */
static bool
has_priority(const struct directory_table *table, uint64_t address,
             uint64_t cell, const struct directory_table_slot *slot)
{
    uint64_t retired = address & ADDRESS_RETIRED;
    uint64_t other = slot->address & ADDRESS_RETIRED;

    if (retired != other)
        return retired < other;
    return cell < table->cells[slot->cell].id;
}

/**
 * struct claims - table being built
 * @table: table
 * @contested: for each slot, whether several cells claim its address
 */
struct claims {
    struct directory_table *table;
    bool *contested;
};

static void
add_address(struct claims *claims, uint64_t address, uint16_t index)
{
    struct directory_table *table = claims->table;
    struct directory_table_slot *slot =
        probe(table, address & ~ADDRESS_RETIRED);
    size_t at = (size_t)(slot - table->slots);

    if (slot->address == 0) {
        table->addresses++;
    }
    else {
        if (!claims->contested[at])
            table->conflicts++;
        claims->contested[at] = true;
        if (!has_priority(table, address, table->cells[index].id, slot))
            return;
    }
    slot->address = address;
    slot->cell = index;
}

/* Removes the own cell's addresses from the count and counts those that
 * another cell overrides. */
static void
count_own_addresses(struct directory_table *table,
                    const struct directory_core *core)
{
    const struct directory_slot *own = directory_find(core, core->cell);

    for (size_t i = 0; own != NULL && i < own->entry->count; i++) {
        uint64_t key = own->entry->addresses[i] & ~ADDRESS_RETIRED;

        if (table->cells[probe(table, key)->cell].own)
            table->addresses--;
        else
            table->overridden++;
    }
}

static bool
is_usable(const struct directory_core *core,
          const struct directory_entry *entry)
{
    return entry->cell == core->cell || entry->gateway_count > 0;
}

static void
add_entry(struct claims *claims, const struct directory_entry *entry,
          uint64_t own)
{
    struct directory_table *table = claims->table;
    uint16_t index = (uint16_t)table->cell_count++;
    struct directory_table_cell *cell = &table->cells[index];

    cell->id = entry->cell;
    cell->own = entry->cell == own;
    cell->gateway_count = entry->gateway_count;
    for (size_t i = 0; i < entry->gateway_count; i++)
        cell->gateways[i] = entry->gateways[i].data;
    for (size_t i = 0; i < entry->count; i++)
        add_address(claims, entry->addresses[i], index);
}

static uint32_t
slot_count(const struct directory_core *core)
{
    size_t addresses = 0;
    uint32_t size = SLOTS_MIN;

    for (size_t i = 0; i < core->count; i++)
        addresses += core->slots[i].entry->count;
    while (size < 2 * addresses)
        size *= 2;
    return size;
}

int
directory_table_new(const struct directory_core *core,
                    struct directory_table **result)
{
    struct directory_table *table = calloc(1, sizeof(*table));
    uint32_t size = slot_count(core);
    struct claims claims = {.table = table};

    if (table == NULL)
        return -ENOMEM;
    table->slot_mask = size - 1;
    table->slots = calloc(size, sizeof(table->slots[0]));
    table->cells = calloc(core->count + 1, sizeof(table->cells[0]));
    claims.contested = calloc(size, sizeof(bool));
    if (table->slots == NULL || table->cells == NULL ||
        claims.contested == NULL) {
        free(claims.contested);
        directory_table_free(table);
        return -ENOMEM;
    }
    for (size_t i = 0; i < core->count; i++) {
        if (is_usable(core, core->slots[i].entry))
            add_entry(&claims, core->slots[i].entry, core->cell);
    }
    count_own_addresses(table, core);
    free(claims.contested);
    *result = table;
    return 0;
}

void
directory_table_free(struct directory_table *table)
{
    if (table == NULL)
        return;
    free(table->cells);
    free(table->slots);
    free(table);
}

const struct directory_table_cell *
directory_table_find(const struct directory_table *table, uint32_t ip,
                     uint16_t port, uint8_t proto)
{
    const struct directory_table_slot *slot =
        probe(table, directory_address(ip, port, proto, false));

    if (slot->address == 0 || table->cells[slot->cell].own)
        return NULL;
    return &table->cells[slot->cell];
}

struct addr
directory_table_gateway(const struct directory_table_cell *cell, uint64_t turn)
{
    return cell->gateways[turn % cell->gateway_count];
}

size_t
directory_table_bytes(const struct directory_table *table)
{
    return sizeof(*table) + table->cell_count * sizeof(table->cells[0]) +
           ((size_t)table->slot_mask + 1) * sizeof(table->slots[0]);
}
