#include "relay/door/door_private.h"

#include <string.h>

bool
door_explain(const struct door *door, struct relay_flow flow,
             struct door_explanation *told)
{
    static const char *const names[] = {
        [DOOR_OPENING] = "opening", [DOOR_HERE] = "here",
        [DOOR_ASKED] = "asked",     [DOOR_ELSEWHERE] = "elsewhere",
        [DOOR_HELD] = "held",
    };
    uint32_t handle = flow_index_find(&door->table, flow);
    const struct door_flow *known;

    memset(told, 0, sizeof(*told));
    if (handle == FLOW_INDEX_NONE) {
        return false;
    }
    known = &door->flows[handle];
    told->state = known->queued ? "queued" : names[known->state];
    told->confirmed = known->confirmed;
    told->proven = known->proven;
    told->in_progress = known->busy_at >= 0;
    told->origin = known->origin;
    told->target = known->target;
    return true;
}
