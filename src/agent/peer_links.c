#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/peer_links.h"

#include <errno.h>
#include <sys/time.h>

#include "agent/orphan_wire.h"
#include "agent/peer_wire.h"
#include "agent/program.h"
#include "base/log.h"

/**
 * struct target - destination of an outgoing connection
 * @member: member id
 * @runs: ids of requests sent in RUN messages over the connection that are
 * still running
 */
struct target {
    uint64_t member;
    GArray *runs;
};

static void
target_free(gpointer arg)
{
    struct target *target = arg;

    g_array_unref(target->runs);
    g_free(target);
}

static guint64
addr_key(struct addr addr)
{
    return (guint64)addr.ip << 16 | addr.port;
}

static guint64 *
copy_id(uint64_t id)
{
    guint64 *copy = g_new(guint64, 1);

    *copy = id;
    return copy;
}

static struct target *
ensure_target(struct peer_links *links, struct addr to, uint64_t member)
{
    guint64 key = addr_key(to);
    struct target *target = g_hash_table_lookup(links->targets, &key);

    if (target == NULL || target->member != member) {
        target = g_new(struct target, 1);
        target->member = member;
        target->runs = g_array_new(FALSE, FALSE, sizeof(guint64));
        g_hash_table_insert(links->targets, copy_id(key), target);
    }
    return target;
}

static struct target *
find_target(struct agent *agent, uint64_t id, struct addr *to)
{
    *to = (struct addr){0};
    rcu_read_lock();
    const struct view *view = blackboard_view(&agent->blackboard);
    const struct view_member *member =
        view == NULL ? NULL : view_find(view, id);
    if (member != NULL) {
        *to = member->data;
    }
    rcu_read_unlock();
    return to->port == 0 ? NULL : ensure_target(&agent->links, *to, id);
}

/* Adds a sent RUN (@out) to its target, or removes an ended one. */
static void
track_run(struct agent *agent, uint64_t member, uint64_t id, bool out)
{
    struct addr to;
    struct target *target = find_target(agent, member, &to);

    if (target != NULL && out) {
        g_array_append_val(target->runs, id);
    }
    for (guint i = 0; target != NULL && !out && i < target->runs->len; i++) {
        if (g_array_index(target->runs, guint64, i) == id) {
            g_array_remove_index_fast(target->runs, i);
            return;
        }
    }
}

/* Whether @id is another agent in the view; messages of others are not
 * handled. */
static bool
is_peer(struct agent *agent, uint64_t id)
{
    rcu_read_lock();
    const struct view *view = blackboard_view(&agent->blackboard);
    const struct view_member *member =
        view == NULL ? NULL : view_find(view, id);
    bool peer =
        member != NULL && member->role == MEMBER_AGENT && id != agent->self;
    rcu_read_unlock();
    return peer;
}

static void
handle_pins(struct agent *agent, const struct peer_wire *wire)
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

/* Declines a RUN of a member that isn't in this agent's view yet, so that the
 * sender can run the request elsewhere at once. */
static void
decline_unknown(struct agent *agent, struct link_conn *conn, uint64_t sender,
                const struct peer_wire *wire)
{
    struct engine_peer_msg msg = {
        .type = ENGINE_PEER_DONE,
        .origin = sender,
        .request = {.id = wire->msg.request.id,
                    .service = wire->msg.request.service},
        .outcome = ENGINE_NOT_RUN,
        .reason = ENGINE_NO_UPSTREAM,
    };

    if (wire->pins || wire->notice || wire->msg.type != ENGINE_PEER_RUN) {
        return;
    }
    GByteArray *body = peer_wire_pack(&msg, NULL, NULL, agent_now(agent));
    link_reply(&agent->links.hub, conn, PEER_LINKS_FRAME, body->data,
               body->len);
    g_byte_array_unref(body);
}

static void
handle_peer_message(struct agent *agent, uint64_t sender,
                    struct peer_wire *wire)
{
    if (wire->pins) {
        handle_pins(agent, wire);
        return;
    }
    if (wire->notice) {
        orphan_notifier_receive(agent, sender, wire);
        return;
    }
    if (wire->msg.type == ENGINE_PEER_DONE) {
        track_run(agent, sender, wire->msg.request.id, false);
    }
    requests_peer(agent, sender, &wire->msg, wire->bytes, wire->len,
                  wire->traceparent);
}

static void
on_frame(struct link_handler *handler, struct link_conn *conn, uint64_t sender,
         uint16_t type, const uint8_t *body, size_t len)
{
    struct peer_links *links = (struct peer_links *)handler;
    struct agent *agent = links->agent;
    struct peer_wire wire;

    if (type != PEER_LINKS_FRAME) {
        g_info("Dropped a peer frame of an unknown type.");
        return;
    }
    if (peer_wire_unpack(body, len, agent_arrival_us(agent), &wire) < 0) {
        g_warning("Dropped a malformed message of a peer.");
        return;
    }
    if (is_peer(agent, sender)) {
        g_hash_table_insert(links->senders, conn, copy_id(sender));
        handle_peer_message(agent, sender, &wire);
    }
    else {
        decline_unknown(agent, conn, sender, &wire);
    }
    peer_wire_finish(&wire);
}

/* Reports member @id as dead: its port is closed, so its process has ended. */
static void
report_dead(struct agent *agent, uint64_t id)
{
    rcu_read_lock();
    const struct view *view = blackboard_view(&agent->blackboard);
    const struct view_member *member =
        view == NULL ? NULL : view_find(view, id);
    if (member != NULL && member->health != MEMBER_DEAD) {
        control_report_dead(agent->control, id, member->incarnation);
    }
    rcu_read_unlock();
}

/* Reports all requests of a connection that was refused as not sent. */
static void
report_unsent_runs(struct agent *agent, const struct target *target)
{
    for (guint i = 0; i < target->runs->len; i++) {
        requests_unsent(agent, target->member,
                        g_array_index(target->runs, guint64, i));
    }
}

static void
handle_incoming_disconnect(struct peer_links *links, struct link_conn *conn)
{
    const guint64 *id = g_hash_table_lookup(links->senders, conn);

    if (id != NULL) {
        uint64_t member = *id;
        g_hash_table_remove(links->senders, conn);
        requests_peer_lost(links->agent, member);
    }
}

static void
on_disconnect(struct link_handler *handler, struct link_conn *conn,
              struct addr peer, int reason)
{
    struct peer_links *links = (struct peer_links *)handler;
    guint64 key = addr_key(peer);
    gpointer stolen_key;
    gpointer value;

    handle_incoming_disconnect(links, conn);
    if (!g_hash_table_steal_extended(links->targets, &key, &stolen_key,
                                     &value)) {
        return;
    }
    struct target *target = value;
    if (reason == -ECONNREFUSED) {
        report_dead(links->agent, target->member);
        report_unsent_runs(links->agent, target);
    }
    requests_peer_lost(links->agent, target->member);
    target_free(target);
    g_free(stolen_key);
}

static const struct link_ops link_ops = {
    .on_frame = on_frame,
    .on_disconnect = on_disconnect,
};

int
peer_links_init(struct agent *agent, struct error *err)
{
    struct peer_links *links = &agent->links;
    const struct settings *settings = &agent->settings;
    uint64_t wall_ms = (uint64_t)(g_get_real_time() / 1000);
    int ret;

    links->handler.ops = &link_ops;
    links->agent = agent;
    links->senders =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    links->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                           target_free);
    ret = auth_init(&links->auth, settings->site_key, settings->site_key_len,
                    agent->self, wall_ms);
    if (ret < 0) {
        return error_set(err, ret, "site key", NULL,
                         "cannot initialise authentication");
    }
    ret = link_hub_init(&links->hub, agent->base, &links->auth,
                        &links->handler, settings->data, err);
    links->listening = ret == 0;
    return ret;
}

void
peer_links_finish(struct agent *agent)
{
    struct peer_links *links = &agent->links;

    if (links->senders == NULL) {
        return;
    }
    if (links->listening) {
        link_hub_finish(&links->hub);
    }
    auth_finish(&links->auth);
    g_hash_table_unref(links->senders);
    g_hash_table_unref(links->targets);
}

static int
send_bytes(struct agent *agent, uint64_t id, const GByteArray *body)
{
    struct addr to;

    if (find_target(agent, id, &to) == NULL) {
        return -ENOENT;
    }
    return link_send(&agent->links.hub, to, PEER_LINKS_FRAME, body->data,
                     body->len);
}

int
peer_links_send(struct agent *agent, uint64_t member,
                const struct engine_peer_msg *msg, const GByteArray *bytes,
                const char *traceparent)
{
    GByteArray *body =
        peer_wire_pack(msg, bytes, traceparent, agent_now(agent));
    int ret = send_bytes(agent, member, body);

    g_byte_array_unref(body);
    if (ret == 0 &&
        (msg->type == ENGINE_PEER_RUN || msg->type == ENGINE_PEER_CANCEL)) {
        track_run(agent, member, msg->request.id,
                  msg->type == ENGINE_PEER_RUN);
    }
    return ret;
}

int
peer_links_send_orphans(struct agent *agent, uint64_t member,
                        const struct orphan_message *message)
{
    GByteArray *body = orphan_wire_pack(message);
    int ret = send_bytes(agent, member, body);

    g_byte_array_unref(body);
    return ret;
}

/* Sends the pins for the first receiver @to[0] and moves the others to the
 * front of the arrays; returns their count. */
static size_t
send_pins_to_first(struct agent *agent, struct flow_pin *pins, uint64_t *to,
                   size_t count)
{
    struct flow_pin batch[PEER_WIRE_PINS_MAX];
    uint64_t target = to[0];
    size_t batch_count = 0;
    size_t left = 0;

    for (size_t i = 0; i < count; i++) {
        if (to[i] == target) {
            batch[batch_count++] = pins[i];
            continue;
        }
        pins[left] = pins[i];
        to[left++] = to[i];
    }
    GByteArray *body = peer_wire_pack_pins(batch, batch_count);
    send_bytes(agent, target, body);
    g_byte_array_unref(body);
    return left;
}

void
peer_links_send_pins(struct agent *agent)
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
            left = send_pins_to_first(agent, pins, to, left);
        }
    } while (count == PEER_WIRE_PINS_MAX);
}
