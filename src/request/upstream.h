/**
 * DOC: upstream - the local upstream: slots, cold start, faults
 *
 * While it warms up it gets a growing share of its slots. When it sheds
 * load or can't be reached it is left alone for a short, growing while.
 * When it loses requests it is shunned like a peer would be. When all it
 * says is an error (and nothing it depends on is down) it runs what comes
 * to it but attracts no work from peers: an upstream that fails fast would
 * else look idle and take everything.
 */
#ifndef SWIFTARCH_REQUEST_UPSTREAM_H
#define SWIFTARCH_REQUEST_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "request/health.h"

#define UPSTREAM_SLOW_START_US (10 * USEC_PER_SEC)
#define UPSTREAM_ERRORS_MAX 5

/**
 * struct upstream - the local upstream
 * @service: its service, 0 while there is none
 * @slots: requests it runs at once
 * @accepting: it takes new work
 * @slow_start_since_us: when its cold start began, 0 when warm
 * @busy: slots in use
 * @backoffs: times it refused in a row
 * @backoff_until_us: gets nothing before
 * @errors: answers in a row that were server errors
 * @passive_health: what passive_health shows of it
 * @load: smoothed share of slots busy
 * @load_at_us: when @load was last worked out
 */
struct upstream {
    uint32_t service;
    unsigned slots;
    bool accepting;
    uint64_t slow_start_since_us;
    unsigned busy;
    unsigned backoffs;
    uint64_t backoff_until_us;
    unsigned errors;
    struct health passive_health;
    double load;
    uint64_t load_at_us;
};

/** upstream_usable_slots() - slots that may be used now */
unsigned
upstream_usable_slots(const struct upstream *upstream, uint64_t now_us);

/** upstream_serves() - whether it will serve @service, if not right now */
bool
upstream_serves(const struct upstream *upstream, uint32_t service);

/** upstream_free_slots() - slots free now for @service */
unsigned
upstream_free_slots(const struct upstream *upstream, uint32_t service,
                    uint64_t now_us);

/** upstream_may_pull() - whether it may ask peers for work */
bool
upstream_may_pull(const struct upstream *upstream, uint64_t now_us);

/** upstream_acquire_slot() - a slot is taken */
void
upstream_acquire_slot(struct upstream *upstream, uint64_t now_us);

/** upstream_release_slot() - a slot is free again */
void
upstream_release_slot(struct upstream *upstream, uint64_t now_us);

/** upstream_answered() - a whole answer came; @ignore_errors: errors are no
 * wonder, something it depends on is down */
void
upstream_answered(struct upstream *upstream, uint64_t took_us,
                  const uint8_t *answer, size_t answer_len,
                  bool ignore_errors);

/** upstream_refused() - it took no work: shed or unreached */
void
upstream_refused(struct upstream *upstream, uint64_t now_us);

/** upstream_load() - smoothed busy share of its slots, per mille */
unsigned
upstream_load(struct upstream *upstream, uint64_t now_us);

#endif
