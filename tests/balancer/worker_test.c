#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "balancer/worker.h"
#include "balancer/worker_batch.h"
#include "base/hash.h"
#include "route_fixture.h"
#include "lib/harness.h"
#include "lib/loopback.h"

#define SUITE "/worker"
#define CHANGES 200

/**
 * struct setup - pool with one endpoint and a sender
 * @owner: receives refusals
 * @refused: member last reported as refusing; atomic
 * @endpoint: socket of the endpoint
 * @sender: socket of the fabric
 */
struct setup {
    struct worker_owner owner;
    uint64_t refused;
    struct clock_manual clock;
    struct counter_table counters;
    struct trace trace;
    struct worker_pool pool;
    struct view *view;
    struct service_config *config;
    int endpoint;
    int sender;
};

static void
on_refused(struct worker_owner *owner, uint64_t member, uint64_t incarnation)
{
    struct setup *setup = (struct setup *)owner;

    g_assert_cmpuint(incarnation, >=, 1000);
    __atomic_store_n(&setup->refused, member, __ATOMIC_SEQ_CST);
}

static uint64_t
refused(struct setup *setup)
{
    return __atomic_load_n(&setup->refused, __ATOMIC_SEQ_CST);
}

static const struct worker_ops ops = {.on_refused = on_refused};

static void
setup_init(struct setup *setup, unsigned workers)
{
    struct error err = {0};
    struct addr addr;
    struct route_table *table;

    setup->owner.ops = &ops;
    clock_manual_init(&setup->clock,
                      ROUTE_FIXTURE_FIRST_SEEN_US + ROUTE_SLOW_START_US);
    counter_table_init(&setup->counters);
    setup->trace.fd = -1;
    setup->sender = loopback_open(SOCK_DGRAM, &addr);
    setup->endpoint = loopback_open(SOCK_DGRAM, &addr);
    setup->config = route_fixture_text();
    setup->view = route_fixture_view(1, "lots");
    setup->view->members[0].data = addr;

    int result = worker_pool_init(&setup->pool, (struct addr){LOOPBACK, 0},
                                  workers, &setup->owner, &setup->clock.base,
                                  &setup->counters, &setup->trace, &err);
    g_assert_cmpint(result, ==, 0);
    g_assert_cmpint(route_table_new(setup->view, setup->config, NULL, &table),
                    ==, 0);
    worker_pool_publish(&setup->pool, table);
    g_assert_cmpint(worker_pool_start(&setup->pool, &err), ==, 0);
}

static void
setup_finish(struct setup *setup)
{
    worker_pool_finish(&setup->pool);
    counter_table_finish(&setup->counters);
    service_config_free(setup->config);
    free(setup->view);
    if (setup->endpoint >= 0)
        close(setup->endpoint);
    close(setup->sender);
}

static void
send_raw(struct setup *setup, const uint8_t *bytes, size_t len)
{
    loopback_send(setup->sender, setup->pool.addr, bytes, len);
}

static size_t
make_packet(uint8_t *bytes, uint32_t caller, const char *payload)
{
    gue_encode(NULL, bytes);
    return BATCH_BARE_GUE_LEN +
           route_fixture_tcp(bytes + BATCH_BARE_GUE_LEN, ROUTE_FIXTURE_LOTS_IP,
                             caller, PACKET_TCP_ACK, payload);
}

static uint64_t
dropped(struct setup *setup, enum packet_drop drop)
{
    return counter_read(&setup->counters, setup->pool.dropped[drop]);
}

/* Waits, with a time limit, until a counter reaches @value. */
static void
wait_for_value(struct setup *setup, int counter, uint64_t value)
{
    LOOPBACK_WAIT(counter_read(&setup->counters, counter) >= value);
}

/* The inner packet arrives unchanged behind the hop list. */
TEST_F(setup, forward, 3)
{
    uint8_t bytes[2048];
    uint8_t got[2048];
    struct gue gue;

    for (uint32_t caller = 0; caller < 200; caller++) {
        size_t len = make_packet(bytes, caller, "GET / HTTP/1.1\r\n\r\n");
        send_raw(setup, bytes, len);
        ssize_t n = recv(setup->endpoint, got, sizeof(got), 0);
        g_assert_cmpint(n, >, 0);
        int header = gue_decode(got, (size_t)n, &gue);
        g_assert_cmpint(header, >, BATCH_BARE_GUE_LEN);
        g_assert_cmpuint(gue.count, ==, 1);
        g_assert_cmpuint(gue.service, ==, hash_service("lots"));
        g_assert_cmpmem(got + header, (size_t)(n - header),
                        bytes + BATCH_BARE_GUE_LEN, len - BATCH_BARE_GUE_LEN);
    }
    wait_for_value(setup, setup->pool.forwarded, 200);
    g_assert_cmpuint(worker_pool_last_packet_us(&setup->pool), ==,
                     setup->clock.now_us);
}

/* A packet of PACKET_MAX bytes is forwarded, a longer one dropped. */
TEST_F(setup, packet_length, 1)
{
    uint8_t bytes[2048] = {0};
    uint8_t got[2048];
    char payload[PACKET_MAX - 40 + 2] = {0};

    memset(payload, 'x', PACKET_MAX - 40);
    size_t len = make_packet(bytes, 1, payload);
    g_assert_cmpuint(len, ==, BATCH_BARE_GUE_LEN + PACKET_MAX);
    send_raw(setup, bytes, len);
    g_assert_cmpint(recv(setup->endpoint, got, sizeof(got), 0), >, PACKET_MAX);
    send_raw(setup, bytes, len + 1);
    send_raw(setup, bytes, sizeof(bytes));
    wait_for_value(setup, setup->pool.dropped[PACKET_TOO_LONG], 2);
}

/* Invalid packets are dropped and counted by reason. */
TEST_F(setup, drop_reasons, 2)
{
    uint8_t bytes[2048];
    struct gue gue = {.count = 1, .hops = {{1, {LOOPBACK, 1}}}};

    size_t len = make_packet(bytes, 1, "");
    send_raw(setup, bytes, 3);
    bytes[1] = 41;
    send_raw(setup, bytes, len);
    size_t header = gue_encode(&gue, bytes); /* hop lists are not accepted */
    len = route_fixture_tcp(bytes + header, ROUTE_FIXTURE_LOTS_IP, 1,
                            PACKET_TCP_ACK, "");
    send_raw(setup, bytes, header + len);
    wait_for_value(setup, setup->pool.dropped[PACKET_BAD_ENCAP], 3);

    len = make_packet(bytes, 1, "abc");
    send_raw(setup, bytes, len - 1);
    wait_for_value(setup, setup->pool.dropped[PACKET_TRUNCATED], 1);
    bytes[BATCH_BARE_GUE_LEN + 8] ^= 1;
    send_raw(setup, bytes, len);
    wait_for_value(setup, setup->pool.dropped[PACKET_BAD_IP_CHECKSUM], 1);
    wait_for_value(setup, setup->pool.received, 5);
    g_assert_cmpuint(counter_read(&setup->counters, setup->pool.forwarded), ==,
                     0);
    g_assert_cmpuint(dropped(setup, PACKET_SEND_FAILED), ==, 0);
}

/* Each random packet is forwarded or counted under exactly one reason. */
TEST_F(setup, random_packets, 1)
{
    uint8_t bytes[2048];
    uint64_t sum = 0;

    for (int i = 0; i < 3000; i++) {
        size_t len = make_packet(bytes, (uint32_t)i, "hello");
        for (int n = g_test_rand_int_range(0, 4); n > 0; n--)
            bytes[g_test_rand_int_range(0, (gint32)len)] =
                (uint8_t)g_test_rand_int();
        send_raw(setup, bytes, (size_t)g_test_rand_int_range(1, (gint32)len));
        if (i % 50 == 0)
            wait_for_value(setup, setup->pool.received, (uint64_t)i);
    }
    wait_for_value(setup, setup->pool.received, 3000);
    worker_pool_finish(&setup->pool);
    for (int i = 1; i < PACKET_DROP_COUNT; i++)
        sum += dropped(setup, (enum packet_drop)i);
    sum += counter_read(&setup->counters, setup->pool.forwarded);
    g_assert_cmpuint(sum, ==, 3000);
}

/* A closed endpoint is reported to the owner, unless first seen just now. */
TEST_F(setup, refused, 1)
{
    uint8_t bytes[2048];
    struct route_table *table;

    close(setup->endpoint);
    setup->endpoint = -1;
    setup->view->members[0].since_us = setup->clock.now_us;
    route_table_new(setup->view, setup->config, setup->pool.table, &table);
    worker_pool_publish(&setup->pool, table);
    size_t len = make_packet(bytes, 1, "");
    send_raw(setup, bytes, len);
    wait_for_value(setup, setup->pool.refused, 1);
    g_usleep(20000);
    g_assert_cmpuint(refused(setup), ==, 0);

    setup->view->members[0].since_us = ROUTE_FIXTURE_FIRST_SEEN_US;
    route_table_new(setup->view, setup->config, setup->pool.table, &table);
    worker_pool_publish(&setup->pool, table);
    send_raw(setup, bytes, len);
    LOOPBACK_WAIT(refused(setup) != 0);
    g_assert_cmpuint(refused(setup), ==, setup->view->members[0].id);
}

/* No packet is lost while tables are replaced. */
TEST_F(setup, table_changes, 3)
{
    uint8_t bytes[2048];
    uint64_t sent = 0;

    for (int i = 0; i < CHANGES; i++) {
        struct view *view = route_fixture_view(1 + (size_t)i % 9, "lots");
        struct route_table *table;
        for (size_t j = 0; j < view->count; j++)
            view->members[j].data = setup->view->members[0].data;
        for (uint32_t j = 0; j < 20; j++, sent++)
            send_raw(setup, bytes, make_packet(bytes, j, "x"));
        g_assert_cmpint(
            route_table_new(view, setup->config, setup->pool.table, &table),
            ==, 0);
        worker_pool_publish(&setup->pool, table);
        free(view);
    }
    wait_for_value(setup, setup->pool.forwarded, sent);
}

/* A send error, here to a broadcast address, drops only its own packet. */
TEST_F(setup, send_fails, 1)
{
    struct route_table *table;
    uint8_t bytes[2048];
    struct addr good;

    good = setup->view->members[0].data;
    setup->view->members[0].data = (struct addr){UINT32_MAX, 9};
    route_table_new(setup->view, setup->config, setup->pool.table, &table);
    worker_pool_publish(&setup->pool, table);
    for (uint32_t i = 0; i < 3; i++)
        send_raw(setup, bytes, make_packet(bytes, i, ""));
    wait_for_value(setup, setup->pool.dropped[PACKET_SEND_FAILED], 3);

    setup->view->members[0].data = good;
    route_table_new(setup->view, setup->config, setup->pool.table, &table);
    worker_pool_publish(&setup->pool, table);
    send_raw(setup, bytes, make_packet(bytes, 9, ""));
    wait_for_value(setup, setup->pool.forwarded, 1);
}

/** struct reader - state shared by a reading and a publishing thread */
struct reader {
    struct setup *setup;
    struct route_table *next;
    int reading;
    int published;
    int done;
};

static void *
read_main(void *data)
{
    struct reader *reader = data;

    rcu_register_thread();
    rcu_read_lock();
    __atomic_store_n(&reader->reading, 1, __ATOMIC_SEQ_CST);
    while (!__atomic_load_n(&reader->done, __ATOMIC_SEQ_CST))
        g_usleep(1000);
    g_assert_false(__atomic_load_n(&reader->published, __ATOMIC_SEQ_CST));
    rcu_read_unlock();
    rcu_unregister_thread();
    return NULL;
}

static void *
publish_main(void *data)
{
    struct reader *reader = data;

    worker_pool_publish(&reader->setup->pool, reader->next);
    __atomic_store_n(&reader->published, 1, __ATOMIC_SEQ_CST);
    return NULL;
}

/* A publish waits for the readers of the previous table. */
TEST_F(setup, grace_period, 1)
{
    struct reader reader = {.setup = setup};
    pthread_t reading, publishing;

    route_table_new(setup->view, setup->config, setup->pool.table,
                    &reader.next);
    pthread_create(&reading, NULL, read_main, &reader);
    while (!__atomic_load_n(&reader.reading, __ATOMIC_SEQ_CST))
        g_usleep(1000);
    pthread_create(&publishing, NULL, publish_main, &reader);
    g_usleep(50000); /* long enough for a publish that does not wait */
    __atomic_store_n(&reader.done, 1, __ATOMIC_SEQ_CST);
    pthread_join(reading, NULL);
    pthread_join(publishing, NULL);
    g_assert_true(reader.published);
}

/* The kernel reports refusals on sends of other packets; those must not be
 * lost. */
TEST(refusals_lose_no_packets)
{
    struct setup setup = {0};
    struct view *view = route_fixture_view(2, "lots");
    struct route_table *table;
    uint8_t bytes[2048];
    uint64_t sent = 0;
    size_t live = 0;
    size_t got = 0;

    setup_init(&setup, 3);
    view->members[0].data = setup.view->members[0].data;
    view->members[1].data = loopback_closed(SOCK_DGRAM);
    route_table_new(view, setup.config, setup.pool.table, &table);
    worker_pool_publish(&setup.pool, table);
    for (uint32_t i = 0; i < 4000; i++) {
        struct route_decision decision;
        size_t len = make_packet(bytes, i, "");
        route_decide(table, bytes + BATCH_BARE_GUE_LEN,
                     len - BATCH_BARE_GUE_LEN, setup.clock.now_us, &decision);
        live += addr_equal(decision.gue.hops[0].data, view->members[0].data);
        send_raw(&setup, bytes, len);
        for (sent++; sent % 100 == 0 && got < live; got++)
            g_assert_cmpint(recv(setup.endpoint, bytes, sizeof(bytes), 0), >,
                            0);
    }
    wait_for_value(&setup, setup.pool.forwarded, sent);
    g_assert_cmpuint(live, >, 1000);
    g_assert_cmpuint(live, <, 3000);
    setup_finish(&setup);
    free(view);
}

/* A second process on the same address must fail to start. */
TEST_F(setup, address_taken, 2)
{
    struct worker_pool second;
    struct error err = {0};

    g_assert_cmpint(worker_pool_init(&second, setup->pool.addr, 2,
                                     &setup->owner, &setup->clock.base,
                                     &setup->counters, &setup->trace, &err),
                    ==, -EADDRINUSE);
    g_assert_cmpstr(err.step, ==, "open packet socket");
    g_assert_cmpstr(err.peer, !=, "");
}
