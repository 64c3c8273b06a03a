/**
 * DOC: outcome - how much of what an endpoint is asked it resets
 *
 * An endpoint may say that it is well and fail. Its agent can't read answers,
 * but it sees a flow reset while a request is in progress.
 */
#ifndef SWIFTARCH_RELAY_ADMISSION_OUTCOME_H
#define SWIFTARCH_RELAY_ADMISSION_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct outcome - a moving average
 * @failed: part of the requests that were reset, in 1000
 * @at_us: when it was so
 */
struct outcome {
    unsigned failed;
    uint64_t at_us;
};

/** outcome_record() - a request was answered, or reset */
void
outcome_record(struct outcome *outcome, bool reset, uint64_t now_us);

/** outcome_is_failing() - whether others are the better choice */
bool
outcome_is_failing(const struct outcome *outcome, uint64_t now_us);

#endif
