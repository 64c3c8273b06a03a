#include "stack/stack.h"

#include <assert.h>
#include <errno.h>
#include <lwip/init.h>
#include <lwip/ip.h>
#include <lwip/pbuf.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/sys.h>
#include <lwip/tcpip.h>
#include <lwip/timeouts.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/random.h>
#include <unistd.h>

#include "stack/isn.h"
#include "stack/pcbs.h"
#include "stack/stack_private.h"

/* 1500 less the outer headers: IP (20), UDP (8), GUE with hop list (116). */
#define STACK_MTU 1356
#define STACK_PACKET_MAX 1500
/* lwIP needs an address on its output interface (dummy of RFC 7600). */
#define STACK_DUMMY_ADDRESS 0xc0000008u
#define STACK_SWEEP_MS 250
/* Half-open flows may still finish after stack_unlisten(). */
#define UNLISTEN_TICKS (TCP_SYN_RCVD_TIMEOUT / TCP_SLOW_INTERVAL)
#define IP_HEADER_MIN 20
#define IP_FRAGMENT_MASK 0x3fff
#define TCP_HEADER_MIN 20
#define TCP_FLAGS_OFFSET 13

/* A listening address; @stopped_ticks is valid while @stopped. */
struct stack_listener {
    struct addr addr;
    struct tcp_pcb *pcb;
    struct stack_listener *next;
    uint32_t stopped_ticks;
    bool stopped;
};

static pthread_once_t lwip_once = PTHREAD_ONCE_INIT;
static struct stack *active_stack; /* guarded by the core lock */

static void
on_lwip_ready(void *arg)
{
    sys_sem_t *sem = arg;

    sys_sem_signal(sem);
}

static void
lwip_start(void)
{
    sys_sem_t sem;

    if (sys_sem_new(&sem, 0) != ERR_OK) {
        abort();
    }
    tcpip_init(on_lwip_ready, &sem);
    sys_sem_wait(&sem);
    sys_sem_free(&sem);
}

static err_t
netif_output(struct netif *netif, struct pbuf *p, const ip4_addr_t *to)
{
    struct stack *stack = netif->state;
    struct stack_owner *owner = stack->owner;
    uint8_t buf[STACK_PACKET_MAX];

    if (p->tot_len > sizeof(buf)) {
        return ERR_BUF;
    }
    /* Copied: lwIP keeps the original for a retransmission. */
    pbuf_copy_partial(p, buf, p->tot_len, 0);
    isn_shift_out(stack->secret, buf, p->tot_len);
    owner->ops->output(owner, buf, p->tot_len);
    return ERR_OK;
}

static err_t
netif_setup(struct netif *netif)
{
    netif->name[0] = 's';
    netif->name[1] = 'a';
    netif->mtu = STACK_MTU;
    netif->output = netif_output;
    return ERR_OK;
}

static bool
netif_open_locked(struct stack *stack, struct netif *netif, uint32_t ip)
{
    ip4_addr_t address = {lwip_htonl(ip)};
    ip4_addr_t mask = {IPADDR_BROADCAST};
    ip4_addr_t gateway = {IPADDR_ANY};

    if (netif_add(netif, &address, &mask, &gateway, stack, netif_setup,
                  ip_input) == NULL) {
        return false;
    }
    netif_set_up(netif);
    return true;
}

static void
sweep_listeners_locked(struct stack *stack)
{
    struct stack_listener **at = &stack->listeners;
    struct stack_listener *listener;

    while (*at != NULL) {
        listener = *at;
        if (!listener->stopped ||
            tcp_ticks - listener->stopped_ticks <= UNLISTEN_TICKS) {
            at = &listener->next;
            continue;
        }
        tcp_close(listener->pcb);
        *at = listener->next;
        g_free(listener);
    }
}

/* On lwIP's thread, under the core lock. */
static void
on_sweep(void *arg)
{
    struct stack *stack = arg;

    stack_conn_sweep_locked(stack);
    pcbs_sweep_time_wait_locked();
    sweep_listeners_locked(stack);
    stack->half_open = pcbs_half_open_locked();
    sys_timeout(STACK_SWEEP_MS, on_sweep, stack);
}

/* Address interfaces stay link-down: lwIP accepts packets for them, but routes
 * all sent packets to @out. */
static bool
stack_start_locked(struct stack *stack)
{
    if (active_stack != NULL ||
        !netif_open_locked(stack, &stack->out, STACK_DUMMY_ADDRESS)) {
        return false;
    }
    netif_set_link_up(&stack->out);
    netif_set_default(&stack->out);
    sys_timeout(STACK_SWEEP_MS, on_sweep, stack);
    active_stack = stack;
    return true;
}

struct stack *
stack_new(struct stack_owner *owner)
{
    struct stack *stack;
    bool started;

    pthread_once(&lwip_once, lwip_start);
    stack = g_try_new0(struct stack, 1);
    if (stack == NULL) {
        return NULL;
    }
    stack->owner = owner;
    stack->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (stack->event_fd < 0) {
        goto err;
    }
    if (getrandom(&stack->secret, sizeof(stack->secret), 0) !=
        sizeof(stack->secret)) {
        goto err;
    }
    LOCK_TCPIP_CORE();
    started = stack_start_locked(stack);
    UNLOCK_TCPIP_CORE();
    if (started) {
        return stack;
    }
err:
    if (stack->event_fd >= 0) {
        close(stack->event_fd);
    }
    g_free(stack);
    return NULL;
}

static void
listeners_free_locked(struct stack *stack)
{
    struct stack_listener *listener;

    while (stack->listeners != NULL) {
        listener = stack->listeners;
        stack->listeners = listener->next;
        tcp_close(listener->pcb);
        g_free(listener);
    }
}

void
stack_free(struct stack *stack)
{
    size_t i;

    if (stack == NULL) {
        return;
    }
    LOCK_TCPIP_CORE();
    sys_untimeout(on_sweep, stack);
    listeners_free_locked(stack);
    stack_conn_free_all_locked(stack);
    while (tcp_tw_pcbs != NULL) {
        tcp_abort(tcp_tw_pcbs);
    }
    /* Half-open and closing connections without a struct stack_conn. */
    while (tcp_active_pcbs != NULL) {
        tcp_abort(tcp_active_pcbs);
    }
    for (i = 0; i < stack->address_count; i++) {
        netif_remove(stack->addresses[i]);
        g_free(stack->addresses[i]);
    }
    netif_remove(&stack->out);
    active_stack = NULL;
    UNLOCK_TCPIP_CORE();
    close(stack->event_fd);
    g_free(stack);
}

static struct netif *
address_find_locked(const struct stack *stack, uint32_t ip_net)
{
    size_t i;

    for (i = 0; i < stack->address_count; i++) {
        if (netif_ip4_addr(stack->addresses[i])->addr == ip_net) {
            return stack->addresses[i];
        }
    }
    return NULL;
}

static int
address_add_locked(struct stack *stack, uint32_t ip)
{
    struct netif *netif;

    if (address_find_locked(stack, lwip_htonl(ip)) != NULL) {
        return 0;
    }
    if (stack->address_count == STACK_ADDRESSES_MAX) {
        return -ENOSPC;
    }
    netif = g_try_new0(struct netif, 1);
    if (netif == NULL) {
        return -ENOMEM;
    }
    if (!netif_open_locked(stack, netif, ip)) {
        g_free(netif);
        return -EADDRNOTAVAIL;
    }
    stack->addresses[stack->address_count++] = netif;
    return 0;
}

int
stack_add_address(struct stack *stack, uint32_t ip)
{
    int rc;

    if (ip == 0 || ip == UINT32_MAX) {
        return -EINVAL;
    }
    LOCK_TCPIP_CORE();
    rc = address_add_locked(stack, ip);
    UNLOCK_TCPIP_CORE();
    return rc;
}

static struct stack_listener *
listener_find_locked(const struct stack *stack, struct addr addr)
{
    struct stack_listener *listener;

    for (listener = stack->listeners; listener != NULL;
         listener = listener->next) {
        if (listener->addr.ip == addr.ip && listener->addr.port == addr.port) {
            return listener;
        }
    }
    return NULL;
}

static int
listener_open_locked(struct stack *stack, struct stack_listener *listener)
{
    ip_addr_t ip = IPADDR4_INIT(lwip_htonl(listener->addr.ip));
    struct tcp_pcb *pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
    err_t rc = ERR_OK;

    if (pcb == NULL) {
        return -ENOMEM;
    }
    /* Flows of an earlier listener may still be open. */
    ip_set_option(pcb, SOF_REUSEADDR);
    if (tcp_bind(pcb, &ip, listener->addr.port) != ERR_OK) {
        tcp_close(pcb);
        return -EADDRINUSE;
    }
    listener->pcb = tcp_listen_with_backlog_and_err(pcb, 0xff, &rc);
    if (listener->pcb == NULL) {
        tcp_close(pcb);
        return rc == ERR_USE ? -EADDRINUSE : -ENOMEM;
    }
    tcp_arg(listener->pcb, stack);
    tcp_accept(listener->pcb, stack_conn_accept);
    return 0;
}

int
stack_listen(struct stack *stack, struct addr addr)
{
    struct stack_listener *listener;
    int rc = 0;

    LOCK_TCPIP_CORE();
    listener = listener_find_locked(stack, addr);
    if (listener != NULL) {
        rc = listener->stopped ? 0 : -EADDRINUSE;
        listener->stopped = false;
        goto out;
    }
    listener = g_new0(struct stack_listener, 1);
    listener->addr = addr;
    rc = listener_open_locked(stack, listener);
    if (rc < 0) {
        g_free(listener);
        goto out;
    }
    listener->next = stack->listeners;
    stack->listeners = listener;
out:
    UNLOCK_TCPIP_CORE();
    return rc;
}

int
stack_unlisten(struct stack *stack, struct addr addr)
{
    struct stack_listener *listener;
    int rc = -ENOENT;

    LOCK_TCPIP_CORE();
    listener = listener_find_locked(stack, addr);
    if (listener != NULL && !listener->stopped) {
        listener->stopped = true;
        listener->stopped_ticks = tcp_ticks;
        rc = 0;
    }
    UNLOCK_TCPIP_CORE();
    return rc;
}

static uint16_t
get16(const uint8_t *at)
{
    return (uint16_t)(at[0] << 8 | at[1]);
}

static uint32_t
get32(const uint8_t *at)
{
    return (uint32_t)get16(at) << 16 | get16(at + 2);
}

/* Returns the length of the IP header, or a negative errno value. */
static int
check_packet(const uint8_t *buf, size_t len)
{
    size_t header;

    if (len < IP_HEADER_MIN || len > STACK_PACKET_MAX || buf[0] >> 4 != 4) {
        return -EINVAL;
    }
    header = (size_t)(buf[0] & 0x0f) * 4;
    if (header < IP_HEADER_MIN || get16(buf + 2) != len ||
        len < header + TCP_HEADER_MIN) {
        return -EINVAL;
    }
    if (buf[9] != IP_PROTO_TCP || (get16(buf + 6) & IP_FRAGMENT_MASK) != 0) {
        return -EPROTONOSUPPORT;
    }
    return (int)header;
}

/* Whether a SYN may be given to lwIP; makes room for its connection. */
static bool
admit_open_locked(struct stack *stack, const uint8_t *buf, const uint8_t *tcp)
{
    struct addr from = {.ip = get32(buf + 12), .port = get16(tcp)};
    struct addr to = {.ip = get32(buf + 16), .port = get16(tcp + 2)};
    const struct stack_listener *listener = listener_find_locked(stack, to);

    if (listener != NULL && listener->stopped) {
        return false;
    }
    pcbs_abort_time_wait_locked(from, to);
    pcbs_limit_half_open_locked(&stack->half_open);
    stack->half_open++;
    return true;
}

int
stack_input(struct stack *stack, const uint8_t *buf, size_t len)
{
    int header = check_packet(buf, len);
    const uint8_t *tcp;
    struct netif *netif;
    struct pbuf *p;
    int rc = 0;

    if (header < 0) {
        return header;
    }
    tcp = buf + header;
    LOCK_TCPIP_CORE();
    netif = address_find_locked(stack, lwip_htonl(get32(buf + 16)));
    if (netif == NULL) {
        rc = -EADDRNOTAVAIL;
        goto out;
    }
    if ((tcp[TCP_FLAGS_OFFSET] & (TCP_SYN | TCP_ACK)) == TCP_SYN &&
        !admit_open_locked(stack, buf, tcp)) {
        rc = -ECONNREFUSED;
        goto out;
    }
    p = pbuf_alloc(PBUF_RAW, (u16_t)len, PBUF_RAM);
    if (p == NULL) {
        rc = -ENOMEM;
        goto out;
    }
    memcpy(p->payload, buf, len);
    isn_shift_in(stack->secret, p->payload, len);
    if (netif->input(p, netif) != ERR_OK) {
        pbuf_free(p);
        rc = -EINVAL;
    }
out:
    UNLOCK_TCPIP_CORE();
    return rc;
}

size_t
stack_half_open(const struct stack *stack)
{
    size_t count;

    LOCK_TCPIP_CORE();
    count = stack->half_open;
    UNLOCK_TCPIP_CORE();
    return count;
}

int
stack_fd(const struct stack *stack)
{
    return stack->event_fd;
}

void
stack_poll(struct stack *stack)
{
    struct stack_conn *conn;
    uint64_t count;

    /* Fails when nothing was written since; the list is authoritative. */
    (void)!read(stack->event_fd, &count, sizeof(count));
    LOCK_TCPIP_CORE();
    conn = stack->events;
    stack->events = NULL;
    stack->last_event = NULL;
    UNLOCK_TCPIP_CORE();
    while (conn != NULL) {
        struct stack_conn *next = conn->next_event;

        LOCK_TCPIP_CORE();
        conn->queued = false;
        UNLOCK_TCPIP_CORE();
        stack_conn_deliver(conn);
        conn = next;
    }
}
