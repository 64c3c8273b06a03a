#include "relay/program/share.h"

#include <errno.h>
#include <string.h>

#include "base/clock.h"
#include "base/container.h"

/* A peer answers within a few ms; a dead one costs this long. */
#define TIMEOUT_MS 400

/* Pause between two questions, so that peers aren't flooded after a total
 * loss, when none of them knows anything. */
#define PAUSE_US (150 * USEC_PER_MSEC)

#define BODY_MAX (4u << 20)

static struct json_object *
member(struct json_object *object, const char *name)
{
    struct json_object *value = NULL;

    if (json_object_is_type(object, json_type_object)) {
        json_object_object_get_ex(object, name, &value);
    }
    return value;
}

static void
tell_agents(struct share *share, struct json_object *list)
{
    size_t count = 0;

    if (json_object_is_type(list, json_type_array)) {
        count = json_object_array_length(list);
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(list, i);
        const char *text = json_object_get_string(member(item, "address"));
        const char *place =
            json_object_get_string(member(item, "data_centre"));
        uint32_t service =
            (uint32_t)json_object_get_int64(member(item, "service"));
        struct addr addr;

        if (text != NULL && place != NULL && addr_parse(text, &addr) == 0) {
            share->ops->agent(share, addr, service, place);
        }
    }
}

static int
read_answer(struct share *share, const struct httpc_reply *reply)
{
    struct json_tokener *tokener = json_tokener_new();
    struct json_object *json =
        json_tokener_parse_ex(tokener, reply->body, (int)reply->len);

    json_tokener_free(tokener);
    if (!json_object_is_type(json, json_type_object)) {
        json_object_put(json);
        return -EPROTO;
    }
    tell_agents(share, member(json, "agents"));
    share->ops->config(share, member(json, "config"));
    json_object_put(json);
    return 0;
}

static void
on_done(struct httpc_call *call, const struct httpc_reply *reply)
{
    struct share *share = container_of(call, struct share, call);
    int status = reply->status < 0 ? reply->status : -EPROTO;

    if (reply->status == 200 && reply->len > 0) {
        status = read_answer(share, reply);
    }
    share->ops->answered(share, share->peer, status);
}

void
share_init(struct share *share, const struct share_ops *ops,
           struct event_base *base, uint64_t seed)
{
    memset(share, 0, sizeof(*share));
    share->ops = ops;
    share->call.done = on_done;
    share->base = base;
    share->turn = (size_t)seed;
}

void
share_peers(struct share *share, const struct addr *peers, size_t count,
            struct addr self)
{
    share->peer_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (!addr_equal(peers[i], self)) {
            share->peers[share->peer_count++] = peers[i];
        }
    }
}

void
share_finish(struct share *share)
{
    httpc_free(share->httpc);
    share->httpc = NULL;
}

static void
ask(struct share *share, struct addr peer, const char *target, uint64_t now_us)
{
    struct httpc_request request = {
        .method = HTTPC_GET,
        .target = target,
        .timeout_ms = TIMEOUT_MS,
    };

    if (now_us < share->next_us ||
        (share->httpc != NULL && httpc_busy(share->httpc))) {
        return;
    }
    if (share->httpc == NULL || !addr_equal(share->peer, peer)) {
        httpc_free(share->httpc);
        share->httpc = httpc_new_addr(share->base, peer, BODY_MAX);
        share->peer = peer;
    }
    share->next_us = now_us + PAUSE_US;
    if (share->httpc == NULL ||
        httpc_start(share->httpc, &request, &share->call) < 0) {
        share->ops->answered(share, peer, -ENOMEM);
    }
}

void
share_ask_config(struct share *share, struct addr peer, uint64_t now_us)
{
    ask(share, peer, SHARE_PATH "?" SHARE_CONFIG_ONLY "=1", now_us);
}

void
share_ask_next(struct share *share, uint64_t now_us)
{
    if (share->peer_count > 0 && now_us >= share->next_us) {
        ask(share, share->peers[share->turn++ % share->peer_count], SHARE_PATH,
            now_us);
    }
}

struct json_object *
share_encode(struct json_object *config, const struct agents *agents)
{
    struct json_object *json = json_object_new_object();
    struct json_object *list = json_object_new_array();
    size_t count = agents != NULL ? agents_count(agents) : 0;

    for (size_t i = 0; i < count; i++) {
        const struct agent_row *row = agents_at(agents, i);
        struct json_object *item = json_object_new_object();
        char addr[ADDR_TEXT_MAX];

        if (row->suspect || row->health.state == ENDPOINT_GONE) {
            continue;
        }
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
