/* Packets that ingress delivers, forwards, resets or drops, with a real socket
 * and flow table; the stack is a fake that counts packets. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agent/program.h"
#include "base/hash.h"
#include "lib/harness.h"
#include "lib/loopback.h"
#include "lib/sample.h"
#include "lib/segment.h"
#include "packet/gue.h"

#define SUITE "/agent/ingress"
#define CALLER 0x0a010001
#define SERVICE_IP 0x0a000001
#define OTHER_IP 0x0a000002
#define PORT 80
#define PACKET_BUF 2200
#define TCP_LEN 40

/**
 * struct fixture - an agent with its ingress and a fabric socket
 * @closed: data address of the member "gone", a closed port
 * @delivered: packets passed to the stack or to datagrams
 * @reported_dead: last member reported as dead
 */
struct fixture {
    struct agent agent;
    struct clock_manual clock;
    int fabric;
    struct addr closed;
    unsigned delivered;
    uint64_t reported_dead;
};

static struct fixture *current_fixture;

int
stack_input(struct stack *stack, const uint8_t *buf, size_t len)
{
    current_fixture->delivered++;
    return 0;
}

void
stack_poll(struct stack *stack)
{
}

bool
frontend_can_open(const struct frontend *frontend, uint32_t ip)
{
    return frontend->limits.connections > 0;
}

bool
datagrams_may_open(const struct agent *agent)
{
    return true;
}

void
datagrams_input(struct agent *agent, const struct packet *packet,
                const uint8_t *buf)
{
    current_fixture->delivered++;
}

void
control_report_dead(struct control *control, uint64_t member,
                    uint64_t incarnation)
{
    current_fixture->reported_dead = member;
}

/* Builds a TCP segment without payload and with valid checksums. */
static void
build_tcp(uint8_t *buf, uint32_t dst, uint16_t sport, uint8_t flags)
{
    const struct packet packet = {.src = CALLER,
                                  .dst = dst,
                                  .sport = sport,
                                  .dport = PORT,
                                  .flags = flags,
                                  .seq = 1000};

    g_assert_cmpuint(segment_tcp(buf, &packet, ""), ==, TCP_LEN);
}

static void
set_view(struct fixture *fixture)
{
    struct agent *agent = &fixture->agent;
    struct view *view = sample_pair("self", "gone", "lots");

    view->members[view->self].data = agent->settings.data;
    view->members[1 - view->self].data = fixture->closed;
    g_assert_cmpint(flow_set_view(agent->flows, view, hash_service("lots"),
                                  true, fixture->clock.now_us),
                    ==, 0);
    blackboard_publish_view(&agent->blackboard, view);
}

static void
serve(struct fixture *fixture, const char *name, uint32_t ip)
{
    struct service_config_entry *service = &fixture->agent.service;

    *service = (struct service_config_entry){.id = hash_service(name),
                                             .ip = ip,
                                             .port = PORT,
                                             .proto = SERVICE_CONFIG_TCP};
    fixture->agent.service_known = true;
}

static void
fixture_init(struct fixture *fixture)
{
    struct agent *agent = &fixture->agent;
    struct sockaddr_in sin;
    socklen_t len = sizeof(sin);
    struct error err;

    current_fixture = fixture;
    clock_manual_init(&fixture->clock, 100 * USEC_PER_SEC);
    agent->clock = &fixture->clock.base;
    agent->self = hash_name("self");
    agent->settings.data = (struct addr){INADDR_LOOPBACK, 0};
    agent->frontend.limits.connections = 1;
    pthread_mutex_init(&agent->flow_lock, NULL);
    blackboard_init(&agent->blackboard);
    counter_table_init(&agent->counters);
    ingress_register(agent);
    agent->base = event_base_new();
    agent->flows = flow_table_new(agent->self, 1000);
    fixture->fabric = loopback_open(SOCK_DGRAM, &agent->settings.fabric);
    fixture->closed = loopback_closed(SOCK_DGRAM);
    g_assert_cmpint(ingress_init(agent, &err), ==, 0);
    getsockname(agent->ingress.fd, (struct sockaddr *)&sin, &len);
    agent->settings.data = addr_from_sockaddr(&sin);
    serve(fixture, "lots", SERVICE_IP);
    set_view(fixture);
}

static void
fixture_finish(struct fixture *fixture)
{
    struct agent *agent = &fixture->agent;

    ingress_finish(agent);
    flow_table_free(agent->flows);
    event_base_free(agent->base);
    counter_table_finish(&agent->counters);
    blackboard_finish(&agent->blackboard);
    close(fixture->fabric);
}

/* Sends @len bytes with a hop list, or without one when @service is NULL. */
static void
send_to_agent(struct fixture *fixture, const char *service, uint8_t flags,
              const uint8_t *inner, size_t len)
{
    uint8_t buf[GUE_HEADER_MAX + PACKET_BUF];
    struct gue gue = {.flags = flags, .count = 1};

    if (service != NULL) {
        gue.service = hash_service(service);
        gue.hops[0].member = fixture->agent.self;
        gue.hops[0].data = fixture->agent.settings.data;
    }
    size_t header = gue_encode(service == NULL ? NULL : &gue, buf);
    memcpy(buf + header, inner, len);
    loopback_send(fixture->fabric, fixture->agent.settings.data, buf,
                  header + len);
    event_base_loop(fixture->agent.base, EVLOOP_NONBLOCK);
}

static uint64_t
drops(const struct fixture *fixture, enum packet_drop drop)
{
    return counter_read(&fixture->agent.counters,
                        fixture->agent.ingress.drops[drop]);
}

/* A packet is delivered only if its service and its address match the current
 * configuration of the agent. */
TEST_F(fixture, other_service_dropped)
{
    uint8_t own[TCP_LEN];
    uint8_t foreign[TCP_LEN];

    build_tcp(own, SERVICE_IP, 5000, PACKET_TCP_SYN);
    build_tcp(foreign, OTHER_IP, 5000, PACKET_TCP_SYN);
    send_to_agent(fixture, "albums", GUE_OPEN, own, TCP_LEN);
    send_to_agent(fixture, "lots", GUE_OPEN, foreign, TCP_LEN);
    send_to_agent(fixture, "albums", GUE_OPEN, foreign, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 0);
    g_assert_cmpuint(drops(fixture, PACKET_NO_SERVICE), ==, 3);
    send_to_agent(fixture, "lots", GUE_OPEN, own, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 1);
    /* The agent now serves another service at the same address and port. */
    serve(fixture, "albums", SERVICE_IP);
    send_to_agent(fixture, "lots", GUE_OPEN, own, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 1);
    fixture->agent.service_known = false;
    send_to_agent(fixture, "albums", GUE_OPEN, own, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 1);
    g_assert_cmpuint(drops(fixture, PACKET_NO_SERVICE), ==, 5);
}

/* Sends a packet with a second hop; whether the agent forwarded it there. */
static bool
is_forwarded(struct fixture *fixture, const char *service,
             const uint8_t *inner)
{
    uint8_t buf[GUE_HEADER_MAX + PACKET_BUF];
    struct gue gue = {.service = hash_service(service), .count = 2};
    struct addr next;
    int fd = loopback_open(SOCK_DGRAM, &next);

    gue.hops[0].member = fixture->agent.self;
    gue.hops[0].data = fixture->agent.settings.data;
    gue.hops[1].member = hash_name("next");
    gue.hops[1].data = next;
    size_t header = gue_encode(&gue, buf);
    memcpy(buf + header, inner, TCP_LEN);
    loopback_send(fixture->fabric, fixture->agent.settings.data, buf,
                  header + TCP_LEN);
    event_base_loop(fixture->agent.base, EVLOOP_NONBLOCK);
    ssize_t len = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
    close(fd);
    if (len <= 0) {
        return false;
    }
    g_assert_cmpint(gue_decode(buf, (size_t)len, &gue), >, 0);
    g_assert_cmpuint(gue.service, ==, hash_service(service));
    g_assert_cmpuint(gue.index, ==, 1);
    g_assert_cmpmem(buf + header, (size_t)len - header, inner, TCP_LEN);
    return true;
}

/* An agent that serves another service or address still forwards a packet to
 * the next hop, as the flow's owner may be there. */
TEST_F(fixture, other_service_forwarded)
{
    uint8_t own[TCP_LEN];
    uint8_t foreign[TCP_LEN];

    build_tcp(own, SERVICE_IP, 5000, PACKET_TCP_ACK);
    build_tcp(foreign, OTHER_IP, 5000, PACKET_TCP_ACK);
    g_assert_true(is_forwarded(fixture, "albums", foreign));
    g_assert_true(is_forwarded(fixture, "albums", own));
    g_assert_true(is_forwarded(fixture, "lots", foreign));
    fixture->agent.service_known = false;
    g_assert_true(is_forwarded(fixture, "lots", own));
    g_assert_cmpuint(fixture->delivered, ==, 0);
    g_assert_cmpuint(
        counter_read(&fixture->agent.counters, fixture->agent.ingress.resets),
        ==, 0);
}

/* At a retired address open flows continue and new ones are reset; after its
 * expiry new ones get no reset. */
TEST_F(fixture, retired_address)
{
    struct addresses *addresses = &fixture->agent.addresses;
    uint8_t open_flow[TCP_LEN];
    uint8_t new_flow[TCP_LEN];

    struct view *alone = view_new(1);
    alone->count = 1;
    sample_agent(&alone->members[0], "self", "lots");
    alone->members[0].data = fixture->agent.settings.data;
    flow_set_view(fixture->agent.flows, alone, hash_service("lots"), true,
                  fixture->clock.now_us);
    free(alone);
    build_tcp(open_flow, SERVICE_IP, 5000, PACKET_TCP_SYN);
    build_tcp(new_flow, SERVICE_IP, 5001, PACKET_TCP_SYN);
    send_to_agent(fixture, "lots", GUE_OPEN, open_flow, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 1);
    serve(fixture, "lots", OTHER_IP);
    addresses->items[0] =
        (struct retired_address){SERVICE_IP, PORT, 6, UINT64_MAX / 2};
    addresses->count = 1;
    send_to_agent(fixture, "lots", 0, open_flow, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 2);
    send_to_agent(fixture, "lots", GUE_OPEN, new_flow, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 2);
    int resets = fixture->agent.ingress.resets;
    g_assert_cmpuint(counter_read(&fixture->agent.counters, resets), ==, 1);
    addresses->items[0].until_ms = 1;
    send_to_agent(fixture, "lots", GUE_OPEN, new_flow, TCP_LEN);
    g_assert_cmpuint(counter_read(&fixture->agent.counters, resets), ==, 1);
    send_to_agent(fixture, "lots", 0, open_flow, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 3);
    g_assert_cmpuint(flow_count(fixture->agent.flows, NULL), ==, 1);
}

/* Malformed packets are dropped and counted by reason. */
TEST_F(fixture, malformed)
{
    uint8_t good[PACKET_BUF] = {0};
    uint8_t bad[TCP_LEN];

    build_tcp(good, SERVICE_IP, 5000, PACKET_TCP_SYN);
    send_to_agent(fixture, NULL, 0, good, TCP_LEN);
    g_assert_cmpuint(drops(fixture, PACKET_BAD_ENCAP), ==, 1);
    send_to_agent(fixture, "lots", GUE_OPEN, good, TCP_LEN - 1);
    g_assert_cmpuint(drops(fixture, PACKET_TRUNCATED), ==, 1);
    send_to_agent(fixture, "lots", GUE_OPEN, good, PACKET_BUF);
    g_assert_cmpuint(drops(fixture, PACKET_TOO_LONG), ==, 1);
    memcpy(bad, good, TCP_LEN);
    bad[25] ^= 1;
    send_to_agent(fixture, "lots", GUE_OPEN, bad, TCP_LEN);
    g_assert_cmpuint(drops(fixture, PACKET_BAD_L4_CHECKSUM), ==, 1);
    g_assert_cmpuint(fixture->delivered, ==, 0);
}

/* A member that refuses a forwarded packet is reported as dead. */
TEST_F(fixture, refused_hop_reported_dead)
{
    uint8_t segment[TCP_LEN];

    build_tcp(segment, SERVICE_IP, 5000, PACKET_TCP_ACK);
    send_to_agent(fixture, "lots", 0, segment, TCP_LEN);
    event_base_loop(fixture->agent.base, EVLOOP_NONBLOCK);
    g_assert_cmpuint(counter_read(&fixture->agent.counters,
                                  fixture->agent.ingress.forwarded),
                     ==, 1);
    g_assert_cmpuint(fixture->reported_dead, ==, hash_name("gone"));
    g_assert_cmpuint(fixture->delivered, ==, 0);
}

/* A flow that exceeds the limits is reset and not stored. */
TEST_F(fixture, over_limit_reset)
{
    uint8_t syn[TCP_LEN];
    uint8_t buf[PACKET_BUF];
    struct packet reset;
    struct gue gue;

    fixture->agent.frontend.limits.connections = 0;
    build_tcp(syn, SERVICE_IP, 5000, PACKET_TCP_SYN);
    send_to_agent(fixture, "lots", GUE_OPEN, syn, TCP_LEN);
    g_assert_cmpuint(fixture->delivered, ==, 0);
    g_assert_cmpuint(flow_count(fixture->agent.flows, NULL), ==, 0);
    ssize_t len = recv(fixture->fabric, buf, sizeof(buf), MSG_DONTWAIT);
    g_assert_cmpint(len, >, 0);
    int header = gue_decode(buf, (size_t)len, &gue);
    g_assert_cmpuint(gue.count, ==, 0);
    g_assert_cmpint(
        packet_parse(buf + header, (size_t)(len - header), 1, &reset), ==,
        PACKET_OK);
    g_assert_cmpuint(reset.dst, ==, CALLER);
    g_assert_cmpuint(reset.flags & PACKET_TCP_RST, !=, 0);
}

/* Packets with a flipped bit don't reach the stack and open no flow. */
TEST_F(fixture, mutations)
{
    g_autoptr(GRand) random = g_rand_new_with_seed(3);
    uint8_t good[TCP_LEN];

    build_tcp(good, SERVICE_IP, 5000, PACKET_TCP_SYN);
    for (int i = 0; i < 20000; i++) {
        uint8_t copy[TCP_LEN];
        memcpy(copy, good, TCP_LEN);
        copy[g_rand_int_range(random, 0, TCP_LEN)] ^=
            (uint8_t)(1 << g_rand_int_range(random, 0, 8));
        send_to_agent(fixture, "lots", GUE_OPEN, copy,
                      (size_t)g_rand_int_range(random, 1, TCP_LEN + 1));
    }
    g_assert_cmpuint(fixture->delivered, ==, 0);
    g_assert_cmpuint(flow_count(fixture->agent.flows, NULL), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    rcu_register_thread();
    int code = harness_run();
    rcu_unregister_thread();
    return code;
}
