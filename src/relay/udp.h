/**
 * DOC: udp - a datagram socket that reads and writes in batches
 *
 * Each system call is paid for, so what a batch of datagrams leads to is
 * sent with one call at its end.
 */
#ifndef SWIFTARCH_RELAY_UDP_H
#define SWIFTARCH_RELAY_UDP_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "relay/frame.h"

#define UDP_BATCH 32

struct udp;

/** struct udp_ops - what the owner is told */
struct udp_ops {
    /** @datagram: one came */
    void (*datagram)(struct udp *udp, struct addr from, const uint8_t *bytes,
                     size_t size);
    /** @drained: all of a batch were told */
    void (*drained)(struct udp *udp);
};

struct udp_buffers;

/**
 * struct udp - the socket; the vtable comes first
 * @ops: the owner
 * @owner: for the owner's use
 * @fd: the socket
 * @event: tells when it is readable
 * @addr: address it is bound to
 * @buffers: room for two batches
 * @queued: datagrams to be sent
 * @lost: datagrams that the kernel didn't take
 */
struct udp {
    const struct udp_ops *ops;
    void *owner;
    int fd;
    struct event *event;
    struct addr addr;
    struct udp_buffers *buffers;
    unsigned queued;
    uint64_t lost;
};

/** udp_init() - bind to @addr and read on @base */
int
udp_init(struct udp *udp, const struct udp_ops *ops, void *owner,
         struct event_base *base, struct addr addr, struct error *err);

/** udp_finish() - close the socket */
void
udp_finish(struct udp *udp);

/** udp_send() - queue a datagram (copied); sent with udp_flush() */
void
udp_send(struct udp *udp, struct addr to, const uint8_t *bytes, size_t size);

/** udp_buffer() - FRAME_MAX bytes to write the next datagram into; then
 * udp_queue() it */
uint8_t *
udp_buffer(struct udp *udp);

/** udp_queue() - queue what was written to udp_buffer() */
void
udp_queue(struct udp *udp, struct addr to, size_t size);

/** udp_flush() - send all that is queued */
void
udp_flush(struct udp *udp);

/** udp_poll() - read what waits, without waiting for more */
void
udp_poll(struct udp *udp);

#endif
