/**
 * DOC: show - "swiftarch show": prints the configuration in force on each
 * process
 */
#include <stdio.h>

#include <argtable2.h>
#include <glib.h>

#include "cli/control_query.h"
#include "cli/cli.h"
#include "cli/show_print.h"

#define SUMMARY                                                               \
    "Show which configuration is in force on each process, and since when."
#define TIMEOUT_MIN_MS 100
#define TIMEOUT_MAX_MS 60000

/** struct show_options - parsed command line of "show" */
struct show_options {
    struct arg_lit *help;
    struct arg_file *settings;
    struct arg_lit *counters;
    struct arg_lit *json;
    struct arg_int *timeout;
    struct arg_end *end;
};

static void
print(const struct control_query *query, bool json)
{
    GString *out = g_string_new(NULL);

    if (json) {
        show_print_json(query, out);
    }
    else {
        show_print_table(query, out);
        if (query->counters) {
            show_print_counters(query, out);
        }
    }
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
}

static int
show(const struct show_options *options)
{
    int timeout_ms = options->timeout->ival[0];
    struct settings settings;
    struct show_totals totals;
    struct error err = {0};
    char line[512];
    struct control_query query;
    int code;

    if (timeout_ms < TIMEOUT_MIN_MS || timeout_ms > TIMEOUT_MAX_MS) {
        fprintf(stderr, "--timeout-ms: found %d, expected %d to %d\n",
                timeout_ms, TIMEOUT_MIN_MS, TIMEOUT_MAX_MS);
        return CLI_USAGE;
    }
    code = cli_settings(&settings, options->settings->filename[0]);
    if (code != CLI_OK) {
        return code;
    }
    if (control_query_init(&query, &settings, &err) < 0) {
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
        return CLI_FAILED;
    }
    query.counters = options->counters->count > 0;
    control_query_run(&query, (unsigned)timeout_ms);
    show_sort(&query);
    print(&query, options->json->count > 0);
    totals = show_totals(&query);
    control_query_finish(&query);
    return totals.answered > 0 && totals.answered == totals.processes
               ? CLI_OK
               : CLI_NO_ANSWER;
}

int
cli_show(int argc, char **argv)
{
    struct show_options options = {
        .help = arg_lit0("h", "help", "print this"),
        .settings =
            arg_file1(NULL, "operator", "SETTINGS", "operator settings file"),
        .counters = arg_lit0(NULL, "counters", "print the counters too"),
        .json = arg_lit0(NULL, "json", "print one JSON object"),
        .timeout = arg_int0(NULL, "timeout-ms", "N",
                            "timeout for replies, default 2000"),
        .end = arg_end(10),
    };
    void *table[] = {options.help, options.settings, options.counters,
                     options.json, options.timeout,  options.end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
        goto out;
    }
    options.timeout->ival[0] = CONTROL_QUERY_TIMEOUT_MS;
    if (cli_parse(table, options.help, options.end, SUMMARY, argc, argv,
                  &code)) {
        code = show(&options);
    }

out:
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
