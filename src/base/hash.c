#include "base/hash.h"

#include <string.h>
#include <xxhash.h>

/* Multipliers of splitmix64's finalizer; GOLDEN is 2^64 / golden ratio. */
#define MIX_1 UINT64_C(0xbf58476d1ce4e5b9)
#define MIX_2 UINT64_C(0x94d049bb133111eb)
#define GOLDEN UINT64_C(0x9e3779b97f4a7c15)

/* Seeds of member and service ids. */
#define SEED_NAME UINT64_C(0x6d656d626572)
#define SEED_SERVICE UINT64_C(0x73657276696365)

static uint64_t
rotate_left(uint64_t value, unsigned bits)
{
    return value << bits | value >> (64 - bits);
}

uint64_t
hash_bytes(const void *data, size_t len, uint64_t seed)
{
    return XXH64(data, len, seed);
}

uint64_t
hash_pair(uint64_t a, uint64_t b)
{
    uint64_t x = a ^ rotate_left(b * GOLDEN, 32);

    x = (x ^ x >> 30) * MIX_1;
    x = (x ^ x >> 27) * MIX_2;
    return x ^ x >> 31;
}

uint64_t
hash_name(const char *name)
{
    uint64_t id = XXH64(name, strlen(name), SEED_NAME);

    return id != 0 ? id : 1;
}

uint32_t
hash_service(const char *name)
{
    uint32_t id = (uint32_t)XXH64(name, strlen(name), SEED_SERVICE);

    return id != 0 ? id : 1;
}
