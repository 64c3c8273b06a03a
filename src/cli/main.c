/**
 * DOC: main - the one binary
 */
#include <stdio.h>

#include <argtable2.h>
#include <glib.h>

#include "agent/agent.h"
#include "balancer/balancer.h"
#include "cli/cli.h"

/* Runs a role with its settings file, "--settings FILE". */
static int
run_role(int (*role)(const char *settings_path), const char *summary, int argc,
         char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_file *settings =
        arg_file1(NULL, "settings", "FILE", "settings file of the process");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, settings, end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, help, end, summary, argc, argv, &code)) {
        code = role(settings->filename[0]);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}

static int
run_balancer(int argc, char **argv)
{
    return run_role(balancer_run,
                    "Run a balancer until SIGTERM; a second one ends it hard.",
                    argc, argv);
}

static int
run_agent(int argc, char **argv)
{
    return run_role(agent_run,
                    "Run an agent until SIGTERM; a second one ends it hard.",
                    argc, argv);
}

int
main(int argc, char **argv)
{
    static const struct cli_command commands[] = {
        {"balancer", "forward packets from the fabric", run_balancer},
        {"agent", "serve the upstream beside it", run_agent},
        {"check", "check an operators' text", cli_check},
        {"apply", "publish an operators' text", cli_apply},
        {"show", "tell what is in force on each process", cli_show},
        {"explain", "tell what a packet or a request would meet", cli_explain},
    };

    return cli_run(commands, G_N_ELEMENTS(commands), argc, argv);
}
