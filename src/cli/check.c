/**
 * DOC: check - "swiftarch check": validates a service configuration file
 */
#include <stdio.h>

#include <argtable2.h>
#include <glib.h>

#include "cli/cli.h"
#include "cli/load_config.h"

#define SUMMARY "Check a service configuration and print every error found."

static int
check_file(const char *path)
{
    struct service_config *config;
    int code = load_config(path, &config);

    if (code == CLI_OK) {
        printf("%s: valid: %zu services\n", path, config->count);
        service_config_free(config);
    }
    return code;
}

int
cli_check(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_file *file = arg_file1(
        NULL, NULL, "FILE", "service configuration, - for standard input");
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
