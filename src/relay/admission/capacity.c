#include "relay/admission/capacity.h"

#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Fewer samples may all be long requests. */
#define SAMPLES_MIN 4

/* Samples that are left out at each end, of a full set. */
#define SAMPLES_TRIMMED (CAPACITY_SAMPLES / 4)

/* Older samples say nothing about the endpoint now. Callers give up after
 * about as long, so that an endpoint without answers counts as unknown. */
#define SAMPLE_MAX_AGE_US (3 * USEC_PER_SEC)

/* Ordinary long requests take some 7 times the mean. */
#define STUCK_RATIO 12

/* Shorter requests meet the usual response targets. */
#define STUCK_MIN_US (300 * USEC_PER_MSEC)

/* Limit while the service time is unknown: callers don't wait much longer. */
#define STUCK_UNKNOWN_US (1 * USEC_PER_SEC)

/* Answers until an endpoint that hung is well. */
#define WELL_ANSWERS 4

/* Time without requests after which a hanging endpoint gets a new flow. */
#define TRIAL_GAP_US (1 * USEC_PER_SEC)

void
capacity_forget_samples(struct capacity *capacity)
{
    capacity->hanging = false;
    capacity->count = 0;
    capacity->next = 0;
}

/* Time that a request would have taken without queueing for a slot. */
static uint64_t
unqueued_us(uint64_t elapsed_us, unsigned depth, unsigned slots)
{
    return depth > slots ? elapsed_us * slots / depth : elapsed_us;
}

void
capacity_add(struct capacity *capacity, uint64_t elapsed_us, unsigned depth,
             unsigned slots, uint64_t now_us)
{
    capacity->samples[capacity->next] = unqueued_us(elapsed_us, depth, slots);
    capacity->next = (capacity->next + 1) % CAPACITY_SAMPLES;
    capacity->count = MIN(capacity->count + 1, CAPACITY_SAMPLES);
    capacity->sampled_us = now_us;
    if (capacity->hanging && ++capacity->answers >= WELL_ANSWERS) {
        capacity->hanging = false;
    }
}

static void
sort(uint64_t *values, unsigned count)
{
    for (unsigned i = 1; i < count; i++) {
        uint64_t value = values[i];
        unsigned at = i;

        while (at > 0 && values[at - 1] > value) {
            values[at] = values[at - 1];
            at--;
        }
        values[at] = value;
    }
}

/* Mean of the middle samples. */
static uint64_t
middle_mean(const struct capacity *capacity)
{
    unsigned trimmed = SAMPLES_TRIMMED * capacity->count / CAPACITY_SAMPLES;
    uint64_t sorted[CAPACITY_SAMPLES];
    uint64_t sum = 0;

    memcpy(sorted, capacity->samples, sizeof(sorted));
    sort(sorted, capacity->count);
    for (unsigned i = trimmed; i < capacity->count - trimmed; i++) {
        sum += sorted[i];
    }
    return sum / (capacity->count - 2 * trimmed);
}

uint64_t
capacity_service_us(const struct capacity *capacity, uint64_t now_us)
{
    if (capacity->count < SAMPLES_MIN ||
        now_us - capacity->sampled_us > SAMPLE_MAX_AGE_US) {
        return 0;
    }
    return MAX(middle_mean(capacity), 1);
}

bool
capacity_is_stuck(const struct capacity *capacity, uint64_t elapsed_us,
                  unsigned depth, unsigned slots, uint64_t now_us)
{
    uint64_t typical_us = capacity_service_us(capacity, now_us);
    uint64_t limit_us = typical_us != 0
                            ? MAX(STUCK_RATIO * typical_us, STUCK_MIN_US)
                            : STUCK_UNKNOWN_US;

    return unqueued_us(elapsed_us, depth, slots) > limit_us;
}

void
capacity_note_stuck(struct capacity *capacity, unsigned stuck, unsigned slots)
{
    if (stuck > 0 && 2 * stuck >= slots) {
        capacity->hanging = true;
        capacity->answers = 0;
    }
}

bool
capacity_trial_due(const struct capacity *capacity, uint64_t now_us)
{
    return now_us - capacity->used_us >= TRIAL_GAP_US;
}

/* Empties the buckets of the seconds that have passed. */
static void
advance(struct capacity *capacity, uint64_t second)
{
    uint64_t passed =
        second > capacity->second ? second - capacity->second : 0;

    for (uint64_t i = 1; i <= MIN(passed, CAPACITY_FLOW_SECONDS); i++) {
        capacity->flows[(capacity->second + i) % CAPACITY_FLOW_SECONDS] = 0;
    }
    capacity->second = MAX(capacity->second, second);
}

/* Removes a flow from the bucket of its last request. */
static void
leave_bucket(struct capacity *capacity, uint64_t used_us)
{
    uint64_t second = used_us / USEC_PER_SEC;

    if (used_us != 0 && second + CAPACITY_FLOW_SECONDS > capacity->second) {
        capacity->flows[second % CAPACITY_FLOW_SECONDS]--;
    }
}

void
capacity_flow_used(struct capacity *capacity, uint64_t *used_us,
                   uint64_t now_us)
{
    uint64_t second = now_us / USEC_PER_SEC;

    advance(capacity, second);
    leave_bucket(capacity, *used_us);
    capacity->used_us = now_us;
    capacity->flows[second % CAPACITY_FLOW_SECONDS]++;
    *used_us = now_us;
}

void
capacity_flow_ended(struct capacity *capacity, uint64_t *used_us)
{
    leave_bucket(capacity, *used_us);
    *used_us = 0;
}

unsigned
capacity_flows(const struct capacity *capacity, uint64_t now_us)
{
    uint64_t now = now_us / USEC_PER_SEC;
    uint64_t first =
        now < CAPACITY_FLOW_SECONDS ? 0 : now - (CAPACITY_FLOW_SECONDS - 1);
    unsigned count = 0;

    for (uint64_t at = first; at <= capacity->second; at++) {
        count += capacity->flows[at % CAPACITY_FLOW_SECONDS];
    }
    return count;
}
