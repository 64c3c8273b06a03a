#include "relay/admission/admission_private.h"

#include <glib.h>

#include "base/clock.h"

/* Change of the service time that balancers are notified of at once, minimum
 * interval of these notices, and how many balancers get one: notices to all
 * would take a part of each balancer's processor that grows with the number of
 * agents. */
#define TELL_RATIO 3
#define TELL_GAP_US (1 * USEC_PER_SEC)
#define TELL_BALANCERS 8

/* After a longer pause the agent itself didn't run, and answers wait to be
 * received: it doesn't know which requests are stuck. */
#define WATCH_PAUSE_US (200 * USEC_PER_MSEC)

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
        count +=
            is_stuck(admission, &admission->flows[admission->busy[i]], now_us);
    }
    return count;
}

bool
admission_is_hanging(const struct admission *admission)
{
    return admission->engaged && admission->capacity.hanging;
}

bool
admission_takes_trial(const struct admission *admission, uint64_t now_us)
{
    return 2 * admission_stuck(admission, now_us) <
               admission->endpoint.slots &&
           capacity_trial_due(&admission->capacity, now_us);
}

/* Whether the service time has changed so much since it was last reported to
 * all balancers that they would place flows in another way. */
static bool
service_time_changed(const struct admission *admission, uint64_t now_us)
{
    uint64_t service_us = capacity_service_us(&admission->capacity, now_us);
    uint64_t told_us = admission->told_service_us;

    return service_us != 0 && told_us != 0 &&
           now_us - admission->told_us >= TELL_GAP_US &&
           (service_us >= TELL_RATIO * told_us ||
            told_us >= TELL_RATIO * service_us);
}

/* Stuck requests to report. An endpoint that hung counts as hanging until it
 * has answered a few requests. */
static unsigned
reported_stuck(const struct admission *admission, uint64_t now_us)
{
    unsigned stuck = admission_stuck(admission, now_us);
    unsigned half = (admission->endpoint.slots + 1) / 2;

    return admission->capacity.hanging ? MAX(stuck, half) : stuck;
}

void
admission_report_capacity(const struct admission *admission,
                          struct frame_load *load, uint64_t now_us)
{
    uint64_t service_us = capacity_service_us(&admission->capacity, now_us);
    uint64_t units = (service_us + FRAME_SERVICE_TIME_UNIT_US - 1) /
                     FRAME_SERVICE_TIME_UNIT_US;

    load->service_time = (uint16_t)MIN(units, UINT16_MAX);
    load->stuck = (uint8_t)MIN(reported_stuck(admission, now_us), UINT8_MAX);
    load->flows = (uint16_t)MIN(capacity_flows(&admission->capacity, now_us),
                                UINT16_MAX);
}

void
admission_watch_capacity(struct admission *admission, uint64_t now_us)
{
    uint64_t pause_us = now_us - admission->watched_us;
    bool hanging;

    admission->watched_us = now_us;
    if (!admission->engaged || pause_us > WATCH_PAUSE_US) {
        return;
    }
    capacity_note_stuck(&admission->capacity,
                        admission_stuck(admission, now_us),
                        admission->endpoint.slots);
    hanging = admission->capacity.hanging;
    if (admission->told_service_us == 0) {
        admission->told_service_us =
            capacity_service_us(&admission->capacity, now_us);
    }
    if (hanging != admission->was_hanging ||
        service_time_changed(admission, now_us)) {
        admission->was_hanging = hanging;
        admission->told_service_us =
            capacity_service_us(&admission->capacity, now_us);
        admission->told_us = now_us;
        admission_notify_recent(admission, TELL_BALANCERS, now_us);
    }
}
