#include "relay/program/probe.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/util.h>

/* A process on the same host accepts or refuses a connection far sooner; a
 * timeout proves nothing. */
static const struct timeval connect_timeout = {.tv_usec = 100000};

static void
close_probe(struct probe *probe)
{
    if (probe->event != NULL) {
        event_free(probe->event);
        probe->event = NULL;
    }
    if (probe->fd >= 0) {
        close(probe->fd);
        probe->fd = -1;
    }
}

static void
report_result(struct probe *probe, int error)
{
    close_probe(probe);
    probe->ops->ended(probe, error == ECONNREFUSED);
}

static void
on_writable(evutil_socket_t fd, short events, void *arg)
{
    struct probe *probe = arg;
    int error = 0;
    socklen_t len = sizeof(error);

    if ((events & EV_TIMEOUT) != 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0) {
        error = ETIMEDOUT;
    }
    report_result(probe, error);
}

void
probe_init(struct probe *probe, const struct probe_ops *ops,
           struct event_base *base, struct addr peer)
{
    *probe = (struct probe){ops, base, peer, -1, NULL};
}

void
probe_finish(struct probe *probe)
{
    close_probe(probe);
}

void
probe_start(struct probe *probe)
{
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_port = htons(probe->peer.port),
        .sin_addr.s_addr = htonl(probe->peer.ip),
    };

    if (probe->fd >= 0) {
        return;
    }
    probe->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (probe->fd < 0) {
        return;
    }
    if (connect(probe->fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
        errno != EINPROGRESS) {
        report_result(probe, errno);
        return;
    }
    probe->event =
        event_new(probe->base, probe->fd, EV_WRITE, on_writable, probe);
    if (probe->event == NULL ||
        event_add(probe->event, &connect_timeout) < 0) {
        close_probe(probe);
    }
}
