#include "relay/program/relay_agent.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <unistd.h>

#include <glib.h>

#include "base/container.h"
#include "platform/object_store.h"
#include "relay/program/relay_agent_private.h"

#define LOG_FLUSH_INTERVAL_US (100 * USEC_PER_MSEC)

/* A planned stop waits until no request is in progress and no packet has come
 * for this time. */
#define STOP_QUIET_US (100 * USEC_PER_MSEC)

enum { EXIT_STOPPED = 0, EXIT_ERROR = 1, EXIT_SETTINGS = 2 };

static bool
stop_is_complete(const struct relay_agent *agent, uint64_t now_us)
{
    uint64_t elapsed_us = now_us - agent->stop_us;

    if (agent->stop_us == 0) {
        return false;
    }
    return elapsed_us >= agent->settings.stop_ms * USEC_PER_MSEC ||
           (agent->admission.busy_count == 0 &&
            agent->admission.queue_count == 0 &&
            agent->admission.scheduler.held_count == 0 &&
            now_us - agent->packet_us >= STOP_QUIET_US &&
            (agent->registration.step == REGISTRATION_DONE ||
             agent->registration.step == REGISTRATION_REMOVED));
}

static void
apply_peers(struct relay_agent *agent)
{
    agent->admission.announce_target_count = 0;
    for (size_t i = 0; i < agent->settings.peer_count; i++) {
        admission_add_announce_target(&agent->admission,
                                      agent->settings.peers[i]);
    }
}

static void
reload(struct relay_agent *agent)
{
    char report[256];
    int ret = settings_file_reload(&agent->file, &agent->settings, report,
                                   sizeof(report));

    agent->log.max_per_s = agent->settings.log_per_s;
    agent->admission.endpoint.interval_us =
        agent->settings.heartbeat_ms * USEC_PER_MSEC;
    admission_set_scheduling(&agent->admission, agent->settings.scheduling,
                             loop_now_us(&agent->loop));
    apply_peers(agent);
    event_log_write(&agent->log, EVENT_UNLIMITED, "reload",
                    "result=%s peers=%zu log_per_s=%u stop_ms=%u "
                    "reason=\"%s\"",
                    ret == 0 ? "taken" : "refused", agent->settings.peer_count,
                    agent->settings.log_per_s, agent->settings.stop_ms,
                    report);
}

/* Hands the store's epoch, as seen by the registration's calls, to admission,
 * which advertises it in frames. */
static void
update_epoch(struct relay_agent *agent, uint64_t now_us)
{
    struct evacuations latest = {.epoch = agent->registration.epoch};

    (void)admission_handle_evacuations(&agent->admission, &latest, now_us);
}

/* Writes the agent's object again if it was removed from the store although
 * the endpoint is up. */
static void
register_again(struct relay_agent *agent, uint64_t now_us)
{
    if (agent->admission.unlisted &&
        agent->admission.endpoint.state != ENDPOINT_GONE) {
        event_log_write(
            &agent->log, EVENT_UNLIMITED, "unlisted", "endpoint=%s",
            relay_agent_state_names[agent->admission.endpoint.state]);
        registration_writer_restore(&agent->registration, now_us);
    }
    agent->admission.unlisted = false;
}

static uint64_t
on_tick(struct loop *loop, uint64_t now_us)
{
    struct relay_agent *agent = container_of(loop, struct relay_agent, loop);
    uint64_t records_us;
    uint64_t next_us;

    /* Read pending packets first: in a late tick they must not count as
     * timeouts. */
    dgram_poll(&agent->outbound);
    admission_tick(&agent->admission, now_us);
    dgram_flush(&agent->outbound);
    dgram_flush(&agent->frames);
    register_again(agent, now_us);
    registration_writer_tick(&agent->registration, now_us);
    if (agent->registration.created) {
        endpoint_set_new_address(&agent->admission.endpoint);
    }
    update_epoch(agent, now_us);
    records_us = relay_agent_records_tick(agent, now_us);
    if (settings_file_changed(&agent->file, now_us)) {
        reload(agent);
    }
    if (now_us >= agent->flush_us) {
        event_log_flush(&agent->log);
        agent->flush_us = now_us + LOG_FLUSH_INTERVAL_US;
    }
    if (stop_is_complete(agent, now_us)) {
        loop_stop(loop);
    }
    next_us = MIN(admission_next_us(&agent->admission), agent->flush_us);
    next_us = MIN(next_us, records_us);
    return MIN(next_us, registration_writer_next_us(&agent->registration));
}

static void
on_stop(struct loop *loop, uint64_t now_us)
{
    struct relay_agent *agent = container_of(loop, struct relay_agent, loop);

    if (agent->stop_us != 0) {
        loop_stop(loop);
        return;
    }
    agent->stop_us = now_us;
    event_log_write(&agent->log, EVENT_UNLIMITED, "stopping",
                    "busy=%u endpoint=%s", agent->admission.busy_count,
                    relay_agent_state_names[agent->admission.endpoint.state]);
    if (agent->admission.endpoint.state == ENDPOINT_GONE) {
        registration_writer_remove(&agent->registration, now_us);
    }
    admission_drain(&agent->admission, now_us);
    relay_agent_flush(agent);
}

static void
on_reload(struct loop *loop)
{
    struct relay_agent *agent = container_of(loop, struct relay_agent, loop);

    reload(agent);
}

static const struct loop_ops loop_ops = {on_tick, on_stop, on_reload};

/* Startup. */

static int
start_sockets(struct relay_agent *agent, struct error *err)
{
    const struct relay_settings *settings = &agent->settings;
    struct event_base *base = agent->loop.base;
    int ret = dgram_init(&agent->frames, &relay_agent_frames_ops, agent, base,
                         settings->data, err);

    if (ret == 0) {
        ret = dgram_init(&agent->outbound, &relay_agent_outbound_ops, agent,
                         base, settings->outbound, err);
    }
    if (ret < 0) {
        return ret;
    }
    agent->heartbeat_handler.ops = &relay_agent_heartbeat_ops;
    agent->heartbeats =
        httpd_new(base, settings->heartbeats, &agent->heartbeat_handler, err);
    agent->ready_handler.ops = &relay_agent_ready_ops;
    agent->ready =
        httpd_new(base, settings->ready, &agent->ready_handler, err);
    if (agent->heartbeats == NULL || agent->ready == NULL) {
        return err->code;
    }
    if (settings->metrics.ip != 0) {
        agent->metrics =
            httpd_new(base, settings->metrics, &agent->ready_handler, err);
    }
    return settings->metrics.ip != 0 && agent->metrics == NULL ? err->code : 0;
}

static int
start_registration(struct relay_agent *agent, uint64_t now_us)
{
    struct registration registration = {.addr = agent->frames.addr};

    agent->store = object_store_new(agent->loop.base, agent->settings.store);
    if (agent->store == NULL) {
        return -ENOMEM;
    }
    g_strlcpy(registration.service, agent->settings.service,
              sizeof(registration.service));
    g_strlcpy(registration.data_centre, agent->settings.data_centre,
              sizeof(registration.data_centre));
    registration_writer_init(&agent->registration, agent->store, &registration,
                             now_us);
    return 0;
}

static int
start(struct relay_agent *agent, const char *path, struct error *err)
{
    char upstream[ADDR_TEXT_MAX];
    int ret;

    agent->out.ops = &relay_agent_out_ops;
    agent->frames.fd = agent->outbound.fd = -1;
    agent->probe.fd = -1;
    agent->last_refusal = HEARTBEAT_ACCEPTED;
    if (loop_init(&agent->loop, &loop_ops) < 0) {
        return error_set(err, -ENOMEM, "start", NULL,
                         "the event loop can't be created");
    }
    agent->started_us = loop_now_us(&agent->loop);
    settings_file_init(&agent->file, path, RELAY_AGENT, agent->started_us);
    event_log_init(&agent->log, &agent->loop.clock, agent->settings.name,
                   STDOUT_FILENO, agent->settings.log_per_s);
    ret = start_sockets(agent, err);
    if (ret < 0) {
        return ret;
    }
    if (admission_init(&agent->admission, &agent->out, agent->frames.addr,
                       agent->settings.data_centre, agent->settings.service,
                       agent->started_us) < 0 ||
        start_registration(agent, agent->started_us) < 0 ||
        relay_agent_records_start(agent, agent->started_us) < 0) {
        return error_set(err, -ENOMEM, "start", NULL, "no memory");
    }
    probe_init(&agent->probe, &relay_agent_probe_ops, agent->loop.base,
               agent->settings.upstream);
    apply_peers(agent);
    agent->admission.scheduling = agent->settings.scheduling;
    agent->admission.endpoint.interval_us =
        agent->settings.heartbeat_ms * USEC_PER_MSEC;
    event_log_write(&agent->log, EVENT_UNLIMITED, "started",
                    "role=agent data_centre=%s service=%s upstream=%s",
                    agent->settings.data_centre, agent->settings.service,
                    addr_format(agent->settings.upstream, upstream));
    return 0;
}

static void
finish(struct relay_agent *agent)
{
    if (agent->store != NULL) {
        agent->store->ops->free(agent->store);
    }
    relay_agent_records_finish(agent);
    probe_finish(&agent->probe);
    httpd_free(agent->ready);
    httpd_free(agent->metrics);
    httpd_free(agent->heartbeats);
    dgram_finish(&agent->frames);
    dgram_finish(&agent->outbound);
    admission_finish(&agent->admission);
    loop_finish(&agent->loop);
}

int
relay_agent_run(const char *settings_path)
{
    struct relay_agent *agent = g_new0(struct relay_agent, 1);
    struct error err = {0};
    char line[512];
    int code = EXIT_STOPPED;

    if (relay_settings_read(&agent->settings, RELAY_AGENT, settings_path) <
        0) {
        g_free(agent);
        return EXIT_SETTINGS;
    }
    if (start(agent, settings_path, &err) < 0) {
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
        code = EXIT_ERROR;
    }
    else {
        loop_run(&agent->loop);
        event_log_write(&agent->log, EVENT_UNLIMITED, "stopped",
                        "flows=%" PRIu64, agent->counts.established);
        event_log_flush(&agent->log);
    }
    finish(agent);
    g_free(agent);
    return code;
}
