/**
 * DOC: health - passive health check of one upstream
 *
 * Consecutive lost, truncated and unreached runs eject an upstream for growing
 * periods; after each, a single trial request tests it. Complete answers,
 * errors included, are no failures: an upstream may return errors because of a
 * failing dependency. The caller decides whether enough other upstreams remain
 * for an ejection.
 */
#ifndef SWIFTARCH_REQUEST_HEALTH_H
#define SWIFTARCH_REQUEST_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#define HEALTH_FAILURES_MAX 3

/**
 * struct health - health of one upstream
 * @failures: consecutive failures
 * @ejections: ejections since the last answer
 * @ejected_until_us: gets no requests until then
 * @trial: was ejected: gets one request at a time until it answers
 * @run_us: moving average of its run time, 0 if none
 */
struct health {
    unsigned failures;
    unsigned ejections;
    uint64_t ejected_until_us;
    bool trial;
    uint64_t run_us;
};

/** health_answered() - record a complete answer after @took_us */
void
health_answered(struct health *health, uint64_t took_us);

/** health_failed() - record a failed run; returns whether the upstream
 * should be ejected */
bool
health_failed(struct health *health);

/** health_eject() - eject the upstream for a period */
void
health_eject(struct health *health, uint64_t now_us);

/** health_is_ejected() - whether the upstream is ejected now */
bool
health_is_ejected(const struct health *health, uint64_t now_us);

#endif
