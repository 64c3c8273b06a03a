/**
 * DOC: hash - 64-bit hashes that are the same in every process and build
 */
#ifndef SWIFTARCH_BASE_HASH_H
#define SWIFTARCH_BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

/** hash_bytes() - XXH64 of @len bytes with @seed */
uint64_t
hash_bytes(const void *data, size_t len, uint64_t seed);

/** hash_pair() - hash of two 64-bit values, for rendezvous scores */
uint64_t
hash_pair(uint64_t a, uint64_t b);

/** hash_name() - member id of a process name; never 0 */
uint64_t
hash_name(const char *name);

/** hash_service() - service id of a service name; never 0 */
uint32_t
hash_service(const char *name);

#endif
