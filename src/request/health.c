#include "request/health.h"

#include "base/clock.h"

#define SHUN_FIRST_US (200 * USEC_PER_MSEC)
#define SHUN_DOUBLINGS 5

void
health_answered(struct health *health, uint64_t took_us)
{
    health->failures = 0;
    health->shuns = 0;
    health->shunned_until_us = 0;
    health->trial = false;
    if (health->run_us == 0) {
        health->run_us = took_us;
    }
    health->run_us = (health->run_us * 7 + took_us) / 8;
}

bool
health_failed(struct health *health)
{
    health->failures++;
    return health->trial || health->failures >= HEALTH_FAILURES;
}

void
health_shun(struct health *health, uint64_t now_us)
{
    unsigned doublings =
        health->shuns < SHUN_DOUBLINGS ? health->shuns : SHUN_DOUBLINGS;

    health->shunned_until_us = now_us + (SHUN_FIRST_US << doublings);
    health->shuns++;
    health->failures = 0;
    health->trial = true;
}

bool
health_shunned(const struct health *health, uint64_t now_us)
{
    return now_us < health->shunned_until_us;
}
