/**
 * DOC: dgram - a datagram socket that reads and writes in batches
 *
 * Each system call is paid for, so what a batch of datagrams leads to is
 * sent with one call at its end.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_DGRAM_H
#define SWIFTARCH_RELAY_PROGRAM_DGRAM_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "relay/wire/frame.h"

#define DGRAM_BATCH 32

struct dgram;

/** struct dgram_ops - what the owner is told */
struct dgram_ops {
    /** @datagram: one came */
    void (*datagram)(struct dgram *dgram, struct addr from,
                     const uint8_t *bytes, size_t size);
    /** @batch_done: all of a batch were told */
    void (*batch_done)(struct dgram *dgram);
};

struct dgram_buffers;

/**
 * struct dgram - the socket; the vtable comes first
 * @ops: the owner
 * @owner: for the owner's use
 * @fd: the socket
 * @event: tells when it is readable
 * @addr: address it is bound to
 * @buffers: room for two batches
 * @queued: datagrams to be sent
 * @send_failures: datagrams that the kernel didn't take
 */
struct dgram {
    const struct dgram_ops *ops;
    void *owner;
    int fd;
    struct event *event;
    struct addr addr;
    struct dgram_buffers *buffers;
    unsigned queued;
    uint64_t send_failures;
};

/** dgram_init() - bind to @addr and read on @base */
int
dgram_init(struct dgram *dgram, const struct dgram_ops *ops, void *owner,
           struct event_base *base, struct addr addr, struct error *err);

/** dgram_finish() - close the socket */
void
dgram_finish(struct dgram *dgram);

/** dgram_send() - queue a datagram (copied); sent with dgram_flush() */
void
dgram_send(struct dgram *dgram, struct addr to, const uint8_t *bytes,
           size_t size);

/** dgram_buffer() - FRAME_MAX bytes to write the next datagram into; then
 * dgram_queue() it */
uint8_t *
dgram_buffer(struct dgram *dgram);

/** dgram_queue() - queue what was written to dgram_buffer() */
void
dgram_queue(struct dgram *dgram, struct addr to, size_t size);

/** dgram_flush() - send all that is queued */
void
dgram_flush(struct dgram *dgram);

/** dgram_poll() - read what waits, without waiting for more */
void
dgram_poll(struct dgram *dgram);

#endif
