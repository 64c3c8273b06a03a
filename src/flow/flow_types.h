/**
 * DOC: flow_types - constants and messages that the parts of flow share
 */
#ifndef SWIFTARCH_FLOW_FLOW_TYPES_H
#define SWIFTARCH_FLOW_FLOW_TYPES_H

#include <stdint.h>

#include "base/clock.h"
#include "packet/rank.h"

#define FLOW_CANDIDATES 3
#define FLOW_PIN_TTL_US (30 * USEC_PER_SEC)
#define FLOW_PIN_REFRESH_US (5 * USEC_PER_SEC)
#define FLOW_HALF_OPEN_TTL_US (10 * USEC_PER_SEC)
#define FLOW_DATAGRAM_TTL_US (60 * USEC_PER_SEC)

/* After its start an agent opens no flow for so long, if older ones are
 * there: by then every process has heard of it. */
#define FLOW_START_DELAY_US (2 * USEC_PER_SEC)

/* So long after a join pins may still be on their way. */
#define FLOW_JOIN_GRACE_US (10 * USEC_PER_SEC)

/* A list that was exhausted may be continued by so many further ones. */
#define FLOW_CONTINUATIONS_MAX 3

/* Continuations that one agent starts, a second and at once. */
#define FLOW_CONTINUATIONS_PER_S 1000

/* Agents' own flags in struct gue, all within GUE_AGENT_FLAGS */
#define FLOW_GUE_OPEN_NOW                                                     \
    0x04 /* no owner was found: open this datagram flow */
#define FLOW_GUE_SUSPECTS_ONLY                                                \
    0x08 /* all that answer were asked, suspects are left                     \
          */
#define FLOW_GUE_CONTINUATION 0x10 /* unit of the count of continued lists */
#define FLOW_GUE_CONTINUATION_MASK 0x30

/**
 * struct flow_pin - "member owns flows of this bucket" between agents
 * @bucket: rank bucket
 * @owner: member id of the owner
 */
struct flow_pin {
    uint32_t bucket;
    uint64_t owner;
};

#endif
