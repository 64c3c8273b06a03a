#include "relay/admission/admission_private.h"

#include <glib.h>

#include "base/clock.h"

/* Unit of frame_load.service_time. */
#define SERVICE_TIME_UNIT_US 100

/* Whether a flow's request in progress takes much longer than others. */
static bool
is_stuck(const struct admission *admission, const struct admission_flow *flow,
         uint64_t now_us)
{
    return flow->request_start_us != 0 &&
           capacity_is_stuck(&admission->capacity,
                             now_us - flow->request_start_us, flow->depth,
                             admission->endpoint.slots, now_us);
}

unsigned
admission_stuck(const struct admission *admission, uint64_t now_us)
{
    unsigned count = 0;

    for (unsigned i = 0; i < admission->busy_count; i++) {
        count += is_stuck(admission, &admission->flows[admission->busy[i]],
                          now_us);
    }
    return count;
}

bool
admission_is_hanging(const struct admission *admission, uint64_t now_us)
{
    return admission->scheduling &&
           2 * admission_stuck(admission, now_us) >= admission->endpoint.slots;
}

void
admission_report_capacity(struct admission *admission,
                          struct frame_load *load, uint64_t now_us)
{
    uint64_t service_us = capacity_service_us(&admission->capacity, now_us);
    uint64_t units = (service_us + SERVICE_TIME_UNIT_US - 1) /
                     SERVICE_TIME_UNIT_US;

    load->service_time = (uint16_t)MIN(units, UINT16_MAX);
    load->stuck = (uint8_t)MIN(admission_stuck(admission, now_us), UINT8_MAX);
    load->flows = (uint16_t)MIN(capacity_flows(&admission->capacity, now_us),
                                UINT16_MAX);
}

void
admission_watch_stuck(struct admission *admission, uint64_t now_us)
{
    bool hanging = admission_is_hanging(admission, now_us);

    if (hanging != admission->was_hanging) {
        admission->was_hanging = hanging;
        admission_notify_state(admission, now_us);
    }
}
