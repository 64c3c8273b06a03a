/**
 * DOC: model - agents of a cell that tell each other their flows
 *
 * Drives the notice cores with seeded random events on a paused clock:
 * flows open and close; agents die, freeze, come back with the same name,
 * join and leave; messages are late, lost, repeated and out of order;
 * views lag and are wrong for a while. Phases of disorder and of quiet take
 * turns.
 *
 * Checked: each flow of a dead owner is probed if one of its backups could
 * know it; after quiet, exactly the open flows of a dead owner are probed;
 * nothing is probed while nobody has died; memory stays bounded.
 */
#ifndef SWIFTARCH_TESTS_ORPHANS_MODEL_H
#define SWIFTARCH_TESTS_ORPHANS_MODEL_H

#include <glib.h>

/**
 * struct model_config - what happens in a run
 * @agents: at most MODEL_AGENTS_MAX
 * @cycles: disorder, quiet and deaths, so often
 * @drop_messages: messages are never delivered (what a run without notices is
 * like)
 */
struct model_config {
    unsigned agents;
    unsigned cycles;
    gboolean drop_messages;
};

#define MODEL_AGENTS_MAX 16

/**
 * struct model_result - outcome of a run
 * @failure: what was violated, or NULL; the caller frees it
 * @at_ms: when
 */
struct model_result {
    char *failure;
    guint64 at_ms;
    guint64 opened;
    guint64 deaths;
    guint64 probes_due; /* flows of dead owners that had to be probed */
    guint64 probes;
    guint64 messages;
};

/** model_run() - one run from @seed */
struct model_result
model_run(const struct model_config *config, guint32 seed);

#endif
