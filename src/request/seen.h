/**
 * DOC: seen - requests of peers that were decided here, for a while
 *
 * A request that came once, or was cancelled before it came, is never run
 * when it comes (again), whatever was answered the first time.
 */
#ifndef SWIFTARCH_REQUEST_SEEN_H
#define SWIFTARCH_REQUEST_SEEN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

#define SEEN_TTL_US (60 * USEC_PER_SEC)
#define SEEN_MAX 65536

/**
 * struct seen - requests remembered
 * @table: by origin and id
 * @order: oldest first
 */
struct seen {
    GHashTable *table;
    GQueue order;
};

/** seen_init() - nothing seen */
void
seen_init(struct seen *seen);

/** seen_finish() - free */
void
seen_finish(struct seen *seen);

/** seen_add() - remember; false when it was already */
bool
seen_add(struct seen *seen, uint64_t origin, uint64_t id, uint64_t now_us);

/** seen_expire() - forget what is older than SEEN_TTL_US */
void
seen_expire(struct seen *seen, uint64_t now_us);

#endif
