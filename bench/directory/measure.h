/**
 * DOC: measure - what the directory of a region of a given size costs
 */
#ifndef SWIFTARCH_BENCH_DIRECTORY_MEASURE_H
#define SWIFTARCH_BENCH_DIRECTORY_MEASURE_H

#include <stddef.h>
#include <stdint.h>

#define MEASURE_ADDRESSES 54 /* of a cell: 28,000 over 520 cells */
#define MEASURE_BALANCERS 38 /* of the one cell that is there in whole */

/** enum measure_column - figures of one region */
enum measure_column {
    MEASURE_IDLE_AUTHOR_OUT, /* bytes/s in rest, headers included */
    MEASURE_IDLE_AUTHOR_IN,
    MEASURE_IDLE_BALANCER_OUT,
    MEASURE_IDLE_BALANCER_IN,
    MEASURE_DAY_AUTHOR_OUT, /* with 20,000 changes a day of 520 cells */
    MEASURE_DAY_AUTHOR_IN,
    MEASURE_DAY_BALANCER_OUT,
    MEASURE_DAY_BALANCER_IN,
    MEASURE_DAY_CPU_US, /* us of a core a second, mean of nodes and network */
    MEASURE_KNOWN_P50_MS, /* a new address known, over all nodes */
    MEASURE_KNOWN_P99_MS,
    MEASURE_KNOWN_MAX_MS,
    MEASURE_GATEWAY_P99_MS, /* a dead gateway out of use, over all nodes */
    MEASURE_GATEWAY_MAX_MS,
    MEASURE_START_ONE_MS,  /* a new balancer knows all cells, longest */
    MEASURE_START_CELL_MS, /* the same, all of the cell's start at once */
    MEASURE_HEAL_MS,       /* after an hour's cut: until all know all */
    MEASURE_HEAL_BYTES,    /* most that a node sent for it */
    MEASURE_LARGEST,       /* largest message, bytes */
    MEASURE_MEMORY,        /* bytes of one node */
    MEASURE_HIT_NS,        /* a lookup that finds */
    MEASURE_MISS_NS,       /* one that doesn't */
    MEASURE_COLUMNS
};

/** measure_names - one for each column */
extern const char *const measure_names[MEASURE_COLUMNS];

/** measure_region() - all columns for a region of @cells */
void
measure_region(size_t cells, double *columns);

#endif
