/**
 * DOC: rules - what must hold in a cell, whatever goes wrong
 *
 * The first rule that is broken is kept in cell->failure.
 */
#ifndef SWIFTARCH_TESTS_REQUEST_RULES_H
#define SWIFTARCH_TESTS_REQUEST_RULES_H

#include "cell.h"
#include "request/state.h"

/** struct rules_record - what is known of a request from outside */
struct rules_record {
    uint64_t id;
    uint64_t key;
    unsigned node;
    unsigned life;
    uint64_t deadline_us;
    bool idempotent;
    unsigned runs;
    unsigned finishes;
    enum engine_outcome outcome;
};

/** rules_record() - record of request @id */
struct rules_record *
rules_record(const struct cell *cell, uint64_t id);

/** rules_arrive() - a request arrives at @node */
void
rules_arrive(struct cell *cell, unsigned node,
             const struct engine_request *request);

/** rules_start() - an engine starts a request: urgent before ordinary */
void
rules_start(struct cell *cell, unsigned node,
            const struct engine_action *action);

/** rules_send_run() - an engine sends a request to a peer: the same */
void
rules_send_run(struct cell *cell, unsigned node,
               const struct engine_action *action);

/** rules_run() - an upstream begins it: once, and never after "not run" */
void
rules_run(struct cell *cell, uint64_t id);

/** rules_finish() - a final answer: one, and true */
void
rules_finish(struct cell *cell, const struct engine_action *action);

/** rules_node() - after each step: slots and queue within their bounds */
void
rules_node(struct cell *cell, unsigned node);

/** rules_answers() - after each tick: every answer by its deadline */
void
rules_answers(struct cell *cell);

/** rules_empty() - when all has ended: nothing kept */
void
rules_empty(struct cell *cell, unsigned node);

#endif
