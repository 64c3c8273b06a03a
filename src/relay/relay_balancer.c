#include "relay/relay_balancer.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/container.h"
#include "base/counter.h"
#include "base/event_log.h"
#include "base/hash.h"
#include "base/httpd.h"
#include "platform/config_format.h"
#include "platform/object_store.h"
#include "platform/packet_format.h"
#include "relay/follow.h"
#include "relay/loop.h"
#include "relay/presence.h"
#include "relay/relay_settings.h"
#include "relay/settings_file.h"
#include "relay/share.h"
#include "relay/steer.h"
#include "relay/dgram.h"

#define FLUSH_US (100 * USEC_PER_MSEC)

/* Agents come in bursts (a release, a data centre that starts): one watch
 * call then brings them all. New ones aren't missed for that long. */
#define AGENTS_GAP_US (100 * USEC_PER_MSEC)

/* When the store takes longer than this, peers are asked too: its answers
 * take 4 ms. While it says that there is no configuration yet, they are left
 * alone: the few that all hosts name would be asked by the whole fleet. */
#define PEERS_AFTER_US (60 * USEC_PER_MSEC)

/* On a planned stop the fabric needs two missed probes, half a second apart,
 * to send packets elsewhere; then what comes has ended. */
#define STOP_QUIET_US (400 * USEC_PER_MSEC)
#define STOP_LEAST_US (1200 * USEC_PER_MSEC)

enum { EXIT_STOPPED = 0, EXIT_ERROR = 1, EXIT_SETTINGS = 2 };

/**
 * struct relay_balancer - the program
 * @loop: events and time
 * @out: outputs of @steer
 * @settings: settings
 * @file: the file that they are from
 * @steer: decisions
 * @data: packets of callers
 * @frames: frames from agents
 * @ready_handler: answers /ready and /metrics
 * @ready: its listener
 * @metrics: a second one, or NULL
 * @share_handler: answers peers
 * @share_httpd: its listener
 * @stores: connections to the store
 * @config_follow: the operators' configuration
 * @agents_follow: the agents' objects
 * @share: asks peers
 * @config: configuration in force, as it was read
 * @log: lines on standard output
 * @started_us: when the program started
 * @stop_us: when the planned stop began, 0 for none
 * @packet_us: when the last packet came
 * @flush_us: when the log is written next
 * @was_ready: whether callers were served at the last look
 * @counts: packets and frames
 */
struct relay_balancer {
    struct loop loop;
    struct steer_out out;
    struct relay_settings settings;
    struct settings_file file;
    struct steer steer;
    struct dgram data;
    struct dgram frames;
    struct httpd_handler ready_handler;
    struct httpd *ready;
    struct httpd *metrics;
    struct httpd_handler share_handler;
    struct httpd *share_httpd;
    struct store *stores[2];
    struct follow config_follow;
    struct follow agents_follow;
    struct share share;
    struct json_object *config;
    struct event_log log;
    uint64_t started_us;
    uint64_t stop_us;
    uint64_t packet_us;
    uint64_t flush_us;
    bool was_ready;
    struct {
        uint64_t packets;
        uint64_t frames_out;
        uint64_t opened;
        uint64_t tried_again;
        uint64_t placed;
        uint64_t pings;
        uint64_t resets;
        uint64_t dropped[STEER_DROP_COUNT];
    } counts;
};

static const char *const drop_names[] = {
    [STEER_DROP_MALFORMED] = "malformed",
    [STEER_DROP_NO_CONFIG] = "no_configuration",
    [STEER_DROP_NO_ROUTE] = "no_route",
    [STEER_DROP_NO_AGENT] = "no_agent",
    [STEER_DROP_FOREIGN] = "foreign",
};

static const char *const did_names[] = {
    [STEER_DID_SEND] = "sent",
    [STEER_DID_PLACE] = "placed",
    [STEER_DID_RESET] = "reset",
};

/* Outputs of steer. */

static struct relay_balancer *
of_out(struct steer_out *out)
{
    return container_of(out, struct relay_balancer, out);
}

static void
out_carry(struct steer_out *out, struct addr agent,
          const struct frame_carry *frame)
{
    struct relay_balancer *balancer = of_out(out);
    size_t size = frame_carry_encode(frame, dgram_buffer(&balancer->frames));

    dgram_queue(&balancer->frames, agent, size);
    balancer->counts.frames_out++;
}

static void
out_reset(struct steer_out *out, struct relay_flow flow, uint32_t seq)
{
    struct relay_balancer *balancer = of_out(out);
    struct addr to = {flow.caller.ip, balancer->data.addr.port};

    packet_format_reset(flow, seq, dgram_buffer(&balancer->data));
    dgram_queue(&balancer->data, to, PACKET_FORMAT_HEAD);
    dgram_flush(&balancer->data);
    balancer->counts.resets++;
}

static void
out_ping(struct steer_out *out, struct addr agent)
{
    struct relay_balancer *balancer = of_out(out);
    struct frame_version version = {
        .version = balancer->steer.routes.version,
        .holder = balancer->settings.share,
    };
    size_t size = frame_ping_encode(&version, dgram_buffer(&balancer->frames));

    dgram_queue(&balancer->frames, agent, size);
    balancer->counts.pings++;
}

static void
out_behind(struct steer_out *out, const struct frame_version *newer)
{
    struct relay_balancer *balancer = of_out(out);
    struct addr peer = {newer->holder.ip, balancer->settings.share.port};

    if (newer->holder.ip != balancer->settings.share.ip) {
        share_ask(&balancer->share, peer, loop_now_us(&balancer->loop));
    }
}

static void
out_dropped(struct steer_out *out, enum steer_drop why,
            const struct relay_packet *packet)
{
    struct relay_balancer *balancer = of_out(out);
    char caller[ADDR_TEXT_MAX] = "-";
    char service[ADDR_TEXT_MAX] = "-";

    balancer->counts.dropped[why]++;
    if (!event_log_wants(&balancer->log, EVENT_ROUTINE)) {
        return;
    }
    if (packet != NULL) {
        addr_format(packet->from, caller);
        addr_format(packet->to, service);
    }
    event_log_line(&balancer->log, EVENT_ROUTINE, "dropped",
                   "caller=%s service=%s reason=%s config=%" PRIu64, caller,
                   service, drop_names[why], balancer->steer.routes.version);
}

static void
out_decided(struct steer_out *out, enum steer_did did, struct relay_flow flow,
            struct addr agent, unsigned tries, uint64_t age_us)
{
    struct relay_balancer *balancer = of_out(out);
    bool placed = did == STEER_DID_PLACE;
    bool sent = did == STEER_DID_SEND;
    char caller[ADDR_TEXT_MAX];
    char service[ADDR_TEXT_MAX];
    char peer[ADDR_TEXT_MAX];

    balancer->counts.placed += placed;
    balancer->counts.opened += sent && tries == 1;
    balancer->counts.tried_again += sent && tries > 1;
    /* A flow's first try is told by the line that says where it ended. */
    if ((sent && tries == 1) ||
        !event_log_wants(&balancer->log, EVENT_ROUTINE)) {
        return;
    }
    event_log_line(&balancer->log, EVENT_ROUTINE, did_names[did],
                   "caller=%s service=%s agent=%s tries=%u age_us=%" PRIu64
                   " config=%" PRIu64,
                   addr_format(flow.caller, caller),
                   addr_format(flow.service, service),
                   addr_format(agent, peer), tries, age_us,
                   balancer->steer.routes.version);
}

static const struct steer_out_ops out_ops = {
    .carry = out_carry,
    .reset = out_reset,
    .ping = out_ping,
    .behind = out_behind,
    .dropped = out_dropped,
    .decided = out_decided,
};

/* Datagrams. */

static void
on_packet(struct dgram *dgram, struct addr from, const uint8_t *bytes,
          size_t size)
{
    struct relay_balancer *balancer = dgram->owner;
    struct relay_packet packet;

    balancer->counts.packets++;
    balancer->packet_us = loop_now_us(&balancer->loop);
    if (packet_format_decode(bytes, size, &packet) < 0) {
        out_dropped(&balancer->out, STEER_DROP_MALFORMED, NULL);
        return;
    }
    steer_packet(&balancer->steer, &packet, balancer->packet_us);
}

static void
on_served(struct relay_balancer *balancer, struct addr agent,
          const struct frame_served *served)
{
    size_t before = balancer->steer.learned.count;
    char text[ADDR_TEXT_MAX];

    steer_served(&balancer->steer, served);
    if (balancer->steer.learned.count > before) {
        event_log_line(&balancer->log, EVENT_RARE, "route_learned",
                       "agent=%s service=%08x routes=%zu",
                       addr_format(agent, text), served->service,
                       balancer->steer.learned.count);
    }
}

static void
on_frame(struct dgram *dgram, struct addr from, const uint8_t *bytes,
         size_t size)
{
    struct relay_balancer *balancer = dgram->owner;
    struct frame_status status;
    struct frame_served served;
    int type = frame_type(bytes, size);

    if (type == FRAME_SERVED &&
        frame_served_decode(bytes, size, &served) == 0) {
        on_served(balancer, from, &served);
        return;
    }
    if (type < FRAME_PLACED || type > FRAME_STATE ||
        frame_status_decode(bytes, size, &status) < 0) {
        out_dropped(&balancer->out, STEER_DROP_FOREIGN, NULL);
        return;
    }
    steer_status(&balancer->steer, from, &status,
                 loop_now_us(&balancer->loop));
}

static void
on_drained(struct dgram *dgram)
{
    struct relay_balancer *balancer = dgram->owner;

    dgram_flush(&balancer->frames);
    loop_due(&balancer->loop, steer_next_us(&balancer->steer));
}

static const struct dgram_ops data_ops = {on_packet, on_drained};
static const struct dgram_ops frames_ops = {on_frame, on_drained};

/* Readiness. */

static void
look_at_readiness(struct relay_balancer *balancer)
{
    bool ready = steer_ready(&balancer->steer);

    if (ready == balancer->was_ready) {
        return;
    }
    balancer->was_ready = ready;
    event_log_line(&balancer->log, EVENT_RARE, ready ? "ready" : "not_ready",
                   "config=%" PRIu64 " agents=%zu since_start_us=%" PRIu64,
                   balancer->steer.routes.version,
                   agents_count(&balancer->steer.agents),
                   loop_now_us(&balancer->loop) - balancer->started_us);
}

/* Configuration. */

static void
take_config(struct relay_balancer *balancer, struct json_object *json,
            const char *source)
{
    struct routes routes;
    struct error err = {0};
    char line[512];

    if (config_format_decode(json, &routes, &err) < 0) {
        event_log_line(&balancer->log, EVENT_RARE, "config_refused",
                       "source=%s reason=\"%s\"", source,
                       error_format(&err, line, sizeof(line)));
        return;
    }
    if (!steer_routes(&balancer->steer, &routes)) {
        return;
    }
    json_object_put(balancer->config);
    balancer->config = json_object_get(json);
    event_log_line(&balancer->log, EVENT_RARE, "config",
                   "version=%" PRIu64 " routes=%zu source=%s",
                   balancer->steer.routes.version,
                   balancer->steer.routes.count, source);
}

static void
nothing_listed(struct follow *follow)
{
    /* An operator never takes the configuration away. */
}

static void
config_object(struct follow *follow, const struct store_object *object)
{
    struct relay_balancer *balancer =
        container_of(follow, struct relay_balancer, config_follow);

    if (!object->removed && strcmp(object->name, CONFIG_FORMAT_NAME) == 0) {
        take_config(balancer, object->value, "store");
    }
}

static void
on_ended(struct relay_balancer *balancer, const struct follow *follow,
         int status, bool changed)
{
    loop_due(&balancer->loop, loop_now_us(&balancer->loop));
    look_at_readiness(balancer);
    if (!changed) {
        return;
    }
    event_log_line(&balancer->log, EVENT_RARE,
                   status == 0 ? "store_reached" : "store_lost",
                   "kind=%s revision=%" PRIu64 " reason=\"%s\"", follow->kind,
                   follow->revision, status == 0 ? "" : strerror(-status));
}

static void
config_ended(struct follow *follow, int status, bool changed)
{
    on_ended(container_of(follow, struct relay_balancer, config_follow),
             follow, status, changed);
}

static const struct follow_ops config_ops = {
    .listing = nothing_listed,
    .object = config_object,
    .listed = nothing_listed,
    .ended = config_ended,
};

/* Agents. */

static void
agents_listing(struct follow *follow)
{
    struct relay_balancer *balancer =
        container_of(follow, struct relay_balancer, agents_follow);
    struct agents *agents = &balancer->steer.agents;

    for (size_t i = 0; i < agents_count(agents); i++) {
        agents_at(agents, i)->listed = false;
    }
}

static void
agents_object(struct follow *follow, const struct store_object *object)
{
    struct relay_balancer *balancer =
        container_of(follow, struct relay_balancer, agents_follow);
    uint64_t now_us = loop_now_us(&balancer->loop);
    struct presence presence;
    struct addr addr;

    if (object->removed) {
        if (presence_addr(object->name, &addr) == 0) {
            agents_unlist(&balancer->steer.agents, addr, now_us);
        }
        return;
    }
    if (presence_decode(object->value, &presence) < 0) {
        event_log_line(&balancer->log, EVENT_RARE, "agent_refused",
                       "object=%s reason=\"its value can't be read\"",
                       object->name);
        return;
    }
    agents_list(&balancer->steer.agents, presence.addr,
                hash_service(presence.service), presence.data_centre, now_us);
    event_log_line(&balancer->log, EVENT_ROUTINE, "agent_listed",
                   "agent=%s service=%s data_centre=%s revision=%" PRIu64,
                   object->name, presence.service, presence.data_centre,
                   object->revision);
}

static void
agents_listed(struct follow *follow)
{
    struct relay_balancer *balancer =
        container_of(follow, struct relay_balancer, agents_follow);
    struct agents *agents = &balancer->steer.agents;
    uint64_t now_us = loop_now_us(&balancer->loop);

    /* Backwards: a row that is removed gives its place to the last. */
    for (size_t i = agents_count(agents); i-- > 0;) {
        if (!agents_at(agents, i)->listed) {
            agents_unlist(agents, agents_at(agents, i)->addr, now_us);
        }
    }
}

static void
agents_ended(struct follow *follow, int status, bool changed)
{
    on_ended(container_of(follow, struct relay_balancer, agents_follow),
             follow, status, changed);
}

static const struct follow_ops agents_ops = {
    .listing = agents_listing,
    .object = agents_object,
    .listed = agents_listed,
    .ended = agents_ended,
};

/* Peers. */

static void
share_config(struct share *share, struct json_object *config)
{
    struct relay_balancer *balancer =
        container_of(share, struct relay_balancer, share);

    if (config != NULL) {
        take_config(balancer, config, "peer");
    }
}

static void
share_agent(struct share *share, struct addr addr, uint32_t service,
            const char *data_centre)
{
    struct relay_balancer *balancer =
        container_of(share, struct relay_balancer, share);

    if (agents_find(&balancer->steer.agents, addr) == NULL) {
        agents_list(&balancer->steer.agents, addr, service, data_centre,
                    loop_now_us(&balancer->loop));
    }
}

static void
share_answered(struct share *share, struct addr peer, int status)
{
    struct relay_balancer *balancer =
        container_of(share, struct relay_balancer, share);
    char text[ADDR_TEXT_MAX];

    event_log_line(&balancer->log, EVENT_ROUTINE, "peer_asked",
                   "peer=%s config=%" PRIu64 " reason=\"%s\"",
                   addr_format(peer, text), balancer->steer.routes.version,
                   status == 0 ? "" : strerror(-status));
}

static const struct share_ops share_ops = {
    .config = share_config,
    .agent = share_agent,
    .answered = share_answered,
};

/* HTTP. */

static void
respond_metrics(struct relay_balancer *balancer, struct httpd_request *request)
{
    GString *text = g_string_new(NULL);
    const struct steer *steer = &balancer->steer;

    g_string_append_printf(
        text,
        "swiftarch_packets_total %" PRIu64 "\n"
        "swiftarch_frames_sent_total %" PRIu64 "\n"
        "swiftarch_flows_opened_total %" PRIu64 "\n"
        "swiftarch_flows_tried_again_total %" PRIu64 "\n"
        "swiftarch_flows_placed_total %" PRIu64 "\n"
        "swiftarch_pings_total %" PRIu64 "\n"
        "swiftarch_flows_reset_total %" PRIu64 "\n"
        "swiftarch_flows %u\n"
        "swiftarch_agents %zu\n"
        "swiftarch_config_version %" PRIu64 "\n"
        "swiftarch_log_lines_left_out_total %" PRIu64 "\n",
        balancer->counts.packets, balancer->counts.frames_out,
        balancer->counts.opened, balancer->counts.tried_again,
        balancer->counts.placed, balancer->counts.pings,
        balancer->counts.resets, steer->flows.used,
        agents_count(&steer->agents), steer->routes.version,
        balancer->log.left_out_total);
    for (size_t i = 0; i < STEER_DROP_COUNT; i++) {
        g_string_append_printf(
            text, "swiftarch_dropped_total{reason=\"%s\"} %" PRIu64 "\n",
            drop_names[i], balancer->counts.dropped[i]);
    }
    httpd_respond(request, 200, "text/plain; version=0.0.4", text->str,
                  text->len);
    g_string_free(text, TRUE);
}

static int
on_ready_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct relay_balancer *balancer =
        container_of(handler, struct relay_balancer, ready_handler);
    const char *path = httpd_request_path(request);
    bool ready = balancer->stop_us == 0 && steer_ready(&balancer->steer);

    if (strcmp(path, "/ready") == 0) {
        httpd_respond(request, ready ? 200 : 503, "application/json", "{}", 2);
    }
    else if (strcmp(path, "/metrics") == 0) {
        respond_metrics(balancer, request);
    }
    else {
        httpd_respond(request, 404, "application/json", "{}", 2);
    }
    return 0;
}

static int
on_share_request(struct httpd_handler *handler, struct httpd_request *request)
{
    struct relay_balancer *balancer =
        container_of(handler, struct relay_balancer, share_handler);
    struct json_object *json;
    const char *text;
    size_t len;

    if (strcmp(httpd_request_path(request), SHARE_PATH) != 0) {
        httpd_respond(request, 404, "application/json", "{}", 2);
        return 0;
    }
    json = share_encode(balancer->config, &balancer->steer.agents);
    text =
        json_object_to_json_string_length(json, JSON_C_TO_STRING_PLAIN, &len);
    httpd_respond(request, 200, "application/json", text, len);
    json_object_put(json);
    return 0;
}

static const struct httpd_ops ready_ops = {on_ready_request};
static const struct httpd_ops share_httpd_ops = {on_share_request};

static void
take_peers(struct relay_balancer *balancer)
{
    share_peers(&balancer->share, balancer->settings.peers,
                balancer->settings.peer_count, balancer->settings.share);
}

/* Time and signals. */

static bool
stop_is_over(const struct relay_balancer *balancer, uint64_t now_us)
{
    uint64_t since_us = now_us - balancer->stop_us;

    if (balancer->stop_us == 0) {
        return false;
    }
    return since_us >= balancer->settings.stop_ms * USEC_PER_MSEC ||
           (since_us >= STOP_LEAST_US &&
            now_us - balancer->packet_us >= STOP_QUIET_US);
}

static void
ask_peers(struct relay_balancer *balancer, uint64_t now_us)
{
    if (balancer->steer.routes.version == 0 &&
        follow_is_away(&balancer->config_follow, now_us, PEERS_AFTER_US)) {
        share_ask_next(&balancer->share, now_us);
    }
}

/* The configuration's calls find out whether the store is back; the agents'
 * wait for that, so that an outage costs half the calls. */
static bool
agents_may_call(const struct relay_balancer *balancer)
{
    return balancer->agents_follow.failures == 0 ||
           balancer->config_follow.failures == 0;
}

static void
tick_follows(struct relay_balancer *balancer, uint64_t now_us)
{
    balancer->config_follow.eager = balancer->steer.routes.version == 0;
    follow_tick(&balancer->config_follow, now_us);
    if (agents_may_call(balancer)) {
        follow_tick(&balancer->agents_follow, now_us);
    }
}

static void
reload(struct relay_balancer *balancer)
{
    char report[256];
    int ret = settings_file_reload(&balancer->file, &balancer->settings,
                                   report, sizeof(report));

    balancer->log.per_s = balancer->settings.log_per_s;
    take_peers(balancer);
    event_log_line(&balancer->log, EVENT_RARE, "reload",
                   "result=%s peers=%zu log_per_s=%u stop_ms=%u "
                   "reason=\"%s\"",
                   ret == 0 ? "taken" : "refused",
                   balancer->settings.peer_count, balancer->settings.log_per_s,
                   balancer->settings.stop_ms, report);
}

static uint64_t
on_tick(struct loop *loop, uint64_t now_us)
{
    struct relay_balancer *balancer =
        container_of(loop, struct relay_balancer, loop);
    uint64_t next_us;

    /* Answers that wait are no missed answers. */
    dgram_poll(&balancer->frames);
    steer_tick(&balancer->steer, now_us);
    dgram_flush(&balancer->frames);
    tick_follows(balancer, now_us);
    ask_peers(balancer, now_us);
    if (settings_file_changed(&balancer->file, now_us)) {
        reload(balancer);
    }
    if (now_us >= balancer->flush_us) {
        look_at_readiness(balancer);
        event_log_flush(&balancer->log);
        balancer->flush_us = now_us + FLUSH_US;
    }
    if (stop_is_over(balancer, now_us)) {
        loop_end(loop);
    }
    next_us = MIN(steer_next_us(&balancer->steer), balancer->flush_us);
    next_us = MIN(next_us, follow_next_us(&balancer->config_follow));
    if (agents_may_call(balancer)) {
        next_us = MIN(next_us, follow_next_us(&balancer->agents_follow));
    }
    return next_us;
}

static void
on_stop(struct loop *loop, uint64_t now_us)
{
    struct relay_balancer *balancer =
        container_of(loop, struct relay_balancer, loop);

    if (balancer->stop_us != 0) {
        loop_end(loop);
        return;
    }
    balancer->stop_us = now_us;
    event_log_line(&balancer->log, EVENT_RARE, "stopping", "flows=%u",
                   balancer->steer.flows.used);
}

static void
on_reload(struct loop *loop)
{
    struct relay_balancer *balancer =
        container_of(loop, struct relay_balancer, loop);

    reload(balancer);
}

static const struct loop_ops loop_ops = {on_tick, on_stop, on_reload};

/* Start. */

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
    follow_init(&balancer->config_follow, &config_ops, balancer->stores[0],
                CONFIG_FORMAT_KIND, 0, seed, now_us);
    follow_init(&balancer->agents_follow, &agents_ops, balancer->stores[1],
                PRESENCE_KIND, AGENTS_GAP_US, seed + 1, now_us);
    share_init(&balancer->share, &share_ops, balancer->loop.base);
    take_peers(balancer);
    return 0;
}

static int
start_sockets(struct relay_balancer *balancer, struct error *err)
{
    const struct relay_settings *settings = &balancer->settings;
    struct event_base *base = balancer->loop.base;
    int ret = dgram_init(&balancer->data, &data_ops, balancer, base,
                         settings->data, err);

    if (ret == 0) {
        ret = dgram_init(&balancer->frames, &frames_ops, balancer, base,
                         settings->frames, err);
    }
    if (ret < 0) {
        return ret;
    }
    balancer->ready_handler.ops = &ready_ops;
    balancer->ready =
        httpd_new(base, settings->ready, &balancer->ready_handler, err);
    balancer->share_handler.ops = &share_httpd_ops;
    balancer->share_httpd =
        httpd_new(base, settings->share, &balancer->share_handler, err);
    if (balancer->ready == NULL || balancer->share_httpd == NULL) {
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

    balancer->out.ops = &out_ops;
    balancer->data.fd = balancer->frames.fd = -1;
    if (loop_init(&balancer->loop, &loop_ops) < 0) {
        return error_set(err, -ENOMEM, "start", NULL, "no event loop");
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
    if (steer_init(&balancer->steer, &balancer->out, balancer->frames.addr,
                   balancer->settings.data_centre) < 0) {
        return error_set(err, -ENOMEM, "start", NULL, "no memory for flows");
    }
    event_log_line(&balancer->log, EVENT_RARE, "started",
                   "role=balancer data_centre=%s",
                   balancer->settings.data_centre);
    return 0;
}

static void
finish(struct relay_balancer *balancer)
{
    share_finish(&balancer->share);
    follow_finish(&balancer->config_follow);
    follow_finish(&balancer->agents_follow);
    for (size_t i = 0; i < G_N_ELEMENTS(balancer->stores); i++) {
        if (balancer->stores[i] != NULL) {
            balancer->stores[i]->ops->free(balancer->stores[i]);
        }
    }
    httpd_free(balancer->ready);
    httpd_free(balancer->metrics);
    httpd_free(balancer->share_httpd);
    dgram_finish(&balancer->data);
    dgram_finish(&balancer->frames);
    steer_finish(&balancer->steer);
    json_object_put(balancer->config);
    loop_finish(&balancer->loop);
}

static int
load_settings(struct relay_balancer *balancer, const char *path)
{
    struct error err = {0};
    char line[512];
    char *report;

    if (relay_settings_load(&balancer->settings, RELAY_BALANCER, path, &report,
                            &err) == 0) {
        return 0;
    }
    fprintf(stderr, "%s\n",
            report != NULL ? report : error_format(&err, line, sizeof(line)));
    g_free(report);
    return -EINVAL;
}

int
relay_balancer_run(const char *settings_path)
{
    struct relay_balancer *balancer = g_new0(struct relay_balancer, 1);
    struct error err = {0};
    char line[512];
    int code = EXIT_STOPPED;

    if (load_settings(balancer, settings_path) < 0) {
        g_free(balancer);
        return EXIT_SETTINGS;
    }
    if (start(balancer, settings_path, &err) < 0) {
        fprintf(stderr, "%s\n", error_format(&err, line, sizeof(line)));
        code = EXIT_ERROR;
    }
    else {
        loop_run(&balancer->loop);
        event_log_line(&balancer->log, EVENT_RARE, "stopped",
                       "packets=%" PRIu64, balancer->counts.packets);
        event_log_flush(&balancer->log);
    }
    finish(balancer);
    g_free(balancer);
    return code;
}
