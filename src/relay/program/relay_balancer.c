#include "relay/program/relay_balancer.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <sys/random.h>
#include <unistd.h>

#include <glib.h>

#include "base/container.h"
#include "base/hash.h"
#include "platform/config_format.h"
#include "platform/object_store.h"
#include "relay/store/registration.h"
#include "relay/program/relay_balancer_private.h"

#define LOG_FLUSH_INTERVAL_US (100 * USEC_PER_MSEC)

/* Agents register in bursts (a data centre starts) or in series (a release):
 * the delay lets one watch return several changes. A new agent can wait for
 * that long, and an agent that stops reports it by a frame. */
static const struct watcher_backoff agents_watch_delay = {
    .min_us = 100 * USEC_PER_MSEC,
    .max_us = 2 * USEC_PER_SEC,
};

/* The configuration may change many times a second. The longest delay is a
 * tenth of the shortest propagation time that operators require. */
static const struct watcher_backoff config_watch_delay = {
    .min_us = 25 * USEC_PER_MSEC,
    .max_us = 300 * USEC_PER_MSEC,
};

/* Peers are queried once the store has not replied for this time; its replies
 * take 4 ms. They are not
 * queried when it replies that there is no configuration: the whole fleet
 * would query the few peers that all settings name. */
#define PEER_QUERY_DELAY_US (60 * USEC_PER_MSEC)

/* On a planned stop the network fabric sends packets elsewhere after two
 * missed probes, half a second apart. The process exits once packets have
 * ceased. */
#define STOP_QUIET_US (400 * USEC_PER_MSEC)
#define STOP_MIN_US (1200 * USEC_PER_MSEC)

/* Evacuations are rare: operators start them one at a time. */
static const struct watcher_backoff evacuations_watch_delay = {
    .min_us = 25 * USEC_PER_MSEC,
    .max_us = 300 * USEC_PER_MSEC,
};

/* Limits are rare too, and stale reads lag by seconds anyway. */
static const struct watcher_backoff limits_watch_delay = {
    .min_us = 100 * USEC_PER_MSEC,
    .max_us = 2 * USEC_PER_SEC,
};

enum { EXIT_STOPPED = 0, EXIT_ERROR = 1, EXIT_SETTINGS = 2 };

static bool
stop_is_complete(const struct relay_balancer *balancer, uint64_t now_us)
{
    uint64_t elapsed_us = now_us - balancer->stop_us;

    if (balancer->stop_us == 0) {
        return false;
    }
    return elapsed_us >= balancer->settings.stop_ms * USEC_PER_MSEC ||
           (elapsed_us >= STOP_MIN_US &&
            now_us - balancer->packet_us >= STOP_QUIET_US);
}

static void
query_peers(struct relay_balancer *balancer, uint64_t now_us)
{
    if (balancer->forwarder.routes.version == 0 &&
        watcher_is_away(&balancer->config_watcher, now_us,
                        PEER_QUERY_DELAY_US)) {
        config_peer_query_next(&balancer->config_peer, now_us);
    }
}

/* During an outage only the configuration watcher retries; the agents watcher
 * waits for its success, which halves the calls. */
static bool
agents_watch_allowed(const struct relay_balancer *balancer)
{
    return balancer->agents_watcher.failures == 0 ||
           balancer->config_watcher.failures == 0;
}

static void
log_reader_change(struct relay_balancer *balancer, bool was_reading)
{
    const struct store_reader *reader = &balancer->reader;

    if (reader->reading != was_reading) {
        event_log_write(&balancer->log, EVENT_UNLIMITED,
                        reader->reading ? "reader_started" : "reader_stopped",
                        "others=%u trying=%u config=%" PRIu64,
                        reader->reported.reading, reader->reported.trying,
                        balancer->forwarder.routes.version);
    }
}

/* Updates whether this balancer is a store reader, and what its frames report
 * about that. */
static void
update_reader_role(struct relay_balancer *balancer, uint64_t now_us)
{
    struct store_reader *reader = &balancer->reader;
    unsigned failures = watcher_failures(&balancer->config_watcher, now_us);
    bool was_reading = reader->reading;
    bool pings = store_reader_tick(reader, failures, now_us);

    log_reader_change(balancer, was_reading);
    balancer->forwarder.reader = store_reader_state(reader, failures);
    balancer->forwarder.current =
        store_reader_is_current(reader, failures, now_us);
    if (pings) {
        forwarder_ping_witnesses(&balancer->forwarder);
    }
}

/* Sets each watcher's read mode and how soon it retries a failed call. */
static void
set_read_modes(struct relay_balancer *balancer, uint64_t now_us)
{
    const struct store_reader *reader = &balancer->reader;
    struct watcher *config = &balancer->config_watcher;
    struct watcher *agents = &balancer->agents_watcher;

    config->fast_retry = balancer->forwarder.routes.version == 0;
    config->slow_retry = !reader->reading;
    config->notified_by_peers = true;
    config->bounded = true;
    agents->slow_retry = !reader->reading;
    watcher_set_read(config, config->fast_retry
                                 ? store_reader_initial_mode(reader)
                                 : store_reader_next_mode(
                                       reader, config->failures, now_us));
    /* A reader reads the latest list, so that an agent whose object was
     * removed is notified soon. Stale reads are enough for every other use. */
    watcher_set_read(agents, watcher_mode(agents, reader->reading));
}

/* Queries the balancer that is known to have a newer configuration. */
static void
query_config_holder(struct relay_balancer *balancer, uint64_t now_us)
{
    const struct store_reader *reader = &balancer->reader;
    struct addr self = balancer->settings.config_peer;
    struct addr holder = {reader->newer.holder.ip, self.port};

    unsigned failures = watcher_failures(&balancer->config_watcher, now_us);

    if (store_reader_needs_peer(reader, failures, now_us) &&
        !addr_equal(holder, self)) {
        config_peer_query_config(&balancer->config_peer, holder, now_us);
    }
}

static void
tick_watchers(struct relay_balancer *balancer, uint64_t now_us)
{
    update_reader_role(balancer, now_us);
    set_read_modes(balancer, now_us);
    query_config_holder(balancer, now_us);
    watcher_tick(&balancer->config_watcher, now_us);
    if (agents_watch_allowed(balancer)) {
        watcher_tick(&balancer->agents_watcher, now_us);
    }
    relay_balancer_evacuations_tick(balancer, now_us);
    relay_balancer_limits_tick(balancer, now_us);
}

static void
apply_peers(struct relay_balancer *balancer)
{
    config_peer_set_peers(&balancer->config_peer, balancer->settings.peers,
                          balancer->settings.peer_count,
                          balancer->settings.config_peer);
}

static void
reload(struct relay_balancer *balancer)
{
    char report[256];
    int ret = settings_file_reload(&balancer->file, &balancer->settings,
                                   report, sizeof(report));

    balancer->log.max_per_s = balancer->settings.log_per_s;
    balancer->forwarder.slow_start = balancer->settings.slow_start;
    balancer->forwarder.agents.expected_wait =
        balancer->settings.expected_wait;
    agents_set_regions(&balancer->forwarder.agents,
                       &balancer->settings.regions);
    apply_peers(balancer);
    event_log_write(
        &balancer->log, EVENT_UNLIMITED, "reload",
        "result=%s peers=%zu log_per_s=%u stop_ms=%u "
        "reason=\"%s\"",
        ret == 0 ? "taken" : "refused", balancer->settings.peer_count,
        balancer->settings.log_per_s, balancer->settings.stop_ms, report);
}

static uint64_t
on_tick(struct loop *loop, uint64_t now_us)
{
    struct relay_balancer *balancer =
        container_of(loop, struct relay_balancer, loop);
    uint64_t next_us;

    /* Read pending frames first: in a late tick they must not count as
     * timeouts. */
    dgram_poll(&balancer->frames);
    forwarder_tick(&balancer->forwarder, now_us);
    tick_watchers(balancer, now_us);
    query_peers(balancer, now_us);
    /* Send pings to the witnesses now: the reader decision waits for the
     * replies. */
    dgram_flush(&balancer->frames);
    if (settings_file_changed(&balancer->file, now_us)) {
        reload(balancer);
    }
    if (now_us >= balancer->flush_us) {
        relay_balancer_log_readiness(balancer);
        if (balancer->forwarder.overload != NULL) {
            relay_pressure_log_changes(&balancer->overload, &balancer->log,
                                       now_us);
        }
        event_log_flush(&balancer->log);
        balancer->flush_us = now_us + LOG_FLUSH_INTERVAL_US;
    }
    if (stop_is_complete(balancer, now_us)) {
        loop_stop(loop);
    }
    next_us = MIN(forwarder_next_us(&balancer->forwarder), balancer->flush_us);
    next_us = MIN(next_us, watcher_next_us(&balancer->config_watcher));
    next_us = MIN(next_us, store_reader_next_us(&balancer->reader, now_us));
    if (agents_watch_allowed(balancer)) {
        next_us = MIN(next_us, watcher_next_us(&balancer->agents_watcher));
    }
    next_us = MIN(next_us, relay_balancer_limits_next_us(balancer));
    return MIN(next_us, relay_balancer_evacuations_next_us(balancer, now_us));
}

static void
on_stop(struct loop *loop, uint64_t now_us)
{
    struct relay_balancer *balancer =
        container_of(loop, struct relay_balancer, loop);

    if (balancer->stop_us != 0) {
        loop_stop(loop);
        return;
    }
    balancer->stop_us = now_us;
    event_log_write(&balancer->log, EVENT_UNLIMITED, "stopping", "flows=%u",
                    balancer->forwarder.flows.used);
}

static void
on_reload(struct loop *loop)
{
    struct relay_balancer *balancer =
        container_of(loop, struct relay_balancer, loop);

    reload(balancer);
}

static const struct loop_ops loop_ops = {on_tick, on_stop, on_reload};

/* Startup. */

static int
start_overload(struct relay_balancer *balancer, uint64_t now_us)
{
    uint64_t seed;

    if (!balancer->settings.overload) {
        return 0;
    }
    if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed)) {
        return -errno;
    }
    overload_init(&balancer->overload, seed,
                  balancer->settings.caller_prefix_bits, now_us);
    balancer->forwarder.overload = &balancer->overload;
    return 0;
}

static int
start_stores(struct relay_balancer *balancer, uint64_t now_us)
{
    uint64_t seed = hash_name(balancer->settings.name);

    for (size_t i = 0; i < G_N_ELEMENTS(balancer->stores); i++) {
        balancer->stores[i] =
            object_store_new(balancer->loop.base, balancer->settings.store);
        if (balancer->stores[i] == NULL) {
            return -ENOMEM;
        }
    }
    watcher_init(&balancer->config_watcher, &relay_balancer_config_ops,
                 balancer->stores[0], CONFIG_FORMAT_KIND, config_watch_delay,
                 seed, now_us);
    watcher_init(&balancer->agents_watcher, &relay_balancer_agents_ops,
                 balancer->stores[1], REGISTRATION_KIND, agents_watch_delay,
                 seed + 1, now_us);
    balancer->agents_watcher.read = STORE_READ_STALE;
    watcher_init(&balancer->evacuations_watcher,
                 &relay_balancer_evacuations_ops, balancer->stores[3],
                 CONFIG_FORMAT_EVACUATIONS_KIND, evacuations_watch_delay,
                 seed + 2, now_us);
    balancer->evacuations_watcher.read = STORE_READ_STALE;
    watcher_init(&balancer->limits_watcher, &relay_balancer_limits_ops,
                 balancer->stores[4], LIMITS_POLICY_KIND, limits_watch_delay,
                 seed + 3, now_us);
    balancer->limits_watcher.read = STORE_READ_STALE;
    store_reader_init(&balancer->reader, seed, now_us);
    confirm_init(&balancer->confirm, &relay_balancer_confirm_ops,
                 balancer->stores[2], &balancer->agents_watcher);
    config_peer_init(&balancer->config_peer, &relay_balancer_config_peer_ops,
                     balancer->loop.base, seed);
    apply_peers(balancer);
    return 0;
}

static int
start_sockets(struct relay_balancer *balancer, struct error *err)
{
    const struct relay_settings *settings = &balancer->settings;
    struct event_base *base = balancer->loop.base;
    int ret = dgram_init(&balancer->data, &relay_balancer_data_ops, balancer,
                         base, settings->data, err);

    if (ret == 0) {
        ret = dgram_init(&balancer->frames, &relay_balancer_frames_ops,
                         balancer, base, settings->frames, err);
    }
    if (ret < 0) {
        return ret;
    }
    balancer->ready_handler.ops = &relay_balancer_ready_ops;
    balancer->ready =
        httpd_new(base, settings->ready, &balancer->ready_handler, err);
    balancer->config_peer_handler.ops = &relay_balancer_config_peer_httpd_ops;
    balancer->config_peer_httpd = httpd_new(
        base, settings->config_peer, &balancer->config_peer_handler, err);
    if (balancer->ready == NULL || balancer->config_peer_httpd == NULL) {
        return err->code;
    }
    if (settings->metrics.ip != 0) {
        balancer->metrics =
            httpd_new(base, settings->metrics, &balancer->ready_handler, err);
    }
    return settings->metrics.ip != 0 && balancer->metrics == NULL ? err->code
                                                                  : 0;
}

static int
start(struct relay_balancer *balancer, const char *path, struct error *err)
{
    uint64_t now_us;
    int ret;

    balancer->out.ops = &relay_balancer_out_ops;
    balancer->gate.ops = &relay_balancer_gate_ops;
    balancer->data.fd = balancer->frames.fd = -1;
    balancer->foreign_objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    balancer->evacuated =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    if (loop_init(&balancer->loop, &loop_ops) < 0) {
        return error_set(err, -ENOMEM, "start", NULL,
                         "the event loop can't be created");
    }
    now_us = loop_now_us(&balancer->loop);
    balancer->started_us = now_us;
    settings_file_init(&balancer->file, path, RELAY_BALANCER, now_us);
    event_log_init(&balancer->log, &balancer->loop.clock,
                   balancer->settings.name, STDOUT_FILENO,
                   balancer->settings.log_per_s);
    if (start_stores(balancer, now_us) < 0) {
        return error_set(err, -ENOMEM, "start", NULL, "no memory");
    }
    ret = start_sockets(balancer, err);
    if (ret < 0) {
        return ret;
    }
    if (forwarder_init(&balancer->forwarder, &balancer->out,
                       balancer->frames.addr,
                       balancer->settings.data_centre) < 0) {
        return error_set(err, -ENOMEM, "start", NULL, "no memory for flows");
    }
    ret = start_overload(balancer, now_us);
    if (ret < 0) {
        return error_set(err, ret, "start", NULL, "no random seed");
    }
    balancer->forwarder.slow_start = balancer->settings.slow_start;
    balancer->forwarder.agents.expected_wait =
        balancer->settings.expected_wait;
    /* Without limits their memory stays untouched. */
    if (balancer->settings.limits) {
        limits_init(&balancer->limits);
        balancer->forwarder.gate = &balancer->gate;
    }
    agents_set_regions(&balancer->forwarder.agents,
                       &balancer->settings.regions);
    event_log_write(&balancer->log, EVENT_UNLIMITED, "started",
                    "role=balancer data_centre=%s",
                    balancer->settings.data_centre);
    return 0;
}

static void
finish(struct relay_balancer *balancer)
{
    config_peer_finish(&balancer->config_peer);
    watcher_finish(&balancer->config_watcher);
    watcher_finish(&balancer->agents_watcher);
    watcher_finish(&balancer->evacuations_watcher);
    watcher_finish(&balancer->limits_watcher);
    for (size_t i = 0; i < G_N_ELEMENTS(balancer->stores); i++) {
        if (balancer->stores[i] != NULL) {
            balancer->stores[i]->ops->free(balancer->stores[i]);
        }
    }
    httpd_free(balancer->ready);
    httpd_free(balancer->metrics);
    httpd_free(balancer->config_peer_httpd);
    dgram_finish(&balancer->data);
    dgram_finish(&balancer->frames);
    forwarder_finish(&balancer->forwarder);
    json_object_put(balancer->config);
    g_hash_table_destroy(balancer->foreign_objects);
    g_hash_table_destroy(balancer->evacuated);
    loop_finish(&balancer->loop);
}

int
relay_balancer_run(const char *settings_path)
{
    struct relay_balancer *balancer = g_new0(struct relay_balancer, 1);
    struct error err = {0};
    char line[512];
    int code = EXIT_STOPPED;

    if (relay_settings_read(&balancer->settings, RELAY_BALANCER,
                            settings_path) < 0) {
        g_free(balancer);
        return EXIT_SETTINGS;
    }
    if (start(balancer, settings_path, &err) < 0) {
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
        code = EXIT_ERROR;
    }
    else {
        loop_run(&balancer->loop);
        event_log_write(&balancer->log, EVENT_UNLIMITED, "stopped",
                        "packets=%" PRIu64, balancer->counts.packets);
        event_log_flush(&balancer->log);
    }
    finish(balancer);
    g_free(balancer);
    return code;
}
