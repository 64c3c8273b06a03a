/* What callers get from three ways to admit new flows, and from none, at
 * multiples of a service's capacity. Endpoints and the agents' queues are
 * reduced to their order: in time first, then priority, then most time left,
 * late ones in the order in which their callers give up. */
#include <limits.h>
#include <string.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/overload/overload.h"

#define SUITE "/relay/admission_control_load"

#define START_MS 10000
#define AGENTS 4
#define SLOTS 2
#define SERVICE_MS 20
#define CAPACITY_PER_S (AGENTS * SLOTS * 1000 / SERVICE_MS)
#define LOAD_MS 8000
#define DRAIN_MS 3000
#define TARGET_MS 100
#define BUDGET_MS 1500
#define TRIES 3
#define RETRY_MS 30
#define URGENT_PERCENT 30
#define CALLERS_MAX (9 * CAPACITY_PER_S * LOAD_MS / 1000)
#define SLOTS_ALL (AGENTS * SLOTS)

/** enum way - how flows are admitted */
enum way {
    WAY_NONE,      /* all flows */
    WAY_THRESHOLD, /* a threshold over priority and caller that moves */
    WAY_TARGET,    /* by expected wait, within the response target */
    WAY_BUDGET,    /* by expected wait, within the time budget */
    WAY_OVERLOAD,  /* as WAY_BUDGET, with shares */
};

static const char *const way_names[] = {"none", "threshold", "target",
                                        "budget", "overload"};

/** struct load - who asks how much
 * @times_capacity: flows of all callers, in multiples of the capacity
 * @sources: addresses that share these evenly
 * @heavy_times_capacity: flows of one more address
 * @in_endpoints: requests wait in the endpoints, which run them in order of
 *     arrival and can't tell whose caller has left
 */
struct load {
    double times_capacity;
    unsigned sources;
    double heavy_times_capacity;
    bool in_endpoints;
};

/** enum step - where a caller is */
enum step { STEP_AWAY, STEP_QUEUED, STEP_RUNNING, STEP_DONE };

struct caller {
    enum step step;
    uint32_t address;
    unsigned priority;
    unsigned agent;
    unsigned tries;
    unsigned begun_ms;
    unsigned next_ms;
    unsigned answered_ms;
};

/** struct fixture - a service, its callers and the balancer's decisions */
struct fixture {
    enum way way;
    bool in_endpoints;
    struct overload overload;
    struct pressure_report reports[AGENTS];
    struct caller callers[CALLERS_MAX];
    unsigned count;
    unsigned first;
    unsigned running[SLOTS_ALL];
    unsigned ends_ms[SLOTS_ALL];
    unsigned queued[AGENTS];
    unsigned in_time[AGENTS];
    unsigned now_ms;
    double level;
    unsigned idle_refusals;
    unsigned refusals;
};

/** struct outcome - what callers got, by priority; or the heavy address and
 * the others */
struct outcome {
    unsigned asked[2];
    unsigned in_target[2];
    unsigned in_budget[2];
};

#define HEAVY_ADDRESS 0x0a000001
#define OTHERS_NET 0x14000000

static uint64_t
now_us(const struct fixture *fixture)
{
    return fixture->now_ms * USEC_PER_MSEC;
}

static unsigned
busy_slots(const struct fixture *fixture, unsigned agent)
{
    unsigned busy = 0;

    for (unsigned i = agent * SLOTS; i < (agent + 1) * SLOTS; i++) {
        busy += fixture->ends_ms[i] > fixture->now_ms;
    }
    return busy;
}

static bool
can_be_in_time(const struct fixture *fixture, const struct caller *caller)
{
    return fixture->now_ms + SERVICE_MS <= caller->begun_ms + TARGET_MS;
}

/* Late requests let new ones go first: they don't count. */
static void
count_in_time(struct fixture *fixture)
{
    memset(fixture->in_time, 0, sizeof(fixture->in_time));
    for (unsigned i = fixture->first; i < fixture->count; i++) {
        const struct caller *caller = &fixture->callers[i];

        fixture->in_time[caller->agent] +=
            caller->step == STEP_QUEUED &&
            (fixture->in_endpoints || can_be_in_time(fixture, caller));
    }
}

/* Until a slot is free for a new request, after those that wait. */
static unsigned
wait_at(const struct fixture *fixture, unsigned agent)
{
    unsigned free_ms[SLOTS];
    unsigned first = 0;

    for (unsigned i = 0; i < SLOTS; i++) {
        unsigned end_ms = fixture->ends_ms[agent * SLOTS + i];

        free_ms[i] = MAX(end_ms, fixture->now_ms) - fixture->now_ms;
    }
    for (unsigned waiting = 0; waiting <= fixture->in_time[agent]; waiting++) {
        free_ms[first] += waiting > 0 ? SERVICE_MS : 0;
        first = 0;
        for (unsigned i = 1; i < SLOTS; i++) {
            first = free_ms[i] < free_ms[first] ? i : first;
        }
    }
    return free_ms[first];
}

/* Agents report with their reply to a SYN. */
static void
report(struct fixture *fixture)
{
    count_in_time(fixture);
    for (unsigned i = 0; i < AGENTS; i++) {
        unsigned waiting = fixture->in_time[i];
        unsigned busy = busy_slots(fixture, i) + waiting;
        struct frame_health health = {
            .busy = (uint8_t)MIN(busy, UINT8_MAX),
            .slots = SLOTS,
            .load = {.known = true,
                     .service_time = SERVICE_MS * 10,
                     .limit = SLOTS,
                     .wait_ms = (uint16_t)wait_at(fixture, i)},
        };

        if (fixture->reports[i].sent > 0) {
            pressure_report_update(&fixture->reports[i], &health,
                                   now_us(fixture));
        }
    }
}

static struct pressure
pressure_now(const struct fixture *fixture)
{
    struct pressure pressure;

    pressure_init(&pressure);
    for (unsigned i = 0; i < AGENTS; i++) {
        pressure_add(&pressure, &fixture->reports[i], PRESSURE_WITHIN,
                     now_us(fixture));
    }
    return pressure;
}

/* Moves the threshold: down by 5 % of the callers while requests wait for
 * longer than 20 ms, up by 1 % otherwise. */
static void
move_threshold(struct fixture *fixture)
{
    struct pressure pressure = pressure_now(fixture);

    fixture->level += pressure.wait_ms > 20 ? -0.05 : 0.01;
    fixture->level = CLAMP(fixture->level, 0.01, 1);
}

static bool
passes_threshold(const struct fixture *fixture, const struct caller *caller)
{
    double at =
        (double)((unsigned)(caller - fixture->callers) * 7919 % 128) / 128;

    at = caller->priority == 0
             ? at * URGENT_PERCENT / 100
             : (URGENT_PERCENT + at * (100 - URGENT_PERCENT)) / 100;
    return at < fixture->level;
}

static bool
admits(struct fixture *fixture, const struct caller *caller)
{
    struct pressure pressure = pressure_now(fixture);
    struct overload_flow flow = {
        .control = {1, (uint8_t)caller->priority,
                    fixture->way == WAY_TARGET ? TARGET_MS / 2 : BUDGET_MS},
        .target_ms = TARGET_MS,
        .caller = caller->address,
    };

    switch (fixture->way) {
    case WAY_NONE:
        return true;
    case WAY_THRESHOLD:
        return passes_threshold(fixture, caller);
    case WAY_OVERLOAD:
        return overload_decide(&fixture->overload, &flow, &pressure,
                               now_us(fixture)) == OVERLOAD_ADMIT;
    default:
        return admission_control_decide(
                   &fixture->overload.control, &flow.control, &pressure,
                   now_us(fixture)) == ADMISSION_CONTROL_ADMIT;
    }
}

static unsigned
least_queued(const struct fixture *fixture)
{
    unsigned best = 0;

    for (unsigned i = 1; i < AGENTS; i++) {
        if (fixture->queued[i] + busy_slots(fixture, i) <
            fixture->queued[best] + busy_slots(fixture, best)) {
            best = i;
        }
    }
    return best;
}

static void
refuse(struct fixture *fixture, struct caller *caller)
{
    bool idle = false;

    for (unsigned i = 0; i < AGENTS; i++) {
        idle |= busy_slots(fixture, i) + fixture->queued[i] < SLOTS;
    }
    fixture->refusals++;
    fixture->idle_refusals += idle;
    caller->tries++;
    caller->next_ms = fixture->now_ms + RETRY_MS;
    if (caller->tries == TRIES) {
        caller->step = STEP_DONE;
    }
}

static void
try_to_open(struct fixture *fixture, struct caller *caller)
{
    if (!admits(fixture, caller)) {
        refuse(fixture, caller);
        return;
    }
    caller->step = STEP_QUEUED;
    caller->agent = least_queued(fixture);
    fixture->queued[caller->agent]++;
    pressure_report_sent(&fixture->reports[caller->agent]);
}

static bool
goes_before(const struct fixture *fixture, const struct caller *a,
            const struct caller *b)
{
    bool a_in_time = can_be_in_time(fixture, a);
    bool b_in_time = can_be_in_time(fixture, b);

    if (fixture->in_endpoints) {
        return a->next_ms < b->next_ms;
    }
    if (a_in_time != b_in_time) {
        return a_in_time;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    return a_in_time ? a->begun_ms > b->begun_ms : a->begun_ms < b->begun_ms;
}

static void
fill_slot(struct fixture *fixture, unsigned slot)
{
    struct caller *best = NULL;

    for (unsigned i = fixture->first; i < fixture->count; i++) {
        struct caller *caller = &fixture->callers[i];

        if (caller->step == STEP_QUEUED && caller->agent == slot / SLOTS &&
            (best == NULL || goes_before(fixture, caller, best))) {
            best = caller;
        }
    }
    if (best == NULL) {
        return;
    }
    best->step = STEP_RUNNING;
    best->answered_ms = fixture->now_ms + SERVICE_MS;
    fixture->queued[best->agent]--;
    fixture->ends_ms[slot] = best->answered_ms;
}

static void
fill_slots(struct fixture *fixture)
{
    for (unsigned slot = 0; slot < SLOTS_ALL; slot++) {
        if (fixture->ends_ms[slot] <= fixture->now_ms) {
            fill_slot(fixture, slot);
        }
    }
}

static void
step_callers(struct fixture *fixture)
{
    for (unsigned i = fixture->first; i < fixture->count; i++) {
        struct caller *caller = &fixture->callers[i];
        bool expired =
            fixture->now_ms + SERVICE_MS > caller->begun_ms + BUDGET_MS;

        if (caller->step == STEP_QUEUED && expired && !fixture->in_endpoints) {
            fixture->queued[caller->agent]--;
            caller->step = STEP_DONE;
        }
        else if (caller->step == STEP_AWAY &&
                 fixture->now_ms >= caller->next_ms) {
            try_to_open(fixture, caller);
        }
    }
    while (fixture->first < fixture->count &&
           fixture->callers[fixture->first].step >= STEP_RUNNING) {
        fixture->first++;
    }
}

static void
arrive(struct fixture *fixture, uint32_t address)
{
    struct caller *caller = &fixture->callers[fixture->count];

    *caller = (struct caller){
        .address = address,
        .priority = fixture->count * 37 % 100 >= URGENT_PERCENT,
        .begun_ms = fixture->now_ms,
        .next_ms = fixture->now_ms,
    };
    fixture->count++;
}

static void
step(struct fixture *fixture)
{
    if (fixture->now_ms % 100 == 0) {
        move_threshold(fixture);
    }
    admission_control_tick(&fixture->overload.control, now_us(fixture));
    fill_slots(fixture);
    step_callers(fixture);
    fill_slots(fixture);
    report(fixture);
    fixture->now_ms++;
}

static void
outcome_add(struct outcome *outcome, unsigned kind,
            const struct caller *caller)
{
    unsigned took_ms = caller->answered_ms - caller->begun_ms;

    outcome->asked[kind]++;
    if (caller->answered_ms != 0) {
        outcome->in_target[kind] += took_ms <= TARGET_MS;
        outcome->in_budget[kind] += took_ms <= BUDGET_MS;
    }
}

/* What each priority got. */
static struct outcome
by_priority(const struct fixture *fixture)
{
    struct outcome outcome = {0};

    for (unsigned i = 0; i < fixture->count; i++) {
        outcome_add(&outcome, fixture->callers[i].priority,
                    &fixture->callers[i]);
    }
    return outcome;
}

/* What the heavy address and the others got. */
static struct outcome
by_address(const struct fixture *fixture)
{
    struct outcome outcome = {0};

    for (unsigned i = 0; i < fixture->count; i++) {
        outcome_add(&outcome, fixture->callers[i].address != HEAVY_ADDRESS,
                    &fixture->callers[i]);
    }
    return outcome;
}

static void
print(const char *of, const struct outcome *outcome, unsigned kind)
{
    g_test_message("  %-8s asked %5u, in time %5u, answered %5u", of,
                   outcome->asked[kind], outcome->in_target[kind],
                   outcome->in_budget[kind]);
}

static void
print_outcome(const struct fixture *fixture, const struct load *load)
{
    struct outcome priorities = by_priority(fixture);
    struct outcome addresses = by_address(fixture);

    g_test_message("%s at %.2f + %.2f: %u refusals, %u with a free slot",
                   way_names[fixture->way], load->times_capacity,
                   load->heavy_times_capacity, fixture->refusals,
                   fixture->idle_refusals);
    print("urgent", &priorities, 0);
    print("ordinary", &priorities, 1);
    if (load->heavy_times_capacity > 0) {
        print("heavy", &addresses, 0);
        print("others", &addresses, 1);
    }
}

static void
arrive_due(struct fixture *fixture, const struct load *load, unsigned ms)
{
    unsigned per_s = CAPACITY_PER_S;
    double per_ms = per_s / 1000.0;
    unsigned others = (unsigned)(load->times_capacity * per_ms * (ms + 1)) -
                      (unsigned)(load->times_capacity * per_ms * ms);
    unsigned heavy =
        (unsigned)(load->heavy_times_capacity * per_ms * (ms + 1)) -
        (unsigned)(load->heavy_times_capacity * per_ms * ms);

    for (; others > 0; others--) {
        arrive(fixture, OTHERS_NET + fixture->count % load->sources);
    }
    for (; heavy > 0; heavy--) {
        arrive(fixture, HEAVY_ADDRESS);
    }
}

static void
run(struct fixture *fixture, enum way way, const struct load *load)
{
    *fixture = (struct fixture){
        .way = way,
        .in_endpoints = load->in_endpoints,
        .now_ms = START_MS,
        .level = 1,
    };
    overload_init(&fixture->overload, 1, 32,
                  now_us(fixture) - 2 * USEC_PER_SEC);
    fixture->overload.control.last_us = now_us(fixture);
    for (unsigned ms = 0; ms < LOAD_MS + DRAIN_MS; ms++) {
        if (ms < LOAD_MS) {
            arrive_due(fixture, load, ms);
        }
        step(fixture);
    }
    print_outcome(fixture, load);
}

static unsigned
answered(const struct fixture *fixture)
{
    struct outcome outcome = by_priority(fixture);

    return outcome.in_budget[0] + outcome.in_budget[1];
}

static unsigned
in_time(const struct fixture *fixture)
{
    struct outcome outcome = by_priority(fixture);

    return outcome.in_target[0] + outcome.in_target[1];
}

TEST(goodput_at_2_4_and_8_times_capacity_stays_above_0_95)
{
    static struct fixture fixture;
    struct load load = {1, 1000, 0, false};
    unsigned full_answered;
    unsigned full_in_time;

    run(&fixture, WAY_OVERLOAD, &load);
    full_answered = answered(&fixture);
    full_in_time = in_time(&fixture);
    for (load.times_capacity = 2; load.times_capacity <= 8;
         load.times_capacity *= 2) {
        run(&fixture, WAY_OVERLOAD, &load);
        g_assert_cmpfloat(answered(&fixture), >=, 0.95 * full_answered);
        g_assert_cmpfloat(in_time(&fixture), >=, 0.95 * full_in_time);
        g_assert_cmpuint(fixture.idle_refusals, ==, 0);
    }
}

TEST(at_1_to_8_times_capacity_callers_get_no_less_than_by_other_ways)
{
    static struct fixture fixture;
    struct load load = {1, 1000, 0, false};

    for (; load.times_capacity <= 8; load.times_capacity *= 2) {
        unsigned budget_answered;
        unsigned budget_in_time;

        run(&fixture, WAY_BUDGET, &load);
        budget_answered = answered(&fixture);
        budget_in_time = in_time(&fixture);
        for (enum way way = WAY_NONE; way < WAY_BUDGET; way++) {
            run(&fixture, way, &load);
            g_assert_cmpfloat(budget_answered, >=, 0.99 * answered(&fixture));
            g_assert_cmpfloat(budget_in_time, >=, 0.99 * in_time(&fixture));
        }
    }
}

TEST(with_crowds_that_wait_in_the_endpoints_refusals_keep_goodput)
{
    static struct fixture fixture;
    struct load load = {1, 1000, 0, true};
    unsigned full;

    run(&fixture, WAY_OVERLOAD, &load);
    full = answered(&fixture);
    for (load.times_capacity = 2; load.times_capacity <= 8;
         load.times_capacity *= 2) {
        run(&fixture, WAY_NONE, &load);
        run(&fixture, WAY_OVERLOAD, &load);
        g_assert_cmpfloat(answered(&fixture), >=, 0.95 * full);
        g_assert_cmpuint(fixture.idle_refusals, ==, 0);
    }
}

TEST(at_0_98_to_1_02_of_capacity_the_threshold_does_not_move)
{
    static struct fixture fixture;

    for (unsigned percent = 98; percent <= 102; percent++) {
        struct load load = {percent / 100.0, 1000, 0, false};
        const struct admission_control_service *service;

        run(&fixture, WAY_OVERLOAD, &load);
        service = admission_control_find(&fixture.overload.control, 1);
        g_assert_cmpuint(service->changes, ==, 0);
        g_assert_cmpuint(fixture.refusals, ==, 0);
    }
}

TEST(with_one_address_at_10_times_its_rate_the_others_keep_what_they_get)
{
    static struct fixture fixture;
    struct load quiet = {0.5, 100, 0.4, false};
    struct load crowded = {0.5, 100, 4, false};
    struct outcome before;
    struct outcome after;

    run(&fixture, WAY_OVERLOAD, &quiet);
    before = by_address(&fixture);
    run(&fixture, WAY_NONE, &crowded);
    run(&fixture, WAY_OVERLOAD, &crowded);
    after = by_address(&fixture);
    g_assert_cmpfloat(after.in_budget[1], >=, 0.99 * before.in_budget[1]);
    g_assert_cmpfloat(after.in_target[1], >=, 0.99 * before.in_target[1]);
    g_assert_cmpuint(fixture.idle_refusals, ==, 0);
}
