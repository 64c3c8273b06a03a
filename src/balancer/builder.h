/**
 * DOC: builder - rebuilds the route table when the view or the configuration
 * on the blackboard changes
 */
#ifndef SWIFTARCH_BALANCER_BUILDER_H
#define SWIFTARCH_BALANCER_BUILDER_H

#include <stdbool.h>
#include <stdint.h>

#include "balancer/worker.h"
#include "base/counter.h"
#include "control/blackboard.h"

/**
 * struct builder - builder of route tables
 * @blackboard: source of views and configurations
 * @pool: workers that receive the tables
 * @counters: table of the counters below
 * @built: whether a table has been published
 * @view_seq: sequence number of the current table's view
 * @config_version: version of the current table's configuration
 * @failures: consecutive failed builds
 * @rebuilds: counter of tables built
 * @services: gauge of services in the current table
 * @endpoints: gauge of endpoints in the current table
 * @bytes: gauge of the current table's memory in bytes
 */
struct builder {
    struct blackboard *blackboard;
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

/**
 * builder_init() - initialise a builder and register its counters
 *
 * Return: 0, or -ENOSPC when the counter table is full.
 */
int
builder_init(struct builder *builder, struct blackboard *blackboard,
             struct worker_pool *pool, struct counter_table *counters);

/**
 * builder_poll() - publish a new table if the view or configuration changed
 *
 * Must run on a thread registered with liburcu, outside a read section.
 * After a failure the previous table stays in use and the next poll retries.
 *
 * Return: 1 when a table was published, 0 when nothing changed, or the error
 * of route_table_new().
 */
int
builder_poll(struct builder *builder);

#endif
