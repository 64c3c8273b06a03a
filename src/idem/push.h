/**
 * DOC: push - bring records to the members that should hold them
 *
 * A change of members starts one pass over all records, spread over
 * PUSH_PASS_TICKS ticks; a record whose targets haven't all acknowledged it
 * is visited again every PUSH_RETRY_US. Every holder pushes the fact, only
 * the first living replica its answer, at most PUSH_ANSWER_BYTES a tick. So
 * a storm of joins costs a bounded rate.
 */
#ifndef SWIFTARCH_IDEM_PUSH_H
#define SWIFTARCH_IDEM_PUSH_H

#include "idem/state.h"

#define PUSH_PASS_TICKS 100
#define PUSH_VISITS_MIN 64
#define PUSH_RETRY_US USEC_PER_SEC
#define PUSH_PASS_INTERVAL_US (60 * USEC_PER_SEC)
#define PUSH_ANSWER_BYTES (128u << 10)
/* A record stays this long after its last change, whatever its age by the
 * wall clock, and isn't taken in when it is this much older than its TTL. */
#define PUSH_RETAIN_US (3600 * USEC_PER_SEC)

/** push_changed() - @record has another state: tell its targets now */
void
push_changed(struct idem *idem, struct record *record, uint64_t now_us,
             struct idem_actions *out);

/** push_from_owner() - @record came from its owner, who tells the others too
 */
void
push_from_owner(struct idem *idem, struct record *record, uint64_t now_us);

/** push_later() - look after @record, whose state is on its way */
void
push_later(struct idem *idem, struct record *record, uint64_t now_us);

/** push_tick() - go on with the pass and with the records that are due */
void
push_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out);

#endif
