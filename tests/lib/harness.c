#include "lib/harness.h"

static struct harness_test *first;
static struct harness_test **end = &first;

void
harness_add(struct harness_test *test)
{
    *end = test;
    end = &test->next;
}

int
harness_run(void)
{
    g_assert_nonnull(first);
    for (const struct harness_test *test = first; test != NULL;
         test = test->next) {
        g_test_add_func(test->path, test->run);
    }
    return g_test_run();
}
