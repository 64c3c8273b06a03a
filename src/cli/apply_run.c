#include "cli/apply_run.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>

#include "base/clock.h"

#define WRITE_ID_BYTES 16

static void
act(struct apply_run *run, struct apply_action action);

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
drop_read(struct apply_run *run)
{
    if (run->seen_value != NULL) {
        g_bytes_unref(run->seen_value);
    }
    run->seen_value = NULL;
    run->has_seen = false;
}

static void
keep_read(struct apply_run *run, const struct platform_reply *reply)
{
    const char *value;
    gsize len;

    drop_read(run);
    run->seen_version = reply->version;
    if (reply->status != 0) {
        return;
    }
    run->seen_value = g_bytes_new(reply->value, reply->len);
    value = g_bytes_get_data(run->seen_value, &len);
    run->has_seen = text_envelope_read(value, len, &run->seen) == 0;
}

static struct apply_event
event_of_read(struct apply_run *run, const struct platform_reply *reply)
{
    struct apply_event event = {.type = APPLY_READ_FAILED};

    if (reply->status != 0 && reply->status != -ENOENT) {
        return event;
    }
    keep_read(run, reply);
    event.type = APPLY_READ;
    event.version = reply->version;
    event.envelope = run->has_seen ? &run->seen : NULL;
    event.same =
        run->has_seen && run->seen.text_len == run->text->source_len &&
        memcmp(run->seen.text, run->text->source, run->text->source_len) == 0;
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
    act(run, apply_core_step(&run->core, event));
}

static void
on_reply(struct platform_call *call, const struct platform_reply *reply)
{
    struct apply_run *run = (struct apply_run *)call;
    struct apply_event event;

    if (reply->status != 0) {
        run->error = reply->error;
    }
    event = run->doing.type == APPLY_DO_READ ? event_of_read(run, reply)
                                             : event_of_write(reply);
    step(run, &event);
}

static void
on_waited(evutil_socket_t fd, short events, void *arg)
{
    const struct apply_event event = {.type = APPLY_WAITED};

    step(arg, &event);
}

static void
fill_history(const struct apply_run *run, struct text_envelope *envelope)
{
    size_t kept = 0;

    if (!run->has_seen) {
        return;
    }
    g_strlcpy(envelope->history[0], run->seen.write_id, TEXT_WRITE_ID_MAX);
    while (kept < run->seen.history_count && kept + 1 < TEXT_HISTORY_MAX) {
        g_strlcpy(envelope->history[kept + 1], run->seen.history[kept],
                  TEXT_WRITE_ID_MAX);
        kept++;
    }
    envelope->history_count = kept + 1;
}

/* What is published, or NULL when there is nothing that can be read. */
static struct text *
published_text(const struct apply_run *run)
{
    struct text *text = NULL;
    char *report = NULL;
    const char *value;
    gsize len;

    if (run->seen_value != NULL) {
        value = g_bytes_get_data(run->seen_value, &len);
        text_parse_envelope(value, len, run->seen_version, &text, &report);
        g_free(report);
    }
    return text;
}

/* Not before the version to replace, however late our clock is: addresses
 * would be held for too short a time. */
static uint64_t
now_ms(const struct apply_run *run)
{
    uint64_t ms = (uint64_t)g_get_real_time() / USEC_PER_MSEC;

    return run->has_seen ? MAX(ms, run->seen.written_ms) : ms;
}

/* Works out what the text retires; what was read is what it replaces. */
static int
retire(struct apply_run *run)
{
    struct text *from = published_text(run);
    int rc;

    run->change.from = from;
    run->change.to = run->text;
    run->change.now_ms = now_ms(run);
    rc = text_retire(&run->change, run->retired, &run->retired_count,
                     &run->report);
    run->change.from = NULL;
    text_free(from);
    return rc;
}

static int
start_write(struct apply_run *run)
{
    char *retired = text_retired_write(run->retired, run->retired_count);
    struct text_envelope envelope = {
        .written_ms = run->change.now_ms,
        .retired = run->retired_count > 0 ? retired : NULL,
        .retired_len = strlen(retired),
        .text = run->text->source,
        .text_len = run->text->source_len,
    };
    char *value;
    size_t len;
    int rc;

    g_strlcpy(envelope.write_id, run->core.write_id, TEXT_WRITE_ID_MAX);
    g_strlcpy(envelope.author, run->author, TEXT_AUTHOR_MAX);
    fill_history(run, &envelope);
    value = text_envelope_write(&envelope, &len);
    rc = platform_put(run->platform, run->object, run->doing.expect, value,
                      len, &run->call);
    g_free(value);
    g_free(retired);
    return rc;
}

static void
start_wait(struct apply_run *run)
{
    struct timeval wait = {
        .tv_sec = run->doing.wait_ms / 1000,
        .tv_usec = run->doing.wait_ms % 1000 * (long)USEC_PER_MSEC,
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
                                   .version = run->seen_version});
}

static void
act(struct apply_run *run, struct apply_action action)
{
    struct apply_event failed = {.type = APPLY_READ_FAILED};
    int rc = 0;

    run->doing = action;
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
        error_set(&run->error, rc, "call", NULL, "the call did not start");
        step(run, &failed);
    }
}

int
apply_run_init(struct apply_run *run, const char *url, const struct text *text,
               const char *author, struct error *err)
{
    *run = (struct apply_run){
        .call.done = on_reply,
        .object = APPLY_OBJECT,
        .text = text,
        .author = author,
        .change = {.name = APPLY_OBJECT, .hold_ms = TEXT_RETIRE_HOLD_MS},
        .base = event_base_new(),
    };
    if (run->base == NULL) {
        return error_set(err, -ENOMEM, "apply", NULL, "no event base");
    }
    run->timer = evtimer_new(run->base, on_waited, run);
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
    drop_read(run);
}

void
apply_run_publish(struct apply_run *run, const uint64_t *expect)
{
    char id[TEXT_WRITE_ID_MAX];

    if (make_write_id(id) < 0) {
        error_set(&run->error, -EIO, "write id", NULL, "no random numbers");
        run->end = (struct apply_action){.type = APPLY_DO_FINISH,
                                         .outcome = APPLY_NOT_WRITTEN};
        return;
    }
    act(run, apply_core_start(&run->core, id, expect));
    event_base_dispatch(run->base);
}
