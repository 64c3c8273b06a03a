#include "flow/entries.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "packet/rank.h"

#define ENTRIES_INITIAL 256

static size_t
chain_index(const struct entries *entries, uint64_t hash)
{
    return hash & (entries->allocated - 1);
}

static struct packet
entry_key(const struct entry *entry)
{
    return (struct packet){.src = entry->src,
                           .dst = entry->dst,
                           .sport = entry->sport,
                           .dport = entry->dport,
                           .proto = entry->proto};
}

static uint64_t
entry_hash(const struct entry *entry)
{
    struct packet packet = entry_key(entry);

    return packet_flow_hash(&packet);
}

static bool
entry_matches(const struct entry *entry, const struct packet *packet)
{
    return entry->src == packet->src && entry->dst == packet->dst &&
           entry->sport == packet->sport && entry->dport == packet->dport &&
           entry->proto == packet->proto;
}

static void
entries_rehash(struct entries *entries)
{
    uint32_t i;

    /* The table grows only when no entry is free, so all entries below
     * @next_unused are in use. */
    for (i = 0; i < entries->next_unused; i++) {
        struct entry *entry = &entries->items[i];
        size_t chain = chain_index(entries, entry_hash(entry));

        entry->chain = entries->chains[chain];
        entries->chains[chain] = i;
    }
}

static int
entries_grow(struct entries *entries, size_t allocated)
{
    struct entry *items;
    uint32_t *chains;

    items = realloc(entries->items, allocated * sizeof(*items));
    if (items == NULL) {
        return -ENOMEM;
    }
    entries->items = items;
    chains = malloc(allocated * sizeof(*chains));
    if (chains == NULL) {
        return -ENOMEM;
    }
    memset(chains, 0xff, allocated * sizeof(*chains));
    free(entries->chains);
    entries->chains = chains;
    entries->allocated = allocated;
    entries_rehash(entries);
    return 0;
}

int
entries_init(struct entries *entries, size_t capacity)
{
    size_t i;
    int rc;

    memset(entries, 0, sizeof(*entries));
    if (capacity == 0 || capacity >= ENTRIES_NONE / 2) {
        return -EINVAL;
    }
    entries->capacity = capacity;
    entries->free = ENTRIES_NONE;
    for (i = 0; i < ENTRY_STATES; i++) {
        entries->lists[i].oldest = ENTRIES_NONE;
        entries->lists[i].newest = ENTRIES_NONE;
    }
    entries->buckets = calloc(RANK_BUCKETS, sizeof(*entries->buckets));
    if (entries->buckets == NULL) {
        return -ENOMEM;
    }
    rc = entries_grow(entries, ENTRIES_INITIAL);
    if (rc < 0) {
        entries_finish(entries);
    }
    return rc;
}

void
entries_finish(struct entries *entries)
{
    free(entries->items);
    free(entries->chains);
    free(entries->buckets);
    memset(entries, 0, sizeof(*entries));
}

struct entry *
entries_find(const struct entries *entries, const struct packet *packet)
{
    uint64_t hash = packet_flow_hash(packet);
    uint32_t at = entries->chains[chain_index(entries, hash)];

    while (at != ENTRIES_NONE) {
        struct entry *entry = &entries->items[at];

        if (entry_matches(entry, packet)) {
            return entry;
        }
        at = entry->chain;
    }
    return NULL;
}

static void
list_remove(struct entries *entries, struct entry *entry)
{
    struct entry_list *list = &entries->lists[entry->state];

    if (entry->older != ENTRIES_NONE) {
        entries->items[entry->older].newer = entry->newer;
    }
    else {
        list->oldest = entry->newer;
    }
    if (entry->newer != ENTRIES_NONE) {
        entries->items[entry->newer].older = entry->older;
    }
    else {
        list->newest = entry->older;
    }
    list->count--;
}

static void
list_append(struct entries *entries, struct entry *entry,
            enum entry_state state)
{
    struct entry_list *list = &entries->lists[state];
    uint32_t index = (uint32_t)(entry - entries->items);

    entry->state = (uint8_t)state;
    entry->newer = ENTRIES_NONE;
    entry->older = list->newest;
    if (list->newest != ENTRIES_NONE) {
        entries->items[list->newest].newer = index;
    }
    else {
        list->oldest = index;
    }
    list->newest = index;
    list->count++;
}

/* Index of an unused entry, or ENTRIES_NONE. */
static uint32_t
entry_alloc(struct entries *entries)
{
    uint32_t index = entries->free;

    if (entries->used == entries->capacity) {
        return ENTRIES_NONE;
    }
    if (index != ENTRIES_NONE) {
        entries->free = entries->items[index].chain;
        return index;
    }
    if (entries->next_unused == entries->allocated &&
        entries_grow(entries, 2 * entries->allocated) < 0) {
        return ENTRIES_NONE;
    }
    return entries->next_unused++;
}

struct entry *
entries_add(struct entries *entries, const struct packet *packet,
            uint32_t service, enum entry_state state, uint64_t now_us)
{
    uint64_t hash = packet_flow_hash(packet);
    uint32_t index = entry_alloc(entries);
    struct entry *entry;
    size_t chain;

    if (index == ENTRIES_NONE) {
        return NULL;
    }
    entry = &entries->items[index];
    chain = chain_index(entries, hash);
    *entry = (struct entry){.src = packet->src,
                            .dst = packet->dst,
                            .sport = packet->sport,
                            .dport = packet->dport,
                            .proto = packet->proto,
                            .bucket = (uint16_t)rank_bucket(hash),
                            .service = service,
                            .caller_isn = packet->seq,
                            .chain = entries->chains[chain],
                            .used_us = now_us};
    entries->chains[chain] = index;
    entries->used++;
    entries->buckets[entry->bucket]++;
    list_append(entries, entry, state);
    return entry;
}

void
entries_remove(struct entries *entries, struct entry *entry)
{
    uint32_t index = (uint32_t)(entry - entries->items);
    uint32_t *at = &entries->chains[chain_index(entries, entry_hash(entry))];

    while (*at != index) {
        assert(*at != ENTRIES_NONE);
        at = &entries->items[*at].chain;
    }
    *at = entry->chain;
    list_remove(entries, entry);
    entries->buckets[entry->bucket]--;
    entries->used--;
    entry->chain = entries->free;
    entries->free = index;
}

void
entries_touch(struct entries *entries, struct entry *entry,
              enum entry_state state, uint64_t now_us)
{
    list_remove(entries, entry);
    list_append(entries, entry, state);
    entry->used_us = now_us;
}

struct entry *
entries_oldest(const struct entries *entries, enum entry_state state)
{
    uint32_t index = entries->lists[state].oldest;

    return index == ENTRIES_NONE ? NULL : &entries->items[index];
}
