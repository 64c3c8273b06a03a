/**
 * DOC: retire_test - flows outlive what happens to their service's address
 *
 * A packet of an established flow always reaches its owner, through any
 * balancer that knows its address; nothing of it ever reaches another
 * service; a retired address opens no flow.
 */

#include "base/hash.h"
#include "retire_site.h"
#include "scene.h"
#include "lib/harness.h"

#define SUITE "/retire"
#define RUNS 60
#define HOPS_MAX 40
#define PROTO_UDP 17

static enum flow_address
address_of(const struct site *site, const struct site_agent *agent,
           const struct packet *packet, const struct gue *gue)
{
    if (agent->service == NULL || gue->service != agent->service->id)
        return FLOW_ADDRESS_NONE;
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
        struct site_agent *at = &site->agents[*agent];
        enum flow_address address = address_of(site, at, packet, &gue);
        struct flow_decision decision = flow_address_decide(
            at->flows, address, packet, &gue, site->now_us);
        if (decision.verdict == FLOW_OPEN)
            g_assert_cmpint(address, ==, FLOW_ADDRESS_CURRENT);
        if (decision.verdict == FLOW_DELIVER || decision.verdict == FLOW_OPEN)
            g_assert_cmpuint(hash_service(site_names[at->name]), ==,
                             gue.service);
        strange = strange || address == FLOW_ADDRESS_NONE;
        site->helped += strange && decision.verdict == FLOW_DELIVER;
        if (decision.verdict != FLOW_FORWARD)
            return decision;
        gue = decision.gue;
    }
    g_assert_not_reached();
}

/* Sends a packet through a balancer; false when that drops it. */
static bool
send_one(struct site *site, size_t balancer, const struct site_flow *flow,
         uint8_t flags, uint32_t ack, struct flow_decision *decision,
         size_t *agent)
{
    uint8_t buf[128];
    uint32_t ip = SITE_FIRST_IP + flow->address;
    size_t len = site_is_udp(flow->name)
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
    size_t balancer = site_draw(site, SITE_BALANCERS);
    const struct text *text = site->texts[site->balancers[balancer]];
    struct site_flow flow = {.name = site_draw(site, SITE_NAMES),
                             .caller = site->callers++};
    const struct text_service *service =
        text_find(text, hash_service(site_names[flow.name]));
    struct flow_decision decision;
    size_t agent;

    if (service == NULL || site->flow_count == SITE_FLOWS_MAX)
        return;
    flow.address = service->ip - SITE_FIRST_IP;
    flow.since = site->balancers[balancer];
    if (!send_one(site, balancer, &flow, PACKET_TCP_SYN, 0, &decision,
                  &agent) ||
        decision.verdict != FLOW_OPEN)
        return;
    g_assert_cmpuint(site->agents[agent].name, ==, flow.name);
    flow.agent = (unsigned)agent;
    flow.since = MAX(flow.since, site->agents[agent].version);
    if (!site_is_udp(flow.name)) {
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
        g_assert_cmpint(decision.verdict, ==, FLOW_DELIVER);
        g_assert_cmpuint(agent, ==, flow.agent);
    }
    site->flows[site->flow_count++] = flow;
}

/* What the newest text says of a flow's address. */
static bool
is_held(const struct site *site, const struct site_flow *flow, bool *retired)
{
    const struct text *text = site->texts[site->latest];
    uint32_t ip = SITE_FIRST_IP + flow->address;
    enum text_proto proto = site_is_udp(flow->name) ? TEXT_UDP : TEXT_TCP;
    uint32_t id = hash_service(site_names[flow->name]);
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
check_late(const struct site *site, const struct site_flow *flow,
           size_t balancer, const struct flow_decision *decision)
{
    g_assert_cmpuint(site->balancers[balancer], <, flow->since);
    if (decision != NULL)
        g_assert_cmpint(decision->verdict, ==, FLOW_DROP);
}

static void
check_flow(struct site *site, const struct site_flow *flow, bool retired)
{
    for (size_t i = 0; i < SITE_BALANCERS; i++) {
        struct flow_decision decision;
        size_t agent;
        if (!send_one(site, i, flow, PACKET_TCP_ACK, 71, &decision, &agent)) {
            check_late(site, flow, i, NULL);
            continue;
        }
        if (decision.verdict != FLOW_DELIVER) {
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
            .dst = SITE_FIRST_IP + site->flows[i].address,
            .sport = (uint16_t)(1024 + site->flows[i].caller % 50000),
            .dport = SCENE_PORT,
            .proto = site_is_udp(site->flows[i].name) ? PROTO_UDP : 6};
        flow_close(site->agents[site->flows[i].agent].flows, &key);
        site->flows[i] = site->flows[--site->flow_count];
    }
}

/* A new flow to an address that is retired for all is refused by a reset. */
static void
check_refusal(struct site *site)
{
    struct site_flow flow = {.name = site_draw(site, SITE_NAMES - 1),
                             .address = site_draw(site, SITE_ADDRESSES),
                             .caller = site->callers++};
    struct flow_decision decision;
    size_t agent;
    bool retired;

    if (!is_held(site, &flow, &retired) || !retired)
        return;
    for (size_t i = 0; i < SITE_BALANCERS; i++)
        if (site->balancers[i] != site->latest)
            return;
    for (size_t i = 0; i < SITE_AGENTS; i++)
        if (site->agents[i].version != site->latest)
            return;
    g_assert_true(
        send_one(site, 0, &flow, PACKET_TCP_SYN, 0, &decision, &agent));
    const struct text_retired *before =
        text_find_retired(site->texts[site->latest],
                          SITE_FIRST_IP + flow.address, SCENE_PORT, TEXT_TCP);
    bool over = site->now_ms + TEXT_RETIRE_SKEW_MS >= before->until_ms;
    g_assert_cmpint(decision.verdict, ==, over ? FLOW_DROP : FLOW_RESET);
    site->resets += !over;
}

TEST(texts)
{
    unsigned refused = 0;
    unsigned retired_taken = 0;
    unsigned resets = 0;
    unsigned helped = 0;

    for (uint32_t seed = 1; seed <= RUNS; seed++) {
        struct site site;

        g_test_message("seed %u", seed);
        site_init(&site, seed);
        for (unsigned step = 0; step < SITE_STEPS; step++) {
            site.now_ms += site_draw(&site, 12) * SITE_HOUR_MS;
            site.now_us += 20 * USEC_PER_SEC;
            site_move_versions(&site);
            site_publish(&site);
            site_move_versions(&site);
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
