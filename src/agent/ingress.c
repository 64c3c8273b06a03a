#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/ingress.h"

#include <errno.h>
#include <linux/errqueue.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agent/program.h"
#include "base/hash.h"
#include "base/log.h"
#include "packet/gue.h"

#define DATAGRAM_MAX 2048
#define SOCKET_BUFFER (4 << 20)
#define PROTO_TCP 6
#define PROTO_UDP 17
#define RESET_MAX 64

/** struct flow_key - addresses and ports of a flow, as in its caller's packets
 */
struct flow_key {
    uint32_t src;
    uint32_t dst;
    uint16_t sport;
    uint16_t dport;
};

/** struct lingering - a closed flow that stays in the flow table until
 * @until_us */
struct lingering {
    struct flow_key key;
    uint64_t until_us;
};

/* Each counter cell has one writer: the event loop's thread writes cell 0, the
 * stack's thread cell 1. */
static _Thread_local unsigned counter_worker = 1;

static guint
key_hash(gconstpointer key)
{
    return (guint)hash_bytes(key, sizeof(struct flow_key), 0);
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(struct flow_key)) == 0;
}

static void
count_drop(struct agent *agent, enum packet_drop drop)
{
    counter_add(&agent->counters, counter_worker, agent->ingress.drops[drop],
                1);
}

/* Reports the member at @to as dead: its packet port is closed. */
static void
report_closed_port(struct agent *agent, struct addr to)
{
    rcu_read_lock();
    const struct view *view = blackboard_view(&agent->blackboard);
    for (size_t i = 0; view != NULL && i < view->count; i++) {
        const struct view_member *member = &view->members[i];
        if (addr_equal(member->data, to) && i != view->self &&
            member->health != MEMBER_DEAD) {
            control_report_dead(agent->control, member->id,
                                member->incarnation);
        }
    }
    rcu_read_unlock();
}

/* Reads the destinations of refused packets; clears the socket's error. */
static void
read_error_queue(struct agent *agent)
{
    for (;;) {
        char control[512];
        char data[64];
        struct sockaddr_in to = {0};
        struct iovec iov = {data, sizeof(data)};
        struct msghdr msg = {
            .msg_name = &to,
            .msg_namelen = sizeof(to),
            .msg_iov = &iov,
            .msg_iovlen = 1,
            .msg_control = control,
            .msg_controllen = sizeof(control),
        };

        if (recvmsg(agent->ingress.fd, &msg, MSG_ERRQUEUE | MSG_DONTWAIT) <
            0) {
            return;
        }
        struct cmsghdr *cmsg = CMSG_FIRSTHDR(&msg);
        if (cmsg == NULL || cmsg->cmsg_level != IPPROTO_IP ||
            cmsg->cmsg_type != IP_RECVERR) {
            continue;
        }
        struct sock_extended_err ee;
        memcpy(&ee, CMSG_DATA(cmsg), sizeof(ee));
        if (ee.ee_errno == ECONNREFUSED) {
            report_closed_port(agent, addr_from_sockaddr(&to));
        }
    }
}

static void
send_packet(struct agent *agent, const struct sockaddr_in *to,
            const struct gue *gue, const uint8_t *buf, size_t len)
{
    uint8_t header[GUE_HEADER_MAX];
    struct iovec iov[2] = {
        {header, gue_encode(gue, header)},
        {(void *)buf, len},
    };
    struct msghdr msg = {
        .msg_name = (void *)to,
        .msg_namelen = sizeof(*to),
        .msg_iov = iov,
        .msg_iovlen = 2,
    };

    /* The first call may return the pending error of an earlier packet. */
    if (sendmsg(agent->ingress.fd, &msg, MSG_DONTWAIT) < 0 &&
        (errno != ECONNREFUSED ||
         sendmsg(agent->ingress.fd, &msg, MSG_DONTWAIT) < 0)) {
        count_drop(agent, PACKET_SEND_FAILED);
    }
}

void
egress_output(struct agent *agent, const uint8_t *buf, size_t len)
{
    struct packet packet;

    if (packet_parse(buf, len, 0, &packet) == PACKET_OK &&
        packet.proto == PROTO_TCP && (packet.flags & PACKET_TCP_SYN) != 0) {
        pthread_mutex_lock(&agent->flow_lock);
        flow_sent_syn_ack(agent->flows, &packet);
        pthread_mutex_unlock(&agent->flow_lock);
    }
    counter_add(&agent->counters, counter_worker, agent->ingress.sent, 1);
    send_packet(agent, &agent->ingress.fabric, NULL, buf, len);
}

void
egress_output_untracked(struct agent *agent, const uint8_t *buf, size_t len)
{
    counter_add(&agent->counters, counter_worker, agent->ingress.sent, 1);
    send_packet(agent, &agent->ingress.fabric, NULL, buf, len);
}

void
ingress_forget(struct agent *agent, const struct packet *key)
{
    pthread_mutex_lock(&agent->flow_lock);
    flow_close(agent->flows, key);
    pthread_mutex_unlock(&agent->flow_lock);
}

static void
send_reset(struct agent *agent, const struct packet *packet)
{
    uint8_t reset[RESET_MAX];
    size_t len = packet_build_reset(packet, reset);

    if (len > 0) {
        counter_add(&agent->counters, 0, agent->ingress.resets, 1);
        egress_output(agent, reset, len);
    }
}

/* Kind of the packet's destination by the current configuration; a balancer's
 * may be older. */
static enum flow_address
classify_address(const struct agent *agent, const struct gue *gue,
                 const struct packet *packet)
{
    if (gue->service != agent->service.id) {
        return FLOW_ADDRESS_NONE;
    }
    return agent_address(agent, packet->dst, packet->dport, packet->proto);
}

static void
deliver_to_stack(struct agent *agent, const struct packet *packet,
                 const uint8_t *buf, size_t len)
{
    counter_add(&agent->counters, 0, agent->ingress.delivered, 1);
    if (packet->proto == PROTO_UDP) {
        datagrams_input(agent, packet, buf);
        return;
    }
    stack_input(agent->stack, buf, len);
}

/* Resets a flow that exceeds the connection limits. */
static void
open_flow(struct agent *agent, const struct packet *packet, const uint8_t *buf,
          size_t len)
{
    bool may = packet->proto == PROTO_UDP
                   ? datagrams_may_open(agent)
                   : frontend_can_open(&agent->frontend, packet->src);

    if (!may) {
        agent->frontend.stats.refused++;
        ingress_forget(agent, packet);
        send_reset(agent, packet);
        return;
    }
    deliver_to_stack(agent, packet, buf, len);
}

static void
forward_to_agent(struct agent *agent, const struct gue *gue,
                 const uint8_t *buf, size_t len)
{
    struct sockaddr_in to = addr_to_sockaddr(gue->hops[gue->index].data);

    counter_add(&agent->counters, 0, agent->ingress.forwarded, 1);
    send_packet(agent, &to, gue, buf, len);
}

static void
handle_packet(struct agent *agent, const uint8_t *buf, size_t len,
              uint64_t now_us)
{
    struct gue gue;
    struct packet packet;
    int header = gue_decode(buf, len, &gue);

    if (header < 0 || gue.count == 0) {
        count_drop(agent, PACKET_BAD_ENCAP);
        return;
    }
    buf += header;
    len -= (size_t)header;
    enum packet_drop drop = packet_parse(buf, len, 1, &packet);
    if (drop != PACKET_OK) {
        count_drop(agent, drop);
        return;
    }
    enum flow_address address = classify_address(agent, &gue, &packet);
    pthread_mutex_lock(&agent->flow_lock);
    struct flow_decision decision =
        flow_address_decide(agent->flows, address, &packet, &gue, now_us);
    pthread_mutex_unlock(&agent->flow_lock);
    switch (decision.verdict) {
    case FLOW_DELIVER:
        deliver_to_stack(agent, &packet, buf, len);
        break;
    case FLOW_OPEN:
        open_flow(agent, &packet, buf, len);
        break;
    case FLOW_FORWARD:
        forward_to_agent(agent, &decision.gue, buf, len);
        break;
    case FLOW_RESET:
        send_reset(agent, &packet);
        break;
    case FLOW_DROP:
        count_drop(agent, decision.drop);
        break;
    }
}

/* Reads one batch; returns the number of packets, or -1. */
static int
read_batch(struct agent *agent)
{
    static uint8_t buffers[INGRESS_BATCH][DATAGRAM_MAX];
    struct mmsghdr msgs[INGRESS_BATCH];
    struct iovec iovs[INGRESS_BATCH];

    memset(msgs, 0, sizeof(msgs));
    for (size_t i = 0; i < INGRESS_BATCH; i++) {
        iovs[i] = (struct iovec){buffers[i], DATAGRAM_MAX};
        msgs[i].msg_hdr.msg_iov = &iovs[i];
        msgs[i].msg_hdr.msg_iovlen = 1;
    }
    int count =
        recvmmsg(agent->ingress.fd, msgs, INGRESS_BATCH, MSG_DONTWAIT, NULL);
    uint64_t now_us = agent_now(agent);
    for (int i = 0; i < count; i++) {
        if ((msgs[i].msg_hdr.msg_flags & MSG_TRUNC) != 0) {
            count_drop(agent, PACKET_TOO_LONG);
            continue;
        }
        handle_packet(agent, buffers[i], msgs[i].msg_len, now_us);
    }
    return count;
}

static void
on_readable(evutil_socket_t fd, short what, void *arg)
{
    struct agent *agent = arg;

    read_error_queue(agent);
    for (int i = 0; i < INGRESS_BATCHES_MAX; i++) {
        if (read_batch(agent) < INGRESS_BATCH) {
            break;
        }
    }
    stack_poll(agent->stack);
}

void
ingress_register(struct agent *agent)
{
    struct ingress *ingress = &agent->ingress;
    struct counter_table *counters = &agent->counters;

    for (size_t i = 0; i < PACKET_DROP_COUNT; i++) {
        char label[COUNTER_NAME_MAX];
        g_snprintf(label, sizeof(label), "reason=\"%s\"",
                   packet_drop_name((enum packet_drop)i));
        ingress->drops[i] =
            counter_register(counters, "packets_dropped_total", label);
    }
    ingress->delivered = counter_register(counters, "packets_taken_total", "");
    ingress->forwarded =
        counter_register(counters, "packets_passed_total", "");
    ingress->resets = counter_register(counters, "resets_sent_total", "");
    ingress->sent = counter_register(counters, "packets_sent_total", "");
}

static int
open_socket(struct addr addr, struct error *err)
{
    struct sockaddr_in sin = addr_to_sockaddr(addr);
    int size = SOCKET_BUFFER;
    int on = 1;
    char peer[ADDR_TEXT_MAX];
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return error_set(err, -errno, "socket", NULL,
                         "cannot create the packet socket");
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    setsockopt(fd, IPPROTO_IP, IP_RECVERR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0) {
        int code = -errno;
        close(fd);
        return error_set(err, code, "bind", addr_format(addr, peer),
                         "cannot bind the packet socket");
    }
    return fd;
}

int
ingress_init(struct agent *agent, struct error *err)
{
    struct ingress *ingress = &agent->ingress;

    counter_worker = 0;
    g_queue_init(&ingress->lingering);
    ingress->live = g_hash_table_new_full(key_hash, key_equal, g_free, NULL);
    ingress->fabric = addr_to_sockaddr(agent->settings.fabric);
    ingress->fd = open_socket(agent->settings.data, err);
    if (ingress->fd < 0) {
        return ingress->fd;
    }
    ingress->event = event_new(agent->base, ingress->fd, EV_READ | EV_PERSIST,
                               on_readable, agent);
    if (ingress->event == NULL || event_add(ingress->event, NULL) < 0) {
        return error_set(err, -ENOMEM, "event", NULL,
                         "cannot add the packet socket to the event loop");
    }
    return 0;
}

void
ingress_finish(struct agent *agent)
{
    struct ingress *ingress = &agent->ingress;

    if (ingress->event != NULL) {
        event_free(ingress->event);
    }
    if (ingress->fd >= 0) {
        close(ingress->fd);
    }
    if (ingress->live != NULL) {
        g_hash_table_unref(ingress->live);
        g_queue_clear_full(&ingress->lingering, g_free);
    }
}

void
ingress_flow(struct agent *agent, struct addr caller, struct addr local,
             bool open)
{
    struct ingress *ingress = &agent->ingress;
    struct flow_key key = {caller.ip, local.ip, caller.port, local.port};

    if (open) {
        g_hash_table_add(ingress->live, g_memdup2(&key, sizeof(key)));
        return;
    }
    g_hash_table_remove(ingress->live, &key);
    struct lingering *item = g_new(struct lingering, 1);
    item->key = key;
    item->until_us = agent_now(agent) + INGRESS_LINGER_US;
    g_queue_push_tail(&ingress->lingering, item);
}

void
ingress_tick(struct agent *agent)
{
    struct ingress *ingress = &agent->ingress;
    uint64_t now_us = agent_now(agent);

    for (;;) {
        struct lingering *item = g_queue_peek_head(&ingress->lingering);
        if (item == NULL || item->until_us > now_us) {
            return;
        }
        g_queue_pop_head(&ingress->lingering);
        if (!g_hash_table_contains(ingress->live, &item->key)) {
            struct packet key = {
                .src = item->key.src,
                .dst = item->key.dst,
                .sport = item->key.sport,
                .dport = item->key.dport,
                .proto = PROTO_TCP,
            };
            ingress_forget(agent, &key);
        }
        g_free(item);
    }
}
