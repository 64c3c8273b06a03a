/* Packets must be delivered only to their flow's owner, and callers reset only
 * when no agent can own the flow. */
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "flow/flow.h"
#include "lib/harness.h"

#define SUITE "/flow"
#define SERVICE 7
#define SELF 1
#define START_US (100 * USEC_PER_SEC)
#define JOIN_GRACE_END_US (START_US + FLOW_JOIN_GRACE_US)
#define SYN PACKET_TCP_SYN
#define ACK PACKET_TCP_ACK
#define RST PACKET_TCP_RST

/* An agent whose view has members 1..count of its service, alive and
 * ready. */
struct agent {
    struct flow_table *table;
    struct view *view;
    uint64_t now_us;
};

static void
agent_set_view(struct agent *agent, bool accept, uint64_t now_us)
{
    g_assert_cmpint(
        flow_set_view(agent->table, agent->view, SERVICE, accept, now_us), ==,
        0);
}

static void
agent_init(struct agent *agent, size_t count, size_t capacity)
{
    agent->now_us = JOIN_GRACE_END_US;
    agent->table = flow_table_new(SELF, capacity);
    g_assert_nonnull(agent->table);
    agent->view = view_new(count);
    agent->view->count = count;
    for (size_t i = 0; i < count; i++) {
        agent->view->members[i] = (struct view_member){
            .id = i + 1,
            .role = MEMBER_AGENT,
            .state = MEMBER_READY,
            .service = SERVICE,
            .data = {0x7f000001, (uint16_t)(2000 + i)},
        };
    }
    agent_set_view(agent, true, START_US);
}

static void
agent_finish(struct agent *agent)
{
    flow_table_free(agent->table);
    free(agent->view);
}

static void
set_health(struct agent *agent, size_t index, enum member_health health)
{
    agent->view->members[index].health = health;
    agent_set_view(agent, true, agent->now_us);
}

static void
drain(struct agent *agent, size_t index, bool accept)
{
    agent->view->members[index].state = MEMBER_DRAINING;
    agent_set_view(agent, accept, agent->now_us);
}

static struct packet
tcp(uint16_t port, uint8_t flags, uint32_t ack)
{
    return (struct packet){.src = 0x0a090001,
                           .dst = 0x0a000001,
                           .sport = port,
                           .dport = 80,
                           .proto = 6,
                           .flags = flags,
                           .seq = flags == SYN ? 100 : 101,
                           .ack = ack};
}

/* A hop list of @members, terminated by 0, at hop @index. */
static struct gue
hops(uint8_t flags, uint8_t index, const uint64_t *members)
{
    struct gue gue = {.service = SERVICE, .flags = flags, .index = index};

    for (; *members != 0; members++) {
        gue.hops[gue.count].member = *members;
        gue.hops[gue.count].data = (struct addr){0x7f000001, 2000};
        gue.count++;
    }
    return gue;
}

#define HOPS(flags, ...) HOPS_AT(flags, 0, __VA_ARGS__)
#define HOPS_AT(flags, index, ...)                                            \
    hops(flags, index, (const uint64_t[]){__VA_ARGS__, 0})

static struct gue
for_service(uint32_t service, struct gue gue)
{
    gue.service = service;
    return gue;
}

static struct flow_decision
decide(struct agent *agent, struct packet packet, struct gue gue)
{
    return flow_decide(agent->table, &packet, &gue, agent->now_us);
}

#define EXPECT(expected, ...)                                                 \
    g_assert_cmpint(decide(agent, __VA_ARGS__).verdict, ==, expected)

#define EXPECT_DROP(reason, ...)                                              \
    do {                                                                      \
        struct flow_decision decision_ = decide(agent, __VA_ARGS__);          \
        g_assert_cmpint(decision_.verdict, ==, FLOW_DROP);                    \
        g_assert_cmpint(decision_.drop, ==, reason);                          \
    } while (0)

#define EXPECT_FLOWS(flows, opening)                                          \
    do {                                                                      \
        size_t half_open_;                                                    \
        g_assert_cmpuint(flow_count(agent->table, &half_open_), ==, flows);   \
        g_assert_cmpuint(half_open_, ==, opening);                            \
    } while (0)

static void
send_syn_ack(struct agent *agent, uint16_t port, uint32_t isn)
{
    struct packet out = {.src = 0x0a000001,
                         .dst = 0x0a090001,
                         .sport = 80,
                         .dport = port,
                         .proto = 6,
                         .flags = SYN | ACK,
                         .seq = isn};

    flow_sent_syn_ack(agent->table, &out);
}

static void
establish(struct agent *agent, uint16_t port)
{
    EXPECT(FLOW_OPEN, tcp(port, SYN, 0), HOPS(GUE_OPEN, SELF));
    send_syn_ack(agent, port, 500);
    EXPECT(FLOW_DELIVER, tcp(port, ACK, 501), HOPS(0, SELF));
}

/* A packet of another agent's handshake for the same SYN is not delivered. */
TEST_F(agent, half_open, 2, 16)
{
    struct gue open = HOPS(GUE_OPEN, SELF, 2);
    struct gue list = HOPS(0, SELF, 2);

    EXPECT(FLOW_OPEN, tcp(9, SYN, 0), open);
    /* No SYN-ACK sent yet, so no packet can acknowledge it. */
    EXPECT(FLOW_FORWARD, tcp(9, ACK, 1), list);
    send_syn_ack(agent, 9, 500);
    EXPECT(FLOW_DELIVER, tcp(9, SYN, 0), open);
    EXPECT(FLOW_FORWARD, tcp(9, ACK, 901), list);
    EXPECT(FLOW_FORWARD, tcp(9, RST | ACK, 901), list);
    EXPECT(FLOW_DELIVER, tcp(9, RST | ACK, 501), list);
    EXPECT_FLOWS(1, 1);
    EXPECT(FLOW_DELIVER, tcp(9, ACK, 501), list);
    EXPECT_FLOWS(1, 0);
    /* An established flow accepts all of its packets. */
    EXPECT(FLOW_DELIVER, tcp(9, ACK, 7777), list);
}

/* A retransmitted SYN-ACK must extend the life of a half-open flow (property
 * test, seed 28). */
TEST_F(agent, half_open_expiry, 1, 16)
{
    uint64_t now_us = JOIN_GRACE_END_US;

    EXPECT(FLOW_OPEN, tcp(9, SYN, 0), HOPS(GUE_OPEN, SELF));
    send_syn_ack(agent, 9, 500);
    flow_tick(agent->table, now_us += FLOW_HALF_OPEN_TTL_US - 1);
    send_syn_ack(agent, 9, 500);
    flow_tick(agent->table, now_us += FLOW_HALF_OPEN_TTL_US - 1);
    EXPECT_FLOWS(1, 1);
    flow_tick(agent->table, now_us + 1);
    EXPECT_FLOWS(0, 0);
}

TEST_F(agent, change_of_service, 2, 16)
{
    struct gue list = HOPS(GUE_OPEN, SELF);
    struct gue other = for_service(SERVICE + 1, list);
    struct packet syn = tcp(9, SYN, 0);
    struct packet ack = tcp(8, ACK, 501);

    establish(agent, 8);
    EXPECT_DROP(PACKET_NO_SERVICE, syn, other);
    /* Addresses of an existing flow, but routed for another service. */
    EXPECT_DROP(PACKET_NO_SERVICE, ack, other);
    EXPECT(FLOW_FORWARD, syn,
           for_service(SERVICE + 1, HOPS(GUE_OPEN, SELF, 2)));
    /* After a change of service, its old flows continue and no new ones
     * open. */
    g_assert_cmpint(flow_set_view(agent->table, agent->view, SERVICE + 1, true,
                                  JOIN_GRACE_END_US),
                    ==, 0);
    EXPECT(FLOW_DELIVER, ack, HOPS(0, SELF));
    EXPECT(FLOW_DROP, syn, list);
    /* The same addresses for the new service must not reach the old flow. */
    EXPECT(FLOW_DROP, tcp(8, SYN, 0), other);
    /* A header without a service. */
    EXPECT(FLOW_DROP, syn, (struct gue){0});
}

TEST_F(agent, reset_after_last_hop, 2, 16)
{
    struct gue end = HOPS_AT(0, 1, 2, SELF);
    struct packet ack = tcp(9, ACK, 1);

    /* The view of a newly started agent may lack members. */
    agent->now_us = START_US;
    EXPECT(FLOW_DROP, ack, end);
    agent->now_us = JOIN_GRACE_END_US;
    EXPECT(FLOW_RESET, ack, end);
    EXPECT(FLOW_DROP, tcp(9, RST, 1), end);
    EXPECT(FLOW_DROP, ack, HOPS_AT(GUE_SUSPECTS, 1, 2, SELF));
    set_health(agent, 1, MEMBER_SUSPECT);
    EXPECT(FLOW_DROP, ack, end);
    /* Callers of a dead agent are reset at once. */
    set_health(agent, 1, MEMBER_DEAD);
    EXPECT(FLOW_RESET, ack, HOPS(0, SELF));
}

/* Live agents must come before suspected ones on the list, also when only the
 * own view has them (property test, seed 2003). */
TEST_F(agent, suspects_last, 5, 16)
{
    struct packet ack = tcp(9, ACK, 1);
    struct flow_decision decision;

    agent->view->members[1].health = MEMBER_SUSPECT;
    agent_set_view(agent, true, START_US);
    decision = decide(agent, ack, HOPS(0, SELF, 2, 3));
    g_assert_cmpint(decision.verdict, ==, FLOW_FORWARD);
    g_assert_cmpuint(decision.gue.hops[1].member, !=, 2);
    decision = decide(agent, ack, HOPS_AT(0, 2, 3, 4, SELF, 2));
    g_assert_cmpuint(decision.gue.count, ==, 5);
    g_assert_cmpuint(decision.gue.hops[3].member, ==, 5);
    g_assert_cmpuint(decision.gue.hops[4].member, ==, 2);
    g_assert_true(decision.gue.flags & GUE_SUSPECTS);
    for (size_t i = 0; i < decision.gue.count; i++) {
        g_assert_cmpuint(decision.gue.hops[i].data.port, !=, 0);
    }
}

/* Forwarding ends for any index and count. */
TEST_F(agent, forwarding_ends, 200, 16)
{
    struct packet ack = tcp(9, ACK, 1);
    struct gue gue = HOPS_AT(0, 5, 2, 3, 4, 5, 6, SELF);
    unsigned hop;

    for (hop = 0; hop < 100; hop++) {
        struct flow_decision decision = decide(agent, ack, gue);

        if (decision.verdict != FLOW_FORWARD) {
            break;
        }
        g_assert_cmpuint(decision.gue.index, <, decision.gue.count);
        g_assert_cmpuint(decision.gue.count, <=, GUE_HOPS_MAX);
        gue = decision.gue;
    }
    g_assert_cmpuint(hop, <=, GUE_HOPS_MAX * (1 + FLOW_CONTINUATIONS_MAX));
    gue.index = 200;
    gue.count = 200;
    decide(agent, ack, gue);
    gue.index = 5;
    gue.count = 1;
    decide(agent, ack, gue);
}

TEST_F(agent, draining, 3, 16)
{
    struct packet syn = tcp(10, SYN, 0);
    struct gue list = HOPS(GUE_OPEN, SELF, 2);
    struct flow_decision decision;

    establish(agent, 9);
    drain(agent, 1, false);
    EXPECT(FLOW_DELIVER, tcp(9, ACK, 501), HOPS(0, SELF));
    /* 2 drains as well; 3 is not on the list but accepts new flows. */
    decision = decide(agent, syn, list);
    g_assert_cmpint(decision.verdict, ==, FLOW_FORWARD);
    g_assert_cmpuint(decision.gue.hops[decision.gue.index].member, ==, 3);
    drain(agent, 2, false);
    EXPECT_DROP(PACKET_NO_ENDPOINT, syn, list);
}

/* A started agent must open no flow during FLOW_START_DELAY_US, even if no
 * other agent can (property test, seed 83). */
TEST_F(agent, start_delay, 2, 16)
{
    struct gue list = HOPS(GUE_OPEN, SELF, 2);
    struct packet syn = tcp(2, SYN, 0);

    /* No agent is of an earlier incarnation. */
    agent->now_us = START_US;
    EXPECT(FLOW_OPEN, tcp(1, SYN, 0), list);
    agent->view->members[0].incarnation = 10 * FLOW_START_DELAY_US;
    agent_set_view(agent, true, START_US);
    EXPECT(FLOW_FORWARD, syn, list);
    drain(agent, 1, true);
    EXPECT(FLOW_DROP, syn, list);
    agent->now_us = START_US + FLOW_START_DELAY_US;
    EXPECT(FLOW_OPEN, syn, list);
}

TEST_F(agent, capacity, 1, 16)
{
    for (uint16_t port = 1; port <= 12; port++) {
        establish(agent, port);
    }
    /* A SYN flood evicts only half-open flows. */
    for (uint16_t port = 1000; port < 2000; port++) {
        EXPECT(FLOW_OPEN, tcp(port, SYN, 0), HOPS(GUE_OPEN, SELF));
    }
    EXPECT_FLOWS(16, 4);
    for (uint16_t port = 13; port <= 16; port++) {
        establish(agent, port);
    }
    EXPECT(FLOW_DROP, tcp(50, SYN, 0), HOPS(GUE_OPEN, SELF));
    for (uint16_t port = 1; port <= 16; port++) {
        struct packet key = tcp(port, 0, 0);

        EXPECT(FLOW_DELIVER, tcp(port, ACK, 1), HOPS(0, SELF));
        flow_close(agent->table, &key);
    }
    EXPECT_FLOWS(0, 0);
}

/* A datagram visits the whole list before the first agent on it opens a flow.
 */
TEST_F(agent, datagram, 2, 16)
{
    struct packet packet = tcp(9, 0, 0);
    struct gue list = HOPS(GUE_OPEN, SELF, 2);
    struct flow_decision decision;

    packet.proto = 17;
    EXPECT(FLOW_FORWARD, packet, list);
    decision = decide(agent, packet, HOPS_AT(GUE_OPEN, 1, 2, SELF));
    g_assert_cmpint(decision.verdict, ==, FLOW_FORWARD);
    g_assert_cmpuint(decision.gue.index, ==, 0);
    g_assert_true(decision.gue.flags & FLOW_GUE_OPEN_NOW);
    list.flags |= FLOW_GUE_OPEN_NOW;
    EXPECT(FLOW_OPEN, packet, list);
    EXPECT(FLOW_DELIVER, packet, list);
    flow_tick(agent->table, JOIN_GRACE_END_US + FLOW_DATAGRAM_TTL_US);
    EXPECT_FLOWS(0, 0);
    agent_set_view(agent, false, JOIN_GRACE_END_US);
    EXPECT(FLOW_FORWARD, packet, list);
    list.index = 1;
    EXPECT(FLOW_DROP, packet, list);
}

/* A port whose flow ranks SELF below the first FLOW_CANDIDATES of @members if
 * @far, else among them. */
static uint16_t
find_port(size_t members, bool far)
{
    for (uint16_t port = 1; port < 5000; port++) {
        struct packet packet = tcp(port, 0, 0);
        uint32_t bucket = rank_bucket(packet_flow_hash(&packet));
        size_t above = 0;

        for (uint64_t id = 2; id <= members; id++) {
            above += rank_score(id, bucket) > rank_score(SELF, bucket);
        }
        if ((above >= FLOW_CANDIDATES) == far) {
            return port;
        }
    }
    g_assert_not_reached();
}

static size_t
pins_due(struct agent *agent, struct flow_pin *pins, uint64_t *to, size_t max)
{
    return flow_pins_due(agent->table, agent->now_us, pins, to, max);
}

TEST_F(agent, pins_due, 9, 16)
{
    struct packet far = tcp(find_port(9, true), 0, 0);
    struct flow_pin pins[8];
    uint64_t to[8];

    establish(agent, find_port(9, false));
    g_assert_cmpuint(pins_due(agent, pins, to, 8), ==, 0);
    establish(agent, far.sport);
    /* At most two, then the last one. */
    g_assert_cmpuint(pins_due(agent, pins, to, 2), ==, 2);
    g_assert_cmpuint(pins_due(agent, pins + 2, to + 2, 2), ==, 1);
    g_assert_cmpuint(pins[2].owner, ==, SELF);
    g_assert_cmpuint(pins[2].bucket, ==, rank_bucket(packet_flow_hash(&far)));
    g_assert_cmpuint(to[0], !=, to[1]);
    g_assert_cmpuint(pins_due(agent, pins, to, 8), ==, 0);
    /* Due again after the refresh interval, and at once after a change of the
     * view. */
    agent->now_us += FLOW_PIN_REFRESH_US;
    g_assert_cmpuint(pins_due(agent, pins, to, 8), ==, 3);
    set_health(agent, to[0] - 1, MEMBER_DEAD);
    g_assert_cmpuint(pins_due(agent, pins, to + 3, 5), ==, 3);
    g_assert_cmpuint(to[3], !=, to[0]);
    flow_close(agent->table, &far);
    agent->now_us += FLOW_PIN_REFRESH_US;
    g_assert_cmpuint(pins_due(agent, pins, to, 8), ==, 0);
}

/* A registered owner is the next hop, before those of the balancer. */
TEST_F(agent, pins_used, 60, 16)
{
    struct packet ack = tcp(9, ACK, 1);
    struct flow_pin pin = {.bucket = rank_bucket(packet_flow_hash(&ack)),
                           .owner = 40};
    struct gue list = HOPS(0, SELF, 2, 3, 4, 5, 6);
    struct flow_decision decision;

    g_assert_cmpint(flow_pin_add(agent->table, &pin, JOIN_GRACE_END_US), ==,
                    0);
    decision = decide(agent, ack, list);
    g_assert_cmpint(decision.verdict, ==, FLOW_FORWARD);
    g_assert_cmpuint(decision.gue.hops[1].member, ==, 40);
    agent->now_us = JOIN_GRACE_END_US + FLOW_PIN_TTL_US;
    decision = decide(agent, ack, list);
    g_assert_cmpuint(decision.gue.hops[1].member, !=, 40);
    agent->now_us = JOIN_GRACE_END_US;
    set_health(agent, 39, MEMBER_DEAD);
    g_assert_cmpint(flow_pin_add(agent->table, &pin, JOIN_GRACE_END_US), ==,
                    -ESTALE);
    decision = decide(agent, ack, list);
    g_assert_cmpuint(decision.gue.hops[1].member, !=, 40);
}

TEST_F(agent, pins_bounded, 2, 16)
{
    struct flow_pin pin = {.bucket = RANK_BUCKETS, .owner = 2};
    size_t added = 0;

    g_assert_cmpint(flow_pin_add(agent->table, &pin, START_US), ==, -EINVAL);
    pin = (struct flow_pin){.bucket = 0, .owner = SELF};
    g_assert_cmpint(flow_pin_add(agent->table, &pin, START_US), ==, -EINVAL);
    for (uint32_t i = 0; i < 30 * RANK_BUCKETS; i++) {
        pin = (struct flow_pin){.bucket = i % RANK_BUCKETS, .owner = 100 + i};
        added += flow_pin_add(agent->table, &pin, START_US) == 0;
    }
    g_assert_cmpuint(added, ==, 16384);
    flow_tick(agent->table, START_US + FLOW_PIN_TTL_US);
    g_assert_cmpint(flow_pin_add(agent->table, &pin, START_US), ==, 0);
}

/* The flags between agents survive encoding. */
TEST(flags_survive_encoding)
{
    struct gue gue = HOPS(GUE_OPEN, SELF, 2);
    uint8_t buf[GUE_HEADER_MAX];
    struct gue out;

    gue.flags |= FLOW_GUE_OPEN_NOW | FLOW_GUE_SUSPECTS_ONLY |
                 FLOW_GUE_CONTINUATION_MASK;
    g_assert_cmpint(gue_decode(buf, gue_encode(&gue, buf), &out), >, 0);
    g_assert_cmphex(out.flags, ==, gue.flags);
    g_assert_cmpint(FLOW_GUE_CONTINUATION_MASK / FLOW_GUE_CONTINUATION, ==,
                    FLOW_CONTINUATIONS_MAX);
}
