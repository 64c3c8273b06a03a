#include "relay/overload/overload.h"

#include <string.h>

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
    bool urgent = admission_control_is_urgent(
        &overload->control, flow->control.service, flow->control.priority,
        now_us);

    if (!caller_shares_allow(&overload->shares, flow->control.service,
                             flow->caller, urgent, pressed, full, now_us)) {
        return OVERLOAD_REFUSE_SHARE;
    }
    return admission_control_decide(&overload->control, &flow->control,
                                    pressure, now_us) ==
                   ADMISSION_CONTROL_ADMIT
               ? OVERLOAD_ADMIT
               : OVERLOAD_REFUSE_WAIT;
}

void
overload_init(struct overload *overload, uint64_t seed, unsigned prefix_bits,
              uint64_t now_us)
{
    memset(overload->verdicts, 0, sizeof(overload->verdicts));
    admission_control_init(&overload->control, now_us);
    caller_shares_init(&overload->shares, seed, prefix_bits, now_us);
}

enum overload_verdict
overload_decide(struct overload *overload, const struct overload_flow *flow,
                const struct pressure *pressure, uint64_t now_us)
{
    enum overload_verdict verdict = decide(overload, flow, pressure, now_us);

    overload->verdicts[verdict]++;
    return verdict;
}
