/*
 * Cost of the control plane by size for docs/CAPACITY.md: cells on a simulated
 * network and clock, configuration changes, and control threads with real
 * sockets. Prints a table with fitted lines, and the same as JSON.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <urcu.h>

#include "base/log.h"
#include "fit.h"
#include "measure.h"

#define SIZES_MAX 16
#define CELL_LIMIT 250
#define SERVICES_TARGET 28000
#define THREAD_SECONDS 20

static const size_t default_sizes[] = {10, 25, 50, 100, 200, 400};
static const size_t thread_sizes[] = {10, 20, 40, 80};

static const size_t config_sizes[] = {250, 500, 1000, 2000, 4000};

#define CONFIG_SIZES (sizeof(config_sizes) / sizeof(config_sizes[0]))
#define THREAD_SIZES (sizeof(thread_sizes) / sizeof(thread_sizes[0]))

struct table {
    size_t count;
    double sizes[SIZES_MAX];
    double columns[SIZES_MAX][MEASURE_COLUMNS];
};

static void
add_fit(struct json_object *row, const double *x, const double *y,
        size_t count, double at)
{
    struct fit fit = fit_line(x, y, count);

    printf("  %10.2f %12.4f %6.3f %12.2f", fit.intercept, fit.slope, fit.r2,
           fit_at(&fit, at));
    json_object_object_add(row, "intercept",
                           json_object_new_double(fit.intercept));
    json_object_object_add(row, "slope", json_object_new_double(fit.slope));
    json_object_object_add(row, "r2", json_object_new_double(fit.r2));
    json_object_object_add(row, "target", json_object_new_double(at));
    json_object_object_add(row, "at_target",
                           json_object_new_double(fit_at(&fit, at)));
}

static void
print_header(const char *what, const double *sizes, size_t count, double at)
{
    printf("%-34s", what);
    for (size_t i = 0; i < count; i++)
        printf(" %10.0f", sizes[i]);
    printf("  %10s %12s %6s %6s %5.0f\n", "intercept", "slope", "R2", "at",
           at);
}

static void
print_row(struct json_object *root, const char *name, const double *x,
          const double *y, size_t count, double at)
{
    struct json_object *row = json_object_new_object();
    struct json_object *values = json_object_new_array();

    printf("%-34s", name);
    for (size_t i = 0; i < count; i++) {
        printf(" %10.2f", y[i]);
        json_object_array_add(values, json_object_new_double(y[i]));
    }
    json_object_object_add(row, "values", values);
    add_fit(row, x, y, count, at);
    printf("\n");
    json_object_object_add(root, name, row);
}

static void
print_cells(struct json_object *root, const struct table *table)
{
    struct json_object *sizes = json_object_new_array();

    for (size_t i = 0; i < table->count; i++)
        json_object_array_add(sizes, json_object_new_int(table->sizes[i]));
    json_object_object_add(root, "members", sizes);
    print_header("members", table->sizes, table->count, CELL_LIMIT);
    for (size_t column = 0; column < MEASURE_COLUMNS; column++) {
        double values[SIZES_MAX];

        for (size_t i = 0; i < table->count; i++)
            values[i] = table->columns[i][column];
        print_row(root, measure_names[column], table->sizes, values,
                  table->count, CELL_LIMIT);
    }
}

static int
print_threads(struct json_object *root)
{
    double sizes[THREAD_SIZES];
    double values[7][THREAD_SIZES];
    struct measure_threads warmup;
    int ret;

    /* The first run excludes one-time costs from the others. */
    ret = measure_threads(thread_sizes[0], 1, &warmup);
    if (ret < 0)
        return ret;
    for (size_t i = 0; i < THREAD_SIZES; i++) {
        struct measure_threads cost;

        ret = measure_threads(thread_sizes[i], THREAD_SECONDS, &cost);
        if (ret < 0)
            return ret;
        sizes[i] = thread_sizes[i];
        values[0][i] = cost.cpu_us;
        values[1][i] = cost.cpu_us_worst;
        values[2][i] = cost.memory_bytes;
        values[3][i] = cost.bytes_out;
        values[4][i] = cost.platform;
        values[5][i] = cost.config_p50_ms;
        values[6][i] = cost.config_max_ms;
    }
    printf("\nControl threads with real sockets, %u s in rest\n",
           THREAD_SECONDS);
    print_header("members", sizes, THREAD_SIZES, CELL_LIMIT);
    print_row(root, "thread_cpu_us_per_s", sizes, values[0], THREAD_SIZES,
              CELL_LIMIT);
    print_row(root, "thread_cpu_us_per_s_worst", sizes, values[1],
              THREAD_SIZES, CELL_LIMIT);
    print_row(root, "thread_resident_bytes", sizes, values[2], THREAD_SIZES,
              CELL_LIMIT);
    print_row(root, "thread_bytes_out_per_s", sizes, values[3], THREAD_SIZES,
              CELL_LIMIT);
    print_row(root, "thread_platform_calls_per_s", sizes, values[4],
              THREAD_SIZES, CELL_LIMIT);
    print_row(root, "thread_config_p50_ms", sizes, values[5], THREAD_SIZES,
              CELL_LIMIT);
    print_row(root, "thread_config_max_ms", sizes, values[6], THREAD_SIZES,
              CELL_LIMIT);
    return 0;
}

static int
print_config_edits(struct json_object *root)
{
    double sizes[CONFIG_SIZES];
    double values[4][CONFIG_SIZES];

    for (size_t i = 0; i < CONFIG_SIZES; i++) {
        struct measure_config_edit cost;
        int ret = measure_config_edit(config_sizes[i], &cost);

        if (ret < 0)
            return ret;
        sizes[i] = config_sizes[i];
        values[0][i] = cost.bytes;
        values[1][i] = cost.edit_bytes;
        values[2][i] = cost.diff_us;
        values[3][i] = cost.apply_us;
    }
    printf("\nA change of one line in a configuration, by services\n");
    print_header("services", sizes, CONFIG_SIZES, SERVICES_TARGET);
    print_row(root, "text_bytes", sizes, values[0], CONFIG_SIZES,
              SERVICES_TARGET);
    print_row(root, "text_edit_bytes", sizes, values[1], CONFIG_SIZES,
              SERVICES_TARGET);
    print_row(root, "text_diff_us", sizes, values[2], CONFIG_SIZES,
              SERVICES_TARGET);
    print_row(root, "text_apply_us", sizes, values[3], CONFIG_SIZES,
              SERVICES_TARGET);
    return 0;
}

static size_t
read_sizes(int argc, char **argv, double *sizes)
{
    size_t count = 0;

    for (int i = 1; i < argc && count < SIZES_MAX; i++)
        sizes[count++] = strtoul(argv[i], NULL, 10);
    if (count > 0)
        return count;
    for (; count < sizeof(default_sizes) / sizeof(default_sizes[0]); count++)
        sizes[count] = default_sizes[count];
    return count;
}

int
main(int argc, char **argv)
{
    struct json_object *root = json_object_new_object();
    struct table table = {0};
    int ret;

    if (log_init("bench-control", "warning") < 0)
        return 1;
    rcu_register_thread();
    table.count = read_sizes(argc, argv, table.sizes);
    for (size_t i = 0; i < table.count; i++) {
        if (table.sizes[i] < 4 || table.sizes[i] > 1024) {
            fprintf(stderr, "bench-control: sizes are 4 to 1024 members\n");
            return 2;
        }
        measure_cell(table.sizes[i], table.columns[i]);
    }
    print_cells(root, &table);
    ret = print_config_edits(root);
    if (ret == 0)
        ret = print_threads(root);
    if (ret == 0)
        printf("\n%s\n",
               json_object_to_json_string_ext(root, JSON_C_TO_STRING_PRETTY));
    else
        fprintf(stderr, "bench-control: %s\n", strerror(-ret));
    json_object_put(root);
    rcu_unregister_thread();
    return ret == 0 ? 0 : 1;
}
