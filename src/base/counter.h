/**
 * DOC: counter - counters of our own, one slot for each worker
 *
 * A counter is a row of cache-line-sized cells; a worker adds to its own
 * cell without a lock; a reader sums the cells.
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
 * struct counter_table - all counters of a process
 * @count: counters registered
 * @names: name of each, Prometheus form, e.g. "packets_dropped_total"
 * @labels: label text of each, e.g. "reason=\"checksum\"", or empty
 * @gauge: 1 where the value may fall
 * @cells: COUNTER_MAX rows of COUNTER_WORKERS_MAX cells
 * @block: memory that holds @cells
 */
struct counter_table {
    size_t count;
    char names[COUNTER_MAX][COUNTER_NAME_MAX];
    char labels[COUNTER_MAX][COUNTER_NAME_MAX];
    uint8_t gauge[COUNTER_MAX];
    struct counter_cell *cells;
    void *block;
};

/** counter_table_init() - 0 or -ENOMEM */
int
counter_table_init(struct counter_table *table);

/** counter_table_finish() - free the cells */
void
counter_table_finish(struct counter_table *table);

/** counter_register() - handle of a new counter, or -ENOSPC. Before threads.
 */
int
counter_register(struct counter_table *table, const char *name,
                 const char *labels);

/** counter_register_gauge() - like counter_register() for a gauge */
int
counter_register_gauge(struct counter_table *table, const char *name,
                       const char *labels);

/** counter_add() - add @n in @worker's own cell */
void
counter_add(struct counter_table *table, unsigned worker, int handle,
            uint64_t n);

/** counter_set() - set a gauge (in cell 0) */
void
counter_set(struct counter_table *table, int handle, uint64_t value);

/** counter_read() - sum over the workers */
uint64_t
counter_read(const struct counter_table *table, int handle);

/** counter_render() - Prometheus text of all, g_free() it; @len may be NULL */
char *
counter_render(const struct counter_table *table, size_t *len);

#endif
