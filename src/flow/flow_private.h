/**
 * DOC: flow_private - definition of struct flow_table for src/flow
 */
#ifndef SWIFTARCH_FLOW_FLOW_PRIVATE_H
#define SWIFTARCH_FLOW_FLOW_PRIVATE_H

#include "flow/entries.h"
#include "flow/members.h"
#include "flow/pins.h"
#include "flow/registrar.h"

/**
 * struct flow_table - an agent's flows and its view of the service's agents
 * @self: own member id
 * @service: service served, 0 for none
 * @accept: whether new flows are accepted
 * @start_delay_until_us: until when older agents are preferred for new flows
 * @continuation_tokens: list continuations allowed now (token bucket)
 * @continuation_tokens_us: last refill of @continuation_tokens
 * @now_us: time of the last flow_decide() or flow_tick()
 */
struct flow_table {
    uint64_t self;
    uint32_t service;
    bool accept;
    uint64_t start_delay_until_us;
    uint64_t continuation_tokens;
    uint64_t continuation_tokens_us;
    uint64_t now_us;
    struct entries entries;
    struct members members;
    struct pins pins;
    struct registrar registrar;
};

#endif
