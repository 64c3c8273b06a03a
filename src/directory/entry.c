#include "directory/entry.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define ADDRESS_RETIRED UINT64_C(1)

uint64_t
directory_cell(const char *name)
{
    return hash_name(name);
}

uint64_t
directory_address(uint32_t ip, uint16_t port, uint8_t proto, bool retired)
{
    return (uint64_t)ip << 32 | (uint64_t)port << 16 | (uint64_t)proto << 8 |
           (retired ? ADDRESS_RETIRED : 0);
}

static int
compare(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

int
directory_version_compare(const struct directory_version *a,
                          const struct directory_version *b)
{
    int result = compare(a->config_version, b->config_version);

    if (result == 0)
        result = compare(a->counter, b->counter);
    if (result == 0)
        result = compare(a->sum, b->sum);
    return result;
}

static size_t
entry_size(size_t count)
{
    return sizeof(struct directory_entry) + count * sizeof(uint64_t);
}

struct directory_entry *
directory_entry_new(const char *name, size_t count)
{
    struct directory_entry *entry;

    assert(count <= DIRECTORY_ADDRESSES_MAX);
    assert(strlen(name) < sizeof(entry->name));
    entry = calloc(1, entry_size(count));
    if (entry == NULL)
        return NULL;
    entry->refs = 1;
    entry->cell = directory_cell(name);
    memcpy(entry->name, name, strlen(name));
    entry->count = count;
    return entry;
}

struct directory_entry *
directory_entry_copy(const struct directory_entry *entry)
{
    struct directory_entry *copy = malloc(entry_size(entry->count));

    if (copy == NULL)
        return NULL;
    memcpy(copy, entry, entry_size(entry->count));
    copy->refs = 1;
    return copy;
}

struct directory_entry *
directory_entry_ref(struct directory_entry *entry)
{
    entry->refs++;
    return entry;
}

void
directory_entry_unref(struct directory_entry *entry)
{
    if (entry != NULL && --entry->refs == 0)
        free(entry);
}

static int
compare_addresses(const void *a, const void *b)
{
    return compare(*(const uint64_t *)a, *(const uint64_t *)b);
}

static void
drop_duplicates(struct directory_entry *entry)
{
    size_t count = 0;

    for (size_t i = 0; i < entry->count; i++) {
        uint64_t address = entry->addresses[i];

        /* The address that isn't retired sorts before its retired copy. */
        if (count > 0 && (entry->addresses[count - 1] | ADDRESS_RETIRED) ==
                             (address | ADDRESS_RETIRED))
            continue;
        entry->addresses[count++] = address;
    }
    entry->count = count;
}

static uint64_t
hash_addr(uint64_t sum, struct addr addr)
{
    return hash_pair(sum, (uint64_t)addr.ip << 16 | addr.port);
}

void
directory_entry_finalize(struct directory_entry *entry)
{
    uint64_t sum;

    qsort(entry->addresses, entry->count, sizeof(uint64_t), compare_addresses);
    drop_duplicates(entry);
    sum = hash_bytes(entry->addresses, entry->count * sizeof(uint64_t),
                     entry->gateway_count << 8 | entry->author_count);
    for (size_t i = 0; i < entry->gateway_count; i++) {
        sum = hash_addr(sum, entry->gateways[i].data);
        sum = hash_addr(sum, entry->gateways[i].control);
    }
    for (size_t i = 0; i < entry->author_count; i++)
        sum = hash_addr(sum, entry->authors[i]);
    entry->version.sum = sum;
}
