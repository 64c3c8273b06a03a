/**
 * DOC: retire_test - guards established flows against changes of addresses
 *
 * A packet of an established flow reaches its owner through any balancer that
 * has the address and never reaches another service. A retired address opens
 * no flow.
 */

#include "base/hash.h"
#include "retire_fixture.h"
#include "route_fixture.h"
#include "lib/harness.h"

#define SUITE "/retire"
#define RUNS 60
#define HOPS_MAX 40
#define PROTO_UDP 17

static enum flow_address
address_of(const struct fixture *fixture, const struct fixture_agent *agent,
           const struct packet *packet, const struct gue *gue)
{
    if (agent->service == NULL || gue->service != agent->service->id)
        return FLOW_ADDRESS_NONE;
    return addresses_find(&agent->addresses, agent->service, packet->dst,
                          packet->dport, packet->proto, fixture->now_ms);
}

static size_t
agent_at(const struct fixture *fixture, const struct gue *gue)
{
    size_t at = 0;

    while (fixture->view->members[at].id != gue->hops[gue->index].member)
        at++;
    return at;
}

/* Follows the hop list; sets @agent to the last hop. */
static struct flow_decision
follow_hops(struct fixture *fixture, const struct packet *packet,
            struct gue gue, size_t *agent)
{
    bool unknown_address = false;

    for (int hops = 0; hops < HOPS_MAX; hops++) {
        *agent = agent_at(fixture, &gue);
        struct fixture_agent *at = &fixture->agents[*agent];
        enum flow_address address = address_of(fixture, at, packet, &gue);
        struct flow_decision decision = flow_address_decide(
            at->flows, address, packet, &gue, fixture->now_us);
        if (decision.verdict == FLOW_OPEN)
            g_assert_cmpint(address, ==, FLOW_ADDRESS_CURRENT);
        if (decision.verdict == FLOW_DELIVER || decision.verdict == FLOW_OPEN)
            g_assert_cmpuint(hash_service(fixture_names[at->name]), ==,
                             gue.service);
        unknown_address = unknown_address || address == FLOW_ADDRESS_NONE;
        fixture->forwarded_unaware +=
            unknown_address && decision.verdict == FLOW_DELIVER;
        if (decision.verdict != FLOW_FORWARD)
            return decision;
        gue = decision.gue;
    }
    g_assert_not_reached();
}

/* Sends a packet through a balancer; false if the balancer drops it. */
static bool
send_one(struct fixture *fixture, size_t balancer,
         const struct fixture_flow *flow, uint8_t flags, uint32_t ack,
         struct flow_decision *decision, size_t *agent)
{
    uint8_t buf[128];
    uint32_t ip = FIXTURE_FIRST_IP + flow->address;
    size_t len = fixture_is_udp(flow->name)
                     ? route_fixture_udp(buf, ip, flow->caller)
                     : route_fixture_tcp(buf, ip, flow->caller, flags, "");
    struct route_decision route = {0};
    const struct route_table *table =
        fixture->tables[fixture->balancers[balancer]];

    if (route_decide(table, buf, len, UINT32_MAX, &route) != PACKET_OK)
        return false;
    if (service_config_find_retired(
            fixture->texts[fixture->balancers[balancer]], ip,
            ROUTE_FIXTURE_PORT, (enum service_config_proto)route.packet.proto))
        g_assert_cmpuint(route.gue.flags & GUE_OPEN, ==, 0);
    route.packet.ack = ack;
    *decision = follow_hops(fixture, &route.packet, route.gue, agent);
    return true;
}

static void
open_flow(struct fixture *fixture)
{
    size_t balancer = fixture_random(fixture, FIXTURE_BALANCERS);
    const struct service_config *config =
        fixture->texts[fixture->balancers[balancer]];
    struct fixture_flow flow = {.name = fixture_random(fixture, FIXTURE_NAMES),
                                .caller = fixture->callers++};
    const struct service_config_entry *service =
        service_config_find_id(config, hash_service(fixture_names[flow.name]));
    struct flow_decision decision;
    size_t agent;

    if (service == NULL || fixture->flow_count == FIXTURE_FLOWS_MAX)
        return;
    flow.address = service->ip - FIXTURE_FIRST_IP;
    flow.since = fixture->balancers[balancer];
    if (!send_one(fixture, balancer, &flow, PACKET_TCP_SYN, 0, &decision,
                  &agent) ||
        decision.verdict != FLOW_OPEN)
        return;
    g_assert_cmpuint(fixture->agents[agent].name, ==, flow.name);
    flow.agent = (unsigned)agent;
    flow.since = MAX(flow.since, fixture->agents[agent].version);
    if (!fixture_is_udp(flow.name)) {
        struct packet out = {.src = service->ip,
                             .dst = 0x0a090000 + flow.caller / 50000,
                             .sport = ROUTE_FIXTURE_PORT,
                             .dport = (uint16_t)(1024 + flow.caller % 50000),
                             .proto = 6,
                             .seq = 70,
                             .flags = PACKET_TCP_SYN | PACKET_TCP_ACK};
        flow_sent_syn_ack(fixture->agents[agent].flows, &out);
        g_assert_true(send_one(fixture, balancer, &flow, PACKET_TCP_ACK, 71,
                               &decision, &agent));
        g_assert_cmpint(decision.verdict, ==, FLOW_DELIVER);
        g_assert_cmpuint(agent, ==, flow.agent);
    }
    fixture->flows[fixture->flow_count++] = flow;
}

/* Whether the latest configuration keeps the flow's address for its service */
static bool
is_reserved(const struct fixture *fixture, const struct fixture_flow *flow,
            bool *retired)
{
    const struct service_config *config = fixture->texts[fixture->latest];
    uint32_t ip = FIXTURE_FIRST_IP + flow->address;
    enum service_config_proto proto =
        fixture_is_udp(flow->name) ? SERVICE_CONFIG_UDP : SERVICE_CONFIG_TCP;
    uint32_t id = hash_service(fixture_names[flow->name]);
    const struct service_config_entry *user =
        service_config_find_addr(config, ip, ROUTE_FIXTURE_PORT, proto);
    const struct service_config_retired *before =
        service_config_find_retired(config, ip, ROUTE_FIXTURE_PORT, proto);

    *retired = before != NULL;
    g_assert_true(user == NULL || before == NULL);
    return (user != NULL && user->id == id) ||
           (before != NULL && before->service.id == id);
}

/* A balancer with a version from before the flow may lose the packet, but must
 * not cause a reset. */
static void
check_outdated_balancer(const struct fixture *fixture,
                        const struct fixture_flow *flow, size_t balancer,
                        const struct flow_decision *decision)
{
    g_assert_cmpuint(fixture->balancers[balancer], <, flow->since);
    if (decision != NULL)
        g_assert_cmpint(decision->verdict, ==, FLOW_DROP);
}

static void
check_flow(struct fixture *fixture, const struct fixture_flow *flow,
           bool retired)
{
    for (size_t i = 0; i < FIXTURE_BALANCERS; i++) {
        struct flow_decision decision;
        size_t agent;
        if (!send_one(fixture, i, flow, PACKET_TCP_ACK, 71, &decision,
                      &agent)) {
            check_outdated_balancer(fixture, flow, i, NULL);
            continue;
        }
        if (decision.verdict != FLOW_DELIVER) {
            check_outdated_balancer(fixture, flow, i, &decision);
            continue;
        }
        g_assert_cmpuint(agent, ==, flow->agent);
        fixture->delivered++;
        fixture->delivered_retired += retired;
    }
}

/* Flows on released addresses are closed, the others checked. */
static void
check_flows(struct fixture *fixture)
{
    for (size_t i = 0; i < fixture->flow_count;) {
        bool retired;
        if (is_reserved(fixture, &fixture->flows[i], &retired)) {
            check_flow(fixture, &fixture->flows[i++], retired);
            continue;
        }
        struct packet key = {
            .src = 0x0a090000 + fixture->flows[i].caller / 50000,
            .dst = FIXTURE_FIRST_IP + fixture->flows[i].address,
            .sport = (uint16_t)(1024 + fixture->flows[i].caller % 50000),
            .dport = ROUTE_FIXTURE_PORT,
            .proto = fixture_is_udp(fixture->flows[i].name) ? PROTO_UDP : 6};
        flow_close(fixture->agents[fixture->flows[i].agent].flows, &key);
        fixture->flows[i] = fixture->flows[--fixture->flow_count];
    }
}

/* A new flow to an address that all processes have as retired is reset. */
static void
check_refusal(struct fixture *fixture)
{
    struct fixture_flow flow = {
        .name = fixture_random(fixture, FIXTURE_NAMES - 1),
        .address = fixture_random(fixture, FIXTURE_ADDRESSES),
        .caller = fixture->callers++};
    struct flow_decision decision;
    size_t agent;
    bool retired;

    if (!is_reserved(fixture, &flow, &retired) || !retired)
        return;
    for (size_t i = 0; i < FIXTURE_BALANCERS; i++)
        if (fixture->balancers[i] != fixture->latest)
            return;
    for (size_t i = 0; i < FIXTURE_AGENTS; i++)
        if (fixture->agents[i].version != fixture->latest)
            return;
    g_assert_true(
        send_one(fixture, 0, &flow, PACKET_TCP_SYN, 0, &decision, &agent));
    const struct service_config_retired *before = service_config_find_retired(
        fixture->texts[fixture->latest], FIXTURE_FIRST_IP + flow.address,
        ROUTE_FIXTURE_PORT, SERVICE_CONFIG_TCP);
    bool expired =
        fixture->now_ms + SERVICE_CONFIG_RETIRE_SKEW_MS >= before->until_ms;
    g_assert_cmpint(decision.verdict, ==, expired ? FLOW_DROP : FLOW_RESET);
    fixture->resets += !expired;
}

TEST(address_changes)
{
    unsigned refused = 0;
    unsigned delivered_retired = 0;
    unsigned resets = 0;
    unsigned forwarded_unaware = 0;

    for (uint32_t seed = 1; seed <= RUNS; seed++) {
        struct fixture fixture;

        g_test_message("seed %u", seed);
        fixture_init(&fixture, seed);
        for (unsigned step = 0; step < FIXTURE_STEPS; step++) {
            fixture.now_ms += fixture_random(&fixture, 12) * FIXTURE_HOUR_MS;
            fixture.now_us += 20 * USEC_PER_SEC;
            fixture_advance_versions(&fixture);
            fixture_publish(&fixture);
            fixture_advance_versions(&fixture);
            for (unsigned i = 0; i < 4; i++)
                open_flow(&fixture);
            check_flows(&fixture);
            check_refusal(&fixture);
        }
        refused += fixture.refused;
        delivered_retired += fixture.delivered_retired;
        resets += fixture.resets;
        forwarded_unaware += fixture.forwarded_unaware;
        fixture_finish(&fixture);
    }
    /* Each case has occurred often enough. */
    g_assert_cmpuint(refused, >, RUNS);
    g_assert_cmpuint(delivered_retired, >, 100 * RUNS);
    g_assert_cmpuint(resets, >, RUNS / 4);
    g_assert_cmpuint(forwarded_unaware, >, RUNS);
    g_test_message(
        "%u configurations refused, %u packets delivered at retired "
        "addresses, %u new flows reset, %u packets forwarded by "
        "agents without the address",
        refused, delivered_retired, resets, forwarded_unaware);
}
