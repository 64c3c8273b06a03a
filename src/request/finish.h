/**
 * DOC: finish - the one final answer of each request
 *
 * Each function ends @entry's life in the engine: a local one gets
 * ENGINE_FINISH, a remote one a DONE to its origin; work still going on for
 * it is cancelled. @entry must not be used afterwards.
 */
#ifndef SWIFTARCH_REQUEST_FINISH_H
#define SWIFTARCH_REQUEST_FINISH_H

#include "request/state.h"

/** finish_answered() - the whole answer came; @answer as sent */
void
finish_answered(struct engine *engine, struct entry *entry,
                const uint8_t *answer, size_t answer_len);

/** finish_unserved() - given up without an answer: "not run" unless some
 * upstream may have begun it, else "unknown" */
void
finish_unserved(struct engine *engine, struct entry *entry,
                enum engine_reason reason);

/** finish_unknown() - it was handed over and no whole answer came */
void
finish_unknown(struct engine *engine, struct entry *entry,
               enum engine_reason reason);

/** finish_by_key() - the key's record decided; the key stays as it is */
void
finish_by_key(struct engine *engine, struct entry *entry,
              enum engine_outcome outcome, enum engine_reason reason);

/** finish_replayed() - the earlier answer of the key, in @msg */
void
finish_replayed(struct engine *engine, struct entry *entry,
                const struct idem_msg *msg);

/** finish_without_reply() - nobody is left to tell: only stop the work */
void
finish_without_reply(struct engine *engine, struct entry *entry);

/** finish_refused() - a request that never became an entry */
void
finish_refused(struct engine *engine, uint64_t id, enum engine_reason reason);

#endif
