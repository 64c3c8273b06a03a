/**
 * DOC: flow_private - the table that the files of the flow core share
 */
#ifndef SWIFTARCH_FLOW_FLOW_PRIVATE_H
#define SWIFTARCH_FLOW_FLOW_PRIVATE_H

#include "flow/entries.h"
#include "flow/members.h"
#include "flow/pins.h"
#include "flow/registrar.h"

/**
 * struct flow_table - see flow.h
 * @self: own member id
 * @service: service served, 0 for none
 * @accept: whether new flows are taken
 * @start_delay_until_us: until when older agents are preferred for new flows
 * @continuation_tokens: continuations that may be started now
 * @continuation_tokens_us: when @continuation_tokens was last filled
 * @now_us: latest time seen, for calls that tell none
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
