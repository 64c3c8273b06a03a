#define G_LOG_DOMAIN "swiftarch-balancer"

#include "balancer/worker.h"

#include <assert.h>
#include <errno.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu.h>

#include "balancer/worker_batch.h"
#include "balancer/worker_socket.h"
#include "base/log.h"

#define ERROR_POLL_INTERVAL_US (10 * USEC_PER_MSEC)
#define ERRORS_PER_POLL 16
#define SEND_TRIES_MAX 2
#define REFUSAL_RETRIES_MAX 64 /* consecutive, per packet */
#define REPORT_INTERVAL_US (1 * USEC_PER_SEC)

/**
 * struct worker - one worker thread
 * @pool: pool that the worker belongs to
 * @index: index in the pool and in the per-worker counters
 * @fd: packet socket
 * @started: whether @thread runs
 * @thread: thread
 * @last_us: arrival of the latest packet; atomic
 * @errors_polled_us: last read of the socket's error queue
 * @reported: member last reported to the owner
 * @reported_us: time of that report
 * @batch: packet buffers
 */
struct worker {
    struct worker_pool *pool;
    unsigned index;
    int fd;
    bool started;
    pthread_t thread;
    uint64_t last_us;
    uint64_t errors_polled_us;
    uint64_t reported;
    uint64_t reported_us;
    struct worker_batch *batch;
};

static void
count(struct worker *worker, int handle, uint64_t n)
{
    if (n > 0)
        counter_add(worker->pool->counters, worker->index, handle, n);
}

static void
report_refusal(struct worker *worker, struct addr addr, uint64_t now_us)
{
    struct worker_pool *pool = worker->pool;
    uint64_t member = 0;
    uint64_t incarnation = 0;

    rcu_read_lock();
    const struct route_table *table = rcu_dereference(pool->table);
    const struct route_endpoint *endpoint =
        table != NULL ? route_endpoint_at(table, addr) : NULL;
    if (endpoint != NULL &&
        now_us >= endpoint->since_us + WORKER_REFUSAL_MIN_AGE_US) {
        member = endpoint->member;
        incarnation = endpoint->incarnation;
    }
    rcu_read_unlock();

    /* Packets go only to endpoints of this cell and gateways of others. */
    if (endpoint == NULL)
        cell_forward_note_refused(&worker->batch->refused_gateways, addr,
                                  now_us);
    if (member == 0 || (member == worker->reported &&
                        now_us < worker->reported_us + REPORT_INTERVAL_US))
        return;
    worker->reported = member;
    worker->reported_us = now_us;
    pool->owner->ops->on_refused(pool->owner, member, incarnation);
}

static void
read_errors(struct worker *worker, uint64_t now_us)
{
    struct addr addr;

    worker->errors_polled_us = now_us;
    for (int i = 0; i < ERRORS_PER_POLL; i++) {
        if (!worker_socket_next_refused(worker->fd, &addr))
            return;
        count(worker, worker->pool->refused, 1);
        report_refusal(worker, addr, now_us);
    }
}

/*
 * The kernel reports the refusal of an earlier packet by failing the next
 * send, which may be another packet; so that send is retried. Other errors may
 * concern the packet itself.
 */
static bool
may_retry(int error, unsigned tries)
{
    if (error == EINTR || error == ECONNREFUSED)
        return tries < REFUSAL_RETRIES_MAX;
    return tries < SEND_TRIES_MAX;
}

static void
send_batch(struct worker *worker, uint64_t now_us)
{
    struct worker_batch *batch = worker->batch;
    unsigned sent = 0;
    unsigned tries = 0;

    while (sent < batch->out_count) {
        int n = sendmmsg(worker->fd, batch->out + sent,
                         batch->out_count - sent, 0);
        if (n > 0) {
            sent += (unsigned)n;
            count(worker, worker->pool->forwarded, (uint64_t)n);
            tries = 0;
            continue;
        }
        int error = errno;
        read_errors(worker, now_us);
        if (may_retry(error, ++tries))
            continue;
        tries = 0;
        batch->drops[PACKET_SEND_FAILED]++;
        sent++;
    }
}

static void
count_drops(struct worker *worker)
{
    for (int i = 0; i < PACKET_DROP_COUNT; i++)
        count(worker, worker->pool->dropped[i], worker->batch->drops[i]);
}

static void
forward_batch(struct worker *worker, unsigned received)
{
    struct worker_pool *pool = worker->pool;
    struct worker_batch *batch = worker->batch;
    uint64_t now_us = clock_now_us(pool->clock);

    __atomic_store_n(&worker->last_us, now_us, __ATOMIC_RELAXED);
    rcu_read_lock();
    if (pool->directory != NULL)
        batch->directory = rcu_dereference(*pool->directory);
    worker_batch_decide(batch, received, rcu_dereference(pool->table),
                        pool->trace, now_us);
    rcu_read_unlock();
    batch->directory = NULL;
    send_batch(worker, now_us);

    count(worker, pool->received, received);
    count(worker, pool->to_cells, batch->to_cells);
    count(worker, pool->from_cells, batch->from_cells);
    count_drops(worker);
    if (now_us >= worker->errors_polled_us + ERROR_POLL_INTERVAL_US)
        read_errors(worker, now_us);
}

static void *
worker_main(void *data)
{
    struct worker *worker = data;
    struct worker_pool *pool = worker->pool;

    rcu_register_thread();
    while (!__atomic_load_n(&pool->stopping, __ATOMIC_RELAXED)) {
        int n = recvmmsg(worker->fd, worker->batch->in, WORKER_BATCH,
                         MSG_WAITFORONE, NULL);
        if (n > 0)
            forward_batch(worker, (unsigned)n);
        else
            read_errors(worker, clock_now_us(pool->clock));
    }
    rcu_unregister_thread();
    return NULL;
}

static int
register_counters(struct worker_pool *pool)
{
    pool->received =
        counter_register(pool->counters, "packets_received_total", "");
    pool->forwarded =
        counter_register(pool->counters, "packets_forwarded_total", "");
    pool->refused =
        counter_register(pool->counters, "packets_refused_total", "");
    pool->to_cells =
        counter_register(pool->counters, "packets_to_other_cells_total", "");
    pool->from_cells =
        counter_register(pool->counters, "packets_from_other_cells_total", "");
    if (pool->received < 0 || pool->forwarded < 0 || pool->refused < 0 ||
        pool->to_cells < 0 || pool->from_cells < 0)
        return -ENOSPC;

    for (int i = 0; i < PACKET_DROP_COUNT; i++) {
        char label[COUNTER_NAME_MAX];
        snprintf(label, sizeof(label), "reason=\"%s\"",
                 packet_drop_name((enum packet_drop)i));
        if (i == PACKET_OK)
            continue;
        pool->dropped[i] =
            counter_register(pool->counters, "packets_dropped_total", label);
        if (pool->dropped[i] < 0)
            return -ENOSPC;
    }
    return 0;
}

static int
worker_init(struct worker *worker, struct worker_pool *pool, unsigned index,
            struct error *err)
{
    worker->pool = pool;
    worker->index = index;
    worker->fd = worker_socket_open(&pool->addr, index == 0, err);
    if (worker->fd < 0)
        return worker->fd;

    worker->batch = aligned_alloc(64, sizeof(*worker->batch));
    if (worker->batch == NULL)
        return error_set(err, -ENOMEM, "start worker", NULL,
                         "no memory for packet buffers");
    worker_batch_init(worker->batch);
    return 0;
}

int
worker_pool_init(struct worker_pool *pool, struct addr listen, unsigned count,
                 struct worker_owner *owner, struct clock *clock,
                 struct counter_table *counters, struct trace *trace,
                 struct error *err)
{
    int result;

    assert(count > 0 && count <= WORKERS_MAX);
    memset(pool, 0, sizeof(*pool));
    pool->owner = owner;
    pool->clock = clock;
    pool->counters = counters;
    pool->trace = trace;
    pool->addr = listen;

    result = register_counters(pool);
    if (result < 0)
        return error_set(err, result, "register counters", NULL,
                         "too many counters");
    pool->workers = calloc(count, sizeof(*pool->workers));
    if (pool->workers == NULL)
        return error_set(err, -ENOMEM, "start workers", NULL,
                         "no memory for workers");
    for (unsigned i = 0; i < count; i++)
        pool->workers[i].fd = -1;
    pool->count = count;
    for (unsigned i = 0; i < count; i++) {
        result = worker_init(&pool->workers[i], pool, i, err);
        if (result < 0)
            goto err;
    }
    if (count > 1)
        result = worker_socket_attach_filter(pool->workers[0].fd, count);
    if (result < 0)
        g_warning("Can't attach the socket filter, flows are spread by outer "
                  "header: %s.",
                  strerror(-result));
    return 0;

err:
    worker_pool_finish(pool);
    return result;
}

int
worker_pool_start(struct worker_pool *pool, struct error *err)
{
    for (unsigned i = 0; i < pool->count; i++) {
        struct worker *worker = &pool->workers[i];
        int code = pthread_create(&worker->thread, NULL, worker_main, worker);
        if (code != 0)
            return error_set(err, -code, "start worker", NULL,
                             "can't create thread %u", i);
        worker->started = true;
    }
    return 0;
}

void
worker_pool_publish(struct worker_pool *pool, struct route_table *table)
{
    struct route_table *old = rcu_xchg_pointer(&pool->table, table);

    if (old == NULL)
        return;
    synchronize_rcu();
    route_table_free(old);
}

uint64_t
worker_pool_last_packet_us(const struct worker_pool *pool)
{
    uint64_t last_us = 0;

    for (unsigned i = 0; i < pool->count; i++) {
        uint64_t us =
            __atomic_load_n(&pool->workers[i].last_us, __ATOMIC_RELAXED);
        if (us > last_us)
            last_us = us;
    }
    return last_us;
}

void
worker_pool_finish(struct worker_pool *pool)
{
    __atomic_store_n(&pool->stopping, 1, __ATOMIC_RELAXED);
    for (unsigned i = 0; i < pool->count; i++)
        if (pool->workers[i].started)
            pthread_join(pool->workers[i].thread, NULL);
    for (unsigned i = 0; i < pool->count; i++) {
        if (pool->workers[i].fd >= 0)
            close(pool->workers[i].fd);
        free(pool->workers[i].batch);
    }
    free(pool->workers);
    pool->workers = NULL;
    pool->count = 0;
    route_table_free(pool->table);
    pool->table = NULL;
}
