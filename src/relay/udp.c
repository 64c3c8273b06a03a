#include "relay/udp.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Room for the bursts that arrive while a host of a twentieth of a core
 * reads a large configuration. */
#define SOCKET_BUFFER (1 << 20)

/**
 * struct udp_buffers - two batches
 * @in: datagrams read
 * @out: datagrams to be sent
 */
struct udp_buffers {
    struct mmsghdr in_heads[UDP_BATCH];
    struct iovec in_parts[UDP_BATCH];
    struct sockaddr_in in_addrs[UDP_BATCH];
    uint8_t in[UDP_BATCH][FRAME_MAX];
    struct mmsghdr out_heads[UDP_BATCH];
    struct iovec out_parts[UDP_BATCH];
    struct sockaddr_in out_addrs[UDP_BATCH];
    uint8_t out[UDP_BATCH][FRAME_MAX];
};

static void
link_buffers(struct udp_buffers *buffers)
{
    for (unsigned i = 0; i < UDP_BATCH; i++) {
        buffers->in_parts[i] = (struct iovec){buffers->in[i], FRAME_MAX};
        buffers->in_heads[i].msg_hdr = (struct msghdr){
            .msg_name = &buffers->in_addrs[i],
            .msg_namelen = sizeof(buffers->in_addrs[i]),
            .msg_iov = &buffers->in_parts[i],
            .msg_iovlen = 1,
        };
        buffers->out_parts[i].iov_base = buffers->out[i];
        buffers->out_heads[i].msg_hdr = (struct msghdr){
            .msg_name = &buffers->out_addrs[i],
            .msg_namelen = sizeof(buffers->out_addrs[i]),
            .msg_iov = &buffers->out_parts[i],
            .msg_iovlen = 1,
        };
    }
}

/* Reads one batch; how many datagrams it held. */
static int
read_batch(struct udp *udp)
{
    struct udp_buffers *buffers = udp->buffers;
    int count;

    for (unsigned i = 0; i < UDP_BATCH; i++) {
        buffers->in_heads[i].msg_hdr.msg_namelen =
            sizeof(buffers->in_addrs[i]);
    }
    count =
        recvmmsg(udp->fd, buffers->in_heads, UDP_BATCH, MSG_DONTWAIT, NULL);
    for (int i = 0; i < count; i++) {
        udp->ops->datagram(udp, addr_from_sockaddr(&buffers->in_addrs[i]),
                           buffers->in[i], buffers->in_heads[i].msg_len);
    }
    return count;
}

static void
on_readable(evutil_socket_t fd, short events, void *data)
{
    struct udp *udp = data;

    /* One batch a turn: the other sockets get theirs in between. */
    read_batch(udp);
    udp->ops->drained(udp);
}

static int
open_socket(struct udp *udp, struct addr addr)
{
    struct sockaddr_in sin = addr_to_sockaddr(addr);
    socklen_t len = sizeof(sin);
    int size = SOCKET_BUFFER;

    udp->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (udp->fd < 0) {
        return -errno;
    }
    /* A smaller buffer only drops earlier. */
    (void)setsockopt(udp->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(udp->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
        getsockname(udp->fd, (struct sockaddr *)&sin, &len) < 0) {
        return -errno;
    }
    udp->addr = addr_from_sockaddr(&sin);
    return 0;
}

int
udp_init(struct udp *udp, const struct udp_ops *ops, void *owner,
         struct event_base *base, struct addr addr, struct error *err)
{
    char text[ADDR_TEXT_MAX];
    int ret;

    *udp = (struct udp){.ops = ops, .owner = owner, .fd = -1};
    udp->buffers = calloc(1, sizeof(*udp->buffers));
    ret = udp->buffers != NULL ? open_socket(udp, addr) : -ENOMEM;
    if (ret < 0) {
        goto err;
    }
    link_buffers(udp->buffers);
    udp->event =
        event_new(base, udp->fd, EV_READ | EV_PERSIST, on_readable, udp);
    if (udp->event == NULL || event_add(udp->event, NULL) < 0) {
        ret = -ENOMEM;
        goto err;
    }
    return 0;

err:
    udp_finish(udp);
    return error_set(err, ret, "open a datagram socket",
                     addr_format(addr, text), "it can't be bound");
}

void
udp_finish(struct udp *udp)
{
    if (udp->event != NULL) {
        event_free(udp->event);
    }
    if (udp->fd >= 0) {
        close(udp->fd);
    }
    free(udp->buffers);
    udp->event = NULL;
    udp->buffers = NULL;
    udp->fd = -1;
}

void
udp_send(struct udp *udp, struct addr to, const uint8_t *bytes, size_t size)
{
    if (size <= FRAME_MAX) {
        memcpy(udp_buffer(udp), bytes, size);
        udp_queue(udp, to, size);
    }
}

uint8_t *
udp_buffer(struct udp *udp)
{
    if (udp->queued == UDP_BATCH) {
        udp_flush(udp);
    }
    return udp->buffers->out[udp->queued];
}

void
udp_queue(struct udp *udp, struct addr to, size_t size)
{
    udp->buffers->out_addrs[udp->queued] = addr_to_sockaddr(to);
    udp->buffers->out_parts[udp->queued].iov_len = size;
    udp->queued++;
}

void
udp_flush(struct udp *udp)
{
    unsigned sent = 0;

    while (sent < udp->queued) {
        int count = sendmmsg(udp->fd, &udp->buffers->out_heads[sent],
                             udp->queued - sent, MSG_DONTWAIT);

        if (count <= 0) {
            /* The first can't be sent: a full buffer, or a host that is
             * unreachable; its sender's timeouts cover it. */
            udp->lost++;
            count = 1;
        }
        sent += (unsigned)count;
    }
    udp->queued = 0;
}

void
udp_poll(struct udp *udp)
{
    while (read_batch(udp) == UDP_BATCH) {
    }
}
