#include "scene.h"

#include <string.h>

#include "base/hash.h"

#define FIRST_START_US (UINT64_C(1700000000) * USEC_PER_SEC)
#define FLOWS_MAX 1000

static const char *const kind_names[] = {
    [SCENE_GOSSIP] = "gossip",
    [SCENE_SYNC] = "sync",
    [SCENE_CONFIG_QUERY] = "config-ask",
    [SCENE_CONFIG_REPLY] = "config",
    [SCENE_PEER] = "peer",
    [SCENE_PACKET] = "packet",
    [SCENE_ANSWER] = "answer",
    [SCENE_PLATFORM_REPLY] = "read",
    [SCENE_REFUSED] = "refused",
    [SCENE_BROKEN] = "broken",
    [SCENE_RUN_END] = "run-end",
    [SCENE_OPERATOR_CALL] = "call",
    [SCENE_OPERATOR_REPLY] = "reply",
};

uint64_t
scene_now(struct scene *scene)
{
    return clock_now_us(&scene->clock.base);
}

void
scene_log(struct scene *scene, const char *fmt, ...)
{
    uint64_t elapsed_us = scene_now(scene) - scene->origin_us;
    va_list args;

    if (scene->muted) {
        return;
    }
    g_string_append_printf(scene->log, "%4u.%03u  ",
                           (unsigned)(elapsed_us / USEC_PER_SEC),
                           (unsigned)(elapsed_us / USEC_PER_MSEC % 1000));
    va_start(args, fmt);
    g_string_append_vprintf(scene->log, fmt, args);
    va_end(args);
    g_string_append_c(scene->log, '\n');
}

void
scene_log_quiet(struct scene *scene)
{
    if (scene->quiet_count > 0) {
        scene_log(scene, "(%u probes and load reports without updates)",
                  scene->quiet_count);
    }
    scene->quiet_count = 0;
}

const char *
scene_node_name(const struct scene *scene, int node)
{
    if (node == SCENE_CALLER) {
        return "caller";
    }
    if (node == SCENE_OPERATOR) {
        return "operator";
    }
    return node == SCENE_PLATFORM ? "platform" : scene->hosts[node].name;
}

int
scene_find(const struct scene *scene, const char *name)
{
    for (int i = 0; i < scene->count; i++) {
        if (strcmp(scene->hosts[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

const char *
scene_member_name(const struct scene *scene, uint64_t id)
{
    for (int i = 0; i < scene->count; i++) {
        if (hash_name(scene->hosts[i].name) == id) {
            return scene->hosts[i].name;
        }
    }
    return id == 0 ? "-" : "unknown";
}

static gint
by_time(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct scene_message *x = a;
    const struct scene_message *y = b;

    if (x->at_us != y->at_us) {
        return x->at_us < y->at_us ? -1 : 1;
    }
    return x->seq < y->seq ? -1 : 1;
}

static void
message_free(gpointer data)
{
    struct scene_message *msg = data;

    if (msg->bytes != NULL) {
        g_bytes_unref(msg->bytes);
    }
    g_free(msg->description);
    g_free(msg);
}

void
scene_clear_rules(struct scene *scene)
{
    struct scene_rule *rule;

    while ((rule = g_queue_pop_head(&scene->rules)) != NULL) {
        g_free(rule->kind);
        g_free(rule->from);
        g_free(rule->to);
        g_free(rule);
    }
}

static bool
matches(const char *pattern, const char *value)
{
    return strcmp(pattern, "*") == 0 || strcmp(pattern, value) == 0;
}

static struct scene_rule *
find_rule(struct scene *scene, const struct scene_message *msg)
{
    bool probe = msg->kind == SCENE_GOSSIP && msg->description == NULL;
    const char *kind = probe ? "probe" : kind_names[msg->kind];

    for (GList *l = scene->rules.head; l != NULL; l = l->next) {
        struct scene_rule *rule = l->data;

        if (rule->count > 0 && matches(rule->kind, kind) &&
            matches(rule->from, scene_node_name(scene, msg->from)) &&
            matches(rule->to, scene_node_name(scene, msg->to))) {
            rule->count--;
            return rule;
        }
    }
    return NULL;
}

static bool
is_stream(enum scene_kind kind)
{
    return kind == SCENE_SYNC || kind == SCENE_CONFIG_QUERY ||
           kind == SCENE_CONFIG_REPLY || kind == SCENE_PEER;
}

struct scene_message *
scene_send(struct scene *scene, enum scene_kind kind, int from, int to,
           GBytes *bytes, char *description)
{
    struct scene_message *msg = g_new0(struct scene_message, 1);

    *msg = (struct scene_message){.at_us = scene_now(scene) + SCENE_DELAY_US,
                                  .seq = scene->seq++,
                                  .kind = kind,
                                  .from = from,
                                  .to = to,
                                  .bytes = bytes,
                                  .description = description};
    if (to >= 0 && (is_stream(kind) || kind > SCENE_HOST_KINDS_END)) {
        msg->generation = scene->hosts[to].generation;
    }
    struct scene_rule *rule = find_rule(scene, msg);
    const char *suffix = "";
    if (rule != NULL && rule->delay_us > 0) {
        msg->at_us += rule->delay_us;
        suffix = " [DELAYED]";
    }
    else if (rule != NULL) {
        msg->to = G_MININT;
        suffix = " [LOST]";
    }
    if (description != NULL) {
        scene_log(scene, "%s > %s %s %s%s", scene_node_name(scene, from),
                  scene_node_name(scene, to), kind_names[kind], description,
                  suffix);
    }
    else if (kind < SCENE_HOST_KINDS_END) {
        scene->quiet_count++;
    }
    g_queue_insert_sorted(&scene->in_flight, msg, by_time, NULL);
    return msg;
}

void
scene_delay(struct scene *scene, struct scene_message *msg, uint64_t delay_us)
{
    g_queue_remove(&scene->in_flight, msg);
    msg->at_us = scene_now(scene) + delay_us;
    g_queue_insert_sorted(&scene->in_flight, msg, by_time, NULL);
}

static void
receive(struct scene *scene, const struct scene_message *msg)
{
    switch (msg->kind) {
    case SCENE_PACKET:
        scene_receive_packet(scene, msg);
        break;
    case SCENE_PEER:
        scene_receive_peer(scene, msg);
        break;
    case SCENE_BROKEN:
        scene_receive_broken(scene, msg);
        break;
    case SCENE_REFUSED:
        scene_receive_refused(scene, msg);
        break;
    case SCENE_RUN_END:
        scene_run_end(scene, msg->to, msg->a,
                      (enum engine_upstream)msg->status);
        break;
    default:
        scene_control_receive(scene, msg);
        break;
    }
    scene_control_step(scene, msg->to);
}

/* Returns whether the message is now in the inbox of a frozen host. */
static bool
deliver(struct scene *scene, struct scene_message *msg)
{
    if (msg->to == G_MININT) {
        return false;
    }
    if (msg->kind == SCENE_ANSWER) {
        scene_receive_answer(scene, msg);
        return false;
    }
    if (msg->to < 0) {
        scene_apply_receive(scene, msg);
        return false;
    }
    struct scene_host *host = &scene->hosts[msg->to];
    if (!host->up ||
        (msg->generation != 0 && msg->generation != host->generation)) {
        if (msg->kind < SCENE_HOST_KINDS_END && !host->up && msg->from >= 0) {
            struct scene_message *refused =
                scene_send(scene, SCENE_REFUSED, msg->to, msg->from, NULL,
                           g_strdup(kind_names[msg->kind]));
            refused->a = (uint64_t)msg->to;
            refused->b = msg->a;
            refused->status = (int)msg->kind;
        }
        return false;
    }
    if (host->frozen) {
        if (msg->description != NULL && msg->kind != SCENE_GOSSIP) {
            scene_log(scene, "  (%s is frozen: %s waits)", host->name,
                      msg->description);
        }
        g_queue_push_tail(&host->inbox, msg);
        return true;
    }
    receive(scene, msg);
    return false;
}

static void
deliver_due(struct scene *scene)
{
    struct scene_message *msg;

    while ((msg = g_queue_peek_head(&scene->in_flight)) != NULL &&
           msg->at_us <= scene_now(scene)) {
        g_queue_pop_head(&scene->in_flight);
        if (!deliver(scene, msg)) {
            message_free(msg);
        }
    }
}

static void
tick_host(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];

    if (!host->up || host->frozen) {
        return;
    }
    scene_control_step(scene, i);
    if (host->agent) {
        scene_request_tick(scene, i);
    }
}

void
scene_run_to(struct scene *scene, uint64_t at_us)
{
    while (scene_now(scene) < at_us) {
        const struct scene_message *next =
            g_queue_peek_head(&scene->in_flight);
        uint64_t now_us = scene_now(scene);
        uint64_t tick_us = now_us - now_us % SCENE_TICK_US + SCENE_TICK_US;
        uint64_t to_us = MIN(tick_us, at_us);

        if (next != NULL) {
            to_us = MIN(to_us, next->at_us);
        }
        clock_manual_advance(&scene->clock, to_us - now_us);
        deliver_due(scene);
        for (int i = 0; to_us == tick_us && i < scene->count; i++) {
            tick_host(scene, i);
        }
        scene_platform_tick(scene, false);
    }
}

static void
free_bytes(gpointer data)
{
    g_bytes_unref(data);
}

static void
host_finish(struct scene_host *host)
{
    struct scene_message *msg;

    member_actions_finish(&host->out);
    member_core_finish(&host->members);
    service_config_free(host->service_config);
    free(host->view);
    route_table_free(host->table);
    while ((msg = g_queue_pop_head(&host->inbox)) != NULL) {
        message_free(msg);
    }
    if (host->agent) {
        flow_table_free(host->flows);
        engine_free(host->engine);
        engine_actions_finish(&host->actions);
        g_hash_table_unref(host->conns);
        g_hash_table_unref(host->answers);
    }
}

void
scene_start(struct scene *scene, const char *name, const char *service)
{
    int i = scene_find(scene, name);

    if (i < 0) {
        i = scene->count++;
        g_assert_cmpint(i, <, SCENE_HOSTS_MAX);
        g_strlcpy(scene->hosts[i].name, name, VIEW_NAME_MAX);
    }
    struct scene_host *host = &scene->hosts[i];
    unsigned generation = host->generation + 1;
    g_assert(!host->up);
    memset(host, 0, sizeof(*host));
    g_strlcpy(host->name, name, VIEW_NAME_MAX);
    host->up = true;
    host->generation = generation;
    host->state = MEMBER_READY;
    host->data = (struct addr){0x0a010001 + (uint32_t)i, 4500};
    host->control = (struct addr){host->data.ip, 4600};
    host->start = FIRST_START_US + scene_now(scene);
    scene_control_init(scene, i);
    if (service == NULL) {
        return;
    }
    uint64_t self = hash_name(name);
    g_strlcpy(host->service, service, sizeof(host->service));
    host->agent = true;
    host->flows = flow_table_new(self, FLOWS_MAX);
    host->engine = engine_new(self, ENGINE_POLICY_DEFAULT, (uint64_t)i);
    host->conns = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    host->answers = g_hash_table_new_full(NULL, NULL, NULL, free_bytes);
}

void
scene_kill(struct scene *scene, int dead)
{
    struct scene_host *host = &scene->hosts[dead];

    host_finish(host);
    host->up = false;
    for (int i = 0; i < scene->count; i++) {
        if (scene->hosts[i].up && scene->hosts[i].connected[dead]) {
            scene->hosts[i].connected[dead] = false;
            scene_send(scene, SCENE_BROKEN, dead, i, NULL,
                       g_strdup("connection"));
        }
    }
}

void
scene_thaw(struct scene *scene, int i)
{
    struct scene_host *host = &scene->hosts[i];
    struct scene_message *msg;

    host->frozen = false;
    while ((msg = g_queue_pop_head(&host->inbox)) != NULL) {
        receive(scene, msg);
        message_free(msg);
    }
}

static void
request_free(gpointer data)
{
    struct scene_request *request = data;

    g_free(request->text);
    g_free(request);
}

static void
flow_free(gpointer data)
{
    struct scene_flow *flow = data;

    if (flow->last != NULL) {
        g_bytes_unref(flow->last);
    }
    g_free(flow);
}

void
scene_init(struct scene *scene)
{
    memset(scene, 0, sizeof(*scene));
    clock_manual_init(&scene->clock, USEC_PER_SEC);
    scene->origin_us = USEC_PER_SEC;
    scene->log = g_string_new(NULL);
    scene->flows = g_ptr_array_new_with_free_func(flow_free);
    scene->requests = g_ptr_array_new_with_free_func(request_free);
}

void
scene_finish(struct scene *scene)
{
    for (int i = 0; i < scene->count; i++) {
        if (scene->hosts[i].up) {
            host_finish(&scene->hosts[i]);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(scene->operators); i++) {
        g_free(scene->operators[i].source);
        g_free(scene->operators[i].retired);
        if (scene->operators[i].last_value != NULL) {
            g_bytes_unref(scene->operators[i].last_value);
        }
    }
    g_queue_clear_full(&scene->in_flight, message_free);
    scene_clear_rules(scene);
    g_queue_clear_full(&scene->watches, g_free);
    g_ptr_array_unref(scene->flows);
    g_ptr_array_unref(scene->requests);
    if (scene->value != NULL) {
        g_bytes_unref(scene->value);
    }
    g_string_free(scene->log, TRUE);
}
