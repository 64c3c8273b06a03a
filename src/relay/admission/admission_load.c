#include "relay/admission/admission_private.h"

#include <glib.h>

#include "base/clock.h"

void
admission_fill_load(const struct admission *admission, struct frame_load *load,
                    uint64_t now_us)
{
    const struct scheduler *scheduler = &admission->scheduler;
    uint64_t wait_us;

    if (!admission->engaged) {
        return;
    }
    wait_us = scheduler_wait_us(scheduler, UINT8_MAX);
    load->known = true;
    load->wait_ms = (uint16_t)MIN(wait_us / USEC_PER_MSEC, UINT16_MAX);
    load->limit = (uint8_t)MIN(scheduler->limit, UINT8_MAX);
    load->rejects =
        (uint16_t)reject_rate_per_mille(&admission->reject_rate, now_us);
}
