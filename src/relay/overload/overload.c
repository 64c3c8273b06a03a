#include "relay/overload/overload.h"

#include <string.h>

#include <glib.h>

/* A request that waits for longer than its target divided by this leaves too
 * little time for its answer. */
#define TARGET_DIVISOR 4

/* Whether requests come late or aren't taken. */
static bool
falls_behind(const struct overload_flow *flow, const struct pressure *pressure)
{
    return pressure->wait_ms >= flow->target_ms / TARGET_DIVISOR ||
           pressure_rejects(pressure) > 0;
}

static enum overload_verdict
decide(struct overload *overload, const struct overload_flow *flow,
       const struct pressure *pressure, uint64_t now_us)
{
    bool full =
        admission_control_believes(&overload->control, pressure, now_us);
    bool pressed = full && falls_behind(flow, pressure);
    bool urgent =
        admission_control_is_urgent(&overload->control, flow->control.service,
                                    flow->control.priority, now_us);

    if (!caller_shares_allow(&overload->shares, flow->control.service,
                             flow->caller, urgent, pressed, full, now_us)) {
        return OVERLOAD_REFUSE_SHARE;
    }
    return admission_control_decide(&overload->control, &flow->control,
                                    pressure,
                                    now_us) == ADMISSION_CONTROL_ADMIT
               ? OVERLOAD_ADMIT
               : OVERLOAD_REFUSE_WAIT;
}

static struct overload_service *
service_of(struct overload *overload, uint32_t service)
{
    struct overload_service *oldest = &overload->services[0];

    for (unsigned i = 0; i < G_N_ELEMENTS(overload->services); i++) {
        struct overload_service *item = &overload->services[i];

        if (item->service == service) {
            return item;
        }
        if (item->seen_us < oldest->seen_us) {
            oldest = item;
        }
    }
    *oldest = (struct overload_service){
        .service = service,
        .reported_threshold = UINT8_MAX + 1,
    };
    return oldest;
}

static void
count(struct overload *overload, const struct overload_flow *flow,
      const struct pressure *pressure, enum overload_verdict verdict,
      uint64_t now_us)
{
    struct overload_service *service =
        service_of(overload, flow->control.service);
    uint64_t since_us = now_us - service->second_us;

    if (since_us >= USEC_PER_SEC) {
        service->offered_per_s =
            since_us < 2 * USEC_PER_SEC ? service->offered : 0;
        service->offered = 0;
        service->second_us = now_us;
    }
    service->offered++;
    service->seen_us = now_us;
    service->pressure = *pressure;
    service->verdicts[verdict]++;
    overload->verdicts[verdict]++;
    overload->last = service;
}

void
overload_init(struct overload *overload, uint64_t seed, unsigned prefix_bits,
              uint64_t now_us)
{
    memset(overload, 0, sizeof(*overload));
    admission_control_init(&overload->control, now_us);
    caller_shares_init(&overload->shares, seed, prefix_bits, now_us);
    retry_memory_init(&overload->retries, seed);
}

enum overload_verdict
overload_decide(struct overload *overload, const struct overload_flow *flow,
                const struct pressure *pressure, uint64_t now_us)
{
    const struct admission_control_flow *control = &flow->control;
    struct overload_flow asked = *flow;
    enum overload_verdict verdict;

    asked.control.retry_ms =
        retry_memory_take(&overload->retries, control->service, flow->caller,
                          control->budget_ms, now_us);
    verdict = decide(overload, &asked, pressure, now_us);
    if (verdict != OVERLOAD_ADMIT) {
        retry_memory_refused(&overload->retries, control->service,
                             flow->caller, control->budget_ms, now_us);
    }
    count(overload, flow, pressure, verdict, now_us);
    return verdict;
}

static bool
service_take_change(const struct overload *overload,
                    struct overload_service *service, uint64_t now_us,
                    struct overload_change *change)
{
    const struct admission_control_service *control =
        admission_control_find(&overload->control, service->service);
    bool limited;

    *change = (struct overload_change){
        .service = service->service,
        .threshold = control != NULL
                         ? admission_control_threshold(control, now_us)
                         : UINT8_MAX + 1,
        .level_per_s =
            caller_shares_level(&overload->shares, service->service, now_us),
        .pressure = service->pressure,
    };
    limited = change->level_per_s > 0;
    if (service->reported_threshold == change->threshold &&
        service->reported_limited == limited) {
        return false;
    }
    service->reported_threshold = change->threshold;
    service->reported_limited = limited;
    return true;
}

bool
overload_take_change(struct overload *overload, uint64_t now_us,
                     struct overload_change *change)
{
    for (unsigned i = 0; i < G_N_ELEMENTS(overload->services); i++) {
        struct overload_service *service = &overload->services[i];

        if (service->service != 0 &&
            service_take_change(overload, service, now_us, change)) {
            return true;
        }
    }
    return false;
}

unsigned
overload_offered_per_s(const struct overload_service *service, uint64_t now_us)
{
    uint64_t since_us = now_us - service->second_us;

    if (since_us >= 2 * USEC_PER_SEC) {
        return 0;
    }
    return since_us >= USEC_PER_SEC ? service->offered
                                    : service->offered_per_s;
}
