/**
 * DOC: push - copies records to the members that should hold them
 *
 * A change of members starts one pass over all records, spread over
 * PUSH_PASS_TICKS ticks. A record that some target hasn't acknowledged is
 * visited again every PUSH_RETRY_US. Every holder sends the record, only the
 * first live replica of the earlier set adds its answer, at most
 * PUSH_ANSWER_BYTES a tick. This bounds the rate when many members join.
 */
#ifndef SWIFTARCH_IDEM_PUSH_H
#define SWIFTARCH_IDEM_PUSH_H

#include "idem/state.h"

#define PUSH_PASS_TICKS 100
#define PUSH_VISITS_MIN 64
#define PUSH_RETRY_US USEC_PER_SEC
#define PUSH_PASS_INTERVAL_US (60 * USEC_PER_SEC)
#define PUSH_ANSWER_BYTES (128u << 10)
/* A record is kept this long after its last change, even past IDEM_TTL_US, and
 * isn't accepted when it is older than IDEM_TTL_US by this much. */
#define PUSH_RETAIN_US (3600 * USEC_PER_SEC)

/** push_changed() - send @record to its targets after a change of state */
void
push_changed(struct idem *idem, struct record *record, uint64_t now_us,
             struct idem_actions *out);

/** push_from_owner() - assume that the owner, which sent @record, also sends
 * it to the other targets; check again later */
void
push_from_owner(struct idem *idem, struct record *record, uint64_t now_us);

/** push_later() - check after PUSH_RETRY_US whether the targets hold @record
 */
void
push_later(struct idem *idem, struct record *record, uint64_t now_us);

/** push_tick() - continue the pass and visit the records that are due */
void
push_tick(struct idem *idem, uint64_t now_us, struct idem_actions *out);

#endif
