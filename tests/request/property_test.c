/* Checks the invariants of a cell under each fault and all together.
 * Prints a failing seed with its shortest failing prefix. */
#include "cell.h"

#define SEEDS 12
#define STEPS 600

struct suite {
    const char *name;
    enum engine_policy policy;
    struct cell_faults faults;
};

static char *
run_prefix(const struct suite *suite, guint32 seed, unsigned steps,
           unsigned *failed_at)
{
    struct cell cell;
    char *failure;

    cell_init(&cell, 2 + seed % (CELL_NODES_MAX - 1), suite->policy,
              suite->faults, seed);
    for (*failed_at = 0; *failed_at < steps && cell.failure == NULL;
         (*failed_at)++) {
        cell_step(&cell);
    }
    if (cell.failure == NULL) {
        cell_quiesce(&cell);
    }
    failure = g_strdup(cell.failure);
    cell_finish(&cell);
    return failure;
}

/* Looks for a shorter failing prefix, for failures that show only at the
 * end. */
static void
report(const struct suite *suite, guint32 seed, const char *failure,
       unsigned steps)
{
    unsigned shortest = steps;
    unsigned at;

    for (unsigned n = 1; n < steps; n++) {
        char *shorter = run_prefix(suite, seed, n, &at);

        if (shorter != NULL) {
            shortest = n;
            g_free(shorter);
            break;
        }
    }
    g_test_message("seed %u: %s; shortest failing prefix %u steps", seed,
                   failure, shortest);
    g_test_fail();
}

static void
test_suite(gconstpointer data)
{
    const struct suite *suite = data;

    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        unsigned at;
        char *failure = run_prefix(suite, seed, STEPS, &at);

        if (failure != NULL) {
            report(suite, seed, failure, at);
            g_free(failure);
            return;
        }
    }
    g_test_message("seeds 1..%d, %d steps each", SEEDS, STEPS);
}

#define ALL_FAULTS                                                            \
    {                                                                         \
        .lose = 20, .duplicate = 20, .slow = 30, .shed = 30, .unreached = 20, \
        .lose_run = 40, .crash = 10, .freeze = 10, .drain = 10, .cancel = 50  \
    }

static const struct suite suites[] = {
    {"no-faults", ENGINE_PULL, {0}},
    {"lost-messages", ENGINE_PULL, {.lose = 100}},
    {"duplicated-and-late", ENGINE_PULL, {.duplicate = 150, .slow = 150}},
    {"bad-upstreams",
     ENGINE_PULL,
     {.shed = 80, .unreached = 50, .lose_run = 100}},
    {"crashes", ENGINE_PULL, {.crash = 20}},
    {"freezes", ENGINE_PULL, {.freeze = 20, .slow = 50}},
    {"drains", ENGINE_PULL, {.drain = 50}},
    {"cancellations", ENGINE_PULL, {.cancel = 300, .slow = 50}},
    {"all/pull", ENGINE_PULL, ALL_FAULTS},
    {"all/local", ENGINE_LOCAL, ALL_FAULTS},
    {"all/two-choices", ENGINE_TWO_CHOICES, ALL_FAULTS},
    {"all/idle-queue", ENGINE_IDLE_QUEUE, ALL_FAULTS},
    {"all/probe", ENGINE_PROBE, ALL_FAULTS},
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(suites); i++) {
        char *path = g_strconcat("/request/property/", suites[i].name, NULL);

        g_test_add_data_func(path, &suites[i], test_suite);
        g_free(path);
    }
    return g_test_run();
}
