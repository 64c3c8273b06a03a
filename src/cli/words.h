/**
 * DOC: words - words for what processes say in numbers
 */
#ifndef SWIFTARCH_CLI_WORDS_H
#define SWIFTARCH_CLI_WORDS_H

#include <stdint.h>

#define WORDS_AGE_MAX 32

/** words_role() - "balancer", "agent" or "unknown" */
const char *
words_role(uint32_t role);

/** words_state() - "warming", "ready", "draining", "leaving" or "unknown" */
const char *
words_state(uint32_t state);

/** words_health() - "alive", "suspect", "dead" or "unknown" */
const char *
words_health(uint32_t health);

/** words_age() - "0.4 s", "3 min", "2 h" or "never" for UINT64_MAX, in @buf
 * (WORDS_AGE_MAX) */
const char *
words_age(uint64_t ms, char *buf);

#endif
