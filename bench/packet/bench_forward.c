/**
 * DOC: bench_forward - the balancer's workers against a baseline forwarder
 *
 * Each round sends a fixed number of packets over loopback to the sockets of
 * a stopped forwarder, starts it and measures the time until all of them are
 * forwarded. Rounds of the baseline ("bare": recvmmsg and sendmmsg only) and
 * of the balancer alternate, with the same packets, batch size and
 * destinations. The destination sockets are never read, so that the time of
 * receivers isn't included. On a busy machine compare the processor time of
 * the forwarders' threads rather than packets per second.
 */
#include <argtable2.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

#include "balancer/worker.h"
#include "balancer/worker_batch.h"
#include "balancer/worker_socket.h"
#include "route_fixture.h"

#define ENDPOINTS 10
#define LOOPBACK 0x7f000001u
#define PAYLOAD "GET /lots/4711 HTTP/1.1\r\nHost: lots\r\nAccept: */*\r\n\r\n"
#define PACKETS_PER_WORKER 4000
#define ROUNDS_MAX 1000
#define ROUND_LIMIT_S 10.0
#define FLOW_COUNT 400000

/** struct bench - state shared by all rounds; the generator uses @batch */
struct bench {
    int sinks[ENDPOINTS];
    struct addr to[ENDPOINTS];
    struct view *view;
    struct service_config *config;
    struct worker_batch *batch;
    uint32_t next_caller;
};

/** struct baseline - a thread of the baseline forwarder */
struct baseline {
    const struct bench *bench;
    int fd;
    int *stopping;
    uint64_t forwarded;
    pthread_t thread;
    struct worker_batch *batch;
};

/**
 * struct result - results of the rounds of one forwarder
 * @rates: packets per second
 * @costs: processor time of the threads, nanoseconds per packet
 * @count: number of rounds
 */
struct result {
    double rates[ROUNDS_MAX];
    double costs[ROUNDS_MAX];
    size_t count;
};

/** struct stopwatch - start times in seconds: wall clock and workers' CPU */
struct stopwatch {
    double wall;
    double workers;
};

static double
clock_s(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static double
now_s(void)
{
    return clock_s(CLOCK_MONOTONIC);
}

/* Processor time of all threads except the calling one */
static double
workers_s(void)
{
    return clock_s(CLOCK_PROCESS_CPUTIME_ID) -
           clock_s(CLOCK_THREAD_CPUTIME_ID);
}

static struct stopwatch
stopwatch_start(void)
{
    return (struct stopwatch){.wall = now_s(), .workers = workers_s()};
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static double
median(double *values, size_t count)
{
    qsort(values, count, sizeof(double), compare_doubles);
    return values[count / 2];
}

static int
open_sink(struct addr *addr)
{
    struct sockaddr_in sin = addr_to_sockaddr((struct addr){LOOPBACK, 0});
    socklen_t len = sizeof(sin);
    int size = 4096;
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&sin, len) < 0 ||
        getsockname(fd, (struct sockaddr *)&sin, &len) < 0)
        g_error("Can't open a destination socket.");
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    *addr = addr_from_sockaddr(&sin);
    return fd;
}

static void
bench_open(struct bench *bench)
{
    memset(bench, 0, sizeof(*bench));
    bench->batch = aligned_alloc(64, sizeof(*bench->batch));
    bench->config = route_fixture_text();
    bench->view = route_fixture_view(ENDPOINTS, "lots");
    for (size_t i = 0; i < ENDPOINTS; i++) {
        bench->sinks[i] = open_sink(&bench->to[i]);
        bench->view->members[i].data = bench->to[i];
    }
}

static void
bench_close(struct bench *bench)
{
    for (size_t i = 0; i < ENDPOINTS; i++)
        close(bench->sinks[i]);
    service_config_free(bench->config);
    free(bench->view);
    free(bench->batch);
}

/* Sends packets of distinct flows, one in eight of them a SYN. */
static void
send_packets(struct bench *bench, struct addr to, size_t count)
{
    struct worker_batch *batch = bench->batch;
    struct sockaddr_in sin = addr_to_sockaddr(to);
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    worker_batch_init(batch);
    for (size_t sent = 0; sent < count;) {
        unsigned n = (unsigned)MIN(count - sent, WORKER_BATCH);
        for (unsigned i = 0; i < n; i++) {
            uint8_t *bytes = batch->buffers[i].bytes;
            uint32_t caller = bench->next_caller++;
            gue_encode(NULL, bytes);
            batch->out_iov[i].iov_base = bytes;
            batch->out_iov[i].iov_len =
                BATCH_BARE_GUE_LEN +
                route_fixture_tcp(
                    bytes + BATCH_BARE_GUE_LEN, ROUTE_FIXTURE_LOTS_IP, caller,
                    caller % 8 == 0 ? PACKET_TCP_SYN : PACKET_TCP_ACK,
                    caller % 8 == 0 ? "" : PAYLOAD);
            batch->out_to[i] = sin;
        }
        int done = sendmmsg(fd, batch->out, n, 0);
        if (done <= 0)
            g_error("sendmmsg() of the generator failed.");
        sent += (size_t)done;
    }
    close(fd);
}

static void
baseline_forward_batch(struct baseline *baseline, unsigned count)
{
    struct worker_batch *batch = baseline->batch;

    for (unsigned i = 0; i < count; i++) {
        batch->out_iov[i].iov_base = batch->in_iov[i].iov_base;
        batch->out_iov[i].iov_len = batch->in[i].msg_len;
        batch->out_to[i] =
            addr_to_sockaddr(baseline->bench->to[i % ENDPOINTS]);
    }
    for (unsigned sent = 0; sent < count;) {
        int n = sendmmsg(baseline->fd, batch->out + sent, count - sent, 0);
        if (n <= 0)
            g_error("sendmmsg() of the baseline forwarder failed.");
        sent += (unsigned)n;
    }
    __atomic_store_n(&baseline->forwarded, baseline->forwarded + count,
                     __ATOMIC_RELAXED);
}

static void *
baseline_main(void *data)
{
    struct baseline *baseline = data;

    while (!__atomic_load_n(baseline->stopping, __ATOMIC_RELAXED)) {
        int n = recvmmsg(baseline->fd, baseline->batch->in, WORKER_BATCH,
                         MSG_WAITFORONE, NULL);
        if (n > 0)
            baseline_forward_batch(baseline, (unsigned)n);
    }
    return NULL;
}

static uint64_t
baseline_forwarded(const struct baseline *baseline, unsigned workers)
{
    uint64_t sum = 0;
    for (unsigned i = 0; i < workers; i++)
        sum += __atomic_load_n(&baseline[i].forwarded, __ATOMIC_RELAXED);
    return sum;
}

/* Records a round; aborts if packets are missing */
static void
record_result(struct result *result, const struct stopwatch *start,
              uint64_t count, uint64_t done)
{
    double wall = now_s() - start->wall;
    double workers = workers_s() - start->workers;

    if (done < count)
        g_error("Only %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
                " packets were forwarded.",
                done, count);
    result->rates[result->count] = (double)count / wall;
    result->costs[result->count] = workers * 1e9 / (double)count;
    result->count++;
}

static void
measure_baseline(struct bench *bench, struct result *result, unsigned workers,
                 size_t count)
{
    struct baseline baseline[WORKERS_MAX] = {0};
    struct addr addr = {LOOPBACK, 0};
    struct error err;
    int stopping = 0;

    for (unsigned i = 0; i < workers; i++) {
        baseline[i].bench = bench;
        baseline[i].stopping = &stopping;
        baseline[i].fd = worker_socket_open(&addr, i == 0, &err);
        baseline[i].batch = aligned_alloc(64, sizeof(struct worker_batch));
        worker_batch_init(baseline[i].batch);
    }
    if (workers > 1)
        worker_socket_attach_filter(baseline[0].fd, workers);
    send_packets(bench, addr, count);

    struct stopwatch start = stopwatch_start();
    uint64_t done = 0;
    for (unsigned i = 0; i < workers; i++)
        pthread_create(&baseline[i].thread, NULL, baseline_main, &baseline[i]);
    while (done < count && now_s() < start.wall + ROUND_LIMIT_S)
        done = baseline_forwarded(baseline, workers);
    record_result(result, &start, count, done);

    __atomic_store_n(&stopping, 1, __ATOMIC_RELAXED);
    for (unsigned i = 0; i < workers; i++) {
        pthread_join(baseline[i].thread, NULL);
        close(baseline[i].fd);
        free(baseline[i].batch);
    }
}

static void
measure_balancer(struct bench *bench, struct result *result, unsigned workers,
                 size_t count)
{
    struct worker_owner owner = {0};
    struct worker_pool pool;
    struct counter_table counters;
    struct clock clock;
    struct trace trace = {.fd = -1};
    struct route_table *table;
    struct error err;

    clock_runtime_init(&clock);
    counter_table_init(&counters);
    if (worker_pool_init(&pool, (struct addr){LOOPBACK, 0}, workers, &owner,
                         &clock, &counters, &trace, &err) < 0 ||
        route_table_new(bench->view, bench->config, NULL, &table) < 0)
        g_error("Can't start the balancer.");
    worker_pool_publish(&pool, table);
    send_packets(bench, pool.addr, count);

    struct stopwatch start = stopwatch_start();
    uint64_t done = 0;
    worker_pool_start(&pool, &err);
    while (done < count && now_s() < start.wall + ROUND_LIMIT_S)
        done = counter_read(&counters, pool.forwarded);
    record_result(result, &start, count, done);

    worker_pool_finish(&pool);
    counter_table_finish(&counters);
}

/* Prints one line; returns the balancer's median rate over the baseline's */
static double
compare(struct bench *bench, unsigned workers, size_t rounds, double *rate,
        double *cost_ratio)
{
    struct result baseline = {0};
    struct result balancer = {0};
    size_t count = (size_t)PACKETS_PER_WORKER * workers;

    measure_baseline(bench, &baseline, workers, count);
    measure_balancer(bench, &balancer, workers, count);
    baseline.count = 0;
    balancer.count = 0;
    for (size_t i = 0; i < rounds; i++) {
        measure_baseline(bench, &baseline, workers, count);
        measure_balancer(bench, &balancer, workers, count);
    }
    double bare_rate = median(baseline.rates, rounds);
    double bare_cost = median(baseline.costs, rounds);
    double cost = median(balancer.costs, rounds);
    *rate = median(balancer.rates, rounds);
    printf("%7u %10.0f %10.0f %6.3f  %9.0f..%-9.0f %8.0f %8.0f %6.3f\n",
           workers, bare_rate, *rate, *rate / bare_rate,
           balancer.rates[rounds / 10],
           balancer.rates[rounds - 1 - rounds / 10], bare_cost, cost,
           bare_cost / cost);
    *cost_ratio = bare_cost / cost;
    fflush(stdout);
    return *rate / bare_rate;
}

/* Anonymous pages only, as the program file is mapped in larger steps. */
static long
resident_bytes(void)
{
    char line[256];
    long kilobytes = -1;
    FILE *file = fopen("/proc/self/smaps_rollup", "r");

    while (file != NULL && fgets(line, sizeof(line), file) != NULL)
        if (sscanf(line, "Anonymous: %ld kB", &kilobytes) == 1)
            break;
    if (kilobytes < 0)
        g_error("Can't read the resident memory from smaps_rollup.");
    fclose(file);
    return kilobytes * 1024;
}

/* Growth of resident memory, bytes, over FLOW_COUNT distinct flows */
static long
measure_flows(struct bench *bench)
{
    struct worker_owner owner = {0};
    struct worker_pool pool;
    struct counter_table counters;
    struct clock clock;
    struct trace trace = {.fd = -1};
    struct route_table *table;
    struct error err;
    uint64_t sent = 0;

    clock_runtime_init(&clock);
    counter_table_init(&counters);
    worker_pool_init(&pool, (struct addr){LOOPBACK, 0}, 1, &owner, &clock,
                     &counters, &trace, &err);
    route_table_new(bench->view, bench->config, NULL, &table);
    worker_pool_publish(&pool, table);
    worker_pool_start(&pool, &err);

    long before = 0;
    while (sent < FLOW_COUNT + PACKETS_PER_WORKER) {
        send_packets(bench, pool.addr, PACKETS_PER_WORKER);
        sent += PACKETS_PER_WORKER;
        double start = now_s();
        while (counter_read(&counters, pool.forwarded) < sent)
            if (now_s() > start + ROUND_LIMIT_S)
                g_error("The balancer didn't forward all packets in time.");
        if (before == 0) /* all buffers are allocated now */
            before = resident_bytes();
    }
    long growth = resident_bytes() - before;
    worker_pool_finish(&pool);
    counter_table_finish(&counters);
    return growth;
}

static void
run(size_t rounds, unsigned max_workers)
{
    struct bench bench;
    double first = 0;
    double first_ratio = 0;
    double first_cost_ratio = 0;

    bench_open(&bench);
    printf("%d endpoints, batches of %d, %d packets a worker and round, "
           "%zu rounds each, medians\n",
           ENDPOINTS, WORKER_BATCH, PACKETS_PER_WORKER, rounds);
    printf("             packets/s                                    ns of "
           "processor\n"
           "workers       bare   balancer  ratio  balancer p10..p90      "
           "bare balancer  ratio\n");
    GString *json = g_string_new(NULL);
    for (unsigned workers = 1; workers <= max_workers; workers *= 2) {
        double rate;
        double cost_ratio;
        double ratio = compare(&bench, workers, rounds, &rate, &cost_ratio);
        if (workers == 1) {
            first = rate;
            first_ratio = ratio;
            first_cost_ratio = cost_ratio;
        }
        g_string_append_printf(json, ", \"growth_%u\": %.2f", workers,
                               rate / first);
    }
    long growth = measure_flows(&bench);
    printf("resident memory grew by %ld bytes over %d distinct flows\n",
           growth, FLOW_COUNT);
    printf("{\"packets_per_s\": %.0f, \"ratio\": %.3f, "
           "\"processor_ratio\": %.3f%s, "
           "\"flow_bytes\": %.3f}\n",
           first, first_ratio, first_cost_ratio, json->str,
           (double)growth / FLOW_COUNT);
    g_string_free(json, TRUE);
    bench_close(&bench);
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_int *rounds =
        arg_int0(NULL, "rounds", "N", "rounds per forwarder, default 40");
    struct arg_int *workers =
        arg_int0(NULL, "workers", "N", "maximum number of workers, default 8");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, rounds, workers, end};

    rounds->ival[0] = 40;
    workers->ival[0] = 8;
    if (arg_parse(argc, argv, table) > 0 || help->count > 0 ||
        rounds->ival[0] < 1 || rounds->ival[0] > ROUNDS_MAX ||
        workers->ival[0] < 1 || workers->ival[0] > WORKERS_MAX) {
        printf("Usage: bench-forward");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-16s %s\n");
        return help->count > 0 ? 0 : 2;
    }
    rcu_register_thread();
    run((size_t)rounds->ival[0], (unsigned)workers->ival[0]);
    rcu_unregister_thread();
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
