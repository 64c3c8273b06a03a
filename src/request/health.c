#include "request/health.h"

#include "base/clock.h"

#define EJECTION_BASE_US (200 * USEC_PER_MSEC)
#define EJECTION_DOUBLINGS_MAX 5

void
health_answered(struct health *health, uint64_t took_us)
{
    health->failures = 0;
    health->ejections = 0;
    health->ejected_until_us = 0;
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
    return health->trial || health->failures >= HEALTH_FAILURES_MAX;
}

void
health_eject(struct health *health, uint64_t now_us)
{
    unsigned doublings = health->ejections < EJECTION_DOUBLINGS_MAX
                             ? health->ejections
                             : EJECTION_DOUBLINGS_MAX;

    health->ejected_until_us = now_us + (EJECTION_BASE_US << doublings);
    health->ejections++;
    health->failures = 0;
    health->trial = true;
}

bool
health_is_ejected(const struct health *health, uint64_t now_us)
{
    return now_us < health->ejected_until_us;
}
