#include "lib/harness.h"
#include "relay/wire/evacuations.h"

#define SUITE "/relay/evacuations"

TEST(duplicates_and_overflow)
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
