/**
 * DOC: show_print - what the processes answered, for a person or as JSON
 */
#ifndef SWIFTARCH_CLI_SHOW_PRINT_H
#define SWIFTARCH_CLI_SHOW_PRINT_H

#include <glib.h>

#include "cli/control_query.h"

/** struct show_totals - the answers summed up */
struct show_totals {
    size_t processes;
    size_t answered;
    size_t versions;
};

/** show_sort() - put the processes in the order of their names */
void
show_sort(struct control_query *query);

/** show_totals() - count; an address of which nothing but its silence is
 * known is no process */
struct show_totals
show_totals(const struct control_query *query);

/** show_print_table() - one line a process, then the summary */
void
show_print_table(const struct control_query *query, GString *out);

/** show_print_counters() - counters of each process that answered */
void
show_print_counters(const struct control_query *query, GString *out);

/** show_print_json() - all of it as one JSON object */
void
show_print_json(const struct control_query *query, GString *out);

#endif
