#include <glib.h>
#include <stdlib.h>
#include <malloc.h>
#include <string.h>

#include "flow/flow.h"
#include "lib/harness.h"

#define SUITE "/flow/hops"
#define FIRST 7
#define MEMBERS_MAX 28
#define FLOWS 2000
#define SERVICE 7
#define NEVER_US (1000 * USEC_PER_SEC)

/* Agents that all know the same members. */
struct cell {
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
cell_join(struct cell *cell, uint64_t now_us)
{
    size_t count = cell->view->count++;
    struct view_member *member = &cell->view->members[count];
    uint64_t ids[MEMBERS_MAX];

    member->id = count + 1;
    member->role = MEMBER_AGENT;
    member->state = MEMBER_READY;
    member->service = SERVICE;
    member->data = (struct addr){0x7f000001, (uint16_t)(2000 + count)};
    cell->tables[count] = flow_table_new(member->id, 4 * FLOWS);
    for (size_t i = 0; i <= count; i++) {
        ids[i] = i + 1;
        g_assert_cmpint(
            flow_set_view(cell->tables[i], cell->view, SERVICE, true, now_us),
            ==, 0);
    }
    if (cell->rank.table != NULL) {
        rank_finish(&cell->rank);
    }
    g_assert_cmpint(rank_init(&cell->rank, ids, count + 1, NULL), ==, 0);
}

static void
cell_pins(struct cell *cell, uint64_t now_us)
{
    struct flow_pin pins[64];
    uint64_t to[64];
    size_t count;

    for (size_t i = 0; i < cell->view->count; i++) {
        while ((count = flow_pins_due(cell->tables[i], now_us, pins, to,
                                      G_N_ELEMENTS(pins))) > 0) {
            for (size_t k = 0; k < count; k++) {
                flow_pin_add(cell->tables[to[k] - 1], &pins[k], now_us);
            }
        }
    }
}

/* Sends a packet by the rank row; returns how often it was passed on. */
static unsigned
cell_send(struct cell *cell, const struct packet *packet,
          enum flow_verdict expected, uint64_t now_us)
{
    const uint16_t *row = rank_row(&cell->rank, packet_flow_hash(packet));
    struct gue gue = {.service = SERVICE,
                      .flags = packet->flags == PACKET_TCP_SYN ? GUE_OPEN : 0};
    struct flow_decision decision;
    unsigned hops;

    for (; gue.count < RANK_DEPTH && row[gue.count] != RANK_NONE;
         gue.count++) {
        uint64_t id = cell->rank.members[row[gue.count]];

        gue.hops[gue.count].member = id;
        gue.hops[gue.count].data = cell->view->members[id - 1].data;
    }
    for (hops = 0; hops < 30; hops++) {
        uint64_t id = gue.hops[gue.index].member;

        decision = flow_decide(cell->tables[id - 1], packet, &gue, now_us);
        if (decision.verdict != FLOW_PASS) {
            break;
        }
        gue = decision.gue;
    }
    g_assert_cmpint(decision.verdict, ==, expected);
    return hops;
}

static void
cell_open_all(struct cell *cell)
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

        cell_send(cell, &syn, FLOW_OPEN, NEVER_US);
        for (size_t i = 0; i < cell->view->count; i++) {
            flow_sent_syn_ack(cell->tables[i], &out);
        }
        cell_send(cell, &ack, FLOW_TAKE, NEVER_US);
    }
}

static void
print_hops(struct cell *cell, unsigned joined, uint64_t now_us)
{
    size_t hops[5] = {0};
    unsigned passed;

    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        struct packet packet = flow_packet(flow, PACKET_TCP_ACK, 501);

        passed = cell_send(cell, &packet, FLOW_TAKE, now_us);
        /* A registered owner is at most behind those registered with it. */
        g_assert_cmpuint(passed, <, GUE_HOPS_MAX);
        hops[MIN(passed, 4)]++;
    }
    g_test_message("%2u joins: %5.1f %5.1f %5.1f %5.1f %5.1f %% of packets "
                   "passed on 0 1 2 3 4+ times",
                   joined, 100.0 * hops[0] / FLOWS, 100.0 * hops[1] / FLOWS,
                   100.0 * hops[2] / FLOWS, 100.0 * hops[3] / FLOWS,
                   100.0 * hops[4] / FLOWS);
}

/* How far packets of long flows travel after joins, seven agents first. */
TEST(joins)
{
    struct cell cell = {0};
    uint64_t now_us = NEVER_US;

    cell.view = view_new(MEMBERS_MAX);
    for (size_t i = 0; i < FIRST; i++) {
        cell_join(&cell, 0);
    }
    cell_open_all(&cell);
    print_hops(&cell, 0, now_us);
    for (unsigned joined = 1; joined <= MEMBERS_MAX - FIRST; joined++) {
        now_us += USEC_PER_SEC;
        cell_join(&cell, now_us);
        cell_pins(&cell, now_us);
        if (joined <= 3 || joined % 7 == 0) {
            print_hops(&cell, joined, now_us);
        }
    }
    for (size_t i = 0; i < MEMBERS_MAX; i++) {
        flow_table_free(cell.tables[i]);
    }
    rank_finish(&cell.rank);
    free(cell.view);
}

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

        g_assert_cmpint(flow_decide(table, &syn, &gue, NEVER_US).verdict, ==,
                        FLOW_OPEN);
    }
    g_assert_cmpuint(flow_count(table, NULL), ==, COUNT);
    g_test_message(
        "%d flows: %.1f bytes a flow", COUNT,
        (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before) / COUNT);
    flow_table_free(table);
    free(view);
}
