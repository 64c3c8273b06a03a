/**
 * DOC: outcome - handles failed attempts
 *
 * A request that did not start is retried elsewhere while attempts and retry
 * budget last. One that may have started is retried only if it is local and
 * idempotent.
 */
#ifndef SWIFTARCH_REQUEST_OUTCOME_H
#define SWIFTARCH_REQUEST_OUTCOME_H

#include "request/state.h"

/** outcome_declined() - a peer had no slot for @entry; queue it here again */
void
outcome_declined(struct engine *engine, struct entry *entry,
                 enum engine_reason reason);

/** outcome_refused() - an upstream did not start @entry */
void
outcome_refused(struct engine *engine, struct entry *entry,
                enum engine_reason reason);

/** outcome_lost() - an upstream may have started @entry, but no complete
 * answer will come */
void
outcome_lost(struct engine *engine, struct entry *entry,
             enum engine_reason reason);

#endif
