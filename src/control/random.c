#include "control/random.h"

uint64_t
random_next(struct random *random)
{
    uint64_t z = random->state += UINT64_C(0x9e3779b97f4a7c15);

    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

uint64_t
random_below(struct random *random, uint64_t bound)
{
    return bound == 0 ? 0 : random_next(random) % bound;
}

uint64_t
random_between(struct random *random, uint64_t low, uint64_t high)
{
    return high <= low ? low : low + random_below(random, high - low + 1);
}
