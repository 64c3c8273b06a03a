/**
 * DOC: store - objects of the stand-in platform, in memory
 *
 * Safe from any thread. Versions grow by one with each write.
 */
#ifndef SWIFTARCH_STANDIN_STORE_H
#define SWIFTARCH_STANDIN_STORE_H

#include <glib.h>
#include <stdint.h>

#define STORE_VALUE_MAX (1u << 20)
#define STORE_OBJECTS_MAX 4096

/** struct store - the objects, by name */
struct store {
    GMutex lock;
    GHashTable *objects;
};

/** store_init() - an empty store */
void
store_init(struct store *store);

/** store_finish() - free all objects */
void
store_finish(struct store *store);

/**
 * store_get() - read an object
 * @value: a reference (g_bytes_unref() it), or NULL if not wanted
 *
 * Return: its version, 0 if there is none.
 */
uint64_t
store_get(struct store *store, const char *name, GBytes **value);

/**
 * store_put() - conditional write
 * @expect: version it must have, 0 if it must not exist
 * @version: version now, also when the write is refused
 *
 * Return: 0 or -ESTALE, -EMSGSIZE, -ENOSPC.
 */
int
store_put(struct store *store, const char *name, uint64_t expect,
          GBytes *value, uint64_t *version);

#endif
