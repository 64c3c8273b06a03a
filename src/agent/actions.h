/**
 * DOC: actions - carry out what the engine decided
 */
#ifndef SWIFTARCH_AGENT_ACTIONS_H
#define SWIFTARCH_AGENT_ACTIONS_H

#include <stdint.h>

#include "request/engine.h"

struct requests;

/**
 * struct ended_run - a run whose end the engine must still hear of
 * @origin: member that accepted its request
 * @id: the request's id there
 * @how: how it ended
 */
struct ended_run {
    uint64_t origin;
    uint64_t id;
    enum engine_upstream how;
};

/** actions_execute() - do all that is in requests->out and empty it */
void
actions_execute(struct requests *requests);

/** actions_defer_run_end() - have the engine told with the next tick that a
 * run ended; for ends that arise while actions are carried out */
void
actions_defer_run_end(struct requests *requests, uint64_t origin, uint64_t id,
                      enum engine_upstream how);

#endif
