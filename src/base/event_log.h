/**
 * DOC: event_log - structured lines on standard output that never block
 *
 * One line for each decision, "time=... up=... host=... event=... key=value".
 * Lines gather in a buffer and go out together; when more come than the
 * bound allows, or nobody reads, they are counted instead and the next line
 * that fits says how many were left out. "time" is the time of day, which
 * may jump; "up" is the steady clock in seconds, which doesn't.
 */
#ifndef SWIFTARCH_BASE_EVENT_LOG_H
#define SWIFTARCH_BASE_EVENT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#define EVENT_LOG_BUFFER_SIZE (1u << 14)
#define EVENT_LOG_HOST_MAX 64

/** enum event_limit - which lines the bound holds back */
enum event_limit {
    EVENT_RATE_LIMITED, /* one of thousands: bounded */
    EVENT_UNLIMITED,    /* start, stop, a dependency lost: always written */
};

/**
 * struct event_log - the log
 * @clock: steady clock
 * @host: name of the process
 * @fd: where lines go, -1 for nowhere
 * @max_per_s: routine lines a second
 * @tokens: routine lines that may be written now
 * @refilled_us: when @tokens was counted last
 * @dropped: lines not written since the last one that was
 * @dropped_total: lines not written at all
 * @used: bytes in @buffer
 * @buffer: lines that wait
 */
struct event_log {
    struct clock *clock;
    char host[EVENT_LOG_HOST_MAX];
    int fd;
    unsigned max_per_s;
    unsigned tokens;
    uint64_t refilled_us;
    uint64_t dropped;
    uint64_t dropped_total;
    size_t used;
    char buffer[EVENT_LOG_BUFFER_SIZE];
};

/** event_log_init() - write to @fd, which is made non-blocking */
void
event_log_init(struct event_log *log, struct clock *clock, const char *host,
               int fd, unsigned max_per_s);

/** event_log_allow() - whether a line of this limit would be written now;
 * counts it as left out when not */
bool
event_log_allow(struct event_log *log, enum event_limit limit);

/** event_log_write() - add a line; @event names it, the rest are its fields */
void
event_log_write(struct event_log *log, enum event_limit limit,
                const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/** event_log_flush() - write what waits, as far as it can be taken */
void
event_log_flush(struct event_log *log);

#endif
