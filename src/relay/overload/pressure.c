#include "relay/overload/pressure.h"

#include <string.h>

#include <glib.h>

/* Unit of frame_load.service_time. */
#define SERVICE_TIME_US 100

/* An agent's load becomes unknown when it has restarted. */
static bool
has_restarted(const struct pressure_report *report,
              const struct frame_health *health)
{
    return report->load.known && !health->load.known;
}

void
pressure_report_update(struct pressure_report *report,
                       const struct frame_health *health, uint64_t now_us)
{
    if (has_restarted(report, health)) {
        report->settled_us = now_us + PRESSURE_SETTLE_US;
    }
    report->load = health->load;
    report->busy = health->busy;
    report->slots = health->slots;
    report->sent = 0;
    report->at_us = 0;
    if (now_us >= report->settled_us) {
        report->at_us = now_us;
    }
    else {
        report->load.known = false;
    }
}

void
pressure_report_sent(struct pressure_report *report)
{
    report->sent++;
}

static bool
report_counts(const struct pressure_report *report, uint64_t now_us)
{
    return report->load.known && report->at_us != 0 &&
           report->at_us <= now_us &&
           now_us - report->at_us <= PRESSURE_MAX_AGE_US;
}

/* Time until a new request would be run; 0 if a slot may be free. */
static unsigned
wait_left_ms(const struct pressure_report *report, uint64_t now_us)
{
    uint64_t wait_us = report->load.wait_ms * USEC_PER_MSEC;
    uint64_t age_us = now_us - report->at_us;

    if (report->busy + report->sent < report->slots) {
        return 0;
    }
    if (report->slots > 0) {
        wait_us += report->sent * (uint64_t)report->load.service_time *
                   SERVICE_TIME_US / report->slots;
    }
    return wait_us > age_us
               ? (unsigned)((wait_us - age_us + USEC_PER_MSEC - 1) /
                            USEC_PER_MSEC)
               : 0;
}

static unsigned
service_ms(const struct pressure_report *report)
{
    return (unsigned)(report->load.service_time * SERVICE_TIME_US /
                      USEC_PER_MSEC);
}

void
pressure_init(struct pressure *pressure)
{
    memset(pressure, 0, sizeof(*pressure));
    pressure->wait_ms = UINT16_MAX;
    pressure->answer_ms = 2 * UINT16_MAX;
}

void
pressure_add(struct pressure *pressure, const struct pressure_report *report,
             enum pressure_reach reach, uint64_t now_us)
{
    unsigned wait_ms;

    if (reach == PRESSURE_OUTSIDE) {
        return;
    }
    pressure->agents++;
    if (reach == PRESSURE_BEYOND) {
        return;
    }
    if (!report_counts(report, now_us)) {
        pressure->room = true;
        return;
    }
    wait_ms = wait_left_ms(report, now_us);
    pressure->heard++;
    pressure->room |= wait_ms == 0;
    pressure->wait_ms = MIN(pressure->wait_ms, wait_ms);
    pressure->answer_ms =
        MIN(pressure->answer_ms, wait_ms + service_ms(report));
    pressure->capacity += MAX(report->load.limit, report->slots);
    pressure->busy += report->busy;
    pressure->rejects += MIN(report->load.rejects, 1000);
    pressure->age_us = MAX(pressure->age_us, now_us - report->at_us);
}

unsigned
pressure_rejects(const struct pressure *pressure)
{
    return pressure->heard != 0 ? pressure->rejects / pressure->heard : 0;
}

bool
pressure_is_full(const struct pressure *pressure)
{
    return pressure->heard > 0 && 2 * pressure->heard >= pressure->agents &&
           !pressure->room;
}
