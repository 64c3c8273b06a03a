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
is_evacuated(const struct store_state *state, const char *data_centre)
{
    return store_state_is_evacuated(state, evacuations_key(data_centre));
}

TEST(higher_revision_is_adopted)
{
    struct store_state known = {0};
    struct evacuations newer = evacuations_at(7, "north");
    struct evacuations older = evacuations_at(5, NULL);

    g_assert_true(store_state_update(&known, &newer, NOW_US));
    g_assert_true(is_evacuated(&known, "north"));
    g_assert_false(store_state_update(&known, &older, NOW_US));
    g_assert_true(is_evacuated(&known, "north"));
    g_assert_cmpuint(known.latest.revision, ==, 7);
}

TEST(end_of_an_evacuation_is_adopted_by_revision)
{
    struct store_state known = {.latest = evacuations_at(7, "north")};
    struct evacuations ended = evacuations_at(9, NULL);
    struct evacuations stale = evacuations_at(8, "north");

    g_assert_true(store_state_update(&known, &ended, NOW_US));
    g_assert_false(store_state_update(&known, &stale, NOW_US));
    g_assert_false(is_evacuated(&known, "north"));
}

TEST(same_set_at_a_newer_revision_is_no_change)
{
    struct store_state known = {.latest = evacuations_at(7, "north")};
    struct evacuations same = evacuations_at(12, "north");

    g_assert_false(store_state_update(&known, &same, NOW_US));
    g_assert_cmpuint(known.latest.revision, ==, 12);
}

TEST(replaced_data_centre_is_a_change)
{
    struct store_state known = {.latest = evacuations_at(7, "north")};
    struct evacuations other = evacuations_at(8, "south");

    g_assert_true(store_state_update(&known, &other, NOW_US));
    g_assert_false(is_evacuated(&known, "north"));
    g_assert_true(is_evacuated(&known, "south"));
}

/* Revisions of different epochs can't be compared: they repeat after a
 * rollback. */
TEST(a_later_epoch_wins_over_a_higher_revision)
{
    struct store_state known = {.latest = evacuations_at_epoch(1, 90, NULL)};
    struct evacuations later = evacuations_at_epoch(2, 40, "south");
    struct evacuations stale = evacuations_at_epoch(1, 95, NULL);

    g_assert_true(store_state_update(&known, &later, NOW_US));
    g_assert_true(is_evacuated(&known, "south"));
    g_assert_false(store_state_update(&known, &stale, NOW_US));
    g_assert_true(is_evacuated(&known, "south"));
}

TEST(evacuations_of_the_previous_epoch_expire)
{
    struct store_state known = {.latest =
                                    evacuations_at_epoch(1, 90, "north")};
    struct evacuations lost = evacuations_at_epoch(2, 40, NULL);

    g_assert_true(store_state_update(&known, &lost, NOW_US));
    g_assert_true(is_evacuated(&known, "north"));
    g_assert_cmpuint(known.latest.count, ==, 0);
    g_assert_false(store_state_tick(&known, NOW_US + 9 * USEC_PER_SEC));
    g_assert_true(is_evacuated(&known, "north"));
    g_assert_cmpuint(store_state_next_us(&known), <=,
                     NOW_US + 11 * USEC_PER_SEC);
    g_assert_true(store_state_tick(&known, NOW_US + 11 * USEC_PER_SEC));
    g_assert_false(is_evacuated(&known, "north"));
    g_assert_cmpuint(store_state_next_us(&known), ==, UINT64_MAX);
}

TEST(evacuations_written_again_remain)
{
    struct store_state known = {.latest =
                                    evacuations_at_epoch(1, 90, "north")};
    struct evacuations lost = evacuations_at_epoch(2, 40, NULL);
    struct evacuations again = evacuations_at_epoch(2, 44, "north");

    store_state_update(&known, &lost, NOW_US);
    store_state_update(&known, &again, NOW_US + USEC_PER_SEC);
    store_state_tick(&known, NOW_US + 11 * USEC_PER_SEC);
    g_assert_true(is_evacuated(&known, "north"));
}

TEST(two_rollbacks_in_a_row_keep_all_evacuations)
{
    struct store_state known = {.latest =
                                    evacuations_at_epoch(1, 90, "north")};
    struct evacuations second = evacuations_at_epoch(2, 40, "south");
    struct evacuations third = evacuations_at_epoch(3, 38, NULL);

    store_state_update(&known, &second, NOW_US);
    store_state_update(&known, &third, NOW_US + 9 * USEC_PER_SEC);
    store_state_tick(&known, NOW_US + 11 * USEC_PER_SEC);
    g_assert_true(is_evacuated(&known, "north"));
    g_assert_true(is_evacuated(&known, "south"));
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
    /* A host that has a recovery time doesn't extend it. */
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
