/**
 * DOC: retry - retry budget
 *
 * Each success adds a share of a retry, which limits retries to RETRY_PERCENT
 * of the answered requests. Only the accepting agent retries.
 */
#ifndef SWIFTARCH_REQUEST_RETRY_H
#define SWIFTARCH_REQUEST_RETRY_H

#include <stdbool.h>

#define RETRY_PERCENT 10
#define RETRY_ATTEMPTS_MAX 3

/** struct retry - @hundredths: available budget, in hundredths of a retry */
struct retry {
    unsigned hundredths;
};

/** retry_init() - start with a small budget */
void
retry_init(struct retry *retry);

/** retry_succeeded() - add the share of an answered request */
void
retry_succeeded(struct retry *retry);

/** retry_take() - spend one retry; false if the budget is used up */
bool
retry_take(struct retry *retry);

#endif
