#include "agent/front.h"

void
front_count_caller(struct front *front, uint32_t ip, int change)
{
    gpointer key = GUINT_TO_POINTER(ip);
    int count = GPOINTER_TO_INT(g_hash_table_lookup(front->callers, key));

    count += change;
    if (count > 0) {
        g_hash_table_insert(front->callers, key, GINT_TO_POINTER(count));
    }
    else {
        g_hash_table_remove(front->callers, key);
    }
}

bool
front_may_open(const struct front *front, uint32_t ip)
{
    gpointer key = GUINT_TO_POINTER(ip);
    size_t count = GPOINTER_TO_UINT(g_hash_table_lookup(front->callers, key));

    return front->conns.length < front->limits.connections &&
           count < front->limits.per_caller;
}
