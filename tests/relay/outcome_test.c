#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission/outcome.h"

#define SUITE "/relay/outcome"

static struct outcome
after(unsigned resets, unsigned answers)
{
    struct outcome outcome = {0};

    for (unsigned i = 0; i < resets; i++) {
        outcome_record(&outcome, true, USEC_PER_SEC);
    }
    for (unsigned i = 0; i < answers; i++) {
        outcome_record(&outcome, false, USEC_PER_SEC);
    }
    return outcome;
}

TEST(three_resets_in_a_row_make_a_failing_one)
{
    struct outcome two = after(2, 0);
    struct outcome three = after(3, 0);
    struct outcome well_again = after(30, 10);

    g_assert_false(outcome_is_failing(&two, USEC_PER_SEC));
    g_assert_true(outcome_is_failing(&three, USEC_PER_SEC));
    g_assert_false(outcome_is_failing(&well_again, USEC_PER_SEC));
}

TEST(two_of_five_are_too_many_one_of_ten_is_not)
{
    struct outcome outcome = {0};
    unsigned failing = 0;

    for (unsigned i = 0; i < 100; i++) {
        outcome_record(&outcome, i % 5 < 2, USEC_PER_SEC);
        failing += outcome_is_failing(&outcome, USEC_PER_SEC);
    }
    g_assert_cmpuint(failing, >=, 80);
    for (unsigned i = 0; i < 100; i++) {
        outcome_record(&outcome, i % 10 == 0, USEC_PER_SEC);
        g_assert_true(i < 20 || !outcome_is_failing(&outcome, USEC_PER_SEC));
    }
}

TEST(who_is_not_asked_is_tried_again)
{
    struct outcome outcome = after(20, 0);

    g_assert_true(outcome_is_failing(&outcome, 2 * USEC_PER_SEC));
    g_assert_false(outcome_is_failing(&outcome, 5 * USEC_PER_SEC));
    g_assert_false(outcome_is_failing(&outcome, 5000 * USEC_PER_SEC));
}
