#define G_LOG_DOMAIN "swiftarch-base"

#include "base/link.h"

#include <assert.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>

#include "base/link_wire.h"

#define CONNECT_TIMEOUT                                                       \
    {                                                                         \
        .tv_usec = LINK_CONNECT_TIMEOUT_MS * 1000                             \
    }
#define AUTH_TIMEOUT                                                          \
    {                                                                         \
        .tv_sec = 2                                                           \
    }
#define USER_TIMEOUT_MS 10000 /* TCP_USER_TIMEOUT */
#define UNAUTHENTICATED_MAX 256

/**
 * struct link_conn - one connection
 * @hub: its hub
 * @next: next connection of the hub
 * @prev_next: pointer to this connection in the list, NULL if not listed
 * @event: bufferevent of the socket
 * @peer: remote address
 * @key: @peer as key of the hub's outbound table
 * @outbound: opened by this hub
 * @wire: nonces and sequences
 * @pending: frames queued until the peer's hello arrives
 * @authenticated: a valid frame with the site key was received
 */
struct link_conn {
    struct link_hub *hub;
    struct link_conn *next;
    struct link_conn **prev_next;
    struct bufferevent *event;
    struct addr peer;
    uint64_t key;
    bool outbound;
    struct link_wire wire;
    struct evbuffer *pending;
    bool authenticated;
};

static uint64_t
addr_key(struct addr addr)
{
    return (uint64_t)addr.ip << 16 | addr.port;
}

static void
conn_attach(struct link_conn *conn)
{
    struct link_hub *hub = conn->hub;

    conn->next = hub->conns;
    conn->prev_next = &hub->conns;
    if (conn->next != NULL)
        conn->next->prev_next = &conn->next;
    hub->conns = conn;
    if (conn->outbound)
        g_hash_table_insert(hub->outbound, &conn->key, conn);
    else
        hub->unauthenticated++;
}

static void
conn_detach(struct link_conn *conn)
{
    if (conn->prev_next == NULL)
        return;
    *conn->prev_next = conn->next;
    if (conn->next != NULL)
        conn->next->prev_next = conn->prev_next;
    conn->prev_next = NULL;
    if (conn->outbound)
        g_hash_table_remove(conn->hub->outbound, &conn->key);
    else if (!conn->authenticated)
        conn->hub->unauthenticated--;
}

static void
conn_free(struct link_conn *conn)
{
    conn_detach(conn);
    if (conn->event != NULL)
        bufferevent_free(conn->event);
    if (conn->pending != NULL)
        evbuffer_free(conn->pending);
    g_free(conn);
}

/* Detaches first, as the callback may send, which opens a new connection. */
static void
conn_disconnect(struct link_conn *conn, int reason)
{
    struct link_hub *hub = conn->hub;
    char text[ADDR_TEXT_MAX];

    g_debug("Connection to %s closed: %s.", addr_format(conn->peer, text),
            g_strerror(-reason));
    conn_detach(conn);
    if (hub->handler->ops->on_disconnect != NULL)
        hub->handler->ops->on_disconnect(hub->handler, conn, conn->peer,
                                         reason);
    conn_free(conn);
}

static int
conn_write_frame(struct link_conn *conn, uint16_t type, const uint8_t *body,
                 size_t len)
{
    uint8_t head[LINK_WIRE_HEADER_LEN];
    uint8_t tag[AUTH_TAG_LEN];
    struct evbuffer *out = bufferevent_get_output(conn->event);

    link_wire_seal(&conn->wire, conn->hub->auth, type, body, len, head, tag);
    if (evbuffer_expand(out, sizeof(head) + len + sizeof(tag)) < 0)
        return -ENOMEM;
    evbuffer_add(out, head, sizeof(head));
    if (len > 0)
        evbuffer_add(out, body, len);
    evbuffer_add(out, tag, sizeof(tag));
    conn->hub->sent_bytes += sizeof(head) + len + sizeof(tag);
    return 0;
}

/* Queues a frame as type (2), length (4), body until the peer's hello. */
static int
conn_queue_pending(struct link_conn *conn, uint16_t type, const uint8_t *body,
                   size_t len)
{
    uint32_t size = (uint32_t)len;

    if (evbuffer_expand(conn->pending, sizeof(type) + sizeof(size) + len) < 0)
        return -ENOMEM;
    evbuffer_add(conn->pending, &type, sizeof(type));
    evbuffer_add(conn->pending, &size, sizeof(size));
    if (len > 0)
        evbuffer_add(conn->pending, body, len);
    return 0;
}

static int
conn_flush_pending(struct link_conn *conn)
{
    while (evbuffer_get_length(conn->pending) > 0) {
        uint16_t type;
        uint32_t size;
        const uint8_t *body = NULL;
        int ret;

        evbuffer_remove(conn->pending, &type, sizeof(type));
        evbuffer_remove(conn->pending, &size, sizeof(size));
        if (size > 0)
            body = evbuffer_pullup(conn->pending, size);
        ret = conn_write_frame(conn, type, body, size);
        if (ret < 0)
            return ret;
        evbuffer_drain(conn->pending, size);
    }
    return 0;
}

static size_t
conn_queued(const struct link_conn *conn)
{
    return evbuffer_get_length(bufferevent_get_output(conn->event)) +
           evbuffer_get_length(conn->pending);
}

static int
conn_send(struct link_conn *conn, uint16_t type, const uint8_t *body,
          size_t len)
{
    assert(type != LINK_WIRE_AUTH);
    if (len > LINK_FRAME_MAX - LINK_WIRE_OVERHEAD)
        return -EMSGSIZE;
    if (conn_queued(conn) + len > LINK_QUEUE_MAX)
        return -ENOBUFS;
    if (!conn->wire.ready)
        return conn_queue_pending(conn, type, body, len);
    return conn_write_frame(conn, type, body, len);
}

/* Reads the peer's nonce, authenticates and sends the queued frames. */
static int
conn_read_hello(struct link_conn *conn, struct evbuffer *in)
{
    uint8_t hello[LINK_WIRE_HELLO_LEN];
    int ret;

    if (evbuffer_remove(in, hello, sizeof(hello)) != sizeof(hello))
        return -EBADMSG;
    ret = link_wire_read_hello(&conn->wire, hello);
    if (ret < 0)
        return ret;
    ret = conn_write_frame(conn, LINK_WIRE_AUTH, NULL, 0);
    if (ret < 0)
        return ret;
    return conn_flush_pending(conn);
}

static void
conn_set_authenticated(struct link_conn *conn)
{
    if (!conn->authenticated && !conn->outbound)
        conn->hub->unauthenticated--;
    conn->authenticated = true;
    bufferevent_set_timeouts(conn->event, NULL, NULL);
}

static int
conn_read_frame(struct link_conn *conn, struct evbuffer *in, size_t size)
{
    struct link_hub *hub = conn->hub;
    struct link_frame frame;
    const uint8_t *data = evbuffer_pullup(in, (ev_ssize_t)size);
    int ret;

    if (data == NULL)
        return -ENOMEM;
    ret = link_wire_open(&conn->wire, hub->auth, data, size, &frame);
    if (ret < 0)
        return ret;
    hub->received_bytes += size;
    if (frame.type == LINK_WIRE_AUTH)
        conn_set_authenticated(conn);
    else if (!conn->authenticated)
        return -EBADMSG;
    else
        hub->handler->ops->on_frame(hub->handler, conn, frame.sender,
                                    frame.type, frame.body, frame.len);
    evbuffer_drain(in, size);
    return 0;
}

/* Sets @size to that of the next frame, 0 if it is incomplete. */
static int
conn_next_frame_size(const struct link_conn *conn, struct evbuffer *in,
                     size_t *size)
{
    uint8_t length[LINK_WIRE_LENGTH_LEN];
    size_t max = conn->authenticated ? LINK_FRAME_MAX : LINK_WIRE_OVERHEAD;

    *size = 0;
    if (evbuffer_copyout(in, length, sizeof(length)) < (int)sizeof(length))
        return 0;
    *size = link_wire_frame_size(length);
    if (*size > max)
        return -EMSGSIZE;
    if (*size < LINK_WIRE_OVERHEAD)
        return -EBADMSG;
    if (evbuffer_get_length(in) < *size)
        *size = 0;
    return 0;
}

static void
on_read(struct bufferevent *event, void *data)
{
    struct link_conn *conn = data;
    struct evbuffer *in = bufferevent_get_input(event);
    int ret = 0;

    if (!conn->wire.ready) {
        if (evbuffer_get_length(in) < LINK_WIRE_HELLO_LEN)
            return;
        ret = conn_read_hello(conn, in);
    }
    while (ret == 0) {
        size_t size;

        ret = conn_next_frame_size(conn, in, &size);
        if (ret == 0 && size == 0)
            return;
        if (ret == 0)
            ret = conn_read_frame(conn, in, size);
    }
    conn->hub->rejected++;
    conn_disconnect(conn, ret);
}

static void
on_event(struct bufferevent *event, short what, void *data)
{
    struct link_conn *conn = data;
    const struct timeval auth_timeout = AUTH_TIMEOUT;
    int code = EVUTIL_SOCKET_ERROR();

    (void)event;
    if (what & BEV_EVENT_CONNECTED)
        bufferevent_set_timeouts(conn->event, &auth_timeout, NULL);
    else if (what & BEV_EVENT_TIMEOUT)
        conn_disconnect(conn, -ETIMEDOUT);
    else if (what & BEV_EVENT_EOF)
        conn_disconnect(conn, -ECONNRESET);
    else if (what & BEV_EVENT_ERROR)
        conn_disconnect(conn, code != 0 ? -code : -EIO);
}

static void
set_socket_options(evutil_socket_t fd)
{
    int on = 1;
    int unacked_ms = USER_TIMEOUT_MS;

    /* Errors are ignored: the options only affect latency. */
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
                     sizeof(unacked_ms));
}

/* Takes ownership of @fd; -1 creates an outbound connection. */
static struct link_conn *
conn_new(struct link_hub *hub, evutil_socket_t fd, struct addr peer)
{
    struct link_conn *conn = g_new0(struct link_conn, 1);
    uint8_t hello[LINK_WIRE_HELLO_LEN];

    conn->hub = hub;
    conn->peer = peer;
    conn->key = addr_key(peer);
    conn->outbound = fd < 0;
    if (link_wire_init(&conn->wire, hello) < 0)
        goto err;
    conn->pending = evbuffer_new();
    conn->event = bufferevent_socket_new(hub->base, fd, BEV_OPT_CLOSE_ON_FREE);
    if (conn->pending == NULL || conn->event == NULL)
        goto err;
    bufferevent_setcb(conn->event, on_read, NULL, on_event, conn);
    if (bufferevent_write(conn->event, hello, sizeof(hello)) < 0)
        goto err;
    return conn;

err:
    /* The bufferevent, if it exists, closes the socket. */
    if (conn->event == NULL && fd >= 0)
        evutil_closesocket(fd);
    conn_free(conn);
    return NULL;
}

static int
conn_open(struct link_hub *hub, struct addr to, struct link_conn **out)
{
    const struct timeval connect_timeout = CONNECT_TIMEOUT;
    struct sockaddr_in sin = addr_to_sockaddr(to);
    struct link_conn *conn = conn_new(hub, -1, to);

    if (conn == NULL)
        return -ENOMEM;
    /* The write timeout applies until the connection is established. */
    bufferevent_set_timeouts(conn->event, NULL, &connect_timeout);
    bufferevent_enable(conn->event, EV_READ | EV_WRITE);
    errno = 0;
    if (bufferevent_socket_connect(conn->event, (struct sockaddr *)&sin,
                                   sizeof(sin)) < 0) {
        int code = errno != 0 ? -errno : -EIO;

        conn_free(conn);
        return code;
    }
    set_socket_options(bufferevent_getfd(conn->event));
    conn_attach(conn);
    *out = conn;
    return 0;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *sa, int len, void *data)
{
    struct link_hub *hub = data;
    const struct timeval auth_timeout = AUTH_TIMEOUT;
    struct link_conn *conn;

    (void)listener;
    (void)len;
    /* Bounds the descriptors and memory of unauthenticated peers. */
    if (hub->unauthenticated >= UNAUTHENTICATED_MAX) {
        hub->rejected++;
        evutil_closesocket(fd);
        return;
    }
    set_socket_options(fd);
    conn = conn_new(hub, fd, addr_from_sockaddr((struct sockaddr_in *)sa));
    if (conn == NULL)
        return;
    conn_attach(conn);
    bufferevent_set_timeouts(conn->event, &auth_timeout, NULL);
    bufferevent_enable(conn->event, EV_READ | EV_WRITE);
}

int
link_hub_init(struct link_hub *hub, struct event_base *base, struct auth *auth,
              struct link_handler *handler, struct addr listen,
              struct error *err)
{
    struct sockaddr_in sin = addr_to_sockaddr(listen);
    char text[ADDR_TEXT_MAX];

    memset(hub, 0, sizeof(*hub));
    hub->base = base;
    hub->auth = auth;
    hub->handler = handler;
    hub->outbound = g_hash_table_new(g_int64_hash, g_int64_equal);
    if (listen.ip == 0 && listen.port == 0)
        return 0;
    errno = 0;
    hub->listener = evconnlistener_new_bind(
        base, on_accept, hub,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&sin, sizeof(sin));
    if (hub->listener == NULL) {
        int code = errno != 0 ? -errno : -ENOMEM;

        link_hub_finish(hub);
        return error_set(err, code, "listen for links",
                         addr_format(listen, text),
                         "can't bind or listen on the address");
    }
    return 0;
}

void
link_hub_finish(struct link_hub *hub)
{
    struct link_conn *next;

    for (struct link_conn *conn = hub->conns; conn != NULL; conn = next) {
        next = conn->next;
        conn_free(conn);
    }
    hub->conns = NULL;
    if (hub->listener != NULL)
        evconnlistener_free(hub->listener);
    hub->listener = NULL;
    if (hub->outbound != NULL)
        g_hash_table_destroy(hub->outbound);
    hub->outbound = NULL;
}

struct addr
link_hub_addr(const struct link_hub *hub)
{
    struct sockaddr_in sin = {0};
    socklen_t len = sizeof(sin);

    if (hub->listener != NULL)
        getsockname(evconnlistener_get_fd(hub->listener),
                    (struct sockaddr *)&sin, &len);
    return addr_from_sockaddr(&sin);
}

int
link_send(struct link_hub *hub, struct addr to, uint16_t type,
          const uint8_t *body, size_t len)
{
    uint64_t key = addr_key(to);
    struct link_conn *conn = g_hash_table_lookup(hub->outbound, &key);

    if (conn == NULL) {
        int ret = conn_open(hub, to, &conn);

        if (ret < 0)
            return ret;
    }
    assert(conn != NULL);
    return conn_send(conn, type, body, len);
}

int
link_reply(struct link_hub *hub, struct link_conn *conn, uint16_t type,
           const uint8_t *body, size_t len)
{
    assert(conn->hub == hub);
    return conn_send(conn, type, body, len);
}

size_t
link_hub_queued(const struct link_hub *hub)
{
    size_t queued = 0;

    for (struct link_conn *conn = hub->conns; conn != NULL; conn = conn->next)
        queued += conn_queued(conn);
    return queued;
}
