/*
 * Costs of the directory by region size, for docs/CAPACITY.md. Simulates
 * regions of several sizes in one process; one cell is complete, the others
 * have a few balancers each. Prints a table with fitted lines, and the same as
 * JSON.
 */
#include <stdio.h>
#include <stdlib.h>

#include <json-c/json.h>

#include "fit.h"
#include "measure.h"

#define SIZES_MAX 16
#define CELLS_TARGET 65 /* cells per region: 520 cells in 8 regions */
#define CELLS_MAX 200

static const double default_sizes[] = {8, 16, 32, 65, 130};

static double columns[SIZES_MAX][MEASURE_COLUMNS];

static void
print_row(struct json_object *root, const double *x, size_t count,
          enum measure_column column)
{
    struct json_object *row = json_object_new_object();
    struct json_object *values = json_object_new_array();
    double y[SIZES_MAX];
    struct fit fit;

    printf("%-30s", measure_names[column]);
    for (size_t i = 0; i < count; i++) {
        y[i] = columns[i][column];
        printf(" %10.1f", y[i]);
        json_object_array_add(values, json_object_new_double(y[i]));
    }
    fit = fit_line(x, y, count);
    printf("  %10.2f %10.4f %6.3f %10.1f\n", fit.intercept, fit.slope, fit.r2,
           fit_at(&fit, CELLS_TARGET));
    json_object_object_add(row, "values", values);
    json_object_object_add(row, "intercept",
                           json_object_new_double(fit.intercept));
    json_object_object_add(row, "slope", json_object_new_double(fit.slope));
    json_object_object_add(row, "r2", json_object_new_double(fit.r2));
    json_object_object_add(row, "at_target",
                           json_object_new_double(fit_at(&fit, CELLS_TARGET)));
    json_object_object_add(root, measure_names[column], row);
}

static void
print_all(const double *sizes, size_t count)
{
    struct json_object *root = json_object_new_object();
    struct json_object *cells = json_object_new_array();

    printf("%-30s", "cells of the region");
    for (size_t i = 0; i < count; i++) {
        printf(" %10.0f", sizes[i]);
        json_object_array_add(cells, json_object_new_double(sizes[i]));
    }
    printf("  %10s %10s %6s %7s %2d\n", "intercept", "slope", "R2", "at",
           CELLS_TARGET);
    json_object_object_add(root, "cells", cells);
    for (int i = 0; i < MEASURE_COLUMNS; i++)
        print_row(root, sizes, count, (enum measure_column)i);
    printf("%s\n",
           json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
    json_object_put(root);
}

int
main(int argc, char **argv)
{
    double sizes[SIZES_MAX];
    size_t count = 0;

    for (int i = 1; i < argc && count < SIZES_MAX; i++)
        sizes[count++] = strtod(argv[i], NULL);
    for (size_t i = 0;
         argc < 2 && i < sizeof(default_sizes) / sizeof(default_sizes[0]); i++)
        sizes[count++] = default_sizes[i];
    for (size_t i = 0; i < count; i++) {
        if (sizes[i] < 3 || sizes[i] > CELLS_MAX) {
            fprintf(stderr,
                    "Number of cells out of range, expected 3 to %d.\n",
                    CELLS_MAX);
            return 2;
        }
        fprintf(stderr, "%.0f cells\n", sizes[i]);
        measure_region((size_t)sizes[i], columns[i]);
    }
    print_all(sizes, count);
    return 0;
}
