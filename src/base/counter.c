#include "base/counter.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define CACHE_LINE 64
#define METRIC_PREFIX "swiftarch_"

/** struct counter_cell - one worker's value, padded to a cache line */
struct counter_cell {
    uint64_t value;
    uint8_t pad[CACHE_LINE - sizeof(uint64_t)];
};

static struct counter_cell *
cell_of(const struct counter_table *table, unsigned worker, int handle)
{
    assert(handle >= 0 && (size_t)handle < table->count);
    assert(worker < COUNTER_WORKERS_MAX);
    return &table->cells[(size_t)handle * COUNTER_WORKERS_MAX + worker];
}

static int
register_metric(struct counter_table *table, const char *name,
                const char *labels, uint8_t gauge)
{
    size_t handle = table->count;

    if (handle == COUNTER_MAX)
        return -ENOSPC;
    assert(strlen(name) < COUNTER_NAME_MAX);
    assert(labels == NULL || strlen(labels) < COUNTER_NAME_MAX);
    g_strlcpy(table->names[handle], name, COUNTER_NAME_MAX);
    g_strlcpy(table->labels[handle], labels != NULL ? labels : "",
              COUNTER_NAME_MAX);
    table->gauge[handle] = gauge;
    table->count++;
    return (int)handle;
}

/* The TYPE line of a family precedes its first sample. */
static bool
is_first_of_family(const struct counter_table *table, size_t handle)
{
    for (size_t i = 0; i < handle; i++) {
        if (strcmp(table->names[i], table->names[handle]) == 0)
            return false;
    }
    return true;
}

static void
render_sample(const struct counter_table *table, size_t handle, GString *text)
{
    const char *labels = table->labels[handle];

    g_string_append_printf(text, METRIC_PREFIX "%s", table->names[handle]);
    if (labels[0] != '\0')
        g_string_append_printf(text, "{%s}", labels);
    g_string_append_printf(text, " %" G_GUINT64_FORMAT "\n",
                           counter_read(table, (int)handle));
}

static void
render_family(const struct counter_table *table, size_t first, GString *text)
{
    g_string_append_printf(text, "# TYPE " METRIC_PREFIX "%s %s\n",
                           table->names[first],
                           table->gauge[first] ? "gauge" : "counter");
    for (size_t i = first; i < table->count; i++) {
        if (strcmp(table->names[i], table->names[first]) == 0)
            render_sample(table, i, text);
    }
}

int
counter_table_init(struct counter_table *table)
{
    size_t size =
        sizeof(struct counter_cell) * COUNTER_MAX * COUNTER_WORKERS_MAX;

    memset(table, 0, sizeof(*table));
    /* calloc() leaves unused pages unmapped; cells are aligned in it. */
    table->block = calloc(1, size + CACHE_LINE);
    if (table->block == NULL)
        return -ENOMEM;
    table->cells =
        (struct counter_cell *)(((uintptr_t)table->block + CACHE_LINE - 1) &
                                ~(uintptr_t)(CACHE_LINE - 1));
    return 0;
}

void
counter_table_finish(struct counter_table *table)
{
    free(table->block);
    table->block = NULL;
    table->cells = NULL;
    table->count = 0;
}

int
counter_register(struct counter_table *table, const char *name,
                 const char *labels)
{
    return register_metric(table, name, labels, 0);
}

int
counter_register_gauge(struct counter_table *table, const char *name,
                       const char *labels)
{
    return register_metric(table, name, labels, 1);
}

void
counter_add(struct counter_table *table, unsigned worker, int handle,
            uint64_t n)
{
    struct counter_cell *cell = cell_of(table, worker, handle);
    uint64_t value = __atomic_load_n(&cell->value, __ATOMIC_RELAXED);

    /* Each cell has one writer, so no atomic addition is needed. */
    __atomic_store_n(&cell->value, value + n, __ATOMIC_RELAXED);
}

void
counter_set(struct counter_table *table, int handle, uint64_t value)
{
    __atomic_store_n(&cell_of(table, 0, handle)->value, value,
                     __ATOMIC_RELAXED);
}

uint64_t
counter_read(const struct counter_table *table, int handle)
{
    uint64_t sum = 0;

    for (unsigned worker = 0; worker < COUNTER_WORKERS_MAX; worker++)
        sum += __atomic_load_n(&cell_of(table, worker, handle)->value,
                               __ATOMIC_RELAXED);
    return sum;
}

char *
counter_render(const struct counter_table *table, size_t *len)
{
    GString *text = g_string_new(NULL);

    for (size_t i = 0; i < table->count; i++) {
        if (is_first_of_family(table, i))
            render_family(table, i, text);
    }
    if (len != NULL)
        *len = text->len;
    return g_string_free(text, FALSE);
}
