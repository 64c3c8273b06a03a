#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/peers.h"

#include <errno.h>
#include <sys/time.h>

#include "agent/peer_wire.h"
#include "agent/program.h"
#include "base/log.h"

static guint64 *
addr_key(struct addr addr)
{
    guint64 *key = g_new(guint64, 1);

    *key = (guint64)addr.ip << 16 | addr.port;
    return key;
}

static guint64 *
copy_id(uint64_t id)
{
    guint64 *copy = g_new(guint64, 1);

    *copy = id;
    return copy;
}

/* Members of other services have no business with our flows or requests. */
static bool
is_peer(struct agent *agent, uint64_t id)
{
    rcu_read_lock();
    const struct view *view = board_view(&agent->board);
    const struct view_member *member =
        view == NULL ? NULL : view_find(view, id);
    bool peer =
        member != NULL && member->role == MEMBER_AGENT && id != agent->self;
    rcu_read_unlock();
    return peer;
}

static void
take_pins(struct agent *agent, const struct peer_wire *wire)
{
    uint64_t now_us = agent_now(agent);
    struct flow_pin pin;

    pthread_mutex_lock(&agent->flow_lock);
    for (size_t i = 0; i < PEER_WIRE_PINS_MAX; i++) {
        if (!peer_wire_pin(wire, i, &pin)) {
            break;
        }
        flow_pin_add(agent->flows, &pin, now_us);
    }
    pthread_mutex_unlock(&agent->flow_lock);
}

static void
on_frame(struct link_handler *handler, struct link_conn *conn, uint64_t sender,
         uint16_t type, const uint8_t *body, size_t len)
{
    struct peers *peers = (struct peers *)handler;
    struct agent *agent = peers->agent;
    struct peer_wire wire;

    if (type != PEERS_FRAME || !is_peer(agent, sender)) {
        g_info("A frame of an unknown peer or type was dropped.");
        return;
    }
    if (peer_wire_unpack(body, len, &wire) < 0) {
        g_warning("A malformed message of a peer was dropped.");
        return;
    }
    g_hash_table_insert(peers->senders, conn, copy_id(sender));
    if (wire.pins) {
        take_pins(agent, &wire);
    }
    else {
        requests_peer(agent, sender, &wire.msg, wire.bytes, wire.len,
                      wire.traceparent);
    }
    peer_wire_finish(&wire);
}

/* A closed port proves that the process at @member is gone. */
static void
report_dead(struct agent *agent, uint64_t id)
{
    rcu_read_lock();
    const struct view *view = board_view(&agent->board);
    const struct view_member *member =
        view == NULL ? NULL : view_find(view, id);
    if (member != NULL && member->health != MEMBER_DEAD) {
        control_report_dead(agent->control, id, member->incarnation);
    }
    rcu_read_unlock();
}

static void
on_down(struct link_handler *handler, struct link_conn *conn, struct addr peer,
        int reason)
{
    struct peers *peers = (struct peers *)handler;
    guint64 *key = addr_key(peer);
    const guint64 *id = g_hash_table_lookup(peers->senders, conn);
    uint64_t member;

    if (id == NULL) {
        id = g_hash_table_lookup(peers->targets, key);
    }
    member = id == NULL ? 0 : *id;
    g_hash_table_remove(peers->senders, conn);
    g_hash_table_remove(peers->targets, key);
    g_free(key);
    if (member == 0) {
        return;
    }
    if (reason == -ECONNREFUSED) {
        report_dead(peers->agent, member);
    }
    requests_peer_lost(peers->agent, member);
}

static const struct link_ops link_ops = {
    .on_frame = on_frame,
    .on_down = on_down,
};

int
peers_init(struct agent *agent, struct error *err)
{
    struct peers *peers = &agent->peers;
    const struct settings *settings = &agent->settings;
    uint64_t wall_ms = (uint64_t)(g_get_real_time() / 1000);
    int ret;

    peers->handler.ops = &link_ops;
    peers->agent = agent;
    peers->senders =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    peers->targets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    ret = auth_init(&peers->auth, settings->site_key, settings->site_key_len,
                    agent->self, wall_ms);
    if (ret < 0) {
        return error_set(err, ret, "site key", NULL, "cannot be used");
    }
    ret = link_hub_init(&peers->hub, agent->base, &peers->auth,
                        &peers->handler, settings->data, err);
    peers->listening = ret == 0;
    return ret;
}

void
peers_finish(struct agent *agent)
{
    struct peers *peers = &agent->peers;

    if (peers->senders == NULL) {
        return;
    }
    if (peers->listening) {
        link_hub_finish(&peers->hub);
    }
    auth_finish(&peers->auth);
    g_hash_table_unref(peers->senders);
    g_hash_table_unref(peers->targets);
}

static int
send_bytes(struct agent *agent, uint64_t id, const GByteArray *body)
{
    struct peers *peers = &agent->peers;
    struct addr to = {0};

    rcu_read_lock();
    const struct view *view = board_view(&agent->board);
    const struct view_member *member =
        view == NULL ? NULL : view_find(view, id);
    if (member != NULL) {
        to = member->data;
    }
    rcu_read_unlock();
    if (to.port == 0) {
        return -ENOENT;
    }
    g_hash_table_insert(peers->targets, addr_key(to), copy_id(id));
    return link_send(&peers->hub, to, PEERS_FRAME, body->data, body->len);
}

int
peers_send(struct agent *agent, uint64_t member,
           const struct engine_peer_msg *msg, const GByteArray *bytes,
           const char *traceparent)
{
    GByteArray *body = peer_wire_pack(msg, bytes, traceparent);
    int ret = send_bytes(agent, member, body);

    g_byte_array_unref(body);
    return ret;
}

/* Sends the pins of one batch that are for pins' first receiver; the rest
 * are left for the next call. */
static size_t
send_for_first(struct agent *agent, struct flow_pin *pins, uint64_t *to,
               size_t count)
{
    struct flow_pin mine[PEER_WIRE_PINS_MAX];
    uint64_t target = to[0];
    size_t chosen = 0;
    size_t left = 0;

    for (size_t i = 0; i < count; i++) {
        if (to[i] == target) {
            mine[chosen++] = pins[i];
            continue;
        }
        pins[left] = pins[i];
        to[left++] = to[i];
    }
    GByteArray *body = peer_wire_pack_pins(mine, chosen);
    send_bytes(agent, target, body);
    g_byte_array_unref(body);
    return left;
}

void
peers_send_pins(struct agent *agent)
{
    struct flow_pin pins[PEER_WIRE_PINS_MAX];
    uint64_t to[PEER_WIRE_PINS_MAX];
    size_t count;

    do {
        pthread_mutex_lock(&agent->flow_lock);
        count = flow_pins_due(agent->flows, agent_now(agent), pins, to,
                              PEER_WIRE_PINS_MAX);
        pthread_mutex_unlock(&agent->flow_lock);
        for (size_t left = count; left > 0;) {
            left = send_for_first(agent, pins, to, left);
        }
    } while (count == PEER_WIRE_PINS_MAX);
}
