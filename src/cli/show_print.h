/**
 * DOC: show_print - prints the result of a control query as a table or JSON
 */
#ifndef SWIFTARCH_CLI_SHOW_PRINT_H
#define SWIFTARCH_CLI_SHOW_PRINT_H

#include <glib.h>

#include "cli/control_query.h"

/**
 * struct show_totals - summary of a query
 * @processes: known processes
 * @answered: processes that answered
 * @versions: different config versions in force
 */
struct show_totals {
    size_t processes;
    size_t answered;
    size_t versions;
};

/** show_sort() - sort the processes by name */
void
show_sort(struct control_query *query);

/** show_totals() - count the processes; a seed that did not answer and is in
 * no member list is not counted */
struct show_totals
show_totals(const struct control_query *query);

/** show_print_table() - append one line per process and a summary to @out */
void
show_print_table(const struct control_query *query, GString *out);

/** show_print_counters() - append the counters of each process to @out */
void
show_print_counters(const struct control_query *query, GString *out);

/** show_print_json() - append the whole result as one JSON object to @out */
void
show_print_json(const struct control_query *query, GString *out);

#endif
