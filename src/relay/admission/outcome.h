/**
 * DOC: outcome - rate of requests that an endpoint resets
 *
 * An endpoint may report itself as healthy and fail. Its agent doesn't read
 * answers but sees flows that are reset during a request.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_OUTCOME_H
#define SWIFTARCH_RELAY_ADMISSION_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct outcome - a moving average
 * @failed: requests that were reset, in 1/1000
 * @at_us: time of the last request
 */
struct outcome {
    unsigned failed;
    uint64_t at_us;
};

/** outcome_record() - add a request that was answered or reset */
void
outcome_record(struct outcome *outcome, bool reset, uint64_t now_us);

/** outcome_is_failing() - whether other endpoints are to be preferred */
bool
outcome_is_failing(const struct outcome *outcome, uint64_t now_us);

#endif
