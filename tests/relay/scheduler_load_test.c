/* Loads on models of endpoints: what callers get with the scheduler and in
 * order of arrival. A rejected request counts as failed. */
#include <math.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/endpoint_model.h"
#include "relay/scheduler/scheduler.h"

#define SUITE "/relay/scheduler_load"

#define URGENT 0
#define ORDINARY 1
#define TARGET_US (200 * USEC_PER_MSEC)
#define TIMEOUT_US (1200 * USEC_PER_MSEC)
#define SERVICE_US (20 * USEC_PER_MSEC)
#define SLOTS 2
#define TAKES 10

/* Requests a second that an endpoint can run. */
#define CAPACITY (SLOTS * USEC_PER_SEC / SERVICE_US)

#define ENDPOINTS_MAX 3
#define REQUESTS_MAX 8192
#define START_US (100 * USEC_PER_SEC)

/**
 * struct phase - a part of a load
 * @for_ms: its duration
 * @urgent: urgent requests a second for each endpoint
 * @ordinary: ordinary ones
 * @slower: factor of the first endpoint's service time, all endpoints' if
 *     @all_slower
 * @all_slower: all endpoints are slower
 */
struct phase {
    unsigned for_ms;
    unsigned urgent;
    unsigned ordinary;
    unsigned slower;
    bool all_slower;
};

/**
 * struct outcome_count - what the callers of a priority got
 * @asked: requests
 * @in_time: answered in time
 * @late: answered later
 */
struct outcome_count {
    unsigned asked;
    unsigned in_time;
    unsigned late;
};

/** struct endpoint_case - an endpoint with its scheduler */
struct endpoint_case {
    struct endpoint_model model;
    struct scheduler scheduler;
};

/**
 * struct load - a run
 * @random: for the times of arrival
 * @scheduled: with the scheduler
 * @endpoints: the endpoints
 * @count: number of them
 * @now_us: the time
 * @began_us: when each request began
 * @given: how often each was given to an endpoint
 * @priority: each request's priority
 * @next: number of the next request
 * @results: by priority
 */
struct load {
    GRand *random;
    bool scheduled;
    struct endpoint_case endpoints[ENDPOINTS_MAX];
    unsigned count;
    uint64_t now_us;
    uint64_t began_us[REQUESTS_MAX];
    unsigned given[REQUESTS_MAX];
    uint8_t priority[REQUESTS_MAX];
    uint32_t next;
    struct outcome_count results[2];
};

static void
give(struct load *load, struct endpoint_case *at, uint32_t request)
{
    g_assert_cmpuint(++load->given[request], ==, 1);
    if (!endpoint_model_take(&at->model, request, load->now_us) &&
        load->scheduled) {
        g_assert_cmpint(
            scheduler_end(&at->scheduler, request, false, load->now_us), ==,
            SCHEDULER_REJECTED);
    }
}

static void
drain(struct load *load, struct endpoint_case *at)
{
    enum scheduler_reason reason;
    uint32_t request;

    while (load->scheduled &&
           (request = scheduler_next(&at->scheduler, load->now_us, &reason)) !=
               SCHEDULER_NONE) {
        give(load, at, request);
    }
}

static void
finish_request(struct load *load, struct endpoint_case *at)
{
    uint32_t request = endpoint_model_end(&at->model, load->now_us);
    uint64_t took_us = load->now_us - load->began_us[request];
    struct outcome_count *result = &load->results[load->priority[request]];

    result->in_time += took_us <= TARGET_US;
    result->late += took_us > TARGET_US && took_us <= TIMEOUT_US;
    if (load->scheduled) {
        scheduler_end(&at->scheduler, request, false, load->now_us);
    }
}

static uint64_t
next_event_us(const struct load *load, const struct endpoint_case *at)
{
    uint64_t end_us = endpoint_model_next_us(&at->model);

    return load->scheduled ? MIN(end_us, scheduler_next_us(&at->scheduler))
                           : end_us;
}

/* Lets the endpoints work until @until_us. */
static void
advance(struct load *load, uint64_t until_us)
{
    for (unsigned i = 0; i < load->count; i++) {
        struct endpoint_case *at = &load->endpoints[i];
        uint64_t next_us;

        while ((next_us = next_event_us(load, at)) <= until_us) {
            load->now_us = MAX(next_us, load->now_us);
            if (endpoint_model_next_us(&at->model) == next_us) {
                finish_request(load, at);
            }
            drain(load, at);
        }
        load->now_us = START_US;
    }
    load->now_us = until_us;
}

static void
begin(struct load *load, struct endpoint_case *at, uint8_t priority)
{
    uint32_t request = load->next++;
    struct scheduler_request asked = {
        .handle = request,
        .priority = priority,
        .target_us = load->now_us + TARGET_US,
        .abandon_us = load->now_us + TIMEOUT_US,
    };
    enum scheduler_reason reason;

    g_assert_cmpuint(request, <, REQUESTS_MAX);
    load->began_us[request] = load->now_us;
    load->priority[request] = priority;
    load->results[priority].asked++;
    if (!load->scheduled ||
        scheduler_begin(&at->scheduler, &asked, load->now_us, &reason)) {
        give(load, at, request);
    }
    drain(load, at);
}

static void
set_service(struct load *load, const struct phase *phase)
{
    for (unsigned i = 0; i < load->count; i++) {
        struct endpoint_case *at = &load->endpoints[i];

        at->model.service_us =
            SERVICE_US * (i == 0 || phase->all_slower ? phase->slower : 1);
        at->scheduler.service_us = at->model.service_us;
    }
}

/* Requests of both priorities come at random times. */
static void
run_phase(struct load *load, const struct phase *phase)
{
    uint64_t until_us = load->now_us + phase->for_ms * USEC_PER_MSEC;
    double per_s = (phase->urgent + phase->ordinary) * load->count;

    set_service(load, phase);
    for (;;) {
        double gap_s = -log(1 - g_rand_double(load->random)) / per_s;
        uint64_t next_us = load->now_us + (uint64_t)(gap_s * USEC_PER_SEC);
        bool urgent =
            g_rand_double(load->random) * per_s < phase->urgent * load->count;
        unsigned at =
            (unsigned)g_rand_int_range(load->random, 0, (int)load->count);

        if (next_us >= until_us) {
            break;
        }
        advance(load, next_us);
        begin(load, &load->endpoints[at], urgent ? URGENT : ORDINARY);
    }
    advance(load, until_us);
}

static void
run(struct load *load, bool scheduled, unsigned count,
    const struct phase *phases, unsigned phase_count)
{
    *load = (struct load){
        .scheduled = scheduled, .count = count, .now_us = START_US};
    load->random = g_rand_new_with_seed(7);
    for (unsigned i = 0; i < count; i++) {
        load->endpoints[i].model =
            (struct endpoint_model){.slots = SLOTS, .takes = TAKES};
        scheduler_init(&load->endpoints[i].scheduler, SLOTS);
    }
    for (unsigned i = 0; i < phase_count; i++) {
        run_phase(load, &phases[i]);
    }
    advance(load, load->now_us + 10 * USEC_PER_SEC);
    for (uint32_t i = 0; i < load->next; i++) {
        g_assert_cmpuint(load->given[i], ==, 1);
    }
    g_rand_free(load->random);
}

static void
report(const char *way, const struct load *load)
{
    for (unsigned i = 0; i < G_N_ELEMENTS(load->results); i++) {
        g_test_message("%s, %s: asked %u, in time %u, late %u", way,
                       i == URGENT ? "urgent" : "ordinary",
                       load->results[i].asked, load->results[i].in_time,
                       load->results[i].late);
    }
}

/* Compares both ways. Urgent requests are answered, all but @urgent_late per
 * mille in time; ordinary ones lose no more than the urgent ones win. */
static void
compare(unsigned count, const struct phase *phases, unsigned phase_count,
        unsigned urgent_late)
{
    struct load *with = g_new(struct load, 1);
    struct load *without = g_new(struct load, 1);
    const struct outcome_count *urgent = &with->results[URGENT];
    const struct outcome_count *before = without->results;

    run(with, true, count, phases, phase_count);
    run(without, false, count, phases, phase_count);
    report("scheduled", with);
    report("in order of arrival", without);
    g_assert_cmpuint(with->next, ==, without->next);
    g_assert_cmpuint(urgent->in_time + urgent->late, ==, urgent->asked);
    g_assert_cmpuint(urgent->late * 1000, <=, urgent->asked * urgent_late);
    g_assert_cmpuint(urgent->in_time, >=, before[URGENT].in_time);
    g_assert_cmpuint(with->results[ORDINARY].in_time + urgent->in_time +
                         urgent->late,
                     >=, before[ORDINARY].in_time + before[URGENT].in_time);
    g_free(with);
    g_free(without);
}

TEST(four_times_the_ordinary_kind_for_5_s)
{
    static const struct phase phases[] = {
        {2000, CAPACITY / 8, CAPACITY / 2, 1, false},
        {5000, CAPACITY / 8, CAPACITY * 2, 1, false},
        {2000, CAPACITY / 8, CAPACITY / 2, 1, false},
    };

    compare(1, phases, G_N_ELEMENTS(phases), 10);
}

TEST(a_burst_of_all)
{
    static const struct phase phases[] = {
        {1000, CAPACITY / 8, CAPACITY / 2, 1, false},
        {3000, CAPACITY / 3, CAPACITY * 3 / 2, 1, false},
        {1000, CAPACITY / 8, CAPACITY / 2, 1, false},
    };

    compare(1, phases, G_N_ELEMENTS(phases), 50);
}

/* The full queue of a cold endpoint alone takes the target of 200 ms. */
TEST(cold_endpoints_at_a_burst)
{
    static const struct phase phases[] = {
        {2000, CAPACITY / 8, CAPACITY * 2, 2, true},
        {2000, CAPACITY / 8, CAPACITY * 2, 1, false},
    };

    compare(1, phases, G_N_ELEMENTS(phases), 350);
}

TEST(a_wave_over_a_slow_third)
{
    static const struct phase phases[] = {
        {1000, CAPACITY / 16, CAPACITY / 2, 4, false},
        {2000, CAPACITY / 16, CAPACITY, 4, false},
        {1000, CAPACITY / 16, CAPACITY / 2, 4, false},
    };

    compare(3, phases, G_N_ELEMENTS(phases), 400);
}
