/**
 * DOC: pcbs - bounds on lwIP's half-open and TIME-WAIT connections, which have
 * no struct stack_conn
 *
 * The caller of each function holds lwIP's core lock.
 */
#ifndef SWIFTARCH_STACK_PCBS_H
#define SWIFTARCH_STACK_PCBS_H

#include <stddef.h>

#include "base/addr.h"

/* Connections that may stay in TIME-WAIT for 60 s. */
#define PCBS_TIME_WAIT_MAX 1000

/** pcbs_sweep_time_wait_locked() - free connections after 60 s in TIME-WAIT,
 * or after 10 s beyond the newest PCBS_TIME_WAIT_MAX */
void
pcbs_sweep_time_wait_locked(void);

/** pcbs_abort_time_wait_locked() - abort the connection between @from and @to
 * in TIME-WAIT, if any, so that the caller can reuse its port */
void
pcbs_abort_time_wait_locked(struct addr from, struct addr to);

/** pcbs_half_open_locked() - number of connections in SYN-RECEIVED */
size_t
pcbs_half_open_locked(void);

/**
 * pcbs_limit_half_open_locked() - evict the oldest half-open connections when
 * their number has reached the bound
 * @estimate: upper bound of their number; recounted when it reaches the bound
 */
void
pcbs_limit_half_open_locked(size_t *estimate);

#endif
