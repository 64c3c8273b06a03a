/* Guards against dropping the SYNs that arrive before a balancer has read the
 * configuration. */
#include "base/clock.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/forwarder/syn_queue.h"

#define SUITE "/relay/syn_queue"
#define MS USEC_PER_MSEC
#define START_US USEC_PER_SEC

static struct syn_queue queue;

static struct relay_packet
syn_of(unsigned caller, uint16_t age_ms)
{
    struct relay_packet packet =
        fixture_from_caller(fixture_flow(caller), RELAY_SYN, 100, 0, 0);

    packet.age_ms = age_ms;
    packet.caller_timeout_ms = (uint16_t)(1400 - age_ms);
    return packet;
}

static bool
put(unsigned caller, uint16_t age_ms, uint64_t now_us)
{
    struct relay_packet packet = syn_of(caller, age_ms);

    return syn_queue_put(&queue, &packet, now_us);
}

/* Takes a SYN and returns its caller's port, 0 for none. */
static unsigned
take(uint64_t now_us, struct relay_packet *packet)
{
    return syn_queue_take(&queue, now_us, packet) ? packet->from.port : 0;
}

TEST(the_youngest_request_goes_first)
{
    struct relay_packet packet;

    queue.count = 0;
    g_assert_true(put(1, 600, START_US));
    g_assert_true(put(2, 0, START_US + 10 * MS));
    g_assert_true(put(3, 200, START_US + 20 * MS));
    g_assert_true(put(4, 0, START_US + 90 * MS));
    g_assert_cmpuint(take(START_US + 100 * MS, &packet), ==,
                     fixture_flow(4).caller.port);
    g_assert_cmpuint(take(START_US + 100 * MS, &packet), ==,
                     fixture_flow(2).caller.port);
    g_assert_cmpuint(packet.age_ms, ==, 90);
    g_assert_cmpuint(packet.caller_timeout_ms, ==, 1310);
    g_assert_cmpuint(packet.size, ==, FIXTURE_HEADERS_SIZE);
    g_assert_cmpuint(take(START_US + 100 * MS, &packet), ==,
                     fixture_flow(3).caller.port);
    g_assert_cmpuint(take(START_US + 100 * MS, &packet), ==,
                     fixture_flow(1).caller.port);
    g_assert_cmpuint(take(START_US + 100 * MS, &packet), ==, 0);
}

TEST(a_copy_replaces_the_earlier_one)
{
    struct relay_packet packet;

    queue.count = 0;
    g_assert_true(put(1, 0, START_US));
    g_assert_true(put(1, 200, START_US + 200 * MS));
    g_assert_cmpuint(take(START_US + 250 * MS, &packet), ==,
                     fixture_flow(1).caller.port);
    g_assert_cmpuint(packet.age_ms, ==, 250);
    g_assert_cmpuint(take(START_US + 250 * MS, &packet), ==, 0);
}

TEST(syns_expire_after_400_ms_or_the_caller_timeout)
{
    struct relay_packet packet;

    queue.count = 0;
    g_assert_true(put(1, 0, START_US));
    g_assert_true(put(2, 1300, START_US));
    g_assert_false(
        syn_queue_take_expired(&queue, START_US + 99 * MS, &packet));
    g_assert_true(
        syn_queue_take_expired(&queue, START_US + 100 * MS, &packet));
    g_assert_cmpuint(packet.from.port, ==, fixture_flow(2).caller.port);
    g_assert_false(
        syn_queue_take_expired(&queue, START_US + 399 * MS, &packet));
    g_assert_true(
        syn_queue_take_expired(&queue, START_US + 400 * MS, &packet));
    g_assert_cmpuint(queue.count, ==, 0);
}

TEST(a_full_queue_takes_copies_only)
{
    queue.count = 0;
    for (unsigned i = 0; i < SYN_QUEUE_MAX; i++) {
        g_assert_true(put(i, 0, START_US));
    }
    g_assert_false(put(SYN_QUEUE_MAX, 0, START_US));
    g_assert_true(put(7, 200, START_US + 200 * MS));
    g_assert_cmpuint(queue.count, ==, SYN_QUEUE_MAX);
}
