/**
 * DOC: event_log - non-blocking log of structured event lines
 *
 * A line is "time=... up=... host=... event=... key=value", where "time" is
 * the wall clock and "up" the monotonic clock in seconds. Lines are buffered
 * and written together. Lines above the rate limit, or that don't fit since
 * the reader is slow, are dropped; the next line has their number as
 * "left_out".
 */
#ifndef SWIFTARCH_BASE_EVENT_LOG_H
#define SWIFTARCH_BASE_EVENT_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#define EVENT_LOG_BUFFER_SIZE (1u << 14)
#define EVENT_LOG_HOST_MAX 64

/** enum event_limit - whether the rate limit applies to a line */
enum event_limit {
    EVENT_RATE_LIMITED, /* events of packets, flows and requests */
    EVENT_UNLIMITED,    /* start, stop, loss of a dependency */
};

/**
 * struct event_log - buffer and token bucket of a log
 * @clock: monotonic clock
 * @host: value of the "host" field
 * @fd: output, -1 to discard all lines
 * @max_per_s: rate limit, lines per second
 * @tokens: rate-limited lines that may be written now
 * @refilled_us: time of the last refill of @tokens
 * @dropped: lines dropped since the last one written
 * @dropped_total: lines dropped since the start
 * @used: bytes in @buffer
 * @buffer: lines not yet written to @fd
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

/** event_log_init() - log to @fd, which is set to non-blocking */
void
event_log_init(struct event_log *log, struct clock *clock, const char *host,
               int fd, unsigned max_per_s);

/** event_log_allow() - whether the rate limit admits a line now; counts it as
 * dropped if not */
bool
event_log_allow(struct event_log *log, enum event_limit limit);

/** event_log_write() - append a line; @fmt gives its fields "key=value ..." */
void
event_log_write(struct event_log *log, enum event_limit limit,
                const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/** event_log_flush() - write the buffer, as far as @fd accepts it */
void
event_log_flush(struct event_log *log);

#endif
