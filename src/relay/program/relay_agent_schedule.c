#include "relay/program/relay_agent_private.h"

#include <inttypes.h>

#include <glib.h>

static const char *const reason_names[] = {
    [SCHEDULER_ROOM] = "room",
    [SCHEDULER_TURN] = "turn",
    [SCHEDULER_LATE] = "late",
    [SCHEDULER_FULL] = "full",
};

static const char *const event_names[] = {
    [ADMISSION_SCHEDULED_HELD] = "request_held",
    [ADMISSION_SCHEDULED_GIVEN] = "request_given",
    [ADMISSION_SCHEDULED_REJECTED] = "request_rejected",
};

static void
count(struct relay_agent *agent, const struct admission_scheduled *scheduled)
{
    switch (scheduled->event) {
    case ADMISSION_SCHEDULED_HELD:
        agent->schedule.held++;
        break;
    case ADMISSION_SCHEDULED_GIVEN:
        agent->schedule.given[scheduled->reason]++;
        wait_histogram_add(&agent->schedule.waits, scheduled->priority,
                           scheduled->wait_us);
        break;
    case ADMISSION_SCHEDULED_REJECTED:
        agent->schedule.rejected++;
        break;
    }
}

/* Requests that find room are only counted. */
static bool
is_logged(const struct admission_scheduled *scheduled)
{
    return scheduled->event != ADMISSION_SCHEDULED_GIVEN ||
           scheduled->reason != SCHEDULER_ROOM || scheduled->wait_us > 0;
}

void
relay_agent_scheduled(struct relay_agent *agent, struct relay_flow flow,
                      const struct admission_scheduled *scheduled)
{
    char caller[ADDR_TEXT_MAX];
    char service[ADDR_TEXT_MAX];

    count(agent, scheduled);
    if (!is_logged(scheduled) ||
        !event_log_allow(&agent->log, EVENT_RATE_LIMITED)) {
        return;
    }
    event_log_write(
        &agent->log, EVENT_RATE_LIMITED, event_names[scheduled->event],
        "caller=%s service=%s reason=%s priority=%u wait_ms=%.1f left_ms=%.1f "
        "busy=%u limit=%u held=%u",
        addr_format(flow.caller, caller), addr_format(flow.service, service),
        scheduled->event == ADMISSION_SCHEDULED_GIVEN
            ? reason_names[scheduled->reason]
            : "none",
        scheduled->priority, (double)scheduled->wait_us / USEC_PER_MSEC,
        (double)scheduled->left_us / USEC_PER_MSEC,
        agent->admission.scheduler.running_count,
        agent->admission.scheduler.limit,
        agent->admission.scheduler.held_count);
}

static void
append_waits(const struct wait_histogram *waits, GString *text)
{
    for (unsigned i = 0; i < WAIT_HISTOGRAM_PRIORITIES; i++) {
        uint64_t total = 0;

        for (unsigned k = 0; k < WAIT_HISTOGRAM_BUCKETS - 1; k++) {
            total += waits->count[i][k];
            g_string_append_printf(
                text,
                "swiftarch_request_wait_seconds_bucket{priority=\"%u\","
                "le=\"%.3f\"} %" PRIu64 "\n",
                i, wait_histogram_bounds_ms[k] / 1000.0, total);
        }
        total += waits->count[i][WAIT_HISTOGRAM_BUCKETS - 1];
        g_string_append_printf(
            text,
            "swiftarch_request_wait_seconds_bucket{priority=\"%u\","
            "le=\"+Inf\"} %" PRIu64 "\n"
            "swiftarch_request_wait_seconds_sum{priority=\"%u\"} %.6f\n"
            "swiftarch_request_wait_seconds_count{priority=\"%u\"} %" PRIu64
            "\n",
            i, total, i, (double)waits->sum_us[i] / USEC_PER_SEC, i, total);
    }
}

void
relay_agent_schedule_metrics(const struct relay_agent *agent, GString *text)
{
    if (!agent->settings.scheduling) {
        return;
    }
    g_string_append_printf(text,
                           "swiftarch_requests_scheduled %d\n"
                           "swiftarch_requests_held_total %" PRIu64 "\n"
                           "swiftarch_requests_held %u\n"
                           "swiftarch_requests_at_endpoint %u\n"
                           "swiftarch_requests_limit %u\n"
                           "swiftarch_requests_rejected_total %" PRIu64 "\n"
                           "swiftarch_flows_refused_total %" PRIu64 "\n",
                           agent->admission.engaged, agent->schedule.held,
                           agent->admission.scheduler.held_count,
                           agent->admission.scheduler.running_count,
                           agent->admission.scheduler.limit,
                           agent->schedule.rejected, agent->counts.refused);
    for (unsigned i = 0; i < SCHEDULER_REASON_COUNT; i++) {
        g_string_append_printf(
            text,
            "swiftarch_requests_given_total{reason=\"%s\"} %" PRIu64 "\n",
            reason_names[i], agent->schedule.given[i]);
    }
    append_waits(&agent->schedule.waits, text);
}
