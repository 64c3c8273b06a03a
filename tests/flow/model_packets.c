/* Packets and callers of the model. */
#include <string.h>

#include "model_state.h"

static void
add_hops(struct gue *gue, const struct view *view, const struct rank *rank,
         uint32_t bucket, enum member_health health, bool openers, bool rest)
{
    const uint16_t *row = &rank->table[(size_t)bucket * RANK_DEPTH];

    for (size_t i = 0; i < RANK_DEPTH && row[i] != RANK_NONE; i++) {
        const struct view_member *member =
            view_find(view, rank->members[row[i]]);
        bool opens = member->state == MEMBER_READY;

        if (member->health != health || (openers && !opens) ||
            (rest && opens) || gue->count == GUE_HOPS_MAX) {
            continue;
        }
        gue->hops[gue->count].member = member->id;
        gue->hops[gue->count++].data = member->data;
    }
}

/* Builds the hop list as src/balancer/route.c does. */
static bool
route(struct model *m, unsigned balancer, const struct packet *packet,
      uint32_t service, struct gue *gue)
{
    const struct local_view *local =
        &m->local_views[MODEL_HOSTS_MAX + balancer];
    const struct rank *rank = &local->ranks[service];
    uint32_t bucket = rank_bucket(packet_flow_hash(packet));
    bool open = packet->flags == PACKET_TCP_SYN;
    uint8_t suspects;

    *gue = (struct gue){.service = service, .flags = open ? GUE_OPEN : 0};
    add_hops(gue, local->view, rank, bucket, MEMBER_ALIVE, open, false);
    if (open) {
        add_hops(gue, local->view, rank, bucket, MEMBER_ALIVE, false, true);
    }
    suspects = gue->count;
    add_hops(gue, local->view, rank, bucket, MEMBER_SUSPECT, false, false);
    if (gue->count > suspects) {
        gue->flags |= GUE_SUSPECTS;
    }
    return gue->count > 0;
}

static void
queue_message(struct model *m, struct message message)
{
    message.sent_us = m->now_us;
    g_array_append_val(m->messages, message);
}

static void
queue_for_hop(struct model *m, struct message message)
{
    unsigned host = (unsigned)message.gue.hops[message.gue.index].member - 1;

    message.kind = TO_HOST;
    message.host = host;
    queue_message(m, message);
}

void
model_send_packet(struct model *m, unsigned flow, uint8_t flags)
{
    struct caller *caller = &m->callers[flow];
    struct message message = {.flow = flow, .packet = caller->key};

    message.packet.flags = flags;
    message.packet.seq = caller->isn + (flags == PACKET_TCP_SYN ? 0 : 1);
    if ((flags & PACKET_TCP_ACK) != 0) {
        message.packet.ack = caller->peer_isn + 1;
    }
    if (route(m, model_pick(m, BALANCERS), &message.packet, caller->service,
              &message.gue)) {
        queue_for_hop(m, message);
    }
}

static void
send_syn_ack(struct model *m, unsigned i, const struct message *message)
{
    struct host *host = &m->hosts[i];
    struct message syn_ack = {
        .kind = TO_CALLER,
        .host = i,
        .epoch = host->epoch,
        .flow = message->flow,
        .packet = {.src = message->packet.dst,
                   .dst = message->packet.src,
                   .sport = message->packet.dport,
                   .dport = message->packet.sport,
                   .proto = TCP,
                   .flags = PACKET_TCP_SYN | PACKET_TCP_ACK,
                   .ack = message->packet.seq + 1,
                   .seq = host->isn[message->flow]},
    };

    flow_sent_syn_ack(host->table, &syn_ack.packet);
    queue_message(m, syn_ack);
}

static void
reset_caller(struct model *m, unsigned i, const struct message *message)
{
    struct caller *caller = &m->callers[message->flow];

    m->result.resets++;
    if (message->packet.sport != caller->key.sport ||
        message->packet.flags == PACKET_TCP_SYN ||
        message->packet.ack != caller->peer_isn + 1) {
        return; /* of an earlier flow, or not acceptable to the caller */
    }
    if (model_live(m, caller)) {
        model_fail(m, "a live flow was reset", message->flow, i);
    }
    caller->phase = IDLE;
}

static void
packet_delivered(struct model *m, unsigned i, const struct message *message)
{
    struct host *host = &m->hosts[i];
    struct caller *caller = &m->callers[message->flow];

    if (message->packet.dst != SERVICE_IP + m->truth[i].service) {
        model_fail(m, "delivered for another service", message->flow, i);
    }
    if (message->packet.sport != caller->key.sport) {
        return; /* delayed packet of an earlier flow */
    }
    if (message->packet.flags == PACKET_TCP_SYN) {
        send_syn_ack(m, i, message);
        return;
    }
    if (host->isn[message->flow] + 1 != message->packet.ack) {
        model_fail(m, "delivered to an agent that is not the owner",
                   message->flow, i);
        return;
    }
    caller->served = true;
    m->result.hops[message->hops]++;
}

static void
host_receive(struct model *m, struct message message);

/* Checks that the list survives encoding and lists no member twice. */
static void
check_list(struct model *m, const struct message *message, unsigned host)
{
    const struct gue *gue = &message->gue;
    uint8_t buf[GUE_HEADER_MAX];
    struct gue out;

    if (gue_decode(buf, gue_encode(gue, buf), &out) < 0 ||
        out.flags != gue->flags || out.index != gue->index ||
        out.count != gue->count) {
        model_fail(m, "the hop list changes when encoded and decoded",
                   message->flow, host);
    }
    for (unsigned i = 0; i < gue->count; i++) {
        for (unsigned k = 0; k < i; k++) {
            if (gue->hops[i].member == gue->hops[k].member) {
                model_fail(m, "a member is listed twice", message->flow, host);
            }
        }
    }
}

/* Delivers most packets at once and queues the others, so that events occur
 * between hops. */
static void
forward_packet(struct model *m, struct message message)
{
    if (model_pick(m, 10) == 0) {
        queue_for_hop(m, message);
        return;
    }
    message.host = (unsigned)message.gue.hops[message.gue.index].member - 1;
    host_receive(m, message);
}

static void
host_receive(struct model *m, struct message message)
{
    unsigned i = message.host;
    struct host *host = &m->hosts[i];
    struct flow_decision decision;

    if (!host->running || host->frozen) {
        return;
    }
    decision =
        flow_decide(host->table, &message.packet, &message.gue, m->now_us);
    switch (decision.verdict) {
    case FLOW_OPEN:
        m->result.opened++;
        /* A delayed copy of an earlier flow's SYN is never answered. */
        if (message.packet.sport == m->callers[message.flow].key.sport) {
            host->isn[message.flow] = m->next_isn += 1000;
        }
        packet_delivered(m, i, &message);
        break;
    case FLOW_DELIVER:
        packet_delivered(m, i, &message);
        break;
    case FLOW_FORWARD:
        message.gue = decision.gue;
        check_list(m, &message, i);
        if (++message.hops >= MODEL_HOPS_MAX) {
            model_fail(m, "forwarded without end", message.flow, i);
            break;
        }
        forward_packet(m, message);
        break;
    case FLOW_RESET:
        reset_caller(m, i, &message);
        break;
    case FLOW_DROP:
        break;
    }
}

static void
caller_receive(struct model *m, const struct message *message)
{
    struct caller *caller = &m->callers[message->flow];

    if (message->packet.dport != caller->key.sport ||
        message->packet.ack != caller->isn + 1 || caller->phase == IDLE) {
        return;
    }
    if (caller->phase == OPENING) {
        caller->phase = OPEN;
        caller->peer_isn = message->packet.seq;
        caller->owner = message->host;
        caller->owner_epoch = message->epoch;
        caller->owner_declared_dead = m->hosts[message->host].declared_dead;
        caller->syn_ack_sent_us = message->sent_us;
        caller->served = false;
        m->result.established++;
    }
    /* Also the challenge ACK to a second SYN-ACK (RFC 9293, 3.10.7.4). */
    model_send_packet(m, message->flow, PACKET_TCP_ACK);
}

void
model_deliver(struct model *m, const struct message *message)
{
    const struct host *host = &m->hosts[message->host];

    switch (message->kind) {
    case TO_HOST:
        host_receive(m, *message);
        break;
    case TO_CALLER:
        caller_receive(m, message);
        break;
    case PIN:
        if (host->running && !host->frozen) {
            flow_pin_add(host->table, &message->pin, m->now_us);
        }
        break;
    }
}

void
model_deliver_any(struct model *m)
{
    unsigned at;
    struct message message;
    unsigned fate = model_pick(m, 100);

    if (m->messages->len == 0) {
        return;
    }
    at = model_pick(m, m->messages->len);
    message = g_array_index(m->messages, struct message, at);
    if (fate >= 5) {
        g_array_remove_index_fast(m->messages, at);
    }
    if (fate < 95 && message.sent_us + MESSAGE_AGE_US > m->now_us) {
        model_deliver(m, &message);
    }
}

void
model_send_pins(struct model *m, unsigned i)
{
    struct flow_pin pins[16];
    uint64_t to[16];
    size_t count;

    if (!m->hosts[i].running || m->hosts[i].frozen) {
        return;
    }
    flow_tick(m->hosts[i].table, m->now_us);
    while ((count = flow_pins_due(m->hosts[i].table, m->now_us, pins, to,
                                  G_N_ELEMENTS(pins))) > 0) {
        for (size_t k = 0; k < count; k++) {
            queue_message(m, (struct message){.kind = PIN,
                                              .host = (unsigned)to[k] - 1,
                                              .pin = pins[k]});
        }
    }
}

static void
caller_open(struct model *m, unsigned flow)
{
    struct caller *caller = &m->callers[flow];
    uint32_t service = 1 + model_pick(m, m->config.services);

    for (unsigned i = 0; i < m->config.hosts; i++) {
        m->hosts[i].isn[flow] = 0;
    }
    memset(caller, 0, sizeof(*caller));
    caller->phase = OPENING;
    caller->service = service;
    caller->isn = g_rand_int(m->rand) | 1;
    caller->key = (struct packet){.src = 0x0a090001,
                                  .dst = SERVICE_IP + service,
                                  .sport = ++m->next_port,
                                  .dport = 80,
                                  .proto = TCP};
    model_send_packet(m, flow, PACKET_TCP_SYN);
}

/* Closes both ends; packets in flight are ignored by their port. */
static void
caller_close(struct model *m, unsigned flow)
{
    struct caller *caller = &m->callers[flow];
    struct host *owner = &m->hosts[caller->owner];

    if (model_live(m, caller) && owner->running && !owner->frozen) {
        flow_close(owner->table, &caller->key);
        caller->phase = IDLE;
    }
}

void
model_caller_act(struct model *m)
{
    unsigned flow = model_pick(m, FLOWS);

    switch (m->callers[flow].phase) {
    case IDLE:
        caller_open(m, flow);
        break;
    case OPENING:
        model_send_packet(m, flow, PACKET_TCP_SYN);
        break;
    case OPEN:
        if (model_pick(m, 40) == 0) {
            caller_close(m, flow);
        }
        else if (model_pick(m, 20) == 0) {
            /* A delayed copy of the SYN. */
            model_send_packet(m, flow, PACKET_TCP_SYN);
        }
        else {
            model_send_packet(m, flow, PACKET_TCP_ACK);
        }
        break;
    }
}
