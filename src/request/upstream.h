/**
 * DOC: upstream - state of the local upstream: slots, slow start, failures
 *
 * During slow start, a growing share of its slots is used. After it sheds load
 * or can't be reached, it backs off for growing periods; after lost requests
 * it is ejected. While it returns only errors (and its dependencies are up) it
 * runs local requests but pulls none: an upstream that fails fast would look
 * idle and attract all the load.
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
 * @service: its service, 0 if there is none
 * @slots: maximum concurrent requests
 * @accepting: accepts new work
 * @slow_start_since_us: start of slow start, 0 when warm
 * @busy: slots in use
 * @backoffs: consecutive refusals
 * @backoff_until_us: gets no requests until then
 * @errors: consecutive server errors
 * @passive_health: health by the outcome of runs
 * @load: moving average of the busy share of its slots
 * @load_at_us: time of the last update of @load
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

/** upstream_usable_slots() - slots that may be used now, busy ones included */
unsigned
upstream_usable_slots(const struct upstream *upstream, uint64_t now_us);

/** upstream_serves() - whether it accepts requests of @service, even if
 * none can start now */
bool
upstream_serves(const struct upstream *upstream, uint32_t service);

/** upstream_free_slots() - slots free now for @service */
unsigned
upstream_free_slots(const struct upstream *upstream, uint32_t service,
                    uint64_t now_us);

/** upstream_may_pull() - whether this agent may pull requests from peers */
bool
upstream_may_pull(const struct upstream *upstream, uint64_t now_us);

/** upstream_acquire_slot() - take a slot */
void
upstream_acquire_slot(struct upstream *upstream, uint64_t now_us);

/** upstream_release_slot() - free a slot */
void
upstream_release_slot(struct upstream *upstream, uint64_t now_us);

/** upstream_answered() - record a complete answer; @ignore_errors: server
 * errors don't count because a dependency is down */
void
upstream_answered(struct upstream *upstream, uint64_t took_us,
                  const uint8_t *answer, size_t answer_len,
                  bool ignore_errors);

/** upstream_refused() - record that it shed a request or was not reached;
 * backs off */
void
upstream_refused(struct upstream *upstream, uint64_t now_us);

/** upstream_load() - average busy share of its slots, per mille */
unsigned
upstream_load(struct upstream *upstream, uint64_t now_us);

#endif
