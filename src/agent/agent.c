#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/agent.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <urcu.h>

#include "agent/metrics.h"
#include "agent/program.h"
#include "base/hash.h"
#include "base/log.h"

#define FLOWS_MAX 65536
#define REFRESH_MS 5
#define TICK_MS 10
#define LOAD_MS 100
#define SECOND_MS 1000

enum { EXIT_STOPPED = 0, EXIT_ERROR = 1, EXIT_SETTINGS = 2 };

static struct agent *
of_stack_owner(struct stack_owner *owner)
{
    return (struct agent *)owner;
}

static void
on_output(struct stack_owner *owner, const uint8_t *buf, size_t len)
{
    egress_output(of_stack_owner(owner), buf, len);
}

static void
on_open(struct stack_owner *owner, struct stack_conn *conn)
{
    struct agent *agent = of_stack_owner(owner);

    orphan_notifier_flow(agent, conn, true);
    frontend_open(&agent->frontend, conn, agent_now(agent));
}

static void
on_data(struct stack_owner *owner, struct stack_conn *conn,
        const uint8_t *data, size_t len)
{
    struct agent *agent = of_stack_owner(owner);

    frontend_data(&agent->frontend, conn, data, len, agent_now(agent));
}

static void
on_writable(struct stack_owner *owner, struct stack_conn *conn)
{
    struct agent *agent = of_stack_owner(owner);

    frontend_writable(&agent->frontend, conn, agent_now(agent));
}

static void
on_eof(struct stack_owner *owner, struct stack_conn *conn)
{
    frontend_eof(&of_stack_owner(owner)->frontend, conn);
}

static void
on_closed(struct stack_owner *owner, struct stack_conn *conn, int reason)
{
    struct agent *agent = of_stack_owner(owner);

    if (reason != 0) {
        agent->frontend.stats.reset++;
    }
    orphan_notifier_flow(agent, conn, false);
    frontend_closed(&agent->frontend, conn);
}

static const struct stack_ops stack_ops = {
    .output = on_output,
    .on_open = on_open,
    .on_data = on_data,
    .on_writable = on_writable,
    .on_eof = on_eof,
    .on_closed = on_closed,
};

static void
on_stack(evutil_socket_t fd, short what, void *arg)
{
    struct agent *agent = arg;

    stack_poll(agent->stack);
}

static void
on_refresh(evutil_socket_t fd, short what, void *arg)
{
    agent_refresh(arg);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
    struct agent *agent = arg;

    if (agent_was_paused(agent)) {
        return;
    }
    upstream_tick(agent);
    requests_tick(agent);
    orphan_notifier_tick(agent);
    agent_stop_tick(agent);
}

static void
on_load(evutil_socket_t fd, short what, void *arg)
{
    agent_publish_load(arg);
}

static void
on_second(evutil_socket_t fd, short what, void *arg)
{
    struct agent *agent = arg;
    uint64_t now_us = agent_now(agent);

    pthread_mutex_lock(&agent->flow_lock);
    flow_tick(agent->flows, now_us);
    pthread_mutex_unlock(&agent->flow_lock);
    peer_links_send_pins(agent);
    frontend_tick(&agent->frontend, now_us);
    datagrams_tick(agent);
    ingress_tick(agent);
    requests_sweep(agent);
    metrics_update(agent);
}

static void
on_signal(evutil_socket_t fd, short what, void *arg)
{
    agent_stop_begin(arg);
}

static int
add_event(struct agent *agent, size_t index, struct event *event,
          unsigned period_ms)
{
    const struct timeval period = {period_ms / 1000,
                                   (period_ms % 1000) * 1000L};

    agent->events[index] = event;
    if (event == NULL ||
        event_add(event, period_ms == 0 ? NULL : &period) < 0) {
        return -ENOMEM;
    }
    return 0;
}

static int
add_timer(struct agent *agent, size_t index, event_callback_fn on_time,
          unsigned period_ms)
{
    return add_event(agent, index,
                     event_new(agent->base, -1, EV_PERSIST, on_time, agent),
                     period_ms);
}

static int
add_events(struct agent *agent, struct error *err)
{
    struct event_base *base = agent->base;
    size_t next = 0;
    int ret = 0;

    ret |= add_timer(agent, next++, on_refresh, REFRESH_MS);
    ret |= add_timer(agent, next++, on_tick, TICK_MS);
    ret |= add_timer(agent, next++, on_load, LOAD_MS);
    ret |= add_timer(agent, next++, on_second, SECOND_MS);
    ret |= add_event(agent, next++,
                     event_new(base, stack_fd(agent->stack),
                               EV_READ | EV_PERSIST, on_stack, agent),
                     0);
    ret |= add_event(agent, next++,
                     evsignal_new(base, SIGTERM, on_signal, agent), 0);
    ret |= add_event(agent, next++,
                     evsignal_new(base, SIGINT, on_signal, agent), 0);
    g_assert(next <= AGENT_EVENTS);
    if (ret != 0) {
        return error_set(err, -ENOMEM, "event", NULL,
                         "cannot add events to the event loop");
    }
    return 0;
}

/* Initialises the modules that need no thread, socket or other process. */
static int
init_cores(struct agent *agent, struct error *err)
{
    agent->self = hash_name(agent->settings.name);
    clock_runtime_init(&agent->runtime);
    agent->clock = &agent->runtime;
    blackboard_init(&agent->blackboard);
    pthread_mutex_init(&agent->flow_lock, NULL);
    frontend_init(&agent->frontend, &agent->requests.frontend_owner,
                  agent->settings.name);
    datagrams_init(&agent->datagrams);
    orphan_notifier_init(agent);
    agent->ingress.fd = -1;
    if (counter_table_init(&agent->counters) < 0) {
        return error_set(err, -ENOMEM, "counters", NULL, "out of memory");
    }
    ingress_register(agent);
    requests_register(agent);
    orphan_notifier_register(agent);
    metrics_register(agent);
    agent->base = event_base_new();
    agent->flows = flow_table_new(agent->self, FLOWS_MAX);
    if (agent->base == NULL || agent->flows == NULL ||
        requests_init(agent, g_random_int()) < 0) {
        return error_set(err, -ENOMEM, "init", NULL, "out of memory");
    }
    backend_init(&agent->backend, agent->base, &agent->requests.backend_owner);
    return 0;
}

static int
init_parts(struct agent *agent, struct error *err)
{
    const struct settings *settings = &agent->settings;
    int ret = init_cores(agent, err);

    if (ret == 0) {
        ret = trace_init(&agent->trace, settings->name, settings->trace_file,
                         settings->trace_sample, err);
    }
    if (ret == 0) {
        ret = ingress_init(agent, err);
    }
    if (ret == 0) {
        ret = peer_links_init(agent, err);
    }
    if (ret == 0) {
        ret = upstream_init(agent, err);
    }
    if (ret < 0) {
        return ret;
    }
    agent->stack_owner.ops = &stack_ops;
    agent->stack = stack_new(&agent->stack_owner);
    if (agent->stack == NULL) {
        return error_set(err, -ENOMEM, "stack", NULL,
                         "cannot start the TCP stack");
    }
    agent->control = control_start(settings, &agent->blackboard, agent->clock,
                                   &agent->counters, err);
    return agent->control == NULL ? err->code : add_events(agent, err);
}

static void
finish_parts(struct agent *agent)
{
    for (size_t i = 0; i < AGENT_EVENTS; i++) {
        if (agent->events[i] != NULL) {
            event_free(agent->events[i]);
        }
    }
    if (agent->stack != NULL) {
        stack_free(agent->stack);
    }
    if (agent->base != NULL) {
        backend_finish(&agent->backend);
    }
    upstream_finish(agent);
    requests_finish(agent);
    frontend_finish(&agent->frontend);
    datagrams_finish(&agent->datagrams);
    orphan_notifier_finish(agent);
    peer_links_finish(agent);
    ingress_finish(agent);
    if (agent->control != NULL) {
        control_stop(agent->control);
    }
    if (agent->flows != NULL) {
        flow_table_free(agent->flows);
    }
    trace_finish(&agent->trace);
    if (agent->base != NULL) {
        event_base_free(agent->base);
    }
    counter_table_finish(&agent->counters);
    blackboard_finish(&agent->blackboard);
    pthread_mutex_destroy(&agent->flow_lock);
}

static int
load_settings(struct agent *agent, const char *path)
{
    struct error err;
    char *report = NULL;

    if (settings_load(&agent->settings, SETTINGS_AGENT, path, &report, &err) <
        0) {
        char line[512];
        fprintf(stderr, "%s\n",
                report != NULL ? report
                               : error_format(&err, line, sizeof(line)));
        g_free(report);
        return -EINVAL;
    }
    g_free(report);
    return log_init(agent->settings.name, agent->settings.log_level);
}

int
agent_run(const char *settings_path)
{
    struct agent *agent = g_new0(struct agent, 1);
    struct error err = {0};
    char line[512];
    int code = EXIT_STOPPED;

    if (load_settings(agent, settings_path) < 0) {
        g_free(agent);
        return EXIT_SETTINGS;
    }
    signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
    rcu_register_thread();
    if (init_parts(agent, &err) < 0) {
        g_critical("Cannot start: %s.",
                   error_format(&err, line, sizeof(line)));
        code = EXIT_ERROR;
    }
    else {
        agent->ticked_us = agent_now(agent);
        g_message("Started.");
        event_base_dispatch(agent->base);
        code = agent->hard_stop ? EXIT_ERROR : EXIT_STOPPED;
        g_message("Stopped.");
    }
    finish_parts(agent);
    rcu_unregister_thread();
    g_free(agent);
    return code;
}
