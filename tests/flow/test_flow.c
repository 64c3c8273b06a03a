#include <errno.h>
#include <glib.h>
#include <string.h>

#include "flow/flow.h"

#define SERVICE 7
#define SELF 1
#define START_US (100 * USEC_PER_SEC)
#define SETTLED_US (START_US + FLOW_SETTLE_US)
#define SYN PACKET_TCP_SYN
#define ACK PACKET_TCP_ACK
#define RST PACKET_TCP_RST

/* An agent with members 1..count of its service, all alive and ready. */
struct agent {
    struct flow_table *table;
    struct view *view;
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
    size_t i;

    agent->table = flow_table_new(SELF, capacity);
    g_assert_nonnull(agent->table);
    agent->view =
        g_malloc0(sizeof(struct view) + count * sizeof(struct view_member));
    agent->view->count = count;
    for (i = 0; i < count; i++) {
        struct view_member *member = &agent->view->members[i];

        member->id = i + 1;
        member->role = MEMBER_AGENT;
        member->state = MEMBER_READY;
        member->service = SERVICE;
        member->data = (struct addr){0x7f000001, (uint16_t)(2000 + i)};
    }
    agent_set_view(agent, true, START_US);
}

static void
agent_finish(struct agent *agent)
{
    flow_table_free(agent->table);
    g_free(agent->view);
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

static struct packet
udp(uint16_t port)
{
    struct packet packet = tcp(port, 0, 0);

    packet.proto = 17;
    return packet;
}

/* A list of members, ended by 0. */
static struct gue
hops(uint8_t flags, const uint64_t *members)
{
    struct gue gue = {.service = SERVICE, .flags = flags};

    for (; *members != 0; members++) {
        gue.hops[gue.count].member = *members;
        gue.hops[gue.count].data = (struct addr){0x7f000001, 2000};
        gue.count++;
    }
    return gue;
}

#define HOPS(flags, ...) hops(flags, (const uint64_t[]){__VA_ARGS__, 0})

static enum flow_verdict
decide(struct agent *agent, struct packet packet, struct gue gue,
       uint64_t now_us)
{
    return flow_decide(agent->table, &packet, &gue, now_us).verdict;
}

static void
answer(struct agent *agent, uint16_t port, uint32_t isn)
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
    g_assert_cmpint(
        decide(agent, tcp(port, SYN, 0), HOPS(GUE_OPEN, SELF), SETTLED_US), ==,
        FLOW_OPEN);
    answer(agent, port, 500);
    g_assert_cmpint(
        decide(agent, tcp(port, ACK, 501), HOPS(0, SELF), SETTLED_US), ==,
        FLOW_TAKE);
}

/* Another agent answered the same SYN: only its number tells whose it is. */
static void
test_embryo(void)
{
    struct agent agent;
    struct gue list = HOPS(0, SELF, 2);
    size_t embryos;

    agent_init(&agent, 2, 16);
    g_assert_cmpint(
        decide(&agent, tcp(9, SYN, 0), HOPS(GUE_OPEN, SELF, 2), SETTLED_US),
        ==, FLOW_OPEN);
    /* Not answered yet, so nothing can acknowledge it. */
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 1), list, SETTLED_US), ==,
                    FLOW_PASS);
    answer(&agent, 9, 500);
    g_assert_cmpint(
        decide(&agent, tcp(9, SYN, 0), HOPS(GUE_OPEN, SELF, 2), SETTLED_US),
        ==, FLOW_TAKE);
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 901), list, SETTLED_US), ==,
                    FLOW_PASS);
    g_assert_cmpint(decide(&agent, tcp(9, RST | ACK, 901), list, SETTLED_US),
                    ==, FLOW_PASS);
    g_assert_cmpint(decide(&agent, tcp(9, RST | ACK, 501), list, SETTLED_US),
                    ==, FLOW_TAKE);
    g_assert_cmpuint(flow_count(agent.table, &embryos), ==, 1);
    g_assert_cmpuint(embryos, ==, 1);
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 501), list, SETTLED_US), ==,
                    FLOW_TAKE);
    g_assert_cmpuint(flow_count(agent.table, &embryos), ==, 1);
    g_assert_cmpuint(embryos, ==, 0);
    /* Established: any of its packets. */
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 7777), list, SETTLED_US), ==,
                    FLOW_TAKE);
    agent_finish(&agent);
}

/* Found by the property test (seed 28): an answer that is sent again keeps
 * the embryo. */
static void
test_embryo_expiry(void)
{
    struct agent agent;
    uint64_t now_us = SETTLED_US;

    agent_init(&agent, 1, 16);
    decide(&agent, tcp(9, SYN, 0), HOPS(GUE_OPEN, SELF), now_us);
    answer(&agent, 9, 500);
    flow_tick(agent.table, now_us += FLOW_EMBRYO_TTL_US - 1);
    answer(&agent, 9, 500);
    flow_tick(agent.table, now_us += FLOW_EMBRYO_TTL_US - 1);
    g_assert_cmpuint(flow_count(agent.table, NULL), ==, 1);
    flow_tick(agent.table, now_us + 1);
    g_assert_cmpuint(flow_count(agent.table, NULL), ==, 0);
    agent_finish(&agent);
}

static void
test_service(void)
{
    struct agent agent;
    struct gue other = HOPS(GUE_OPEN, SELF);
    struct packet syn = tcp(9, SYN, 0);
    struct packet ack = tcp(8, ACK, 501);
    struct flow_decision decision;

    agent_init(&agent, 2, 16);
    establish(&agent, 8);
    other.service = SERVICE + 1;
    decision = flow_decide(agent.table, &syn, &other, SETTLED_US);
    g_assert_cmpint(decision.verdict, ==, FLOW_DROP);
    g_assert_cmpint(decision.drop, ==, PACKET_SERVICE);
    /* Addresses of a flow that we know, but taken for another service. */
    decision = flow_decide(agent.table, &ack, &other, SETTLED_US);
    g_assert_cmpint(decision.drop, ==, PACKET_SERVICE);
    other = HOPS(GUE_OPEN, SELF, 2);
    other.service = SERVICE + 1;
    g_assert_cmpint(decide(&agent, syn, other, SETTLED_US), ==, FLOW_PASS);
    /* We serve another now; flows of before go on, new ones don't. */
    g_assert_cmpint(
        flow_set_view(agent.table, agent.view, SERVICE + 1, true, SETTLED_US),
        ==, 0);
    g_assert_cmpint(decide(&agent, ack, HOPS(0, SELF), SETTLED_US), ==,
                    FLOW_TAKE);
    g_assert_cmpint(decide(&agent, syn, HOPS(GUE_OPEN, SELF), SETTLED_US), ==,
                    FLOW_DROP);
    /* The same addresses for the new service must not reach the old flow. */
    other = HOPS(GUE_OPEN, SELF);
    other.service = SERVICE + 1;
    g_assert_cmpint(decide(&agent, tcp(8, SYN, 0), other, SETTLED_US), ==,
                    FLOW_DROP);
    /* A bare header names no service. */
    memset(&other, 0, sizeof(other));
    g_assert_cmpint(decide(&agent, syn, other, SETTLED_US), ==, FLOW_DROP);
    agent_finish(&agent);
}

static void
test_reset(void)
{
    struct agent agent;
    struct gue end = HOPS(0, 2, SELF);
    struct gue suspects = HOPS(GUE_SUSPECTS, 2, SELF);

    end.index = suspects.index = 1;
    agent_init(&agent, 2, 16);
    /* A newcomer may not know everyone yet. */
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 1), end, START_US), ==,
                    FLOW_DROP);
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 1), end, SETTLED_US), ==,
                    FLOW_RESET);
    g_assert_cmpint(decide(&agent, tcp(9, RST, 1), end, SETTLED_US), ==,
                    FLOW_DROP);
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 1), suspects, SETTLED_US), ==,
                    FLOW_DROP);
    agent.view->members[1].health = MEMBER_SUSPECT;
    agent_set_view(&agent, true, SETTLED_US);
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 1), end, SETTLED_US), ==,
                    FLOW_DROP);
    /* Proven dead: its callers are told at once. */
    agent.view->members[1].health = MEMBER_DEAD;
    agent_set_view(&agent, true, SETTLED_US);
    g_assert_cmpint(decide(&agent, tcp(9, ACK, 1), HOPS(0, SELF), SETTLED_US),
                    ==, FLOW_RESET);
    agent_finish(&agent);
}

/* Found by the property test (seed 2003): those that answer are asked before
 * a suspect, also when only our own view has them. */
static void
test_suspects_last(void)
{
    struct agent agent;
    struct packet ack = tcp(9, ACK, 1);
    struct gue list = HOPS(0, SELF, 2, 3);
    struct flow_decision decision;
    size_t i;

    agent_init(&agent, 5, 16);
    agent.view->members[1].health = MEMBER_SUSPECT;
    agent_set_view(&agent, true, START_US);
    decision = flow_decide(agent.table, &ack, &list, SETTLED_US);
    g_assert_cmpint(decision.verdict, ==, FLOW_PASS);
    g_assert_cmpuint(decision.gue.hops[1].member, !=, 2);
    list = HOPS(0, 3, 4, SELF, 2);
    list.index = 2;
    decision = flow_decide(agent.table, &ack, &list, SETTLED_US);
    g_assert_cmpuint(decision.gue.count, ==, 5);
    g_assert_cmpuint(decision.gue.hops[3].member, ==, 5);
    g_assert_cmpuint(decision.gue.hops[4].member, ==, 2);
    g_assert_true(decision.gue.flags & GUE_SUSPECTS);
    for (i = 0; i < decision.gue.count; i++) {
        g_assert_cmpuint(decision.gue.hops[i].data.port, !=, 0);
    }
    agent_finish(&agent);
}

/* A list whose hops all pass it on ends, whatever the index and count are. */
static void
test_bounded(void)
{
    struct agent agent;
    struct packet ack = tcp(9, ACK, 1);
    struct gue gue = HOPS(0, 2, 3, 4, 5, 6, SELF);
    struct flow_decision decision;
    unsigned hop;

    agent_init(&agent, 200, 16);
    gue.index = 5;
    for (hop = 0; hop < 100; hop++) {
        decision = flow_decide(agent.table, &ack, &gue, SETTLED_US);
        if (decision.verdict != FLOW_PASS) {
            break;
        }
        g_assert_cmpuint(decision.gue.index, <, decision.gue.count);
        g_assert_cmpuint(decision.gue.count, <=, GUE_HOPS_MAX);
        gue = decision.gue;
    }
    g_assert_cmpuint(hop, <=, GUE_HOPS_MAX * (1 + FLOW_STAGES_MAX));
    gue.index = 200;
    gue.count = 200;
    decide(&agent, ack, gue, SETTLED_US);
    gue.index = 5;
    gue.count = 1;
    decide(&agent, ack, gue, SETTLED_US);
    agent_finish(&agent);
}

static void
test_draining(void)
{
    struct agent agent;
    struct packet syn = tcp(10, SYN, 0);
    struct gue list = HOPS(GUE_OPEN, SELF, 2);
    struct flow_decision decision;

    agent_init(&agent, 3, 16);
    establish(&agent, 9);
    agent.view->members[1].state = MEMBER_DRAINING;
    agent_set_view(&agent, false, SETTLED_US);
    g_assert_cmpint(
        decide(&agent, tcp(9, ACK, 501), HOPS(0, SELF), SETTLED_US), ==,
        FLOW_TAKE);
    /* 2 drains too; 3 isn't on the list but takes new flows. */
    decision = flow_decide(agent.table, &syn, &list, SETTLED_US);
    g_assert_cmpint(decision.verdict, ==, FLOW_PASS);
    g_assert_cmpuint(decision.gue.hops[decision.gue.index].member, ==, 3);
    agent.view->members[2].state = MEMBER_DRAINING;
    agent_set_view(&agent, false, SETTLED_US);
    decision = flow_decide(agent.table, &syn, &list, SETTLED_US);
    g_assert_cmpint(decision.verdict, ==, FLOW_DROP);
    g_assert_cmpint(decision.drop, ==, PACKET_NO_ENDPOINT);
    agent_finish(&agent);
}

/* A newcomer opens no flow until all have heard of it, also if no other can
 * (found by the property test, seed 83). */
static void
test_hold(void)
{
    struct agent agent;
    struct gue list = HOPS(GUE_OPEN, SELF, 2);

    agent_init(&agent, 2, 16);
    /* Cold start of all: no one is older. */
    g_assert_cmpint(decide(&agent, tcp(1, SYN, 0), list, START_US), ==,
                    FLOW_OPEN);
    agent.view->members[0].incarnation = 10 * FLOW_HOLD_US;
    agent_set_view(&agent, true, START_US);
    g_assert_cmpint(decide(&agent, tcp(2, SYN, 0), list, START_US), ==,
                    FLOW_PASS);
    agent.view->members[1].state = MEMBER_DRAINING;
    agent_set_view(&agent, true, START_US);
    g_assert_cmpint(decide(&agent, tcp(2, SYN, 0), list, START_US), ==,
                    FLOW_DROP);
    g_assert_cmpint(
        decide(&agent, tcp(2, SYN, 0), list, START_US + FLOW_HOLD_US), ==,
        FLOW_OPEN);
    agent_finish(&agent);
}

static void
test_capacity(void)
{
    struct agent agent;
    uint16_t port;
    size_t embryos;

    agent_init(&agent, 1, 16);
    for (port = 1; port <= 12; port++) {
        establish(&agent, port);
    }
    /* A flood displaces only other openings. */
    for (port = 1000; port < 2000; port++) {
        g_assert_cmpint(decide(&agent, tcp(port, SYN, 0), HOPS(GUE_OPEN, SELF),
                               SETTLED_US),
                        ==, FLOW_OPEN);
    }
    g_assert_cmpuint(flow_count(agent.table, &embryos), ==, 16);
    g_assert_cmpuint(embryos, ==, 4);
    for (port = 13; port <= 16; port++) {
        establish(&agent, port);
    }
    g_assert_cmpint(
        decide(&agent, tcp(50, SYN, 0), HOPS(GUE_OPEN, SELF), SETTLED_US), ==,
        FLOW_DROP);
    for (port = 1; port <= 16; port++) {
        struct packet key = tcp(port, 0, 0);

        g_assert_cmpint(
            decide(&agent, tcp(port, ACK, 1), HOPS(0, SELF), SETTLED_US), ==,
            FLOW_TAKE);
        flow_close(agent.table, &key);
    }
    g_assert_cmpuint(flow_count(agent.table, NULL), ==, 0);
    agent_finish(&agent);
}

/* A datagram looks for its owner first, then the first on the list opens. */
static void
test_datagram(void)
{
    struct agent agent;
    struct packet packet = udp(9);
    struct gue list = HOPS(GUE_OPEN, SELF, 2);
    struct gue last = HOPS(GUE_OPEN, 2, SELF);
    struct flow_decision decision;

    agent_init(&agent, 2, 16);
    g_assert_cmpint(decide(&agent, packet, list, SETTLED_US), ==, FLOW_PASS);
    last.index = 1;
    decision = flow_decide(agent.table, &packet, &last, SETTLED_US);
    g_assert_cmpint(decision.verdict, ==, FLOW_PASS);
    g_assert_cmpuint(decision.gue.index, ==, 0);
    g_assert_true(decision.gue.flags & FLOW_GUE_OPEN_NOW);
    list.flags |= FLOW_GUE_OPEN_NOW;
    g_assert_cmpint(decide(&agent, packet, list, SETTLED_US), ==, FLOW_OPEN);
    g_assert_cmpint(decide(&agent, packet, list, SETTLED_US), ==, FLOW_TAKE);
    flow_tick(agent.table, SETTLED_US + FLOW_DATAGRAM_TTL_US);
    g_assert_cmpuint(flow_count(agent.table, NULL), ==, 0);
    agent_set_view(&agent, false, SETTLED_US);
    g_assert_cmpint(decide(&agent, packet, list, SETTLED_US), ==, FLOW_PASS);
    list.index = 1;
    g_assert_cmpint(decide(&agent, packet, list, SETTLED_US), ==, FLOW_DROP);
    agent_finish(&agent);
}

/* A port whose flow ranks SELF past FLOW_REACH among @members, or within. */
static uint16_t
find_port(size_t members, bool far)
{
    uint16_t port;

    for (port = 1; port < 5000; port++) {
        struct packet packet = tcp(port, 0, 0);
        uint32_t bucket = rank_bucket(packet_flow_hash(&packet));
        size_t above = 0;
        uint64_t id;

        for (id = 2; id <= members; id++) {
            above += rank_score(id, bucket) > rank_score(SELF, bucket);
        }
        if ((above >= FLOW_REACH) == far) {
            return port;
        }
    }
    g_assert_not_reached();
}

static void
test_pins_due(void)
{
    struct agent agent;
    struct flow_pin pins[8];
    uint64_t to[8];
    uint64_t now_us = SETTLED_US;
    struct packet far;

    agent_init(&agent, 9, 16);
    establish(&agent, find_port(9, false));
    g_assert_cmpuint(flow_pins_due(agent.table, now_us, pins, to, 8), ==, 0);
    far = tcp(find_port(9, true), 0, 0);
    establish(&agent, far.sport);
    /* Two, then the last one. */
    g_assert_cmpuint(flow_pins_due(agent.table, now_us, pins, to, 2), ==, 2);
    g_assert_cmpuint(flow_pins_due(agent.table, now_us, pins + 2, to + 2, 2),
                     ==, 1);
    g_assert_cmpuint(pins[2].owner, ==, SELF);
    g_assert_cmpuint(pins[2].bucket, ==, rank_bucket(packet_flow_hash(&far)));
    g_assert_cmpuint(to[0], !=, to[1]);
    g_assert_cmpuint(flow_pins_due(agent.table, now_us, pins, to, 8), ==, 0);
    /* Again after a while, and at once after a change of the view. */
    now_us += FLOW_PIN_REFRESH_US;
    g_assert_cmpuint(flow_pins_due(agent.table, now_us, pins, to, 8), ==, 3);
    agent.view->members[to[0] - 1].health = MEMBER_DEAD;
    agent_set_view(&agent, true, now_us);
    g_assert_cmpuint(flow_pins_due(agent.table, now_us, pins, to + 3, 5), ==,
                     3);
    g_assert_cmpuint(to[3], !=, to[0]);
    flow_close(agent.table, &far);
    now_us += FLOW_PIN_REFRESH_US;
    g_assert_cmpuint(flow_pins_due(agent.table, now_us, pins, to, 8), ==, 0);
    agent_finish(&agent);
}

/* A registered owner comes next, ahead of the balancer's list. */
static void
test_pins_used(void)
{
    struct agent agent;
    struct packet ack = tcp(9, ACK, 1);
    uint32_t bucket = rank_bucket(packet_flow_hash(&ack));
    struct flow_pin pin = {.bucket = bucket, .owner = 40};
    struct gue list = HOPS(0, SELF, 2, 3, 4, 5, 6);
    struct flow_decision decision;

    agent_init(&agent, 60, 16);
    g_assert_cmpint(flow_pin_add(agent.table, &pin, SETTLED_US), ==, 0);
    decision = flow_decide(agent.table, &ack, &list, SETTLED_US);
    g_assert_cmpint(decision.verdict, ==, FLOW_PASS);
    g_assert_cmpuint(decision.gue.hops[1].member, ==, 40);
    decision =
        flow_decide(agent.table, &ack, &list, SETTLED_US + FLOW_PIN_TTL_US);
    g_assert_cmpuint(decision.gue.hops[1].member, !=, 40);
    agent.view->members[39].health = MEMBER_DEAD;
    agent_set_view(&agent, true, SETTLED_US);
    g_assert_cmpint(flow_pin_add(agent.table, &pin, SETTLED_US), ==, -ESTALE);
    decision = flow_decide(agent.table, &ack, &list, SETTLED_US);
    g_assert_cmpuint(decision.gue.hops[1].member, !=, 40);
    agent_finish(&agent);
}

static void
test_pins_bounded(void)
{
    struct agent agent;
    struct flow_pin pin = {.bucket = RANK_BUCKETS, .owner = 2};
    size_t added = 0;
    uint32_t i;

    agent_init(&agent, 2, 16);
    g_assert_cmpint(flow_pin_add(agent.table, &pin, START_US), ==, -EINVAL);
    pin = (struct flow_pin){.bucket = 0, .owner = SELF};
    g_assert_cmpint(flow_pin_add(agent.table, &pin, START_US), ==, -EINVAL);
    for (i = 0; i < 30 * RANK_BUCKETS; i++) {
        pin = (struct flow_pin){.bucket = i % RANK_BUCKETS, .owner = 100 + i};
        added += flow_pin_add(agent.table, &pin, START_US) == 0;
    }
    g_assert_cmpuint(added, ==, 16384);
    flow_tick(agent.table, START_US + FLOW_PIN_TTL_US);
    g_assert_cmpint(flow_pin_add(agent.table, &pin, START_US), ==, 0);
    agent_finish(&agent);
}

/* What agents tell each other by flags gets through the encapsulation. */
static void
test_wire(void)
{
    struct gue gue = HOPS(GUE_OPEN, SELF, 2);
    uint8_t buf[GUE_HEADER_MAX];
    struct gue out;

    gue.flags |= FLOW_GUE_OPEN_NOW | FLOW_GUE_LAST | FLOW_GUE_STAGE_MASK;
    g_assert_cmpint(gue_decode(buf, gue_encode(&gue, buf), &out), >, 0);
    g_assert_cmphex(out.flags, ==, gue.flags);
    g_assert_cmpint(FLOW_GUE_STAGE_MASK / FLOW_GUE_STAGE, ==, FLOW_STAGES_MAX);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/flow/embryo", test_embryo);
    g_test_add_func("/flow/embryo-expiry", test_embryo_expiry);
    g_test_add_func("/flow/service", test_service);
    g_test_add_func("/flow/reset", test_reset);
    g_test_add_func("/flow/suspects-last", test_suspects_last);
    g_test_add_func("/flow/bounded", test_bounded);
    g_test_add_func("/flow/draining", test_draining);
    g_test_add_func("/flow/hold", test_hold);
    g_test_add_func("/flow/capacity", test_capacity);
    g_test_add_func("/flow/datagram", test_datagram);
    g_test_add_func("/flow/pins-due", test_pins_due);
    g_test_add_func("/flow/pins-used", test_pins_used);
    g_test_add_func("/flow/pins-bounded", test_pins_bounded);
    g_test_add_func("/flow/wire", test_wire);
    return g_test_run();
}
