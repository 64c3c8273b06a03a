/**
 * DOC: released - reservations known not to have been run
 *
 * The last RELEASED_MAX of them, own and others'. A late message about one
 * must not bring its record back.
 */
#ifndef SWIFTARCH_IDEM_RELEASED_H
#define SWIFTARCH_IDEM_RELEASED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RELEASED_MAX 4096

/**
 * struct released - see DOC
 * @ring: hashes of owner and token, 0 for an unused place
 * @next: place of the next one
 * @set: the places by hash
 */
struct released {
    uint64_t ring[RELEASED_MAX];
    size_t next;
    GHashTable *set;
};

/** released_init() - remember nothing yet */
void
released_init(struct released *released);

/** released_finish() - free it */
void
released_finish(struct released *released);

/** released_add() - @owner said that @token was not run */
void
released_add(struct released *released, uint64_t owner, uint64_t token);

/** released_has() - whether that is still remembered */
bool
released_has(const struct released *released, uint64_t owner, uint64_t token);

#endif
