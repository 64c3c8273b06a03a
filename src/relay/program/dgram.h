/**
 * DOC: dgram - UDP socket that receives and sends in batches
 *
 * Datagrams are queued and sent with one system call, usually after each
 * received batch.
 */
#ifndef SWIFTARCH_RELAY_PROGRAM_DGRAM_H
#define SWIFTARCH_RELAY_PROGRAM_DGRAM_H

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "relay/wire/frame.h"

/* Datagrams in a batch. */
#define DGRAM_BATCH 32

struct dgram;

/** struct dgram_ops - callbacks into the owner */
struct dgram_ops {
    /** @datagram: a datagram was received; @bytes are valid until the return
     */
    void (*datagram)(struct dgram *dgram, struct addr from,
                     const uint8_t *bytes, size_t size);
    /** @batch_done: all datagrams of a batch have been handled */
    void (*batch_done)(struct dgram *dgram);
};

struct dgram_buffers;

/**
 * struct dgram - a bound socket and its queue
 * @ops: callbacks into the owner
 * @owner: for the owner's use
 * @fd: the socket, -1 for none
 * @event: read event
 * @addr: address the socket is bound to
 * @buffers: one received and one queued batch
 * @queued: number of queued datagrams
 * @send_failures: datagrams dropped because the kernel refused them
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

/** dgram_init() - bind to @addr and receive on @base; 0 or a negative errno
 * with @err set */
int
dgram_init(struct dgram *dgram, const struct dgram_ops *ops, void *owner,
           struct event_base *base, struct addr addr, struct error *err);

/** dgram_finish() - close the socket; queued datagrams are dropped */
void
dgram_finish(struct dgram *dgram);

/** dgram_send() - queue a copy of a datagram; larger than FRAME_MAX is dropped
 */
void
dgram_send(struct dgram *dgram, struct addr to, const uint8_t *bytes,
           size_t size);

/**
 * dgram_buffer() - buffer of FRAME_MAX bytes for the next datagram
 *
 * Flushes first if the queue is full. Fill the buffer, then call
 * dgram_queue().
 */
uint8_t *
dgram_buffer(struct dgram *dgram);

/** dgram_queue() - queue the datagram in dgram_buffer() */
void
dgram_queue(struct dgram *dgram, struct addr to, size_t size);

/** dgram_flush() - send all queued datagrams */
void
dgram_flush(struct dgram *dgram);

/** dgram_poll() - handle all pending datagrams, without blocking */
void
dgram_poll(struct dgram *dgram);

#endif
