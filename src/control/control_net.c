#define G_LOG_DOMAIN "swiftarch-control"

#include <errno.h>
#include <time.h>

#include <linux/errqueue.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/hash.h"
#include "base/log.h"
#include "control/control_internal.h"
#include "control/wire.h"

#define DATAGRAMS_PER_TURN 64
#define FRAME_STACK_MAX 2048
#define EXTENSION_MARK 0 /* never the first byte of an encoded message */

/* Handles ICMP errors: a refusal proves that the process has ended. */
static void
drain_errors(struct control *control)
{
    for (;;) {
        struct sockaddr_in sin;
        uint8_t space[256];
        struct msghdr msg = {
            .msg_name = &sin,
            .msg_namelen = sizeof(sin),
            .msg_control = space,
            .msg_controllen = sizeof(space),
        };

        if (recvmsg(control->udp, &msg, MSG_ERRQUEUE | MSG_DONTWAIT) < 0)
            return;
        for (struct cmsghdr *cmsg = CMSG_FIRSTHDR(&msg); cmsg != NULL;
             cmsg = CMSG_NXTHDR(&msg, cmsg)) {
            struct sock_extended_err ext_err;

            if (cmsg->cmsg_level != IPPROTO_IP ||
                cmsg->cmsg_type != IP_RECVERR)
                continue;
            memcpy(&ext_err, CMSG_DATA(cmsg), sizeof(ext_err));
            if (ext_err.ee_errno == ECONNREFUSED)
                member_refused(&control->members, addr_from_sockaddr(&sin),
                               control_now(control));
        }
    }
}

static void
handle_extension(struct control *control, const uint8_t *body, size_t len)
{
    struct extension *extension = control->blackboard->extension;

    if (extension != NULL)
        extension->ops->on_message(extension, body, len, control_now(control));
}

static void
handle_message(struct control *control, const uint8_t *body, size_t len,
               uint64_t sender, struct addr from)
{
    uint64_t now_us = control_now(control);
    const struct member_entry *entry;
    struct member_msg msg;

    if (wire_decode(body, len, sender, &msg) < 0) {
        control->bad_messages++;
        return;
    }
    member_receive(&control->members, &msg, from, now_us, &control->out);
    entry = member_find(&control->members, sender);
    if (entry != NULL)
        config_handle_peer_version(&control->config, entry->member.control,
                                   msg.config_version, msg.word_age_ms,
                                   now_us);
    member_msg_finish(&msg);
}

static bool
receive_one(struct control *control)
{
    uint8_t sealed[FRAME_STACK_MAX];
    struct sockaddr_in sin;
    socklen_t sin_len = sizeof(sin);
    const uint8_t *body;
    size_t body_len;
    uint64_t sender;
    ssize_t len;

    len = recvfrom(control->udp, sealed, sizeof(sealed), MSG_DONTWAIT,
                   (struct sockaddr *)&sin, &sin_len);
    if (len < 0)
        return errno == ECONNREFUSED || errno == EINTR;
    control->datagrams_in++;
    control->bytes_in += len;
    if (auth_open(&control->auth, sealed, len, control_wall_ms(), &sender,
                  &body, &body_len) < 0)
        control->bad_messages++;
    else if (body_len > 0 && body[0] == EXTENSION_MARK)
        handle_extension(control, body + 1, body_len - 1);
    else
        handle_message(control, body, body_len, sender,
                       addr_from_sockaddr(&sin));
    return true;
}

static void
on_udp(evutil_socket_t fd, short what, void *data)
{
    struct control *control = data;

    drain_errors(control);
    for (unsigned i = 0; i < DATAGRAMS_PER_TURN; i++) {
        if (!receive_one(control))
            break;
    }
    control->ops->step(control);
}

static void
on_frame(struct link_handler *handler, struct link_conn *conn, uint64_t sender,
         uint16_t type, const uint8_t *body, size_t len)
{
    struct control *control = (struct control *)handler;
    struct addr none = {0};

    control->conn = conn;
    switch (type) {
    case CONTROL_FRAME_SYNC:
        handle_message(control, body, len, sender, none);
        break;
    case CONTROL_FRAME_EXTENSION:
        handle_extension(control, body, len);
        break;
    default:
        control->ops->on_peer(control, conn, type, body, len);
        break;
    }
    control->ops->step(control);
    control->conn = NULL;
}

static void
on_disconnect(struct link_handler *handler, struct link_conn *conn,
              struct addr peer, int reason)
{
    struct control *control = (struct control *)handler;
    uint64_t now_us = control_now(control);

    if (reason == -ECONNREFUSED)
        member_refused(&control->members, peer, now_us);
    if (control->config.fetching && addr_equal(peer, control->fetch_from))
        config_handle_fetch_reply(&control->config, 0, now_us);
    control->ops->step(control);
}

static const struct link_ops link_ops = {
    .on_frame = on_frame,
    .on_disconnect = on_disconnect,
};

static int
bind_udp(struct control *control, struct addr at, struct error *err)
{
    struct sockaddr_in sin = addr_to_sockaddr(at);
    char peer[ADDR_TEXT_MAX];
    int on = 1;

    control->udp =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (control->udp < 0)
        return error_set(err, -errno, "socket", NULL,
                         "The UDP socket can't be created.");
    if (bind(control->udp, (struct sockaddr *)&sin, sizeof(sin)) < 0)
        return error_set(err, -errno, "bind", addr_format(at, peer),
                         "The control address can't be bound.");
    if (setsockopt(control->udp, IPPROTO_IP, IP_RECVERR, &on, sizeof(on)) < 0)
        return error_set(err, -errno, "setsockopt", NULL,
                         "IP_RECVERR can't be set on the UDP socket.");
    return 0;
}

int
control_net_open(struct control *control, struct error *err)
{
    int ret;

    control->udp = -1;
    control->handler.ops = &link_ops;
    ret = auth_init(&control->auth, control->settings->site_key,
                    control->settings->site_key_len,
                    hash_name(control->settings->name), control_wall_ms());
    if (ret < 0)
        return error_set(err, ret, "site key", NULL,
                         "The site key can't be used.");
    ret = link_hub_init(&control->hub, control->base, &control->auth,
                        &control->handler, control->settings->control, err);
    if (ret < 0)
        return ret;
    /* UDP uses the port of TCP, also if the kernel assigned it. */
    ret = bind_udp(control, link_hub_addr(&control->hub), err);
    if (ret < 0)
        return ret;
    control->udp_event = event_new(control->base, control->udp,
                                   EV_READ | EV_PERSIST, on_udp, control);
    if (control->udp_event == NULL || event_add(control->udp_event, NULL) < 0)
        return error_set(err, -ENOMEM, "event", NULL,
                         "The UDP event can't be created.");
    return 0;
}

void
control_net_close(struct control *control)
{
    if (control->udp_event != NULL)
        event_free(control->udp_event);
    if (control->udp >= 0)
        close(control->udp);
    if (control->hub.base != NULL)
        link_hub_finish(&control->hub);
    auth_finish(&control->auth);
}

static void
seal_and_send(struct control *control, struct addr to, const uint8_t *body,
              size_t len)
{
    uint8_t sealed[FRAME_STACK_MAX + AUTH_OVERHEAD];
    struct sockaddr_in sin = addr_to_sockaddr(to);
    ssize_t sent;

    g_assert(len + AUTH_OVERHEAD <= MEMBER_DATAGRAM_MAX);
    len = auth_seal(&control->auth, body, len, control_wall_ms(), sealed);
    do {
        /* sendto() reports a pending error of an earlier datagram once. */
        sent = sendto(control->udp, sealed, len, 0, (struct sockaddr *)&sin,
                      sizeof(sin));
    } while (sent < 0 && (errno == EINTR || errno == ECONNREFUSED));
    if (sent < 0)
        return;
    control->datagrams_out++;
    control->bytes_out += len;
}

static void
send_datagram(struct control *control, const struct member_action *action)
{
    uint8_t body[FRAME_STACK_MAX];

    g_assert(wire_size(&action->msg) <= sizeof(body));
    seal_and_send(control, action->to, body, wire_encode(&action->msg, body));
}

void
control_net_send_extension(struct control *control, struct addr to,
                           const uint8_t *body, size_t len)
{
    uint8_t marked[MEMBER_DATAGRAM_MAX];

    if (len + 1 + AUTH_OVERHEAD > sizeof(marked)) {
        link_send(&control->hub, to, CONTROL_FRAME_EXTENSION, body, len);
        return;
    }
    marked[0] = EXTENSION_MARK;
    memcpy(marked + 1, body, len);
    seal_and_send(control, to, marked, len + 1);
}

static void
send_frame(struct control *control, const struct member_action *action)
{
    size_t len = wire_size(&action->msg);
    uint8_t *body = g_malloc(len);
    bool reply = action->to.ip == 0;

    len = wire_encode(&action->msg, body);
    if (!reply)
        link_send(&control->hub, action->to, CONTROL_FRAME_SYNC, body, len);
    else if (control->conn != NULL)
        link_reply(&control->hub, control->conn, CONTROL_FRAME_SYNC, body,
                   len);
    g_free(body);
}

void
control_net_send(struct control *control)
{
    for (size_t i = 0; i < control->out.count; i++) {
        const struct member_action *action = &control->out.items[i];

        if (action->stream)
            send_frame(control, action);
        else
            send_datagram(control, action);
    }
    member_actions_clear(&control->out);
}
