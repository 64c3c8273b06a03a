/**
 * DOC: cli - the command line of the one binary
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
    CLI_FAILED = 1,    /* it could not be done; nothing was changed */
    CLI_USAGE = 2,     /* command line, settings or text are wrong */
    CLI_RACE_LOST = 3, /* another operator's text came first */
    CLI_NO_ANSWER = 4, /* some process did not answer */
    CLI_UNKNOWN = 5    /* whether the text was published is unknown */
};

/**
 * struct cli_command - one subcommand
 * @name: its word
 * @summary: what it does, in one line
 * @run: argv[0] is "swiftarch NAME"; returns the exit code
 */
struct cli_command {
    const char *name;
    const char *summary;
    int (*run)(int argc, char **argv);
};

/** cli_run() - find the command and run it; returns the exit code */
int
cli_run(const struct cli_command *commands, size_t count, int argc,
        char **argv);

/**
 * cli_parse() - parse a subcommand's arguments with argtable
 * @table: argtable's table, ended by @end
 * @summary: printed by --help
 * @code: exit code when the command is not to go on
 *
 * Return: whether to go on.
 */
bool
cli_parse(void **table, struct arg_lit *help, struct arg_end *end,
          const char *summary, int argc, char **argv, int *code);

/**
 * cli_read_file() - read a whole file of at most a megabyte
 * @path: file, "-" for standard input
 * @data: g_free() it
 *
 * Return: 0, or a negative errno after a message on standard error.
 */
int
cli_read_file(const char *path, char **data, size_t *len);

/** cli_settings() - load operator settings; CLI_OK or CLI_USAGE, with the
 * faults on standard error */
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

#endif
