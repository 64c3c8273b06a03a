/**
 * DOC: pcbs - bounds on lwIP's own connections, before and after they are ours
 *
 * All expect lwIP's core lock to be held.
 */
#ifndef SWIFTARCH_STACK_PCBS_H
#define SWIFTARCH_STACK_PCBS_H

#include <stddef.h>

#include "base/addr.h"

/* Connections that may stay in TIME-WAIT for its whole time. */
#define PCBS_TIME_WAIT_MAX 1000

/** pcbs_sweep_time_wait_locked() - free those in TIME-WAIT for 60 s, or 10 s
 * beyond the youngest PCBS_TIME_WAIT_MAX */
void
pcbs_sweep_time_wait_locked(void);

/** pcbs_abort_time_wait_locked() - a caller that opens a flow anew has done
 * with the one in TIME-WAIT */
void
pcbs_abort_time_wait_locked(struct addr from, struct addr to);

/** pcbs_half_open_locked() - connections in SYN-RECEIVED */
size_t
pcbs_half_open_locked(void);

/**
 * pcbs_limit_half_open_locked() - make room for one more of these
 * @estimate: their count or more; corrected when it reaches the bound
 */
void
pcbs_limit_half_open_locked(size_t *estimate);

#endif
