#include "request/retry.h"

#define RETRY_COST 100
#define RETRY_BUDGET_MAX (10 * RETRY_COST)
#define RETRY_BUDGET_INITIAL (3 * RETRY_COST)

void
retry_init(struct retry *retry)
{
    retry->hundredths = RETRY_BUDGET_INITIAL;
}

void
retry_succeeded(struct retry *retry)
{
    if (retry->hundredths + RETRY_PERCENT <= RETRY_BUDGET_MAX) {
        retry->hundredths += RETRY_PERCENT;
    }
}

bool
retry_take(struct retry *retry)
{
    if (retry->hundredths < RETRY_COST) {
        return false;
    }
    retry->hundredths -= RETRY_COST;
    return true;
}
