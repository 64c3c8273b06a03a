#include "balancer/readiness.h"

static const char *const texts[] = {
    [READINESS_READY] = "ready\n",
    [READINESS_STOPPING] = "stopping\n",
    [READINESS_NO_CONFIG] = "no configuration in force\n",
    [READINESS_NO_VIEW] = "not a member of the cell yet\n",
    [READINESS_ALONE] = "no other member seen yet\n",
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
    if (input->has_seeds && view->count < 2 &&
        input->age_us < READINESS_ALONE_US)
        return READINESS_ALONE;
    return READINESS_READY;
}

const char *
readiness_text(enum readiness readiness)
{
    return texts[readiness];
}
