/**
 * DOC: overload - a balancer's decision on new flows of services under
 * pressure
 *
 * Joins admission_control (what can't be answered in time is refused),
 * caller_shares (who is refused while the room doesn't do for all) and
 * retry_memory (whose flow is a retry).
 */
#ifndef SWIFTARCH_RELAY_OVERLOAD_OVERLOAD_H
#define SWIFTARCH_RELAY_OVERLOAD_OVERLOAD_H

#include <stdint.h>

#include "relay/overload/admission_control.h"
#include "relay/overload/caller_shares.h"
#include "relay/overload/pressure.h"
#include "relay/overload/retry_memory.h"

/** enum overload_verdict - what to do with a flow */
enum overload_verdict {
    OVERLOAD_ADMIT,
    OVERLOAD_REFUSE_WAIT,  /* it can't be answered within its time budget */
    OVERLOAD_REFUSE_SHARE, /* its caller has its share */
    OVERLOAD_VERDICT_COUNT,
};

/**
 * struct overload_flow - a new flow
 * @control: service, priority and time budget; overload_decide() finds out
 *     whether it is a retry
 * @target_ms: response target of its request
 * @caller: address of its caller
 */
struct overload_flow {
    struct admission_control_flow control;
    unsigned target_ms;
    uint32_t caller;
};

/**
 * struct overload_service - what a service's flows met
 * @service: the service, 0 for an unused entry
 * @seen_us: when its last flow came
 * @verdicts: decisions by verdict
 * @second_us: when the current second began
 * @offered: flows in the current second
 * @offered_per_s: flows in the last full second
 * @pressure: at the last flow
 * @reported_threshold: admission_control_threshold() at the last
 *     overload_take_change()
 * @reported_limited: callers had a limit then
 */
struct overload_service {
    uint32_t service;
    uint64_t seen_us;
    uint64_t verdicts[OVERLOAD_VERDICT_COUNT];
    uint64_t second_us;
    unsigned offered;
    unsigned offered_per_s;
    struct pressure pressure;
    unsigned reported_threshold;
    bool reported_limited;
};

/**
 * struct overload - state of a balancer
 * @control: refusals by expected wait
 * @shares: refusals by caller
 * @retries: callers that were refused
 * @services: services with new flows
 * @verdicts: decisions by verdict
 * @last: service of the last flow
 */
struct overload {
    struct admission_control control;
    struct caller_shares shares;
    struct retry_memory retries;
    struct overload_service services[ADMISSION_CONTROL_SERVICES_MAX];
    uint64_t verdicts[OVERLOAD_VERDICT_COUNT];
    const struct overload_service *last;
};

/**
 * struct overload_change - a change of who is refused
 * @service: of this service
 * @threshold: most urgent priority that is refused, UINT8_MAX + 1 for none
 * @level_per_s: flows a second that each caller gets, 0 for no limit
 * @pressure: at the service's last flow
 */
struct overload_change {
    uint32_t service;
    unsigned threshold;
    double level_per_s;
    struct pressure pressure;
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

/** overload_take_change() - a change since the last call; false if there is
 * none */
bool
overload_take_change(struct overload *overload, uint64_t now_us,
                     struct overload_change *change);

/** overload_offered_per_s() - flows of a service in the last second */
unsigned
overload_offered_per_s(const struct overload_service *service,
                       uint64_t now_us);

#endif
