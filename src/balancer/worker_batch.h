/**
 * DOC: worker_batch - a batch of packets, decided about in place
 *
 * Pure but for the memory it owns: what came is in @in, what is to be sent
 * is in @out. Each buffer has room for the largest header before the
 * packet.
 */
#ifndef SWIFTARCH_BALANCER_WORKER_BATCH_H
#define SWIFTARCH_BALANCER_WORKER_BATCH_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include "balancer/route.h"
#include "balancer/worker.h"
#include "base/trace.h"
#include "directory/cell_forward.h"
#include "directory/table.h"
#include "packet/gue.h"
#include "packet/packet.h"

#define BATCH_BARE_GUE_LEN 4 /* bare GUE header of what comes */
#define BATCH_HEADROOM (GUE_HEADER_MAX - BATCH_BARE_GUE_LEN)

/* One byte more than allowed, so that too long packets are seen as such */
#define BATCH_BUFFER_SIZE (GUE_HEADER_MAX + PACKET_MAX + 1)

/** struct batch_buffer - one packet with the room before it */
struct batch_buffer {
    _Alignas(64) uint8_t bytes[BATCH_BUFFER_SIZE];
};

/**
 * struct worker_batch - WORKER_BATCH packets
 * @in: for recvmmsg(); each points behind the headroom of its buffer
 * @in_iov: their parts
 * @out: for sendmmsg(), the first @out_count
 * @out_iov: their parts
 * @out_to: their destinations
 * @out_count: packets to send
 * @drops: packets dropped in this batch, for each reason
 * @directory: of the other cells of the region, or NULL; set before each
 *             batch
 * @refused_gateways: gateways of other cells that refused packets
 * @to_cells: packets of this batch that go to gateways of other cells
 * @from_cells: packets that came from other cells
 * @buffers: the buffers
 */
struct worker_batch {
    struct mmsghdr in[WORKER_BATCH];
    struct iovec in_iov[WORKER_BATCH];
    struct mmsghdr out[WORKER_BATCH];
    struct iovec out_iov[WORKER_BATCH];
    struct sockaddr_in out_to[WORKER_BATCH];
    unsigned out_count;
    uint32_t drops[PACKET_DROP_COUNT];
    const struct directory_table *directory;
    struct cell_forward_refused refused_gateways;
    uint32_t to_cells;
    uint32_t from_cells;
    struct batch_buffer buffers[WORKER_BATCH];
};

/** worker_batch_init() - point the messages to the buffers */
void
worker_batch_init(struct worker_batch *batch);

/**
 * worker_batch_decide() - decide about the first @count messages of @in
 * @table: table in force, or NULL (all are dropped)
 * @trace: spans of sampled requests go there
 *
 * Fills @out and @drops.
 */
void
worker_batch_decide(struct worker_batch *batch, unsigned count,
                    const struct route_table *table, struct trace *trace,
                    uint64_t now_us);

#endif
