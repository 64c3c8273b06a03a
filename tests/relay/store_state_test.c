#include "base/clock.h"
#include "lib/harness.h"
#include "relay/wire/store_state.h"

#define SUITE "/relay/store_state"
#define NOW_US (5 * USEC_PER_SEC)

static struct evacuations
as_of_era(uint32_t era, uint64_t revision, const char *data_centre)
{
    struct evacuations evacuations = {.era = era, .revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&evacuations, evacuations_key(data_centre));
    }
    return evacuations;
}

static struct evacuations
as_of(uint64_t revision, const char *data_centre)
{
    return as_of_era(1, revision, data_centre);
}

static bool
has(const struct store_state *state, const char *data_centre)
{
    return store_state_evacuated(state, evacuations_key(data_centre));
}

TEST(the_state_of_the_higher_revision_is_taken)
{
    struct store_state known = {0};
    struct evacuations newer = as_of(7, "north");
    struct evacuations older = as_of(5, NULL);

    g_assert_true(store_state_take(&known, &newer, NOW_US));
    g_assert_true(has(&known, "north"));
    g_assert_false(store_state_take(&known, &older, NOW_US));
    g_assert_true(has(&known, "north"));
    g_assert_cmpuint(known.told.revision, ==, 7);
}

TEST(the_end_of_an_evacuation_is_taken_by_its_revision)
{
    struct store_state known = {.told = as_of(7, "north")};
    struct evacuations ended = as_of(9, NULL);
    struct evacuations late = as_of(8, "north");

    g_assert_true(store_state_take(&known, &ended, NOW_US));
    g_assert_false(store_state_take(&known, &late, NOW_US));
    g_assert_false(has(&known, "north"));
}

TEST(the_same_set_at_a_newer_revision_is_no_change)
{
    struct store_state known = {.told = as_of(7, "north")};
    struct evacuations same = as_of(12, "north");

    g_assert_false(store_state_take(&known, &same, NOW_US));
    g_assert_cmpuint(known.told.revision, ==, 12);
}

TEST(another_data_centre_instead_is_a_change)
{
    struct store_state known = {.told = as_of(7, "north")};
    struct evacuations other = as_of(8, "south");

    g_assert_true(store_state_take(&known, &other, NOW_US));
    g_assert_false(has(&known, "north"));
    g_assert_true(has(&known, "south"));
}

/* Revisions of two eras say nothing of each other: they go back, and are given
 * out again. */
TEST(a_later_era_is_taken_though_its_revision_is_lower)
{
    struct store_state known = {.told = as_of_era(1, 90, NULL)};
    struct evacuations later = as_of_era(2, 40, "south");
    struct evacuations late = as_of_era(1, 95, NULL);

    g_assert_true(store_state_take(&known, &later, NOW_US));
    g_assert_true(has(&known, "south"));
    g_assert_false(store_state_take(&known, &late, NOW_US));
    g_assert_true(has(&known, "south"));
}

TEST(what_operators_wrote_stays_until_they_can_have_written_it_again)
{
    struct store_state known = {.told = as_of_era(1, 90, "north")};
    struct evacuations lost = as_of_era(2, 40, NULL);

    g_assert_true(store_state_take(&known, &lost, NOW_US));
    g_assert_true(has(&known, "north"));
    g_assert_cmpuint(known.told.count, ==, 0);
    g_assert_false(store_state_tick(&known, NOW_US + 9 * USEC_PER_SEC));
    g_assert_true(has(&known, "north"));
    g_assert_cmpuint(store_state_next_us(&known), <=,
                     NOW_US + 11 * USEC_PER_SEC);
    g_assert_true(store_state_tick(&known, NOW_US + 11 * USEC_PER_SEC));
    g_assert_false(has(&known, "north"));
    g_assert_cmpuint(store_state_next_us(&known), ==, UINT64_MAX);
}

TEST(what_is_written_again_stays_after_that)
{
    struct store_state known = {.told = as_of_era(1, 90, "north")};
    struct evacuations lost = as_of_era(2, 40, NULL);
    struct evacuations again = as_of_era(2, 44, "north");

    store_state_take(&known, &lost, NOW_US);
    store_state_take(&known, &again, NOW_US + USEC_PER_SEC);
    store_state_tick(&known, NOW_US + 11 * USEC_PER_SEC);
    g_assert_true(has(&known, "north"));
}

TEST(two_eras_in_a_row_lose_nothing)
{
    struct store_state known = {.told = as_of_era(1, 90, "north")};
    struct evacuations second = as_of_era(2, 40, "south");
    struct evacuations third = as_of_era(3, 38, NULL);

    store_state_take(&known, &second, NOW_US);
    store_state_take(&known, &third, NOW_US + 9 * USEC_PER_SEC);
    store_state_tick(&known, NOW_US + 11 * USEC_PER_SEC);
    g_assert_true(has(&known, "north"));
    g_assert_true(has(&known, "south"));
}

TEST(the_first_word_of_an_era_is_no_return)
{
    struct store_state known = {0};
    struct evacuations first = as_of_era(4, 40, NULL);

    store_state_take(&known, &first, NOW_US);
    g_assert_true(store_state_settled(&known, NOW_US));
}

TEST(a_list_is_whole_again_once_agents_had_time_to_write)
{
    struct store_state known = {.told = as_of_era(1, 90, NULL)};
    struct evacuations later = as_of_era(2, 40, NULL);

    g_assert_true(store_state_settled(&known, NOW_US));
    store_state_take(&known, &later, NOW_US);
    g_assert_false(store_state_settled(&known, NOW_US + 14 * USEC_PER_SEC));
    g_assert_true(store_state_settled(&known, NOW_US + 30 * USEC_PER_SEC));
}

TEST(who_has_started_since_is_told_for_how_long)
{
    struct store_state known = {.told = as_of_era(1, 90, NULL)};
    struct store_state started = {0};
    struct evacuations later = as_of_era(2, 40, NULL);

    store_state_take(&known, &later, NOW_US);
    store_state_tick(&known, NOW_US + 15 * USEC_PER_SEC);
    store_state_take(&started, &known.told, NOW_US);
    g_assert_false(store_state_settled(&started, NOW_US));
    g_assert_true(store_state_settled(&started, NOW_US + 6 * USEC_PER_SEC));
    /* It doesn't go query: each keeps its own word. */
    store_state_take(&known, &started.told, NOW_US + 19 * USEC_PER_SEC);
    g_assert_true(store_state_settled(&known, NOW_US + 21 * USEC_PER_SEC));
    store_state_tick(&started, NOW_US + 6 * USEC_PER_SEC);
    g_assert_cmpuint(started.told.unsettled_s, ==, 0);
}

TEST(a_host_that_tells_nonsense_of_it_is_believed_for_seconds_only)
{
    struct store_state known = {0};
    struct evacuations told = as_of_era(1, 40, NULL);

    told.unsettled_s = 255;
    store_state_take(&known, &told, NOW_US);
    g_assert_true(store_state_settled(&known, NOW_US + 21 * USEC_PER_SEC));
}
