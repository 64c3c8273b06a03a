/**
 * DOC: admit - which requests are taken, and when the others may come back
 */
#ifndef SWIFTARCH_REQUEST_ADMIT_H
#define SWIFTARCH_REQUEST_ADMIT_H

#include "request/state.h"

/** admit_check() - why @request can't be taken, ENGINE_REASON_NONE if it
 * can; may make room by giving up an ordinary request */
enum engine_reason
admit_check(struct engine *engine, const struct engine_request *request);

/** admit_requeue() - @entry came back and waits here again; over the limit of
 * the queue, the least hopeful is given up, maybe @entry itself */
void
admit_requeue(struct engine *engine, struct entry *entry);

/** admit_unservable() - why waiting @entry can't be served any more,
 * ENGINE_REASON_NONE while it can */
enum engine_reason
admit_unservable(const struct engine *engine, const struct entry *entry);

/** admit_local_too_slow() - the local upstream would rather miss the deadline
 * of @entry, and some peer is much faster */
bool
admit_local_too_slow(const struct engine *engine, const struct entry *entry);

/**
 * admit_retry_after_ms() - when a refused caller may come back
 *
 * Worked out from the queue: after those that wait now, and after those who
 * were told to come back before, one for each start, with jitter; a second
 * later at the least when an upstream has to come back first.
 */
uint32_t
admit_retry_after_ms(struct engine *engine, enum engine_reason reason);

#endif
