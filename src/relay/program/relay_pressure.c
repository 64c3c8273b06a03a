#include "relay/program/relay_pressure.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/addr.h"

/* Callers listed for each service. */
#define HEAVIEST_MAX 5

static const char *const verdict_names[] = {
    [OVERLOAD_ADMIT] = "admitted",
    [OVERLOAD_REFUSE_WAIT] = "wait",
    [OVERLOAD_REFUSE_SHARE] = "share",
};

static void
add_number(struct json_object *json, const char *key, uint64_t number)
{
    json_object_object_add(json, key, json_object_new_int64((int64_t)number));
}

static struct json_object *
caller_json(const struct caller_share *caller)
{
    struct json_object *json = json_object_new_object();
    uint32_t ip = caller->prefix;
    char text[ADDR_TEXT_MAX];

    snprintf(text, sizeof(text), "%u.%u.%u.%u", ip >> 24, ip >> 16 & 0xff,
             ip >> 8 & 0xff, ip & 0xff);
    json_object_object_add(json, "caller", json_object_new_string(text));
    add_number(json, "offered_per_s",
               (uint64_t)caller_share_per_s(caller->offered - caller->error));
    add_number(json, "admitted_per_s",
               (uint64_t)caller_share_per_s(caller->admitted));
    return json;
}

static struct json_object *
heaviest_json(const struct caller_shares *shares, uint32_t service)
{
    const struct caller_share *heaviest[HEAVIEST_MAX];
    struct json_object *list = json_object_new_array();
    unsigned count =
        caller_shares_heaviest(shares, service, heaviest, HEAVIEST_MAX);

    for (unsigned i = 0; i < count; i++) {
        json_object_array_add(list, caller_json(heaviest[i]));
    }
    return list;
}

static unsigned
threshold_of(const struct overload *overload, uint32_t service,
             uint64_t now_us)
{
    const struct admission_control_service *control =
        admission_control_find(&overload->control, service);

    return control != NULL ? admission_control_threshold(control, now_us)
                           : UINT8_MAX + 1;
}

static struct json_object *
service_json(const struct overload *overload,
             const struct overload_service *service, uint64_t now_us)
{
    struct json_object *json = json_object_new_object();
    const struct pressure *pressure = &service->pressure;
    unsigned threshold = threshold_of(overload, service->service, now_us);
    char text[16];

    snprintf(text, sizeof(text), "%08x", service->service);
    json_object_object_add(json, "service", json_object_new_string(text));
    add_number(json, "agents", pressure->agents);
    add_number(json, "heard", pressure->heard);
    add_number(json, "capacity", pressure->capacity);
    add_number(json, "busy", pressure->busy);
    add_number(json, "offered_per_s", overload_offered_per_s(service, now_us));
    json_object_object_add(json, "room",
                           json_object_new_boolean(pressure->room));
    add_number(json, "wait_ms",
               pressure_is_full(pressure) ? pressure->wait_ms : 0);
    add_number(json, "rejects_per_mille", pressure_rejects(pressure));
    add_number(json, "report_age_ms", pressure->age_us / USEC_PER_MSEC);
    if (threshold <= UINT8_MAX) {
        add_number(json, "refused_from_priority", threshold);
    }
    add_number(json, "level_per_s",
               (uint64_t)caller_shares_level(&overload->shares,
                                             service->service, now_us));
    add_number(json, "admitted", service->verdicts[OVERLOAD_ADMIT]);
    add_number(json, "refused_wait", service->verdicts[OVERLOAD_REFUSE_WAIT]);
    add_number(json, "refused_share",
               service->verdicts[OVERLOAD_REFUSE_SHARE]);
    json_object_object_add(json, "heaviest",
                           heaviest_json(&overload->shares, service->service));
    return json;
}

struct json_object *
relay_pressure_json(const struct overload *overload, uint64_t now_us)
{
    struct json_object *json = json_object_new_object();
    struct json_object *list = json_object_new_array();

    json_object_object_add(json, "on",
                           json_object_new_boolean(overload != NULL));
    for (unsigned i = 0;
         overload != NULL && i < G_N_ELEMENTS(overload->services); i++) {
        const struct overload_service *service = &overload->services[i];

        if (service->service != 0) {
            json_object_array_add(list,
                                  service_json(overload, service, now_us));
        }
    }
    json_object_object_add(json, "services", list);
    return json;
}

void
relay_pressure_metrics(const struct overload *overload, GString *text)
{
    for (unsigned i = 0; i < OVERLOAD_VERDICT_COUNT; i++) {
        g_string_append_printf(
            text, "swiftarch_overload_total{verdict=\"%s\"} %" PRIu64 "\n",
            verdict_names[i], overload->verdicts[i]);
    }
}

void
relay_pressure_log_changes(struct overload *overload, struct event_log *log,
                           uint64_t now_us)
{
    struct overload_change change;

    while (overload_take_change(overload, now_us, &change)) {
        if (!event_log_allow(log, EVENT_RATE_LIMITED)) {
            continue;
        }
        event_log_write(
            log, EVENT_RATE_LIMITED, "admission_changed",
            "service=%08x refused_from=%d level_per_s=%.0f agents=%u heard=%u "
            "room=%d wait_ms=%u rejects=%u report_age_us=%" PRIu64,
            change.service,
            change.threshold <= UINT8_MAX ? (int)change.threshold : -1,
            change.level_per_s, change.pressure.agents, change.pressure.heard,
            change.pressure.room, change.pressure.wait_ms,
            pressure_rejects(&change.pressure), change.pressure.age_us);
    }
}

void
relay_pressure_log_refusal(const struct overload *overload,
                           struct event_log *log, const char *caller,
                           const char *address, const char *reason,
                           uint64_t now_us)
{
    const struct overload_service *service = overload->last;
    const struct pressure *pressure = &service->pressure;

    event_log_write(
        log, EVENT_RATE_LIMITED, "refused",
        "caller=%s service=%s reason=%s of=%08x wait_ms=%u agents=%u heard=%u "
        "rejects=%u report_age_us=%" PRIu64 " level_per_s=%.0f",
        caller, address, reason, service->service, pressure->wait_ms,
        pressure->agents, pressure->heard, pressure_rejects(pressure),
        pressure->age_us,
        caller_shares_level(&overload->shares, service->service, now_us));
}
