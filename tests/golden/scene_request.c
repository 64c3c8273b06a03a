#include "scene.h"

#include <stdlib.h>
#include <string.h>

#include "agent/answer.h"
#include "agent/peer_wire.h"
#include "base/hash.h"

static const char *const peer_types[] = {"STATUS", "PULL", "RUN",  "DONE",
                                         "CANCEL", "IDEM", "PROBE"};
static const char *const idem_types[] = {
    "RESERVE", "GRANT", "EXISTS", "RELEASE", "RECORD", "ACK", "DENY"};
static const char *const idem_states[] = {"started", "done", "unknown"};
static const char *const end_names[] = {
    "answers", "refuses", "is not reached for", "loses", "cuts its answer to"};

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

void
scene_request(struct scene *scene, int i, struct scene_flow *flow,
              const char *text)
{
    struct scene_host *host = &scene->hosts[i];
    const struct service_config_entry *service =
        service_config_find_with_retired(host->service_config,
                                         hash_service(host->service));
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

void
scene_cancel(struct scene *scene, int i, const struct scene_flow *flow)
{
    struct scene_host *host = &scene->hosts[i];

    for (guint n = 0; n < scene->requests->len; n++) {
        struct scene_request *request = g_ptr_array_index(scene->requests, n);

        if (request->host == i && request->flow == flow && !request->closed) {
            request->closed = true;
            scene_log(scene, "  %s: the caller of #%u is gone", host->name,
                      n + 1);
            engine_cancel(host->engine, n + 1, scene_now(scene),
                          &host->actions);
            scene_act(scene, i);
        }
    }
    g_hash_table_remove(host->conns, flow);
}

static char *
describe_idem(const struct scene *scene, const struct idem_msg *idem)
{
    GString *text = g_string_new(NULL);

    g_string_printf(text, "%s key %08x of %s", idem_types[idem->type],
                    (unsigned)(idem->key.hash[0] >> 32),
                    scene_member_name(scene, idem->owner));
    if (idem->type == IDEM_MSG_GRANT && idem->state == IDEM_UNKNOWN) {
        g_string_append(text, " (unresolved)");
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

/* Returns NULL for a load report without waiting requests. */
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
    int to = scene_find(scene, scene_member_name(scene, action->to));
    uint64_t id = msg->request.id;
    GByteArray *bytes = NULL;
    GBytes *content = NULL;

    if (msg->type == ENGINE_PEER_RUN) {
        const struct scene_request *request =
            g_ptr_array_index(scene->requests, id - 1);
        content = g_bytes_new(request->text, strlen(request->text));
    }
    else if (msg->type == ENGINE_PEER_DONE &&
             msg->outcome == ENGINE_ANSWERED) {
        content = g_bytes_ref(
            g_hash_table_lookup(host->answers, GUINT_TO_POINTER(id)));
    }
    if (content != NULL) {
        bytes = g_bytes_unref_to_array(content);
    }
    GByteArray *packed = peer_wire_pack(msg, bytes, "", scene_now(scene));
    struct scene_message *sent = scene_send(
        scene, SCENE_PEER, i, to, g_byte_array_free_to_bytes(packed),
        describe_peer(scene, msg, scene_now(scene)));
    sent->a = msg->type == ENGINE_PEER_RUN ? id : 0;
    host->connected[to] = true;
    scene->hosts[to].connected[i] = scene->hosts[to].up;
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
              (unsigned)action->id, scene_member_name(scene, action->origin),
              runs, request->text);
    char *bytes = g_strdup_printf("200 %s, run %u at %s", request->text, runs,
                                  host->name);
    g_hash_table_replace(host->answers, GUINT_TO_POINTER(action->id),
                         g_bytes_new_take(bytes, strlen(bytes)));
    if (!host->manual_upstream) {
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
    GBytes *content =
        g_hash_table_lookup(host->answers, GUINT_TO_POINTER(action->id));
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
        g_assert_nonnull(content);
        text = g_strndup(g_bytes_get_data(content, NULL),
                         g_bytes_get_size(content));
    }
    scene_log(scene, "  %s: finishes #%u%s: %s", host->name,
              (unsigned)action->id, request->closed ? " without a caller" : "",
              text);
    if (!request->closed) {
        struct packet out = {.flags = PACKET_TCP_ACK,
                             .seq = scene_isn(i) + 1,
                             .ack = request->flow->next_seq};
        request->closed = true;
        scene_answer(scene, i, request->flow, out, text);
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
    GBytes *content = g_hash_table_lookup(host->answers, GUINT_TO_POINTER(id));
    bool complete = how == ENGINE_UP_ANSWERED;

    scene_log(scene, "  %s: its upstream %s #%u", host->name, end_names[how],
              (unsigned)id);
    engine_upstream_end(host->engine,
                        hash_name(scene->hosts[request->host].name), id, how,
                        complete ? g_bytes_get_data(content, NULL) : NULL,
                        complete ? g_bytes_get_size(content) : 0,
                        scene_now(scene), &host->actions);
    scene_act(scene, i);
}

void
scene_receive_peer(struct scene *scene, const struct scene_message *msg)
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
        g_hash_table_replace(host->answers,
                             GUINT_TO_POINTER(wire.msg.request.id),
                             g_bytes_new(wire.bytes, wire.len));
    }
    engine_peer(host->engine, hash_name(scene->hosts[msg->from].name),
                &wire.msg, wire.bytes, wire.len, now_us, &host->actions);
    scene_act(scene, msg->to);
    peer_wire_finish(&wire);
}

void
scene_receive_broken(struct scene *scene, const struct scene_message *msg)
{
    struct scene_host *host = &scene->hosts[msg->to];

    engine_peer_lost(host->engine, hash_name(scene->hosts[msg->from].name),
                     scene_now(scene), &host->actions);
    scene_act(scene, msg->to);
}

static void
send_pins(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    struct flow_pin pin;
    uint64_t to;

    while (flow_pins_due(host->flows, scene_now(scene), &pin, &to, 1) > 0) {
        int at = scene_find(scene, scene_member_name(scene, to));
        GByteArray *packed = peer_wire_pack_pins(&pin, 1);

        scene_send(
            scene, SCENE_PEER, i, at, g_byte_array_free_to_bytes(packed),
            g_strdup_printf("pin: bucket %u has flows of %s", pin.bucket,
                            scene_member_name(scene, pin.owner)));
    }
}

void
scene_request_tick(struct scene *scene, int i)
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
    const struct service_config_entry *service;

    if (host->view == NULL || host->service_config == NULL) {
        return;
    }
    if (!host->agent) {
        struct route_table *table = NULL;

        g_assert_cmpint(route_table_new(host->view, host->service_config,
                                        host->table, &table),
                        ==, 0);
        route_table_free(host->table);
        host->table = table;
        return;
    }
    service = service_config_find_with_retired(host->service_config,
                                               hash_service(host->service));
    uint32_t id = service != NULL ? service->id : 0;
    bool accept = id != 0 && host->state == MEMBER_READY;
    flow_set_view(host->flows, host->view, id,
                  accept &&
                      service_config_find_id(host->service_config, id) != NULL,
                  now_us);
    engine_set_upstream(host->engine, id, id != 0 ? SCENE_SLOTS : 0, accept,
                        now_us, &host->actions);
    scene_act(scene, i);
}
