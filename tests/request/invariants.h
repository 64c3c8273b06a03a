/**
 * DOC: rules - what must hold in a cell, whatever goes wrong
 *
 * The first rule that is broken is kept in cell->failure.
 */
#ifndef SWIFTARCH_TESTS_REQUEST_RULES_H
#define SWIFTARCH_TESTS_REQUEST_RULES_H

#include "cell.h"
#include "request/state.h"

/** struct invariants_record - what is known of a request from outside */
struct invariants_record {
    uint64_t id;
    uint64_t key;
    unsigned node;
    unsigned generation;
    uint64_t deadline_us;
    bool idempotent;
    unsigned runs;
    unsigned finishes;
    enum engine_outcome outcome;
};

/** invariants_record() - record of request @id */
struct invariants_record *
invariants_record(const struct cell *cell, uint64_t id);

/** invariants_arrive() - a request arrives at @node */
void
invariants_arrive(struct cell *cell, unsigned node,
                  const struct engine_request *request);

/** invariants_start() - an engine starts a request: urgent before ordinary */
void
invariants_start(struct cell *cell, unsigned node,
                 const struct engine_action *action);

/** invariants_send_run() - an engine sends a request to a peer: the same */
void
invariants_send_run(struct cell *cell, unsigned node,
                    const struct engine_action *action);

/** invariants_run() - an upstream begins it: once, and never after "not run"
 */
void
invariants_run(struct cell *cell, uint64_t id);

/** invariants_finish() - a final answer: one, and true */
void
invariants_finish(struct cell *cell, const struct engine_action *action);

/** invariants_node() - after each step: slots and queue within their bounds */
void
invariants_node(struct cell *cell, unsigned node);

/** invariants_answers() - after each tick: every answer by its deadline */
void
invariants_answers(struct cell *cell);

/** invariants_empty() - when all has ended: nothing kept */
void
invariants_empty(struct cell *cell, unsigned node);

#endif
