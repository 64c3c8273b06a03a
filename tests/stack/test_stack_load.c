#include <malloc.h>
#include <string.h>

#include "lib/harness.h"
#include "stack_loop.h"

#define SUITE "/stack/load"

/* Writes a SYN from @src with valid checksums. */
static void
forge_syn(uint8_t *buf, uint32_t src)
{
    static const uint8_t start[40] = {
        0x45, 0, 0, 40, 0,  0, 0, 0, 64,   6, 0,    0,
        0,    0, 0, 0,  10, 0, 0, 1, 0x30, 0, 0,    80,
        0,    0, 0, 1,  0,  0, 0, 0, 0x50, 2, 0xff, 0xff};
    uint32_t ip = 0;
    uint32_t tcp = 6 + 20;

    memcpy(buf, start, sizeof(start));
    for (size_t i = 0; i < 4; i++) {
        buf[12 + i] = (uint8_t)(src >> (24 - 8 * i));
    }
    for (size_t i = 0; i < 40; i += 2) {
        ip += i < 20 ? (uint32_t)(buf[i] << 8 | buf[i + 1]) : 0;
        tcp += i >= 12 ? (uint32_t)(buf[i] << 8 | buf[i + 1]) : 0;
    }
    ip = (ip & 0xffff) + (ip >> 16);
    tcp = (tcp & 0xffff) + (tcp >> 16);
    buf[10] = (uint8_t)(~ip >> 8);
    buf[11] = (uint8_t)~ip;
    buf[36] = (uint8_t)(~tcp >> 8);
    buf[37] = (uint8_t)~tcp;
}

/* A SYN flood leaves a bounded number of half-open connections, and a new
 * caller can still connect. */
TEST_F(loop, syn_flood, 9)
{
    enum { COUNT = 10000 };
    struct end *client;
    uint8_t buf[40];
    uint32_t i;

    client = loop_connect(loop, 40000, 0);
    LOOP_UNTIL(loop, loop->opened == 2);
    for (i = 0; i < COUNT; i++) {
        forge_syn(buf, 0x0b000001 + i);
        g_assert_cmpint(stack_input(loop->stack, buf, sizeof(buf)), ==, 0);
        g_assert_cmpuint(stack_half_open(loop->stack), <=, 4096);
    }
    g_assert_cmpuint(stack_half_open(loop->stack), >, 2000);
    g_queue_clear_full(&loop->packets, (GDestroyNotify)g_bytes_unref);
    g_free(client);
    client = loop_connect(loop, 40001, 0);
    LOOP_UNTIL(loop, client->opened && loop->opened == 4);
    g_assert_cmpuint(loop->closed, ==, 0);
    g_free(client);
}

/* Reports the memory of idle connections. */
TEST(many_connections)
{
    enum { COUNT = 2000 };
    struct loop loop;
    g_autofree struct end **clients = g_new0(struct end *, COUNT);
    size_t before;
    size_t after;

    loop_init(&loop, 8);
    before = mallinfo2().uordblks + mallinfo2().hblkhd;
    for (size_t i = 0; i < COUNT; i++) {
        clients[i] = loop_connect(&loop, (uint16_t)(20000 + i), 0);
    }
    LOOP_UNTIL(&loop, loop.opened == 2 * COUNT && loop.packets.length == 0);
    after = mallinfo2().uordblks + mallinfo2().hblkhd;
    g_test_message("%d idle connections, both ends in this process: "
                   "%zu bytes per end, including the test's own",
                   COUNT, (after - before) / (2 * COUNT));
    loop_finish(&loop);
    for (size_t i = 0; i < COUNT; i++) {
        g_free(clients[i]);
    }
}
