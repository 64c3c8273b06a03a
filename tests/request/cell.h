/**
 * DOC: cell - several engines, a bad network and bad upstreams, seeded
 *
 * Messages are delayed, reordered, lost and doubled; upstreams answer, shed,
 * can't be reached, lose or cut answers; engines crash and come back empty,
 * freeze and thaw, drain; each sees its own late view. The rules are checked
 * at every step; the first one that is broken is kept in @failure.
 */
#ifndef SWIFTARCH_TESTS_REQUEST_CELL_H
#define SWIFTARCH_TESTS_REQUEST_CELL_H

#include <glib.h>

#include "request/engine.h"
#include "timeline.h"

#define CELL_NODES_MAX 6
#define CELL_SLOTS 2
#define CELL_QUEUE 12
#define CELL_SERVICE 7
#define CELL_RUN_MAX_US (60 * USEC_PER_MSEC)

/** struct cell_faults - share of each fault, per mille (of messages, of
 * runs, or of steps) */
struct cell_faults {
    unsigned lose;
    unsigned duplicate;
    unsigned slow;
    unsigned shed;
    unsigned unreached;
    unsigned cut;
    unsigned crash;
    unsigned freeze;
    unsigned drain;
    unsigned cancel;
};

/** struct cell_node - one engine and its upstream */
struct cell_node {
    uint64_t id;
    struct engine *engine;
    bool alive;
    uint64_t started_us;
    uint64_t frozen_until_us;
    uint64_t thawed_us;
    bool was_frozen;
    bool draining;
    unsigned generation;
    unsigned urgent_starts;
    bool started;
    GHashTable *running;
};

/** struct cell - all of it */
struct cell {
    GRand *random;
    uint64_t now_us;
    struct cell_faults faults;
    enum engine_policy policy;
    unsigned count;
    struct cell_node nodes[CELL_NODES_MAX];
    struct timeline timeline;
    GHashTable *requests;
    GHashTable *keys_run;
    uint64_t next_id;
    uint64_t view_seq;
    char *failure;
    unsigned finished[ENGINE_OUTCOMES];
};

/** cell_init() - @count engines, settled and idle */
void
cell_init(struct cell *cell, unsigned count, enum engine_policy policy,
          struct cell_faults faults, guint32 seed);

/** cell_finish() - free */
void
cell_finish(struct cell *cell);

/** cell_step() - one random thing happens, then a little time passes */
void
cell_step(struct cell *cell);

/** cell_quiesce() - heal everything, let all end, check that all did */
void
cell_quiesce(struct cell *cell);

/** cell_arrive() - a request at a node; returns its id */
uint64_t
cell_arrive(struct cell *cell, unsigned node, enum text_class class,
            bool idempotent, bool keyed, uint64_t left_us);

/** cell_advance() - let @us pass, event by event */
void
cell_advance(struct cell *cell, uint64_t us);

#endif
