/**
 * DOC: retire_test - flows outlive what happens to their service's address
 *
 * Random texts follow each other: services are added, moved, moved back,
 * renamed and removed. Balancers and agents use versions that differ, by
 * less than the time that addresses are held. A packet of an established
 * flow always reaches its owner, through any balancer that knows its
 * address; nothing of it ever reaches another service; a retired address
 * opens no flow.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "agent/addresses.h"
#include "balancer/route.h"
#include "base/hash.h"
#include "scene.h"
#include "text/text_retire.h"

#define NAMES 4
#define ADDRESSES 7
#define AGENTS 8
#define BALANCERS 3
#define RUNS 60
#define STEPS 60
#define VERSIONS (STEPS + 1)
#define FLOWS_MAX 64
#define HOUR_MS (3600 * UINT64_C(1000))
#define HOLD_MS (24 * HOUR_MS)
#define FIRST_MS UINT64_C(1700000000000)
#define FIRST_IP 0x0a640001u
#define PROTO_UDP 17
#define HOPS_MAX 40

static const char *const names[NAMES] = {"albums", "desk", "lots", "names"};

/** struct plan - the address of each name, ADDRESSES for none */
struct plan {
    unsigned address[NAMES];
};

/** struct flow - an established flow and who owns it */
struct flow {
    unsigned name;
    unsigned address;
    unsigned agent;
    uint32_t caller;
    size_t since; /* version by which it was opened */
};

/** struct agent_model - an agent: what it knows and its flows */
struct agent_model {
    unsigned name;
    size_t version;
    struct flow_table *flows;
    struct addresses addresses;
    const struct text_service *service;
};

/** struct site - all of it */
struct site {
    GRand *random;
    uint64_t now_ms;
    uint64_t now_us;
    struct plan plan;
    struct text *texts[VERSIONS];
    struct route_table *tables[VERSIONS];
    uint64_t published_ms[VERSIONS];
    size_t latest;
    struct view *view;
    struct agent_model agents[AGENTS];
    size_t balancers[BALANCERS];
    struct flow flows[FLOWS_MAX];
    size_t flow_count;
    uint32_t callers;
    unsigned refused;
    unsigned taken;
    unsigned retired_taken;
    unsigned resets;
    unsigned helped; /* taken after agents that did not know the address */
};

static unsigned
draw(struct site *site, unsigned below)
{
    return (unsigned)g_rand_int_range(site->random, 0, (gint32)below);
}

/* "names" is a UDP service, so it may share an address. */
static bool
is_udp(unsigned name)
{
    return name == NAMES - 1;
}

static char *
write_text(const struct plan *plan)
{
    GString *out = g_string_new("{\"services\": [");
    bool any = false;

    for (unsigned i = 0; i < NAMES; i++) {
        if (plan->address[i] == ADDRESSES)
            continue;
        g_string_append_printf(
            out,
            "%s{\"name\": \"%s\", \"address\": \"10.100.0.%u\", \"port\": "
            "%d, \"protocol\": \"%s\", \"class\": \"urgent\"}",
            any ? ", " : "", names[i], plan->address[i] + 1, SCENE_PORT,
            is_udp(i) ? "udp" : "tcp");
        any = true;
    }
    g_string_append(out, "]}");
    return g_string_free(out, FALSE);
}

/* The next text, or NULL when what is published forbids it or it is none. */
static struct text *
next_text(struct site *site, const struct plan *plan)
{
    struct text_retired retired[TEXT_RETIRED_MAX];
    struct text_change change = {.name = "t",
                                 .from = site->texts[site->latest],
                                 .now_ms = site->now_ms,
                                 .hold_ms = HOLD_MS};
    struct text_envelope envelope = {.write_id = "1", .author = "a"};
    char *source = write_text(plan);
    struct text *text = NULL;
    struct text *full = NULL;
    char *report = NULL;
    size_t count;

    if (text_parse(source, strlen(source), "t", &text, &report) == 0) {
        change.to = text;
        if (text_retire(&change, retired, &count, &report) == 0) {
            size_t len;
            char *list = text_retired_write(retired, count);
            envelope.text = text->source;
            envelope.text_len = text->source_len;
            envelope.retired = count > 0 ? list : NULL;
            envelope.retired_len = strlen(list);
            char *value = text_envelope_write(&envelope, &len);
            g_assert_cmpint(text_parse_envelope(value, len, site->latest + 2,
                                                &full, &report),
                            ==, 0);
            g_assert_cmpuint(full->retired_count, ==, count);
            g_free(value);
            g_free(list);
        }
    }
    site->refused += full == NULL;
    text_free(text);
    g_free(report);
    g_free(source);
    return full;
}

/* The ranks do not depend on the text, so all versions share them. */
static void
keep_version(struct site *site, size_t version, struct text *text)
{
    site->texts[version] = text;
    site->published_ms[version] = site->now_ms;
    g_assert_cmpint(
        route_table_new(site->view, text,
                        version > 0 ? site->tables[version - 1] : NULL,
                        &site->tables[version]),
        ==, 0);
}

/* What a peer learns from another is what the platform would tell it. */
static struct text *
from_peer(const struct text *text)
{
    struct text *again = NULL;
    char *report = NULL;

    g_assert_cmpint(text_parse_envelope(text->source, text->source_len,
                                        text->version, &again, &report),
                    ==, 0);
    g_assert_cmpuint(again->retired_count, ==, text->retired_count);
    return again;
}

static struct plan
change_plan(struct site *site)
{
    struct plan plan = site->plan;
    unsigned name = draw(site, NAMES);

    if (draw(site, 4) == 0) { /* rename, or swap */
        unsigned other = draw(site, NAMES);
        unsigned address = plan.address[name];
        plan.address[name] = plan.address[other];
        plan.address[other] = address;
    }
    else {
        plan.address[name] = draw(site, ADDRESSES + 1);
    }
    return plan;
}

static void
agent_set(struct site *site, struct agent_model *agent, size_t version)
{
    struct text *text = site->texts[version];
    uint32_t id = hash_service(names[agent->name]);

    agent->version = version;
    agent->service = text_find_served(text, id);
    addresses_set(&agent->addresses, text, id);
    flow_set_view(agent->flows, site->view, agent->service != NULL ? id : 0,
                  !agent->addresses.removed, site->now_us);
}

/* Nobody lags by as much as addresses are held. */
static size_t
oldest_allowed(const struct site *site)
{
    size_t version = site->latest;

    while (version > 0 && site->published_ms[version] + HOLD_MS > site->now_ms)
        version--;
    return version;
}

static size_t
newer(struct site *site, size_t version)
{
    size_t least = MAX(version, oldest_allowed(site));

    return least + draw(site, (unsigned)(site->latest - least + 1));
}

static void
move_versions(struct site *site)
{
    bool all = draw(site, 5) == 0; /* to the latest */

    for (size_t i = 0; i < BALANCERS; i++)
        site->balancers[i] =
            newer(site, all ? site->latest : site->balancers[i]);
    for (size_t i = 0; i < AGENTS; i++)
        agent_set(site, &site->agents[i],
                  newer(site, all ? site->latest : site->agents[i].version));
}

static void
publish(struct site *site)
{
    struct plan plan = change_plan(site);
    struct text *text = next_text(site, &plan);

    if (text == NULL)
        return;
    site->plan = plan;
    keep_version(site, ++site->latest, from_peer(text));
    text_free(text);
}

static enum gate_address
address_of(const struct site *site, const struct agent_model *agent,
           const struct packet *packet, const struct gue *gue)
{
    if (agent->service == NULL || gue->service != agent->service->id)
        return GATE_NONE;
    return addresses_find(&agent->addresses, agent->service, packet->dst,
                          packet->dport, packet->proto, site->now_ms);
}

static size_t
agent_at(const struct site *site, const struct gue *gue)
{
    size_t at = 0;

    while (site->view->members[at].id != gue->hops[gue->index].member)
        at++;
    return at;
}

/* Walks the list; where it ended is in @agent. */
static struct flow_decision
walk(struct site *site, const struct packet *packet, struct gue gue,
     size_t *agent)
{
    bool strange = false;

    for (int hops = 0; hops < HOPS_MAX; hops++) {
        *agent = agent_at(site, &gue);
        struct agent_model *at = &site->agents[*agent];
        enum gate_address address = address_of(site, at, packet, &gue);
        struct flow_decision decision =
            gate_decide(at->flows, address, packet, &gue, site->now_us);
        if (decision.verdict == FLOW_OPEN)
            g_assert_cmpint(address, ==, GATE_CURRENT);
        if (decision.verdict == FLOW_TAKE || decision.verdict == FLOW_OPEN)
            g_assert_cmpuint(hash_service(names[at->name]), ==, gue.service);
        strange = strange || address == GATE_NONE;
        site->helped += strange && decision.verdict == FLOW_TAKE;
        if (decision.verdict != FLOW_PASS)
            return decision;
        gue = decision.gue;
    }
    g_assert_not_reached();
}

/* Sends a packet through a balancer; false when that drops it. */
static bool
send_one(struct site *site, size_t balancer, const struct flow *flow,
         uint8_t flags, uint32_t ack, struct flow_decision *decision,
         size_t *agent)
{
    uint8_t buf[128];
    uint32_t ip = FIRST_IP + flow->address;
    size_t len = is_udp(flow->name)
                     ? scene_udp(buf, ip, flow->caller)
                     : scene_tcp(buf, ip, flow->caller, flags, "");
    struct route_decision route = {0};
    const struct route_table *table = site->tables[site->balancers[balancer]];

    if (route_decide(table, buf, len, UINT32_MAX, &route) != PACKET_OK)
        return false;
    if (text_find_retired(site->texts[site->balancers[balancer]], ip,
                          SCENE_PORT, (enum text_proto)route.packet.proto))
        g_assert_cmpuint(route.gue.flags & GUE_OPEN, ==, 0);
    route.packet.ack = ack;
    *decision = walk(site, &route.packet, route.gue, agent);
    return true;
}

static void
open_flow(struct site *site)
{
    size_t balancer = draw(site, BALANCERS);
    const struct text *text = site->texts[site->balancers[balancer]];
    struct flow flow = {.name = draw(site, NAMES), .caller = site->callers++};
    const struct text_service *service =
        text_find(text, hash_service(names[flow.name]));
    struct flow_decision decision;
    size_t agent;

    if (service == NULL || site->flow_count == FLOWS_MAX)
        return;
    flow.address = service->ip - FIRST_IP;
    flow.since = site->balancers[balancer];
    if (!send_one(site, balancer, &flow, PACKET_TCP_SYN, 0, &decision,
                  &agent) ||
        decision.verdict != FLOW_OPEN)
        return;
    g_assert_cmpuint(site->agents[agent].name, ==, flow.name);
    flow.agent = (unsigned)agent;
    flow.since = MAX(flow.since, site->agents[agent].version);
    if (!is_udp(flow.name)) {
        struct packet out = {.src = service->ip,
                             .dst = 0x0a090000 + flow.caller / 50000,
                             .sport = SCENE_PORT,
                             .dport = (uint16_t)(1024 + flow.caller % 50000),
                             .proto = 6,
                             .seq = 70,
                             .flags = PACKET_TCP_SYN | PACKET_TCP_ACK};
        flow_sent_syn_ack(site->agents[agent].flows, &out);
        g_assert_true(send_one(site, balancer, &flow, PACKET_TCP_ACK, 71,
                               &decision, &agent));
        g_assert_cmpint(decision.verdict, ==, FLOW_TAKE);
        g_assert_cmpuint(agent, ==, flow.agent);
    }
    site->flows[site->flow_count++] = flow;
}

/* What the newest text says of a flow's address. */
static bool
is_held(const struct site *site, const struct flow *flow, bool *retired)
{
    const struct text *text = site->texts[site->latest];
    uint32_t ip = FIRST_IP + flow->address;
    enum text_proto proto = is_udp(flow->name) ? TEXT_UDP : TEXT_TCP;
    uint32_t id = hash_service(names[flow->name]);
    const struct text_service *user =
        text_find_addr(text, ip, SCENE_PORT, proto);
    const struct text_retired *before =
        text_find_retired(text, ip, SCENE_PORT, proto);

    *retired = before != NULL;
    g_assert_true(user == NULL || before == NULL);
    return (user != NULL && user->id == id) ||
           (before != NULL && before->service.id == id);
}

/* A balancer may not have heard yet that the address is the service's. Then
 * the packet is lost, but the flow isn't reset. */
static void
check_late(const struct site *site, const struct flow *flow, size_t balancer,
           const struct flow_decision *decision)
{
    g_assert_cmpuint(site->balancers[balancer], <, flow->since);
    if (decision != NULL)
        g_assert_cmpint(decision->verdict, ==, FLOW_DROP);
}

static void
check_flow(struct site *site, const struct flow *flow, bool retired)
{
    for (size_t i = 0; i < BALANCERS; i++) {
        struct flow_decision decision;
        size_t agent;
        if (!send_one(site, i, flow, PACKET_TCP_ACK, 71, &decision, &agent)) {
            check_late(site, flow, i, NULL);
            continue;
        }
        if (decision.verdict != FLOW_TAKE) {
            check_late(site, flow, i, &decision);
            continue;
        }
        g_assert_cmpuint(agent, ==, flow->agent);
        site->taken++;
        site->retired_taken += retired;
    }
}

/* A flow whose address is given up has ended: its owner resets it. */
static void
check_flows(struct site *site)
{
    for (size_t i = 0; i < site->flow_count;) {
        bool retired;
        if (is_held(site, &site->flows[i], &retired)) {
            check_flow(site, &site->flows[i++], retired);
            continue;
        }
        struct packet key = {
            .src = 0x0a090000 + site->flows[i].caller / 50000,
            .dst = FIRST_IP + site->flows[i].address,
            .sport = (uint16_t)(1024 + site->flows[i].caller % 50000),
            .dport = SCENE_PORT,
            .proto = is_udp(site->flows[i].name) ? PROTO_UDP : 6};
        flow_close(site->agents[site->flows[i].agent].flows, &key);
        site->flows[i] = site->flows[--site->flow_count];
    }
}

/* A new flow to an address that is retired for all is refused by a reset. */
static void
check_refusal(struct site *site)
{
    struct flow flow = {.name = draw(site, NAMES - 1),
                        .address = draw(site, ADDRESSES),
                        .caller = site->callers++};
    struct flow_decision decision;
    size_t agent;
    bool retired;

    if (!is_held(site, &flow, &retired) || !retired)
        return;
    for (size_t i = 0; i < BALANCERS; i++)
        if (site->balancers[i] != site->latest)
            return;
    for (size_t i = 0; i < AGENTS; i++)
        if (site->agents[i].version != site->latest)
            return;
    g_assert_true(
        send_one(site, 0, &flow, PACKET_TCP_SYN, 0, &decision, &agent));
    const struct text_retired *before =
        text_find_retired(site->texts[site->latest], FIRST_IP + flow.address,
                          SCENE_PORT, TEXT_TCP);
    bool over = site->now_ms + TEXT_RETIRE_SKEW_MS >= before->until_ms;
    g_assert_cmpint(decision.verdict, ==, over ? FLOW_DROP : FLOW_RESET);
    site->resets += !over;
}

static void
site_init(struct site *site, uint32_t seed)
{
    struct text *text;
    char *report;

    *site = (struct site){.random = g_rand_new_with_seed(seed),
                          .now_ms = FIRST_MS,
                          .now_us = 100 * USEC_PER_SEC,
                          .plan = {{0, 1, 2, 0}}};
    char *source = write_text(&site->plan);
    g_assert_cmpint(text_parse(source, strlen(source), "t", &text, &report),
                    ==, 0);
    g_free(source);
    site->view = scene_view(AGENTS, names[0]);
    for (unsigned i = 0; i < AGENTS; i++) {
        site->agents[i].name = i % NAMES;
        site->view->members[i].service = hash_service(names[i % NAMES]);
    }
    keep_version(site, 0, text);
    for (unsigned i = 0; i < AGENTS; i++) {
        site->agents[i].flows =
            flow_table_new(site->view->members[i].id, 4 * FLOWS_MAX);
        agent_set(site, &site->agents[i], 0);
    }
    site->now_us += 60 * USEC_PER_SEC;
}

static void
site_finish(struct site *site)
{
    for (size_t i = 0; i < AGENTS; i++)
        flow_table_free(site->agents[i].flows);
    for (size_t i = 0; i <= site->latest; i++) {
        route_table_free(site->tables[i]);
        text_free(site->texts[i]);
    }
    free(site->view);
    g_rand_free(site->random);
}

static void
test_texts(void)
{
    unsigned refused = 0;
    unsigned retired_taken = 0;
    unsigned resets = 0;
    unsigned helped = 0;

    for (uint32_t seed = 1; seed <= RUNS; seed++) {
        struct site site;

        g_test_message("seed %u", seed);
        site_init(&site, seed);
        for (unsigned step = 0; step < STEPS; step++) {
            site.now_ms += draw(&site, 12) * HOUR_MS;
            site.now_us += 20 * USEC_PER_SEC;
            move_versions(&site);
            publish(&site);
            move_versions(&site);
            for (unsigned i = 0; i < 4; i++)
                open_flow(&site);
            check_flows(&site);
            check_refusal(&site);
        }
        refused += site.refused;
        retired_taken += site.retired_taken;
        resets += site.resets;
        helped += site.helped;
        site_finish(&site);
    }
    /* What is to be tested did happen. */
    g_assert_cmpuint(refused, >, RUNS);
    g_assert_cmpuint(retired_taken, >, 100 * RUNS);
    g_assert_cmpuint(resets, >, RUNS / 4);
    g_assert_cmpuint(helped, >, RUNS);
    g_test_message("refused %u texts; %u packets taken at retired addresses; "
                   "%u new flows reset, %u passed on by strangers",
                   refused, retired_taken, resets, helped);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retire/texts", test_texts);
    return g_test_run();
}
