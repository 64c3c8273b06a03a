/**
 * DOC: retry_memory - which new flows are retries of refused ones
 *
 * A refused caller opens another flow soon. Its address tells that it was
 * refused; each refusal stands for one retry, so that an address that many
 * callers share gets no more retries than it had refusals. The table has a
 * fixed size; a full bucket forgets its oldest caller.
 */
#ifndef SWIFTARCH_RELAY_OVERLOAD_RETRY_MEMORY_H
#define SWIFTARCH_RELAY_OVERLOAD_RETRY_MEMORY_H

#include <stdint.h>

/* Buckets of the table, and callers in each. */
#define RETRY_MEMORY_BUCKETS 256
#define RETRY_MEMORY_WAYS 4

/**
 * struct retry_memory_caller - refusals of a caller
 * @caller: its address
 * @service: the service
 * @refusals: refusals that no retry has followed yet
 * @first_us: when the first of them was, 0 for an unused entry
 */
struct retry_memory_caller {
    uint32_t caller;
    uint32_t service;
    unsigned refusals;
    uint64_t first_us;
};

/**
 * struct retry_memory - state of a balancer
 * @seed: of the table's hash
 * @callers: the table
 */
struct retry_memory {
    uint64_t seed;
    struct retry_memory_caller callers[RETRY_MEMORY_BUCKETS]
                                      [RETRY_MEMORY_WAYS];
};

/** retry_memory_init() - no refusals; @seed should differ between processes */
void
retry_memory_init(struct retry_memory *memory, uint64_t seed);

/**
 * retry_memory_refused() - a caller's flow was refused
 * @budget_ms: time that its caller has, its retries included
 */
void
retry_memory_refused(struct retry_memory *memory, uint32_t service,
                     uint32_t caller, unsigned budget_ms, uint64_t now_us);

/**
 * retry_memory_take() - whether a new flow is a retry, which takes one refusal
 *
 * Return: milliseconds since the caller's first refusal, at least 1; 0 for a
 * first try.
 */
unsigned
retry_memory_take(struct retry_memory *memory, uint32_t service,
                  uint32_t caller, unsigned budget_ms, uint64_t now_us);

#endif
