/**
 * DOC: slow_start - rate limit of requests to a cold endpoint
 *
 * Operators set the requests per second that a service's endpoints get until
 * they are warm. All requests pass the endpoint's one agent, which records
 * them and keeps the limit in any second.
 *
 * An endpoint is cold until it is known to be warm. An agent that has just
 * started doesn't know what its predecessor admitted in the last second, and
 * admits nothing for that time.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_SLOW_START_H
#define SWIFTARCH_RELAY_ADMISSION_SLOW_START_H

#include <stdbool.h>
#include <stdint.h>

/* Recorded requests; a higher limit counts as this one. */
#define SLOW_START_LIMIT_MAX 256

/**
 * struct slow_start - rate limit of one endpoint
 * @limit: requests in any second while it is cold, 0 for no limit
 * @cold_until_us: when it becomes warm, UINT64_MAX if unknown
 * @since_us: start of the record; earlier requests are unknown
 * @admitted_us: ring of the times of the last requests
 * @admitted_first: index of the oldest one
 * @admitted_count: number of them
 */
struct slow_start {
    unsigned limit;
    uint64_t cold_until_us;
    uint64_t since_us;
    uint64_t admitted_us[SLOW_START_LIMIT_MAX];
    unsigned admitted_first;
    unsigned admitted_count;
};

/** slow_start_init() - begin with an endpoint that is cold and requests before
 * @now_us unknown */
void
slow_start_init(struct slow_start *slow_start, uint64_t now_us);

/** slow_start_limit() - set the configured limit in requests per second; 0 for
 * none */
void
slow_start_limit(struct slow_start *slow_start, unsigned limit);

/** slow_start_set_remaining() - set how much longer the endpoint is cold, as
 * its heartbeat reports */
void
slow_start_set_remaining(struct slow_start *slow_start, unsigned left_ms,
                         uint64_t now_us);

/** slow_start_restart() - treat the endpoint as cold, as it may have restarted
 */
void
slow_start_restart(struct slow_start *slow_start);

/** slow_start_allows() - whether the endpoint may be given a request now */
bool
slow_start_allows(const struct slow_start *slow_start, uint64_t now_us);

/** slow_start_record() - record a request given to the endpoint */
void
slow_start_record(struct slow_start *slow_start, uint64_t now_us);

/** slow_start_next_us() - when the limit allows a request, if it doesn't now
 */
uint64_t
slow_start_next_us(const struct slow_start *slow_start);

#endif
