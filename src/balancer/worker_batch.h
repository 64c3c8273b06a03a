/**
 * DOC: worker_batch - routes a batch of packets in place
 *
 * Does no I/O: received packets are in @in, packets to send in @out. Each
 * buffer has headroom for the largest encapsulation before the packet.
 */
#ifndef SWIFTARCH_BALANCER_WORKER_BATCH_H
#define SWIFTARCH_BALANCER_WORKER_BATCH_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include "balancer/route.h"
#include "base/trace.h"
#include "directory/cell_forward.h"
#include "directory/table.h"
#include "packet/gue.h"
#include "packet/packet.h"

#define WORKER_BATCH 64 /* packets */

#define BATCH_BARE_GUE_LEN 4 /* GUE header of received packets, bytes */
#define BATCH_HEADROOM (GUE_HEADER_MAX - BATCH_BARE_GUE_LEN)

/* One extra byte, to detect packets longer than PACKET_MAX. */
#define BATCH_BUFFER_SIZE (GUE_HEADER_MAX + PACKET_MAX + 1)

/** struct batch_buffer - one packet with its headroom */
struct batch_buffer {
    _Alignas(64) uint8_t bytes[BATCH_BUFFER_SIZE];
};

/**
 * struct worker_batch - WORKER_BATCH packets
 * @in: messages for recvmmsg(), received behind the headroom
 * @in_iov: I/O vectors of @in
 * @out: messages for sendmmsg(), the first @out_count are used
 * @out_iov: I/O vectors of @out
 * @out_to: destinations of @out
 * @out_count: packets to send
 * @drops: packets dropped in this batch, by reason
 * @directory: table of the region's other cells, or NULL; set before each
 *             batch
 * @refused_gateways: gateways of other cells that refused packets
 * @to_cells: packets of this batch for other cells
 * @from_cells: packets of this batch from other cells
 * @buffers: packet memory
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

/** worker_batch_init() - clear the batch and set up its messages */
void
worker_batch_init(struct worker_batch *batch);

/**
 * worker_batch_decide() - route the first @count messages of @in
 * @table: current route table, or NULL to drop all packets
 * @trace: receives the spans of sampled requests
 * @now_us: current time
 *
 * Fills @out and the counts.
 */
void
worker_batch_decide(struct worker_batch *batch, unsigned count,
                    const struct route_table *table, struct trace *trace,
                    uint64_t now_us);

#endif
