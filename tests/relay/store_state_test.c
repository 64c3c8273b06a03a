#include "base/clock.h"
#include "lib/harness.h"
#include "relay/wire/store_state.h"

#define SUITE "/relay/store_state"
#define NOW_US (5 * USEC_PER_SEC)

static struct evacuations
evacuations_at_epoch(uint32_t epoch, uint64_t revision,
                     const char *data_centre)
{
    struct evacuations evacuations = {.epoch = epoch, .revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&evacuations, evacuations_key(data_centre));
    }
    return evacuations;
}

static struct evacuations
evacuations_at(uint64_t revision, const char *data_centre)
{
    return evacuations_at_epoch(1, revision, data_centre);
}

static bool
has(const struct store_state *state, const char *data_centre)
{
    return store_state_is_evacuated(state, evacuations_key(data_centre));
}

TEST(the_state_of_the_higher_revision_is_taken)
{
    struct store_state known = {0};
    struct evacuations newer = evacuations_at(7, "north");
    struct evacuations older = evacuations_at(5, NULL);

    g_assert_true(store_state_update(&known, &newer, NOW_US));
    g_assert_true(has(&known, "north"));
    g_assert_false(store_state_update(&known, &older, NOW_US));
    g_assert_true(has(&known, "north"));
    g_assert_cmpuint(known.latest.revision, ==, 7);
}

TEST(the_end_of_an_evacuation_is_taken_by_its_revision)
{
    struct store_state known = {.latest = evacuations_at(7, "north")};
    struct evacuations ended = evacuations_at(9, NULL);
    struct evacuations late = evacuations_at(8, "north");

    g_assert_true(store_state_update(&known, &ended, NOW_US));
    g_assert_false(store_state_update(&known, &late, NOW_US));
    g_assert_false(has(&known, "north"));
}

TEST(the_same_set_at_a_newer_revision_is_no_change)
{
    struct store_state known = {.latest = evacuations_at(7, "north")};
    struct evacuations same = evacuations_at(12, "north");

    g_assert_false(store_state_update(&known, &same, NOW_US));
    g_assert_cmpuint(known.latest.revision, ==, 12);
}

TEST(another_data_centre_instead_is_a_change)
{
    struct store_state known = {.latest = evacuations_at(7, "north")};
    struct evacuations other = evacuations_at(8, "south");

    g_assert_true(store_state_update(&known, &other, NOW_US));
    g_assert_false(has(&known, "north"));
    g_assert_true(has(&known, "south"));
}

/* Revisions of two eras say nothing of each other: they go back, and are given
 * out again. */
TEST(a_later_epoch_wins_over_a_higher_revision)
{
    struct store_state known = {.latest = evacuations_at_epoch(1, 90, NULL)};
    struct evacuations later = evacuations_at_epoch(2, 40, "south");
    struct evacuations late = evacuations_at_epoch(1, 95, NULL);

    g_assert_true(store_state_update(&known, &later, NOW_US));
    g_assert_true(has(&known, "south"));
    g_assert_false(store_state_update(&known, &late, NOW_US));
    g_assert_true(has(&known, "south"));
}

TEST(what_operators_wrote_stays_until_they_can_have_written_it_again)
{
    struct store_state known = {.latest =
                                    evacuations_at_epoch(1, 90, "north")};
    struct evacuations lost = evacuations_at_epoch(2, 40, NULL);

    g_assert_true(store_state_update(&known, &lost, NOW_US));
    g_assert_true(has(&known, "north"));
    g_assert_cmpuint(known.latest.count, ==, 0);
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
    struct store_state known = {.latest =
                                    evacuations_at_epoch(1, 90, "north")};
    struct evacuations lost = evacuations_at_epoch(2, 40, NULL);
    struct evacuations again = evacuations_at_epoch(2, 44, "north");

    store_state_update(&known, &lost, NOW_US);
    store_state_update(&known, &again, NOW_US + USEC_PER_SEC);
    store_state_tick(&known, NOW_US + 11 * USEC_PER_SEC);
    g_assert_true(has(&known, "north"));
}

TEST(two_epochs_in_a_row_lose_nothing)
{
    struct store_state known = {.latest =
                                    evacuations_at_epoch(1, 90, "north")};
    struct evacuations second = evacuations_at_epoch(2, 40, "south");
    struct evacuations third = evacuations_at_epoch(3, 38, NULL);

    store_state_update(&known, &second, NOW_US);
    store_state_update(&known, &third, NOW_US + 9 * USEC_PER_SEC);
    store_state_tick(&known, NOW_US + 11 * USEC_PER_SEC);
    g_assert_true(has(&known, "north"));
    g_assert_true(has(&known, "south"));
}

TEST(the_first_epoch_is_no_rollback)
{
    struct store_state known = {0};
    struct evacuations first = evacuations_at_epoch(4, 40, NULL);

    store_state_update(&known, &first, NOW_US);
    g_assert_true(store_state_is_recovered(&known, NOW_US));
}

TEST(a_list_is_complete_after_recovery)
{
    struct store_state known = {.latest = evacuations_at_epoch(1, 90, NULL)};
    struct evacuations later = evacuations_at_epoch(2, 40, NULL);

    g_assert_true(store_state_is_recovered(&known, NOW_US));
    store_state_update(&known, &later, NOW_US);
    g_assert_false(
        store_state_is_recovered(&known, NOW_US + 14 * USEC_PER_SEC));
    g_assert_true(
        store_state_is_recovered(&known, NOW_US + 30 * USEC_PER_SEC));
}

TEST(a_new_host_learns_the_recovery_time)
{
    struct store_state known = {.latest = evacuations_at_epoch(1, 90, NULL)};
    struct store_state started = {0};
    struct evacuations later = evacuations_at_epoch(2, 40, NULL);

    store_state_update(&known, &later, NOW_US);
    store_state_tick(&known, NOW_US + 15 * USEC_PER_SEC);
    store_state_update(&started, &known.latest, NOW_US);
    g_assert_false(store_state_is_recovered(&started, NOW_US));
    g_assert_true(
        store_state_is_recovered(&started, NOW_US + 6 * USEC_PER_SEC));
    /* It doesn't go query: each keeps its own word. */
    store_state_update(&known, &started.latest, NOW_US + 19 * USEC_PER_SEC);
    g_assert_true(
        store_state_is_recovered(&known, NOW_US + 21 * USEC_PER_SEC));
    store_state_tick(&started, NOW_US + 6 * USEC_PER_SEC);
    g_assert_cmpuint(started.latest.recovery_s, ==, 0);
}

TEST(an_excessive_recovery_time_is_capped)
{
    struct store_state known = {0};
    struct evacuations latest = evacuations_at_epoch(1, 40, NULL);

    latest.recovery_s = 255;
    store_state_update(&known, &latest, NOW_US);
    g_assert_true(
        store_state_is_recovered(&known, NOW_US + 21 * USEC_PER_SEC));
}
