/**
 * DOC: cell - seeded simulation of engines with a faulty network and upstreams
 *
 * Messages are delayed, reordered, lost and duplicated. Upstreams answer,
 * shed, are unreachable, or lose and truncate answers. Engines crash and
 * restart empty, freeze and drain, each with its own outdated view. Invariants
 * are checked at every step; the first violation is stored in @failure.
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

/** struct cell_faults - rate of each fault per mille, of messages, runs or
 * steps */
struct cell_faults {
    unsigned lose;
    unsigned duplicate;
    unsigned slow;
    unsigned shed;
    unsigned unreached;
    unsigned lose_run;
    unsigned crash;
    unsigned freeze;
    unsigned drain;
    unsigned cancel;
};

/** struct cell_node - engine and its upstream */
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

/** struct cell - simulation state */
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

/** cell_init() - start @count engines that are ready and idle */
void
cell_init(struct cell *cell, unsigned count, enum engine_policy policy,
          struct cell_faults faults, guint32 seed);

/** cell_finish() - free the simulation */
void
cell_finish(struct cell *cell);

/** cell_step() - apply one random event, then advance a short time */
void
cell_step(struct cell *cell);

/** cell_quiesce() - end all faults and check that every request completes */
void
cell_quiesce(struct cell *cell);

/** cell_arrive() - add a request at @node with a deadline in @left_us;
 * returns its id */
uint64_t
cell_arrive(struct cell *cell, unsigned node, enum service_config_class class,
            bool idempotent, bool keyed, uint64_t left_us);

/** cell_advance() - process the events of the next @us */
void
cell_advance(struct cell *cell, uint64_t us);

#endif
