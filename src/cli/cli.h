/**
 * DOC: cli - subcommands of swiftarch and their command lines
 */
#ifndef SWIFTARCH_CLI_CLI_H
#define SWIFTARCH_CLI_CLI_H

#include <stdbool.h>
#include <stddef.h>

#include "base/settings.h"

struct arg_end;
struct arg_lit;

/** enum cli_exit - exit codes, documented in swiftarch(1) */
enum cli_exit {
    CLI_OK = 0,
    CLI_FAILED = 1,    /* failed, nothing was changed */
    CLI_USAGE = 2,     /* invalid command line, settings or config */
    CLI_RACE_LOST = 3, /* another version was written first */
    CLI_NO_ANSWER = 4, /* a process did not answer */
    CLI_UNKNOWN = 5    /* unknown whether the config was published */
};

/**
 * struct cli_command - one subcommand
 * @name: name on the command line
 * @summary: one line for the list of commands
 * @run: argv[0] is "swiftarch NAME"; returns the exit code
 */
struct cli_command {
    const char *name;
    const char *summary;
    int (*run)(int argc, char **argv);
};

/** cli_run() - run the subcommand named by argv[1]; returns the exit code */
int
cli_run(const struct cli_command *commands, size_t count, int argc,
        char **argv);

/**
 * cli_parse() - parse a subcommand's arguments with argtable
 * @table: argtable's table, ends with @end
 * @summary: printed by --help
 * @code: set to the exit code if the result is false
 *
 * Return: false after --help or an invalid command line.
 */
bool
cli_parse(void **table, struct arg_lit *help, struct arg_end *end,
          const char *summary, int argc, char **argv, int *code);

/**
 * cli_read_file() - read a file of at most SERVICE_CONFIG_SIZE_MAX bytes
 * @path: file, "-" for standard input
 * @data: content, for g_free(); NULL after an error
 * @len: length of @data
 *
 * Return: 0, or a negative errno after a message on standard error.
 */
int
cli_read_file(const char *path, char **data, size_t *len);

/** cli_settings() - load operator settings; CLI_OK, or CLI_USAGE after a
 * message on standard error */
int
cli_settings(struct settings *settings, const char *path);

/** cli_check() - "swiftarch check" */
int
cli_check(int argc, char **argv);

/** cli_apply() - "swiftarch apply" */
int
cli_apply(int argc, char **argv);

/** cli_show() - "swiftarch show" */
int
cli_show(int argc, char **argv);

/** cli_explain() - "swiftarch explain" */
int
cli_explain(int argc, char **argv);

/** cli_relay_show() - "swiftarch relay-show" */
int
cli_relay_show(int argc, char **argv);

/** cli_relay_explain() - "swiftarch relay-explain" */
int
cli_relay_explain(int argc, char **argv);

/** cli_relay_limits() - "swiftarch relay-limits" */
int
cli_relay_limits(int argc, char **argv);

#endif
