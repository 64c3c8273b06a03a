#include "relay/admission/admission_private.h"

#include "base/clock.h"

/* A heartbeat may be this old when it arrives, as its sender gives up then. A
 * flow is certain to be of the incarnation that sent it only if it was open
 * before that. */
#define HEARTBEAT_DELAY_US (1 * USEC_PER_SEC)

static bool
is_recordable(const struct admission *admission, uint32_t handle)
{
    const struct admission_flow *flow = &admission->flows[handle];

    return flow->state == ADMISSION_FLOW_ESTABLISHED && flow->proven &&
           !flow->closed && flow->incarnation == admission->incarnation &&
           flow->endpoint_seen_us + HEARTBEAT_DELAY_US <=
               admission->endpoint.heard_us;
}

bool
admission_next_open_flow(const struct admission *admission, uint32_t *at,
                         struct relay_flow *flow, uint32_t *seq)
{
    if (admission->endpoint.incarnation_count == 0 ||
        admission->endpoint.state == ENDPOINT_GONE ||
        admission->endpoint.down) {
        return false;
    }
    while (*at < admission->table.unused) {
        uint32_t handle = (*at)++;

        if (is_recordable(admission, handle)) {
            *flow = flow_index_flow(&admission->table, handle);
            *seq = admission->flows[handle].reply_end;
            return true;
        }
    }
    return false;
}

bool
admission_reset_ended(struct admission *admission, struct relay_flow flow,
                      uint32_t seq)
{
    if (flow_index_find(&admission->table, flow) != FLOW_INDEX_NONE) {
        return false;
    }
    admission->out->ops->reset(admission->out, flow, seq);
    return true;
}
