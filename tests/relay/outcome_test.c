#include "base/clock.h"
#include "lib/harness.h"
#include "relay/admission/outcome.h"

#define SUITE "/relay/outcome"

static struct outcome
outcome_after(unsigned resets, unsigned answers)
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

TEST(three_resets_in_a_row_are_failing)
{
    struct outcome two = outcome_after(2, 0);
    struct outcome three = outcome_after(3, 0);
    struct outcome well_again = outcome_after(30, 10);

    g_assert_false(outcome_is_failing(&two, USEC_PER_SEC));
    g_assert_true(outcome_is_failing(&three, USEC_PER_SEC));
    g_assert_false(outcome_is_failing(&well_again, USEC_PER_SEC));
}

TEST(two_resets_of_five_are_failing_one_of_ten_is_not)
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

TEST(an_endpoint_without_requests_is_tried_again)
{
    struct outcome outcome = outcome_after(20, 0);

    g_assert_true(outcome_is_failing(&outcome, 2 * USEC_PER_SEC));
    g_assert_false(outcome_is_failing(&outcome, 5 * USEC_PER_SEC));
    g_assert_false(outcome_is_failing(&outcome, 5000 * USEC_PER_SEC));
}
