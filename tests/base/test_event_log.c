/**
 * DOC: test_event_log - format, rate limit and dropped lines of the event log
 */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "base/event_log.h"
#include "lib/harness.h"

#define SUITE "/base/event_log"

/** struct event_log_fixture - a log on a pipe and a manual clock */
struct event_log_fixture {
    struct clock_manual clock;
    struct event_log log;
    int fds[2];
    char text[1 << 16];
};

static void
event_log_fixture_init(struct event_log_fixture *fixture, unsigned max_per_s)
{
    g_assert_cmpint(pipe(fixture->fds), ==, 0);
    g_assert_cmpint(fcntl(fixture->fds[0], F_SETFL, O_NONBLOCK), ==, 0);
    clock_manual_init(&fixture->clock, 12345678);
    event_log_init(&fixture->log, &fixture->clock.base, "h-1", fixture->fds[1],
                   max_per_s);
}

static void
event_log_fixture_finish(struct event_log_fixture *fixture)
{
    close(fixture->fds[0]);
    close(fixture->fds[1]);
}

/* Flushes the log and reads all lines from the pipe. */
static const char *
read_all(struct event_log_fixture *fixture)
{
    ssize_t len;

    event_log_flush(&fixture->log);
    len = read(fixture->fds[0], fixture->text, sizeof(fixture->text) - 1);
    fixture->text[MAX(len, 0)] = '\0';
    return fixture->text;
}

static unsigned
count_lines(const char *text)
{
    unsigned lines = 0;

    for (; *text != '\0'; text++) {
        lines += *text == '\n';
    }
    return lines;
}

TEST_F(event_log_fixture, line_has_time_host_and_event, 10)
{
    event_log_write(&event_log_fixture->log, EVENT_UNLIMITED, "started",
                    "role=%s", "agent");
    g_assert_nonnull(strstr(read_all(event_log_fixture),
                            " up=12.345 host=h-1 event=started role=agent"));
}

TEST_F(event_log_fixture, dropped_lines_are_counted, 10)
{
    for (unsigned i = 0; i < 100; i++) {
        if (event_log_allow(&event_log_fixture->log, EVENT_RATE_LIMITED)) {
            event_log_write(&event_log_fixture->log, EVENT_RATE_LIMITED,
                            "established", "n=%u", i);
        }
    }
    g_assert_cmpuint(count_lines(read_all(event_log_fixture)), ==, 10);
    g_assert_true(event_log_allow(&event_log_fixture->log, EVENT_UNLIMITED));
    clock_manual_advance(&event_log_fixture->clock, USEC_PER_SEC);
    g_assert_true(
        event_log_allow(&event_log_fixture->log, EVENT_RATE_LIMITED));
    event_log_write(&event_log_fixture->log, EVENT_RATE_LIMITED, "established",
                    "n=100");
    g_assert_nonnull(strstr(read_all(event_log_fixture), "left_out=90 n=100"));
    g_assert_cmpuint(event_log_fixture->log.dropped_total, ==, 90);
}

TEST_F(event_log_fixture, slow_reader_drops_lines, 1000000)
{
    uint64_t lines = 0;

    for (unsigned i = 0; i < 5000; i++) {
        event_log_write(&event_log_fixture->log, EVENT_UNLIMITED,
                        "established", "n=%u", i);
    }
    g_assert_cmpuint(event_log_fixture->log.dropped_total, >, 0);
    for (unsigned i = 0; i < 100; i++) {
        lines += count_lines(read_all(event_log_fixture));
    }
    g_assert_cmpuint(lines + event_log_fixture->log.dropped_total, ==, 5000);
}

TEST_F(event_log_fixture, long_line_is_truncated, 10)
{
    char *text = g_strnfill(2000, 'x');

    event_log_write(&event_log_fixture->log, EVENT_UNLIMITED, "long", "%s",
                    text);
    g_assert_cmpuint(count_lines(read_all(event_log_fixture)), ==, 1);
    g_assert_cmpuint(strlen(event_log_fixture->text), <=, 512);
    g_free(text);
}
