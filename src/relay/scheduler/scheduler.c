#include "relay/scheduler/scheduler.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"

/* Averages before the caller sets them. */
#define SERVICE_INITIAL_US (15 * USEC_PER_MSEC)
#define RTT_INITIAL_US (7 * USEC_PER_MSEC)

/* Requests beyond the slots before the limit is known: one for each of two
 * slots that may become free at once. */
#define EXTRA_INITIAL 2

/* Mean service times between the expected answer of a held request and its
 * target, so that one of a longer request is in time, too. */
#define HOLD_MARGIN 2

/* Requests of the highest held priority in a row, after which one of a lower
 * priority goes: those get a quarter of the turns. */
#define TURNS_HIGHER 3

/* An answer within this part of the mean service time comes too soon for a
 * request that was run: after it was given, and after a slot's last end. */
#define AT_ONCE_PART 4
#define RUN_MIN_PART 8

/* For how long after a pause the agent reads answers that came during it. */
#define CATCH_UP_US (10 * USEC_PER_MSEC)

/* A priority counts as seen in this period and the next one. */
#define LOWEST_PERIOD_US (60 * USEC_PER_SEC)

/* Answered requests at the limit that raise it. Each rejection of a request
 * just above the limit doubles the number, as a raise costs a rejection at
 * an endpoint whose queue has a fixed length. */
#define RAISE_AFTER_MIN 1
#define RAISE_AFTER_MAX 1024

static unsigned
find_running(const struct scheduler *scheduler, uint32_t handle)
{
    unsigned at = 0;

    while (at < scheduler->running_count &&
           scheduler->running[at].handle != handle) {
        at++;
    }
    return at;
}

static unsigned
find_held(const struct scheduler *scheduler, uint32_t handle)
{
    unsigned at = 0;

    while (at < scheduler->held_count &&
           scheduler->held[at].request.handle != handle) {
        at++;
    }
    return at;
}

static void
remove_running(struct scheduler *scheduler, unsigned at)
{
    scheduler->running_count--;
    memmove(&scheduler->running[at], &scheduler->running[at + 1],
            (scheduler->running_count - at) * sizeof(scheduler->running[0]));
}

static void
remove_held(struct scheduler *scheduler, unsigned at)
{
    scheduler->held_count--;
    memmove(&scheduler->held[at], &scheduler->held[at + 1],
            (scheduler->held_count - at) * sizeof(scheduler->held[0]));
}

/* Requests that the endpoint must end before it runs one of @depth. */
static unsigned
queued_before(const struct scheduler *scheduler, unsigned depth)
{
    return depth > scheduler->slots ? depth - scheduler->slots : 0;
}

static uint64_t
work_off_us(const struct scheduler *scheduler, unsigned count)
{
    return count * scheduler->service_us / scheduler->slots;
}

/* Time until the caller has the answer of a request that is given to the
 * endpoint when it has room for it. */
static uint64_t
answer_delay_us(const struct scheduler *scheduler)
{
    unsigned depth = MIN(scheduler->running_count + 1, scheduler->limit);

    return scheduler->rtt_us + scheduler->service_us +
           work_off_us(scheduler, queued_before(scheduler, depth));
}

uint8_t
scheduler_lowest(const struct scheduler *scheduler)
{
    return MAX(scheduler->lowest[0], scheduler->lowest[1]);
}

void
scheduler_see_priority(struct scheduler *scheduler, uint8_t priority,
                       uint64_t now_us)
{
    uint64_t elapsed_us = now_us - scheduler->lowest_since_us;

    if (elapsed_us >= LOWEST_PERIOD_US) {
        bool is_next = elapsed_us < 2 * LOWEST_PERIOD_US;

        scheduler->lowest[1] = is_next ? scheduler->lowest[0] : 0;
        scheduler->lowest[0] = 0;
        scheduler->lowest_since_us = now_us;
    }
    scheduler->lowest[0] = MAX(scheduler->lowest[0], priority);
}

static bool
is_above_lowest(const struct scheduler *scheduler, uint8_t priority)
{
    return priority < scheduler_lowest(scheduler);
}

/* Until when a request may be held. */
static uint64_t
hold_until_us(const struct scheduler *scheduler,
              const struct scheduler_request *request)
{
    return is_above_lowest(scheduler, request->priority)
               ? request->abandon_us
               : MIN(request->target_us, request->abandon_us);
}

/* When a held request becomes late. */
static uint64_t
late_us(const struct scheduler *scheduler,
        const struct scheduler_request *request, uint64_t delay_us)
{
    uint64_t until_us = hold_until_us(scheduler, request);

    return until_us > delay_us ? until_us - delay_us : 0;
}

/* Whether the answer of a request that begins is expected in time if it is
 * held behind those of its priority and higher ones. */
static bool
is_in_time_if_held(const struct scheduler *scheduler,
                   const struct scheduler_request *request, uint64_t now_us)
{
    unsigned before = 1;

    for (unsigned i = 0; i < scheduler->held_count; i++) {
        before += scheduler->held[i].request.priority <= request->priority;
    }
    return now_us + answer_delay_us(scheduler) +
               HOLD_MARGIN * scheduler->service_us +
               work_off_us(scheduler, before) <
           hold_until_us(scheduler, request);
}

/* Whether the endpoint has room for a request of @priority. */
static bool
has_room(const struct scheduler *scheduler, uint8_t priority)
{
    return scheduler->running_count < (is_above_lowest(scheduler, priority)
                                           ? scheduler->proven
                                           : scheduler->limit);
}

/* Whether the endpoint has room for a held request. */
static bool
has_room_for_held(const struct scheduler *scheduler)
{
    for (unsigned i = 0; i < scheduler->held_count; i++) {
        if (has_room(scheduler, scheduler->held[i].request.priority)) {
            return true;
        }
    }
    return false;
}

static void
give(struct scheduler *scheduler, uint32_t handle, uint64_t now_us)
{
    if (scheduler->running_count == SCHEDULER_RUNNING_MAX) {
        return;
    }
    scheduler->running[scheduler->running_count] = (struct scheduler_running){
        .handle = handle,
        .depth = scheduler->running_count + 1,
        .ended_before = scheduler->ended,
        .since_us = now_us,
    };
    scheduler->running_count++;
}

static void
forget_limit(struct scheduler *scheduler)
{
    scheduler->limit = scheduler->slots + EXTRA_INITIAL;
    scheduler->proven = scheduler->limit;
    scheduler->answered_at_limit = 0;
    scheduler->raise_after = RAISE_AFTER_MIN;
}

void
scheduler_init(struct scheduler *scheduler, unsigned slots)
{
    memset(scheduler, 0, sizeof(*scheduler));
    scheduler->service_us = SERVICE_INITIAL_US;
    scheduler->rtt_us = RTT_INITIAL_US;
    scheduler_set_slots(scheduler, slots);
}

void
scheduler_set_slots(struct scheduler *scheduler, unsigned slots)
{
    assert(slots > 0);
    if (scheduler->slots == slots) {
        return;
    }
    scheduler->slots = slots;
    forget_limit(scheduler);
}

void
scheduler_restart(struct scheduler *scheduler)
{
    scheduler->running_count = 0;
    forget_limit(scheduler);
}

bool
scheduler_begin(struct scheduler *scheduler,
                const struct scheduler_request *request, uint64_t now_us,
                enum scheduler_reason *reason)
{
    scheduler_see_priority(scheduler, request->priority, now_us);
    if (has_room(scheduler, request->priority) && scheduler->held_count == 0) {
        *reason = SCHEDULER_ROOM;
    }
    else if (!is_in_time_if_held(scheduler, request, now_us)) {
        *reason = SCHEDULER_LATE;
    }
    else if (scheduler->held_count == SCHEDULER_HELD_MAX) {
        *reason = SCHEDULER_FULL;
    }
    else {
        scheduler->held[scheduler->held_count++] =
            (struct scheduler_held){*request, now_us};
        return false;
    }
    give(scheduler, request->handle, now_us);
    return true;
}

/* Learns from a rejected request. Those behind it had one less before them
 * than they were given with. */
static void
learn_rejected(struct scheduler *scheduler, unsigned at, unsigned depth)
{
    unsigned taken = MAX(depth - 1, scheduler->slots);

    scheduler->proven = MIN(scheduler->proven, taken);

    for (unsigned i = at; i < scheduler->running_count; i++) {
        scheduler->running[i].depth--;
    }
    if (taken >= scheduler->limit) {
        return;
    }
    scheduler->limit = taken;
    scheduler->answered_at_limit = 0;
    scheduler->raise_after = MIN(2 * scheduler->raise_after, RAISE_AFTER_MAX);
}

static void
learn_answered(struct scheduler *scheduler, unsigned depth)
{
    scheduler->proven = MAX(scheduler->proven, MIN(depth, scheduler->limit));
    if (depth < scheduler->limit || depth <= scheduler->slots ||
        scheduler->limit >= SCHEDULER_LIMIT_MAX) {
        return;
    }
    scheduler->answered_at_limit++;
    if (depth > scheduler->limit ||
        scheduler->answered_at_limit >= scheduler->raise_after) {
        scheduler->limit++;
        scheduler->answered_at_limit = 0;
    }
}

/* Whether a request is answered at once although others had to end before the
 * endpoint could run it. */
static bool
is_answered_at_once(const struct scheduler *scheduler,
                    const struct scheduler_running *running, uint64_t now_us)
{
    uint64_t ended = scheduler->ended - running->ended_before;

    return ended < queued_before(scheduler, running->depth) &&
           now_us - running->since_us < scheduler->service_us / AT_ONCE_PART;
}

/* Whether an answer was read later than it came, after a pause of the agent.
 */
static bool
is_read_late(const struct scheduler *scheduler, uint64_t end_us)
{
    return end_us >= scheduler->resumed_us &&
           end_us - scheduler->resumed_us < CATCH_UP_US;
}

/* Whether each slot has ended another request too lately to have run this one:
 * of the last answered requests, one for each slot, the first is too recent.
 */
static bool
no_slot_ran(const struct scheduler *scheduler,
            const struct scheduler_running *running, uint64_t now_us)
{
    unsigned at = scheduler->end_next + SCHEDULER_SLOTS_MAX - scheduler->slots;
    uint64_t end_us = scheduler->end_us[at % SCHEDULER_SLOTS_MAX];

    return running->depth > scheduler->slots &&
           scheduler->slots < SCHEDULER_SLOTS_MAX &&
           now_us - end_us < scheduler->service_us / RUN_MIN_PART &&
           !is_read_late(scheduler, end_us);
}

enum scheduler_end
scheduler_end(struct scheduler *scheduler, uint32_t handle, bool cut,
              uint64_t now_us)
{
    unsigned at = find_running(scheduler, handle);
    struct scheduler_running running;

    if (at == scheduler->running_count) {
        return cut ? SCHEDULER_CUT : SCHEDULER_ANSWERED;
    }
    running = scheduler->running[at];
    remove_running(scheduler, at);
    if (!cut && is_answered_at_once(scheduler, &running, now_us)) {
        learn_rejected(scheduler, at, running.depth);
        return SCHEDULER_REJECTED;
    }
    if (!cut && no_slot_ran(scheduler, &running, now_us)) {
        return SCHEDULER_REJECTED;
    }
    scheduler->ended++;
    if (cut) {
        return SCHEDULER_CUT;
    }
    scheduler->end_us[scheduler->end_next] = now_us;
    scheduler->end_next = (scheduler->end_next + 1) % SCHEDULER_SLOTS_MAX;
    learn_answered(scheduler, running.depth);
    return SCHEDULER_ANSWERED;
}

void
scheduler_resumed(struct scheduler *scheduler, uint64_t now_us)
{
    if (now_us - scheduler->resumed_us >= CATCH_UP_US) {
        scheduler->resumed_us = now_us;
    }
}

void
scheduler_drop(struct scheduler *scheduler, uint32_t handle)
{
    unsigned at = find_held(scheduler, handle);

    if (at < scheduler->held_count) {
        remove_held(scheduler, at);
    }
    at = find_running(scheduler, handle);
    if (at < scheduler->running_count) {
        remove_running(scheduler, at);
        scheduler->ended++;
    }
}

bool
scheduler_give(struct scheduler *scheduler, uint32_t handle, uint64_t now_us)
{
    unsigned at = find_held(scheduler, handle);

    if (at == scheduler->held_count) {
        return false;
    }
    remove_held(scheduler, at);
    give(scheduler, handle, now_us);
    return true;
}

bool
scheduler_is_held(const struct scheduler *scheduler, uint32_t handle)
{
    return find_held(scheduler, handle) < scheduler->held_count;
}

/* Whether a held request goes before another. Order: priority, then those that
 * can be in time, the one with the earliest target first: a request is held
 * only if the ones before it leave it time. Of the late ones, the one that its
 * caller abandons first. */
static bool
goes_before(const struct scheduler_request *a,
            const struct scheduler_request *b, uint64_t answer_us)
{
    bool a_in_time = answer_us <= a->target_us;
    bool b_in_time = answer_us <= b->target_us;

    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    if (a_in_time != b_in_time) {
        return a_in_time;
    }
    return a_in_time ? a->target_us < b->target_us
                     : a->abandon_us < b->abandon_us;
}

/* The held request that goes first, of priority @from or lower. */
static unsigned
first_held(const struct scheduler *scheduler, uint8_t from, uint64_t now_us)
{
    uint64_t answer_us = now_us + answer_delay_us(scheduler);
    unsigned best = scheduler->held_count;

    for (unsigned i = 0; i < scheduler->held_count; i++) {
        const struct scheduler_request *request = &scheduler->held[i].request;

        if (request->priority >= from &&
            (best == scheduler->held_count ||
             goes_before(request, &scheduler->held[best].request,
                         answer_us))) {
            best = i;
        }
    }
    return best;
}

unsigned
scheduler_before(const struct scheduler *scheduler, uint32_t handle,
                 uint64_t now_us)
{
    uint64_t answer_us = now_us + answer_delay_us(scheduler);
    unsigned at = find_held(scheduler, handle);
    unsigned count = 0;

    for (unsigned i = 0;
         at < scheduler->held_count && i < scheduler->held_count; i++) {
        count += goes_before(&scheduler->held[i].request,
                             &scheduler->held[at].request, answer_us);
    }
    return count;
}

/* The held request of a priority below @highest that takes a turn: of the
 * priority whose oldest one has waited longest, the one that goes first. */
static unsigned
pick_for_turn(const struct scheduler *scheduler, uint8_t highest,
              uint64_t now_us)
{
    unsigned oldest = 0;

    /* In order of arrival. */
    while (oldest < scheduler->held_count &&
           scheduler->held[oldest].request.priority <= highest) {
        oldest++;
    }
    if (oldest == scheduler->held_count) {
        return oldest;
    }
    return first_held(scheduler, scheduler->held[oldest].request.priority,
                      now_us);
}

/* Picks the held request that takes free room. */
static unsigned
pick_for_room(struct scheduler *scheduler, uint64_t now_us,
              enum scheduler_reason *reason)
{
    uint8_t from = has_room(scheduler, 0) ? 0 : scheduler_lowest(scheduler);
    unsigned first = first_held(scheduler, from, now_us);
    unsigned other = pick_for_turn(
        scheduler, scheduler->held[first].request.priority, now_us);

    *reason = SCHEDULER_ROOM;
    if (other == scheduler->held_count) {
        scheduler->turns = 0;
        return first;
    }
    if (scheduler->turns < TURNS_HIGHER) {
        scheduler->turns++;
        return first;
    }
    scheduler->turns = 0;
    *reason = SCHEDULER_TURN;
    return other;
}

static unsigned
find_late(const struct scheduler *scheduler, uint64_t now_us)
{
    uint64_t delay_us = answer_delay_us(scheduler);
    unsigned at = 0;

    while (at < scheduler->held_count &&
           now_us <
               late_us(scheduler, &scheduler->held[at].request, delay_us)) {
        at++;
    }
    return at;
}

uint32_t
scheduler_next(struct scheduler *scheduler, uint64_t now_us,
               enum scheduler_reason *reason)
{
    unsigned at;
    uint32_t handle;

    if (scheduler->held_count == 0) {
        return SCHEDULER_NONE;
    }
    if (has_room_for_held(scheduler)) {
        at = pick_for_room(scheduler, now_us, reason);
    }
    else {
        at = find_late(scheduler, now_us);
        *reason = SCHEDULER_LATE;
    }
    if (at == scheduler->held_count) {
        return SCHEDULER_NONE;
    }
    handle = scheduler->held[at].request.handle;
    remove_held(scheduler, at);
    give(scheduler, handle, now_us);
    return handle;
}

uint64_t
scheduler_next_us(const struct scheduler *scheduler)
{
    uint64_t delay_us = answer_delay_us(scheduler);
    uint64_t next_us = UINT64_MAX;

    if (has_room_for_held(scheduler)) {
        return 0;
    }
    for (unsigned i = 0; i < scheduler->held_count; i++) {
        next_us = MIN(next_us, late_us(scheduler, &scheduler->held[i].request,
                                       delay_us));
    }
    return next_us;
}

uint64_t
scheduler_wait_us(const struct scheduler *scheduler, uint8_t priority)
{
    unsigned before = scheduler->running_count;

    for (unsigned i = 0; i < scheduler->held_count; i++) {
        before += scheduler->held[i].request.priority <= priority;
    }
    return work_off_us(scheduler, queued_before(scheduler, before + 1));
}
