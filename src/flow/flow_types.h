/**
 * DOC: flow_types - constants and messages of the flow modules
 */
#ifndef SWIFTARCH_FLOW_FLOW_TYPES_H
#define SWIFTARCH_FLOW_FLOW_TYPES_H

#include <stdint.h>

#include "base/clock.h"
#include "packet/rank.h"

/* Members of a bucket, best ranked first, that receive its pins. */
#define FLOW_CANDIDATES 3
#define FLOW_PIN_TTL_US (30 * USEC_PER_SEC)
#define FLOW_PIN_REFRESH_US (5 * USEC_PER_SEC)
#define FLOW_HALF_OPEN_TTL_US (10 * USEC_PER_SEC)
#define FLOW_DATAGRAM_TTL_US (60 * USEC_PER_SEC)

/* Delay before a started agent opens flows while agents of an earlier
 * incarnation exist, so that all views include it by then. */
#define FLOW_START_DELAY_US (2 * USEC_PER_SEC)

/* Time after a join in which pins may still be missing. */
#define FLOW_JOIN_GRACE_US (10 * USEC_PER_SEC)

/* Maximum number of further hop lists after the first one is exhausted. */
#define FLOW_CONTINUATIONS_MAX 3

/* Rate and burst of the continuations that an agent starts. */
#define FLOW_CONTINUATIONS_PER_S 1000

/* Flags between agents in struct gue, all within GUE_AGENT_FLAGS. */
#define FLOW_GUE_OPEN_NOW 0x04 /* no owner found: open the datagram flow */
#define FLOW_GUE_SUSPECTS_ONLY 0x08 /* only suspected agents are left */
#define FLOW_GUE_CONTINUATION 0x10  /* unit of the number of continuations */
#define FLOW_GUE_CONTINUATION_MASK 0x30

/**
 * struct flow_pin - registers @owner as an owner of flows in @bucket
 * @bucket: rank bucket
 * @owner: member id of the owner
 */
struct flow_pin {
    uint32_t bucket;
    uint64_t owner;
};

#endif
