/* Flows of dead owners must be probed, under random faults, and no others. */
#include "model.h"
#include "lib/harness.h"

#define SUITE "/orphans/property"

static const guint32 seeds[] = {1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 233};

static void
run(const struct model_config *config, guint32 seed)
{
    struct model_result result = model_run(config, seed);

    g_test_message(
        "seed %u: opened %" G_GUINT64_FORMAT ", deaths %" G_GUINT64_FORMAT
        ", probes due %" G_GUINT64_FORMAT ", probes %" G_GUINT64_FORMAT
        ", messages %" G_GUINT64_FORMAT,
        seed, result.opened, result.deaths, result.probes_due, result.probes,
        result.messages);
    if (result.failure != NULL) {
        g_test_message("seed %u failed at %" G_GUINT64_FORMAT " ms: %s", seed,
                       result.at_ms, result.failure);
        g_test_fail();
        g_free(result.failure);
        return;
    }
    /* Ensures that the run had probes to check. */
    g_assert_cmpuint(result.probes_due, >, 100);
}

TEST(nine_agents)
{
    static const struct model_config config = {.agents = 9, .cycles = 3};

    for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++) {
        run(&config, seeds[i]);
    }
}

/* The smallest number of agents that each have two backups. */
TEST(three_agents)
{
    static const struct model_config config = {.agents = 3, .cycles = 4};

    for (size_t i = 0; i < G_N_ELEMENTS(seeds); i++) {
        run(&config, seeds[i]);
    }
}

/* The model detects flows that are never probed. */
TEST(lost_messages_are_detected)
{
    static const struct model_config config = {
        .agents = 9, .cycles = 1, .drop_messages = TRUE};
    struct model_result result = model_run(&config, 1);

    g_assert_cmpstr(result.failure, ==,
                    "a flow of a dead owner was not probed");
    g_free(result.failure);
}
