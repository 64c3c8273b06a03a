#include "lib/loopback.h"

#include <sys/socket.h>
#include <unistd.h>

int
loopback_open(int type, struct addr *addr)
{
    struct sockaddr_in sin = addr_to_sockaddr((struct addr){LOOPBACK, 0});
    socklen_t len = sizeof(sin);
    struct timeval wait = {.tv_sec = LOOPBACK_RECEIVE_S};
    int fd = socket(AF_INET, type, 0);

    g_assert_cmpint(bind(fd, (struct sockaddr *)&sin, len), ==, 0);
    g_assert_cmpint(getsockname(fd, (struct sockaddr *)&sin, &len), ==, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    *addr = addr_from_sockaddr(&sin);
    return fd;
}

struct addr
loopback_closed(int type)
{
    struct addr addr;

    close(loopback_open(type, &addr));
    return addr;
}

void
loopback_send(int fd, struct addr to, const void *bytes, size_t len)
{
    struct sockaddr_in sin = addr_to_sockaddr(to);

    g_assert_cmpint(
        sendto(fd, bytes, len, 0, (struct sockaddr *)&sin, sizeof(sin)), ==,
        (ssize_t)len);
}
