#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "control/control.pb-c.h"
#include "control/wire.h"
#include "scene.h"

#define CELL "dar"
#define LOAD_PUBLISH_US (1 * USEC_PER_SEC)

static const char *const member_kinds[] = {
    [MEMBER_PING] = "ping",
    [MEMBER_ACK] = "ack",
    [MEMBER_WRONG_TARGET] = "wrong-target",
    [MEMBER_PING_REQ] = "ping-req",
    [MEMBER_PUSH] = "push",
    [MEMBER_JOIN] = "join",
    [MEMBER_JOIN_REPLY] = "join-reply",
    [MEMBER_SYNC_SUMMARY] = "summary",
    [MEMBER_SYNC_REPLY] = "reply",
    [MEMBER_SYNC_PUSH] = "push",
};
static const char *const states[] = {"warming", "ready", "draining",
                                     "leaving"};
static const char *const healths[] = {"alive", "suspect", "dead"};

static void
describe_update(GString *text, const struct scene *scene,
                const struct member_update *update)
{
    const struct view_member *member = &update->member;
    const char *service = "unknown";

    g_string_append_printf(text, " {%s %s %s", member->name,
                           states[member->state], healths[member->health]);
    if (member->incarnation > update->start) {
        g_string_append_printf(
            text, " incarnation+%u",
            (unsigned)(member->incarnation - update->start));
    }
    for (int i = 0; i < scene->count; i++) {
        if (hash_service(scene->hosts[i].service) == member->service) {
            service = scene->hosts[i].service;
        }
    }
    if (member->service != 0) {
        g_string_append_printf(text, " %u slots of %s", member->slots,
                               service);
    }
    g_string_append_c(text, '}');
}

/* Returns NULL for a probe, or a reply to one, without updates. */
static char *
describe(const struct scene *scene, const struct member_msg *msg)
{
    GString *text;

    if (msg->update_count == 0 &&
        (msg->kind == MEMBER_PING || msg->kind == MEMBER_ACK)) {
        return NULL;
    }
    text = g_string_new(member_kinds[msg->kind]);
    if (msg->target != 0) {
        g_string_append_printf(text, " of %s",
                               scene_member_name(scene, msg->target));
    }
    g_string_append_printf(text, " v%u", (unsigned)msg->config_version);
    for (size_t i = 0; i < msg->update_count; i++) {
        describe_update(text, scene, &msg->updates[i]);
    }
    if (msg->summary_count > 0 || msg->want_count > 0) {
        g_string_append_printf(text, " lists %zu wants %zu",
                               msg->summary_count, msg->want_count);
    }
    return g_string_free(text, FALSE);
}

static int
find_control_addr(const struct scene *scene, struct addr control)
{
    for (int i = 0; i < scene->count; i++) {
        if (addr_equal(scene->hosts[i].control, control)) {
            return i;
        }
    }
    return -1;
}

static void
send_members(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];

    for (size_t n = 0; n < host->out.count; n++) {
        const struct member_action *action = &host->out.items[n];
        size_t len = wire_size(&action->msg);
        uint8_t *buf = g_malloc(len);
        int to = action->to.ip == 0 ? host->stream_from
                                    : find_control_addr(scene, action->to);

        len = wire_encode(&action->msg, buf);
        g_assert_cmpint(to, >=, 0);
        scene_send(scene, action->stream ? SCENE_SYNC : SCENE_GOSSIP, i, to,
                   g_bytes_new_take(buf, len), describe(scene, &action->msg));
    }
    member_actions_clear(&host->out);
}

static void
adopt(struct scene *scene, int i, uint64_t version, GBytes *value,
      uint64_t confirmed_us)
{
    struct scene_host *host = &scene->hosts[i];
    struct service_config *service_config = NULL;
    char *report = NULL;
    size_t len = 0;
    const char *body = g_bytes_get_data(value, &len);

    if (service_config_parse_envelope(body, len, version, &service_config,
                                      &report) < 0) {
        scene_log(scene, "  %s refuses version %u", host->name,
                  (unsigned)version);
        g_free(report);
        config_refuse(&host->config, version);
        return;
    }
    scene_log(scene, "  %s: version %u is in force (before: %u)", host->name,
              (unsigned)version, (unsigned)host->config.have);
    service_config_free(host->service_config);
    host->service_config = service_config;
    config_applied(&host->config, version, confirmed_us);
    if (host->agent) {
        engine_set_text(host->engine, service_config, scene_now(scene),
                        &host->actions);
        scene_act(scene, i);
    }
    scene_refresh(scene, i);
}

static void
answer_watch(struct scene *scene, int host, int status)
{
    struct scene_message *reply;
    char *description =
        status == 0
            ? g_strdup_printf("version %u", (unsigned)scene->version)
            : g_strdup(status == -EAGAIN ? "nothing newer" : "no answer");

    reply = scene_send(scene, SCENE_PLATFORM_REPLY, SCENE_PLATFORM, host,
                       status == 0 ? g_bytes_ref(scene->value) : NULL,
                       description);
    reply->status = status;
    reply->a = scene->version;
}

void
scene_platform_tick(struct scene *scene, bool all)
{
    GList *next;

    for (GList *l = scene->watches.head; l != NULL; l = next) {
        struct scene_watch *watch = l->data;
        const struct scene_host *host = &scene->hosts[watch->host];
        bool newer = scene->version > watch->after;

        next = l->next;
        if (!all && !newer && scene_now(scene) < watch->until_us) {
            continue;
        }
        if (host->up && host->generation == watch->generation) {
            answer_watch(scene, watch->host,
                         all ? -ECONNRESET : (newer ? 0 : -EAGAIN));
        }
        g_free(watch);
        g_queue_delete_link(&scene->watches, l);
    }
}

static void
call_platform(struct scene *scene, int i, const struct config_action *action)
{
    bool wait = action->type == CONFIG_WATCH;
    struct scene_watch *watch;

    scene_log(scene, "%s %s the platform's configuration, has %u",
              scene->hosts[i].name, wait ? "watches" : "reads",
              (unsigned)scene->hosts[i].config.have);
    if (scene->outage) {
        answer_watch(scene, i, -ECONNREFUSED);
        return;
    }
    if (!wait || scene->version > action->after) {
        answer_watch(scene, i, scene->version == 0 ? -ENOENT : 0);
        return;
    }
    watch = g_new0(struct scene_watch, 1);
    *watch = (struct scene_watch){
        .host = i,
        .generation = scene->hosts[i].generation,
        .after = action->after,
        .until_us = scene_now(scene) + CONFIG_WATCH_TIMEOUT_S * USEC_PER_SEC,
    };
    g_queue_push_tail(&scene->watches, watch);
}

static void
fetch_from_peer(struct scene *scene, int i, const struct config_action *action)
{
    Swiftarch__ConfigRequest request = SWIFTARCH__CONFIG_REQUEST__INIT;
    uint8_t body[32];
    size_t len;

    request.have = action->after;
    len = swiftarch__config_request__pack(&request, body);
    scene->hosts[i].config_source = find_control_addr(scene, action->from);
    scene_send(
        scene, SCENE_CONFIG_QUERY, i, scene->hosts[i].config_source,
        g_bytes_new(body, len),
        g_strdup_printf("newer than version %u?", (unsigned)action->after));
}

static void
step_config(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    uint64_t cell = hash_bytes(CELL, strlen(CELL), 0);
    struct config_actions actions;
    struct config_membership membership;

    membership.rank = member_rank(&host->members, cell, &membership.alive);
    membership.joined = host->members.joined;
    membership.has_contacts = host->members.contact_count > 0;
    config_set_membership(&host->config, &membership);
    config_tick(&host->config, scene_now(scene), &actions);
    for (size_t n = 0; n < actions.count; n++) {
        if (actions.items[n].type == CONFIG_FETCH) {
            fetch_from_peer(scene, i, &actions.items[n]);
        }
        else {
            call_platform(scene, i, &actions.items[n]);
        }
    }
}

static void
announce(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    const struct service_config_entry *service = NULL;
    enum member_state state = host->state;

    if (state == MEMBER_READY && host->service_config == NULL) {
        state = MEMBER_WARMING;
    }
    if (host->agent && host->service_config != NULL) {
        service = service_config_find_with_retired(
            host->service_config, hash_service(host->service));
    }
    member_announce(&host->members, state, service != NULL ? service->id : 0,
                    service != NULL ? SCENE_SLOTS : 0,
                    host->agent ? (uint16_t)engine_busy(host->engine) : 0,
                    host->agent ? (uint16_t)engine_waiting(host->engine) : 0,
                    scene_now(scene));
}

static void
publish(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    uint64_t now_us = scene_now(scene);
    uint64_t seq = host->view == NULL ? 1 : host->view->seq + 1;

    if (!host->members.changed &&
        (!host->members.load_changed || now_us < host->next_load_us)) {
        return;
    }
    free(host->view);
    host->view = member_view(&host->members, seq, now_us);
    host->members.changed = false;
    host->members.load_changed = false;
    host->next_load_us = now_us + LOAD_PUBLISH_US;
    scene_refresh(scene, i);
    if (host->agent) {
        engine_set_view(host->engine, host->view, now_us, &host->actions);
        scene_act(scene, i);
    }
}

void
scene_control_step(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    uint64_t now_us = scene_now(scene);

    announce(scene, i);
    step_config(scene, i);
    member_set_config(&host->members, host->config.have,
                      host->config.confirmed_us, now_us);
    if (now_us >= member_next_us(&host->members)) {
        member_tick(&host->members, now_us, &host->out);
    }
    send_members(scene, i);
    publish(scene, i);
}

void
scene_control_init(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    struct member_update self = {.start = host->start};
    uint64_t now_us = scene_now(scene);

    self.member.id = hash_name(host->name);
    self.member.incarnation = host->start;
    g_strlcpy(self.member.name, host->name, VIEW_NAME_MAX);
    g_strlcpy(self.member.data_centre, "kariakoo", VIEW_NAME_MAX);
    self.member.role = MEMBER_BALANCER;
    if (strncmp(host->name, "balancer", strlen("balancer")) != 0) {
        self.member.role = MEMBER_AGENT;
    }
    self.member.state = MEMBER_WARMING;
    self.member.data = host->data;
    self.member.control = host->control;
    host->stream_from = -1;
    g_assert_cmpint(member_core_init(&host->members, &self,
                                     (uint32_t)hash_name(CELL),
                                     (uint64_t)i + 1, now_us),
                    ==, 0);
    config_core_init(&host->config, (uint64_t)i + 100, now_us);
    for (int n = 0; n < scene->count; n++) {
        if (n != i && scene->hosts[n].up) {
            member_add_contact(&host->members, scene->hosts[n].control);
        }
    }
}

static void
receive_member(struct scene *scene, const struct scene_message *msg)
{
    struct scene_host *host = &scene->hosts[msg->to];
    const struct scene_host *from = &scene->hosts[msg->from];
    struct addr none = {0};
    struct member_msg decoded;
    size_t len = 0;
    const uint8_t *buf = g_bytes_get_data(msg->bytes, &len);
    bool stream = msg->kind == SCENE_SYNC;

    g_assert_cmpint(wire_decode(buf, len, hash_name(from->name), &decoded), ==,
                    0);
    host->stream_from = msg->from;
    member_receive(&host->members, &decoded, stream ? none : from->control,
                   scene_now(scene), &host->out);
    send_members(scene, msg->to);
    host->stream_from = -1;
    const struct member_entry *entry =
        member_find(&host->members, hash_name(from->name));
    if (entry != NULL) {
        config_handle_peer_version(&host->config, entry->member.control,
                                   decoded.config_version, decoded.word_age_ms,
                                   scene_now(scene));
    }
    member_msg_finish(&decoded);
}

static void
receive_ask(struct scene *scene, const struct scene_message *msg)
{
    const struct service_config *service_config =
        scene->hosts[msg->to].service_config;
    Swiftarch__ConfigReply reply = SWIFTARCH__CONFIG_REPLY__INIT;
    size_t len = 0;
    const uint8_t *body = g_bytes_get_data(msg->bytes, &len);
    Swiftarch__ConfigRequest *request =
        swiftarch__config_request__unpack(NULL, len, body);

    g_assert_nonnull(request);
    if (service_config != NULL && service_config->version > request->have) {
        reply.version = service_config->version;
        reply.body.data = (uint8_t *)service_config->source;
        reply.body.len = service_config->source_len;
    }
    swiftarch__config_request__free_unpacked(request, NULL);
    len = swiftarch__config_reply__get_packed_size(&reply);
    uint8_t *packed = g_malloc(len);
    swiftarch__config_reply__pack(&reply, packed);
    scene_send(scene, SCENE_CONFIG_REPLY, msg->to, msg->from,
               g_bytes_new_take(packed, len),
               g_strdup_printf("version %u", (unsigned)reply.version));
}

static void
receive_config(struct scene *scene, const struct scene_message *msg)
{
    struct scene_host *host = &scene->hosts[msg->to];
    size_t len = 0;
    const uint8_t *body = g_bytes_get_data(msg->bytes, &len);
    Swiftarch__ConfigReply *reply =
        swiftarch__config_reply__unpack(NULL, len, body);

    g_assert_nonnull(reply);
    if (config_handle_fetch_reply(&host->config, reply->version,
                                  scene_now(scene))) {
        g_autoptr(GBytes) value =
            g_bytes_new(reply->body.data, reply->body.len);

        adopt(scene, msg->to, reply->version, value, 0);
    }
    else {
        scene_log(scene, "  %s ignores version %u, has %u", host->name,
                  (unsigned)reply->version, (unsigned)host->config.have);
    }
    swiftarch__config_reply__free_unpacked(reply, NULL);
}

void
scene_control_receive(struct scene *scene, const struct scene_message *msg)
{
    struct scene_host *host = &scene->hosts[msg->to];
    uint64_t now_us = scene_now(scene);

    switch (msg->kind) {
    case SCENE_GOSSIP:
    case SCENE_SYNC:
        receive_member(scene, msg);
        break;
    case SCENE_CONFIG_QUERY:
        receive_ask(scene, msg);
        break;
    case SCENE_CONFIG_REPLY:
        receive_config(scene, msg);
        break;
    default:
        if (config_handle_platform_reply(&host->config, msg->status, msg->a,
                                         now_us)) {
            adopt(scene, msg->to, msg->a, msg->bytes, now_us);
        }
        else if (msg->status == 0) {
            scene_log(scene, "  %s ignores version %u, has %u", host->name,
                      (unsigned)msg->a, (unsigned)host->config.have);
        }
        break;
    }
}

static void
report_dead(struct scene *scene, struct scene_host *host, int dead)
{
    uint64_t id = hash_name(scene->hosts[dead].name);
    const struct view_member *member =
        host->view == NULL ? NULL : view_find(host->view, id);

    if (member != NULL && member->health != MEMBER_DEAD) {
        scene_log(scene, "  %s has proof that %s is dead", host->name,
                  scene->hosts[dead].name);
        member_proven_dead(&host->members, id, member->incarnation,
                           scene_now(scene));
    }
}

void
scene_receive_refused(struct scene *scene, const struct scene_message *msg)
{
    struct scene_host *host = &scene->hosts[msg->to];
    const struct scene_host *dead = &scene->hosts[msg->a];
    uint64_t id = hash_name(dead->name);
    uint64_t now_us = scene_now(scene);

    switch ((enum scene_kind)msg->status) {
    case SCENE_PACKET:
        report_dead(scene, host, (int)msg->a);
        break;
    case SCENE_PEER:
        report_dead(scene, host, (int)msg->a);
        if (msg->b != 0) {
            engine_send_failed(host->engine, id, msg->b, now_us,
                               &host->actions);
            scene_act(scene, msg->to);
        }
        engine_peer_lost(host->engine, id, now_us, &host->actions);
        scene_act(scene, msg->to);
        break;
    default:
        member_refused(&host->members, dead->control, now_us);
        if (host->config.fetching && host->config_source == (int)msg->a) {
            config_handle_fetch_reply(&host->config, 0, now_us);
        }
        break;
    }
}
