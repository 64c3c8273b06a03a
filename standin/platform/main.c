/**
 * DOC: standin-platform - the platform's object API for tests and the demo
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>

#include <argtable2.h>

#include "base/addr.h"
#include "standin/platform/server.h"

enum exit_code { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/** struct options - command line */
struct options {
    struct arg_lit *help;
    struct arg_str *listen;
    struct arg_int *reads;
    struct arg_int *writes;
    struct arg_end *end;
};

static int
wait_for_signal(void)
{
    sigset_t set;
    int signal;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return sigwait(&set, &signal);
}

/* Blocked before any thread starts, so that every thread inherits it. */
static void
block_signals(void)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

static int
run(struct addr listen, unsigned reads, unsigned writes)
{
    struct server server;
    struct error err;
    char line[512];

    block_signals();
    if (server_init(&server, listen, &err) < 0) {
        fprintf(stderr, "standin-platform: %s\n",
                error_format(&err, line, sizeof(line)));
        return EXIT_FAILED;
    }
    server.reads_per_s = reads;
    server.writes_per_s = writes;
    listen.port = server_port(&server);
    printf("listening %s\n", addr_format(listen, line));
    fflush(stdout);
    wait_for_signal();
    server_finish(&server);
    return EXIT_OK;
}

static int
run_options(struct options *options, void **table, int argc, char **argv)
{
    struct addr listen = {.ip = INADDR_LOOPBACK};
    int errors = arg_parse(argc, argv, table);

    if (options->help->count > 0) {
        printf("Usage: standin-platform");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        return EXIT_OK;
    }
    if (errors > 0) {
        arg_print_errors(stderr, options->end, "standin-platform");
        return EXIT_USAGE;
    }
    if (options->listen->count > 0 &&
        addr_parse(options->listen->sval[0], &listen) < 0) {
        fprintf(stderr,
                "standin-platform: --listen: found %s, expected "
                "ADDRESS:PORT\n",
                options->listen->sval[0]);
        return EXIT_USAGE;
    }
    if (options->reads->ival[0] < 0 || options->writes->ival[0] < 0) {
        fprintf(stderr, "standin-platform: a rate can't be negative\n");
        return EXIT_USAGE;
    }
    return run(listen, (unsigned)options->reads->ival[0],
               (unsigned)options->writes->ival[0]);
}

int
main(int argc, char **argv)
{
    struct options options = {
        .help = arg_lit0("h", "help", "print this"),
        .listen = arg_str0(NULL, "listen", "ADDRESS:PORT",
                           "default 127.0.0.1:0, any port"),
        .reads =
            arg_int0(NULL, "reads-per-s", "N", "429 above it, 0 for no limit"),
        .writes = arg_int0(NULL, "writes-per-s", "N",
                           "429 above it, 0 for no limit"),
        .end = arg_end(10),
    };
    void *table[] = {options.help, options.listen, options.reads,
                     options.writes, options.end};
    int code;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "standin-platform: no memory\n");
        return EXIT_FAILED;
    }
    options.reads->ival[0] = SERVER_READS_PER_S;
    options.writes->ival[0] = SERVER_WRITES_PER_S;
    code = run_options(&options, table, argc, argv);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
