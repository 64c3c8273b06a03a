/**
 * DOC: worker - threads that forward packets
 *
 * Each worker has a UDP socket of its own on the same address
 * (SO_REUSEPORT); a filter hands all packets of one flow to one worker.
 * A worker takes a batch of packets, decides about each in place and sends
 * the batch on. The new encapsulation is written into the room before the
 * packet, so nothing is copied. For each packet it takes no lock and
 * allocates nothing (but for traces, when they are on).
 */
#ifndef SWIFTARCH_BALANCER_WORKER_H
#define SWIFTARCH_BALANCER_WORKER_H

#include <stddef.h>
#include <stdint.h>

#include "balancer/route.h"
#include "base/addr.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/trace.h"
#include "directory/table.h"
#include "packet/packet.h"

#define WORKER_BATCH 64
#define WORKERS_MAX COUNTER_WORKERS_MAX

/*
 * An endpoint seen for less than this is not reported as gone: the refusal
 * may be about the process that had its address before.
 */
#define WORKER_REFUSAL_MIN_AGE_US (1 * USEC_PER_SEC)

struct worker;
struct worker_owner;

/** struct worker_ops - what the owner of a pool is told, by any worker */
struct worker_ops {
    /** @on_refused: the kernel proved that nobody takes packets there */
    void (*on_refused)(struct worker_owner *owner, uint64_t member,
                       uint64_t incarnation);
};

/** struct worker_owner - owner of a pool; the vtable comes first */
struct worker_owner {
    const struct worker_ops *ops;
};

/**
 * struct worker_pool - the workers of a process
 * @owner: told of refusals
 * @clock: time for cold starts and traces
 * @counters: table of the counters below
 * @trace: where spans go
 * @table: table in force or NULL; read under RCU
 * @directory: where the table of other cells is published, or NULL; set
 *             before worker_pool_start()
 * @stopping: set once, tells the workers to end
 * @count: workers
 * @workers: the workers
 * @addr: address they take packets at
 * @received: counter of packets that came
 * @forwarded: counter of packets sent on
 * @to_cells: counter of packets sent on to other cells
 * @from_cells: counter of packets that other cells sent on
 * @refused: counter of refusals that the kernel told
 * @dropped: counter for each reason
 */
struct worker_pool {
    struct worker_owner *owner;
    struct clock *clock;
    struct counter_table *counters;
    struct trace *trace;
    struct route_table *table;
    struct directory_table *const *directory;
    int stopping;
    unsigned count;
    struct worker *workers;
    struct addr addr;
    int received;
    int forwarded;
    int to_cells;
    int from_cells;
    int refused;
    int dropped[PACKET_DROP_COUNT];
};

/**
 * worker_pool_init() - open the sockets and register the counters
 * @listen: address; with port 0 the kernel picks one (see @addr)
 * @count: 1..WORKERS_MAX
 *
 * The owner, clock, counters and trace are kept.
 *
 * Return: 0 or a negative errno with @err filled.
 */
int
worker_pool_init(struct worker_pool *pool, struct addr listen, unsigned count,
                 struct worker_owner *owner, struct clock *clock,
                 struct counter_table *counters, struct trace *trace,
                 struct error *err);

/** worker_pool_start() - start the threads; 0 or a negative errno */
int
worker_pool_start(struct worker_pool *pool, struct error *err);

/**
 * worker_pool_publish() - put a table in force and free the one before
 *
 * Waits for a grace period; not inside an RCU read section. Called by the
 * thread that builds the tables.
 */
void
worker_pool_publish(struct worker_pool *pool, struct route_table *table);

/** worker_pool_last_packet_us() - clock when the latest packet came, 0 for
 * never */
uint64_t
worker_pool_last_packet_us(const struct worker_pool *pool);

/** worker_pool_finish() - end the threads, close sockets, free the table */
void
worker_pool_finish(struct worker_pool *pool);

#endif
