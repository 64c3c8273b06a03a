#include <stdio.h>

#include <argtable2.h>
#include <glib.h>

#include "cli/cli.h"
#include "text/text.h"

#define SUMMARY "Check an operators' text and print every fault found."

static int
check_file(const char *path)
{
    struct text *text;
    char *report;
    char *data;
    size_t len;
    int rc;

    if (cli_read_file(path, &data, &len) < 0) {
        return CLI_USAGE;
    }
    rc = text_parse(data, len, path, &text, &report);
    if (report != NULL) {
        fputs(report, stderr);
    }
    if (rc == 0) {
        printf("%s: good: %zu services\n", path, text->count);
    }
    g_free(report);
    g_free(data);
    text_free(text);
    return rc == 0 ? CLI_OK : CLI_USAGE;
}

int
cli_check(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_file *file =
        arg_file1(NULL, NULL, "FILE", "the text, - for standard input");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, file, end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, help, end, SUMMARY, argc, argv, &code)) {
        code = check_file(file->filename[0]);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
