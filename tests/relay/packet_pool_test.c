#include <errno.h>
#include <string.h>

#include "lib/harness.h"
#include "relay/admission/packet_pool.h"

#define SUITE "/relay/packet_pool"

static struct relay_packet
make_packet(uint32_t seq, uint8_t byte)
{
    static uint8_t bytes[RELAY_PACKET_MAX];

    memset(bytes, byte, sizeof(bytes));
    return (struct relay_packet){
        .seq = seq, .bytes = bytes, .size = sizeof(bytes)};
}

static int
add(struct packet_pool *packet_pool, int *chain, uint32_t seq, uint8_t byte)
{
    struct relay_packet packet = make_packet(seq, byte);

    return packet_pool_append(packet_pool, chain, &packet);
}

TEST(packets_are_taken_in_order_and_complete)
{
    struct packet_pool packet_pool;
    const struct pool_packet *item;
    int chain = PACKET_POOL_NONE;

    g_assert_cmpint(packet_pool_init(&packet_pool), ==, 0);
    g_assert_null(packet_pool_take(&packet_pool, &chain));
    g_assert_cmpint(add(&packet_pool, &chain, 1, 11), ==, 0);
    g_assert_cmpint(add(&packet_pool, &chain, 1201, 12), ==, 0);
    /* A repeated packet. */
    g_assert_cmpint(add(&packet_pool, &chain, 1, 13), ==, -EEXIST);
    item = packet_pool_take(&packet_pool, &chain);
    g_assert_cmpuint(item->seq, ==, 1);
    g_assert_cmpuint(item->size, ==, RELAY_PACKET_MAX);
    g_assert_cmpuint(item->bytes[RELAY_PACKET_MAX - 1], ==, 11);
    g_assert_cmpuint(packet_pool_take(&packet_pool, &chain)->bytes[0], ==, 12);
    g_assert_cmpint(chain, ==, PACKET_POOL_NONE);
    packet_pool_finish(&packet_pool);
}

TEST(slots_are_reused_and_limited)
{
    struct packet_pool packet_pool;
    int chains[PACKET_POOL_MAX + 1];

    g_assert_cmpint(packet_pool_init(&packet_pool), ==, 0);
    for (unsigned pass = 0; pass < 3; pass++) {
        for (unsigned i = 0; i <= PACKET_POOL_MAX; i++) {
            chains[i] = PACKET_POOL_NONE;
            g_assert_cmpint(add(&packet_pool, &chains[i], i, 1), ==,
                            i < PACKET_POOL_MAX ? 0 : -ENOSPC);
        }
        for (unsigned i = 0; i <= PACKET_POOL_MAX; i++) {
            packet_pool_release(&packet_pool, &chains[i]);
            g_assert_cmpint(chains[i], ==, PACKET_POOL_NONE);
        }
    }
    g_assert_cmpuint(packet_pool.used, ==, PACKET_POOL_MAX);
    packet_pool_finish(&packet_pool);
}

TEST(a_chain_is_limited)
{
    struct packet_pool packet_pool;
    int chain = PACKET_POOL_NONE;

    g_assert_cmpint(packet_pool_init(&packet_pool), ==, 0);
    for (unsigned i = 0; i < PACKET_POOL_CHAIN_MAX; i++) {
        g_assert_cmpint(add(&packet_pool, &chain, i, 1), ==, 0);
    }
    g_assert_cmpint(add(&packet_pool, &chain, PACKET_POOL_CHAIN_MAX, 1), ==,
                    -ENOSPC);
    /* Also of the full chain. */
    g_assert_cmpint(add(&packet_pool, &chain, 0, 1), ==, -EEXIST);
    packet_pool_finish(&packet_pool);
}
