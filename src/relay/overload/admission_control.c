#include "relay/overload/admission_control.h"

#include <string.h>

#include <glib.h>

/* Refusals end when the time until an answer is the budget divided by this. */
#define END_DIVISOR 2

static struct admission_control_service *
service_of(struct admission_control *control, uint32_t service)
{
    struct admission_control_service *oldest = &control->services[0];

    for (unsigned i = 0; i < ADMISSION_CONTROL_SERVICES_MAX; i++) {
        struct admission_control_service *item = &control->services[i];

        if (item->service == service) {
            return item;
        }
        if (item->seen_us < oldest->seen_us) {
            oldest = item;
        }
    }
    memset(oldest, 0, sizeof(*oldest));
    oldest->service = service;
    return oldest;
}

static bool
is_recent(const struct admission_control_class *class, uint64_t now_us)
{
    return class->seen_us != 0 &&
           now_us - class->seen_us <= ADMISSION_CONTROL_CLASS_AGE_US;
}

static struct admission_control_class *
class_of(struct admission_control_service *service, uint8_t priority,
         uint64_t now_us)
{
    struct admission_control_class *oldest = &service->classes[0];

    for (unsigned i = 0; i < ADMISSION_CONTROL_CLASSES_MAX; i++) {
        struct admission_control_class *class = &service->classes[i];

        if (class->priority == priority && class->seen_us != 0) {
            oldest = class;
            break;
        }
        if (class->seen_us < oldest->seen_us) {
            oldest = class;
        }
    }
    if (oldest->priority != priority || !is_recent(oldest, now_us)) {
        *oldest = (struct admission_control_class){.priority = priority};
    }
    return oldest;
}

/* Whether all lower priorities have been refused for long enough. */
static bool
lower_are_refused(const struct admission_control_service *service,
                  uint8_t priority, uint64_t now_us)
{
    for (unsigned i = 0; i < ADMISSION_CONTROL_CLASSES_MAX; i++) {
        const struct admission_control_class *class = &service->classes[i];

        if (class->priority > priority && is_recent(class, now_us) &&
            (!class->refusing ||
             now_us - class->since_us < ADMISSION_CONTROL_STEP_US)) {
            return false;
        }
    }
    return true;
}

static bool
is_refused(const struct admission_control_service *service,
           const struct admission_control_class *class,
           const struct pressure *pressure, uint64_t now_us)
{
    unsigned limit_ms = class->budget_ms;

    if (class->refusing) {
        limit_ms /= END_DIVISOR;
    }
    return pressure->answer_ms > limit_ms &&
           lower_are_refused(service, class->priority, now_us);
}

/* Whether a retry goes before the first tries that are refused. */
static bool
goes_first(const struct admission_control_service *service,
           const struct admission_control_flow *flow,
           const struct pressure *pressure, uint64_t now_us)
{
    return flow->retry_ms > 0 && flow->retry_ms < flow->budget_ms &&
           pressure->answer_ms <= flow->budget_ms - flow->retry_ms &&
           admission_control_threshold(service, now_us) >= flow->priority;
}

/* Ends the refusals of priorities above one that is admitted. */
static void
admit_above(struct admission_control_service *service, uint8_t priority,
            uint64_t now_us)
{
    for (unsigned i = 0; i < ADMISSION_CONTROL_CLASSES_MAX; i++) {
        struct admission_control_class *class = &service->classes[i];

        if (class->priority <= priority && class->refusing) {
            class->refusing = false;
            class->since_us = now_us;
            service->changes++;
        }
    }
}

void
admission_control_init(struct admission_control *control, uint64_t now_us)
{
    memset(control, 0, sizeof(*control));
    control->last_us = now_us;
    control->frozen_us = now_us;
}

void
admission_control_tick(struct admission_control *control, uint64_t now_us)
{
    if (now_us - control->last_us > ADMISSION_CONTROL_FROZEN_US) {
        control->frozen_us = now_us;
    }
    control->last_us = now_us;
}

bool
admission_control_believes(const struct admission_control *control,
                           const struct pressure *pressure, uint64_t now_us)
{
    return now_us - control->frozen_us >= PRESSURE_MAX_AGE_US &&
           pressure_is_full(pressure);
}

enum admission_control_verdict
admission_control_decide(struct admission_control *control,
                         const struct admission_control_flow *flow,
                         const struct pressure *pressure, uint64_t now_us)
{
    struct admission_control_service *service =
        service_of(control, flow->service);
    struct admission_control_class *class =
        class_of(service, flow->priority, now_us);

    service->seen_us = now_us;
    service->pressure = *pressure;
    class->seen_us = now_us;
    class->budget_ms = flow->budget_ms;
    if (!admission_control_believes(control, pressure, now_us) ||
        !is_refused(service, class, pressure, now_us)) {
        admit_above(service, flow->priority, now_us);
        return ADMISSION_CONTROL_ADMIT;
    }
    if (goes_first(service, flow, pressure, now_us)) {
        /* More urgent flows can't be refused soon after. */
        class->since_us = now_us;
        return ADMISSION_CONTROL_ADMIT;
    }
    if (!class->refusing) {
        class->refusing = true;
        class->since_us = now_us;
        service->changes++;
    }
    return ADMISSION_CONTROL_REFUSE;
}

const struct admission_control_service *
admission_control_find(const struct admission_control *control,
                       uint32_t service)
{
    for (unsigned i = 0; i < ADMISSION_CONTROL_SERVICES_MAX; i++) {
        if (control->services[i].service == service) {
            return &control->services[i];
        }
    }
    return NULL;
}

bool
admission_control_is_urgent(const struct admission_control *control,
                            uint32_t service, uint8_t priority,
                            uint64_t now_us)
{
    const struct admission_control_service *item =
        admission_control_find(control, service);

    for (unsigned i = 0; item != NULL && i < ADMISSION_CONTROL_CLASSES_MAX;
         i++) {
        if (item->classes[i].priority > priority &&
            is_recent(&item->classes[i], now_us)) {
            return true;
        }
    }
    return false;
}

unsigned
admission_control_threshold(const struct admission_control_service *service,
                            uint64_t now_us)
{
    unsigned threshold = UINT8_MAX + 1;

    for (unsigned i = 0; i < ADMISSION_CONTROL_CLASSES_MAX; i++) {
        const struct admission_control_class *class = &service->classes[i];

        if (class->refusing && is_recent(class, now_us)) {
            threshold = MIN(threshold, class->priority);
        }
    }
    return threshold;
}
