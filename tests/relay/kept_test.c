#include <string.h>

#include "lib/harness.h"
#include "relay/door/kept.h"

#define SUITE "/relay/kept"

static struct relay_packet
packet_of(uint32_t seq, uint8_t byte)
{
    static uint8_t bytes[RELAY_PACKET_MAX];

    memset(bytes, byte, sizeof(bytes));
    return (struct relay_packet){
        .seq = seq, .bytes = bytes, .size = sizeof(bytes)};
}

static bool
add(struct kept *kept, int *chain, uint32_t seq, uint8_t byte)
{
    struct relay_packet packet = packet_of(seq, byte);

    return kept_add(kept, chain, &packet);
}

TEST(packets_come_back_in_order_and_whole)
{
    struct kept kept;
    const struct kept_packet *item;
    int chain = KEPT_NONE;

    g_assert_cmpint(kept_init(&kept), ==, 0);
    g_assert_null(kept_take(&kept, &chain));
    g_assert_true(add(&kept, &chain, 1, 11));
    g_assert_true(add(&kept, &chain, 1201, 12));
    /* The caller sent it again. */
    g_assert_false(add(&kept, &chain, 1, 13));
    item = kept_take(&kept, &chain);
    g_assert_cmpuint(item->seq, ==, 1);
    g_assert_cmpuint(item->size, ==, RELAY_PACKET_MAX);
    g_assert_cmpuint(item->bytes[RELAY_PACKET_MAX - 1], ==, 11);
    g_assert_cmpuint(kept_take(&kept, &chain)->bytes[0], ==, 12);
    g_assert_cmpint(chain, ==, KEPT_NONE);
    kept_finish(&kept);
}

TEST(places_are_used_again_and_there_is_an_end_of_them)
{
    struct kept kept;
    int chains[KEPT_MAX + 1];

    g_assert_cmpint(kept_init(&kept), ==, 0);
    for (unsigned query = 0; query < 3; query++) {
        for (unsigned i = 0; i <= KEPT_MAX; i++) {
            chains[i] = KEPT_NONE;
            g_assert_true(add(&kept, &chains[i], i, 1) == (i < KEPT_MAX));
        }
        for (unsigned i = 0; i <= KEPT_MAX; i++) {
            kept_drop(&kept, &chains[i]);
            g_assert_cmpint(chains[i], ==, KEPT_NONE);
        }
    }
    g_assert_cmpuint(kept.used, ==, KEPT_MAX);
    kept_finish(&kept);
}

TEST(one_request_takes_not_all_of_them)
{
    struct kept kept;
    int chain = KEPT_NONE;

    g_assert_cmpint(kept_init(&kept), ==, 0);
    for (unsigned i = 0; i < KEPT_CHAIN_MAX; i++) {
        g_assert_true(add(&kept, &chain, i, 1));
    }
    g_assert_false(add(&kept, &chain, KEPT_CHAIN_MAX, 1));
    kept_finish(&kept);
}
