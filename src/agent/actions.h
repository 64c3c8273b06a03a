/**
 * DOC: actions - executes the actions that the request engine returned
 *
 * Starts and aborts runs at the upstream, sends messages to peers and final
 * answers to callers.
 */
#ifndef SWIFTARCH_AGENT_ACTIONS_H
#define SWIFTARCH_AGENT_ACTIONS_H

#include <stdint.h>

#include "request/engine.h"

struct requests;

/**
 * struct ended_run - an ended run not reported to the engine yet
 * @origin: member that accepted its request
 * @id: the request's id at that member
 * @how: how it ended
 */
struct ended_run {
    uint64_t origin;
    uint64_t id;
    enum engine_upstream how;
};

/** actions_execute() - execute all actions in requests->out and empty it */
void
actions_execute(struct requests *requests);

/** actions_defer_run_end() - report the end of a run to the engine with the
 * next tick; for runs that end while actions execute */
void
actions_defer_run_end(struct requests *requests, uint64_t origin, uint64_t id,
                      enum engine_upstream how);

#endif
