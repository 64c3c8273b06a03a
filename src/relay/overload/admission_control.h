/**
 * DOC: admission_control - whether a balancer admits a new flow of a service
 *
 * While an agent may have room, every flow is admitted. When all are full, a
 * flow is refused if no agent would answer it within the time budget of its
 * request. Refusals of a priority end when an answer takes half of the budget,
 * so that they don't alternate with each report.
 *
 * The reported wait is that of the lowest priority. So a priority is refused
 * only after all lower ones have been refused for long enough to show in the
 * reports, and a priority with a longer time budget than a more urgent one's
 * holds that one's refusal up.
 *
 * Retries go before first tries: while a priority is refused, its retries are
 * admitted if they can still be answered in time.
 *
 * A balancer that was frozen admits until reports are recent again.
 */
#ifndef SWIFTARCH_RELAY_OVERLOAD_ADMISSION_CONTROL_H
#define SWIFTARCH_RELAY_OVERLOAD_ADMISSION_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "relay/overload/pressure.h"

/* Services and, for each, priorities with a state; the least recently used one
 * is replaced. */
#define ADMISSION_CONTROL_SERVICES_MAX 32
#define ADMISSION_CONTROL_CLASSES_MAX 8

/* A priority that had no flow for this time isn't considered. */
#define ADMISSION_CONTROL_CLASS_AGE_US (2 * USEC_PER_SEC)

/* How long lower priorities must have been refused: the agents report without
 * their flows by then. */
#define ADMISSION_CONTROL_STEP_US (200 * USEC_PER_MSEC)

/* Gap between calls after which the balancer was frozen: frames that wait in
 * its socket look newer than they are. */
#define ADMISSION_CONTROL_FROZEN_US (500 * USEC_PER_MSEC)

/** enum admission_control_verdict - what to do with a flow */
enum admission_control_verdict {
    ADMISSION_CONTROL_ADMIT,
    ADMISSION_CONTROL_REFUSE, /* it can't be answered within its time budget */
};

/**
 * struct admission_control_flow - a new flow
 * @service: hash_service() of its service
 * @priority: 0 is most urgent
 * @budget_ms: how long its request may take
 * @retry_ms: time since its caller's first try, 0 for a first try
 */
struct admission_control_flow {
    uint32_t service;
    uint8_t priority;
    unsigned budget_ms;
    unsigned retry_ms;
};

/**
 * struct admission_control_class - flows of one priority of a service
 * @priority: the priority
 * @budget_ms: time budget of the last one
 * @seen_us: when it came, 0 for an unused entry
 * @refusing: flows are refused
 * @since_us: when @refusing last changed
 */
struct admission_control_class {
    uint8_t priority;
    unsigned budget_ms;
    uint64_t seen_us;
    bool refusing;
    uint64_t since_us;
};

/**
 * struct admission_control_service - state of a service
 * @service: the service, 0 for an unused entry
 * @seen_us: when its last flow came
 * @classes: its priorities, unordered
 * @pressure: at the last flow
 * @changes: changes of @refusing of any class
 */
struct admission_control_service {
    uint32_t service;
    uint64_t seen_us;
    struct admission_control_class classes[ADMISSION_CONTROL_CLASSES_MAX];
    struct pressure pressure;
    uint64_t changes;
};

/**
 * struct admission_control - state of a balancer
 * @services: services with new flows
 * @last_us: when admission_control_tick() was last called, 0 for never
 * @frozen_us: when the balancer last was found to have been frozen
 */
struct admission_control {
    struct admission_control_service services[ADMISSION_CONTROL_SERVICES_MAX];
    uint64_t last_us;
    uint64_t frozen_us;
};

/** admission_control_init() - a balancer that has just started */
void
admission_control_init(struct admission_control *control, uint64_t now_us);

/** admission_control_tick() - the balancer runs; call at each flow, frame and
 * timer */
void
admission_control_tick(struct admission_control *control, uint64_t now_us);

/** admission_control_decide() - decide on a flow, with the pressure on the
 * agents that may take it */
enum admission_control_verdict
admission_control_decide(struct admission_control *control,
                         const struct admission_control_flow *flow,
                         const struct pressure *pressure, uint64_t now_us);

/** admission_control_believes() - whether @pressure shows that all agents are
 * full, and this balancer may rely on it */
bool
admission_control_believes(const struct admission_control *control,
                           const struct pressure *pressure, uint64_t now_us);

/** admission_control_is_urgent() - whether lower priorities of a service had
 * flows lately */
bool
admission_control_is_urgent(const struct admission_control *control,
                            uint32_t service, uint8_t priority,
                            uint64_t now_us);

/** admission_control_find() - state of a service, or NULL */
const struct admission_control_service *
admission_control_find(const struct admission_control *control,
                       uint32_t service);

/** admission_control_threshold() - most urgent priority that is refused, or
 * UINT8_MAX + 1 if none is */
unsigned
admission_control_threshold(const struct admission_control_service *service,
                            uint64_t now_us);

#endif
