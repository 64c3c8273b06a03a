/**
 * DOC: released - reservations whose requests were not run
 *
 * Stores the last RELEASED_MAX of them, of this and of other coordinators, so
 * that a delayed message doesn't restore a released record.
 */
#ifndef SWIFTARCH_IDEM_RELEASED_H
#define SWIFTARCH_IDEM_RELEASED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RELEASED_MAX 4096

/**
 * struct released - ring of released reservations
 * @ring: hashes of owner and token, 0 for an unused slot
 * @next: index of the slot to overwrite next
 * @set: pointers to the used slots, by hash
 */
struct released {
    uint64_t ring[RELEASED_MAX];
    size_t next;
    GHashTable *set;
};

/** released_init() - start with an empty ring */
void
released_init(struct released *released);

/** released_finish() - free the hash table */
void
released_finish(struct released *released);

/** released_add() - store that reservation @token of @owner was not run */
void
released_add(struct released *released, uint64_t owner, uint64_t token);

/** released_has() - whether reservation @token of @owner is in the ring */
bool
released_has(const struct released *released, uint64_t owner, uint64_t token);

#endif
