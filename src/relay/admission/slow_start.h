/**
 * DOC: slow_start - how many requests an endpoint gets while it warms up
 *
 * Operators say how many requests a second a service's endpoints bear until
 * they are warm. All requests of an endpoint pass its one agent, so a record
 * of what was given to it in the last second keeps that bound for any second,
 * without a word to anybody.
 *
 * While it isn't known whether the endpoint is warm, it is taken as cold: it
 * may just have started. An agent that has just started itself doesn't know
 * what its predecessor gave in the second before, and counts that as all.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_SLOW_START_H
#define SWIFTARCH_RELAY_ADMISSION_SLOW_START_H

#include <stdbool.h>
#include <stdint.h>

/* Requests in a second that are recorded; a higher limit counts as this. */
#define SLOW_START_LIMIT_MAX 256

/**
 * struct slow_start - one endpoint's
 * @limit: requests in any second while it is cold, 0 for no limit
 * @cold_until_us: when it is warm, UINT64_MAX while that isn't known
 * @since_us: what was given before isn't known
 * @admitted_us: when the last requests were given, a ring
 * @admitted_first: place of the oldest of them
 * @admitted_count: how many
 */
struct slow_start {
    unsigned limit;
    uint64_t cold_until_us;
    uint64_t since_us;
    uint64_t admitted_us[SLOW_START_LIMIT_MAX];
    unsigned admitted_first;
    unsigned admitted_count;
};

/** slow_start_init() - nothing is known of the endpoint, nor of what it was
 * given before @now_us */
void
slow_start_init(struct slow_start *slow_start, uint64_t now_us);

/** slow_start_limit() - operators say how much a cold endpoint bears; 0 for
 * anything */
void
slow_start_limit(struct slow_start *slow_start, unsigned limit);

/** slow_start_set_remaining() - the endpoint says how much longer it is cold
 */
void
slow_start_set_remaining(struct slow_start *slow_start, unsigned left_ms,
                         uint64_t now_us);

/** slow_start_restart() - the endpoint may have started anew */
void
slow_start_restart(struct slow_start *slow_start);

/** slow_start_allows() - whether the endpoint may be given a request now */
bool
slow_start_allows(const struct slow_start *slow_start, uint64_t now_us);

/** slow_start_record() - it was given one */
void
slow_start_record(struct slow_start *slow_start, uint64_t now_us);

/** slow_start_next_us() - when there will be room, if there is none now */
uint64_t
slow_start_next_us(const struct slow_start *slow_start);

#endif
