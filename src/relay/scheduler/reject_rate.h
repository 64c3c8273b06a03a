/**
 * DOC: reject_rate - part of the last second's requests that an endpoint
 * rejected
 */
#ifndef SWIFTARCH_RELAY_SCHEDULER_REJECT_RATE_H
#define SWIFTARCH_RELAY_SCHEDULER_REJECT_RATE_H

#include <stdbool.h>
#include <stdint.h>

#define REJECT_RATE_PARTS 4

/**
 * struct reject_rate - counts of the last parts of a second
 * @ended: requests that ended, by part
 * @rejected: those of them that were rejected
 * @part: number of the newest part since the clock's start
 */
struct reject_rate {
    unsigned ended[REJECT_RATE_PARTS];
    unsigned rejected[REJECT_RATE_PARTS];
    uint64_t part;
};

/** reject_rate_record() - a request has ended */
void
reject_rate_record(struct reject_rate *reject_rate, bool rejected,
                   uint64_t now_us);

/** reject_rate_per_mille() - rejected ones in 1,000 */
unsigned
reject_rate_per_mille(const struct reject_rate *reject_rate, uint64_t now_us);

#endif
