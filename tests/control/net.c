#include "net.h"

#include <stdio.h>
#include <string.h>

#include "base/hash.h"
#include "control/wire.h"

#define IP_FIRST 0x0a000000u
#define FRAME_OVERHEAD 46
#define DATAGRAM_OVERHEAD 28

enum net_event_type {
    NET_TICK,
    NET_MESSAGE,
    NET_REFUSED,
    NET_FETCH,
    NET_FETCHED
};

struct net_event {
    struct queue_event base;
    enum net_event_type type;
    size_t node;
    size_t from;
    struct addr from_addr;
    bool stream;
    uint64_t version;
    uint8_t *bytes;
    size_t len;
};

static void
push(struct net *net, struct net_event event)
{
    queue_push(&net->queue, &event);
}

static uint64_t
delay(struct net *net)
{
    return net->delay_us + random_below(&net->random, net->delay_us);
}

static size_t
node_at(const struct net *net, struct addr addr)
{
    size_t i = addr.ip - IP_FIRST - 1;

    return i < net->count ? i : SIZE_MAX;
}

static uint64_t
wall_ms(const struct net *net)
{
    return (net->wall_us + net->now_us) / 1000;
}

void
net_init(struct net *net, size_t count, uint64_t seed)
{
    memset(net, 0, sizeof(*net));
    net->nodes = g_new0(struct net_node, count);
    net->count = count;
    queue_init(&net->queue, sizeof(struct net_event));
    net->now_us = 1000 * USEC_PER_SEC;
    net->wall_us = UINT64_C(1700000000) * USEC_PER_SEC;
    net->delay_us = 1 * USEC_PER_MSEC;
    net->body_len = 2000;
    net->random.state = seed;
    for (size_t i = 0; i < count; i++) {
        snprintf(net->nodes[i].name, VIEW_NAME_MAX, "dar-kariakoo-%04u",
                 (unsigned)i);
        net->nodes[i].addr = (struct addr){IP_FIRST + 1 + i, 7000};
    }
}

static void
clear_node(struct net *net, struct net_node *node)
{
    if (node->members.entries != NULL)
        member_core_finish(&node->members);
    if (node->auth.peers != NULL)
        auth_finish(&node->auth);
    node->running = false;
}

void
net_finish(struct net *net)
{
    struct net_event event;

    for (size_t i = 0; i < net->count; i++)
        clear_node(net, &net->nodes[i]);
    while (queue_pop(&net->queue, UINT64_MAX, &event))
        g_free(event.bytes);
    queue_finish(&net->queue);
    member_actions_finish(&net->out);
    g_free(net->nodes);
}

/* Refuses a message to a killed node if its host still runs. */
static void
refuse(struct net *net, size_t from, size_t to)
{
    struct net_event event = {
        .base.at_us = net->now_us + delay(net),
        .type = NET_REFUSED,
        .node = from,
        .from_addr = net->nodes[to].addr,
    };

    if (net->nodes[to].refuses &&
        net->nodes[to].group == net->nodes[from].group)
        push(net, event);
}

static void
send_action(struct net *net, size_t i, const struct member_action *action)
{
    struct net_node *node = &net->nodes[i];
    size_t to = node_at(net, action->to);
    size_t len = wire_size(&action->msg);
    struct net_event event = {
        .type = NET_MESSAGE,
        .node = to,
        .from = i,
        .from_addr = node->addr,
        .stream = action->stream,
        .len = len,
    };

    g_assert(to != SIZE_MAX && to != i);
    event.bytes = g_malloc(len + AUTH_OVERHEAD);
    if (net->seal) {
        g_autofree uint8_t *body = g_malloc(len);

        wire_encode(&action->msg, body);
        event.len =
            auth_seal(&node->auth, body, len, wall_ms(net), event.bytes);
    }
    else {
        g_assert_cmpuint(wire_encode(&action->msg, event.bytes), ==, len);
    }
    if (action->stream) {
        node->stream_bytes_out += len + FRAME_OVERHEAD;
    }
    else {
        node->datagrams_out++;
        node->bytes_out += len + AUTH_OVERHEAD + DATAGRAM_OVERHEAD;
        node->largest = MAX(node->largest, len + AUTH_OVERHEAD);
    }
    event.base.at_us = net->now_us + delay(net);
    /* Opening a stream takes another round trip. */
    if (action->stream)
        event.base.at_us += 2 * delay(net);
    if (!net->nodes[to].running) {
        refuse(net, i, to);
        g_free(event.bytes);
        return;
    }
    if (net->nodes[to].group != node->group ||
        net->nodes[to].blocked_from == i ||
        (!action->stream && random_below(&net->random, 1000) < net->loss)) {
        g_free(event.bytes);
        return;
    }
    push(net, event);
}

static void
send_all(struct net *net, size_t i)
{
    for (size_t j = 0; j < net->out.count; j++)
        send_action(net, i, &net->out.items[j]);
    member_actions_clear(&net->out);
}

static void
start_fetch(struct net *net, size_t i, struct addr from)
{
    size_t to = node_at(net, from);
    struct net_event event = {
        .base.at_us = net->now_us + 3 * delay(net),
        .type = NET_FETCH,
        .node = to,
        .from = i,
    };

    g_assert(to != SIZE_MAX);
    net->nodes[i].stream_bytes_out += FRAME_OVERHEAD + 4;
    if (!net->nodes[to].running)
        refuse(net, i, to);
    else if (net->nodes[to].group == net->nodes[i].group)
        push(net, event);
}

/* There is no platform: versions come from net_publish() only. */
static void
step(struct net *net, size_t i)
{
    struct net_node *node = &net->nodes[i];
    struct config_membership membership = {
        .rank = SIZE_MAX, .alive = 1, .joined = true};
    struct config_actions actions;
    struct net_event tick = {.type = NET_TICK, .node = i};
    uint64_t next;

    config_set_membership(&node->config, &membership);
    /* The version always counts as confirmed: no self-reads. */
    node->config.confirmed_us = net->now_us;
    config_tick(&node->config, net->now_us, &actions);
    for (size_t j = 0; j < actions.count; j++) {
        if (actions.items[j].type == CONFIG_FETCH)
            start_fetch(net, i, actions.items[j].from);
    }
    member_set_config(&node->members, node->config.have, net->now_us,
                      net->now_us);
    if (net->now_us >= member_next_us(&node->members))
        member_tick(&node->members, net->now_us, &net->out);
    send_all(net, i);
    next = member_next_us(&node->members);
    if (node->config.fetching || node->config.source_count > 0)
        next = MIN(next, net->now_us + 100 * USEC_PER_MSEC);
    if (node->tick_us > net->now_us && node->tick_us <= next)
        return;
    tick.base.at_us = MAX(next, net->now_us + 1);
    node->tick_us = tick.base.at_us;
    push(net, tick);
}

void
net_start(struct net *net, size_t i, size_t contact)
{
    struct net_node *node = &net->nodes[i];
    struct member_update self;
    uint64_t seed = random_next(&net->random);

    clear_node(net, node);
    memset(&self, 0, sizeof(self));
    self.member.id = hash_name(node->name);
    g_strlcpy(self.member.name, node->name, VIEW_NAME_MAX);
    g_strlcpy(self.member.data_centre, "kariakoo", VIEW_NAME_MAX);
    self.member.role = MEMBER_AGENT;
    self.member.state = MEMBER_READY;
    self.member.control = node->addr;
    self.member.data = (struct addr){node->addr.ip, 6000};
    self.member.service = 0x12345678;
    self.member.slots = 2;
    self.start = net->wall_us + net->now_us;
    node->start = self.start;
    g_assert_cmpint(
        member_core_init(&node->members, &self, 1, seed, net->now_us), ==, 0);
    if (contact < net->count)
        member_add_contact(&node->members, net->nodes[contact].addr);
    config_core_init(&node->config, seed + 1, net->now_us);
    if (net->seal)
        g_assert_cmpint(auth_init(&node->auth,
                                  (const uint8_t *)"0123456789abcdef", 16,
                                  self.member.id, wall_ms(net)),
                        ==, 0);
    node->running = true;
    node->blocked_from = SIZE_MAX;
    node->frozen_us = 0;
    node->tick_us = 0;
    node->adopted_us = 0;
    step(net, i);
}

void
net_kill(struct net *net, size_t i, bool refuses)
{
    net->nodes[i].refuses = refuses;
    clear_node(net, &net->nodes[i]);
}

void
net_leave(struct net *net, size_t i)
{
    member_leave(&net->nodes[i].members, net->now_us, &net->out);
    send_all(net, i);
    net_kill(net, i, true);
}

void
net_freeze(struct net *net, size_t i, uint64_t for_us)
{
    net->nodes[i].frozen_us = net->now_us + for_us;
}

void
net_publish(struct net *net, size_t i, uint64_t version)
{
    struct net_node *node = &net->nodes[i];

    if (version <= node->config.have)
        return;
    config_applied(&node->config, version, net->now_us);
    node->adopted_us = net->now_us;
    step(net, i);
}

void
net_announce(struct net *net, size_t i, enum member_state state)
{
    member_announce(&net->nodes[i].members, state, 0x12345678, 2, 0, 0,
                    net->now_us);
    step(net, i);
}

static void
deliver(struct net *net, struct net_event *event)
{
    struct net_node *node = &net->nodes[event->node];
    const struct member_entry *sender;
    const uint8_t *body = event->bytes;
    size_t len = event->len;
    uint64_t from = hash_name(net->nodes[event->from].name);
    struct member_msg msg;

    if (net->seal)
        g_assert_cmpint(auth_open(&node->auth, event->bytes, event->len,
                                  wall_ms(net), &from, &body, &len),
                        ==, 0);
    if (event->stream)
        node->stream_bytes_in += len + FRAME_OVERHEAD;
    else
        node->bytes_in += len + AUTH_OVERHEAD + DATAGRAM_OVERHEAD;
    g_assert_cmpint(wire_decode(body, len, from, &msg), ==, 0);
    member_receive(&node->members, &msg, event->from_addr, net->now_us,
                   &net->out);
    sender = member_find(&node->members, from);
    if (sender != NULL)
        config_handle_peer_version(&node->config, sender->member.control,
                                   msg.config_version, msg.word_age_ms,
                                   net->now_us);
    member_msg_finish(&msg);
}

static void
answer_fetch(struct net *net, const struct net_event *event)
{
    struct net_node *node = &net->nodes[event->node];
    struct net_event answer = {
        .base.at_us = net->now_us + delay(net),
        .type = NET_FETCHED,
        .node = event->from,
        .version = node->config.have,
    };

    node->stream_bytes_in += FRAME_OVERHEAD + 4;
    node->stream_bytes_out += FRAME_OVERHEAD + net->body_len;
    push(net, answer);
}

static void
handle_fetched(struct net *net, const struct net_event *event)
{
    struct net_node *node = &net->nodes[event->node];

    node->stream_bytes_in += FRAME_OVERHEAD + net->body_len;
    if (config_handle_fetch_reply(&node->config, event->version,
                                  net->now_us)) {
        config_applied(&node->config, event->version, 0);
        node->adopted_us = net->now_us;
    }
}

static void
handle(struct net *net, struct net_event *event)
{
    struct net_node *node = &net->nodes[event->node];

    if (!node->running)
        return;
    if (node->frozen_us > net->now_us) {
        struct net_event later = *event;

        /* The worst order: timers run before deferred messages are read. */
        later.base.at_us = node->frozen_us + (event->type == NET_TICK ? 0 : 1);
        event->bytes = NULL;
        push(net, later);
        return;
    }
    switch (event->type) {
    case NET_TICK:
        break;
    case NET_MESSAGE:
        deliver(net, event);
        break;
    case NET_REFUSED:
        member_refused(&node->members, event->from_addr, net->now_us);
        if (node->config.fetching)
            config_handle_fetch_reply(&node->config, 0, net->now_us);
        break;
    case NET_FETCH:
        answer_fetch(net, event);
        break;
    case NET_FETCHED:
        handle_fetched(net, event);
        break;
    }
    step(net, event->node);
}

void
net_run(struct net *net, uint64_t for_us)
{
    uint64_t until = net->now_us + for_us;
    struct net_event event;

    while (queue_pop(&net->queue, until, &event)) {
        net->now_us = MAX(net->now_us, event.base.at_us);
        handle(net, &event);
        g_free(event.bytes);
    }
    net->now_us = until;
}

enum member_health
net_health(const struct net *net, size_t i, size_t j)
{
    const struct member_entry *entry =
        member_find(&net->nodes[i].members, hash_name(net->nodes[j].name));

    return entry == NULL ? MEMBER_DEAD : entry->member.health;
}

bool
net_agrees(const struct net *net)
{
    for (size_t i = 0; i < net->count; i++) {
        if (!net->nodes[i].running)
            continue;
        for (size_t j = 0; j < net->count; j++) {
            enum member_health want =
                net->nodes[j].running ? MEMBER_ALIVE : MEMBER_DEAD;

            if (net_health(net, i, j) != want)
                return false;
        }
    }
    return true;
}

uint64_t
net_deaths(const struct net *net)
{
    uint64_t deaths = 0;

    for (size_t i = 0; i < net->count; i++) {
        if (net->nodes[i].running)
            deaths += net->nodes[i].members.stats.deaths;
    }
    return deaths;
}
