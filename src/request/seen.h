/**
 * DOC: seen - recently received requests of peers
 *
 * Keeps a repeated RUN, or one that arrives after its CANCEL, from running.
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
 * struct seen - recent requests
 * @table: requests by origin and id
 * @order: oldest first
 */
struct seen {
    GHashTable *table;
    GQueue order;
};

/** seen_init() - initialise empty */
void
seen_init(struct seen *seen);

/** seen_finish() - free all requests */
void
seen_finish(struct seen *seen);

/** seen_add() - add a request; false if it is present */
bool
seen_add(struct seen *seen, uint64_t origin, uint64_t id, uint64_t now_us);

/** seen_expire() - remove requests older than SEEN_TTL_US */
void
seen_expire(struct seen *seen, uint64_t now_us);

#endif
