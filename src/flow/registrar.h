/**
 * DOC: registrar - schedules the pins that an owner sends
 *
 * An owner that ranks below the first FLOW_CANDIDATES members of a bucket
 * sends them a pin: after each change of the view, when it opens a flow in the
 * bucket, and every FLOW_PIN_REFRESH_US.
 */
#ifndef SWIFTARCH_FLOW_REGISTRAR_H
#define SWIFTARCH_FLOW_REGISTRAR_H

#include <stddef.h>
#include <stdint.h>

#include "flow/entries.h"
#include "flow/flow_types.h"
#include "flow/members.h"

/**
 * struct registrar - buckets whose pins are due
 * @pending: 1 for each such bucket, RANK_BUCKETS bytes
 * @pending_count: number of such buckets
 * @cursor: next bucket
 * @sent: pins of that bucket already returned
 * @refresh_us: when all buckets with flows are due again
 */
struct registrar {
    uint8_t *pending;
    size_t pending_count;
    uint32_t cursor;
    size_t sent;
    uint64_t refresh_us;
};

/** registrar_init() - no bucket due; returns 0 or -ENOMEM */
int
registrar_init(struct registrar *registrar);

/** registrar_finish() - free the registrar's memory */
void
registrar_finish(struct registrar *registrar);

/** registrar_mark() - mark @bucket as due; called when a flow was opened in it
 */
void
registrar_mark(struct registrar *registrar, uint32_t bucket);

/** registrar_mark_all() - mark all buckets with flows as due */
void
registrar_mark_all(struct registrar *registrar, const struct entries *entries);

/** registrar_due() - write the pins to send now; see flow_pins_due() */
size_t
registrar_due(struct registrar *registrar, const struct entries *entries,
              const struct members *members, uint64_t self, uint64_t now_us,
              struct flow_pin *pins, uint64_t *to, size_t max);

#endif
