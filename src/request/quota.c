#include "request/quota.h"

void
quota_init(struct quota *quota)
{
    quota->open = g_hash_table_new(NULL, NULL);
}

void
quota_finish(struct quota *quota)
{
    g_hash_table_destroy(quota->open);
}

bool
quota_acquire(struct quota *quota, uint32_t caller, unsigned max)
{
    gpointer key = GUINT_TO_POINTER(caller);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(quota->open, key));

    if (count >= max) {
        return false;
    }
    g_hash_table_insert(quota->open, key, GUINT_TO_POINTER(count + 1));
    return true;
}

void
quota_release(struct quota *quota, uint32_t caller)
{
    gpointer key = GUINT_TO_POINTER(caller);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(quota->open, key));

    g_assert(count > 0);
    if (count == 1) {
        g_hash_table_remove(quota->open, key);
        return;
    }
    g_hash_table_insert(quota->open, key, GUINT_TO_POINTER(count - 1));
}
