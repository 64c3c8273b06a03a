#include "relay/overload/pressure.h"

#include <string.h>

#include <glib.h>

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
    report->at_us = 0;
    if (now_us >= report->settled_us) {
        report->at_us = now_us;
    }
    else {
        report->load.known = false;
    }
}

static bool
report_counts(const struct pressure_report *report, uint64_t now_us)
{
    return report->load.known && report->at_us != 0 &&
           report->at_us <= now_us &&
           now_us - report->at_us <= PRESSURE_MAX_AGE_US;
}

static bool
has_room(const struct pressure_report *report)
{
    return report->load.wait_ms == 0 || report->busy < report->slots;
}

void
pressure_init(struct pressure *pressure)
{
    memset(pressure, 0, sizeof(*pressure));
    pressure->wait_ms = UINT16_MAX;
}

void
pressure_add(struct pressure *pressure, const struct pressure_report *report,
             enum pressure_reach reach, uint64_t now_us)
{
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
    pressure->heard++;
    pressure->room |= has_room(report);
    pressure->wait_ms = MIN(pressure->wait_ms, report->load.wait_ms);
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
