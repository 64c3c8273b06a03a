/**
 * DOC: main - standin-caller: callers of the services, with load
 *
 * Exit codes: 0 done, 1 failed while running, 2 wrong command line or
 * settings.
 */
#define G_LOG_DOMAIN "swiftarch-caller"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>

#include "base/log.h"
#include "caller/caller.h"
#include "caller/settings.h"

#define EXIT_FAILED 1
#define EXIT_USAGE 2
#define PROGRAM "standin-caller"

static int
run_file(const char *path)
{
    static struct caller_settings settings;
    char *report = NULL;
    struct error err;
    char text[512];

    if (caller_settings_load(&settings, path, &report, &err) < 0) {
        if (report != NULL)
            fputs(report, stderr);
        else
            fprintf(stderr, "%s: %s\n", PROGRAM,
                    error_format(&err, text, sizeof(text)));
        g_free(report);
        return EXIT_USAGE;
    }
    log_init(PROGRAM, "message");
    if (caller_run(&settings, &err) < 0) {
        fprintf(stderr, "%s: %s\n", PROGRAM,
                error_format(&err, text, sizeof(text)));
        return EXIT_FAILED;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
    struct arg_file *file =
        arg_file0(NULL, "settings", "FILE", "settings of the run, JSON");
    struct arg_end *end = arg_end(8);
    void *table[] = {help, file, end};
    int ret = EXIT_USAGE;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", PROGRAM);
        return EXIT_FAILED;
    }
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, PROGRAM);
    }
    else if (help->count > 0) {
        printf("Usage: %s", PROGRAM);
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-20s %s\n");
        ret = 0;
    }
    else if (file->count == 0) {
        fprintf(stderr, "%s: option --settings is missing\n", PROGRAM);
    }
    else {
        ret = run_file(file->filename[0]);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return ret;
}
