/**
 * DOC: bench_lookup - time of routing decisions and of table builds
 *
 * Runs in one thread without sockets. A decision includes the validation of
 * the packet, as in a worker; packets of FLOWS distinct flows are decided in
 * turn, so that all rows of the table are used. Columns: "estab" is a packet
 * of an established flow, "open" a SYN, "drain" a SYN while an endpoint
 * drains, "batch" a packet of an established flow in a worker's batch, with
 * its encapsulation. "busiest" is the maximum number of flows of an endpoint
 * as first hop, over the mean.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "balancer/route.h"
#include "balancer/worker_batch.h"
#include "route_fixture.h"

#define FLOWS 16384
#define PACKET_SIZE_MAX 64
#define PASSES 16
#define REPEATS 9
#define FLOW_COUNT 400000
#define NOW_US (ROUTE_FIXTURE_FIRST_SEEN_US + ROUTE_SLOW_START_US)

/** struct packets - one packet of each flow */
struct packets {
    uint8_t bytes[FLOWS][PACKET_SIZE_MAX];
    size_t lens[FLOWS];
};

/** struct measurements - results of a table size, per packet or build */
struct measurements {
    size_t endpoints;
    double established_ns;
    double open_ns;
    double drain_ns;
    double batch_ns;
    double build_us;
    double join_us;
    double leave_us;
    double unchanged_us;
    double max_load_ratio;
    size_t bytes;
};

static double
now_ns(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static void
build_packets(struct packets *packets, uint8_t flags)
{
    for (uint32_t i = 0; i < FLOWS; i++)
        packets->lens[i] = route_fixture_tcp(
            packets->bytes[i], ROUTE_FIXTURE_LOTS_IP, i * 7, flags, "");
}

static double
decide_pass_ns(const struct route_table *table, const struct packets *packets)
{
    struct route_decision decision;
    uint64_t sum = 0;
    double start = now_ns();

    for (int pass = 0; pass < PASSES; pass++)
        for (size_t i = 0; i < FLOWS; i++) {
            if (route_decide(table, packets->bytes[i], packets->lens[i],
                             NOW_US, &decision) != PACKET_OK)
                g_error("A packet was dropped.");
            sum += decision.gue.hops[0].member;
        }
    if (sum == 0)
        g_error("No endpoint was chosen.");
    return (now_ns() - start) / ((double)PASSES * FLOWS);
}

/* Median time of a decision, nanoseconds */
static double
decide_ns(const struct route_table *table, struct packets *packets,
          uint8_t flags)
{
    double times[REPEATS];

    build_packets(packets, flags);
    for (int i = 0; i < REPEATS; i++)
        times[i] = decide_pass_ns(table, packets);
    qsort(times, REPEATS, sizeof(double), compare_doubles);
    return times[REPEATS / 2];
}

/* Median time per packet of a batch with encapsulation, nanoseconds */
static double
batch_ns(const struct route_table *table, struct packets *packets)
{
    struct worker_batch *batch = aligned_alloc(64, sizeof(*batch));
    struct trace trace = {.fd = -1};
    double times[REPEATS];

    build_packets(packets, PACKET_TCP_ACK);
    worker_batch_init(batch);
    for (int i = 0; i < REPEATS; i++) {
        double spent = 0;
        for (size_t first = 0; first < FLOWS; first += WORKER_BATCH) {
            for (size_t j = 0; j < WORKER_BATCH; j++) {
                uint8_t *bytes = batch->in_iov[j].iov_base;
                memset(bytes, 0, BATCH_BARE_GUE_LEN);
                bytes[1] = 4;
                memcpy(bytes + BATCH_BARE_GUE_LEN, packets->bytes[first + j],
                       packets->lens[first + j]);
                batch->in[j].msg_len =
                    (unsigned)(BATCH_BARE_GUE_LEN + packets->lens[first + j]);
            }
            double start = now_ns();
            worker_batch_decide(batch, WORKER_BATCH, table, &trace, NOW_US);
            spent += now_ns() - start;
            if (batch->out_count != WORKER_BATCH)
                g_error("A packet was dropped.");
        }
        times[i] = spent / FLOWS;
    }
    qsort(times, REPEATS, sizeof(double), compare_doubles);
    free(batch);
    return times[REPEATS / 2];
}

static struct route_table *
build(const struct view *view, const struct service_config *config,
      const struct route_table *previous)
{
    struct route_table *table;

    if (route_table_new(view, config, previous, &table) < 0)
        g_error("Can't build a route table.");
    return table;
}

/* Median time of a build with @previous, microseconds */
static double
build_us(const struct view *view, const struct service_config *config,
         const struct route_table *previous)
{
    double times[REPEATS];

    for (int i = 0; i < REPEATS; i++) {
        double start = now_ns();
        struct route_table *table = build(view, config, previous);
        times[i] = (now_ns() - start) / 1000;
        route_table_free(table);
    }
    qsort(times, REPEATS, sizeof(double), compare_doubles);
    return times[REPEATS / 2];
}

/* Copy of @view without the member @index */
static struct view *
view_without(const struct view *view, size_t index)
{
    struct view *reduced = route_fixture_view(view->count, "lots");

    reduced->count--;
    memmove(&reduced->members[index], &reduced->members[index + 1],
            (reduced->count - index) * sizeof(reduced->members[0]));
    return reduced;
}

/* Maximum over mean number of flows of an endpoint as first hop */
static double
max_load_ratio(const struct route_table *table, struct packets *packets,
               size_t endpoints)
{
    GHashTable *first = g_hash_table_new(g_direct_hash, g_direct_equal);
    struct route_decision decision;
    size_t max_count = 0;

    build_packets(packets, PACKET_TCP_SYN);
    for (size_t i = 0; i < FLOWS; i++) {
        route_decide(table, packets->bytes[i], packets->lens[i], NOW_US,
                     &decision);
        gpointer key = GSIZE_TO_POINTER(decision.gue.hops[0].member);
        size_t count = GPOINTER_TO_SIZE(g_hash_table_lookup(first, key)) + 1;
        g_hash_table_insert(first, key, GSIZE_TO_POINTER(count));
        max_count = MAX(max_count, count);
    }
    g_hash_table_destroy(first);
    return (double)max_count * (double)endpoints / FLOWS;
}

static void
measure(struct measurements *measurements, const struct service_config *config,
        struct packets *packets)
{
    struct view *view = route_fixture_view(measurements->endpoints, "lots");
    struct view *reduced = view_without(view, measurements->endpoints / 2);
    struct route_table *table = build(view, config, NULL);
    struct route_table *smaller = build(reduced, config, NULL);

    measurements->established_ns = decide_ns(table, packets, PACKET_TCP_ACK);
    measurements->open_ns = decide_ns(table, packets, PACKET_TCP_SYN);
    measurements->batch_ns = batch_ns(table, packets);
    measurements->build_us = build_us(view, config, NULL);
    measurements->join_us = build_us(view, config, smaller);
    measurements->leave_us = build_us(reduced, config, table);
    measurements->unchanged_us = build_us(view, config, table);
    measurements->bytes = route_table_bytes(table);
    measurements->max_load_ratio =
        max_load_ratio(table, packets, measurements->endpoints);

    view->members[0].state = MEMBER_DRAINING;
    struct route_table *draining = build(view, config, table);
    measurements->drain_ns = decide_ns(draining, packets, PACKET_TCP_SYN);
    route_table_free(draining);
    route_table_free(smaller);
    route_table_free(table);
    free(reduced);
    free(view);
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

static long
measure_flows(const struct service_config *config)
{
    struct view *view = route_fixture_view(10, "lots");
    struct route_table *table = build(view, config, NULL);
    struct route_decision decision;
    uint8_t buf[PACKET_SIZE_MAX];
    long before = 0;

    for (uint32_t i = 0; i <= FLOW_COUNT; i++) {
        size_t len = route_fixture_tcp(buf, ROUTE_FIXTURE_LOTS_IP, i,
                                       PACKET_TCP_SYN, "");
        if (route_decide(table, buf, len, NOW_US, &decision) != PACKET_OK)
            g_error("A packet was dropped.");
        if (i == 0)
            before = resident_bytes();
    }
    long growth = resident_bytes() - before;
    route_table_free(table);
    free(view);
    return growth;
}

int
main(void)
{
    const size_t sizes[] = {10, 100, 1000, 10000};
    struct packets *packets = g_new0(struct packets, 1);
    struct service_config *config = route_fixture_text();
    GString *json = g_string_new(NULL);

    printf(
        "           ns of a packet                    us of a table\n"
        "endpoints  estab   open  drain  batch      build     join    leave "
        "unchanged     bytes  busiest\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct measurements f = {.endpoints = sizes[i]};
        measure(&f, config, packets);
        printf("%9zu %6.1f %6.1f %6.1f %6.1f %10.0f %8.0f %8.0f %9.0f "
               "%9zu %8.2f\n",
               f.endpoints, f.established_ns, f.open_ns, f.drain_ns,
               f.batch_ns, f.build_us, f.join_us, f.leave_us, f.unchanged_us,
               f.bytes, f.max_load_ratio);
        g_string_append_printf(json, "\"lookup_ns_%zu\": %.1f, ", sizes[i],
                               f.established_ns);
    }
    long growth = measure_flows(config);
    printf("resident memory grew by %ld bytes over %d distinct flows\n",
           growth, FLOW_COUNT);
    printf("{%s\"flow_bytes\": %.3f}\n", json->str,
           (double)growth / FLOW_COUNT);
    g_string_free(json, TRUE);
    service_config_free(config);
    g_free(packets);
    return 0;
}
