#include "standin/upstream/record.h"

#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static int fd = -1;
static const struct config *config;

int
record_open(const struct config *settings)
{
    config = settings;
    if (config->record[0] == '\0') {
        return 0;
    }
    fd = open(config->record, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    return fd < 0 ? -errno : 0;
}

static void
add_text(json_object *line, const char *key, const char *value)
{
    json_object_object_add(line, key, json_object_new_string(value));
}

static void
add_time(json_object *line, const char *key, uint64_t us)
{
    json_object_object_add(
        line, key, us == 0 ? NULL : json_object_new_int64((int64_t)us));
}

void
record_write(const struct record_run *run, const char *event, uint64_t end_us)
{
    if (fd < 0) {
        return;
    }
    json_object *line = json_object_new_object();
    add_text(line, "type", "run");
    add_text(line, "event", event);
    add_text(line, "id", run->id);
    add_text(line, "key", run->key);
    add_text(line, "method", run->method);
    add_text(line, "service", config->service);
    add_text(line, "host", run->host);
    add_text(line, "endpoint", config->name);
    add_time(line, "start_us", run->start_us);
    add_time(line, "end_us", end_us);
    const char *text =
        json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN);
    char buf[2048];
    int len = snprintf(buf, sizeof(buf), "%s\n", text);
    if (len > 0 && (size_t)len < sizeof(buf)) {
        /* One write a line, so that a killed process leaves whole lines. */
        (void)!write(fd, buf, (size_t)len);
    }
    json_object_put(line);
}

void
record_close(void)
{
    if (fd >= 0) {
        close(fd);
        fd = -1;
    }
}
