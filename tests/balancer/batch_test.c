/**
 * DOC: batch_test - guards against allocations and locks per packet
 *
 * The linker's --wrap redirects calls from this project's objects to the
 * counting functions below; calls inside libraries are not counted.
 */
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "balancer/worker.h"
#include "balancer/worker_batch.h"
#include "route_fixture.h"
#include "lib/harness.h"
#include "lib/loopback.h"

#define SUITE "/batch"
#define PACKETS 4000
#define CHUNK 100

void *
__real_malloc(size_t size);
void *
__wrap_malloc(size_t size);
void *
__real_calloc(size_t count, size_t size);
void *
__wrap_calloc(size_t count, size_t size);
void *
__real_realloc(void *old, size_t size);
void *
__wrap_realloc(void *old, size_t size);
void *
__real_aligned_alloc(size_t alignment, size_t size);
void *
__wrap_aligned_alloc(size_t alignment, size_t size);
void
__wrap_free(void *memory);
void
__real_free(void *memory);
int
__real_pthread_mutex_lock(pthread_mutex_t *mutex);
int
__wrap_pthread_mutex_lock(pthread_mutex_t *mutex);

static size_t calls;

static void
count_call(void)
{
    __atomic_add_fetch(&calls, 1, __ATOMIC_RELAXED);
}

void *
__wrap_malloc(size_t size)
{
    count_call();
    return __real_malloc(size);
}

void *
__wrap_calloc(size_t count, size_t size)
{
    count_call();
    return __real_calloc(count, size);
}

void *
__wrap_realloc(void *old, size_t size)
{
    count_call();
    return __real_realloc(old, size);
}

void *
__wrap_aligned_alloc(size_t alignment, size_t size)
{
    count_call();
    return __real_aligned_alloc(alignment, size);
}

void
__wrap_free(void *memory)
{
    count_call();
    __real_free(memory);
}

int
__wrap_pthread_mutex_lock(pthread_mutex_t *mutex)
{
    count_call();
    return __real_pthread_mutex_lock(mutex);
}

static size_t
call_count(void)
{
    return __atomic_load_n(&calls, __ATOMIC_RELAXED);
}

/* Valid and truncated packets and unknown addresses, each a new flow */
static size_t
make_packet(uint8_t *bytes, uint32_t number)
{
    uint32_t ip = number % 7 == 6 ? 0x0a640063 : ROUTE_FIXTURE_LOTS_IP;
    size_t len = gue_encode(NULL, bytes);

    len += route_fixture_tcp(bytes + len, ip, number,
                             number % 3 ? PACKET_TCP_ACK : PACKET_TCP_SYN,
                             "GET /");
    return number % 11 == 10 ? len - 1 : len;
}

TEST(no_allocation_or_lock)
{
    struct worker_owner owner = {0};
    struct worker_pool pool;
    struct counter_table counters;
    struct clock clock;
    struct trace trace = {.fd = -1};
    struct error err;
    struct service_config *config = route_fixture_text();
    struct view *view = route_fixture_view(9, "lots");
    struct route_table *table;
    struct addr addr;
    int sink = loopback_open(SOCK_DGRAM, &addr);
    struct addr own;
    int sender = loopback_open(SOCK_DGRAM, &own);
    uint8_t bytes[256];
    size_t before = 0;

    clock_runtime_init(&clock);
    counter_table_init(&counters);
    view->members[3].state = MEMBER_DRAINING;
    view->members[4].state = MEMBER_WARMING;
    view->members[5].health = MEMBER_SUSPECT;
    for (size_t i = 0; i < view->count; i++)
        view->members[i].data = addr;
    g_assert_cmpint(worker_pool_init(&pool, (struct addr){LOOPBACK, 0}, 2,
                                     &owner, &clock, &counters, &trace, &err),
                    ==, 0);
    g_assert_cmpint(route_table_new(view, config, NULL, &table), ==, 0);
    worker_pool_publish(&pool, table);
    g_assert_cmpint(worker_pool_start(&pool, &err), ==, 0);
    g_assert_cmpuint(call_count(), >, 0); /* the wrappers are linked */

    for (uint32_t i = 0; i < PACKETS; i++) {
        size_t len = make_packet(bytes, i);
        loopback_send(sender, pool.addr, bytes, len);
        if (i % CHUNK == CHUNK - 1)
            LOOPBACK_WAIT(counter_read(&counters, pool.received) > i);
        if (i == CHUNK - 1)
            before = call_count();
    }
    g_assert_cmpuint(call_count(), ==, before);
    g_assert_cmpuint(counter_read(&counters, pool.forwarded), >, PACKETS / 2);

    worker_pool_finish(&pool);
    counter_table_finish(&counters);
    service_config_free(config);
    free(view);
    close(sink);
    close(sender);
}
