#include "scene.h"

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "lib/segment.h"

#define RESET_LEN 40
#define PROTO_TCP 6
#define ISN_STEP 10000
#define FIRST_SEQ 1000
#define SYN_ACK (PACKET_TCP_SYN | PACKET_TCP_ACK)

static const char *const verdicts[] = {"delivered", "opened", "forwarded",
                                       "reset", "dropped, "};

static GBytes *
build_tcp(const struct packet *packet, const char *payload)
{
    uint8_t buf[PACKET_MAX];

    return g_bytes_new(buf, segment_tcp(buf, packet, payload));
}

static char *
describe_packet(const struct packet *packet, const uint8_t *buf)
{
    struct addr src = {packet->src, packet->sport};
    struct addr dst = {packet->dst, packet->dport};
    char from[ADDR_TEXT_MAX];
    char to[ADDR_TEXT_MAX];
    GString *text = g_string_new(NULL);

    g_string_printf(text, "%s>%s", addr_format(src, from),
                    addr_format(dst, to));
    if ((packet->flags & PACKET_TCP_SYN) != 0) {
        g_string_append(text, " SYN");
    }
    if ((packet->flags & PACKET_TCP_RST) != 0) {
        g_string_append(text, " RST");
    }
    g_string_append_printf(text, " seq %u", packet->seq);
    if ((packet->flags & PACKET_TCP_ACK) != 0) {
        g_string_append_printf(text, " ack %u", packet->ack);
    }
    if (packet->payload_len > 0) {
        g_string_append_printf(text, " \"%.*s\"", packet->payload_len,
                               buf + packet->payload);
    }
    return g_string_free(text, FALSE);
}

static char *
describe_hops(const struct scene *scene, const struct gue *gue)
{
    GString *text = g_string_new("[");

    for (unsigned i = 0; i < gue->count; i++) {
        g_string_append_printf(text, "%s%s%s", i > 0 ? " " : "",
                               i == gue->index ? "*" : "",
                               scene_member_name(scene, gue->hops[i].member));
    }
    g_string_append_printf(
        text, "]%s%s", (gue->flags & GUE_OPEN) != 0 ? " may open" : "",
        (gue->flags & GUE_SUSPECTS) != 0 ? " suspects" : "");
    return g_string_free(text, FALSE);
}

static struct scene_flow *
find_flow(struct scene *scene, const struct packet *key)
{
    for (guint i = 0; i < scene->flows->len; i++) {
        struct scene_flow *flow = g_ptr_array_index(scene->flows, i);

        if (flow->key.src == key->src && flow->key.sport == key->sport &&
            flow->key.dst == key->dst && flow->key.dport == key->dport) {
            return flow;
        }
    }
    struct scene_flow *flow = g_new0(struct scene_flow, 1);
    flow->key = *key;
    g_ptr_array_add(scene->flows, flow);
    return flow;
}

static void
unref_bytes(GBytes *bytes)
{
    if (bytes != NULL) {
        g_bytes_unref(bytes);
    }
}

void
scene_packet(struct scene *scene, const struct packet *key, uint8_t flags,
             const char *payload, int balancer)
{
    struct scene_flow *flow = find_flow(scene, key);
    struct packet packet = flow->key;

    if (payload != NULL) {
        if (flags == PACKET_TCP_SYN) {
            flow->next_seq = FIRST_SEQ;
            flow->acked = 0;
        }
        packet.proto = PROTO_TCP;
        packet.flags = flags;
        packet.seq = flow->next_seq;
        packet.ack = flow->acked;
        flow->next_seq +=
            (uint32_t)strlen(payload) + (flags == PACKET_TCP_SYN ? 1 : 0);
        unref_bytes(flow->last);
        flow->last = build_tcp(&packet, payload);
    }
    g_assert_nonnull(flow->last);
    size_t len = 0;
    const uint8_t *buf = g_bytes_get_data(flow->last, &len);
    g_assert_cmpint(packet_parse(buf, len, 1, &packet), ==, PACKET_OK);
    scene_send(scene, SCENE_PACKET, SCENE_CALLER, balancer,
               g_bytes_ref(flow->last), describe_packet(&packet, buf));
}

static void
forward(struct scene *scene, int from, const struct gue *gue,
        const struct packet *packet, const uint8_t *buf, size_t len)
{
    uint8_t header[GUE_HEADER_MAX];
    GByteArray *encapsulated = g_byte_array_new();
    g_autofree char *inner = describe_packet(packet, buf);
    g_autofree char *hops = describe_hops(scene, gue);
    int to = 0;

    while (!addr_equal(scene->hosts[to].data, gue->hops[gue->index].data)) {
        to++;
    }
    g_byte_array_append(encapsulated, header, (guint)gue_encode(gue, header));
    g_byte_array_append(encapsulated, buf, (guint)len);
    scene_send(scene, SCENE_PACKET, from, to,
               g_byte_array_free_to_bytes(encapsulated),
               g_strdup_printf("%s %s", inner, hops));
}

static void
route(struct scene *scene, int i, const uint8_t *buf, size_t len)
{
    struct scene_host *host = &scene->hosts[i];
    struct route_decision decision;
    enum packet_drop drop = PACKET_NO_SERVICE;

    if (host->table != NULL) {
        drop =
            route_decide(host->table, buf, len, scene_now(scene), &decision);
    }
    if (drop != PACKET_OK || decision.gue.count == 0) {
        scene_log(scene, "  %s drops it: %s", host->name,
                  packet_drop_name(drop));
        return;
    }
    forward(scene, i, &decision.gue, &decision.packet, buf, len);
}

void
scene_answer(struct scene *scene, int i, const struct scene_flow *flow,
             struct packet packet, const char *payload)
{
    packet.src = flow->key.dst;
    packet.dst = flow->key.src;
    packet.sport = flow->key.dport;
    packet.dport = flow->key.sport;
    packet.proto = PROTO_TCP;
    GBytes *bytes = build_tcp(&packet, payload);
    size_t len = 0;
    const uint8_t *buf = g_bytes_get_data(bytes, &len);
    struct packet sent;
    g_assert_cmpint(packet_parse(buf, len, 1, &sent), ==, PACKET_OK);
    if ((sent.flags & PACKET_TCP_SYN) != 0) {
        flow_sent_syn_ack(scene->hosts[i].flows, &sent);
    }
    scene_send(scene, SCENE_ANSWER, i, SCENE_CALLER, bytes,
               describe_packet(&sent, buf));
}

uint32_t
scene_isn(int host)
{
    return ISN_STEP * ((uint32_t)host + 1);
}

/* Minimal TCP of the caller. */
void
scene_receive_answer(struct scene *scene, const struct scene_message *msg)
{
    struct packet packet;
    size_t len = 0;
    const uint8_t *buf = g_bytes_get_data(msg->bytes, &len);

    g_assert_cmpint(packet_parse(buf, len, 1, &packet), ==, PACKET_OK);
    struct packet key = {.src = packet.dst,
                         .dst = packet.src,
                         .sport = packet.dport,
                         .dport = packet.sport};
    struct scene_flow *flow = find_flow(scene, &key);
    const char *from = scene->hosts[msg->from].name;
    if ((packet.flags & PACKET_TCP_RST) != 0) {
        scene_log(scene, "  caller :%u: reset by %s", key.sport, from);
    }
    else if ((packet.flags & SYN_ACK) == SYN_ACK) {
        scene_log(scene, "  caller :%u: %s of %s", key.sport,
                  flow->acked == 0 ? "connected by the answer"
                                   : "ignores a second answer",
                  from);
        flow->acked = flow->acked == 0 ? packet.seq + 1 : flow->acked;
    }
    else {
        scene_log(scene, "  caller :%u: has its answer from %s: \"%.*s\"",
                  key.sport, from, packet.payload_len, buf + packet.payload);
    }
}

/* Minimal TCP of the agent to which the packet was delivered. */
static void
input(struct scene *scene, int i, const struct packet *packet,
      const uint8_t *buf)
{
    struct scene_host *host = &scene->hosts[i];
    struct scene_flow *flow = find_flow(scene, packet);
    struct scene_conn *conn = g_hash_table_lookup(host->conns, flow);

    if ((packet->flags & PACKET_TCP_RST) != 0) {
        scene_cancel(scene, i, flow);
        flow_close(host->flows, packet);
        return;
    }
    if ((packet->flags & PACKET_TCP_SYN) != 0) {
        conn = g_new0(struct scene_conn, 1);
        *conn = (struct scene_conn){flow, packet->seq + 1};
        g_hash_table_replace(host->conns, flow, conn);
        struct packet out = {
            .flags = SYN_ACK, .seq = scene_isn(i), .ack = packet->seq + 1};
        scene_answer(scene, i, flow, out, "");
        return;
    }
    g_assert_nonnull(conn);
    if (packet->payload_len == 0) {
        return;
    }
    if (packet->seq != conn->expected) {
        scene_log(scene, "  %s ignores a retransmission", host->name);
        return;
    }
    conn->expected += packet->payload_len;
    char *text =
        g_strndup((const char *)buf + packet->payload, packet->payload_len);
    scene_request(scene, i, flow, text);
    g_free(text);
}

static void
reset(struct scene *scene, int i, const struct packet *packet)
{
    uint8_t buf[RESET_LEN];
    size_t len = packet_build_reset(packet, buf);
    struct packet sent;

    g_assert_cmpint(packet_parse(buf, len, 1, &sent), ==, PACKET_OK);
    scene_send(scene, SCENE_ANSWER, i, SCENE_CALLER, g_bytes_new(buf, len),
               describe_packet(&sent, buf));
}

/* Classifies the destination by the configuration in force at the agent. */
static enum flow_address
address_of(const struct scene_host *host, const struct gue *gue,
           const struct packet *packet)
{
    uint32_t id = hash_service(host->service);
    struct addresses addresses;

    if (host->service_config == NULL || gue->service != id ||
        service_config_find_with_retired(host->service_config, id) == NULL) {
        return FLOW_ADDRESS_NONE;
    }
    addresses_set(&addresses, host->service_config, id);
    return addresses_find(
        &addresses, service_config_find_with_retired(host->service_config, id),
        packet->dst, packet->dport, packet->proto, SCENE_WALL_MS);
}

static void
receive_packet(struct scene *scene, int i, const uint8_t *buf, size_t len)
{
    struct scene_host *host = &scene->hosts[i];
    struct gue gue;
    struct packet packet;
    int header = gue_decode(buf, len, &gue);

    g_assert_cmpint(header, >, 0);
    buf += header;
    len -= (size_t)header;
    g_assert_cmpint(packet_parse(buf, len, 1, &packet), ==, PACKET_OK);
    struct flow_decision decision =
        flow_address_decide(host->flows, address_of(host, &gue, &packet),
                            &packet, &gue, scene_now(scene));
    scene_log(scene, "  %s: %s%s", host->name, verdicts[decision.verdict],
              decision.verdict == FLOW_DROP ? packet_drop_name(decision.drop)
                                            : "");
    if (decision.verdict == FLOW_DELIVER || decision.verdict == FLOW_OPEN) {
        input(scene, i, &packet, buf);
    }
    else if (decision.verdict == FLOW_FORWARD) {
        forward(scene, i, &decision.gue, &packet, buf, len);
    }
    else if (decision.verdict == FLOW_RESET) {
        reset(scene, i, &packet);
    }
}

void
scene_receive_packet(struct scene *scene, const struct scene_message *msg)
{
    size_t len = 0;
    const uint8_t *buf = g_bytes_get_data(msg->bytes, &len);

    if (scene->hosts[msg->to].agent) {
        receive_packet(scene, msg->to, buf, len);
    }
    else {
        route(scene, msg->to, buf, len);
    }
}
