#include "balancer/worker_socket.h"

#include <errno.h>
#include <linux/errqueue.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define SOCKET_BUFFER (4 << 20) /* bytes */
#define CONTROL_SIZE 256

/* Offsets into the UDP payload: bare GUE, then IPv4 without options */
#define OFFSET_SRC (4 + 12)
#define OFFSET_PORTS (4 + 20)
#define HASH_MULTIPLIER_32 0x9e3779b1u

/* Receive timeout, after which a worker checks whether to stop */
#define WORKER_WAIT_MS 20

static int
set_int(int fd, int level, int name, int value)
{
    return setsockopt(fd, level, name, &value, sizeof(value));
}

static int
set_options(int fd)
{
    struct timeval wait = {.tv_usec = WORKER_WAIT_MS * 1000};

    /* Best effort: the kernel limits the buffer sizes. */
    set_int(fd, SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER);
    set_int(fd, SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER);
    if (set_int(fd, IPPROTO_IP, IP_RECVERR, 1) < 0)
        return -1;
    return setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
}

static int
set_reuseport(int fd)
{
    return set_int(fd, SOL_SOCKET, SO_REUSEPORT, 1);
}

static int
bind_to(int fd, struct addr *addr, bool first)
{
    struct sockaddr_in sin = addr_to_sockaddr(*addr);
    socklen_t len = sizeof(sin);

    if (!first && set_reuseport(fd) < 0)
        return -1;
    if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 ||
        getsockname(fd, (struct sockaddr *)&sin, &len) < 0)
        return -1;
    if (first && set_reuseport(fd) < 0)
        return -1;
    *addr = addr_from_sockaddr(&sin);
    return 0;
}

/* Whether a message of the error queue reports ECONNREFUSED by ICMP */
static bool
is_refusal(struct msghdr *msg)
{
    struct cmsghdr *cmsg = CMSG_FIRSTHDR(msg);

    for (; cmsg != NULL; cmsg = CMSG_NXTHDR(msg, cmsg)) {
        struct sock_extended_err error;
        if (cmsg->cmsg_level != IPPROTO_IP || cmsg->cmsg_type != IP_RECVERR)
            continue;
        memcpy(&error, CMSG_DATA(cmsg), sizeof(error));
        return error.ee_origin == SO_EE_ORIGIN_ICMP &&
               error.ee_errno == ECONNREFUSED;
    }
    return false;
}

int
worker_socket_open(struct addr *addr, bool first, struct error *err)
{
    char text[ADDR_TEXT_MAX];
    int code;
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

    if (fd >= 0 && set_options(fd) == 0 && bind_to(fd, addr, first) == 0)
        return fd;

    code = -errno;
    if (fd >= 0)
        close(fd);
    return error_set(err, code, "open packet socket", addr_format(*addr, text),
                     "can't open a UDP socket at the address");
}

int
worker_socket_attach_filter(int fd, unsigned count)
{
    /* For a packet too short for the loads the filter returns socket 0. */
    struct sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, OFFSET_SRC),
        BPF_STMT(BPF_MISC | BPF_TAX, 0),
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, OFFSET_PORTS),
        BPF_STMT(BPF_ALU | BPF_XOR | BPF_X, 0),
        BPF_STMT(BPF_ALU | BPF_MUL | BPF_K, HASH_MULTIPLIER_32),
        BPF_STMT(BPF_ALU | BPF_RSH | BPF_K, 16),
        BPF_STMT(BPF_ALU | BPF_MOD | BPF_K, count),
        BPF_STMT(BPF_RET | BPF_A, 0),
    };
    struct sock_fprog program = {
        .len = sizeof(code) / sizeof(code[0]),
        .filter = code,
    };

    if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program,
                   sizeof(program)) < 0)
        return -errno;
    return 0;
}

bool
worker_socket_next_refused(int fd, struct addr *addr)
{
    struct sockaddr_in sin;
    uint8_t control[CONTROL_SIZE];

    for (;;) {
        struct msghdr msg = {
            .msg_name = &sin,
            .msg_namelen = sizeof(sin),
            .msg_control = control,
            .msg_controllen = sizeof(control),
        };
        if (recvmsg(fd, &msg, MSG_ERRQUEUE | MSG_DONTWAIT) < 0)
            return false;
        if (!is_refusal(&msg) || msg.msg_namelen < sizeof(sin))
            continue;
        *addr = addr_from_sockaddr(&sin);
        return true;
    }
}
