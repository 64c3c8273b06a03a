/**
 * DOC: measure - costs of the directory in a region of a given size
 */
#ifndef SWIFTARCH_BENCH_DIRECTORY_MEASURE_H
#define SWIFTARCH_BENCH_DIRECTORY_MEASURE_H

#include <stddef.h>
#include <stdint.h>

#define MEASURE_ADDRESSES 54 /* per cell: 28,000 in 520 cells */
#define MEASURE_BALANCERS 38 /* in the complete cell */

/** enum measure_column - measurements of one region */
enum measure_column {
    MEASURE_IDLE_AUTHOR_OUT, /* bytes/s without changes, with headers */
    MEASURE_IDLE_AUTHOR_IN,
    MEASURE_IDLE_BALANCER_OUT,
    MEASURE_IDLE_BALANCER_IN,
    MEASURE_DAY_AUTHOR_OUT, /* bytes/s at 20,000 changes/day in 520 cells */
    MEASURE_DAY_AUTHOR_IN,
    MEASURE_DAY_BALANCER_OUT,
    MEASURE_DAY_BALANCER_IN,
    MEASURE_DAY_CPU_US,   /* CPU us/s per node, simulation included */
    MEASURE_KNOWN_P50_MS, /* delay until a node has a new address */
    MEASURE_KNOWN_P99_MS,
    MEASURE_KNOWN_MAX_MS,
    MEASURE_GATEWAY_P99_MS, /* delay until a node drops a dead gateway */
    MEASURE_GATEWAY_MAX_MS,
    MEASURE_START_ONE_MS,  /* max time until a new balancer has all cells */
    MEASURE_START_CELL_MS, /* the same when the whole cell starts */
    MEASURE_HEAL_MS,       /* convergence after an hour of partition */
    MEASURE_HEAL_BYTES,    /* max bytes sent by a node for that */
    MEASURE_LARGEST,       /* largest message, bytes */
    MEASURE_MEMORY,        /* memory of one node, bytes */
    MEASURE_HIT_NS,        /* lookup of an existing address */
    MEASURE_MISS_NS,       /* lookup of a missing address */
    MEASURE_COLUMNS
};

/** measure_names - column names in the output */
extern const char *const measure_names[MEASURE_COLUMNS];

/** measure_region() - measure a region of @cells cells; fills MEASURE_COLUMNS
 * values */
void
measure_region(size_t cells, double *columns);

#endif
