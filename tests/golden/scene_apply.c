#include <errno.h>
#include <string.h>

#include "lib/sample.h"
#include "scene.h"

#define CALL_TIMEOUT_US (2500 * USEC_PER_MSEC)

static const char *const outcomes[] = {
    [APPLY_APPLIED] = "applied",
    [APPLY_UNCHANGED] = "unchanged, already published",
    [APPLY_REPLACED] = "applied, then replaced",
    [APPLY_RACE_LOST] = "not applied, another write came first",
    [APPLY_NOT_WRITTEN] = "not applied",
    [APPLY_UNKNOWN_REPLACED] = "unknown, other versions were published since",
    [APPLY_UNKNOWN] = "unknown",
};

/* Returns the number of the pending call of operator @at. */
static uint64_t
call_number(const struct scene *scene, int at)
{
    return (uint64_t)at << 32 | scene->operators[at].call;
}

/* Sends an event to an operator; ignored unless @call is still pending. */
static struct scene_message *
send_reply(struct scene *scene, int from, uint64_t call,
           enum apply_event_type type, GBytes *value, char *description)
{
    struct scene_message *msg = scene_send(scene, SCENE_OPERATOR_REPLY, from,
                                           SCENE_OPERATOR, value, description);

    msg->status = (int)type;
    msg->a = scene->version;
    msg->b = call;
    return msg;
}

static void
send_reply_later(struct scene *scene, int at, enum apply_event_type type,
                 uint64_t delay_us)
{
    struct scene_message *msg = send_reply(
        scene, SCENE_OPERATOR, call_number(scene, at), type, NULL, NULL);

    scene_delay(scene, msg, delay_us);
}

/* Computes the retired addresses like apply_run. Returns false when the
 * published config forbids the change. */
static bool
retire(struct scene *scene, struct scene_apply *run)
{
    struct service_config_retired retired[SERVICE_CONFIG_RETIRED_MAX];
    struct service_config_change change = {.name = "config",
                                           .now_ms = SCENE_WALL_MS,
                                           .hold_ms =
                                               SERVICE_CONFIG_RETIRE_HOLD_MS};
    struct service_config *from = NULL;
    struct service_config *to = sample_parse(run->source);
    g_autofree char *report = NULL;
    size_t count = 0;

    if (run->last_value != NULL) {
        const char *value = g_bytes_get_data(run->last_value, &count);

        g_assert_cmpint(
            service_config_parse_envelope(value, count, 1, &from, &report), ==,
            0);
    }
    change.from = from;
    change.to = to;
    int rc = service_config_retire(&change, retired, &count, &report);
    g_free(run->retired);
    run->retired =
        count > 0 ? service_config_retired_write(retired, count) : NULL;
    if (report != NULL) {
        scene_log(scene, "  %s: apply rejected: %s", run->author,
                  g_strchomp(report));
    }
    service_config_free(from);
    service_config_free(to);
    return rc == 0;
}

static GBytes *
make_value(const struct scene_apply *run)
{
    struct service_config_envelope previous = {0};
    struct service_config_envelope envelope = {.source = run->source,
                                               .source_len =
                                                   strlen(run->source),
                                               .retired = run->retired,
                                               .written_ms = SCENE_WALL_MS};
    size_t len = 0;

    if (run->retired != NULL) {
        envelope.retired_len = strlen(run->retired);
    }

    g_strlcpy(envelope.write_id, run->core.write_id,
              SERVICE_CONFIG_WRITE_ID_MAX);
    g_strlcpy(envelope.author, run->author, SERVICE_CONFIG_AUTHOR_MAX);
    if (run->last_value != NULL) {
        const char *value = g_bytes_get_data(run->last_value, &len);

        g_assert_cmpint(service_config_envelope_read(value, len, &previous),
                        ==, 0);
        g_strlcpy(envelope.history[0], previous.write_id,
                  SERVICE_CONFIG_WRITE_ID_MAX);
        envelope.history_count =
            MIN(previous.history_count + 1, SERVICE_CONFIG_HISTORY_MAX);
        memcpy(envelope.history[1], previous.history[0],
               (envelope.history_count - 1) * SERVICE_CONFIG_WRITE_ID_MAX);
    }
    char *value = service_config_envelope_write(&envelope, &len);
    return g_bytes_new_take(value, len);
}

static void
call_platform(struct scene *scene, int at, const struct apply_action *action)
{
    struct scene_apply *run = &scene->operators[at];
    bool write = action->type == APPLY_DO_WRITE;
    char *description = write ? g_strdup_printf("publish if version is %u",
                                                (unsigned)action->expect)
                              : g_strdup("read");
    struct scene_message *msg =
        scene_send(scene, SCENE_OPERATOR_CALL, SCENE_OPERATOR, SCENE_PLATFORM,
                   write ? make_value(run) : NULL, description);

    run->call++;
    msg->a = action->expect;
    msg->b = call_number(scene, at);
    msg->status = write;
    send_reply_later(scene, at, write ? APPLY_LOST : APPLY_READ_FAILED,
                     CALL_TIMEOUT_US);
}

void
scene_apply_step(struct scene *scene, int at, struct apply_action action)
{
    struct scene_apply *run = &scene->operators[at];

    switch (action.type) {
    case APPLY_DO_WAIT:
        run->call++;
        send_reply_later(scene, at, APPLY_TIMER_EXPIRED,
                         action.wait_ms * USEC_PER_MSEC);
        break;
    case APPLY_DO_FINISH:
        run->call++;
        scene_log(scene, "  %s: apply ended: %s (version %u)", run->author,
                  outcomes[action.outcome], (unsigned)action.version);
        break;
    case APPLY_DO_WRITE:
        if (!retire(scene, run)) {
            run->call++;
            break;
        }
        call_platform(scene, at, &action);
        break;
    default:
        call_platform(scene, at, &action);
        break;
    }
}

static void
handle_write(struct scene *scene, const struct scene_message *msg, int at)
{
    if (msg->a != scene->version) {
        send_reply(
            scene, SCENE_PLATFORM, msg->b, APPLY_STALE, NULL,
            g_strdup_printf("stale: version is %u", (unsigned)scene->version));
        return;
    }
    if (scene->value != NULL) {
        g_bytes_unref(scene->value);
    }
    scene->value = g_bytes_ref(msg->bytes);
    scene->version++;
    scene_log(scene, "  the platform holds version %u of %s",
              (unsigned)scene->version, scene->operators[at].author);
    send_reply(
        scene, SCENE_PLATFORM, msg->b, APPLY_WRITTEN, NULL,
        g_strdup_printf("written as version %u", (unsigned)scene->version));
    scene_platform_tick(scene, false);
}

static void
receive_call(struct scene *scene, const struct scene_message *msg, int at)
{
    if (scene->outage) {
        /* No reply: the call times out. */
        scene_log(scene, "  the platform is down: no answer");
        return;
    }
    if (msg->status != 0) {
        handle_write(scene, msg, at);
        return;
    }
    send_reply(scene, SCENE_PLATFORM, msg->b, APPLY_READ,
               scene->value == NULL ? NULL : g_bytes_ref(scene->value),
               g_strdup_printf("version %u", (unsigned)scene->version));
}

static void
receive_reply(struct scene *scene, const struct scene_message *msg, int at)
{
    struct scene_apply *run = &scene->operators[at];
    struct service_config_envelope envelope = {0};
    struct apply_event event = {.type = (enum apply_event_type)msg->status,
                                .version = msg->a};
    size_t len = 0;

    if (msg->bytes != NULL) {
        const char *value = g_bytes_get_data(msg->bytes, &len);

        g_assert_cmpint(service_config_envelope_read(value, len, &envelope),
                        ==, 0);
        event.envelope = &envelope;
        event.same =
            envelope.source_len == strlen(run->source) &&
            memcmp(envelope.source, run->source, envelope.source_len) == 0;
        if (run->last_value != NULL) {
            g_bytes_unref(run->last_value);
        }
        run->last_value = g_bytes_ref(msg->bytes);
    }
    if (event.type == APPLY_LOST || event.type == APPLY_READ_FAILED) {
        scene_log(scene, "  %s had no answer in time", run->author);
    }
    scene_apply_step(scene, at, apply_core_step(&run->core, &event));
}

void
scene_apply_receive(struct scene *scene, const struct scene_message *msg)
{
    int at = (int)(msg->b >> 32);

    if (msg->kind == SCENE_OPERATOR_CALL) {
        receive_call(scene, msg, at);
    }
    else if ((uint32_t)msg->b == scene->operators[at].call) {
        receive_reply(scene, msg, at);
    }
}
