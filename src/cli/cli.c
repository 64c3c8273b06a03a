#include "cli/cli.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <glib.h>

#include "service_config/service_config.h"

#define READ_CHUNK_BYTES 65536

static void
print_help(const struct cli_command *commands, size_t count, FILE *out)
{
    fprintf(out, "Usage: swiftarch COMMAND [OPTION]...\n"
                 "       swiftarch --help | --version\n\nCommands:\n");
    for (size_t i = 0; i < count; i++) {
        fprintf(out, "  %-14s %s\n", commands[i].name, commands[i].summary);
    }
    fprintf(out, "\nswiftarch COMMAND --help lists the options of a command.\n"
                 "Exit codes: 0 success, 1 failure, 2 invalid usage, settings "
                 "or configuration,\n3 concurrent write, 4 a process did "
                 "not answer, 5 outcome unknown.\n");
}

static int
run_command(const struct cli_command *command, int argc, char **argv)
{
    char *name = g_strdup_printf("swiftarch %s", command->name);
    int code;

    argv[0] = name;
    code = command->run(argc, argv);
    g_free(name);
    return code;
}

int
cli_run(const struct cli_command *commands, size_t count, int argc,
        char **argv)
{
    if (argc < 2) {
        print_help(commands, count, stderr);
        return CLI_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
        print_help(commands, count, stdout);
        return CLI_OK;
    }
    if (strcmp(argv[1], "--version") == 0) {
        printf("swiftarch %s\n", SWIFTARCH_VERSION);
        return CLI_OK;
    }
    for (size_t i = 0; i < count; i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return run_command(&commands[i], argc - 1, argv + 1);
        }
    }
    fprintf(stderr,
            "swiftarch: unknown command %s, expected one of:", argv[1]);
    for (size_t i = 0; i < count; i++) {
        fprintf(stderr, " %s", commands[i].name);
    }
    fprintf(stderr, "\n");
    return CLI_USAGE;
}

bool
cli_parse(void **table, struct arg_lit *help, struct arg_end *end,
          const char *summary, int argc, char **argv, int *code)
{
    int errors = arg_parse(argc, argv, table);

    if (help->count > 0) {
        printf("Usage: %s", argv[0]);
        arg_print_syntax(stdout, table, "\n");
        printf("%s\n\n", summary);
        arg_print_glossary(stdout, table, "  %-26s %s\n");
        *code = CLI_OK;
        return false;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, argv[0]);
        fprintf(stderr, "%s --help lists its options.\n", argv[0]);
        *code = CLI_USAGE;
        return false;
    }
    return true;
}

static int
read_stream(FILE *in, GByteArray *bytes)
{
    guint8 chunk[READ_CHUNK_BYTES];
    size_t got;

    while ((got = fread(chunk, 1, sizeof(chunk), in)) > 0) {
        g_byte_array_append(bytes, chunk, (guint)got);
        if (bytes->len > SERVICE_CONFIG_SIZE_MAX) {
            return -EFBIG;
        }
    }
    return ferror(in) ? -EIO : 0;
}

int
cli_read_file(const char *path, char **data, size_t *len)
{
    bool is_stdin = strcmp(path, "-") == 0;
    FILE *in = is_stdin ? stdin : fopen(path, "rb");
    GByteArray *bytes = g_byte_array_new();
    int rc = in != NULL ? read_stream(in, bytes) : -errno;

    if (in != NULL && !is_stdin) {
        fclose(in);
    }
    if (rc == -EFBIG) {
        fprintf(stderr,
                "%s:1: found more than %u bytes, expected at most "
                "%u\n",
                path, SERVICE_CONFIG_SIZE_MAX,
                SERVICE_CONFIG_SIZE_MAX - SERVICE_CONFIG_ENVELOPE_MAX);
    }
    else if (rc < 0) {
        fprintf(stderr, "%s: %s\n", path, g_strerror(-rc));
    }
    *len = bytes->len;
    *data = (char *)g_byte_array_free(bytes, rc < 0);
    return rc;
}

int
cli_settings(struct settings *settings, const char *path)
{
    struct error err = {0};
    char *report = NULL;
    char line[512];
    int rc = settings_load(settings, SETTINGS_OPERATOR, path, &report, &err);

    if (rc == 0) {
        g_free(report);
        return CLI_OK;
    }
    if (report != NULL) {
        fputs(report, stderr);
    }
    else {
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
    }
    g_free(report);
    return CLI_USAGE;
}
