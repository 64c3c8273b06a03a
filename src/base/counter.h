/**
 * DOC: counter - Prometheus counters and gauges with per-worker cells
 *
 * A counter is a row of cells, one cache line each. A worker adds to its own
 * cell without a lock; a reader sums the row.
 */
#ifndef SWIFTARCH_BASE_COUNTER_H
#define SWIFTARCH_BASE_COUNTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define COUNTER_MAX 192
#define COUNTER_WORKERS_MAX 16
#define COUNTER_NAME_MAX 64

struct counter_cell;

/**
 * struct counter_table - counters and gauges of a process, by handle
 * @count: registered counters and gauges
 * @names: metric names without the prefix, e.g. "packets_dropped_total"
 * @labels: labels, e.g. "reason=\"checksum\"", or empty
 * @gauge: 1 for a gauge
 * @cells: COUNTER_MAX rows of COUNTER_WORKERS_MAX cells
 * @block: allocation that contains @cells
 */
struct counter_table {
    size_t count;
    char names[COUNTER_MAX][COUNTER_NAME_MAX];
    char labels[COUNTER_MAX][COUNTER_NAME_MAX];
    uint8_t gauge[COUNTER_MAX];
    struct counter_cell *cells;
    void *block;
};

/** counter_table_init() - create an empty table; 0 or -ENOMEM */
int
counter_table_init(struct counter_table *table);

/** counter_table_finish() - free the cells */
void
counter_table_finish(struct counter_table *table);

/**
 * counter_register() - add a counter; call before any worker starts
 * @name: metric name without the prefix
 * @labels: labels in Prometheus form, or NULL
 *
 * Return: its handle, or -ENOSPC.
 */
int
counter_register(struct counter_table *table, const char *name,
                 const char *labels);

/** counter_register_gauge() - add a gauge, as counter_register() */
int
counter_register_gauge(struct counter_table *table, const char *name,
                       const char *labels);

/** counter_add() - add @n to @worker's cell; only that worker may call it */
void
counter_add(struct counter_table *table, unsigned worker, int handle,
            uint64_t n);

/** counter_set() - set a gauge */
void
counter_set(struct counter_table *table, int handle, uint64_t value);

/** counter_read() - sum over all workers */
uint64_t
counter_read(const struct counter_table *table, int handle);

/**
 * counter_render() - all metrics in the Prometheus text format
 * @len: gets the length in bytes, may be NULL
 *
 * Return: text, freed by g_free().
 */
char *
counter_render(const struct counter_table *table, size_t *len);

#endif
