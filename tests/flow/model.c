#include "model.h"

#include <string.h>

#include "base/hash.h"
#include "flow/flow.h"

#define BALANCERS 3
#define FLOWS 60
#define SERVICES_MAX 2
#define PROCESSES (MODEL_HOSTS_MAX + BALANCERS)
#define SKEW_US (1500 * USEC_PER_MSEC)
#define MESSAGE_AGE_US (2 * USEC_PER_SEC)
#define CAPACITY 400
#define TCP 6
#define SERVICE_IP 0x0a000000u

enum flow_phase { IDLE, OPENING, OPEN };

/* A caller's side of a flow. */
struct caller {
    enum flow_phase phase;
    struct packet key;
    uint32_t service;
    uint32_t isn;
    uint32_t peer_isn;
    unsigned owner;
    uint64_t owner_epoch;
    unsigned owner_given_up;
    uint64_t answered_us;
    bool served; /* the owner has seen our acknowledgement */
};

/* A host; @epoch grows with each start of its process, @given_up each time
 * the others take it for dead. */
struct host {
    bool running;
    bool frozen;
    bool draining;
    uint64_t epoch;
    unsigned given_up;
    struct flow_table *table;
    uint32_t isn[FLOWS]; /* of our answer to the flow, 0 for none */
};

enum message_kind { TO_HOST, TO_CALLER, PIN };

struct message {
    enum message_kind kind;
    unsigned host; /* to, or from for TO_CALLER */
    uint64_t epoch;
    unsigned flow;
    struct packet packet;
    struct gue gue;
    struct flow_pin pin;
    unsigned hops;
    uint64_t sent_us;
};

/* What a process has heard. */
struct knowledge {
    struct view_member members[MODEL_HOSTS_MAX];
    bool known[MODEL_HOSTS_MAX];
    uint64_t heard_us[MODEL_HOSTS_MAX];
    struct view *view;
    struct rank ranks[SERVICES_MAX + 1]; /* balancers only */
};

struct model {
    struct model_config config;
    struct model_result result;
    GRand *rand;
    uint64_t now_us;
    struct host hosts[MODEL_HOSTS_MAX];
    struct view_member truth[MODEL_HOSTS_MAX];
    uint64_t changed_us[MODEL_HOSTS_MAX];
    struct knowledge knows[PROCESSES];
    struct caller callers[FLOWS];
    GArray *messages;
    uint32_t next_isn;
    uint16_t next_port;
};

static unsigned
pick(struct model *m, unsigned n)
{
    return (unsigned)g_rand_int_range(m->rand, 0, (gint32)n);
}

static void
fail(struct model *m, const char *what, unsigned flow, unsigned host)
{
    if (m->result.failure == NULL) {
        m->result.failure =
            g_strdup_printf("%s (flow %u, host %u)", what, flow, host);
    }
}

/* Views */

static void
rank_service(struct knowledge *knows, uint32_t service)
{
    struct rank *rank = &knows->ranks[service];
    struct rank previous = *rank;
    uint64_t ids[MODEL_HOSTS_MAX];
    size_t count = 0;
    size_t i;

    for (i = 0; i < knows->view->count; i++) {
        if (knows->view->members[i].service == service &&
            knows->view->members[i].health != MEMBER_DEAD) {
            ids[count++] = knows->view->members[i].id;
        }
    }
    g_assert_cmpint(
        rank_init(rank, ids, count, previous.table ? &previous : NULL), ==, 0);
    if (previous.table != NULL) {
        rank_finish(&previous);
    }
}

static void
view_rebuild(struct model *m, unsigned process)
{
    struct knowledge *knows = &m->knows[process];
    unsigned i;

    g_free(knows->view);
    knows->view = g_malloc0(sizeof(struct view) +
                            MODEL_HOSTS_MAX * sizeof(struct view_member));
    for (i = 0; i < m->config.hosts; i++) {
        if (knows->known[i]) {
            knows->view->members[knows->view->count++] = knows->members[i];
        }
    }
    if (process < MODEL_HOSTS_MAX && m->hosts[process].table != NULL) {
        flow_set_view(m->hosts[process].table, knows->view,
                      m->truth[process].service, !m->hosts[process].draining,
                      m->now_us);
    }
    for (i = 1; process >= MODEL_HOSTS_MAX && i <= m->config.services; i++) {
        rank_service(knows, i);
    }
}

static void
hear(struct model *m, unsigned process, unsigned host)
{
    struct knowledge *knows = &m->knows[process];

    if (m->truth[host].id == 0 ||
        (process < MODEL_HOSTS_MAX && !m->hosts[process].running) ||
        (process < MODEL_HOSTS_MAX && m->hosts[process].frozen)) {
        return;
    }
    knows->members[host] = m->truth[host];
    knows->known[host] = true;
    knows->heard_us[host] = m->now_us;
    view_rebuild(m, process);
}

static void
hear_all(struct model *m, uint64_t older_us)
{
    unsigned p;
    unsigned h;

    for (p = 0; p < PROCESSES; p++) {
        for (h = 0; h < m->config.hosts; h++) {
            struct knowledge *knows = &m->knows[p];

            if (m->changed_us[h] + older_us <= m->now_us &&
                (!knows->known[h] || knows->heard_us[h] <= m->changed_us[h])) {
                hear(m, p, h);
            }
        }
    }
}

static void
changed(struct model *m, unsigned host)
{
    m->changed_us[host] = m->now_us;
    hear(m, host, host);
}

/* Hosts */

static void
host_start(struct model *m, unsigned i, uint32_t service)
{
    struct host *host = &m->hosts[i];
    struct view_member *truth = &m->truth[i];

    memset(host->isn, 0, sizeof(host->isn));
    host->running = true;
    host->frozen = false;
    host->draining = false;
    host->epoch++;
    host->table = flow_table_new(i + 1, CAPACITY);
    memset(&m->knows[i].known, 0, sizeof(m->knows[i].known));
    truth->id = i + 1;
    truth->incarnation = m->now_us;
    truth->role = MEMBER_AGENT;
    truth->state = MEMBER_READY;
    truth->health = MEMBER_ALIVE;
    truth->service = service;
    truth->data = (struct addr){0x7f000001, (uint16_t)(1000 + i)};
    changed(m, i);
}

static void
host_stop(struct model *m, unsigned i)
{
    flow_table_free(m->hosts[i].table);
    m->hosts[i].table = NULL;
    m->hosts[i].running = false;
    m->hosts[i].epoch++;
}

/* Whether a flow's owner can still serve it. */
static bool
live(const struct model *m, const struct caller *caller)
{
    const struct host *host = &m->hosts[caller->owner];

    return caller->phase == OPEN && host->epoch == caller->owner_epoch &&
           host->given_up == caller->owner_given_up &&
           (caller->served ||
            caller->answered_us + FLOW_EMBRYO_TTL_US > m->now_us);
}

/* Packets */

static void
add_hops(struct gue *gue, const struct view *view, const struct rank *rank,
         uint32_t bucket, enum member_health health, bool openers, bool rest)
{
    const uint16_t *row = &rank->table[(size_t)bucket * RANK_DEPTH];
    size_t i;

    for (i = 0; i < RANK_DEPTH && row[i] != RANK_NONE; i++) {
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

/* The balancer's rule: see src/balancer/route.c */
static bool
route(struct model *m, unsigned balancer, const struct packet *packet,
      uint32_t service, struct gue *gue)
{
    const struct knowledge *knows = &m->knows[MODEL_HOSTS_MAX + balancer];
    const struct rank *rank = &knows->ranks[service];
    uint32_t bucket = rank_bucket(packet_flow_hash(packet));
    bool open = packet->flags == PACKET_TCP_SYN;
    uint8_t suspects;

    *gue = (struct gue){.service = service, .flags = open ? GUE_OPEN : 0};
    add_hops(gue, knows->view, rank, bucket, MEMBER_ALIVE, open, false);
    if (open) {
        add_hops(gue, knows->view, rank, bucket, MEMBER_ALIVE, false, true);
    }
    suspects = gue->count;
    add_hops(gue, knows->view, rank, bucket, MEMBER_SUSPECT, false, false);
    if (gue->count > suspects) {
        gue->flags |= GUE_SUSPECTS;
    }
    return gue->count > 0;
}

static void
post(struct model *m, struct message message)
{
    message.sent_us = m->now_us;
    g_array_append_val(m->messages, message);
}

static void
post_hop(struct model *m, struct message message)
{
    unsigned host = (unsigned)message.gue.hops[message.gue.index].member - 1;

    message.kind = TO_HOST;
    message.host = host;
    post(m, message);
}

static void
send_packet(struct model *m, unsigned flow, uint8_t flags)
{
    struct caller *caller = &m->callers[flow];
    struct message message = {.flow = flow, .packet = caller->key};

    message.packet.flags = flags;
    message.packet.seq = caller->isn + (flags == PACKET_TCP_SYN ? 0 : 1);
    if ((flags & PACKET_TCP_ACK) != 0) {
        message.packet.ack = caller->peer_isn + 1;
    }
    if (route(m, pick(m, BALANCERS), &message.packet, caller->service,
              &message.gue)) {
        post_hop(m, message);
    }
}

static void
answer_syn(struct model *m, unsigned i, const struct message *message)
{
    struct host *host = &m->hosts[i];
    struct message answer = {.kind = TO_CALLER,
                             .host = i,
                             .epoch = host->epoch,
                             .flow = message->flow};
    struct packet *packet = &answer.packet;

    packet->src = message->packet.dst;
    packet->dst = message->packet.src;
    packet->sport = message->packet.dport;
    packet->dport = message->packet.sport;
    packet->proto = TCP;
    packet->flags = PACKET_TCP_SYN | PACKET_TCP_ACK;
    packet->ack = message->packet.seq + 1;
    packet->seq = host->isn[message->flow];
    flow_sent_syn_ack(host->table, packet);
    post(m, answer);
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
    if (live(m, caller)) {
        fail(m, "a live flow was reset", message->flow, i);
    }
    caller->phase = IDLE;
}

static void
took(struct model *m, unsigned i, const struct message *message)
{
    struct host *host = &m->hosts[i];
    struct caller *caller = &m->callers[message->flow];

    if (message->packet.dst != SERVICE_IP + m->truth[i].service) {
        fail(m, "taken for another service", message->flow, i);
    }
    if (message->packet.sport != caller->key.sport) {
        return; /* late packet of an earlier flow */
    }
    if (message->packet.flags == PACKET_TCP_SYN) {
        answer_syn(m, i, message);
        return;
    }
    if (host->isn[message->flow] + 1 != message->packet.ack) {
        fail(m, "taken by another than its owner", message->flow, i);
        return;
    }
    caller->served = true;
    m->result.hops[message->hops]++;
}

static void
arrive(struct model *m, struct message message);

/* As it comes out of the encapsulation; no member is on a list twice. */
static void
check_list(struct model *m, const struct message *message, unsigned host)
{
    const struct gue *gue = &message->gue;
    uint8_t buf[GUE_HEADER_MAX];
    struct gue out;
    unsigned i;
    unsigned k;

    if (gue_decode(buf, gue_encode(gue, buf), &out) < 0 ||
        out.flags != gue->flags || out.index != gue->index ||
        out.count != gue->count) {
        fail(m, "the list doesn't get through", message->flow, host);
    }
    for (i = 0; i < gue->count; i++) {
        for (k = 0; k < i; k++) {
            if (gue->hops[i].member == gue->hops[k].member) {
                fail(m, "a member is listed twice", message->flow, host);
            }
        }
    }
}

/* Mostly at once: other events come between some hops. */
static void
pass(struct model *m, struct message message)
{
    if (pick(m, 10) == 0) {
        post_hop(m, message);
        return;
    }
    message.host = (unsigned)message.gue.hops[message.gue.index].member - 1;
    arrive(m, message);
}

static void
arrive(struct model *m, struct message message)
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
        /* A late copy of an earlier flow's SYN is never answered. */
        if (message.packet.sport == m->callers[message.flow].key.sport) {
            host->isn[message.flow] = m->next_isn += 1000;
        }
        took(m, i, &message);
        break;
    case FLOW_TAKE:
        took(m, i, &message);
        break;
    case FLOW_PASS:
        message.gue = decision.gue;
        check_list(m, &message, i);
        if (++message.hops >= MODEL_HOPS_MAX) {
            fail(m, "passed on for ever", message.flow, i);
            break;
        }
        pass(m, message);
        break;
    case FLOW_RESET:
        reset_caller(m, i, &message);
        break;
    case FLOW_DROP:
        break;
    }
}

static void
arrive_at_caller(struct model *m, const struct message *message)
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
        caller->owner_given_up = m->hosts[message->host].given_up;
        caller->answered_us = message->sent_us;
        caller->served = false;
        m->result.established++;
    }
    /* Also the challenge to a second answer (RFC 9293, 3.10.7.4). */
    send_packet(m, message->flow, PACKET_TCP_ACK);
}

static void
deliver(struct model *m, const struct message *message)
{
    const struct host *host = &m->hosts[message->host];

    switch (message->kind) {
    case TO_HOST:
        arrive(m, *message);
        break;
    case TO_CALLER:
        arrive_at_caller(m, message);
        break;
    case PIN:
        if (host->running && !host->frozen) {
            flow_pin_add(host->table, &message->pin, m->now_us);
        }
        break;
    }
}

/* Any message, also one of them twice or not at all. */
static void
deliver_any(struct model *m)
{
    unsigned at;
    struct message message;
    unsigned fate = pick(m, 100);

    if (m->messages->len == 0) {
        return;
    }
    at = pick(m, m->messages->len);
    message = g_array_index(m->messages, struct message, at);
    if (fate >= 5) {
        g_array_remove_index_fast(m->messages, at);
    }
    if (fate < 95 && message.sent_us + MESSAGE_AGE_US > m->now_us) {
        deliver(m, &message);
    }
}

static void
send_pins(struct model *m, unsigned i)
{
    struct flow_pin pins[16];
    uint64_t to[16];
    size_t count;
    size_t k;

    if (!m->hosts[i].running || m->hosts[i].frozen) {
        return;
    }
    flow_tick(m->hosts[i].table, m->now_us);
    while ((count = flow_pins_due(m->hosts[i].table, m->now_us, pins, to,
                                  G_N_ELEMENTS(pins))) > 0) {
        for (k = 0; k < count; k++) {
            post(m, (struct message){.kind = PIN,
                                     .host = (unsigned)to[k] - 1,
                                     .pin = pins[k]});
        }
    }
}

/* Callers */

static void
caller_open(struct model *m, unsigned flow)
{
    struct caller *caller = &m->callers[flow];
    uint32_t service = 1 + pick(m, m->config.services);
    unsigned i;

    for (i = 0; i < m->config.hosts; i++) {
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
    send_packet(m, flow, PACKET_TCP_SYN);
}

/* Ends at both sides; what is under way is ignored by its port. */
static void
caller_close(struct model *m, unsigned flow)
{
    struct caller *caller = &m->callers[flow];
    struct host *owner = &m->hosts[caller->owner];

    if (live(m, caller) && owner->running && !owner->frozen) {
        flow_close(owner->table, &caller->key);
        caller->phase = IDLE;
    }
}

static void
caller_act(struct model *m)
{
    unsigned flow = pick(m, FLOWS);

    switch (m->callers[flow].phase) {
    case IDLE:
        caller_open(m, flow);
        break;
    case OPENING:
        send_packet(m, flow, PACKET_TCP_SYN);
        break;
    case OPEN:
        if (pick(m, 40) == 0) {
            caller_close(m, flow);
        }
        else if (pick(m, 20) == 0) {
            /* A copy of the opening packet, late. */
            send_packet(m, flow, PACKET_TCP_SYN);
        }
        else {
            send_packet(m, flow, PACKET_TCP_ACK);
        }
        break;
    }
}

/* Changes */

static void
change_planned(struct model *m, unsigned i)
{
    struct host *host = &m->hosts[i];

    if (!host->running) {
        host_start(m, i, 1 + i % m->config.services);
    }
    else if (!host->frozen && !host->draining) {
        host->draining = true;
        m->truth[i].state = MEMBER_DRAINING;
        changed(m, i);
    }
    else if (!host->frozen && flow_count(host->table, NULL) == 0) {
        host_stop(m, i);
        m->truth[i].health = MEMBER_DEAD;
        changed(m, i);
    }
}

/* Others suspect a host, wrongly too; then it refutes or is given up. */
static void
change_suspicion(struct model *m, unsigned i)
{
    struct host *host = &m->hosts[i];
    struct view_member *truth = &m->truth[i];
    bool answers = host->running && (!host->frozen || pick(m, 2) == 0);

    if (truth->id == 0 || (truth->health == MEMBER_DEAD && !answers)) {
        return;
    }
    if (answers && (host->frozen || truth->health == MEMBER_SUSPECT)) {
        host->frozen = false;
        truth->health = MEMBER_ALIVE;
        truth->incarnation++;
    }
    else {
        truth->health++;
        host->given_up += truth->health == MEMBER_DEAD;
    }
    changed(m, i);
}

static void
change_fault(struct model *m, unsigned i)
{
    struct host *host = &m->hosts[i];
    unsigned what = pick(m, 4);

    if (!host->running || host->frozen) {
        change_suspicion(m, i);
    }
    else if (what == 0) {
        host_stop(m, i);
    }
    else if (what == 1) {
        /* Its address now serves another service. */
        host_stop(m, i);
        host_start(m, i, 1 + pick(m, m->config.services));
    }
    else {
        host->frozen = true;
    }
}

/* A silent host, if there is one. */
static unsigned
pick_silent(struct model *m)
{
    unsigned first = pick(m, m->config.hosts);
    unsigned k;

    for (k = 0; k < m->config.hosts; k++) {
        unsigned i = (first + k) % m->config.hosts;

        if (m->hosts[i].frozen ||
            (m->truth[i].health != MEMBER_DEAD && !m->hosts[i].running)) {
            return i;
        }
    }
    return first;
}

static void
step(struct model *m)
{
    unsigned what = pick(m, 1000);

    m->now_us += pick(m, 20000);
    hear_all(m, SKEW_US);
    if (what < 500) {
        deliver_any(m);
    }
    else if (what < 800) {
        caller_act(m);
    }
    else if (what < 890) {
        hear(m, pick(m, PROCESSES), pick(m, m->config.hosts));
    }
    else if (what < 970) {
        send_pins(m, pick(m, m->config.hosts));
    }
    else if (what < 985 || !m->config.faults) {
        change_planned(m, pick(m, m->config.hosts));
    }
    else if (what < 990) {
        change_fault(m, pick(m, m->config.hosts));
    }
    else {
        change_suspicion(m, pick_silent(m));
    }
}

/* Sends a packet and follows it to its end; returns its flow's new phase. */
static enum flow_phase
probe(struct model *m, unsigned flow)
{
    size_t before = m->result.resets;
    unsigned i;
    size_t taken = 0;

    g_array_set_size(m->messages, 0);
    for (i = 0; i < MODEL_HOPS_MAX; i++) {
        taken += m->result.hops[i];
    }
    send_packet(m, flow, PACKET_TCP_ACK);
    while (m->messages->len > 0) {
        struct message message = g_array_index(m->messages, struct message, 0);

        g_array_remove_index(m->messages, 0);
        deliver(m, &message);
    }
    for (i = 0; i < MODEL_HOPS_MAX; i++) {
        taken -= m->result.hops[i];
    }
    if (taken == 0 && m->result.resets == before) {
        return OPENING; /* lost */
    }
    return m->callers[flow].phase;
}

static void
deliver_pins(struct model *m)
{
    unsigned i;

    g_array_set_size(m->messages, 0);
    for (i = 0; i < m->config.hosts; i++) {
        send_pins(m, i);
    }
    for (i = 0; i < m->messages->len; i++) {
        deliver(m, &g_array_index(m->messages, struct message, i));
    }
    g_array_set_size(m->messages, 0);
}

static void
start_others(struct model *m)
{
    unsigned i;

    for (i = 0; i < m->config.hosts; i++) {
        if (!m->hosts[i].running && m->truth[i].id == 0) {
            host_start(m, i, 1 + i % m->config.services);
        }
    }
}

/* Each live flow's packets find their owner, unless that is suspected. */
static void
probe_live(struct model *m)
{
    unsigned i;
    unsigned k;

    for (i = 0; i < FLOWS; i++) {
        for (k = 0; k < 3 && live(m, &m->callers[i]) &&
                    m->truth[m->callers[i].owner].health == MEMBER_ALIVE;
             k++) {
            if (probe(m, i) != OPEN) {
                fail(m, "a live flow's packet was lost", i,
                     m->callers[i].owner);
            }
        }
    }
}

static void
probe_dead(struct model *m)
{
    unsigned i;

    for (i = 0; i < FLOWS; i++) {
        const struct caller *caller = &m->callers[i];

        if (caller->phase == OPEN &&
            m->hosts[caller->owner].epoch != caller->owner_epoch &&
            probe(m, i) != IDLE) {
            fail(m, "the caller of a dead host wasn't told", i, caller->owner);
        }
    }
}

/* Silent hosts are suspected, stopped ones known to be dead. */
static void
judge_hosts(struct model *m)
{
    unsigned i;

    for (i = 0; i < m->config.hosts; i++) {
        if (m->hosts[i].frozen && m->truth[i].health == MEMBER_ALIVE) {
            m->truth[i].health = MEMBER_SUSPECT;
        }
        else if (!m->hosts[i].running && m->truth[i].id != 0) {
            m->truth[i].health = MEMBER_DEAD;
        }
        changed(m, i);
    }
}

static void
refute_all(struct model *m)
{
    unsigned i;

    for (i = 0; i < m->config.hosts; i++) {
        if (m->hosts[i].running && m->truth[i].health != MEMBER_ALIVE) {
            m->hosts[i].frozen = false;
            m->truth[i].health = MEMBER_ALIVE;
            m->truth[i].incarnation++;
            changed(m, i);
        }
    }
}

/* When all have heard everything, flows work, and callers of the dead are
 * told. */
static void
check_all(struct model *m)
{
    judge_hosts(m);
    hear_all(m, 0);
    deliver_pins(m);
    probe_live(m);
    refute_all(m);
    hear_all(m, 0);
    deliver_pins(m);
    probe_live(m);
    /* Nobody joined lately, and registrations were renewed. */
    m->now_us += FLOW_SETTLE_US + FLOW_PIN_REFRESH_US;
    deliver_pins(m);
    probe_live(m);
    probe_dead(m);
}

struct model_result
model_run(const struct model_config *config, guint32 seed, unsigned steps)
{
    struct model *m = g_new0(struct model, 1);
    struct model_result result;
    unsigned i;

    m->config = *config;
    m->rand = g_rand_new_with_seed(seed);
    m->messages = g_array_new(FALSE, FALSE, sizeof(struct message));
    m->now_us = 1000 * USEC_PER_SEC;
    m->next_port = 1024;
    for (i = 0; i < config->first; i++) {
        host_start(m, i, 1 + i % config->services);
    }
    hear_all(m, 0);
    m->now_us += FLOW_SETTLE_US;
    for (i = 0; i < steps && m->result.failure == NULL; i++) {
        if (config->burst && i == steps / 2) {
            start_others(m);
        }
        step(m);
    }
    m->result.step = i;
    if (m->result.failure == NULL) {
        check_all(m);
    }
    result = m->result;
    for (i = 0; i < PROCESSES; i++) {
        g_free(m->knows[i].view);
        rank_finish(&m->knows[i].ranks[1]);
        rank_finish(&m->knows[i].ranks[2]);
    }
    for (i = 0; i < config->hosts; i++) {
        flow_table_free(m->hosts[i].table);
    }
    g_array_unref(m->messages);
    g_rand_free(m->rand);
    g_free(m);
    return result;
}
