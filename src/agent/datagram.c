#define G_LOG_DOMAIN "swiftarch-agent"

#include "agent/datagram.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include "agent/program.h"
#include "base/hash.h"
#include "base/log.h"

#define PROTO_UDP 17

/**
 * struct datagram_flow - UDP flow of one caller
 * @key: first packet of the flow; its addresses and ports identify the flow
 * @agent: agent that relays the flow
 * @fd: socket connected to the upstream
 * @event: read event of @fd
 * @last_us: time of the last packet in either direction
 */
struct datagram_flow {
    struct packet key;
    struct agent *agent;
    int fd;
    struct event *event;
    uint64_t last_us;
};

static guint
flow_hash(gconstpointer arg)
{
    const struct datagram_flow *flow = arg;
    uint64_t ports = (uint64_t)flow->key.sport << 16 | flow->key.dport;
    uint64_t ips = (uint64_t)flow->key.src << 32 | flow->key.dst;

    return (guint)hash_pair(ips, ports);
}

static gboolean
flow_equal(gconstpointer a, gconstpointer b)
{
    const struct packet *x = &((const struct datagram_flow *)a)->key;
    const struct packet *y = &((const struct datagram_flow *)b)->key;

    return x->src == y->src && x->dst == y->dst && x->sport == y->sport &&
           x->dport == y->dport;
}

static void
flow_free(gpointer arg)
{
    struct datagram_flow *flow = arg;

    if (flow->event != NULL) {
        event_free(flow->event);
    }
    if (flow->fd >= 0) {
        close(flow->fd);
    }
    g_free(flow);
}

static void
on_reply(evutil_socket_t fd, short what, void *arg)
{
    struct datagram_flow *flow = arg;
    const struct packet *key = &flow->key;
    uint8_t payload[PACKET_MAX];
    uint8_t buf[PACKET_MAX];

    ssize_t len = recv(fd, payload, sizeof(payload), MSG_DONTWAIT);
    if (len < 0) {
        return; /* for example an ICMP error for an earlier datagram */
    }
    flow->last_us = agent_now(flow->agent);
    size_t total = packet_build_udp(key->dst, key->dport, key->src, key->sport,
                                    payload, (size_t)len, buf);
    if (total > 0) {
        egress_output(flow->agent, buf, total);
    }
}

static struct datagram_flow *
flow_open(struct agent *agent, const struct packet *packet)
{
    struct sockaddr_in to = addr_to_sockaddr(agent->upstream.addr);
    struct datagram_flow *flow = g_new0(struct datagram_flow, 1);

    flow->key = *packet;
    flow->agent = agent;
    flow->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (flow->fd < 0 ||
        connect(flow->fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
        goto err;
    }
    flow->event =
        event_new(agent->base, flow->fd, EV_READ | EV_PERSIST, on_reply, flow);
    if (flow->event == NULL || event_add(flow->event, NULL) < 0) {
        goto err;
    }
    g_hash_table_add(agent->datagrams.flows, flow);
    return flow;
err:
    g_warning("Cannot open a UDP flow to the upstream.");
    flow_free(flow);
    return NULL;
}

void
datagrams_init(struct datagrams *datagrams)
{
    datagrams->flows =
        g_hash_table_new_full(flow_hash, flow_equal, flow_free, NULL);
}

void
datagrams_finish(struct datagrams *datagrams)
{
    if (datagrams->flows != NULL) {
        g_hash_table_unref(datagrams->flows);
    }
}

bool
datagrams_may_open(const struct agent *agent)
{
    return g_hash_table_size(agent->datagrams.flows) <
           agent->service.limits.connections;
}

void
datagrams_input(struct agent *agent, const struct packet *packet,
                const uint8_t *buf)
{
    struct datagram_flow probe = {.key = *packet};
    struct datagram_flow *flow =
        g_hash_table_lookup(agent->datagrams.flows, &probe);

    if (flow == NULL) {
        flow = flow_open(agent, packet);
    }
    if (flow == NULL) {
        ingress_forget(agent, packet);
        return;
    }
    flow->last_us = agent_now(agent);
    send(flow->fd, buf + packet->payload, packet->payload_len, MSG_DONTWAIT);
}

void
datagrams_tick(struct agent *agent)
{
    uint64_t now_us = agent_now(agent);
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, agent->datagrams.flows);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct datagram_flow *flow = key;
        if (now_us - flow->last_us > DATAGRAM_IDLE_US) {
            ingress_forget(agent, &flow->key);
            g_hash_table_iter_remove(&iter);
        }
    }
}
