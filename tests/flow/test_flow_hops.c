/* Packets must reach their owner within one hop list when agents join. */
#include <glib.h>
#include <stdlib.h>
#include <malloc.h>
#include <string.h>

#include "flow/flow.h"
#include "lib/harness.h"

#define SUITE "/flow/hops"
#define MEMBERS_INITIAL 7
#define MEMBERS_MAX 28
#define FLOWS 2000
#define SERVICE 7
#define START_US (1000 * USEC_PER_SEC)

/* Agents with the same view. */
struct cluster {
    struct flow_table *tables[MEMBERS_MAX];
    struct view *view;
    struct rank rank;
};

static struct packet
flow_packet(uint32_t flow, uint8_t flags, uint32_t ack)
{
    return (struct packet){.src = 0x0a090000 + flow,
                           .dst = 0x0a000001,
                           .sport = 40000,
                           .dport = 80,
                           .proto = 6,
                           .flags = flags,
                           .seq = 1,
                           .ack = ack};
}

static void
cluster_join(struct cluster *cluster, uint64_t now_us)
{
    size_t count = cluster->view->count++;
    struct view_member *member = &cluster->view->members[count];
    uint64_t ids[MEMBERS_MAX];

    member->id = count + 1;
    member->role = MEMBER_AGENT;
    member->state = MEMBER_READY;
    member->service = SERVICE;
    member->data = (struct addr){0x7f000001, (uint16_t)(2000 + count)};
    cluster->tables[count] = flow_table_new(member->id, 4 * FLOWS);
    for (size_t i = 0; i <= count; i++) {
        ids[i] = i + 1;
        g_assert_cmpint(flow_set_view(cluster->tables[i], cluster->view,
                                      SERVICE, true, now_us),
                        ==, 0);
    }
    if (cluster->rank.table != NULL) {
        rank_finish(&cluster->rank);
    }
    g_assert_cmpint(rank_init(&cluster->rank, ids, count + 1, NULL), ==, 0);
}

static void
cluster_exchange_pins(struct cluster *cluster, uint64_t now_us)
{
    struct flow_pin pins[64];
    uint64_t to[64];
    size_t count;

    for (size_t i = 0; i < cluster->view->count; i++) {
        while ((count = flow_pins_due(cluster->tables[i], now_us, pins, to,
                                      G_N_ELEMENTS(pins))) > 0) {
            for (size_t k = 0; k < count; k++) {
                flow_pin_add(cluster->tables[to[k] - 1], &pins[k], now_us);
            }
        }
    }
}

/* Sends a packet along its rank row; returns how often it was forwarded. */
static unsigned
cluster_send(struct cluster *cluster, const struct packet *packet,
             enum flow_verdict expected, uint64_t now_us)
{
    const uint16_t *row = rank_row(&cluster->rank, packet_flow_hash(packet));
    struct gue gue = {.service = SERVICE,
                      .flags = packet->flags == PACKET_TCP_SYN ? GUE_OPEN : 0};
    struct flow_decision decision;
    unsigned hops;

    for (; gue.count < RANK_DEPTH && row[gue.count] != RANK_NONE;
         gue.count++) {
        uint64_t id = cluster->rank.members[row[gue.count]];

        gue.hops[gue.count].member = id;
        gue.hops[gue.count].data = cluster->view->members[id - 1].data;
    }
    for (hops = 0; hops < 30; hops++) {
        uint64_t id = gue.hops[gue.index].member;

        decision = flow_decide(cluster->tables[id - 1], packet, &gue, now_us);
        if (decision.verdict != FLOW_FORWARD) {
            break;
        }
        gue = decision.gue;
    }
    g_assert_cmpint(decision.verdict, ==, expected);
    return hops;
}

static void
cluster_open_all(struct cluster *cluster)
{
    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        struct packet syn = flow_packet(flow, PACKET_TCP_SYN, 0);
        struct packet ack = flow_packet(flow, PACKET_TCP_ACK, 501);
        struct packet out = {.src = syn.dst,
                             .dst = syn.src,
                             .sport = syn.dport,
                             .dport = syn.sport,
                             .proto = 6,
                             .seq = 500};

        cluster_send(cluster, &syn, FLOW_OPEN, START_US);
        for (size_t i = 0; i < cluster->view->count; i++) {
            flow_sent_syn_ack(cluster->tables[i], &out);
        }
        cluster_send(cluster, &ack, FLOW_DELIVER, START_US);
    }
}

static void
print_hops(struct cluster *cluster, unsigned joined, uint64_t now_us)
{
    size_t hops[5] = {0};
    unsigned forwards;

    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        struct packet packet = flow_packet(flow, PACKET_TCP_ACK, 501);

        forwards = cluster_send(cluster, &packet, FLOW_DELIVER, now_us);
        /* Pins put a registered owner within the first list. */
        g_assert_cmpuint(forwards, <, GUE_HOPS_MAX);
        hops[MIN(forwards, 4)]++;
    }
    g_test_message("%2u joins: %5.1f %5.1f %5.1f %5.1f %5.1f %% of packets "
                   "forwarded 0 1 2 3 4+ times",
                   joined, 100.0 * hops[0] / FLOWS, 100.0 * hops[1] / FLOWS,
                   100.0 * hops[2] / FLOWS, 100.0 * hops[3] / FLOWS,
                   100.0 * hops[4] / FLOWS);
}

/* Packets of open flows reach their owner within one hop list after joins;
 * prints the hops taken. */
TEST(joins)
{
    struct cluster cluster = {0};
    uint64_t now_us = START_US;

    cluster.view = view_new(MEMBERS_MAX);
    for (size_t i = 0; i < MEMBERS_INITIAL; i++) {
        cluster_join(&cluster, 0);
    }
    cluster_open_all(&cluster);
    print_hops(&cluster, 0, now_us);
    for (unsigned joined = 1; joined <= MEMBERS_MAX - MEMBERS_INITIAL;
         joined++) {
        now_us += USEC_PER_SEC;
        cluster_join(&cluster, now_us);
        cluster_exchange_pins(&cluster, now_us);
        if (joined <= 3 || joined % 7 == 0) {
            print_hops(&cluster, joined, now_us);
        }
    }
    for (size_t i = 0; i < MEMBERS_MAX; i++) {
        flow_table_free(cluster.tables[i]);
    }
    rank_finish(&cluster.rank);
    free(cluster.view);
}

/* Prints the memory used by each flow. */
TEST(memory)
{
    enum { COUNT = 65536 };
    struct flow_table *table = flow_table_new(1, 4 * COUNT);
    struct view *view = view_new(1);
    struct gue gue = {.service = SERVICE, .flags = GUE_OPEN, .count = 1};
    size_t before;

    gue.hops[0].member = 1;
    flow_set_view(table, view, SERVICE, true, 0);
    before = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (uint32_t i = 0; i < COUNT; i++) {
        struct packet syn = flow_packet(i, PACKET_TCP_SYN, 0);

        g_assert_cmpint(flow_decide(table, &syn, &gue, START_US).verdict, ==,
                        FLOW_OPEN);
    }
    g_assert_cmpuint(flow_count(table, NULL), ==, COUNT);
    g_test_message(
        "%d flows: %.1f bytes a flow", COUNT,
        (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before) / COUNT);
    flow_table_free(table);
    free(view);
}
