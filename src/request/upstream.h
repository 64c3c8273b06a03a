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

#define UPSTREAM_WARM_US (10 * USEC_PER_SEC)
#define UPSTREAM_ERRORS 5

/**
 * struct upstream - the local upstream
 * @service: its service, 0 while there is none
 * @slots: requests it runs at once
 * @accepting: it takes new work
 * @warm_from_us: when its cold start began, 0 when warm
 * @busy: slots in use
 * @pauses: times it refused in a row
 * @paused_until_us: gets nothing before
 * @errors: answers in a row that were server errors
 * @traffic: what traffic shows of it
 * @load: smoothed share of slots busy
 * @load_at_us: when @load was last worked out
 */
struct upstream {
    uint32_t service;
    unsigned slots;
    bool accepting;
    uint64_t warm_from_us;
    unsigned busy;
    unsigned pauses;
    uint64_t paused_until_us;
    unsigned errors;
    struct health traffic;
    double load;
    uint64_t load_at_us;
};

/** upstream_slots() - slots that may be used now */
unsigned
upstream_slots(const struct upstream *upstream, uint64_t now_us);

/** upstream_serves() - whether it will serve @service, if not right now */
bool
upstream_serves(const struct upstream *upstream, uint32_t service);

/** upstream_free() - slots free now for @service */
unsigned
upstream_free(const struct upstream *upstream, uint32_t service,
              uint64_t now_us);

/** upstream_attracts() - whether it may ask peers for work */
bool
upstream_attracts(const struct upstream *upstream, uint64_t now_us);

/** upstream_take() - a slot is taken */
void
upstream_take(struct upstream *upstream, uint64_t now_us);

/** upstream_drop() - a slot is free again */
void
upstream_drop(struct upstream *upstream, uint64_t now_us);

/** upstream_answered() - a whole answer came; @excused: errors are no
 * wonder, something it depends on is down */
void
upstream_answered(struct upstream *upstream, uint64_t took_us,
                  const uint8_t *answer, size_t answer_len, bool excused);

/** upstream_refused() - it took no work: shed or unreached */
void
upstream_refused(struct upstream *upstream, uint64_t now_us);

/** upstream_load() - smoothed busy share of its slots, per mille */
unsigned
upstream_load(struct upstream *upstream, uint64_t now_us);

#endif
