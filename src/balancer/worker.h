/**
 * DOC: worker - threads that forward packets
 *
 * Each worker has its own UDP socket on a common address (SO_REUSEPORT); a
 * socket filter delivers all packets of a flow to one worker. A worker
 * receives a batch, writes each packet's new encapsulation into the headroom
 * before the packet, and sends the batch. Packets are not copied; unless
 * tracing is on, a packet takes no lock and no allocation.
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

#define WORKERS_MAX COUNTER_WORKERS_MAX

/*
 * An endpoint first seen less than this ago is not reported as refusing: the
 * refusal may concern an earlier process on the same address.
 */
#define WORKER_REFUSAL_MIN_AGE_US (1 * USEC_PER_SEC)

struct worker;
struct worker_owner;

/** struct worker_ops - callbacks of a pool, called on any worker thread */
struct worker_ops {
    /** @on_refused: no process listens at the endpoint's data address */
    void (*on_refused)(struct worker_owner *owner, uint64_t member,
                       uint64_t incarnation);
};

/** struct worker_owner - base of a pool's owner */
struct worker_owner {
    const struct worker_ops *ops;
};

/**
 * struct worker_pool - packet workers of a process
 * @owner: receives refusals
 * @clock: time source
 * @counters: table of the counters below
 * @trace: span writer
 * @table: current route table or NULL; read under RCU
 * @directory: pointer to the published table of other cells, or NULL; set
 *             before worker_pool_start()
 * @stopping: set once to end the workers; atomic
 * @count: number of workers
 * @workers: workers
 * @addr: address of the packet sockets
 * @received: counter of packets received
 * @forwarded: counter of packets sent, to_cells included
 * @to_cells: counter of packets forwarded to other cells
 * @from_cells: counter of packets received from other cells
 * @refused: counter of refusals reported by the kernel
 * @dropped: counters of dropped packets by reason
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
 * @listen: address; for port 0 the kernel assigns one, see worker_pool.addr
 * @count: number of workers, 1 to WORKERS_MAX
 *
 * The pool keeps pointers to the owner, clock, counters and trace.
 *
 * Return: 0 or a negative errno with @err filled.
 */
int
worker_pool_init(struct worker_pool *pool, struct addr listen, unsigned count,
                 struct worker_owner *owner, struct clock *clock,
                 struct counter_table *counters, struct trace *trace,
                 struct error *err);

/**
 * worker_pool_start() - start the threads
 *
 * Return: 0 or a negative errno with @err filled.
 */
int
worker_pool_start(struct worker_pool *pool, struct error *err);

/**
 * worker_pool_publish() - replace the route table and free the previous one
 *
 * Takes ownership of @table. Waits for a grace period, so it must not run
 * inside an RCU read section. Called by the thread that builds the tables.
 */
void
worker_pool_publish(struct worker_pool *pool, struct route_table *table);

/** worker_pool_last_packet_us() - arrival time of the latest packet, 0 before
 * the first */
uint64_t
worker_pool_last_packet_us(const struct worker_pool *pool);

/** worker_pool_finish() - stop the threads, close the sockets and free the
 * table */
void
worker_pool_finish(struct worker_pool *pool);

#endif
