#include <string.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/forwarder/endpoint_level.h"

#define SUITE "/relay/endpoint_level"

#define MEMBERS_MAX 54
#define SLOTS 2
#define TYPICAL_US (20 * USEC_PER_MSEC)
#define STEP_US (100 * USEC_PER_MSEC)

/**
 * struct fixture - a service
 * @count: its endpoints
 * @levels: their levels
 * @reports: what they report
 * @now_us: the time
 */
struct fixture {
    unsigned count;
    struct endpoint_level levels[MEMBERS_MAX];
    struct endpoint_level_member reports[MEMBERS_MAX];
    uint64_t now_us;
};

static void
init(struct fixture *fixture, unsigned count)
{
    *fixture = (struct fixture){.count = count, .now_us = 100 * USEC_PER_SEC};
    for (unsigned i = 0; i < count; i++) {
        fixture->reports[i] = (struct endpoint_level_member){
            .level = &fixture->levels[i],
            .service_us = TYPICAL_US,
            .slots = SLOTS,
        };
    }
}

/* Updates the levels once a step for some time. */
static void
update_for(struct fixture *fixture, uint64_t time_us)
{
    for (uint64_t end_us = fixture->now_us + time_us;
         fixture->now_us < end_us;) {
        struct endpoint_level_member members[MEMBERS_MAX];

        fixture->now_us += STEP_US;
        memcpy(members, fixture->reports, sizeof(members));
        (void)endpoint_level_update(members, fixture->count, fixture->now_us);
    }
}

static void
set_service(struct fixture *fixture, unsigned first, unsigned count,
            uint64_t service_us)
{
    for (unsigned i = first; i < first + count; i++) {
        fixture->reports[i].service_us = service_us;
    }
}

static unsigned
count_of(const struct fixture *fixture, enum endpoint_level_kind kind)
{
    unsigned count = 0;

    for (unsigned i = 0; i < fixture->count; i++) {
        count += fixture->levels[i].kind == kind;
    }
    return count;
}

TEST(a_third_four_times_slower_is_reduced_and_returns_when_well)
{
    struct fixture fixture;

    init(&fixture, 54);
    set_service(&fixture, 10, 18, 4 * TYPICAL_US);
    update_for(&fixture, STEP_US);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_REDUCED), ==, 18);
    g_assert_cmpint(fixture.levels[10].cause, ==, ENDPOINT_LEVEL_SLOW);
    set_service(&fixture, 10, 18, TYPICAL_US);
    update_for(&fixture, USEC_PER_SEC);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_NORMAL), ==, 54);
}

TEST(a_quarter_eight_times_slower_is_reduced)
{
    struct fixture fixture;

    init(&fixture, 8);
    set_service(&fixture, 0, 2, 8 * TYPICAL_US);
    update_for(&fixture, STEP_US);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_REDUCED), ==, 2);
}

TEST(two_fifths_slower_sets_a_third_aside_the_worst_first)
{
    struct fixture fixture;

    init(&fixture, 15);
    set_service(&fixture, 0, 6, 4 * TYPICAL_US);
    set_service(&fixture, 0, 1, 8 * TYPICAL_US);
    update_for(&fixture, STEP_US);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_REDUCED), ==, 5);
    g_assert_cmpint(fixture.levels[0].kind, ==, ENDPOINT_LEVEL_REDUCED);
}

/* The first ones are well again, but not yet for long enough. */
TEST(a_third_that_gets_slow_after_another_leaves_a_third_below_normal)
{
    struct fixture fixture;

    init(&fixture, 54);
    set_service(&fixture, 0, 18, 4 * TYPICAL_US);
    update_for(&fixture, USEC_PER_SEC);
    set_service(&fixture, 0, 18, TYPICAL_US);
    set_service(&fixture, 18, 18, 4 * TYPICAL_US);
    update_for(&fixture, STEP_US);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_REDUCED), ==, 18);
    g_assert_cmpint(fixture.levels[0].kind, ==, ENDPOINT_LEVEL_NORMAL);
    g_assert_cmpint(fixture.levels[18].kind, ==, ENDPOINT_LEVEL_REDUCED);
}

TEST(all_slow_is_the_load_and_none_is_reduced)
{
    struct fixture fixture;

    init(&fixture, 54);
    set_service(&fixture, 0, 54, 8 * TYPICAL_US);
    update_for(&fixture, USEC_PER_SEC);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_NORMAL), ==, 54);
}

TEST(all_hang_and_none_is_set_aside)
{
    struct fixture fixture;

    init(&fixture, 7);
    for (unsigned i = 0; i < 7; i++) {
        fixture.reports[i].stuck = SLOTS;
    }
    update_for(&fixture, USEC_PER_SEC);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_NORMAL), ==, 7);
}

TEST(one_that_hangs_gets_a_trial_now_and_then)
{
    struct fixture fixture;
    struct endpoint_level *level = &fixture.levels[3];

    init(&fixture, 7);
    fixture.reports[3].stuck = SLOTS;
    update_for(&fixture, STEP_US);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_TRIAL), ==, 1);
    g_assert_cmpint(level->kind, ==, ENDPOINT_LEVEL_TRIAL);
    level->tried_us = fixture.now_us;
    g_assert_false(endpoint_level_trial_due(level, fixture.now_us));
    g_assert_true(
        endpoint_level_trial_due(level, fixture.now_us + USEC_PER_SEC));
}

TEST(one_stuck_request_of_four_slots_reduces)
{
    struct fixture fixture;

    init(&fixture, 7);
    fixture.reports[3].slots = 4;
    fixture.reports[3].stuck = 1;
    update_for(&fixture, STEP_US);
    g_assert_cmpint(fixture.levels[3].kind, ==, ENDPOINT_LEVEL_REDUCED);
}

TEST(one_that_rejects_while_others_dont_is_reduced)
{
    struct fixture fixture;

    init(&fixture, 7);
    fixture.reports[3].rejects = 300;
    update_for(&fixture, STEP_US);
    g_assert_cmpint(fixture.levels[3].kind, ==, ENDPOINT_LEVEL_REDUCED);
    g_assert_cmpint(fixture.levels[3].cause, ==, ENDPOINT_LEVEL_REJECTS);
    for (unsigned i = 0; i < 7; i++) {
        fixture.reports[i].rejects = 300;
    }
    update_for(&fixture, USEC_PER_SEC);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_NORMAL), ==, 7);
}

TEST(flapping_is_damped)
{
    struct fixture fixture;
    unsigned changes = 0;
    enum endpoint_level_kind last = ENDPOINT_LEVEL_NORMAL;

    init(&fixture, 7);
    for (unsigned i = 0; i < 60; i++) {
        set_service(&fixture, 0, 1, i % 2 ? TYPICAL_US : 4 * TYPICAL_US);
        update_for(&fixture, 500 * USEC_PER_MSEC);
        changes += fixture.levels[0].kind != last;
        last = fixture.levels[0].kind;
    }
    g_assert_cmpuint(changes, <=, 6);
    g_assert_cmpint(last, ==, ENDPOINT_LEVEL_REDUCED);
    set_service(&fixture, 0, 1, TYPICAL_US);
    update_for(&fixture, 10 * USEC_PER_SEC);
    g_assert_cmpint(fixture.levels[0].kind, ==, ENDPOINT_LEVEL_NORMAL);
}

TEST(between_one_and_a_half_and_twice_the_median_nothing_changes)
{
    struct fixture fixture;

    init(&fixture, 7);
    set_service(&fixture, 0, 1, TYPICAL_US * 19 / 10);
    update_for(&fixture, USEC_PER_SEC);
    g_assert_cmpint(fixture.levels[0].kind, ==, ENDPOINT_LEVEL_NORMAL);
    set_service(&fixture, 0, 1, 4 * TYPICAL_US);
    update_for(&fixture, STEP_US);
    set_service(&fixture, 0, 1, TYPICAL_US * 19 / 10);
    update_for(&fixture, USEC_PER_SEC);
    g_assert_cmpint(fixture.levels[0].kind, ==, ENDPOINT_LEVEL_REDUCED);
}

TEST(short_requests_differ_without_effect)
{
    struct fixture fixture;

    init(&fixture, 7);
    set_service(&fixture, 0, 7, USEC_PER_MSEC);
    set_service(&fixture, 0, 1, 8 * USEC_PER_MSEC);
    update_for(&fixture, STEP_US);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_NORMAL), ==, 7);
}

TEST(two_endpoints_are_never_compared)
{
    struct fixture fixture;

    init(&fixture, 2);
    set_service(&fixture, 0, 1, 8 * TYPICAL_US);
    update_for(&fixture, STEP_US);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_NORMAL), ==, 2);
}

TEST(endpoints_without_samples_are_normal)
{
    struct fixture fixture;

    init(&fixture, 7);
    set_service(&fixture, 0, 6, 0);
    set_service(&fixture, 6, 1, 8 * TYPICAL_US);
    update_for(&fixture, STEP_US);
    g_assert_cmpuint(count_of(&fixture, ENDPOINT_LEVEL_NORMAL), ==, 7);
}
