#define G_LOG_DOMAIN "swiftarch-caller"

#include "caller/caller.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "base/hash.h"
#include "base/log.h"
#include "packet/gue.h"
#include "packet/packet.h"

#define TICK_US 10000
#define OPENING_MAX_US (3 * USEC_PER_SEC)
#define WAIT_MIN_US (3 * USEC_PER_SEC)
#define CLOSING_MAX_US USEC_PER_SEC
#define PORT_FIRST 10000
#define PORT_COUNT 50000
#define RECEIVE_BATCH 256
#define SOCKET_BUFFER (4 << 20)
#define PROTO_UDP 17

/* Place of the only timer among the events of the loop. */
#define EVENT_TICK 2

static struct caller *
of_owner(struct stack_owner *owner)
{
    return (struct caller *)owner;
}

static void
output(struct stack_owner *owner, const uint8_t *buf, size_t len)
{
    caller_send(of_owner(owner), buf, len);
}

static void
on_open(struct stack_owner *owner, struct stack_conn *conn)
{
    flow_on_open(stack_conn_data(conn));
}

static void
on_data(struct stack_owner *owner, struct stack_conn *conn,
        const uint8_t *data, size_t len)
{
    flow_on_data(stack_conn_data(conn), data, len);
}

static void
on_writable(struct stack_owner *owner, struct stack_conn *conn)
{
    flow_on_writable(stack_conn_data(conn));
}

static void
on_eof(struct stack_owner *owner, struct stack_conn *conn)
{
    flow_on_eof(stack_conn_data(conn));
}

static void
on_closed(struct stack_owner *owner, struct stack_conn *conn, int reason)
{
    flow_on_closed(stack_conn_data(conn), reason);
}

static const struct stack_ops stack_ops = {
    .output = output,
    .on_open = on_open,
    .on_data = on_data,
    .on_writable = on_writable,
    .on_eof = on_eof,
    .on_closed = on_closed,
};

static void
input_datagram(struct caller *caller, const uint8_t *buf, size_t len)
{
    struct packet packet;

    if (packet_parse(buf, len, 1, &packet) != PACKET_OK)
        return;
    for (size_t i = 0; i < caller->datagram_count; i++) {
        if (datagram_load_input(&caller->datagrams[i], &packet, buf))
            return;
    }
}

static void
input(struct caller *caller, const uint8_t *buf, size_t len)
{
    struct gue gue;
    int head = gue_decode(buf, len, &gue);

    if (head < 0) {
        g_info("A packet came in no encapsulation.");
        return;
    }
    buf += head;
    len -= (size_t)head;
    if (len > 9 && buf[9] == PROTO_UDP)
        input_datagram(caller, buf, len);
    else
        (void)stack_input(caller->stack, buf, len);
}

static void
on_packets(evutil_socket_t fd, short what, void *data)
{
    struct caller *caller = data;
    uint8_t buf[PACKET_MAX + GUE_HEADER_MAX];

    (void)what;
    for (int i = 0; i < RECEIVE_BATCH; i++) {
        ssize_t len = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

        if (len < 0)
            break;
        input(caller, buf, (size_t)len);
    }
    stack_poll(caller->stack);
}

static void
on_stack(evutil_socket_t fd, short what, void *data)
{
    struct caller *caller = data;

    (void)fd;
    (void)what;
    stack_poll(caller->stack);
}

static bool
all_open(const struct caller *caller)
{
    for (size_t i = 0; i < caller->load_count; i++) {
        if (!load_is_open(&caller->loads[i]))
            return false;
    }
    return true;
}

static bool
all_idle(const struct caller *caller)
{
    for (size_t i = 0; i < caller->load_count; i++) {
        if (!load_is_idle(&caller->loads[i]))
            return false;
    }
    for (size_t i = 0; i < caller->datagram_count; i++) {
        if (!datagram_load_is_idle(&caller->datagrams[i]))
            return false;
    }
    return true;
}

static bool
all_closed(const struct caller *caller)
{
    for (size_t i = 0; i < caller->load_count; i++) {
        if (caller->loads[i].flows.length > 0)
            return false;
    }
    return true;
}

static void
begin_arrivals(struct caller *caller, uint64_t now_us)
{
    double seconds = caller->settings->seconds;

    caller->stop_us = now_us + (uint64_t)(seconds * (double)USEC_PER_SEC);
    for (size_t i = 0; i < caller->load_count; i++)
        load_start(&caller->loads[i], now_us);
    for (size_t i = 0; i < caller->datagram_count; i++)
        datagram_load_start(&caller->datagrams[i], now_us);
    g_message("Requests start.");
}

/* Long enough for the last request of each load to end or time out by its
 * own rules; a run that has nothing open doesn't wait. */
static uint64_t
wait_us(const struct caller *caller)
{
    uint64_t wait = WAIT_MIN_US;

    for (size_t i = 0; i < caller->load_count; i++) {
        const struct load_settings *load = caller->loads[i].settings;

        wait =
            MAX(wait, (load->deadline_ms + load->patience_ms) * USEC_PER_MSEC);
    }
    return wait;
}

static void
stop_arrivals(struct caller *caller, uint64_t now_us)
{
    caller->stopped = true;
    caller->close_us = now_us + wait_us(caller);
    for (size_t i = 0; i < caller->load_count; i++)
        load_stop(&caller->loads[i]);
    for (size_t i = 0; i < caller->datagram_count; i++)
        datagram_load_stop(&caller->datagrams[i]);
    g_message("No more requests start.");
}

static void
close_all(struct caller *caller, uint64_t now_us)
{
    caller->closing = true;
    caller->close_us = now_us;
    caller->end_us = now_us + CLOSING_MAX_US;
    for (size_t i = 0; i < caller->load_count; i++)
        load_close_flows(&caller->loads[i]);
    for (size_t i = 0; i < caller->datagram_count; i++)
        datagram_load_record(&caller->datagrams[i]);
}

static void
advance(struct caller *caller, uint64_t now_us)
{
    if (caller->closing) {
        if (all_closed(caller) || now_us >= caller->end_us)
            event_base_loopbreak(caller->event_base);
    }
    else if (caller->stopped) {
        if (all_idle(caller) || now_us >= caller->close_us)
            close_all(caller, now_us);
    }
    else if (caller->stop_us == 0) {
        if (all_open(caller) || now_us >= caller->begin_us + OPENING_MAX_US)
            begin_arrivals(caller, now_us);
    }
    else if (now_us >= caller->stop_us) {
        stop_arrivals(caller, now_us);
    }
}

static void
on_tick(evutil_socket_t fd, short what, void *data)
{
    struct caller *caller = data;
    uint64_t now_us = clock_now_us(&caller->clock);

    (void)fd;
    (void)what;
    for (size_t i = 0; i < caller->load_count && !caller->closing; i++)
        load_tick(&caller->loads[i], now_us);
    advance(caller, now_us);
}

/* A signal ends the run as its time does. */
static void
on_signal(evutil_socket_t fd, short what, void *data)
{
    struct caller *caller = data;

    (void)fd;
    (void)what;
    if (!caller->stopped)
        stop_arrivals(caller, clock_now_us(&caller->clock));
    else
        caller->close_us = clock_now_us(&caller->clock);
}

static int
open_socket(struct caller *caller, struct error *err)
{
    struct sockaddr_in sin = addr_to_sockaddr(caller->settings->listen);
    int size = SOCKET_BUFFER;
    char text[ADDR_TEXT_MAX];

    caller->fabric = addr_to_sockaddr(caller->settings->fabric);
    caller->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (caller->fd < 0)
        return error_set(err, -errno, "open socket", NULL, "no UDP socket");
    /* The kernel may give less; then bursts lose packets as a net does. */
    (void)setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    (void)setsockopt(caller->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    if (bind(caller->fd, (struct sockaddr *)&sin, sizeof(sin)) < 0)
        return error_set(err, -errno, "bind socket",
                         addr_format(caller->settings->listen, text),
                         "the address can't be used");
    return 0;
}

static int
open_stack(struct caller *caller, struct error *err)
{
    caller->base.ops = &stack_ops;
    caller->stack = stack_new(&caller->base);
    if (caller->stack == NULL)
        return error_set(err, -ENOMEM, "start TCP", NULL, "no TCP stack");
    for (size_t i = 0; i < caller->settings->address_count; i++) {
        uint32_t ip = caller->settings->addresses[i];
        struct addr addr = {.ip = ip};
        char text[ADDR_TEXT_MAX];
        int ret = stack_add_address(caller->stack, ip);

        if (ret < 0)
            return error_set(err, ret, "add address", addr_format(addr, text),
                             "the TCP stack refused it");
    }
    return 0;
}

static int
init_loads(struct caller *caller)
{
    for (size_t i = 0; i < caller->settings->load_count; i++) {
        const struct load_settings *settings = &caller->settings->loads[i];
        int ret;

        if (settings->udp)
            ret = datagram_load_init(
                &caller->datagrams[caller->datagram_count++], caller, settings,
                (unsigned)i);
        else
            ret = load_init(&caller->loads[caller->load_count++], caller,
                            settings, (unsigned)i);
        if (ret < 0)
            return ret;
    }
    return 0;
}

static int
run_loop(struct caller *caller, struct error *err)
{
    const struct timeval tick = {.tv_usec = TICK_US};
    struct event *events[] = {
        event_new(caller->event_base, caller->fd, EV_READ | EV_PERSIST,
                  on_packets, caller),
        event_new(caller->event_base, stack_fd(caller->stack),
                  EV_READ | EV_PERSIST, on_stack, caller),
        event_new(caller->event_base, -1, EV_PERSIST, on_tick, caller),
        evsignal_new(caller->event_base, SIGTERM, on_signal, caller),
        evsignal_new(caller->event_base, SIGINT, on_signal, caller),
    };
    int ret = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (events[i] == NULL ||
            event_add(events[i], i == EVENT_TICK ? &tick : NULL))
            ret = error_set(err, -ENOMEM, "run", NULL, "no event");
    }
    caller->begin_us = clock_now_us(&caller->clock);
    caller->close_us = UINT64_MAX;
    if (ret == 0)
        event_base_dispatch(caller->event_base);
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (events[i] != NULL)
            event_free(events[i]);
    }
    return ret;
}

static int
run(struct caller *caller, struct error *err)
{
    const struct caller_settings *settings = caller->settings;
    int ret = open_socket(caller, err);

    if (ret == 0)
        ret = trace_init(&caller->trace, "caller", settings->traces, 1, err);
    if (ret == 0)
        ret = record_init(&caller->record, settings->record, err);
    if (ret == 0)
        ret = open_stack(caller, err);
    if (ret == 0) {
        ret = init_loads(caller);
        if (ret < 0)
            error_set(err, ret, "prepare loads", NULL, "no memory");
    }
    if (ret == 0)
        ret = run_loop(caller, err);
    return ret;
}

static void
finish(struct caller *caller)
{
    for (size_t i = 0; i < caller->load_count; i++)
        load_finish(&caller->loads[i]);
    for (size_t i = 0; i < caller->datagram_count; i++)
        datagram_load_finish(&caller->datagrams[i]);
    if (caller->stack != NULL)
        stack_free(caller->stack);
    trace_finish(&caller->trace);
    if (caller->fd >= 0)
        close(caller->fd);
    if (caller->event_base != NULL)
        event_base_free(caller->event_base);
}

/* Without the flag arrivals are up to a millisecond late, which would count
 * as latency. */
static struct event_base *
new_event_base(void)
{
    struct event_config *config = event_config_new();
    struct event_base *base;

    if (config == NULL)
        return NULL;
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    base = event_base_new_with_config(config);
    event_config_free(config);
    return base;
}

int
caller_run(const struct caller_settings *settings, struct error *err)
{
    struct caller *caller = g_new0(struct caller, 1);
    int ret;

    caller->settings = settings;
    caller->fd = -1;
    caller->trace.fd = -1;
    caller->first_port =
        (uint16_t)(hash_pair(settings->seed, PORT_FIRST) % PORT_COUNT);
    clock_runtime_init(&caller->clock);
    caller->event_base = new_event_base();
    if (caller->event_base == NULL)
        ret = error_set(err, -ENOMEM, "run", NULL, "no event loop");
    else
        ret = run(caller, err);
    finish(caller);
    if (caller->record.file != NULL && record_finish(&caller->record) < 0 &&
        ret == 0)
        ret = error_set(err, -EIO, "write record", settings->record,
                        "lines were lost");
    g_free(caller);
    return ret;
}

int64_t
caller_next_flow(struct caller *caller, struct addr *src)
{
    int64_t count = (int64_t)caller->settings->address_count;
    int64_t number = caller->next_flow++;
    int64_t port = (caller->first_port + number / count) % PORT_COUNT;

    src->ip = caller->settings->addresses[number % count];
    src->port = (uint16_t)(PORT_FIRST + port);
    return number;
}

void
caller_send(struct caller *caller, const uint8_t *packet, size_t len)
{
    uint8_t head[GUE_HEADER_MAX];
    struct iovec parts[] = {
        {.iov_base = head, .iov_len = gue_encode(NULL, head)},
        {.iov_base = (void *)packet, .iov_len = len},
    };
    struct msghdr msg = {
        .msg_name = &caller->fabric,
        .msg_namelen = sizeof(caller->fabric),
        .msg_iov = parts,
        .msg_iovlen = G_N_ELEMENTS(parts),
    };

    /* A packet that can't be sent is lost, as on any net. */
    (void)sendmsg(caller->fd, &msg, MSG_DONTWAIT | MSG_NOSIGNAL);
}
