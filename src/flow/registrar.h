/**
 * DOC: registrar - which pins an owner has to send
 *
 * An owner that is ranked past FLOW_CANDIDATES in a bucket registers with the
 * first FLOW_CANDIDATES members of it: after each change of the view, with its
 * first flow there, and again every FLOW_PIN_REFRESH_US.
 */
#ifndef SWIFTARCH_FLOW_REGISTRAR_H
#define SWIFTARCH_FLOW_REGISTRAR_H

#include <stddef.h>
#include <stdint.h>

#include "flow/entries.h"
#include "flow/flow_types.h"
#include "flow/members.h"

/**
 * struct registrar - buckets that still have to be looked at
 * @pending: 1 for each such bucket, RANK_BUCKETS bytes
 * @pending_count: how many
 * @cursor: bucket to look at next
 * @sent: pins of that bucket already given out
 * @refresh_us: when all are due again
 */
struct registrar {
    uint8_t *pending;
    size_t pending_count;
    uint32_t cursor;
    size_t sent;
    uint64_t refresh_us;
};

/** registrar_init() - nothing pending; 0 or -ENOMEM */
int
registrar_init(struct registrar *registrar);

/** registrar_finish() - free it */
void
registrar_finish(struct registrar *registrar);

/** registrar_mark() - a flow was opened in @bucket */
void
registrar_mark(struct registrar *registrar, uint32_t bucket);

/** registrar_mark_all() - look at all buckets with flows again */
void
registrar_mark_all(struct registrar *registrar, const struct entries *entries);

/** registrar_due() - see flow_pins_due() */
size_t
registrar_due(struct registrar *registrar, const struct entries *entries,
              const struct members *members, uint64_t self, uint64_t now_us,
              struct flow_pin *pins, uint64_t *to, size_t max);

#endif
