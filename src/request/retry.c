#include "request/retry.h"

#define ONE_RETRY 100
#define SAVED_MAX (10 * ONE_RETRY)
#define SAVED_FIRST (3 * ONE_RETRY)

void
retry_init(struct retry *retry)
{
    retry->hundredths = SAVED_FIRST;
}

void
retry_succeeded(struct retry *retry)
{
    if (retry->hundredths + RETRY_PERCENT <= SAVED_MAX) {
        retry->hundredths += RETRY_PERCENT;
    }
}

bool
retry_take(struct retry *retry)
{
    if (retry->hundredths < ONE_RETRY) {
        return false;
    }
    retry->hundredths -= ONE_RETRY;
    return true;
}
