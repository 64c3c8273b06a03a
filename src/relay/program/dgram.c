#include "relay/program/dgram.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Receive buffer; absorbs bursts that arrive while a slow host decodes a large
 * configuration. */
#define RECEIVE_BUFFER_BYTES (1 << 20)

/**
 * struct dgram_buffers - buffers for one received and one queued batch
 * @in: datagrams received
 * @out: datagrams to send
 */
struct dgram_buffers {
    struct mmsghdr in_headers[DGRAM_BATCH];
    struct iovec in_iovecs[DGRAM_BATCH];
    struct sockaddr_in in_addrs[DGRAM_BATCH];
    uint8_t in[DGRAM_BATCH][FRAME_MAX];
    struct mmsghdr out_headers[DGRAM_BATCH];
    struct iovec out_iovecs[DGRAM_BATCH];
    struct sockaddr_in out_addrs[DGRAM_BATCH];
    uint8_t out[DGRAM_BATCH][FRAME_MAX];
};

static void
init_buffers(struct dgram_buffers *buffers)
{
    for (unsigned i = 0; i < DGRAM_BATCH; i++) {
        buffers->in_iovecs[i] = (struct iovec){buffers->in[i], FRAME_MAX};
        buffers->in_headers[i].msg_hdr = (struct msghdr){
            .msg_name = &buffers->in_addrs[i],
            .msg_namelen = sizeof(buffers->in_addrs[i]),
            .msg_iov = &buffers->in_iovecs[i],
            .msg_iovlen = 1,
        };
        buffers->out_iovecs[i].iov_base = buffers->out[i];
        buffers->out_headers[i].msg_hdr = (struct msghdr){
            .msg_name = &buffers->out_addrs[i],
            .msg_namelen = sizeof(buffers->out_addrs[i]),
            .msg_iov = &buffers->out_iovecs[i],
            .msg_iovlen = 1,
        };
    }
}

/* Reads one batch. Returns the number of datagrams, -1 for none or an error.
 */
static int
read_batch(struct dgram *dgram)
{
    struct dgram_buffers *buffers = dgram->buffers;
    int count;

    for (unsigned i = 0; i < DGRAM_BATCH; i++) {
        buffers->in_headers[i].msg_hdr.msg_namelen =
            sizeof(buffers->in_addrs[i]);
    }
    count = recvmmsg(dgram->fd, buffers->in_headers, DGRAM_BATCH, MSG_DONTWAIT,
                     NULL);
    for (int i = 0; i < count; i++) {
        dgram->ops->datagram(dgram, addr_from_sockaddr(&buffers->in_addrs[i]),
                             buffers->in[i], buffers->in_headers[i].msg_len);
    }
    return count;
}

static void
on_readable(evutil_socket_t fd, short events, void *data)
{
    struct dgram *dgram = data;

    /* One batch per event, so that other sockets are not starved. */
    read_batch(dgram);
    dgram->ops->batch_done(dgram);
}

static int
open_socket(struct dgram *dgram, struct addr addr)
{
    struct sockaddr_in sin = addr_to_sockaddr(addr);
    socklen_t len = sizeof(sin);
    int size = RECEIVE_BUFFER_BYTES;

    dgram->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (dgram->fd < 0) {
        return -errno;
    }
    /* Not fatal: a smaller buffer only drops datagrams earlier. */
    (void)setsockopt(dgram->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(dgram->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
        getsockname(dgram->fd, (struct sockaddr *)&sin, &len) < 0) {
        return -errno;
    }
    dgram->addr = addr_from_sockaddr(&sin);
    return 0;
}

int
dgram_init(struct dgram *dgram, const struct dgram_ops *ops, void *owner,
           struct event_base *base, struct addr addr, struct error *err)
{
    char text[ADDR_TEXT_MAX];
    int ret;

    *dgram = (struct dgram){.ops = ops, .owner = owner, .fd = -1};
    dgram->buffers = calloc(1, sizeof(*dgram->buffers));
    ret = dgram->buffers != NULL ? open_socket(dgram, addr) : -ENOMEM;
    if (ret < 0) {
        goto err;
    }
    init_buffers(dgram->buffers);
    dgram->event =
        event_new(base, dgram->fd, EV_READ | EV_PERSIST, on_readable, dgram);
    if (dgram->event == NULL || event_add(dgram->event, NULL) < 0) {
        ret = -ENOMEM;
        goto err;
    }
    return 0;

err:
    dgram_finish(dgram);
    return error_set(err, ret, "open a datagram socket",
                     addr_format(addr, text),
                     "the socket can't be created or bound");
}

void
dgram_finish(struct dgram *dgram)
{
    if (dgram->event != NULL) {
        event_free(dgram->event);
    }
    if (dgram->fd >= 0) {
        close(dgram->fd);
    }
    free(dgram->buffers);
    dgram->event = NULL;
    dgram->buffers = NULL;
    dgram->fd = -1;
}

void
dgram_send(struct dgram *dgram, struct addr to, const uint8_t *bytes,
           size_t size)
{
    if (size <= FRAME_MAX) {
        memcpy(dgram_buffer(dgram), bytes, size);
        dgram_queue(dgram, to, size);
    }
}

uint8_t *
dgram_buffer(struct dgram *dgram)
{
    if (dgram->queued == DGRAM_BATCH) {
        dgram_flush(dgram);
    }
    return dgram->buffers->out[dgram->queued];
}

void
dgram_queue(struct dgram *dgram, struct addr to, size_t size)
{
    dgram->buffers->out_addrs[dgram->queued] = addr_to_sockaddr(to);
    dgram->buffers->out_iovecs[dgram->queued].iov_len = size;
    dgram->queued++;
}

void
dgram_flush(struct dgram *dgram)
{
    unsigned sent = 0;

    while (sent < dgram->queued) {
        int count = sendmmsg(dgram->fd, &dgram->buffers->out_headers[sent],
                             dgram->queued - sent, MSG_DONTWAIT);

        if (count <= 0) {
            /* The first datagram can't be sent (full buffer or unreachable
             * host). Skip it: the protocol's timeouts cover the loss. */
            dgram->send_failures++;
            count = 1;
        }
        sent += (unsigned)count;
    }
    dgram->queued = 0;
}

void
dgram_poll(struct dgram *dgram)
{
    while (read_batch(dgram) == DGRAM_BATCH) {
    }
}
