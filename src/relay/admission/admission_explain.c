#include "relay/admission/admission_private.h"

#include <string.h>

static void
explain_held(const struct admission *admission, uint32_t handle,
             uint64_t now_us, struct admission_explanation *explanation)
{
    const struct admission_flow *flow = &admission->flows[handle];

    explanation->held = true;
    explanation->priority = flow->priority;
    explanation->before =
        scheduler_before(&admission->scheduler, handle, now_us);
    explanation->wait_us = now_us - flow->held_us;
    explanation->left_us =
        flow->target_us > now_us ? flow->target_us - now_us : 0;
}

bool
admission_explain(const struct admission *admission, struct relay_flow flow,
                  uint64_t now_us, struct admission_explanation *explanation)
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
    explanation->state =
        known->queued || known->held ? "queued" : names[known->state];
    explanation->confirmed = known->confirmed;
    explanation->proven = known->proven;
    explanation->in_progress = known->busy_index >= 0;
    if (known->held) {
        explain_held(admission, handle, now_us, explanation);
    }
    explanation->origin = known->origin;
    explanation->target = known->target;
    return true;
}
