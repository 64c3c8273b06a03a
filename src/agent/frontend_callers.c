#include "agent/frontend.h"

void
frontend_count_caller(struct frontend *frontend, uint32_t ip, int change)
{
    gpointer key = GUINT_TO_POINTER(ip);
    int count = GPOINTER_TO_INT(g_hash_table_lookup(frontend->callers, key));

    count += change;
    if (count > 0) {
        g_hash_table_insert(frontend->callers, key, GINT_TO_POINTER(count));
    }
    else {
        g_hash_table_remove(frontend->callers, key);
    }
}

bool
frontend_can_open(const struct frontend *frontend, uint32_t ip)
{
    gpointer key = GUINT_TO_POINTER(ip);
    size_t count =
        GPOINTER_TO_UINT(g_hash_table_lookup(frontend->callers, key));

    return frontend->conns.length < frontend->limits.connections &&
           count < frontend->limits.per_caller;
}
