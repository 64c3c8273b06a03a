/**
 * DOC: standin-fabric - the fabric in front of the balancers, for tests
 *
 * SIGTERM ends it and prints its counts; SIGHUP reads the settings anew.
 */
#define G_LOG_DOMAIN "swiftarch-fabric"

#include <argtable2.h>
#include <event2/event.h>
#include <signal.h>
#include <stdio.h>

#include "base/log.h"
#include "standin/fabric/config.h"
#include "standin/fabric/fabric.h"

enum exit_code { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/** struct program - what the signal handlers need */
struct program {
    const char *path;
    struct event_base *base;
    struct fabric *fabric;
};

static void
on_end(evutil_socket_t number, short what, void *data)
{
    struct program *program = data;

    event_base_loopbreak(program->base);
}

static void
on_reload(evutil_socket_t number, short what, void *data)
{
    struct program *program = data;
    struct config config;
    char *report = NULL;

    if (config_load(&config, program->path, &report) < 0)
        g_warning("The settings stay as they are: %s", report);
    else if (fabric_reload(program->fabric, &config) < 0)
        event_base_loopbreak(program->base);
    g_free(report);
}

static void
print_counts(const struct fabric_counts *counts)
{
    printf("{\"to_balancers\": %lu, \"to_callers\": %lu, \"lost\": %lu, "
           "\"cut\": %lu, \"reordered\": %lu, \"no_balancer\": %lu, "
           "\"malformed\": %lu, \"queue_full\": %lu, \"send_failed\": %lu, "
           "\"health_changes\": %lu}\n",
           counts->to_balancers, counts->to_callers, counts->lost, counts->cut,
           counts->reordered, counts->no_balancer, counts->malformed,
           counts->queue_full, counts->send_failed, counts->health_changes);
}

/* Delays are fractions of a millisecond. */
static struct event_base *
new_precise_base(void)
{
    struct event_config *config = event_config_new();
    struct event_base *base;

    if (config == NULL)
        return NULL;
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

static int
dispatch(struct program *program)
{
    struct event *term = evsignal_new(program->base, SIGTERM, on_end, program);
    struct event *interrupt =
        evsignal_new(program->base, SIGINT, on_end, program);
    struct event *hangup =
        evsignal_new(program->base, SIGHUP, on_reload, program);
    struct fabric_counts counts;
    char text[ADDR_TEXT_MAX];

    event_add(term, NULL);
    event_add(interrupt, NULL);
    event_add(hangup, NULL);
    printf("listening %s\n", addr_format(fabric_addr(program->fabric), text));
    fflush(stdout);
    event_base_dispatch(program->base);

    counts = fabric_counts(program->fabric);
    print_counts(&counts);
    event_free(term);
    event_free(interrupt);
    event_free(hangup);
    return EXIT_OK;
}

static int
run(const char *path)
{
    struct program program = {.path = path};
    struct config config;
    struct clock clock;
    struct error err = {0};
    char line[512];
    char *report = NULL;
    int code = EXIT_FAILED;

    if (config_load(&config, path, &report) < 0) {
        fputs(report, stderr);
        g_free(report);
        return EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    log_init("fabric", "message");
    clock_runtime_init(&clock);
    program.base = new_precise_base();
    if (program.base == NULL)
        return EXIT_FAILED;
    program.fabric = fabric_new(program.base, &config, &clock, &err);
    if (program.fabric != NULL) {
        code = dispatch(&program);
        fabric_free(program.fabric);
    }
    else
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
    event_base_free(program.base);
    return code;
}

static int
run_options(struct arg_lit *help, struct arg_str *settings,
            struct arg_end *end, void **table, int argc, char **argv)
{
    int errors = arg_parse(argc, argv, table);

    if (help->count > 0) {
        printf("Usage: standin-fabric");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-20s %s\n");
        return EXIT_OK;
    }
    if (errors > 0) {
        arg_print_errors(stderr, end, "standin-fabric");
        return EXIT_USAGE;
    }
    return run(settings->sval[0]);
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_str *settings =
        arg_str1(NULL, "settings", "FILE", "settings (JSON), needed");
    struct arg_end *end = arg_end(10);
    void *table[] = {help, settings, end};
    int code = EXIT_FAILED;

    if (arg_nullcheck(table) == 0)
        code = run_options(help, settings, end, table, argc, argv);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
