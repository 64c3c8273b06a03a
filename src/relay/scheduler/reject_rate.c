#include "relay/scheduler/reject_rate.h"

#include "base/clock.h"

#define PART_US (USEC_PER_SEC / REJECT_RATE_PARTS)

void
reject_rate_record(struct reject_rate *reject_rate, bool rejected,
                   uint64_t now_us)
{
    uint64_t part = now_us / PART_US;
    unsigned at = (unsigned)(part % REJECT_RATE_PARTS);

    if (part >= reject_rate->part + REJECT_RATE_PARTS) {
        *reject_rate = (struct reject_rate){.part = part};
    }
    while (reject_rate->part < part) {
        unsigned next = (unsigned)(++reject_rate->part % REJECT_RATE_PARTS);

        reject_rate->ended[next] = 0;
        reject_rate->rejected[next] = 0;
    }
    reject_rate->ended[at]++;
    reject_rate->rejected[at] += rejected;
}

unsigned
reject_rate_per_mille(const struct reject_rate *reject_rate, uint64_t now_us)
{
    uint64_t part = now_us / PART_US;
    unsigned rejected = 0;
    unsigned ended = 0;

    for (unsigned i = 0; i < REJECT_RATE_PARTS; i++) {
        /* Part number of this count. */
        uint64_t of =
            reject_rate->part -
            (reject_rate->part + REJECT_RATE_PARTS - i) % REJECT_RATE_PARTS;

        if (of + REJECT_RATE_PARTS > part) {
            ended += reject_rate->ended[i];
            rejected += reject_rate->rejected[i];
        }
    }
    return ended > 0 ? rejected * 1000 / ended : 0;
}
