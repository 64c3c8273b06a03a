/**
 * DOC: bucket - token bucket over a clock in microseconds
 */
#ifndef SWIFTARCH_CONTROL_BUCKET_H
#define SWIFTARCH_CONTROL_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct bucket - see DOC
 * @rate: tokens a second
 * @burst: maximum of tokens
 * @tokens: available tokens, in millionths
 * @last_us: when @tokens was last refilled
 */
struct bucket {
    uint32_t rate;
    uint32_t burst;
    uint64_t tokens;
    uint64_t last_us;
};

/** bucket_init() - start with a full bucket */
void
bucket_init(struct bucket *bucket, uint32_t rate, uint32_t burst,
            uint64_t now_us);

/** bucket_take() - take @count tokens; false, and none taken, if too few */
bool
bucket_take(struct bucket *bucket, uint32_t count, uint64_t now_us);

/** bucket_level() - available tokens, rounded down */
uint32_t
bucket_level(struct bucket *bucket, uint64_t now_us);

/** bucket_wait_us() - time until @count tokens are available, 0 if they are */
uint64_t
bucket_wait_us(struct bucket *bucket, uint32_t count, uint64_t now_us);

#endif
