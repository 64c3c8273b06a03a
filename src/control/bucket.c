#include "control/bucket.h"

#include "base/clock.h"

/* Tokens per second equal millionths of a token per microsecond. */
static void
bucket_fill(struct bucket *bucket, uint64_t now_us)
{
    uint64_t full = (uint64_t)bucket->burst * USEC_PER_SEC;
    uint64_t passed;

    if (now_us <= bucket->last_us)
        return;
    passed = now_us - bucket->last_us;
    bucket->last_us = now_us;
    if (bucket->rate > 0 && passed >= full / bucket->rate + 1)
        bucket->tokens = full;
    else
        bucket->tokens += passed * bucket->rate;
    if (bucket->tokens > full)
        bucket->tokens = full;
}

void
bucket_init(struct bucket *bucket, uint32_t rate, uint32_t burst,
            uint64_t now_us)
{
    bucket->rate = rate;
    bucket->burst = burst;
    bucket->tokens = (uint64_t)burst * USEC_PER_SEC;
    bucket->last_us = now_us;
}

bool
bucket_take(struct bucket *bucket, uint32_t count, uint64_t now_us)
{
    uint64_t need = (uint64_t)count * USEC_PER_SEC;

    bucket_fill(bucket, now_us);
    if (bucket->tokens < need)
        return false;
    bucket->tokens -= need;
    return true;
}

uint32_t
bucket_level(struct bucket *bucket, uint64_t now_us)
{
    bucket_fill(bucket, now_us);
    return bucket->tokens / USEC_PER_SEC;
}

uint64_t
bucket_wait_us(struct bucket *bucket, uint32_t count, uint64_t now_us)
{
    uint64_t need = (uint64_t)count * USEC_PER_SEC;

    bucket_fill(bucket, now_us);
    if (bucket->tokens >= need)
        return 0;
    return (need - bucket->tokens + bucket->rate - 1) / bucket->rate;
}
