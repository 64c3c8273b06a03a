/**
 * DOC: words - words for what processes say in numbers
 */
#ifndef SWIFTARCH_CLI_FORMAT_H
#define SWIFTARCH_CLI_FORMAT_H

#include <stdint.h>

#define FORMAT_AGE_MAX 32

/** format_role() - "balancer", "agent" or "unknown" */
const char *
format_role(uint32_t role);

/** format_state() - "warming", "ready", "draining", "leaving" or "unknown" */
const char *
format_state(uint32_t state);

/** format_health() - "alive", "suspect", "dead" or "unknown" */
const char *
format_health(uint32_t health);

/** format_age() - "0.4 s", "3 min", "2 h" or "never" for UINT64_MAX, in @buf
 * (FORMAT_AGE_MAX) */
const char *
format_age(uint64_t ms, char *buf);

#endif
