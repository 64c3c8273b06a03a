/**
 * DOC: announce - tells the agent beside it that this upstream is there
 */
#ifndef SWIFTARCH_STANDIN_UPSTREAM_ANNOUNCE_H
#define SWIFTARCH_STANDIN_UPSTREAM_ANNOUNCE_H

#include <event2/event.h>

#include "standin/upstream/config.h"

#define ANNOUNCE_MS 200

/** announce_put() - PUT /announce once; a failure is left to the next */
void
announce_put(struct event_base *base, const struct config *config,
             const char *state, unsigned busy);

/** announce_delete() - DELETE /announce */
void
announce_delete(struct event_base *base, const struct config *config);

#endif
