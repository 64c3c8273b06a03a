#include <assert.h>
#include <errno.h>
#include <lwip/ip.h>
#include <lwip/pbuf.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcpip.h>
#include <unistd.h>

#include "stack/stack_private.h"

/* A connection that the owner closed is aborted after 60 s in FIN-WAIT-2
 * without data from the peer. */
#define FIN_WAIT_TICKS (60000 / TCP_SLOW_INTERVAL)

static void
conn_queue_event_locked(struct stack_conn *conn)
{
    struct stack *stack = conn->stack;
    uint64_t one = 1;

    if (conn->queued) {
        return;
    }
    conn->queued = true;
    conn->next_event = NULL;
    if (stack->events != NULL) {
        stack->last_event->next_event = conn;
        stack->last_event = conn;
        return;
    }
    stack->events = conn;
    stack->last_event = conn;
    /* Fails only when the counter is full; the fd is readable then. */
    (void)!write(stack->event_fd, &one, sizeof(one));
}

static void
conn_closed_locked(struct stack_conn *conn, int reason)
{
    conn->pcb = NULL;
    conn->reason = reason;
    conn->closed_due = true;
    conn_queue_event_locked(conn);
}

/* Unregisters the callbacks; lwIP finishes and frees the pcb itself. */
static void
conn_detach_locked(struct stack_conn *conn, int reason)
{
    tcp_arg(conn->pcb, NULL);
    tcp_recv(conn->pcb, NULL);
    tcp_sent(conn->pcb, NULL);
    tcp_err(conn->pcb, NULL);
    conn_closed_locked(conn, reason);
}

static void
conn_abort_locked(struct stack_conn *conn, int reason)
{
    struct tcp_pcb *pcb = conn->pcb;

    if (pcb == NULL) {
        return;
    }
    conn_detach_locked(conn, reason);
    tcp_abort(pcb);
}

/* Whether only the ACK of our FIN is missing. A reset then means that the
 * peer's TIME-WAIT has ended (RFC 793, 3.9: no signal to the user in
 * LAST-ACK). The pcb is still valid in lwIP's error callback. */
static bool
conn_all_data_acked(const struct stack_conn *conn)
{
    const struct tcp_pcb *pcb = conn->pcb;

    return pcb->state == LAST_ACK && pcb->snd_lbb - pcb->lastack == 1;
}

static void
on_lwip_error(void *arg, err_t err)
{
    struct stack_conn *conn = arg;

    if (conn == NULL) {
        return;
    }
    switch (err) {
    case ERR_CLSD:
        conn_closed_locked(conn, 0);
        break;
    case ERR_RST:
        conn_closed_locked(conn, conn_all_data_acked(conn) ? 0 : -ECONNRESET);
        break;
    default:
        /* lwIP stopped retransmitting; local aborts detach first. */
        conn_closed_locked(conn, -ETIMEDOUT);
        break;
    }
}

static err_t
on_lwip_recv(void *arg, struct tcp_pcb *pcb, struct pbuf *p, err_t err)
{
    struct stack_conn *conn = arg;
    struct pbuf *part;

    if (p == NULL) {
        conn->eof_due = true;
        if (conn->closing && pcb->state == TIME_WAIT) {
            conn_detach_locked(conn, 0);
        }
        conn_queue_event_locked(conn);
        return ERR_OK;
    }
    if (conn->closing) {
        conn->close_ticks = tcp_ticks;
        tcp_recved(pcb, p->tot_len);
        pbuf_free(p);
        return ERR_OK;
    }
    if (conn->in == NULL) {
        conn->in = g_byte_array_sized_new(p->tot_len);
    }
    /* Copied, so that tiny segments don't each occupy a pbuf. */
    for (part = p; part != NULL; part = part->next) {
        g_byte_array_append(conn->in, part->payload, part->len);
    }
    pbuf_free(p);
    if (!conn->paused) {
        conn_queue_event_locked(conn);
    }
    return ERR_OK;
}

static err_t
on_lwip_sent(void *arg, struct tcp_pcb *pcb, u16_t len)
{
    struct stack_conn *conn = arg;

    if (conn->want_write && tcp_sndbuf(pcb) >= TCP_SND_BUF / 4) {
        conn->want_write = false;
        conn->writable_due = true;
        conn_queue_event_locked(conn);
    }
    return ERR_OK;
}

static err_t
on_lwip_connected(void *arg, struct tcp_pcb *pcb, err_t err)
{
    struct stack_conn *conn = arg;

    conn->open_due = true;
    conn_queue_event_locked(conn);
    return ERR_OK;
}

static struct stack_conn *
conn_new_locked(struct stack *stack, struct tcp_pcb *pcb)
{
    struct stack_conn *conn = g_try_new0(struct stack_conn, 1);

    if (conn == NULL) {
        return NULL;
    }
    conn->stack = stack;
    conn->pcb = pcb;
    conn->next = stack->conns;
    if (stack->conns != NULL) {
        stack->conns->prev = conn;
    }
    stack->conns = conn;
    tcp_arg(pcb, conn);
    tcp_recv(pcb, on_lwip_recv);
    tcp_sent(pcb, on_lwip_sent);
    tcp_err(pcb, on_lwip_error);
    tcp_nagle_disable(pcb);
    return conn;
}

static void
conn_free_locked(struct stack_conn *conn)
{
    assert(conn->pcb == NULL);
    if (conn->prev != NULL) {
        conn->prev->next = conn->next;
    }
    else {
        conn->stack->conns = conn->next;
    }
    if (conn->next != NULL) {
        conn->next->prev = conn->prev;
    }
    if (conn->in != NULL) {
        g_byte_array_unref(conn->in);
    }
    g_free(conn);
}

err_t
stack_conn_accept(void *arg, struct tcp_pcb *pcb, err_t err)
{
    struct stack_conn *conn;

    if (pcb == NULL || err != ERR_OK) {
        return ERR_VAL;
    }
    conn = conn_new_locked(arg, pcb);
    if (conn == NULL) {
        return ERR_MEM;
    }
    conn->local.ip = lwip_ntohl(ip_addr_get_ip4_u32(&pcb->local_ip));
    conn->local.port = pcb->local_port;
    conn->peer.ip = lwip_ntohl(ip_addr_get_ip4_u32(&pcb->remote_ip));
    conn->peer.port = pcb->remote_port;
    conn->open_due = true;
    conn_queue_event_locked(conn);
    return ERR_OK;
}

/* Clears a flag and returns its value, or false when the owner has closed the
 * connection. */
static bool
conn_take_due(struct stack_conn *conn, bool *due)
{
    bool taken;

    LOCK_TCPIP_CORE();
    taken = *due && !conn->closing;
    *due = false;
    UNLOCK_TCPIP_CORE();
    return taken;
}

static GByteArray *
conn_take_data(struct stack_conn *conn)
{
    GByteArray *in = NULL;

    LOCK_TCPIP_CORE();
    if (!conn->paused && !conn->closing) {
        in = conn->in;
        conn->in = NULL;
    }
    UNLOCK_TCPIP_CORE();
    return in;
}

/* Opens the receive window by the bytes delivered to the owner. */
static void
conn_consumed(struct stack_conn *conn, size_t len)
{
    LOCK_TCPIP_CORE();
    if (conn->pcb != NULL && !conn->closing) {
        tcp_recved(conn->pcb, (u16_t)len);
    }
    UNLOCK_TCPIP_CORE();
}

static void
conn_deliver_data(struct stack_conn *conn)
{
    struct stack_owner *owner = conn->stack->owner;
    GByteArray *in;

    in = conn_take_data(conn);
    if (in == NULL) {
        return;
    }
    /* Before the callback: if it closes the connection, lwIP sends a reset
     * unless the receive window is completely open. */
    conn_consumed(conn, in->len);
    owner->ops->on_data(owner, conn, in->data, in->len);
    g_byte_array_unref(in);
}

/* Returns whether to report EOF, which follows all received bytes. */
static bool
conn_take_eof(struct stack_conn *conn)
{
    bool taken = false;

    LOCK_TCPIP_CORE();
    if (conn->eof_due && !conn->closing && conn->in == NULL) {
        conn->eof_due = false;
        taken = true;
    }
    UNLOCK_TCPIP_CORE();
    return taken;
}

void
stack_conn_deliver(struct stack_conn *conn)
{
    struct stack_owner *owner = conn->stack->owner;
    bool closed;
    int reason;

    if (conn_take_due(conn, &conn->open_due)) {
        owner->ops->on_open(owner, conn);
    }
    conn_deliver_data(conn);
    if (conn_take_due(conn, &conn->writable_due)) {
        owner->ops->on_writable(owner, conn);
    }
    if (conn_take_eof(conn)) {
        owner->ops->on_eof(owner, conn);
    }
    LOCK_TCPIP_CORE();
    /* If queued again meanwhile, the next stack_poll() reports it. */
    closed = conn->closed_due && !conn->queued;
    reason = conn->reason;
    /* Keeps calls from on_closed() from queueing it again. */
    conn->queued |= closed;
    UNLOCK_TCPIP_CORE();
    if (!closed) {
        return;
    }
    owner->ops->on_closed(owner, conn, reason);
    LOCK_TCPIP_CORE();
    conn_free_locked(conn);
    UNLOCK_TCPIP_CORE();
}

void
stack_conn_sweep_locked(struct stack *stack)
{
    struct stack_conn *conn;

    for (conn = stack->conns; conn != NULL; conn = conn->next) {
        if (conn->pcb == NULL || !conn->closing) {
            continue;
        }
        if (conn->pcb->state == TIME_WAIT) {
            conn_detach_locked(conn, 0);
        }
        else if (conn->pcb->state != FIN_WAIT_2) {
            conn->close_ticks = tcp_ticks;
        }
        else if (tcp_ticks - conn->close_ticks > FIN_WAIT_TICKS) {
            conn_abort_locked(conn, -ETIMEDOUT);
        }
    }
}

void
stack_conn_free_all_locked(struct stack *stack)
{
    struct stack_conn *conn;
    struct stack_conn *next;

    /* An abort appends to the list of events: free only after all aborts. */
    for (conn = stack->conns; conn != NULL; conn = conn->next) {
        conn_abort_locked(conn, -ECONNABORTED);
    }
    for (conn = stack->conns; conn != NULL; conn = next) {
        next = conn->next;
        conn_free_locked(conn);
    }
}

struct stack_conn *
stack_connect(struct stack *stack, struct addr local, struct addr remote)
{
    ip_addr_t local_ip = IPADDR4_INIT(lwip_htonl(local.ip));
    ip_addr_t remote_ip = IPADDR4_INIT(lwip_htonl(remote.ip));
    struct stack_conn *conn = NULL;
    struct tcp_pcb *pcb;

    LOCK_TCPIP_CORE();
    pcb = tcp_new_ip_type(IPADDR_TYPE_V4);
    if (pcb == NULL) {
        goto out;
    }
    /* Flows to different remote addresses may share a local port. */
    ip_set_option(pcb, SOF_REUSEADDR);
    if (tcp_bind(pcb, &local_ip, local.port) != ERR_OK) {
        tcp_abort(pcb);
        goto out;
    }
    conn = conn_new_locked(stack, pcb);
    if (conn == NULL) {
        tcp_abort(pcb);
        goto out;
    }
    conn->local.ip = local.ip;
    conn->local.port = pcb->local_port;
    conn->peer = remote;
    if (tcp_connect(pcb, &remote_ip, remote.port, on_lwip_connected) !=
        ERR_OK) {
        tcp_arg(pcb, NULL);
        tcp_err(pcb, NULL);
        tcp_abort(pcb);
        conn->pcb = NULL;
        conn_free_locked(conn);
        conn = NULL;
    }
out:
    UNLOCK_TCPIP_CORE();
    return conn;
}

size_t
stack_write(struct stack_conn *conn, const uint8_t *data, size_t len)
{
    size_t taken = 0;

    LOCK_TCPIP_CORE();
    if (conn->pcb == NULL || conn->closing) {
        goto out;
    }
    taken = MIN(len, tcp_sndbuf(conn->pcb));
    if (taken > 0 && tcp_write(conn->pcb, data, (u16_t)taken,
                               TCP_WRITE_FLAG_COPY) != ERR_OK) {
        taken = 0;
    }
    if (taken > 0) {
        tcp_output(conn->pcb);
    }
    if (taken < len) {
        conn->want_write = true;
    }
out:
    UNLOCK_TCPIP_CORE();
    return taken;
}

/* Discards unread bytes, since lwIP would reset a connection closed with
 * any. */
static void
conn_drop_unread_locked(struct stack_conn *conn)
{
    if (conn->in == NULL) {
        return;
    }
    tcp_recved(conn->pcb, (u16_t)conn->in->len);
    g_byte_array_unref(conn->in);
    conn->in = NULL;
}

void
stack_close(struct stack_conn *conn)
{
    LOCK_TCPIP_CORE();
    if (conn->closing) {
        goto out;
    }
    conn->closing = true;
    if (conn->pcb == NULL) {
        goto out;
    }
    conn->close_ticks = tcp_ticks;
    if (conn->pcb->state == SYN_SENT) {
        conn_abort_locked(conn, 0);
        goto out;
    }
    conn_drop_unread_locked(conn);
    if (tcp_shutdown(conn->pcb, 0, 1) != ERR_OK) {
        conn_abort_locked(conn, -ECONNABORTED);
    }
out:
    UNLOCK_TCPIP_CORE();
}

void
stack_abort(struct stack_conn *conn)
{
    LOCK_TCPIP_CORE();
    conn->closing = true;
    conn_abort_locked(conn, -ECONNABORTED);
    UNLOCK_TCPIP_CORE();
}

struct addr
stack_conn_peer(const struct stack_conn *conn)
{
    return conn->peer;
}

struct addr
stack_conn_local(const struct stack_conn *conn)
{
    return conn->local;
}

void
stack_conn_set_data(struct stack_conn *conn, void *data)
{
    conn->data = data;
}

void *
stack_conn_data(const struct stack_conn *conn)
{
    return conn->data;
}

void
stack_conn_pause(struct stack_conn *conn, bool paused)
{
    LOCK_TCPIP_CORE();
    conn->paused = paused;
    if (!paused && (conn->in != NULL || conn->eof_due)) {
        conn_queue_event_locked(conn);
    }
    UNLOCK_TCPIP_CORE();
}
