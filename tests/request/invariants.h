/**
 * DOC: invariants - properties that hold in a cell under every fault
 *
 * The first violation is stored in cell->failure.
 */
#ifndef SWIFTARCH_TESTS_REQUEST_INVARIANTS_H
#define SWIFTARCH_TESTS_REQUEST_INVARIANTS_H

#include "cell.h"
#include "request/state.h"

/** struct invariants_record - observed history of a request */
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

/** invariants_record() - history of request @id */
struct invariants_record *
invariants_record(const struct cell *cell, uint64_t id);

/** invariants_arrive() - record the arrival of a request at @node */
void
invariants_arrive(struct cell *cell, unsigned node,
                  const struct engine_request *request);

/** invariants_start() - check a local start: urgent before ordinary */
void
invariants_start(struct cell *cell, unsigned node,
                 const struct engine_action *action);

/** invariants_send_run() - check a RUN sent to a peer: urgent before
 * ordinary */
void
invariants_send_run(struct cell *cell, unsigned node,
                    const struct engine_action *action);

/** invariants_run() - check a start on an upstream: at most one, none after
 * "not run" */
void
invariants_run(struct cell *cell, uint64_t id);

/** invariants_finish() - check a final answer: only one, and consistent
 * with the runs */
void
invariants_finish(struct cell *cell, const struct engine_action *action);

/** invariants_node() - check the limits of slots and queue, after each step */
void
invariants_node(struct cell *cell, unsigned node);

/** invariants_answers() - check that requests are answered by their
 * deadline, after each tick */
void
invariants_answers(struct cell *cell);

/** invariants_empty() - check that no state is left after all requests
 * ended */
void
invariants_empty(struct cell *cell, unsigned node);

#endif
