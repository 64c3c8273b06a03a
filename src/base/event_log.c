#include "base/event_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#define LINE_MAX_LEN 512

/* Bytes after which the buffer is flushed, to leave space for a burst. */
#define FLUSH_THRESHOLD (EVENT_LOG_BUFFER_SIZE / 2)

static void
refill(struct event_log *log, uint64_t now_us)
{
    uint64_t due = (now_us - log->refilled_us) * log->max_per_s / USEC_PER_SEC;

    if (due == 0) {
        return;
    }
    log->tokens = (unsigned)MIN(log->tokens + due, log->max_per_s);
    log->refilled_us = now_us;
}

static int
format_prefix(struct event_log *log, char *line, uint64_t now_us,
              const char *event)
{
    struct timespec wall = {0};
    struct tm tm;

    clock_gettime(CLOCK_REALTIME, &wall);
    gmtime_r(&wall.tv_sec, &tm);
    return g_snprintf(line, LINE_MAX_LEN,
                      "time=%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ up=%" PRIu64
                      ".%03" PRIu64 " host=%s event=%s",
                      tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour,
                      tm.tm_min, tm.tm_sec, wall.tv_nsec / 1000000,
                      now_us / USEC_PER_SEC,
                      now_us % USEC_PER_SEC / USEC_PER_MSEC, log->host, event);
}

static void
append(struct event_log *log, const char *line, size_t len)
{
    if (log->used + len > FLUSH_THRESHOLD) {
        event_log_flush(log);
    }
    if (log->used + len > sizeof(log->buffer)) {
        log->dropped++;
        log->dropped_total++;
        return;
    }
    memcpy(log->buffer + log->used, line, len);
    log->used += len;
}

void
event_log_init(struct event_log *log, struct clock *clock, const char *host,
               int fd, unsigned max_per_s)
{
    int flags = fd >= 0 ? fcntl(fd, F_GETFL) : -1;

    memset(log, 0, sizeof(*log));
    log->clock = clock;
    log->fd = fd;
    log->max_per_s = max_per_s;
    log->tokens = max_per_s;
    log->refilled_us = clock_now_us(clock);
    g_strlcpy(log->host, host, sizeof(log->host));
    if (flags >= 0) {
        /* Regular files, which reject the flag, don't block. */
        (void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
}

bool
event_log_allow(struct event_log *log, enum event_limit limit)
{
    if (limit == EVENT_UNLIMITED) {
        return true;
    }
    if (log->tokens == 0) {
        refill(log, clock_now_us(log->clock));
    }
    if (log->tokens > 0) {
        return true;
    }
    log->dropped++;
    log->dropped_total++;
    return false;
}

void
event_log_write(struct event_log *log, enum event_limit limit,
                const char *event, const char *fmt, ...)
{
    uint64_t now_us = clock_now_us(log->clock);
    char line[LINE_MAX_LEN];
    size_t len;
    va_list args;

    if (limit == EVENT_RATE_LIMITED && log->tokens > 0) {
        log->tokens--;
    }
    len = (size_t)format_prefix(log, line, now_us, event);
    if (log->dropped > 0 && len < sizeof(line)) {
        len += (size_t)g_snprintf(line + len, sizeof(line) - len,
                                  " left_out=%" PRIu64, log->dropped);
        log->dropped = 0;
    }
    if (fmt[0] != '\0' && len + 2 < sizeof(line)) {
        line[len++] = ' ';
        va_start(args, fmt);
        len += (size_t)g_vsnprintf(line + len, sizeof(line) - len, fmt, args);
        va_end(args);
    }
    len = MIN(len, sizeof(line) - 2);
    line[len++] = '\n';
    append(log, line, len);
}

void
event_log_flush(struct event_log *log)
{
    ssize_t written;

    if (log->used == 0 || log->fd < 0) {
        log->used = 0;
        return;
    }
    written = write(log->fd, log->buffer, log->used);
    if (written <= 0) {
        /* The pipe is full: lines stay buffered, later ones are dropped. */
        return;
    }
    log->used -= (size_t)written;
    memmove(log->buffer, log->buffer + written, log->used);
}
