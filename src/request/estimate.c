#include "request/estimate.h"

#include <math.h>

#include "base/clock.h"

#define RUNS_MAX 32
#define DEPARTURES_MAX 32
#define DEPARTURES_MIN 8
#define DEVIATIONS 4.0
#define ESTIMATE_TTL_US (2 * USEC_PER_SEC)
#define ESTIMATE_TTL_RUNS 4.0

static bool
is_known(const struct estimate *estimate, uint64_t now_us)
{
    double keep =
        fmax((double)ESTIMATE_TTL_US, ESTIMATE_TTL_RUNS * estimate->run_us);

    return estimate->runs > 0 &&
           (double)(now_us - estimate->last_run_us) < keep;
}

void
estimate_run(struct estimate *estimate, uint64_t took_us, uint64_t now_us)
{
    double took = (double)took_us;
    double off;

    if (!is_known(estimate, now_us)) {
        estimate->runs = 0;
        estimate->run_us = took;
        estimate->run_dev_us = took / 2;
    }
    if (estimate->runs < RUNS_MAX) {
        estimate->runs++;
    }
    off = took - estimate->run_us;
    estimate->run_us += off / estimate->runs;
    estimate->run_dev_us +=
        (fabs(off) - estimate->run_dev_us) / estimate->runs;
    estimate->last_run_us = now_us;
}

void
estimate_departure(struct estimate *estimate, unsigned waiting,
                   uint64_t now_us)
{
    if (estimate->last_departure_us != 0) {
        double gap = (double)(now_us - estimate->last_departure_us);

        if (now_us >= estimate->gap_at_us + ESTIMATE_TTL_US) {
            estimate->departures = 0;
        }
        if (estimate->departures < DEPARTURES_MAX) {
            estimate->departures++;
        }
        estimate->gap_us += (gap - estimate->gap_us) / estimate->departures;
        estimate->gap_at_us = now_us;
    }
    estimate->last_departure_us = waiting > 0 ? now_us : 0;
}

uint64_t
estimate_run_us(const struct estimate *estimate, uint64_t now_us)
{
    return is_known(estimate, now_us) ? (uint64_t)estimate->run_us : 0;
}

uint64_t
estimate_run_max_us(const struct estimate *estimate, uint64_t now_us)
{
    if (!is_known(estimate, now_us)) {
        return 0;
    }
    return (uint64_t)(estimate->run_us + DEVIATIONS * estimate->run_dev_us);
}

uint64_t
estimate_start_interval_us(const struct estimate *estimate, double slots,
                           uint64_t now_us)
{
    if (!is_known(estimate, now_us)) {
        return 0;
    }
    if (estimate->departures >= DEPARTURES_MIN &&
        now_us < estimate->gap_at_us + ESTIMATE_TTL_US) {
        return (uint64_t)estimate->gap_us;
    }
    return (uint64_t)(estimate->run_us / fmax(1.0, slots));
}
