#include "cli/apply_run.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>

#include "base/clock.h"

#define WRITE_ID_BYTES 16

static void
perform_action(struct apply_run *run, struct apply_action action);

static int
make_write_id(char *id)
{
    uint8_t bytes[WRITE_ID_BYTES];

    if (getrandom(bytes, sizeof(bytes), 0) != sizeof(bytes)) {
        return -EIO;
    }
    for (size_t i = 0; i < sizeof(bytes); i++) {
        g_snprintf(id + 2 * i, 3, "%02x", bytes[i]);
    }
    return 0;
}

static void
clear_read(struct apply_run *run)
{
    if (run->current_value != NULL) {
        g_bytes_unref(run->current_value);
    }
    run->current_value = NULL;
    run->has_current = false;
}

static void
store_read(struct apply_run *run, const struct platform_reply *reply)
{
    const char *value;
    gsize len;

    clear_read(run);
    run->current_version = reply->version;
    if (reply->status != 0) {
        return;
    }
    run->current_value = g_bytes_new(reply->value, reply->len);
    value = g_bytes_get_data(run->current_value, &len);
    run->has_current =
        service_config_envelope_read(value, len, &run->current) == 0;
}

static struct apply_event
event_of_read(struct apply_run *run, const struct platform_reply *reply)
{
    struct apply_event event = {.type = APPLY_READ_FAILED};

    if (reply->status != 0 && reply->status != -ENOENT) {
        return event;
    }
    store_read(run, reply);
    event.type = APPLY_READ;
    event.version = reply->version;
    event.envelope = run->has_current ? &run->current : NULL;
    event.same = run->has_current &&
                 run->current.source_len == run->config->source_len &&
                 memcmp(run->current.source, run->config->source,
                        run->config->source_len) == 0;
    return event;
}

static struct apply_event
event_of_write(const struct platform_reply *reply)
{
    struct apply_event event = {.version = reply->version};

    switch (reply->status) {
    case 0:
        event.type = APPLY_WRITTEN;
        break;
    case -ESTALE:
        event.type = APPLY_STALE;
        break;
    case -ECONNREFUSED:
    case -EHOSTUNREACH:
    case -EMSGSIZE:
        event.type = APPLY_REFUSED;
        break;
    default:
        event.type = APPLY_LOST;
        break;
    }
    return event;
}

static void
step(struct apply_run *run, const struct apply_event *event)
{
    perform_action(run, apply_core_step(&run->core, event));
}

static void
on_reply(struct platform_call *call, const struct platform_reply *reply)
{
    struct apply_run *run = (struct apply_run *)call;
    struct apply_event event;

    if (reply->status != 0) {
        run->error = reply->error;
    }
    event = run->action.type == APPLY_DO_READ ? event_of_read(run, reply)
                                              : event_of_write(reply);
    step(run, &event);
}

static void
on_wait_timer(evutil_socket_t fd, short events, void *arg)
{
    const struct apply_event event = {.type = APPLY_TIMER_EXPIRED};

    step(arg, &event);
}

static void
fill_history(const struct apply_run *run,
             struct service_config_envelope *envelope)
{
    size_t copied = 0;

    if (!run->has_current) {
        return;
    }
    g_strlcpy(envelope->history[0], run->current.write_id,
              SERVICE_CONFIG_WRITE_ID_MAX);
    while (copied < run->current.history_count &&
           copied + 1 < SERVICE_CONFIG_HISTORY_MAX) {
        g_strlcpy(envelope->history[copied + 1], run->current.history[copied],
                  SERVICE_CONFIG_WRITE_ID_MAX);
        copied++;
    }
    envelope->history_count = copied + 1;
}

/* The published configuration, or NULL if there is none or it is invalid. */
static struct service_config *
parse_published(const struct apply_run *run)
{
    struct service_config *config = NULL;
    char *report = NULL;
    const char *value;
    gsize len;

    if (run->current_value != NULL) {
        value = g_bytes_get_data(run->current_value, &len);
        service_config_parse_envelope(value, len, run->current_version,
                                      &config, &report);
        g_free(report);
    }
    return config;
}

/* At least the time of the version to replace: a local clock that is behind
 * would shorten the hold time of retired addresses. */
static uint64_t
now_ms(const struct apply_run *run)
{
    uint64_t ms = (uint64_t)g_get_real_time() / USEC_PER_MSEC;

    return run->has_current ? MAX(ms, run->current.written_ms) : ms;
}

/* Lists the addresses to retire, from the version last read to the new one. */
static int
retire(struct apply_run *run)
{
    struct service_config *from = parse_published(run);
    int rc;

    run->change.from = from;
    run->change.to = run->config;
    run->change.now_ms = now_ms(run);
    rc = service_config_retire(&run->change, run->retired, &run->retired_count,
                               &run->report);
    run->change.from = NULL;
    service_config_free(from);
    return rc;
}

static int
start_write(struct apply_run *run)
{
    char *retired =
        service_config_retired_write(run->retired, run->retired_count);
    struct service_config_envelope envelope = {
        .written_ms = run->change.now_ms,
        .retired = run->retired_count > 0 ? retired : NULL,
        .retired_len = strlen(retired),
        .source = run->config->source,
        .source_len = run->config->source_len,
    };
    char *value;
    size_t len;
    int rc;

    g_strlcpy(envelope.write_id, run->core.write_id,
              SERVICE_CONFIG_WRITE_ID_MAX);
    g_strlcpy(envelope.author, run->author, SERVICE_CONFIG_AUTHOR_MAX);
    fill_history(run, &envelope);
    value = service_config_envelope_write(&envelope, &len);
    rc = platform_put(run->platform, run->object, run->action.expect, value,
                      len, &run->call);
    g_free(value);
    g_free(retired);
    return rc;
}

static void
start_wait(struct apply_run *run)
{
    struct timeval wait = {
        .tv_sec = run->action.wait_ms / 1000,
        .tv_usec = run->action.wait_ms % 1000 * (long)USEC_PER_MSEC,
    };

    evtimer_add(run->timer, &wait);
}

static void
end(struct apply_run *run, struct apply_action action)
{
    run->end = action;
    event_base_loopbreak(run->base);
}

static void
forbid(struct apply_run *run)
{
    end(run, (struct apply_action){.type = APPLY_DO_FINISH,
                                   .outcome = APPLY_FORBIDDEN,
                                   .version = run->current_version});
}

static void
perform_action(struct apply_run *run, struct apply_action action)
{
    struct apply_event failed = {.type = APPLY_READ_FAILED};
    int rc = 0;

    run->action = action;
    switch (action.type) {
    case APPLY_DO_READ:
        rc = platform_get(run->platform, run->object, &run->call);
        break;
    case APPLY_DO_WRITE:
        if (retire(run) < 0) {
            forbid(run);
            return;
        }
        if (run->dry_run) {
            end(run, action);
            return;
        }
        failed.type = APPLY_REFUSED;
        rc = start_write(run);
        break;
    case APPLY_DO_WAIT:
        start_wait(run);
        break;
    case APPLY_DO_FINISH:
        end(run, action);
        break;
    }
    if (rc < 0) {
        error_set(&run->error, rc, "call", NULL,
                  "the request could not be started");
        step(run, &failed);
    }
}

int
apply_run_init(struct apply_run *run, const char *url,
               const struct service_config *config, const char *author,
               struct error *err)
{
    *run = (struct apply_run){
        .call.done = on_reply,
        .object = APPLY_OBJECT,
        .config = config,
        .author = author,
        .change = {.name = APPLY_OBJECT,
                   .hold_ms = SERVICE_CONFIG_RETIRE_HOLD_MS},
        .base = event_base_new(),
    };
    if (run->base == NULL) {
        return error_set(err, -ENOMEM, "apply", NULL,
                         "could not create an event base");
    }
    run->timer = evtimer_new(run->base, on_wait_timer, run);
    run->platform = platform_new(run->base, url, err);
    if (run->timer == NULL || run->platform == NULL) {
        apply_run_finish(run);
        return -ENOMEM;
    }
    return 0;
}

void
apply_run_finish(struct apply_run *run)
{
    platform_free(run->platform);
    if (run->timer != NULL) {
        event_free(run->timer);
    }
    event_base_free(run->base);
    g_free(run->report);
    clear_read(run);
}

void
apply_run_publish(struct apply_run *run, const uint64_t *expect)
{
    char id[SERVICE_CONFIG_WRITE_ID_MAX];

    if (make_write_id(id) < 0) {
        error_set(&run->error, -EIO, "write id", NULL,
                  "random number generator failed");
        run->end = (struct apply_action){.type = APPLY_DO_FINISH,
                                         .outcome = APPLY_NOT_WRITTEN};
        return;
    }
    perform_action(run, apply_core_start(&run->core, id, expect));
    event_base_dispatch(run->base);
}
