/**
 * DOC: overload - a balancer's decision on new flows of services under
 * pressure
 *
 * Joins admission_control (what can't be answered in time is refused) and
 * caller_shares (who is refused while the room doesn't do for all).
 */
#ifndef SWIFTARCH_RELAY_OVERLOAD_OVERLOAD_H
#define SWIFTARCH_RELAY_OVERLOAD_OVERLOAD_H

#include <stdint.h>

#include "relay/overload/admission_control.h"
#include "relay/overload/caller_shares.h"
#include "relay/overload/pressure.h"

/** enum overload_verdict - what to do with a flow */
enum overload_verdict {
    OVERLOAD_ADMIT,
    OVERLOAD_REFUSE_WAIT,  /* it can't be answered within its time budget */
    OVERLOAD_REFUSE_SHARE, /* its caller has its share */
    OVERLOAD_VERDICT_COUNT,
};

/**
 * struct overload_flow - a new flow
 * @control: service, priority and time budget
 * @target_ms: response target of its request
 * @caller: address of its caller
 */
struct overload_flow {
    struct admission_control_flow control;
    unsigned target_ms;
    uint32_t caller;
};

/**
 * struct overload - state of a balancer
 * @control: refusals by expected wait
 * @shares: refusals by caller
 * @verdicts: decisions by verdict
 */
struct overload {
    struct admission_control control;
    struct caller_shares shares;
    uint64_t verdicts[OVERLOAD_VERDICT_COUNT];
};

/** overload_init() - a balancer that has just started; @seed as in
 * caller_shares_init() */
void
overload_init(struct overload *overload, uint64_t seed, unsigned prefix_bits,
              uint64_t now_us);

/** overload_decide() - decide on a flow, with the pressure on the agents that
 * may take it */
enum overload_verdict
overload_decide(struct overload *overload, const struct overload_flow *flow,
                const struct pressure *pressure, uint64_t now_us);

#endif
