/**
 * DOC: model - simulates agents that replicate their flows to each other
 *
 * Drives src/orphans with seeded random events on a simulated clock: flows
 * open and close; agents die, freeze, restart, join and leave; messages are
 * delayed, lost, repeated and reordered; views lag and are wrong for a while.
 * Phases with and without faults alternate.
 *
 * Checks that each flow of a dead owner is probed if one of its backups should
 * have it, that only flows of dead owners are probed after a quiet phase, and
 * that the number of replicated flows is bounded.
 */
#ifndef SWIFTARCH_TESTS_ORPHANS_MODEL_H
#define SWIFTARCH_TESTS_ORPHANS_MODEL_H

#include <glib.h>

/**
 * struct model_config - parameters of a run
 * @agents: number of agents, at most MODEL_AGENTS_MAX
 * @cycles: number of cycles of faults, quiet and deaths
 * @drop_messages: lose all messages, so that no flow is replicated
 */
struct model_config {
    unsigned agents;
    unsigned cycles;
    gboolean drop_messages;
};

#define MODEL_AGENTS_MAX 16

/**
 * struct model_result - outcome of a run
 * @failure: first violated property, or NULL; the caller frees it
 * @at_ms: time of the failure
 * @opened: flows opened
 * @deaths: agents that died
 * @probes_due: flows of dead owners that had to be probed
 * @probes: probes sent
 * @messages: messages sent
 */
struct model_result {
    char *failure;
    guint64 at_ms;
    guint64 opened;
    guint64 deaths;
    guint64 probes_due;
    guint64 probes;
    guint64 messages;
};

/** model_run() - run the simulation from @seed */
struct model_result
model_run(const struct model_config *config, guint32 seed);

#endif
