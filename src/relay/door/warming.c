#include "relay/door/warming.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* The second in which requests are counted, and a margin for those that reach
 * the endpoint later than others: hosts run on with up to 20 ms delay. */
#define WINDOW_US (1050 * USEC_PER_MSEC)

static unsigned
slot_of(const struct warming *warming, unsigned at)
{
    return (warming->given_at + at) % WARMING_LIMIT_MAX;
}

/* How many of the recorded requests lie in the window that ends now. */
static unsigned
given_of_late(const struct warming *warming, uint64_t now_us)
{
    unsigned old = 0;

    while (old < warming->given_count &&
           now_us - warming->given_us[slot_of(warming, old)] >= WINDOW_US) {
        old++;
    }
    return warming->given_count - old;
}

static bool
is_cold(const struct warming *warming, uint64_t now_us)
{
    return warming->limit > 0 && now_us < warming->until_us;
}

void
warming_init(struct warming *warming, uint64_t now_us)
{
    memset(warming, 0, sizeof(*warming));
    warming->until_us = UINT64_MAX;
    warming->since_us = now_us;
}

void
warming_limit(struct warming *warming, unsigned limit)
{
    warming->limit = MIN(limit, WARMING_LIMIT_MAX);
}

void
warming_told(struct warming *warming, unsigned left_ms, uint64_t now_us)
{
    warming->until_us = now_us + left_ms * USEC_PER_MSEC;
}

void
warming_in_doubt(struct warming *warming)
{
    warming->until_us = UINT64_MAX;
}

bool
warming_has_room(const struct warming *warming, uint64_t now_us)
{
    if (!is_cold(warming, now_us)) {
        return true;
    }
    return now_us - warming->since_us >= WINDOW_US &&
           given_of_late(warming, now_us) < warming->limit;
}

void
warming_gave(struct warming *warming, uint64_t now_us)
{
    if (warming->given_count == WARMING_LIMIT_MAX) {
        warming->given_at = slot_of(warming, 1);
        warming->given_count--;
    }
    warming->given_us[slot_of(warming, warming->given_count++)] = now_us;
}

uint64_t
warming_next_us(const struct warming *warming)
{
    uint64_t next_us = warming->since_us + WINDOW_US;

    if (warming->limit > 0 && warming->given_count >= warming->limit) {
        unsigned at = warming->given_count - warming->limit;
        uint64_t free_us = warming->given_us[slot_of(warming, at)] + WINDOW_US;

        next_us = MAX(next_us, free_us);
    }
    return MIN(next_us, warming->until_us);
}
