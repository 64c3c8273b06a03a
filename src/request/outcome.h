/**
 * DOC: outcome - what follows from how one attempt at a request ended
 *
 * Not begun: it goes elsewhere, if there are attempts and budget left.
 * Begun and lost: only an idempotent local request goes elsewhere.
 */
#ifndef SWIFTARCH_REQUEST_OUTCOME_H
#define SWIFTARCH_REQUEST_OUTCOME_H

#include "request/state.h"

/** outcome_declined() - a peer had no slot; it waits here again */
void
outcome_declined(struct engine *engine, struct entry *entry,
                 enum engine_reason reason);

/** outcome_refused() - an upstream did not begin it */
void
outcome_refused(struct engine *engine, struct entry *entry,
                enum engine_reason reason);

/** outcome_lost() - an upstream may have begun it, no whole answer comes */
void
outcome_lost(struct engine *engine, struct entry *entry,
             enum engine_reason reason);

#endif
