#define G_LOG_DOMAIN "swiftarch-control"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "control/control.pb-c.h"
#include "control/control_internal.h"

#define CELL_OBJECT_MAX (SETTINGS_NAME_MAX + 8)

static const char *
cell_object(const struct control *control, char *name)
{
    g_snprintf(name, CELL_OBJECT_MAX, "cell-%s", control->settings->cell);
    return name;
}

/* Applies a body if it is a valid configuration. @confirmed_us as for
 * config_applied(). */
static void
apply_config_body(struct control *control, uint64_t version, const char *body,
                  size_t len, uint64_t confirmed_us)
{
    const struct service_config *old = control->blackboard->text;
    struct service_config *config = NULL;
    char *report = NULL;

    if (service_config_parse_envelope(body, len, version, &config, &report) <
        0) {
        g_warning("Configuration version %" PRIu64 " is invalid: %s", version,
                  report != NULL ? report : "unreadable");
        g_free(report);
        config_refuse(&control->config, version);
        return;
    }
    g_free(report);
    if (old != NULL)
        history_add(&control->history, old->version,
                    (const uint8_t *)old->source, old->source_len, version,
                    (const uint8_t *)config->source, config->source_len);
    if (!blackboard_publish_config(control->blackboard, config,
                                   control_now(control))) {
        service_config_free(config);
        return;
    }
    config_applied(&control->config, version, confirmed_us);
    g_message("Configuration version %" PRIu64 " is in force.", version);
}

static void
on_config(struct platform_call *call, const struct platform_reply *reply)
{
    struct control *control =
        caa_container_of(call, struct control, config_call);
    uint64_t now_us = control_now(control);

    if (config_handle_platform_reply(&control->config, reply->status,
                                     reply->version, now_us))
        apply_config_body(control, reply->version, reply->value, reply->len,
                          now_us);
    control->ops->step(control);
}

static void
handle_seeds(struct control *control, const struct platform_reply *reply)
{
    struct seed_list list;
    uint64_t now_us = control_now(control);

    if (reply->status != 0) {
        seeds_read_done(&control->seeds, reply->status, reply->version, NULL,
                        now_us);
        return;
    }
    /* A malformed list counts as empty and is overwritten. */
    if (seeds_decode(reply->value, reply->len, &list) < 0)
        g_warning("The seed list of the cell is malformed.");
    for (size_t i = 0; i < list.count; i++)
        member_add_contact(&control->members, list.items[i].control);
    seeds_read_done(&control->seeds, 0, reply->version, &list, now_us);
}

static void
on_seeds(struct platform_call *call, const struct platform_reply *reply)
{
    struct control *control =
        caa_container_of(call, struct control, seeds_call);

    if (control->seeds.calling == SEEDS_WRITE)
        seeds_write_done(&control->seeds, reply->status, reply->version,
                         control_now(control));
    else if (control->seeds.calling == SEEDS_READ)
        handle_seeds(control, reply);
    control->ops->step(control);
}

int
control_config_open(struct control *control, struct error *err)
{
    control->config_call.done = on_config;
    control->seeds_call.done = on_seeds;
    control->platform =
        platform_new(control->base, control->settings->platform, err);
    return control->platform == NULL ? err->code : 0;
}

static void
fetch_from_peer(struct control *control, const struct config_action *action)
{
    Swiftarch__ConfigRequest request = SWIFTARCH__CONFIG_REQUEST__INIT;
    uint8_t body[32];
    size_t len;

    request.have = action->after;
    len = swiftarch__config_request__pack(&request, body);
    control->fetch_from = action->from;
    if (link_send(&control->hub, action->from, CONTROL_FRAME_CONFIG_REQUEST,
                  body, len) < 0)
        config_handle_fetch_reply(&control->config, 0, control_now(control));
}

static void
do_config_action(struct control *control, const struct config_action *action)
{
    const char *object = settings_object(control->settings);
    int ret = 0;

    switch (action->type) {
    case CONFIG_WATCH:
        ret = platform_watch(control->platform, object, action->after,
                             CONFIG_WATCH_TIMEOUT_S, &control->config_call);
        break;
    case CONFIG_READ:
        ret = platform_get(control->platform, object, &control->config_call);
        break;
    case CONFIG_FETCH:
        fetch_from_peer(control, action);
        break;
    }
    if (ret < 0)
        config_handle_platform_reply(&control->config, ret, 0,
                                     control_now(control));
}

static void
do_seeds_action(struct control *control, enum seeds_action action)
{
    char name[CELL_OBJECT_MAX];
    uint64_t now_us = control_now(control);
    char *value;
    size_t len;
    int ret;

    if (action == SEEDS_READ) {
        ret = platform_get(control->platform, cell_object(control, name),
                           &control->seeds_call);
        if (ret < 0)
            seeds_read_done(&control->seeds, ret, 0, NULL, now_us);
    }
    else if (action == SEEDS_WRITE) {
        value = seeds_encode(&control->seeds.pending, &len);
        ret = platform_put(control->platform, cell_object(control, name),
                           control->seeds.version, value, len,
                           &control->seeds_call);
        g_free(value);
        if (ret < 0)
            seeds_write_done(&control->seeds, ret, 0, now_us);
    }
}

void
control_config_step(struct control *control)
{
    struct config_actions actions;
    struct config_membership membership;
    uint64_t now_us = control_now(control);

    membership.rank =
        member_rank(&control->members, control->cell, &membership.alive);
    membership.joined = control->members.joined;
    membership.has_contacts = control->members.contact_count > 0;
    config_set_membership(&control->config, &membership);
    config_tick(&control->config, now_us, &actions);
    for (size_t i = 0; i < actions.count; i++)
        do_config_action(control, &actions.items[i]);
    do_seeds_action(control, seeds_tick(&control->seeds, &control->members,
                                        control->cell, now_us));
}

static void
reply_config(struct control *control, struct link_conn *conn,
             const Swiftarch__ConfigReply *reply)
{
    size_t len = swiftarch__config_reply__get_packed_size(reply);
    uint8_t *body = g_malloc(len);

    swiftarch__config_reply__pack(reply, body);
    link_reply(&control->hub, conn, CONTROL_FRAME_CONFIG_REPLY, body, len);
    g_free(body);
}

/* Fills in edits instead of the body if they are known and shorter. */
static bool
fill_edits(const struct control *control, Swiftarch__ConfigReply *reply,
           Swiftarch__ConfigEdit *edits, Swiftarch__ConfigEdit **pointers,
           uint64_t have, size_t body_len)
{
    const struct history_step *steps;
    size_t count = 0;
    size_t total = 0;

    steps = history_find(&control->history, have, &count);
    if (steps == NULL)
        return false;
    for (size_t i = 0; i < count; i++) {
        swiftarch__config_edit__init(&edits[i]);
        edits[i].prefix = steps[i].edit.prefix;
        edits[i].suffix = steps[i].edit.suffix;
        edits[i].middle.data = steps[i].edit.middle;
        edits[i].middle.len = steps[i].edit.middle_len;
        pointers[i] = &edits[i];
        total += steps[i].edit.middle_len;
    }
    if (total >= body_len)
        return false;
    reply->have = have;
    reply->edits = pointers;
    reply->n_edits = count;
    return true;
}

void
control_config_request(struct control *control, struct link_conn *conn,
                       const uint8_t *body, size_t len)
{
    Swiftarch__ConfigRequest *request;
    Swiftarch__ConfigReply reply = SWIFTARCH__CONFIG_REPLY__INIT;
    Swiftarch__ConfigEdit edits[HISTORY_STEPS_MAX];
    Swiftarch__ConfigEdit *pointers[HISTORY_STEPS_MAX];
    /* Only this thread replaces the configuration: no RCU section. */
    const struct service_config *config = control->blackboard->text;

    request = swiftarch__config_request__unpack(NULL, len, body);
    if (request == NULL) {
        control->bad_messages++;
        return;
    }
    if (config != NULL && config->version > request->have) {
        reply.version = config->version;
        if (request->have == 0 ||
            !fill_edits(control, &reply, edits, pointers, request->have,
                        config->source_len)) {
            reply.body.data = (uint8_t *)config->source;
            reply.body.len = config->source_len;
        }
    }
    reply_config(control, conn, &reply);
    swiftarch__config_request__free_unpacked(request, NULL);
}

static uint8_t *
apply_edits(const struct service_config *config,
            const Swiftarch__ConfigReply *reply, size_t *len)
{
    uint8_t *body;

    *len = config->source_len;
    body = g_memdup2(config->source, config->source_len);
    for (size_t i = 0; i < reply->n_edits && body != NULL; i++) {
        struct history_edit edit = {
            .prefix = reply->edits[i]->prefix,
            .suffix = reply->edits[i]->suffix,
            .middle = reply->edits[i]->middle.data,
            .middle_len = reply->edits[i]->middle.len,
        };
        uint8_t *next = NULL;

        if (*len + edit.middle_len <= SERVICE_CONFIG_SIZE_MAX)
            next = history_apply(&edit, body, len);
        g_free(body);
        body = next;
    }
    return body;
}

static void
handle_config_reply(struct control *control,
                    const Swiftarch__ConfigReply *reply)
{
    const struct service_config *config = control->blackboard->text;
    uint8_t *body;
    size_t len;

    if (reply->n_edits == 0) {
        apply_config_body(control, reply->version,
                          (const char *)reply->body.data, reply->body.len, 0);
        return;
    }
    /* The version in force may have changed since the request. */
    if (config == NULL || reply->have != config->version)
        return;
    body = apply_edits(config, reply, &len);
    if (body == NULL) {
        control->bad_messages++;
        return;
    }
    apply_config_body(control, reply->version, (const char *)body, len, 0);
    g_free(body);
}

void
control_config_reply(struct control *control, const uint8_t *body, size_t len)
{
    Swiftarch__ConfigReply *reply;

    reply = swiftarch__config_reply__unpack(NULL, len, body);
    if (reply == NULL) {
        control->bad_messages++;
        config_handle_fetch_reply(&control->config, 0, control_now(control));
        return;
    }
    if (config_handle_fetch_reply(&control->config, reply->version,
                                  control_now(control)))
        handle_config_reply(control, reply);
    swiftarch__config_reply__free_unpacked(reply, NULL);
}
