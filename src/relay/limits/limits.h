/**
 * DOC: limits - decides by the operators' limits whether a new flow is opened
 *
 * Holds the policy in force and what each limit has let through. A flow is
 * refused if any limit that applies to it refuses it, and is then counted
 * against none. A limit that a later policy holds under the same name for the
 * same target keeps what was counted.
 *
 * The module reads no clock: callers pass the time, and how Unix time relates
 * to it.
 */
#ifndef SWIFTARCH_RELAY_LIMITS_LIMITS_H
#define SWIFTARCH_RELAY_LIMITS_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/limits/limiter.h"
#include "relay/limits/limits_policy.h"

/** enum limits_reason - outcome of a decision */
enum limits_reason {
    LIMITS_ALLOWED,  /* no limit refuses it */
    LIMITS_RATE,     /* more new flows than the limit's rate */
    LIMITS_PRIORITY, /* its route's priority is below the limit's */
};

/**
 * struct limits_flow - what limits compare of a new flow
 * @caller: address of its caller
 * @service: hash_service() of its service
 * @route: name of its route
 * @priority: priority of its route
 */
struct limits_flow {
    uint32_t caller;
    uint32_t service;
    const char *route;
    unsigned priority;
};

/**
 * struct limits_decision - whether a flow is refused
 * @reason: LIMITS_ALLOWED, or why it is refused
 * @index: the first limit that refuses it
 */
struct limits_decision {
    enum limits_reason reason;
    unsigned index;
};

/**
 * struct limits_state - state of one limit
 * @limiter: rate and burst
 * @since_us: when this balancer took the limit over
 * @allowed: new flows that it applied to and that were opened
 * @refused: new flows that it refused
 */
struct limits_state {
    struct limiter limiter;
    uint64_t since_us;
    uint64_t allowed;
    uint64_t refused;
};

/**
 * struct limits - policy in force
 * @policy: the limits
 * @states: state of each limit
 * @epoch: the store's epoch in which the policy was read
 * @revision: the store's revision of the policy, 0 for none
 * @unix_us: Unix time at time 0 of the caller's clock
 */
struct limits {
    struct limits_policy policy;
    struct limits_state states[LIMITS_MAX];
    uint32_t epoch;
    uint64_t revision;
    int64_t unix_us;
};

/** limits_init() - no limits */
void
limits_init(struct limits *limits);

/** limits_set_time() - set the Unix time at @now_us; repeated, as the host's
 * Unix time may be corrected */
void
limits_set_time(struct limits *limits, int64_t unix_us, uint64_t now_us);

/**
 * limits_apply() - follow a policy
 * @epoch: the store's epoch, 0 if unknown
 * @revision: the store's revision of the policy or of its removal
 *
 * Return: false, without a change, unless the epoch is later or the revision
 * is higher in the same epoch.
 */
bool
limits_apply(struct limits *limits, const struct limits_policy *policy,
             uint32_t epoch, uint64_t revision, uint64_t now_us);

/** limits_in_force() - whether a limit's time has begun and hasn't ended */
bool
limits_in_force(const struct limits *limits, unsigned index, uint64_t now_us);

/** limits_applies() - whether a limit is in force and covers a flow */
bool
limits_applies(const struct limits *limits, unsigned index,
               const struct limits_flow *flow, uint64_t now_us);

/** limits_explain() - decide on a flow without counting it */
struct limits_decision
limits_explain(const struct limits *limits, const struct limits_flow *flow,
               uint64_t now_us);

/** limits_decide() - decide on a new flow and count it */
struct limits_decision
limits_decide(struct limits *limits, const struct limits_flow *flow,
              uint64_t now_us);

#endif
