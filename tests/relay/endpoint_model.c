#include "relay/endpoint_model.h"

#include <string.h>

#include <glib.h>

static void
run_queued(struct endpoint_model *model, uint64_t now_us)
{
    for (unsigned i = 0; i < MIN(model->slots, model->count); i++) {
        if (model->end_us[i] == 0) {
            model->end_us[i] = now_us + model->service_us;
        }
    }
}

bool
endpoint_model_take(struct endpoint_model *model, uint32_t handle,
                    uint64_t now_us)
{
    if (model->count == model->takes) {
        return false;
    }
    model->handles[model->count] = handle;
    model->end_us[model->count] = 0;
    model->count++;
    run_queued(model, now_us);
    return true;
}

static unsigned
first_to_end(const struct endpoint_model *model)
{
    unsigned first = 0;

    for (unsigned i = 1; i < MIN(model->slots, model->count); i++) {
        if (model->end_us[i] < model->end_us[first]) {
            first = i;
        }
    }
    return first;
}

uint64_t
endpoint_model_next_us(const struct endpoint_model *model)
{
    return model->count > 0 ? model->end_us[first_to_end(model)] : UINT64_MAX;
}

uint32_t
endpoint_model_end(struct endpoint_model *model, uint64_t now_us)
{
    unsigned at = first_to_end(model);
    uint32_t handle = model->handles[at];

    model->count--;
    memmove(&model->handles[at], &model->handles[at + 1],
            (model->count - at) * sizeof(model->handles[0]));
    memmove(&model->end_us[at], &model->end_us[at + 1],
            (model->count - at) * sizeof(model->end_us[0]));
    run_queued(model, now_us);
    return handle;
}
