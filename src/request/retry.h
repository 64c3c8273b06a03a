/**
 * DOC: retry - budget for running a request at a second upstream
 *
 * Successes earn a share of a retry, so retries never add more than
 * RETRY_PERCENT of the useful work, whatever fails. The agent that accepted
 * the request is the only layer that retries.
 */
#ifndef SWIFTARCH_REQUEST_RETRY_H
#define SWIFTARCH_REQUEST_RETRY_H

#include <stdbool.h>

#define RETRY_PERCENT 10
#define RETRY_ATTEMPTS_MAX 3

/** struct retry - @hundredths: of a retry, saved up */
struct retry {
    unsigned hundredths;
};

/** retry_init() - a few retries to begin with */
void
retry_init(struct retry *retry);

/** retry_succeeded() - a request was answered */
void
retry_succeeded(struct retry *retry);

/** retry_take() - spend one retry, or false */
bool
retry_take(struct retry *retry);

#endif
