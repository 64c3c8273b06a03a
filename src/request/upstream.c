#include "request/upstream.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "base/clock.h"

#define BACKOFF_BASE_US (10 * USEC_PER_MSEC)
#define BACKOFF_DOUBLINGS_MAX 6
#define LOAD_WINDOW_US (5.0 * (double)USEC_PER_SEC)
#define STATUS_OFFSET 9  /* length of "HTTP/1.1 " */
#define FULL_LOAD 1000.0 /* per mille */

unsigned
upstream_usable_slots(const struct upstream *upstream, uint64_t now_us)
{
    uint64_t warm;
    unsigned slots;

    if (!upstream->accepting || now_us < upstream->backoff_until_us ||
        health_is_ejected(&upstream->passive_health, now_us)) {
        return 0;
    }
    if (upstream->slots <= 1 || upstream->passive_health.trial ||
        upstream->backoffs > 0) {
        return upstream->slots > 0 ? 1 : 0;
    }
    if (upstream->slow_start_since_us == 0) {
        return upstream->slots;
    }
    warm = now_us - upstream->slow_start_since_us;
    if (warm >= UPSTREAM_SLOW_START_US) {
        return upstream->slots;
    }
    slots = (unsigned)(upstream->slots * warm / UPSTREAM_SLOW_START_US);
    return slots > 0 ? slots : 1;
}

bool
upstream_serves(const struct upstream *upstream, uint32_t service)
{
    return upstream->accepting && upstream->slots > 0 &&
           upstream->service == service;
}

unsigned
upstream_free_slots(const struct upstream *upstream, uint32_t service,
                    uint64_t now_us)
{
    unsigned slots;

    if (!upstream_serves(upstream, service)) {
        return 0;
    }
    slots = upstream_usable_slots(upstream, now_us);
    return slots > upstream->busy ? slots - upstream->busy : 0;
}

bool
upstream_may_pull(const struct upstream *upstream, uint64_t now_us)
{
    return upstream->errors < UPSTREAM_ERRORS_MAX && upstream->backoffs == 0 &&
           !upstream->passive_health.trial;
}

static void
decay_load(struct upstream *upstream, uint64_t now_us)
{
    double elapsed = (double)(now_us - upstream->load_at_us);
    double busy = upstream->slots > 0
                      ? fmin(1.0, (double)upstream->busy / upstream->slots)
                      : 1.0;

    upstream->load +=
        (busy - upstream->load) * (1.0 - exp(-elapsed / LOAD_WINDOW_US));
    upstream->load_at_us = now_us;
}

void
upstream_acquire_slot(struct upstream *upstream, uint64_t now_us)
{
    decay_load(upstream, now_us);
    upstream->busy++;
}

void
upstream_release_slot(struct upstream *upstream, uint64_t now_us)
{
    assert(upstream->busy > 0);
    decay_load(upstream, now_us);
    upstream->busy--;
}

static bool
is_server_error(const uint8_t *answer, size_t len)
{
    return len > STATUS_OFFSET && memcmp(answer, "HTTP/1.", 7) == 0 &&
           answer[STATUS_OFFSET] == '5';
}

void
upstream_answered(struct upstream *upstream, uint64_t took_us,
                  const uint8_t *answer, size_t answer_len, bool ignore_errors)
{
    health_answered(&upstream->passive_health, took_us);
    upstream->backoffs = 0;
    upstream->backoff_until_us = 0;
    if (answer == NULL || !is_server_error(answer, answer_len)) {
        upstream->errors = 0;
    }
    else if (!ignore_errors && upstream->errors < UPSTREAM_ERRORS_MAX) {
        upstream->errors++;
    }
}

void
upstream_refused(struct upstream *upstream, uint64_t now_us)
{
    unsigned doublings = upstream->backoffs < BACKOFF_DOUBLINGS_MAX
                             ? upstream->backoffs
                             : BACKOFF_DOUBLINGS_MAX;

    upstream->backoffs++;
    upstream->backoff_until_us = now_us + (BACKOFF_BASE_US << doublings);
}

unsigned
upstream_load(struct upstream *upstream, uint64_t now_us)
{
    decay_load(upstream, now_us);
    return (unsigned)(upstream->load * FULL_LOAD + 0.5);
}
