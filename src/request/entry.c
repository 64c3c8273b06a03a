#include "request/entry.h"

#include "base/hash.h"

static guint
entry_key_hash(gconstpointer data)
{
    const struct entry_key *key = data;

    return (guint)hash_pair(key->origin, key->id);
}

static gboolean
entry_key_equal(gconstpointer a, gconstpointer b)
{
    const struct entry_key *x = a;
    const struct entry_key *y = b;

    return x->origin == y->origin && x->id == y->id;
}

GHashTable *
entry_table_new(void)
{
    return g_hash_table_new_full(entry_key_hash, entry_key_equal, NULL,
                                 g_free);
}

struct entry *
entry_find(GHashTable *table, uint64_t origin, uint64_t id)
{
    struct entry_key key = {.origin = origin, .id = id};

    return g_hash_table_lookup(table, &key);
}

GArray *
entry_keys(GHashTable *table)
{
    GArray *keys = g_array_new(FALSE, FALSE, sizeof(struct entry_key));
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        g_array_append_vals(keys, key, 1);
    }
    return keys;
}

struct entry *
entry_add(GHashTable *table, uint64_t origin,
          const struct engine_request *request, uint64_t now_us)
{
    struct entry *entry = g_new0(struct entry, 1);

    entry->key.origin = origin;
    entry->key.id = request->id;
    entry->request = *request;
    entry->state = ENTRY_WAITING;
    entry->arrived_us = now_us;
    g_hash_table_insert(table, entry, entry);
    return entry;
}

void
entry_remove(GHashTable *table, struct entry *entry)
{
    g_assert(!entry->queued);
    g_hash_table_remove(table, entry);
}

bool
entry_tried(const struct entry *entry, uint64_t member)
{
    if (entry->tried_count == ENTRY_TRIED_MAX) {
        return true;
    }
    for (unsigned i = 0; i < entry->tried_count; i++) {
        if (entry->tried[i] == member) {
            return true;
        }
    }
    return false;
}

void
entry_mark_tried(struct entry *entry, uint64_t member)
{
    g_assert(entry->tried_count < ENTRY_TRIED_MAX);
    entry->tried[entry->tried_count++] = member;
}
