/* Runs the model with random events: no packet may reach an agent that is not
 * the owner, and no live flow may be reset. */
#include "lib/harness.h"
#include "model.h"

#define SUITE "/flow/property"
#define STEPS 2500
#define STRIDE 50
#ifndef SEEDS
#define SEEDS 24
#endif

/* The smallest number of steps that fails: tries from @first to @last in steps
 * of @stride. */
static unsigned
find_failing_steps(const struct model_config *config, guint32 seed,
                   unsigned first, unsigned last, unsigned stride)
{
    unsigned steps;

    for (steps = first; steps < last; steps += stride) {
        struct model_result result = model_run(config, seed, steps);

        g_free(result.failure);
        if (result.failure != NULL) {
            return steps;
        }
    }
    return last;
}

static void
report(const struct model_config *config, guint32 seed, unsigned failed)
{
    unsigned coarse = find_failing_steps(config, seed, STRIDE, failed, STRIDE);
    unsigned fine = find_failing_steps(
        config, seed, coarse < STRIDE ? 0 : coarse - STRIDE + 1, coarse, 1);
    struct model_result result = model_run(config, seed, fine);

    g_test_message("seed %u fails after %u steps: %s", seed, fine,
                   result.failure);
    g_free(result.failure);
    g_test_fail();
}

static void
run_seeds(const struct model_config *config, guint32 first, guint32 seeds)
{
    size_t established = 0;
    size_t resets = 0;
    guint32 seed;

    for (seed = first; seed < first + seeds; seed++) {
        struct model_result result = model_run(config, seed, STEPS);

        established += result.established;
        resets += result.resets;
        if (result.failure != NULL) {
            report(config, seed, result.step);
            g_free(result.failure);
            return;
        }
    }
    g_assert_cmpuint(established, >, seeds * 20);
    g_test_message("seeds %u..%u, %d steps each: %zu flows, %zu resets", first,
                   seed - 1, STEPS, established, resets);
}

#define PROPERTY(name, from, seeds, ...)                                      \
    TEST(name)                                                                \
    {                                                                         \
        static const struct model_config config = {__VA_ARGS__};              \
        run_seeds(&config, from, seeds);                                      \
    }

PROPERTY(planned, 1, SEEDS, .hosts = 10, .first = 7, .services = 1)
PROPERTY(planned_many, 1001, SEEDS / 8, .hosts = 120, .first = 8,
         .services = 1, .burst = TRUE)
PROPERTY(faults, 2001, SEEDS, .hosts = 10, .first = 7, .services = 1,
         .faults = TRUE)
PROPERTY(faults_services, 3001, SEEDS, .hosts = 20, .first = 14, .services = 2,
         .faults = TRUE)
