#include "relay/admission/admission_private.h"

#include <string.h>

bool
admission_explain(const struct admission *admission, struct relay_flow flow,
                  struct admission_explanation *told)
{
    static const char *const names[] = {
        [ADMISSION_FLOW_OPENING] = "opening",
        [ADMISSION_FLOW_ESTABLISHED] = "here",
        [ADMISSION_FLOW_OFFERED] = "asked",
        [ADMISSION_FLOW_REMOTE] = "elsewhere",
        [ADMISSION_FLOW_QUEUED] = "held",
    };
    uint32_t handle = flow_index_find(&admission->table, flow);
    const struct admission_flow *known;

    memset(told, 0, sizeof(*told));
    if (handle == FLOW_INDEX_NONE) {
        return false;
    }
    known = &admission->flows[handle];
    told->state = known->queued ? "queued" : names[known->state];
    told->confirmed = known->confirmed;
    told->proven = known->proven;
    told->in_progress = known->busy_at >= 0;
    told->origin = known->origin;
    told->target = known->target;
    return true;
}
