/**
 * DOC: bench_agent_flows - memory that idle flows take in an agent
 *
 * Acts as callers, fabric and balancer of one running agent: opens flows with
 * its own TCP stack, sends one request on each, leaves them idle, and compares
 * the resident memory that the agent reports before and after.
 */
#include <argtable2.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/hash.h"
#include "packet/gue.h"
#include "stack/stack.h"

#define CALLER_NET 0x0a630001u /* 10.99.0.1 */
#define FLOWS_PER_CALLER 100
#define FLOWS_MAX 20000
#define CONCURRENCY_MAX 32
#define PORT_FIRST 20000
#define PACKET_BUF 2048
#define SETTLE_US (3 * G_USEC_PER_SEC)
#define TIMEOUT_US (120 * G_USEC_PER_SEC)

enum exit_code { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

/** struct flow - a flow of a caller */
struct flow {
    struct stack_conn *conn;
    bool answered;
};

/**
 * struct bench - state of a run
 * @owner: callbacks of the stack; first member
 * @fd: socket at the fabric's address
 * @agent: packet address of the agent
 * @http: HTTP address of the agent
 * @service: address of the service
 * @hops: hop list of the agent only
 * @count: flows to open
 * @opened: flows that were begun
 * @answered: flows that received their response
 * @lost: flows that were closed
 */
struct bench {
    struct stack_owner owner;
    struct stack *stack;
    int fd;
    struct sockaddr_in agent;
    struct addr http;
    struct addr service;
    struct gue hops;
    size_t count;
    size_t opened;
    size_t answered;
    size_t lost;
    struct flow *flows;
};

static void
on_output(struct stack_owner *owner, const uint8_t *buf, size_t len)
{
    struct bench *bench = (struct bench *)owner;
    uint8_t header[GUE_HEADER_MAX];
    struct iovec iov[2] = {
        {header, gue_encode(&bench->hops, header)},
        {(void *)buf, len},
    };
    struct msghdr msg = {
        .msg_name = &bench->agent,
        .msg_namelen = sizeof(bench->agent),
        .msg_iov = iov,
        .msg_iovlen = 2,
    };

    sendmsg(bench->fd, &msg, MSG_DONTWAIT);
}

static void
on_open(struct stack_owner *owner, struct stack_conn *conn)
{
    static const char request[] = "GET / HTTP/1.1\r\nHost: bench\r\n"
                                  "X-Request-Id: 00000000000000b1\r\n\r\n";

    stack_write(conn, (const uint8_t *)request, sizeof(request) - 1);
}

static void
on_data(struct stack_owner *owner, struct stack_conn *conn,
        const uint8_t *data, size_t len)
{
    struct bench *bench = (struct bench *)owner;
    struct flow *flow = stack_conn_data(conn);
    static const char ok_status[] = "HTTP/1.1 200 ";

    if (!flow->answered && len >= sizeof(ok_status) - 1 &&
        memcmp(data, ok_status, sizeof(ok_status) - 1) == 0) {
        flow->answered = true;
        bench->answered++;
    }
}

static void
on_writable(struct stack_owner *owner, struct stack_conn *conn)
{
}

static void
on_eof(struct stack_owner *owner, struct stack_conn *conn)
{
    stack_close(conn);
}

static void
on_closed(struct stack_owner *owner, struct stack_conn *conn, int reason)
{
    ((struct bench *)owner)->lost++;
}

static const struct stack_ops stack_ops = {
    .output = on_output,
    .on_open = on_open,
    .on_data = on_data,
    .on_writable = on_writable,
    .on_eof = on_eof,
    .on_closed = on_closed,
};

static void
read_packets(struct bench *bench)
{
    uint8_t buf[PACKET_BUF];
    struct gue gue;
    ssize_t len;

    while ((len = recv(bench->fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
        int header = gue_decode(buf, (size_t)len, &gue);
        if (header > 0) {
            stack_input(bench->stack, buf + header, (size_t)(len - header));
        }
    }
}

static void
run_once(struct bench *bench)
{
    struct pollfd fds[2] = {
        {.fd = bench->fd, .events = POLLIN},
        {.fd = stack_fd(bench->stack), .events = POLLIN},
    };

    poll(fds, 2, 10);
    read_packets(bench);
    stack_poll(bench->stack);
}

static void
open_next(struct bench *bench)
{
    size_t i = bench->opened;
    struct addr local = {
        .ip = CALLER_NET + (uint32_t)(i / FLOWS_PER_CALLER),
        .port = (uint16_t)(PORT_FIRST + i % FLOWS_PER_CALLER),
    };
    struct flow *flow = &bench->flows[i];

    if (i % FLOWS_PER_CALLER == 0) {
        stack_add_address(bench->stack, local.ip);
    }
    flow->conn = stack_connect(bench->stack, local, bench->service);
    if (flow->conn != NULL) {
        stack_conn_set_data(flow->conn, flow);
    }
    bench->opened++;
}

/* Resident memory in bytes from the agent's /metrics, 0 on error. */
static uint64_t
resident_bytes(const struct bench *bench)
{
    static const char request[] = "GET /metrics HTTP/1.1\r\nHost: bench\r\n"
                                  "Connection: close\r\n\r\n";
    static const char name[] = "\nswiftarch_resident_bytes ";
    struct sockaddr_in sin = addr_to_sockaddr(bench->http);
    GString *page = g_string_new(NULL);
    char buf[4096];
    ssize_t len;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
        send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) > 0) {
        while ((len = recv(fd, buf, sizeof(buf), 0)) > 0) {
            g_string_append_len(page, buf, len);
        }
    }
    close(fd);
    const char *line = strstr(page->str, name);
    uint64_t bytes =
        line == NULL ? 0 : g_ascii_strtoull(line + sizeof(name) - 1, NULL, 10);
    g_string_free(page, TRUE);
    return bytes;
}

static void
run_for(struct bench *bench, gint64 us)
{
    gint64 until = g_get_monotonic_time() + us;

    while (g_get_monotonic_time() < until) {
        run_once(bench);
    }
}

static int
run_bench(struct bench *bench)
{
    gint64 until = g_get_monotonic_time() + TIMEOUT_US;
    uint64_t before = resident_bytes(bench);

    while (bench->answered < bench->count && g_get_monotonic_time() < until &&
           bench->lost == 0) {
        while (bench->opened < bench->count &&
               bench->opened - bench->answered < CONCURRENCY_MAX) {
            open_next(bench);
        }
        run_once(bench);
    }
    run_for(bench, SETTLE_US);
    uint64_t after = resident_bytes(bench);
    bool complete = bench->answered == bench->count && bench->lost == 0 &&
                    before > 0 && after > 0;
    double bytes_per_flow =
        ((double)after - (double)before) / (double)bench->count;
    printf("{\"flows\":%zu,\"answered\":%zu,\"lost\":%zu,"
           "\"resident_before\":%" G_GUINT64_FORMAT
           ",\"resident_after\":%" G_GUINT64_FORMAT
           ",\"bytes_per_idle_flow\":%.0f}\n",
           bench->count, bench->answered, bench->lost, (guint64)before,
           (guint64)after, bytes_per_flow);
    return complete ? EXIT_OK : EXIT_FAILED;
}

static int
run(struct bench *bench, struct addr listen, struct addr agent)
{
    struct sockaddr_in sin = addr_to_sockaddr(listen);
    int size = 8 << 20;

    bench->owner.ops = &stack_ops;
    bench->agent = addr_to_sockaddr(agent);
    bench->hops.hops[0].data = agent;
    bench->hops.count = 1;
    bench->hops.flags = GUE_OPEN;
    bench->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    setsockopt(bench->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    if (bind(bench->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
        fprintf(stderr, "bench_agent_flows: %s\n", g_strerror(errno));
        return EXIT_FAILED;
    }
    bench->stack = stack_new(&bench->owner);
    if (bench->stack == NULL) {
        return EXIT_FAILED;
    }
    bench->flows = g_new0(struct flow, bench->count);
    int code = run_bench(bench);
    stack_free(bench->stack);
    close(bench->fd);
    g_free(bench->flows);
    return code;
}

int
main(int argc, char **argv)
{
    struct arg_str *listen = arg_str1(NULL, "listen", "IP:PORT",
                                      "the fabric's address, bound here");
    struct arg_str *data =
        arg_str1(NULL, "data", "IP:PORT", "the agent's packet address");
    struct arg_str *http =
        arg_str1(NULL, "http", "IP:PORT", "the agent's HTTP address");
    struct arg_str *name = arg_str1(NULL, "agent", "NAME", "the agent's name");
    struct arg_str *service =
        arg_str1(NULL, "service", "NAME", "the service's name");
    struct arg_str *address =
        arg_str1(NULL, "address", "IP:PORT", "the service's address");
    struct arg_int *flows = arg_int0(NULL, "flows", "N", "default 2000");
    struct arg_end *end = arg_end(10);
    void *table[] = {listen, data, http, name, service, address, flows, end};
    struct bench bench = {.count = 2000};
    struct addr from;
    struct addr to;
    int code = EXIT_USAGE;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "bench_agent_flows");
    }
    else if (addr_parse(listen->sval[0], &from) < 0 ||
             addr_parse(data->sval[0], &to) < 0 ||
             addr_parse(http->sval[0], &bench.http) < 0 ||
             addr_parse(address->sval[0], &bench.service) < 0 ||
             (flows->count > 0 &&
              (flows->ival[0] < 1 || flows->ival[0] > FLOWS_MAX))) {
        fprintf(stderr, "bench_agent_flows: an address is not IP:PORT, or "
                        "--flows is not 1 to 20000\n");
    }
    else {
        bench.count = flows->count > 0 ? (size_t)flows->ival[0] : bench.count;
        bench.hops.service = hash_service(service->sval[0]);
        bench.hops.hops[0].member = hash_name(name->sval[0]);
        code = run(&bench, from, to);
    }
    arg_freetable(table, sizeof(table) / sizeof(*table));
    return code;
}
