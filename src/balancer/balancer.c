#define G_LOG_DOMAIN "swiftarch-balancer"

#include "balancer/balancer.h"

#include <errno.h>
#include <event2/event.h>
#include <signal.h>
#include <string.h>
#include <urcu.h>

#include "balancer/builder.h"
#include "balancer/readiness.h"
#include "balancer/worker.h"
#include "base/hash.h"
#include "base/httpd.h"
#include "base/log.h"
#include "base/settings.h"
#include "control/control.h"
#include "directory/service.h"

#define POLL_US 5000
#define DRAIN_IDLE_US (2 * USEC_PER_SEC)
#define EXIT_PLANNED 0
#define EXIT_FAILED 1
#define EXIT_SETTINGS 2

/**
 * struct balancer - state of the balancer process
 * @owner: receives refusals from @pool
 * @http_handler: handles requests of @httpd
 * @settings: process settings
 * @clock: time source
 * @counters: counters of all modules
 * @trace: span writer
 * @blackboard: view and configuration, published by the control thread
 * @pool: packet workers
 * @builder: rebuilds the route table of @pool
 * @directory: services of other cells
 * @control: control thread
 * @base: event loop of the main thread
 * @httpd: serves /metrics and /ready
 * @poll: periodic timer of on_poll()
 * @signals: events for SIGTERM and SIGINT
 * @seen_peers: whether any view so far had another live member
 * @started_us: start time
 * @stopping_us: start of the planned stop, 0 before it
 * @exit_code: exit code of the process
 */
struct balancer {
    struct worker_owner owner;
    struct httpd_handler http_handler;
    struct settings settings;
    struct clock clock;
    struct counter_table counters;
    struct trace trace;
    struct blackboard blackboard;
    struct worker_pool pool;
    struct builder builder;
    struct directory_service directory;
    struct control *control;
    struct event_base *base;
    struct httpd *httpd;
    struct event *poll;
    struct event *signals[2];
    bool seen_peers;
    uint64_t started_us;
    uint64_t stopping_us;
    int exit_code;
};

static void
on_refused(struct worker_owner *owner, uint64_t member, uint64_t incarnation)
{
    struct balancer *balancer =
        caa_container_of(owner, struct balancer, owner);

    g_info("Endpoint refused a packet: %016" G_GINT64_MODIFIER "x.", member);
    control_report_dead(balancer->control, member, incarnation);
}

static enum readiness
check_readiness(struct balancer *balancer)
{
    struct readiness_input input = {
        .stopping = balancer->stopping_us != 0,
        .built = balancer->builder.built &&
                 directory_service_ready(&balancer->directory),
        .self = hash_name(balancer->settings.name),
        .has_seeds = balancer->settings.seed_count > 0,
        .seen_peers = balancer->seen_peers,
        .age_us = clock_now_us(&balancer->clock) - balancer->started_us,
    };
    enum readiness readiness;

    rcu_read_lock();
    const struct view *view = blackboard_view(&balancer->blackboard);
    readiness = readiness_evaluate(&input, view);
    if (view != NULL && readiness_has_live_peers(view, input.self))
        balancer->seen_peers = true;
    rcu_read_unlock();
    return readiness;
}

static int
respond_metrics(struct balancer *balancer, struct httpd_request *request)
{
    size_t len;
    char *text = counter_render(&balancer->counters, &len);

    httpd_respond(request, 200, "text/plain; version=0.0.4", text, len);
    g_free(text);
    return 0;
}

static int
respond_text(struct httpd_request *request, int status, const char *text)
{
    httpd_respond(request, status, "text/plain", text, strlen(text));
    return 0;
}

static int
on_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct balancer *balancer =
        caa_container_of(handler, struct balancer, http_handler);
    const char *path = httpd_request_path(request);

    if (strcmp(httpd_request_method(request), "GET") != 0)
        return respond_text(request, 405, "only GET is supported\n");
    if (strcmp(path, "/metrics") == 0)
        return respond_metrics(balancer, request);
    if (strcmp(path, "/ready") == 0) {
        enum readiness readiness = check_readiness(balancer);
        return respond_text(request, readiness == READINESS_READY ? 200 : 503,
                            readiness_text(readiness));
    }
    return respond_text(request, 404,
                        "unknown path, expected /metrics or /ready\n");
}

static const struct worker_ops worker_ops = {.on_refused = on_refused};
static const struct httpd_ops http_ops = {.on_request = on_request};

static void
set_member_state(struct balancer *balancer, enum member_state state)
{
    struct blackboard_local local =
        blackboard_local(&balancer->blackboard, NULL);

    if (local.state == state)
        return;
    local.state = state;
    blackboard_set_local(&balancer->blackboard, &local);
    control_announce(balancer->control);
}

/*
 * Ends the process once no packet has arrived for DRAIN_IDLE_US, or after
 * drain_s. The fabric keeps sending until it has seen /ready fail.
 */
static void
check_stop(struct balancer *balancer)
{
    uint64_t now_us = clock_now_us(&balancer->clock);
    uint64_t quiet_since = worker_pool_last_packet_us(&balancer->pool);
    uint64_t deadline =
        balancer->stopping_us + balancer->settings.drain_s * USEC_PER_SEC;

    if (quiet_since < balancer->stopping_us)
        quiet_since = balancer->stopping_us;
    if (now_us >= quiet_since + DRAIN_IDLE_US || now_us >= deadline) {
        g_message("Planned stop completed.");
        balancer->exit_code = EXIT_PLANNED;
        event_base_loopbreak(balancer->base);
    }
}

static void
on_poll(evutil_socket_t fd, short what, void *data)
{
    struct balancer *balancer = data;

    builder_poll(&balancer->builder);
    if (balancer->stopping_us != 0)
        check_stop(balancer);
    else if (check_readiness(balancer) == READINESS_READY)
        set_member_state(balancer, MEMBER_READY);
}

static void
on_signal(evutil_socket_t number, short what, void *data)
{
    struct balancer *balancer = data;

    if (balancer->stopping_us != 0) {
        g_warning("Second signal received, stopping at once.");
        balancer->exit_code = EXIT_FAILED;
        event_base_loopbreak(balancer->base);
        return;
    }
    g_message("Planned stop started.");
    balancer->stopping_us = clock_now_us(&balancer->clock);
    set_member_state(balancer, MEMBER_LEAVING);
}

static int
add_events(struct balancer *balancer, struct error *err)
{
    const int numbers[] = {SIGTERM, SIGINT};
    const struct timeval interval = {.tv_usec = POLL_US};

    signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        balancer->signals[i] =
            evsignal_new(balancer->base, numbers[i], on_signal, balancer);
        if (balancer->signals[i] == NULL ||
            event_add(balancer->signals[i], NULL) < 0)
            return error_set(err, -ENOMEM, "watch signals", NULL, "no memory");
    }
    balancer->poll =
        event_new(balancer->base, -1, EV_PERSIST, on_poll, balancer);
    if (balancer->poll == NULL || event_add(balancer->poll, &interval) < 0)
        return error_set(err, -ENOMEM, "start timer", NULL, "no memory");
    return 0;
}

/*
 * Runs before the control thread, which announces the ports that the kernel
 * assigned.
 */
static int
open_sockets(struct balancer *balancer, struct error *err)
{
    struct settings *settings = &balancer->settings;
    int result = worker_pool_init(
        &balancer->pool, settings->data, settings->workers, &balancer->owner,
        &balancer->clock, &balancer->counters, &balancer->trace, err);
    if (result < 0)
        return result;
    settings->data = balancer->pool.addr;

    balancer->httpd = httpd_new(balancer->base, settings->http,
                                &balancer->http_handler, err);
    if (balancer->httpd == NULL)
        return err->code;
    settings->http = httpd_addr(balancer->httpd);
    return 0;
}

static int
start_threads(struct balancer *balancer, struct error *err)
{
    int result = builder_init(&balancer->builder, &balancer->blackboard,
                              &balancer->pool, &balancer->counters);
    if (result < 0)
        return error_set(err, result, "register counters", NULL,
                         "too many counters");

    result = directory_service_init(&balancer->directory, &balancer->settings,
                                    &balancer->blackboard, &balancer->counters,
                                    err);
    if (result < 0)
        return result;
    balancer->pool.directory = &balancer->directory.table;
    balancer->control =
        control_start(&balancer->settings, &balancer->blackboard,
                      &balancer->clock, &balancer->counters, err);
    if (balancer->control == NULL)
        return err->code;
    return worker_pool_start(&balancer->pool, err);
}

static int
start(struct balancer *balancer, struct error *err)
{
    struct settings *settings = &balancer->settings;
    int result;

    balancer->started_us = clock_now_us(&balancer->clock);
    result = trace_init(&balancer->trace, settings->name, settings->trace_file,
                        settings->trace_sample, err);
    if (result < 0)
        return result;
    result = counter_table_init(&balancer->counters);
    if (result < 0)
        return error_set(err, result, "start", NULL, "no memory");
    balancer->base = event_base_new();
    if (balancer->base == NULL)
        return error_set(err, -ENOMEM, "start", NULL,
                         "can't create the event loop");

    result = open_sockets(balancer, err);
    if (result < 0)
        return result;
    result = start_threads(balancer, err);
    if (result < 0)
        return result;
    return add_events(balancer, err);
}

static void
stop(struct balancer *balancer)
{
    worker_pool_finish(&balancer->pool);
    if (balancer->control != NULL)
        control_stop(balancer->control);
    directory_service_finish(&balancer->directory);
    if (balancer->poll != NULL)
        event_free(balancer->poll);
    for (size_t i = 0; i < G_N_ELEMENTS(balancer->signals); i++)
        if (balancer->signals[i] != NULL)
            event_free(balancer->signals[i]);
    httpd_free(balancer->httpd);
    if (balancer->base != NULL)
        event_base_free(balancer->base);
    blackboard_finish(&balancer->blackboard);
    counter_table_finish(&balancer->counters);
    trace_finish(&balancer->trace);
}

static void
log_start(const struct balancer *balancer)
{
    const struct settings *settings = &balancer->settings;
    char data[ADDR_TEXT_MAX];
    char http[ADDR_TEXT_MAX];

    g_message("Balancer %s listens for packets on %s and for HTTP on %s, "
              "%u workers.",
              settings->name, addr_format(settings->data, data),
              addr_format(settings->http, http), settings->workers);
}

static int
load(struct balancer *balancer, const char *path)
{
    struct error err = {0};
    char line[512];
    char *report = NULL;
    int result = settings_load(&balancer->settings, SETTINGS_BALANCER, path,
                               &report, &err);

    if (result < 0)
        g_printerr("%s\n", report != NULL
                               ? report
                               : error_format(&err, line, sizeof(line)));
    g_free(report);
    return result;
}

int
balancer_run(const char *settings_path)
{
    struct balancer balancer = {
        .owner.ops = &worker_ops,
        .http_handler.ops = &http_ops,
        .trace.fd = -1,
        .exit_code = EXIT_FAILED,
    };
    struct error err = {0};
    char line[512];

    if (load(&balancer, settings_path) < 0)
        return EXIT_SETTINGS;
    if (log_init(balancer.settings.name, balancer.settings.log_level) < 0)
        return EXIT_SETTINGS;

    clock_runtime_init(&balancer.clock);
    blackboard_init(&balancer.blackboard);
    rcu_register_thread();
    if (start(&balancer, &err) == 0) {
        log_start(&balancer);
        event_base_dispatch(balancer.base);
    }
    else
        g_warning("%s", error_format(&err, line, sizeof(line)));
    stop(&balancer);
    rcu_unregister_thread();
    return balancer.exit_code;
}
