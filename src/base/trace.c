#define G_LOG_DOMAIN "swiftarch-base"

#include "base/trace.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/hash.h"

#define TRACE_FILE_MODE 0644
#define HEX_TEXT_MAX 33
#define VERSION_FORBIDDEN 0xff

static uint64_t
clock_us(clockid_t id)
{
    struct timespec now;

    clock_gettime(id, &now);
    return (uint64_t)now.tv_sec * USEC_PER_SEC + (uint64_t)now.tv_nsec / 1000;
}

static uint64_t
next_id(struct trace *trace)
{
    uint64_t n = __atomic_add_fetch(&trace->next, 1, __ATOMIC_RELAXED);
    uint64_t id = hash_pair(trace->seed, n);

    return id != 0 ? id : 1;
}

static void
to_hex(const uint8_t *bytes, size_t len, char *text)
{
    static const char digits[] = "0123456789abcdef";

    for (size_t i = 0; i < len; i++) {
        text[2 * i] = digits[bytes[i] >> 4];
        text[2 * i + 1] = digits[bytes[i] & 0xf];
    }
    text[2 * len] = '\0';
}

/* traceparent allows only lower-case digits. */
static int
hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return -1;
}

static bool
from_hex(const char *text, uint8_t *bytes, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        int high = hex_digit(text[2 * i]);
        int low = high < 0 ? -1 : hex_digit(text[2 * i + 1]);

        if (low < 0)
            return false;
        bytes[i] = (uint8_t)(high << 4 | low);
    }
    return true;
}

static bool
all_zero(const uint8_t *bytes, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (bytes[i] != 0)
            return false;
    }
    return true;
}

static void
add_hex(json_object *line, const char *key, const uint8_t *bytes, size_t len)
{
    char text[HEX_TEXT_MAX];

    to_hex(bytes, len, text);
    json_object_object_add(line, key, json_object_new_string(text));
}

static void
add_time(json_object *line, const char *key, uint64_t time_us)
{
    json_object_object_add(line, key, json_object_new_uint64(time_us));
}

static void
write_line(const struct trace *trace, json_object *line)
{
    const char *json =
        json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN);
    char *text = g_strconcat(json, "\n", NULL);
    size_t len = strlen(text);

    if (write(trace->fd, text, len) != (ssize_t)len)
        g_warning("Can't write a span to the trace file: %s.",
                  g_strerror(errno));
    g_free(text);
}

int
trace_init(struct trace *trace, const char *process, const char *file,
           uint64_t sample, struct error *err)
{
    memset(trace, 0, sizeof(*trace));
    g_strlcpy(trace->process, process, sizeof(trace->process));
    trace->fd = -1;
    trace->sample = sample > 0 ? sample : 1;
    trace->epoch_us = clock_us(CLOCK_REALTIME) - clock_us(CLOCK_MONOTONIC);
    if (getrandom(&trace->seed, sizeof(trace->seed), 0) != sizeof(trace->seed))
        return error_set(err, -EIO, "open traces", file,
                         "can't get random bytes for span ids");
    if (file == NULL || file[0] == '\0')
        return 0;
    trace->fd =
        open(file, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, TRACE_FILE_MODE);
    if (trace->fd < 0)
        return error_set(err, -errno, "open traces", file,
                         "can't open the file for appending");
    return 0;
}

void
trace_finish(struct trace *trace)
{
    if (trace->fd >= 0)
        close(trace->fd);
    trace->fd = -1;
}

bool
trace_sampled(const struct trace *trace, uint64_t hash)
{
    return trace->fd >= 0 && hash % trace->sample == 0;
}

void
trace_root(struct trace *trace, struct trace_context *ctx)
{
    uint64_t high = next_id(trace);
    uint64_t low = next_id(trace);
    uint64_t span = next_id(trace);

    memcpy(ctx->trace_id, &high, sizeof(high));
    memcpy(ctx->trace_id + sizeof(high), &low, sizeof(low));
    memcpy(ctx->span_id, &span, sizeof(span));
    ctx->flags = TRACE_FLAG_SAMPLED;
}

void
trace_child(struct trace *trace, const struct trace_context *parent,
            struct trace_context *child)
{
    uint64_t span = next_id(trace);

    *child = *parent;
    memcpy(child->span_id, &span, sizeof(span));
}

int
trace_parse(const char *text, struct trace_context *ctx)
{
    struct trace_context parsed;
    uint8_t version;

    if (strnlen(text, TRACE_PARENT_LEN) < TRACE_PARENT_LEN)
        return -EINVAL;
    if (text[2] != '-' || text[35] != '-' || text[52] != '-')
        return -EINVAL;
    if (!from_hex(text, &version, 1) || version == VERSION_FORBIDDEN)
        return -EINVAL;
    /* Only versions above 0 may have fields after the flags. */
    if (text[TRACE_PARENT_LEN] != '\0' &&
        (version == 0 || text[TRACE_PARENT_LEN] != '-'))
        return -EINVAL;
    if (!from_hex(text + 3, parsed.trace_id, sizeof(parsed.trace_id)) ||
        !from_hex(text + 36, parsed.span_id, sizeof(parsed.span_id)) ||
        !from_hex(text + 53, &parsed.flags, 1))
        return -EINVAL;
    if (all_zero(parsed.trace_id, sizeof(parsed.trace_id)) ||
        all_zero(parsed.span_id, sizeof(parsed.span_id)))
        return -EINVAL;
    *ctx = parsed;
    return 0;
}

const char *
trace_format(const struct trace_context *ctx, char *buf)
{
    char trace_id[HEX_TEXT_MAX];
    char span_id[HEX_TEXT_MAX];

    to_hex(ctx->trace_id, sizeof(ctx->trace_id), trace_id);
    to_hex(ctx->span_id, sizeof(ctx->span_id), span_id);
    g_snprintf(buf, TRACE_PARENT_MAX, "00-%s-%s-%02x", trace_id, span_id,
               ctx->flags);
    return buf;
}

void
trace_span(struct trace *trace, const struct trace_context *ctx,
           const uint8_t *parent_span, const char *hop, uint64_t start_us,
           uint64_t end_us, const char *detail)
{
    json_object *line;

    if (trace->fd < 0 || (ctx->flags & TRACE_FLAG_SAMPLED) == 0)
        return;
    line = json_object_new_object();
    add_hex(line, "trace_id", ctx->trace_id, sizeof(ctx->trace_id));
    add_hex(line, "span_id", ctx->span_id, sizeof(ctx->span_id));
    if (parent_span != NULL)
        add_hex(line, "parent_span_id", parent_span, sizeof(ctx->span_id));
    json_object_object_add(line, "process",
                           json_object_new_string(trace->process));
    json_object_object_add(line, "hop", json_object_new_string(hop));
    add_time(line, "start_us", start_us + trace->epoch_us);
    add_time(line, "end_us", end_us + trace->epoch_us);
    if (detail != NULL)
        json_object_object_add(line, "detail", json_object_new_string(detail));
    write_line(trace, line);
    json_object_put(line);
}
