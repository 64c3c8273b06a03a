#include "request/seen.h"

#include "base/hash.h"

struct seen_item {
    uint64_t origin;
    uint64_t id;
    uint64_t at_us;
};

static guint
item_hash(gconstpointer data)
{
    const struct seen_item *item = data;

    return (guint)hash_pair(item->origin, item->id);
}

static gboolean
item_equal(gconstpointer a, gconstpointer b)
{
    const struct seen_item *x = a;
    const struct seen_item *y = b;

    return x->origin == y->origin && x->id == y->id;
}

static void
remove_oldest(struct seen *seen)
{
    struct seen_item *item = g_queue_pop_head(&seen->order);

    g_hash_table_remove(seen->table, item);
}

void
seen_init(struct seen *seen)
{
    seen->table = g_hash_table_new_full(item_hash, item_equal, NULL, g_free);
    g_queue_init(&seen->order);
}

void
seen_finish(struct seen *seen)
{
    g_queue_clear(&seen->order);
    g_hash_table_destroy(seen->table);
}

bool
seen_add(struct seen *seen, uint64_t origin, uint64_t id, uint64_t now_us)
{
    struct seen_item key = {.origin = origin, .id = id, .at_us = now_us};
    struct seen_item *item;

    if (g_hash_table_contains(seen->table, &key)) {
        return false;
    }
    if (seen->order.length >= SEEN_MAX) {
        remove_oldest(seen);
    }
    item = g_memdup2(&key, sizeof(key));
    g_hash_table_add(seen->table, item);
    g_queue_push_tail(&seen->order, item);
    return true;
}

void
seen_expire(struct seen *seen, uint64_t now_us)
{
    const struct seen_item *oldest = g_queue_peek_head(&seen->order);

    while (oldest != NULL && oldest->at_us + SEEN_TTL_US < now_us) {
        remove_oldest(seen);
        oldest = g_queue_peek_head(&seen->order);
    }
}
