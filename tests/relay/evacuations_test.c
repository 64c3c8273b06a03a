#include "lib/harness.h"
#include "relay/wire/evacuations.h"

#define SUITE "/relay/evacuations"

static struct evacuations
as_of(uint64_t revision, const char *data_centre)
{
    struct evacuations evacuations = {.revision = revision};

    if (data_centre != NULL) {
        evacuations_add(&evacuations, evacuations_key(data_centre));
    }
    return evacuations;
}

static bool
has(const struct evacuations *evacuations, const char *data_centre)
{
    return evacuations_has(evacuations, evacuations_key(data_centre));
}

TEST(the_state_of_the_higher_revision_is_taken)
{
    struct evacuations known = {0};
    struct evacuations newer = as_of(7, "north");
    struct evacuations older = as_of(5, NULL);

    g_assert_true(evacuations_take(&known, &newer));
    g_assert_true(has(&known, "north"));
    g_assert_false(evacuations_take(&known, &older));
    g_assert_true(has(&known, "north"));
    g_assert_cmpuint(known.revision, ==, 7);
}

TEST(the_end_of_an_evacuation_is_taken_by_its_revision)
{
    struct evacuations known = as_of(7, "north");
    struct evacuations ended = as_of(9, NULL);
    struct evacuations late = as_of(8, "north");

    g_assert_true(evacuations_take(&known, &ended));
    g_assert_false(evacuations_take(&known, &late));
    g_assert_false(has(&known, "north"));
}

TEST(the_same_set_at_a_newer_revision_is_no_change)
{
    struct evacuations known = as_of(7, "north");
    struct evacuations same = as_of(12, "north");

    g_assert_false(evacuations_take(&known, &same));
    g_assert_cmpuint(known.revision, ==, 12);
}

TEST(another_data_centre_instead_is_a_change)
{
    struct evacuations known = as_of(7, "north");
    struct evacuations other = as_of(8, "south");

    g_assert_true(evacuations_take(&known, &other));
    g_assert_false(has(&known, "north"));
    g_assert_true(has(&known, "south"));
}

TEST(one_is_named_once_and_there_is_an_end_of_room)
{
    struct evacuations evacuations = {.revision = 1};

    for (unsigned i = 0; i < EVACUATIONS_MAX; i++) {
        g_assert_true(evacuations_add(&evacuations, i + 1));
        g_assert_true(evacuations_add(&evacuations, i + 1));
    }
    g_assert_cmpuint(evacuations.count, ==, EVACUATIONS_MAX);
    g_assert_false(evacuations_add(&evacuations, EVACUATIONS_MAX + 1));
    g_assert_true(evacuations_add(&evacuations, 1));
}
