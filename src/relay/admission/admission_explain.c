#include "relay/admission/admission_private.h"

#include <string.h>

bool
admission_explain(const struct admission *admission, struct relay_flow flow,
                  struct admission_explanation *explanation)
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

    memset(explanation, 0, sizeof(*explanation));
    if (handle == FLOW_INDEX_NONE) {
        return false;
    }
    known = &admission->flows[handle];
    explanation->state = known->queued ? "queued" : names[known->state];
    explanation->confirmed = known->confirmed;
    explanation->proven = known->proven;
    explanation->in_progress = known->busy_index >= 0;
    explanation->origin = known->origin;
    explanation->target = known->target;
    return true;
}
