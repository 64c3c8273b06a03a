/**
 * DOC: losses - effects of several deaths at once, and messages per key
 *
 * Prints two tables for docs/design-idempotency.md. The argument is the number
 * of seeds (default SEEDS). Exits with 1 if a key ran twice after at most one
 * death.
 */
#include <stdio.h>
#include <stdlib.h>

#include "idem/record.h"
#include "sim.h"

#define SEEDS 40
#define AGENTS 7
#define KEYS 12

/* Verdicts of retried requests. */
struct tally {
    unsigned retries;
    unsigned verdicts[IDEM_REFUSE + 1];
};

/* Starts requests and ends half of them, kills @deaths agents and retries each
 * key at a random live agent @after_us later. */
static void
run_trial(uint32_t seed, unsigned deaths, bool noticed, uint64_t after_us,
          unsigned loss_permille, struct tally *tally)
{
    struct sim_net net = {
        .delay_us = 20 * SIM_MSEC,
        .loss_permille = loss_permille,
        .skew_us = USEC_PER_SEC,
    };
    unsigned dead = 0;
    struct sim sim;

    sim_init(&sim, seed, net);
    sim_start_first(&sim, AGENTS, 30 * USEC_PER_SEC);
    for (unsigned key = 0; key < KEYS; key++) {
        uint64_t token = sim_begin(
            &sim, (unsigned)g_rand_int_range(sim.rand, 0, AGENTS), key);

        sim_advance(&sim, 700 * SIM_MSEC);
        if (key % 2 == 0) {
            sim_end(&sim, token, false, IDEM_DONE);
        }
    }
    while (dead < deaths) {
        unsigned node = (unsigned)g_rand_int_range(sim.rand, 0, AGENTS);

        dead += sim.nodes[node].up;
        sim_crash(&sim, node, noticed);
    }
    sim_advance(&sim, after_us);
    for (unsigned key = 0; key < KEYS; key++) {
        unsigned node = (unsigned)g_rand_int_range(sim.rand, 0, AGENTS);
        uint64_t token = 0;

        if (sim_runs(&sim, key) == 0) {
            continue;
        }
        while ((token = sim_begin(&sim, node, key)) == 0) {
            node = (node + 1) % AGENTS;
        }
        sim_advance(&sim, 2 * IDEM_RESERVE_TIMEOUT_US);
        tally->retries++;
        tally->verdicts[sim_request(&sim, token)->verdict]++;
    }
    sim_finish(&sim);
}

static unsigned
print_row(unsigned deaths, bool noticed, uint64_t after_us,
          unsigned loss_permille, uint32_t seeds)
{
    static const enum idem_action_type columns[] = {
        IDEM_REPLAY, IDEM_OUTCOME_UNKNOWN, IDEM_IN_PROGRESS, IDEM_REFUSE};
    struct tally tally = {0};

    for (uint32_t seed = 1; seed <= seeds; seed++) {
        run_trial(seed, deaths, noticed, after_us, loss_permille, &tally);
    }
    printf("# | %u | %s | %u | %u %% | %u |", deaths,
           noticed ? "at once" : "3 s", (unsigned)(after_us / USEC_PER_SEC),
           loss_permille / 10, tally.retries);
    for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
        printf(" %.2f |", 100.0 / tally.retries * tally.verdicts[columns[i]]);
    }
    printf(" %.3f |\n", 100.0 / tally.retries * tally.verdicts[IDEM_PROCEED]);
    return tally.verdicts[IDEM_PROCEED];
}

static unsigned
print_losses(uint32_t seeds)
{
    static const uint64_t after_us[] = {0, 2 * USEC_PER_SEC, 8 * USEC_PER_SEC,
                                        25 * USEC_PER_SEC, 70 * USEC_PER_SEC};
    static const unsigned losses[] = {0, 200};
    unsigned duplicates = 0;

    printf("# | deaths of 7 | noticed | retry after, s | messages lost | "
           "retries | replayed %% | unknown %% | in progress %% | "
           "refused %% | run again %% |\n");
    printf("# |---|---|---|---|---|---|---|---|---|---|\n");
    for (unsigned deaths = 0; deaths <= 4; deaths++) {
        for (size_t loss_permille = 0; loss_permille < G_N_ELEMENTS(losses);
             loss_permille++) {
            for (size_t i = 0; i < G_N_ELEMENTS(after_us); i++) {
                unsigned duplicate_runs =
                    print_row(deaths, i % 2 == 0, after_us[i],
                              losses[loss_permille], seeds);

                duplicates += deaths <= 1 ? duplicate_runs : 0;
            }
        }
    }
    return duplicates;
}

/* Prints the messages and bytes of a key without faults. */
static void
print_cost(unsigned agents)
{
    static const struct sim_net net = {.delay_us = 2 * SIM_MSEC};
    uint64_t messages;
    uint64_t bytes;
    struct sim sim;

    sim_init(&sim, 1, net);
    sim_start_first(&sim, agents, 30 * USEC_PER_SEC);
    messages = sim.messages;
    bytes = sim.bytes;
    for (unsigned key = 0; key < 200; key++) {
        uint64_t token = sim_begin(&sim, key % agents, key);

        sim_advance(&sim, 50 * SIM_MSEC);
        sim_end(&sim, token, false, IDEM_DONE);
        sim_advance(&sim, 50 * SIM_MSEC);
    }
    sim_advance(&sim, 10 * USEC_PER_SEC);
    printf("# | %u | %.2f | %.0f |\n", agents,
           (double)(sim.messages - messages) / 200,
           (double)(sim.bytes - bytes) / 200);
    sim_finish(&sim);
}

int
main(int argc, char **argv)
{
    uint32_t seeds = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : SEEDS;
    unsigned duplicates;

    printf("1..1\n# %u seeds from 1\n", seeds);
    duplicates = print_losses(seeds);
    printf("#\n# | agents | messages a key | bytes a key, answers of about "
           "35 bytes included |\n# |---|---|---|\n");
    for (unsigned agents = 1; agents <= SIM_NODES; agents++) {
        print_cost(agents);
    }
    printf("#\n# a record takes %zu bytes without its answer\n",
           sizeof(struct record) + 3 * sizeof(struct record *));
    printf("%s 1 no key runs again after one death\n",
           duplicates == 0 ? "ok" : "not ok");
    return duplicates == 0 ? 0 : 1;
}
