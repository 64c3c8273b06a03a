#include "balancer/readiness.h"

static const char *const readiness_texts[] = {
    [READINESS_READY] = "ready\n",
    [READINESS_STOPPING] = "stopping\n",
    [READINESS_NO_CONFIG] = "no configuration yet\n",
    [READINESS_NO_VIEW] = "not a member of the cell yet\n",
    [READINESS_WAITING_FOR_PEERS] = "no other member seen yet\n",
    [READINESS_ISOLATED] = "cut off from all other members\n",
};

enum readiness
readiness_evaluate(const struct readiness_input *input,
                   const struct view *view)
{
    if (input->stopping)
        return READINESS_STOPPING;
    if (view == NULL || view_find(view, input->self) == NULL)
        return READINESS_NO_VIEW;
    if (!input->built)
        return READINESS_NO_CONFIG;
    if (!input->has_seeds || readiness_has_live_peers(view, input->self))
        return READINESS_READY;
    if (input->seen_peers)
        return READINESS_ISOLATED;
    return input->age_us < READINESS_PEER_WAIT_US ? READINESS_WAITING_FOR_PEERS
                                                  : READINESS_READY;
}

bool
readiness_has_live_peers(const struct view *view, uint64_t self)
{
    for (size_t i = 0; i < view->count; i++)
        if (view->members[i].id != self &&
            view->members[i].health != MEMBER_DEAD)
            return true;
    return false;
}

const char *
readiness_text(enum readiness readiness)
{
    return readiness_texts[readiness];
}
