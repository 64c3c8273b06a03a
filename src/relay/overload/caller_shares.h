/**
 * DOC: caller_shares - fair shares of a service's room between its callers
 *
 * Counts the new flows of the callers that open most, by address prefix, in a
 * space-saving table of fixed size. While a service is under pressure, a level
 * falls until the callers that open more flows than the level leave room for
 * the others; each of them is admitted up to the level. Callers below the
 * level are never refused: the shares are max-min fair. The level stays above
 * what most callers open, as refusals among equals only cost them tries.
 * Without pressure it rises until no caller is above it.
 *
 * A caller's more urgent flows are counted by themselves, so that they aren't
 * refused while its lower ones are admitted.
 */
#ifndef SWIFTARCH_RELAY_OVERLOAD_CALLER_SHARES_H
#define SWIFTARCH_RELAY_OVERLOAD_CALLER_SHARES_H

#include <stdbool.h>
#include <stdint.h>

/* Buckets of the table, and callers in each. */
#define CALLER_SHARES_BUCKETS 256
#define CALLER_SHARES_WAYS 8

/* Services with a level; the least recently used one is replaced. */
#define CALLER_SHARES_SERVICES_MAX 32

#define CALLER_SHARES_PREFIX_MAX 32

/**
 * struct caller_share - a caller's new flows of one service
 *
 * Counts halve each second.
 *
 * @service: the service, 0 for an unused entry
 * @prefix: the caller's address prefix
 * @offered: upper bound of its flows
 * @error: by how much @offered may be too high
 * @admitted: admitted flows under pressure
 * @urgent: of these, flows above the lowest priority
 */
struct caller_share {
    uint32_t service;
    uint32_t prefix;
    float offered;
    float error;
    float admitted;
    float urgent;
};

/**
 * struct caller_level - level of a service
 * @service: the service, 0 for an unused entry
 * @level: flows that a caller is admitted, 0 for no limit
 * @pressed: it was under pressure since @due_us was set
 * @due_us: when the level moves next
 */
struct caller_level {
    uint32_t service;
    float level;
    bool pressed;
    uint64_t due_us;
};

/**
 * struct caller_shares - state of a balancer
 * @seed: of the table's hash
 * @mask: of a caller's address
 * @decay_us: when counts decay next
 * @levels: levels of services
 * @callers: the table
 */
struct caller_shares {
    uint64_t seed;
    uint32_t mask;
    uint64_t decay_us;
    struct caller_level levels[CALLER_SHARES_SERVICES_MAX];
    struct caller_share callers[CALLER_SHARES_BUCKETS][CALLER_SHARES_WAYS];
};

/** caller_shares_init() - no callers; @seed should differ between processes */
void
caller_shares_init(struct caller_shares *shares, uint64_t seed,
                   unsigned prefix_bits, uint64_t now_us);

/**
 * caller_shares_allow() - count a new flow, and decide on it
 * @ip: its caller
 * @urgent: lower priorities of the service have flows, too
 * @pressed: its requests come late or aren't taken: the level falls
 * @full: none of its agents has room: the level applies
 *
 * Return: false if its caller has its share already.
 */
bool
caller_shares_allow(struct caller_shares *shares, uint32_t service,
                    uint32_t ip, bool urgent, bool pressed, bool full,
                    uint64_t now_us);

/** caller_shares_level() - flows a second that each caller of a service gets,
 * 0 for no limit */
double
caller_shares_level(const struct caller_shares *shares, uint32_t service,
                    uint64_t now_us);

/** caller_share_per_s() - flows a second that stand behind a count */
double
caller_share_per_s(double count);

/** caller_shares_heaviest() - fills @heaviest with the callers of a service
 * that open most flows, heaviest first; returns their number */
unsigned
caller_shares_heaviest(const struct caller_shares *shares, uint32_t service,
                       const struct caller_share **heaviest, unsigned max);

#endif
