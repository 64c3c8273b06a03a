/**
 * DOC: admit - admission of requests
 *
 * Refuses a request that can't be served by its deadline or exceeds a limit,
 * and spreads the times at which refused callers retry.
 */
#ifndef SWIFTARCH_REQUEST_ADMIT_H
#define SWIFTARCH_REQUEST_ADMIT_H

#include "request/state.h"

/**
 * admit_check() - decide whether @request is admitted
 *
 * May displace a queued ordinary request.
 * Return: ENGINE_REASON_NONE, or the reason of the refusal
 */
enum engine_reason
admit_check(struct engine *engine, const struct engine_request *request);

/** admit_requeue() - queue @entry again after a failed attempt; over the
 * queue limit, the last ordinary request (or else the last urgent one) is
 * dropped */
void
admit_requeue(struct engine *engine, struct entry *entry);

/** admit_unservable() - reason why the queued @entry can't be served any
 * more, or ENGINE_REASON_NONE */
enum engine_reason
admit_unservable(const struct engine *engine, const struct entry *entry);

/** admit_local_too_slow() - whether the local upstream would likely miss
 * the deadline of @entry and some peer is much faster */
bool
admit_local_too_slow(const struct engine *engine, const struct entry *entry);

/**
 * admit_retry_after_ms() - Retry-After of a refused request, in milliseconds
 *
 * Covers the time to drain the queue and the callers refused before, one
 * start interval each, with jitter. At least one second if an upstream or a
 * quorum has to recover first.
 */
uint32_t
admit_retry_after_ms(struct engine *engine, enum engine_reason reason);

#endif
