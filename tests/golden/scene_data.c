#include <stdlib.h>
#include <string.h>

#include "agent/answer.h"
#include "agent/peer_wire.h"
#include "base/hash.h"
#include "scene.h"

#define HEADERS 40
#define PSEUDO 12
#define PROTO_TCP 6
#define ISN_STEP 10000
#define FIRST_SEQ 1000
#define SYN_ACK (PACKET_TCP_SYN | PACKET_TCP_ACK)

static const char *const verdicts[] = {"taken", "opened", "passed on", "reset",
                                       "dropped, "};
static const char *const peer_types[] = {"STATUS", "PULL", "RUN",  "DONE",
                                         "CANCEL", "IDEM", "PROBE"};
static const char *const idem_types[] = {
    "RESERVE", "GRANT", "EXISTS", "RELEASE", "RECORD", "ACK", "DENY"};
static const char *const idem_states[] = {"started", "done", "unknown"};
static const char *const ends[] = {"answers", "refuses", "is not reached for",
                                   "loses", "cuts its answer to"};

static void
put16(uint8_t *at, uint32_t value)
{
    at[0] = (uint8_t)(value >> 8);
    at[1] = (uint8_t)value;
}

static void
put32(uint8_t *at, uint32_t value)
{
    put16(at, value >> 16);
    put16(at + 2, value);
}

static GBytes *
build_tcp(const struct packet *packet, const char *payload)
{
    size_t len = HEADERS + strlen(payload);
    size_t tcp_len = len - 20;
    uint8_t *buf = g_malloc0(PSEUDO + len);
    uint8_t *ip = buf + PSEUDO;
    uint8_t *tcp = ip + 20;

    put32(buf, packet->src);
    put32(buf + 4, packet->dst);
    put16(buf + 8, PROTO_TCP);
    put16(buf + 10, (uint32_t)tcp_len);
    put16(tcp, packet->sport);
    put16(tcp + 2, packet->dport);
    put32(tcp + 4, packet->seq);
    put32(tcp + 8, packet->ack);
    tcp[12] = 0x50;
    tcp[13] = packet->flags;
    memcpy(ip + HEADERS, payload, len - HEADERS);
    /* The pseudo header must be next to the segment. */
    uint8_t *sum = g_malloc(PSEUDO + tcp_len);
    memcpy(sum, buf, PSEUDO);
    memcpy(sum + PSEUDO, tcp, tcp_len);
    put16(tcp + 16, packet_checksum(sum, PSEUDO + tcp_len));
    g_free(sum);
    ip[0] = 0x45;
    put16(ip + 2, (uint32_t)len);
    ip[8] = 64;
    ip[9] = PROTO_TCP;
    put32(ip + 12, packet->src);
    put32(ip + 16, packet->dst);
    put16(ip + 10, packet_checksum(ip, 20));
    GBytes *bytes = g_bytes_new(ip, len);
    g_free(buf);
    return bytes;
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
                               scene_name(scene, gue->hops[i].member));
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
drop_bytes(GBytes *bytes)
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
        drop_bytes(flow->last);
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
    GByteArray *whole = g_byte_array_new();
    char *inner = describe_packet(packet, buf);
    char *hops = describe_hops(scene, gue);
    int to = 0;

    while (!addr_equal(scene->hosts[to].data, gue->hops[gue->index].data)) {
        to++;
    }
    g_byte_array_append(whole, header, (guint)gue_encode(gue, header));
    g_byte_array_append(whole, buf, (guint)len);
    scene_send(scene, SCENE_PACKET, from, to,
               g_byte_array_free_to_bytes(whole),
               g_strdup_printf("%s %s", inner, hops));
    g_free(inner);
    g_free(hops);
}

static void
route(struct scene *scene, int i, const uint8_t *buf, size_t len)
{
    struct scene_host *host = &scene->hosts[i];
    struct route_decision decision;
    enum packet_drop drop = PACKET_SERVICE;

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

static void
answer(struct scene *scene, int i, const struct scene_flow *flow,
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

static uint32_t
isn_of(int host)
{
    return ISN_STEP * ((uint32_t)host + 1);
}

/* The caller's stack; only what a scene needs of it. */
static void
receive_answer(struct scene *scene, const struct scene_message *msg)
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

static void
hash_key(const char *text, struct engine_request *request)
{
    const char *key = strstr(text, "key=");

    if (key == NULL) {
        return;
    }
    size_t len = strcspn(key, " ");
    request->keyed = true;
    request->key.service = request->service;
    request->key.hash[0] = hash_bytes(key, len, 1);
    request->key.hash[1] = hash_bytes(key, len, 2);
    request->key.fingerprint = hash_bytes(text, (size_t)(key - text), 0);
}

static void
arrive(struct scene *scene, int i, struct scene_flow *flow, const char *text)
{
    struct scene_host *host = &scene->hosts[i];
    const struct text_service *service =
        text_find_name(host->text, host->service);
    struct scene_request *item = g_new0(struct scene_request, 1);
    struct engine_request request = {
        .service = service->id,
        .caller = flow->key.src,
        .class = service->class,
        .idempotent = !g_str_has_prefix(text, "POST"),
        .deadline_us =
            scene_now(scene) + service->limits.deadline_ms * USEC_PER_MSEC,
    };

    *item = (struct scene_request){flow, i, g_strdup(text), 0, false};
    g_ptr_array_add(scene->requests, item);
    request.id = scene->requests->len;
    hash_key(text, &request);
    scene_log(scene, "  %s: request #%u \"%s\"", host->name,
              scene->requests->len, text);
    engine_arrive(host->engine, &request, scene_now(scene), &host->actions);
    scene_act(scene, i);
}

static void
cancel_flow(struct scene *scene, int i, const struct scene_flow *flow)
{
    struct scene_host *host = &scene->hosts[i];

    for (guint n = 0; n < scene->requests->len; n++) {
        struct scene_request *request = g_ptr_array_index(scene->requests, n);

        if (request->host == i && request->flow == flow && !request->gone) {
            request->gone = true;
            scene_log(scene, "  %s: the caller of #%u is gone", host->name,
                      n + 1);
            engine_cancel(host->engine, n + 1, scene_now(scene),
                          &host->actions);
            scene_act(scene, i);
        }
    }
    g_hash_table_remove(host->conns, flow);
}

/* The stack of the agent that took the packet. */
static void
input(struct scene *scene, int i, const struct packet *packet,
      const uint8_t *buf)
{
    struct scene_host *host = &scene->hosts[i];
    struct scene_flow *flow = find_flow(scene, packet);
    struct scene_conn *conn = g_hash_table_lookup(host->conns, flow);

    if ((packet->flags & PACKET_TCP_RST) != 0) {
        cancel_flow(scene, i, flow);
        flow_close(host->flows, packet);
        return;
    }
    if ((packet->flags & PACKET_TCP_SYN) != 0) {
        conn = g_new0(struct scene_conn, 1);
        *conn = (struct scene_conn){flow, packet->seq + 1};
        g_hash_table_replace(host->conns, flow, conn);
        struct packet out = {
            .flags = SYN_ACK, .seq = isn_of(i), .ack = packet->seq + 1};
        answer(scene, i, flow, out, "");
        return;
    }
    g_assert_nonnull(conn);
    if (packet->payload_len == 0) {
        return;
    }
    if (packet->seq != conn->expected) {
        scene_log(scene, "  %s has read that already", host->name);
        return;
    }
    conn->expected += packet->payload_len;
    char *text =
        g_strndup((const char *)buf + packet->payload, packet->payload_len);
    arrive(scene, i, flow, text);
    g_free(text);
}

static void
reset(struct scene *scene, int i, const struct packet *packet)
{
    uint8_t buf[HEADERS];
    size_t len = packet_build_reset(packet, buf);
    struct packet sent;

    g_assert_cmpint(packet_parse(buf, len, 1, &sent), ==, PACKET_OK);
    scene_send(scene, SCENE_ANSWER, i, SCENE_CALLER, g_bytes_new(buf, len),
               describe_packet(&sent, buf));
}

/* Whether the text in force here gives the address to our service. */
static bool
is_ours(const struct scene_host *host, const struct packet *packet)
{
    const struct text_service *service =
        host->text == NULL ? NULL : text_find_name(host->text, host->service);

    return service != NULL && service->ip == packet->dst &&
           service->port == packet->dport;
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
    if (gue.service == hash_service(host->service) &&
        !is_ours(host, &packet)) {
        scene_log(scene, "  %s: dropped, no address of %s by its text",
                  host->name, host->service);
        return;
    }
    struct flow_decision decision =
        flow_decide(host->flows, &packet, &gue, scene_now(scene));
    scene_log(scene, "  %s: %s%s", host->name, verdicts[decision.verdict],
              decision.verdict == FLOW_DROP ? packet_drop_name(decision.drop)
                                            : "");
    if (decision.verdict == FLOW_TAKE || decision.verdict == FLOW_OPEN) {
        input(scene, i, &packet, buf);
    }
    else if (decision.verdict == FLOW_PASS) {
        forward(scene, i, &decision.gue, &packet, buf, len);
    }
    else if (decision.verdict == FLOW_RESET) {
        reset(scene, i, &packet);
    }
}

static char *
describe_idem(const struct scene *scene, const struct idem_msg *idem)
{
    GString *text = g_string_new(NULL);

    g_string_printf(text, "%s key %08x of %s", idem_types[idem->type],
                    (unsigned)(idem->key.hash[0] >> 32),
                    scene_name(scene, idem->owner));
    if (idem->type == IDEM_MSG_GRANT && idem->state == IDEM_UNKNOWN) {
        g_string_append(text, " (not settled)");
    }
    if (idem->type == IDEM_MSG_EXISTS || idem->type == IDEM_MSG_RECORD ||
        idem->type == IDEM_MSG_ACK) {
        g_string_append_printf(text, " %s", idem_states[idem->state]);
    }
    if (idem->answer != NULL) {
        g_string_append_printf(text, " \"%.*s\"", (int)idem->answer_len,
                               (const char *)idem->answer);
    }
    return g_string_free(text, FALSE);
}

/* NULL for a report of load without waiting requests. */
static char *
describe_peer(const struct scene *scene, const struct engine_peer_msg *msg,
              uint64_t now_us)
{
    unsigned id = (unsigned)msg->request.id;
    const char *type = peer_types[msg->type];
    char *idem;
    char *text;

    switch (msg->type) {
    case ENGINE_PEER_STATUS:
        if (msg->waiting[0] + msg->waiting[1] == 0) {
            return NULL;
        }
        return g_strdup_printf("%s waiting %u urgent, %u ordinary", type,
                               msg->waiting[0], msg->waiting[1]);
    case ENGINE_PEER_PULL:
        return g_strdup_printf("%s free %u", type, msg->free_slots);
    case ENGINE_PEER_RUN:
        return g_strdup_printf(
            "%s #%u, %u ms left", type, id,
            (unsigned)((msg->request.deadline_us - now_us) / USEC_PER_MSEC));
    case ENGINE_PEER_DONE:
        return g_strdup_printf("%s #%u %s, reason %s", type, id,
                               answer_outcome_name(msg->outcome),
                               answer_reason_name(msg->reason));
    case ENGINE_PEER_IDEM:
        idem = describe_idem(scene, &msg->idem);
        text = g_strdup_printf("%s", idem);
        g_free(idem);
        return text;
    default:
        return g_strdup_printf("%s #%u", type, id);
    }
}

static void
send_peer(struct scene *scene, int i, const struct engine_action *action)
{
    struct scene_host *host = &scene->hosts[i];
    const struct engine_peer_msg *msg = &action->msg;
    int to = scene_find(scene, scene_name(scene, action->to));
    uint64_t id = msg->request.id;
    GByteArray *bytes = NULL;
    GBytes *held = NULL;

    if (msg->type == ENGINE_PEER_RUN) {
        const struct scene_request *request =
            g_ptr_array_index(scene->requests, id - 1);
        held = g_bytes_new(request->text, strlen(request->text));
    }
    else if (msg->type == ENGINE_PEER_DONE &&
             msg->outcome == ENGINE_ANSWERED) {
        held = g_bytes_ref(
            g_hash_table_lookup(host->bytes, GUINT_TO_POINTER(id)));
    }
    if (held != NULL) {
        bytes = g_bytes_unref_to_array(held);
    }
    GByteArray *packed = peer_wire_pack(msg, bytes, "", scene_now(scene));
    struct scene_message *sent = scene_send(
        scene, SCENE_PEER, i, to, g_byte_array_free_to_bytes(packed),
        describe_peer(scene, msg, scene_now(scene)));
    sent->a = msg->type == ENGINE_PEER_RUN ? id : 0;
    host->linked[to] = true;
    scene->hosts[to].linked[i] = scene->hosts[to].up;
    if (bytes != NULL) {
        g_byte_array_unref(bytes);
    }
}

static void
act_run(struct scene *scene, int i, const struct engine_action *action)
{
    struct scene_host *host = &scene->hosts[i];
    struct scene_request *request =
        g_ptr_array_index(scene->requests, action->id - 1);
    unsigned runs = 0;

    request->runs++;
    for (guint n = 0; n < scene->requests->len; n++) {
        const struct scene_request *other =
            g_ptr_array_index(scene->requests, n);

        runs += strcmp(other->text, request->text) == 0 ? other->runs : 0;
    }
    scene_log(scene, "  %s: runs #%u of %s, run %u of \"%s\"", host->name,
              (unsigned)action->id, scene_name(scene, action->origin), runs,
              request->text);
    char *bytes = g_strdup_printf("200 %s, run %u at %s", request->text, runs,
                                  host->name);
    g_hash_table_replace(host->bytes, GUINT_TO_POINTER(action->id),
                         g_bytes_new_take(bytes, strlen(bytes)));
    if (!host->holds) {
        struct scene_message *end =
            scene_send(scene, SCENE_RUN_END, i, i, NULL, NULL);
        end->a = action->id;
        end->status = ENGINE_UP_ANSWERED;
        scene_delay(scene, end, SCENE_RUN_US);
    }
}

static void
act_abort(struct scene *scene, int i, const struct engine_action *action)
{
    scene_log(scene, "  %s: aborts #%u", scene->hosts[i].name,
              (unsigned)action->id);
    struct scene_message *end =
        scene_send(scene, SCENE_RUN_END, i, i, NULL, NULL);
    end->a = action->id;
    end->status = ENGINE_UP_LOST;
    scene_delay(scene, end, SCENE_TICK_US);
}

static void
act_finish(struct scene *scene, int i, const struct engine_action *action)
{
    struct scene_host *host = &scene->hosts[i];
    struct scene_request *request =
        g_ptr_array_index(scene->requests, action->id - 1);
    GBytes *held =
        g_hash_table_lookup(host->bytes, GUINT_TO_POINTER(action->id));
    char *text;

    if (action->outcome != ENGINE_ANSWERED) {
        text = g_strdup_printf("%s, reason %s, retry after %u ms",
                               answer_outcome_name(action->outcome),
                               answer_reason_name(action->reason),
                               action->retry_after_ms);
    }
    else if (action->replayed) {
        g_assert_nonnull(action->msg.idem.answer);
        text = g_strdup_printf("%.*s (replayed)",
                               (int)action->msg.idem.answer_len,
                               (const char *)action->msg.idem.answer);
    }
    else {
        g_assert_nonnull(held);
        text = g_strndup(g_bytes_get_data(held, NULL), g_bytes_get_size(held));
    }
    scene_log(scene, "  %s: finishes #%u%s: %s", host->name,
              (unsigned)action->id, request->gone ? " for nobody" : "", text);
    if (!request->gone) {
        struct packet out = {.flags = PACKET_TCP_ACK,
                             .seq = isn_of(i) + 1,
                             .ack = request->flow->next_seq};
        request->gone = true;
        answer(scene, i, request->flow, out, text);
    }
    g_free(text);
}

void
scene_act(struct scene *scene, int i)
{
    struct engine_actions *actions = &scene->hosts[i].actions;

    for (size_t n = 0; n < actions->count; n++) {
        const struct engine_action *action = &actions->items[n];

        switch (action->type) {
        case ENGINE_RUN:
            act_run(scene, i, action);
            break;
        case ENGINE_ABORT:
            act_abort(scene, i, action);
            break;
        case ENGINE_SEND:
            send_peer(scene, i, action);
            break;
        case ENGINE_FINISH:
            act_finish(scene, i, action);
            break;
        }
    }
    actions->count = 0;
}

void
scene_run_end(struct scene *scene, int i, uint64_t id,
              enum engine_upstream how)
{
    struct scene_host *host = &scene->hosts[i];
    const struct scene_request *request =
        g_ptr_array_index(scene->requests, id - 1);
    GBytes *held = g_hash_table_lookup(host->bytes, GUINT_TO_POINTER(id));
    bool whole = how == ENGINE_UP_ANSWERED;

    scene_log(scene, "  %s: its upstream %s #%u", host->name, ends[how],
              (unsigned)id);
    engine_upstream_end(
        host->engine, hash_name(scene->hosts[request->host].name), id, how,
        whole ? g_bytes_get_data(held, NULL) : NULL,
        whole ? g_bytes_get_size(held) : 0, scene_now(scene), &host->actions);
    scene_act(scene, i);
}

static void
receive_peer(struct scene *scene, const struct scene_message *msg)
{
    struct scene_host *host = &scene->hosts[msg->to];
    uint64_t now_us = scene_now(scene);
    size_t len = 0;
    const uint8_t *body = g_bytes_get_data(msg->bytes, &len);
    struct peer_wire wire;
    struct flow_pin pin;

    g_assert_cmpint(peer_wire_unpack(body, len, now_us, &wire), ==, 0);
    if (wire.pins) {
        for (size_t n = 0; peer_wire_pin(&wire, n, &pin); n++) {
            flow_pin_add(host->flows, &pin, now_us);
        }
        peer_wire_finish(&wire);
        return;
    }
    if (wire.msg.type == ENGINE_PEER_DONE && wire.bytes != NULL) {
        g_hash_table_replace(host->bytes,
                             GUINT_TO_POINTER(wire.msg.request.id),
                             g_bytes_new(wire.bytes, wire.len));
    }
    engine_peer(host->engine, hash_name(scene->hosts[msg->from].name),
                &wire.msg, wire.bytes, wire.len, now_us, &host->actions);
    scene_act(scene, msg->to);
    peer_wire_finish(&wire);
}

void
scene_data_receive(struct scene *scene, const struct scene_message *msg)
{
    size_t len = 0;
    const uint8_t *buf =
        msg->bytes == NULL ? NULL : g_bytes_get_data(msg->bytes, &len);

    if (msg->kind == SCENE_ANSWER) {
        receive_answer(scene, msg);
    }
    else if (msg->kind == SCENE_PEER) {
        receive_peer(scene, msg);
    }
    else if (msg->kind == SCENE_BROKEN) {
        engine_peer_lost(scene->hosts[msg->to].engine,
                         hash_name(scene->hosts[msg->from].name),
                         scene_now(scene), &scene->hosts[msg->to].actions);
        scene_act(scene, msg->to);
    }
    else if (scene->hosts[msg->to].agent) {
        receive_packet(scene, msg->to, buf, len);
    }
    else {
        route(scene, msg->to, buf, len);
    }
}

static void
send_pins(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    struct flow_pin pin;
    uint64_t to;

    while (flow_pins_due(host->flows, scene_now(scene), &pin, &to, 1) > 0) {
        int at = scene_find(scene, scene_name(scene, to));
        GByteArray *packed = peer_wire_pack_pins(&pin, 1);

        scene_send(scene, SCENE_PEER, i, at,
                   g_byte_array_free_to_bytes(packed),
                   g_strdup_printf("pin: bucket %u has flows of %s",
                                   pin.bucket, scene_name(scene, pin.owner)));
    }
}

void
scene_data_tick(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    uint64_t now_us = scene_now(scene);

    if (now_us % USEC_PER_SEC == 0) {
        flow_tick(host->flows, now_us);
    }
    send_pins(scene, i);
    engine_tick(host->engine, now_us, &host->actions);
    scene_act(scene, i);
}

void
scene_refresh(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    uint64_t now_us = scene_now(scene);
    const struct text_service *service;

    if (host->view == NULL || host->text == NULL) {
        return;
    }
    if (!host->agent) {
        struct route_table *table = NULL;

        g_assert_cmpint(
            route_table_new(host->view, host->text, host->table, &table), ==,
            0);
        route_table_free(host->table);
        host->table = table;
        return;
    }
    service = text_find_name(host->text, host->service);
    uint32_t id = service != NULL ? service->id : 0;
    bool accept = id != 0 && host->state == MEMBER_READY;
    flow_set_view(host->flows, host->view, id, accept, now_us);
    engine_set_upstream(host->engine, id, id != 0 ? SCENE_SLOTS : 0, accept,
                        now_us, &host->actions);
    scene_act(scene, i);
}
