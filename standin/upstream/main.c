/**
 * DOC: standin-upstream - an HTTP server that behaves like an upstream
 *
 * SIGTERM: drains, finishes what runs, says goodbye, exits 0. SIGUSR1:
 * drains and stays.
 */
#include <argtable2.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "standin/upstream/announce.h"
#include "standin/upstream/config.h"
#include "standin/upstream/record.h"
#include "standin/upstream/server.h"

#define GOODBYE_MS 200
#define US_PER_S 1000000.0

enum exit_code { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/**
 * struct program - the running stand-in
 * @started_us: when it began
 * @draining: takes no new work by its own word
 * @stopping: SIGTERM came
 */
struct program {
    struct config config;
    struct event_base *base;
    struct server server;
    struct event *announce;
    struct event *sigterm;
    struct event *sigint;
    struct event *sigusr1;
    gint64 started_us;
    bool draining;
    bool stopping;
};

static const char *
state_of(const struct program *program)
{
    double age_s =
        (double)(g_get_monotonic_time() - program->started_us) / US_PER_S;

    if (program->config.fault == FAULT_LIE && !program->stopping) {
        return "ready";
    }
    if (program->draining || (program->config.drain_after_s > 0 &&
                              age_s >= program->config.drain_after_s)) {
        return "draining";
    }
    return age_s < program->config.warming_s ? "warming" : "ready";
}

static void
say_goodbye(struct program *program)
{
    const struct timeval delay = {0, GOODBYE_MS * 1000L};

    event_del(program->announce);
    announce_delete(program->base, &program->config);
    event_base_loopexit(program->base, &delay);
}

static void
announce_now(struct program *program)
{
    unsigned busy =
        program->config.fault == FAULT_LIE ? 0 : program->server.busy;

    announce_put(program->base, &program->config, state_of(program), busy);
}

static void
on_announce(evutil_socket_t fd, short what, void *arg)
{
    struct program *program = arg;

    if (program->stopping && server_is_idle(&program->server)) {
        say_goodbye(program);
        return;
    }
    announce_now(program);
}

static void
on_stop(evutil_socket_t fd, short what, void *arg)
{
    struct program *program = arg;

    if (program->stopping) {
        event_base_loopbreak(program->base);
        return;
    }
    program->draining = true;
    program->stopping = true;
    announce_now(program);
}

static void
on_drain(evutil_socket_t fd, short what, void *arg)
{
    struct program *program = arg;

    program->draining = true;
    announce_now(program);
}

static void
add_events(struct program *program)
{
    const struct timeval period = {0, ANNOUNCE_MS * 1000L};
    struct event_base *base = program->base;

    program->announce = event_new(base, -1, EV_PERSIST, on_announce, program);
    program->sigterm = evsignal_new(base, SIGTERM, on_stop, program);
    program->sigint = evsignal_new(base, SIGINT, on_stop, program);
    program->sigusr1 = evsignal_new(base, SIGUSR1, on_drain, program);
    event_add(program->announce, &period);
    event_add(program->sigterm, NULL);
    event_add(program->sigint, NULL);
    event_add(program->sigusr1, NULL);
}

static void
free_events(struct program *program)
{
    event_free(program->announce);
    event_free(program->sigterm);
    event_free(program->sigint);
    event_free(program->sigusr1);
}

static int
run(const char *path)
{
    struct program program = {0};
    char listen[ADDR_TEXT_MAX];

    if (config_load(&program.config, path) < 0) {
        return EXIT_USAGE;
    }
    signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
    program.started_us = g_get_monotonic_time();
    program.draining = program.config.draining;
    program.base = event_base_new();
    int ret = record_open(&program.config);
    if (ret == 0) {
        ret = server_init(&program.server, &program.config, program.base);
    }
    if (ret < 0) {
        fprintf(stderr, "standin-upstream: %s: %s\n",
                addr_format(program.config.listen, listen), g_strerror(-ret));
        return EXIT_FAILED;
    }
    add_events(&program);
    printf("listening %s\n", addr_format(program.config.listen, listen));
    fflush(stdout);
    announce_now(&program);
    event_base_dispatch(program.base);
    free_events(&program);
    server_finish(&program.server);
    record_close();
    event_base_free(program.base);
    return EXIT_OK;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_file *settings =
        arg_file0(NULL, "settings", "FILE", "settings, JSON");
    struct arg_end *end = arg_end(10);
    void *table[] = {help, settings, end};
    int code = EXIT_USAGE;

    int errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        printf("Usage: standin-upstream");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-20s %s\n");
        code = EXIT_OK;
    }
    else if (errors > 0 || settings->count == 0) {
        arg_print_errors(stderr, end, "standin-upstream");
        fprintf(stderr, "standin-upstream: --settings FILE is needed\n");
    }
    else {
        code = run(settings->filename[0]);
    }
    arg_freetable(table, sizeof(table) / sizeof(*table));
    return code;
}
