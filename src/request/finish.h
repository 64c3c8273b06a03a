/**
 * DOC: finish - ends requests with their one final answer
 *
 * A local request gets ENGINE_FINISH, a remote one a DONE to its origin, and
 * any work in progress is cancelled. @entry is invalid after each call.
 */
#ifndef SWIFTARCH_REQUEST_FINISH_H
#define SWIFTARCH_REQUEST_FINISH_H

#include "request/state.h"

/** finish_answered() - end @entry with a complete answer; @answer as sent
 * to the caller */
void
finish_answered(struct engine *engine, struct entry *entry,
                const uint8_t *answer, size_t answer_len);

/** finish_unserved() - end @entry without an answer: "unknown" if an
 * upstream may have started it, else "not run" */
void
finish_unserved(struct engine *engine, struct entry *entry,
                enum engine_reason reason);

/** finish_unknown() - end @entry as "unknown": sent, but no complete answer
 * came */
void
finish_unknown(struct engine *engine, struct entry *entry,
               enum engine_reason reason);

/** finish_by_key() - end @entry with the outcome given by its key's record,
 * which stays unchanged */
void
finish_by_key(struct engine *engine, struct entry *entry,
              enum engine_outcome outcome, enum engine_reason reason);

/** finish_replayed() - end @entry with the recorded answer of its key, in
 * @msg */
void
finish_replayed(struct engine *engine, struct entry *entry,
                const struct idem_msg *msg);

/** finish_without_reply() - stop the work of @entry and send no answer */
void
finish_without_reply(struct engine *engine, struct entry *entry);

/** finish_refused() - refuse local request @id, which has no entry */
void
finish_refused(struct engine *engine, uint64_t id, enum engine_reason reason);

#endif
