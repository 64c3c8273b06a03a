/**
 * DOC: format - names of member roles, states and health, and durations
 */
#ifndef SWIFTARCH_CLI_FORMAT_H
#define SWIFTARCH_CLI_FORMAT_H

#include <stdint.h>

#define FORMAT_AGE_MAX 32 /* bytes, with the final NUL */

/** format_role() - "balancer", "agent" or "unknown" */
const char *
format_role(uint32_t role);

/** format_state() - "warming", "ready", "draining", "leaving" or "unknown" */
const char *
format_state(uint32_t state);

/** format_health() - "alive", "suspect", "dead" or "unknown" */
const char *
format_health(uint32_t health);

/** format_age() - "0.4 s", "3 min" or "2 h" in @buf of FORMAT_AGE_MAX bytes,
 * or "never" for UINT64_MAX */
const char *
format_age(uint64_t ms, char *buf);

#endif
