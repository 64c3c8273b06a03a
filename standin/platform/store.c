#include "standin/platform/store.h"

#include <errno.h>

/** struct object - one object */
struct object {
    uint64_t version;
    GBytes *value;
};

static void
object_free(gpointer data)
{
    struct object *object = data;

    g_bytes_unref(object->value);
    g_free(object);
}

void
store_init(struct store *store)
{
    g_mutex_init(&store->lock);
    store->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
}

void
store_finish(struct store *store)
{
    g_hash_table_destroy(store->objects);
    g_mutex_clear(&store->lock);
}

uint64_t
store_get(struct store *store, const char *name, GBytes **value)
{
    struct object *object;
    uint64_t version = 0;

    g_mutex_lock(&store->lock);
    object = g_hash_table_lookup(store->objects, name);
    if (object != NULL) {
        version = object->version;
        if (value != NULL) {
            *value = g_bytes_ref(object->value);
        }
    }
    g_mutex_unlock(&store->lock);
    return version;
}

static void
replace(struct store *store, const char *name, struct object *object,
        GBytes *value)
{
    if (object == NULL) {
        object = g_new0(struct object, 1);
        g_hash_table_insert(store->objects, g_strdup(name), object);
    }
    else {
        g_bytes_unref(object->value);
    }
    object->value = g_bytes_ref(value);
    object->version++;
}

int
store_put(struct store *store, const char *name, uint64_t expect,
          GBytes *value, uint64_t *version)
{
    struct object *object;
    int rc = 0;

    if (g_bytes_get_size(value) > STORE_VALUE_MAX) {
        return -EMSGSIZE;
    }
    g_mutex_lock(&store->lock);
    object = g_hash_table_lookup(store->objects, name);
    *version = object != NULL ? object->version : 0;
    if (*version != expect) {
        rc = -ESTALE;
    }
    else if (object == NULL &&
             g_hash_table_size(store->objects) >= STORE_OBJECTS_MAX) {
        rc = -ENOSPC;
    }
    else {
        replace(store, name, object, value);
        *version += 1;
    }
    g_mutex_unlock(&store->lock);
    return rc;
}
