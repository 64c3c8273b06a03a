/**
 * DOC: main - table of the subcommands of swiftarch
 *
 * The commands of terminated mode are built with SWIFTARCH_TERMINATED only.
 */
#include <signal.h>
#include <stdio.h>

#include <argtable2.h>
#include <glib.h>

#include "cli/cli.h"
#include "relay/program/relay_agent.h"
#include "relay/program/relay_balancer.h"

#ifdef SWIFTARCH_TERMINATED
#include "agent/agent.h"
#include "balancer/balancer.h"
#endif

/* Default of --settings. */
#define SETTINGS_VARIABLE "SWIFTARCH_CONFIG"

static const char *
settings_path(const struct arg_file *settings)
{
    if (settings->count > 0) {
        return settings->filename[0];
    }
    return g_getenv(SETTINGS_VARIABLE);
}

/* Runs a role with its settings file, "--settings FILE". */
static int
run_role(int (*role)(const char *settings_path), const char *summary, int argc,
         char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_file *settings = arg_file0(
        NULL, "settings", "FILE",
        "settings file of the process (default $" SETTINGS_VARIABLE ")");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, settings, end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, help, end, summary, argc, argv, &code)) {
        const char *path = settings_path(settings);

        if (path == NULL) {
            fprintf(stderr, "%s: --settings FILE is required\n", argv[0]);
            code = CLI_USAGE;
        }
        else {
            code = role(path);
        }
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}

#ifdef SWIFTARCH_TERMINATED
static int
run_balancer(int argc, char **argv)
{
    return run_role(
        balancer_run,
        "Run a balancer until SIGTERM; a second one stops it at once.", argc,
        argv);
}

static int
run_agent(int argc, char **argv)
{
    return run_role(
        agent_run,
        "Run an agent until SIGTERM; a second one stops it at once.", argc,
        argv);
}

#endif

/* A SIGHUP before the event loop runs would end the process. It is ignored
 * until then: the settings file is read later, and changes after that are
 * found without a signal. */
static void
ignore_early_reload(void)
{
    signal(SIGHUP, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

static int
run_relay_balancer(int argc, char **argv)
{
    ignore_early_reload();
    return run_role(relay_balancer_run,
                    "Run a relay balancer until SIGTERM; a second one stops "
                    "it at once.",
                    argc, argv);
}

static int
run_relay_agent(int argc, char **argv)
{
    ignore_early_reload();
    return run_role(relay_agent_run,
                    "Run a relay agent until SIGTERM; a second one stops "
                    "it at once.",
                    argc, argv);
}

int
main(int argc, char **argv)
{
    static const struct cli_command commands[] = {
        {"relay-balancer", "relay packets to the agents of their service",
         run_relay_balancer},
        {"relay-agent", "relay packets to the local endpoint",
         run_relay_agent},
        {"relay-show", "show the state of balancers and agents of relay mode",
         cli_relay_show},
        {"relay-explain", "show the state of a flow in relay mode",
         cli_relay_explain},
        {"relay-limits", "check, set, show and remove limits in relay mode",
         cli_relay_limits},
#ifdef SWIFTARCH_TERMINATED
        {"balancer", "forward packets from the fabric", run_balancer},
        {"agent", "forward requests to the local upstream", run_agent},
        {"check", "check a service configuration", cli_check},
        {"apply", "publish a service configuration", cli_apply},
        {"show", "show the configuration in force on each process", cli_show},
        {"explain", "explain how a packet or a request is handled",
         cli_explain},
#endif
    };

    return cli_run(commands, G_N_ELEMENTS(commands), argc, argv);
}
