#include "balancer/readiness.h"

static const char *const texts[] = {
    [READINESS_READY] = "ready\n",
    [READINESS_STOPPING] = "stopping\n",
    [READINESS_NO_CONFIG] = "no configuration in force\n",
    [READINESS_NO_VIEW] = "not a member of the cell yet\n",
    [READINESS_ALONE] = "no other member seen yet\n",
    [READINESS_CUT_OFF] = "cut off from all other members\n",
};

enum readiness
readiness_judge(const struct readiness_input *input, const struct view *view)
{
    if (input->stopping)
        return READINESS_STOPPING;
    if (view == NULL || view_find(view, input->self) == NULL)
        return READINESS_NO_VIEW;
    if (!input->built)
        return READINESS_NO_CONFIG;
    if (!input->has_seeds || readiness_sees_others(view, input->self))
        return READINESS_READY;
    if (input->met_others)
        return READINESS_CUT_OFF;
    return input->age_us < READINESS_ALONE_US ? READINESS_ALONE
                                              : READINESS_READY;
}

bool
readiness_sees_others(const struct view *view, uint64_t self)
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
    return texts[readiness];
}
