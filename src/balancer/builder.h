/**
 * DOC: builder - keeps the route table up to date with the board
 */
#ifndef SWIFTARCH_BALANCER_BUILDER_H
#define SWIFTARCH_BALANCER_BUILDER_H

#include <stdbool.h>
#include <stdint.h>

#include "balancer/worker.h"
#include "base/counter.h"
#include "control/board.h"

/**
 * struct builder - what the table in force was built from
 * @board: read
 * @pool: its table is replaced
 * @counters: table of the counters below
 * @built: whether a table is in force
 * @view_seq: view it was built from
 * @config_version: text it was built from
 * @failures: tables that could not be built, in a row
 * @rebuilds: counter of tables built
 * @services: gauge of services in force
 * @endpoints: gauge of endpoints in force
 * @bytes: gauge of the table's memory
 */
struct builder {
    struct board *board;
    struct worker_pool *pool;
    struct counter_table *counters;
    bool built;
    uint64_t view_seq;
    uint64_t config_version;
    unsigned failures;
    int rebuilds;
    int services;
    int endpoints;
    int bytes;
};

/** builder_init() - register the counters; 0 or -ENOSPC */
int
builder_init(struct builder *builder, struct board *board,
             struct worker_pool *pool, struct counter_table *counters);

/**
 * builder_poll() - build and publish a table if the board has changed
 *
 * On a thread registered with liburcu, outside a read section. After a
 * failure the table before stays in force and the next poll tries again.
 *
 * Return: 1 when a table was published, 0 when nothing changed, or what
 * route_table_new() returned.
 */
int
builder_poll(struct builder *builder);

#endif
