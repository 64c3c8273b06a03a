#include <glib.h>

#include "model.h"

static const guint32 seeds[] = {1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 233};

static void
run(const struct model_config *config, guint32 seed)
{
    struct model_result result = model_run(config, seed);

    g_test_message("seed %u: opened %" G_GUINT64_FORMAT
                   ", deaths %" G_GUINT64_FORMAT ", owed %" G_GUINT64_FORMAT
                   ", probes %" G_GUINT64_FORMAT
                   ", messages %" G_GUINT64_FORMAT,
                   seed, result.opened, result.deaths, result.owed,
                   result.probes, result.messages);
    if (result.failure != NULL) {
        g_test_message("seed %u failed at %" G_GUINT64_FORMAT " ms: %s", seed,
                       result.at_ms, result.failure);
        g_test_fail();
        g_free(result.failure);
        return;
    }
    /* A run in which nothing was at stake proves nothing. */
    g_assert_cmpuint(result.owed, >, 100);
}

static void
test_cell(void)
{
    static const struct model_config config = {.agents = 9, .cycles = 3};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(seeds); i++) {
        run(&config, seeds[i]);
    }
}

/* As few as there can be: each is the other's backup. */
static void
test_pair(void)
{
    static const struct model_config config = {.agents = 3, .cycles = 4};
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(seeds); i++) {
        run(&config, seeds[i]);
    }
}

/* The check sees callers that are never told. */
static void
test_without_notices(void)
{
    static const struct model_config config = {
        .agents = 9, .cycles = 1, .deaf = TRUE};
    struct model_result result = model_run(&config, 1);

    g_assert_cmpstr(result.failure, ==,
                    "a flow of a dead owner was not probed");
    g_free(result.failure);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/notice/property/cell", test_cell);
    g_test_add_func("/notice/property/pair", test_pair);
    g_test_add_func("/notice/property/without-notices", test_without_notices);
    return g_test_run();
}
