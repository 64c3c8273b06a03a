#include "relay/admission/slow_start.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Window in which requests are counted: a second, and a margin for requests
 * that reach the endpoint with different delays, as a host may run on with a
 * delay of 20 ms. */
#define WINDOW_US (1050 * USEC_PER_MSEC)

static unsigned
ring_index(const struct slow_start *slow_start, unsigned at)
{
    return (slow_start->admitted_first + at) % SLOW_START_LIMIT_MAX;
}

/* Recorded requests in the window that ends now. */
static unsigned
admitted_in_window(const struct slow_start *slow_start, uint64_t now_us)
{
    unsigned expired = 0;

    while (expired < slow_start->admitted_count &&
           now_us - slow_start->admitted_us[ring_index(slow_start, expired)] >=
               WINDOW_US) {
        expired++;
    }
    return slow_start->admitted_count - expired;
}

static bool
is_cold(const struct slow_start *slow_start, uint64_t now_us)
{
    return slow_start->limit > 0 && now_us < slow_start->cold_until_us;
}

void
slow_start_init(struct slow_start *slow_start, uint64_t now_us)
{
    memset(slow_start, 0, sizeof(*slow_start));
    slow_start->cold_until_us = UINT64_MAX;
    slow_start->since_us = now_us;
}

void
slow_start_limit(struct slow_start *slow_start, unsigned limit)
{
    slow_start->limit = MIN(limit, SLOW_START_LIMIT_MAX);
}

void
slow_start_set_remaining(struct slow_start *slow_start, unsigned left_ms,
                         uint64_t now_us)
{
    slow_start->cold_until_us = now_us + left_ms * USEC_PER_MSEC;
}

void
slow_start_restart(struct slow_start *slow_start)
{
    slow_start->cold_until_us = UINT64_MAX;
}

bool
slow_start_allows(const struct slow_start *slow_start, uint64_t now_us)
{
    if (!is_cold(slow_start, now_us)) {
        return true;
    }
    return now_us - slow_start->since_us >= WINDOW_US &&
           admitted_in_window(slow_start, now_us) < slow_start->limit;
}

void
slow_start_record(struct slow_start *slow_start, uint64_t now_us)
{
    if (slow_start->admitted_count == SLOW_START_LIMIT_MAX) {
        slow_start->admitted_first = ring_index(slow_start, 1);
        slow_start->admitted_count--;
    }
    slow_start
        ->admitted_us[ring_index(slow_start, slow_start->admitted_count++)] =
        now_us;
}

uint64_t
slow_start_next_us(const struct slow_start *slow_start)
{
    uint64_t next_us = slow_start->since_us + WINDOW_US;

    if (slow_start->limit > 0 &&
        slow_start->admitted_count >= slow_start->limit) {
        unsigned at = slow_start->admitted_count - slow_start->limit;
        uint64_t free_us =
            slow_start->admitted_us[ring_index(slow_start, at)] + WINDOW_US;

        next_us = MAX(next_us, free_us);
    }
    return MIN(next_us, slow_start->cold_until_us);
}
