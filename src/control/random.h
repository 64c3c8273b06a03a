/**
 * DOC: random - seeded random numbers of the control cores (splitmix64)
 */
#ifndef SWIFTARCH_CONTROL_RANDOM_H
#define SWIFTARCH_CONTROL_RANDOM_H

#include <stdint.h>

/** struct random - state of a generator */
struct random {
    uint64_t state;
};

/** random_next() - 64 random bits */
uint64_t
random_next(struct random *random);

/** random_below() - number in 0..@bound - 1, 0 if @bound is 0 */
uint64_t
random_below(struct random *random, uint64_t bound);

/** random_between() - number in @low..@high, @low if @high is below it */
uint64_t
random_between(struct random *random, uint64_t low, uint64_t high);

#endif
