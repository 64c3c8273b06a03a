#include "relay/program/config_peer.h"

#include <errno.h>
#include <string.h>

#include "base/clock.h"
#include "base/container.h"

/* Bounds the delay that an unreachable peer causes. */
#define TIMEOUT_MS 400

/* Interval between two queries; limits the load on peers while none of them
 * has a configuration. */
#define QUERY_INTERVAL_US (150 * USEC_PER_MSEC)

/* Largest reply, in bytes. */
#define BODY_MAX (4u << 20)

static struct json_object *
get_member(struct json_object *object, const char *name)
{
    struct json_object *value = NULL;

    if (json_object_is_type(object, json_type_object)) {
        json_object_object_get_ex(object, name, &value);
    }
    return value;
}

static void
report_agents(struct config_peer *config_peer, struct json_object *list)
{
    size_t count = 0;

    if (json_object_is_type(list, json_type_array)) {
        count = json_object_array_length(list);
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(list, i);
        const char *text = json_object_get_string(get_member(item, "address"));
        const char *data_centre =
            json_object_get_string(get_member(item, "data_centre"));
        uint32_t service =
            (uint32_t)json_object_get_int64(get_member(item, "service"));
        struct addr addr;

        if (text != NULL && data_centre != NULL &&
            addr_parse(text, &addr) == 0) {
            config_peer->ops->agent(config_peer, addr, service, data_centre);
        }
    }
}

static int
read_reply(struct config_peer *config_peer, const struct httpc_reply *reply)
{
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *json =
        json_tokener_parse_ex(tokener, reply->body, (int)reply->len);

    json_tokener_free(tokener);
    if (!json_object_is_type(json, json_type_object)) {
        json_object_put(json);
        return -EPROTO;
    }
    report_agents(config_peer, get_member(json, "agents"));
    config_peer->ops->config(config_peer, get_member(json, "config"));
    json_object_put(json);
    return 0;
}

static void
on_done(struct httpc_call *call, const struct httpc_reply *reply)
{
    struct config_peer *config_peer =
        container_of(call, struct config_peer, call);
    int status = reply->status < 0 ? reply->status : -EPROTO;

    if (reply->status == 200 && reply->len > 0) {
        status = read_reply(config_peer, reply);
    }
    config_peer->ops->replied(config_peer, config_peer->peer, status);
}

void
config_peer_init(struct config_peer *config_peer,
                 const struct config_peer_ops *ops, struct event_base *base,
                 uint64_t seed)
{
    memset(config_peer, 0, sizeof(*config_peer));
    config_peer->ops = ops;
    config_peer->call.done = on_done;
    config_peer->base = base;
    config_peer->next_peer = (size_t)seed;
}

void
config_peer_set_peers(struct config_peer *config_peer,
                      const struct addr *peers, size_t count, struct addr self)
{
    config_peer->peer_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (!addr_equal(peers[i], self)) {
            config_peer->peers[config_peer->peer_count++] = peers[i];
        }
    }
}

void
config_peer_finish(struct config_peer *config_peer)
{
    httpc_free(config_peer->httpc);
    config_peer->httpc = NULL;
}

static void
start_query(struct config_peer *config_peer, struct addr peer,
            const char *target, uint64_t now_us)
{
    struct httpc_request request = {
        .method = HTTPC_GET,
        .target = target,
        .timeout_ms = TIMEOUT_MS,
    };

    if (now_us < config_peer->next_us ||
        (config_peer->httpc != NULL && httpc_busy(config_peer->httpc))) {
        return;
    }
    if (config_peer->httpc == NULL || !addr_equal(config_peer->peer, peer)) {
        httpc_free(config_peer->httpc);
        config_peer->httpc = httpc_new_addr(config_peer->base, peer, BODY_MAX);
        config_peer->peer = peer;
    }
    config_peer->next_us = now_us + QUERY_INTERVAL_US;
    if (config_peer->httpc == NULL ||
        httpc_start(config_peer->httpc, &request, &config_peer->call) < 0) {
        config_peer->ops->replied(config_peer, peer, -ENOMEM);
    }
}

void
config_peer_query_config(struct config_peer *config_peer, struct addr peer,
                         uint64_t now_us)
{
    start_query(config_peer, peer,
                CONFIG_PEER_PATH "?" CONFIG_PEER_CONFIG_ONLY "=1", now_us);
}

void
config_peer_query_next(struct config_peer *config_peer, uint64_t now_us)
{
    if (config_peer->peer_count > 0 && now_us >= config_peer->next_us) {
        start_query(config_peer,
                    config_peer->peers[config_peer->next_peer++ %
                                       config_peer->peer_count],
                    CONFIG_PEER_PATH, now_us);
    }
}

struct json_object *
config_peer_encode(struct json_object *config, const struct agents *agents)
{
    struct json_object *json = json_object_new_object();
    struct json_object *list = json_object_new_array();
    size_t count = agents != NULL ? agents_count(agents) : 0;

    for (size_t i = 0; i < count; i++) {
        const struct agent_row *row = agents_at(agents, i);
        struct json_object *item;
        char addr[ADDR_TEXT_MAX];

        if (row->suspect || row->health.state == ENDPOINT_GONE ||
            !agent_is_known(row)) {
            continue;
        }
        item = json_object_new_object();
        json_object_object_add(
            item, "address",
            json_object_new_string(addr_format(row->addr, addr)));
        json_object_object_add(item, "service",
                               json_object_new_int64(row->health.service));
        json_object_object_add(item, "data_centre",
                               json_object_new_string(row->data_centre));
        json_object_array_add(list, item);
    }
    json_object_object_add(json, "agents", list);
    if (config != NULL) {
        json_object_object_add(json, "config", json_object_get(config));
    }
    return json;
}
