/**
 * DOC: test_values - addresses, hashes, counters, clocks, errors and the log
 */
#include <errno.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "lib/harness.h"

#define SUITE "/base"
#define CASES 2000

TEST(addr_round_trip)
{
    for (int i = 0; i < CASES; i++) {
        struct addr addr = {.ip = g_test_rand_int(),
                            .port = (uint16_t)g_test_rand_int()};
        struct sockaddr_in sin = addr_to_sockaddr(addr);
        struct addr parsed;
        char text[ADDR_TEXT_MAX];

        g_assert_cmpint(addr_parse(addr_format(addr, text), &parsed), ==, 0);
        g_assert_true(addr_equal(addr, parsed));
        g_assert_true(addr_equal(addr, addr_from_sockaddr(&sin)));
    }
}

TEST(addr_rejects_invalid_text)
{
    static const char *const bad[] = {
        "",           "1.2.3.4",        "1.2.3.4:",     "1.2.3.4:65536",
        "1.2.3.4:-1", "1.2.3.4:1x",     "1.2.3:5",      "256.1.1.1:5",
        ":80",        "1.2.3.4: 80",    "localhost:80", "1.2.3.4:000080",
        "::1:80",     "01.2.3.4.5.6:1", "1.2.3.4:80:1",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        struct addr addr = {.ip = 7, .port = 7};

        g_test_message("%s", bad[i]);
        g_assert_cmpint(addr_parse(bad[i], &addr), ==, -EINVAL);
        g_assert_cmpuint(addr.ip, ==, 7);
    }
}

/* Flipping any input bit flips about half of the result's bits. */
TEST(hash_pair_avalanche)
{
    for (int bit = 0; bit < 128; bit++) {
        int flipped = 0;

        for (uint64_t i = 0; i < 256; i++) {
            uint64_t a = i * 3, b = i << 20;
            uint64_t before = hash_pair(a, b);

            if (bit < 64)
                a ^= UINT64_C(1) << bit;
            else
                b ^= UINT64_C(1) << (bit - 64);
            flipped += __builtin_popcountll(before ^ hash_pair(a, b));
        }
        g_assert_cmpint(flipped, >, 256 * 29);
        g_assert_cmpint(flipped, <, 256 * 35);
    }
}

/* The hashes must be the same in all builds. */
TEST(hash_known_values)
{
    g_assert_cmphex(hash_bytes("", 0, 0), ==, 0xef46db3751d8e999);
    g_assert_cmphex(hash_pair(1, 2), !=, hash_pair(2, 1));
    g_assert_cmphex(hash_name("a"), ==, hash_name("a"));
    g_assert_cmphex(hash_name("a"), !=, hash_name("b"));
    g_assert_cmphex(hash_service("lots"), !=, hash_service("albums"));
}

TEST(counters)
{
    struct counter_table table;
    int dropped, open, other;
    g_autofree char *text = NULL;
    size_t len;

    g_assert_cmpint(counter_table_init(&table), ==, 0);
    dropped = counter_register(&table, "dropped_total", "reason=\"a\"");
    open = counter_register_gauge(&table, "open", NULL);
    other = counter_register(&table, "dropped_total", "reason=\"b\"");
    for (unsigned worker = 0; worker < COUNTER_WORKERS_MAX; worker++)
        counter_add(&table, worker, dropped, worker);
    counter_set(&table, open, 9);
    counter_set(&table, open, 4);
    counter_add(&table, 3, other, 2);
    g_assert_cmpuint(counter_read(&table, dropped), ==, 120);
    text = counter_render(&table, &len);
    g_assert_cmpstr(text, ==,
                    "# TYPE swiftarch_dropped_total counter\n"
                    "swiftarch_dropped_total{reason=\"a\"} 120\n"
                    "swiftarch_dropped_total{reason=\"b\"} 2\n"
                    "# TYPE swiftarch_open gauge\n"
                    "swiftarch_open 4\n");
    g_assert_cmpuint(len, ==, strlen(text));
    while (table.count < COUNTER_MAX)
        g_assert_cmpint(counter_register(&table, "x", NULL), >=, 0);
    g_assert_cmpint(counter_register(&table, "x", NULL), ==, -ENOSPC);
    counter_table_finish(&table);
}

static gpointer
add_many(gpointer data)
{
    struct counter_table *table = ((void **)data)[0];
    unsigned worker = GPOINTER_TO_UINT(((void **)data)[1]);

    for (int i = 0; i < 100000; i++)
        counter_add(table, worker, 0, 1);
    return NULL;
}

TEST(counters_of_threads)
{
    struct counter_table table;
    void *data[4][2];
    GThread *threads[4];

    g_assert_cmpint(counter_table_init(&table), ==, 0);
    g_assert_cmpint(counter_register(&table, "n_total", NULL), ==, 0);
    for (unsigned i = 0; i < 4; i++) {
        data[i][0] = &table;
        data[i][1] = GUINT_TO_POINTER(i);
        threads[i] = g_thread_new("adder", add_many, data[i]);
    }
    for (unsigned i = 0; i < 4; i++)
        g_thread_join(threads[i]);
    g_assert_cmpuint(counter_read(&table, 0), ==, 400000);
    counter_table_finish(&table);
}

TEST(clocks)
{
    struct clock_manual manual;
    struct clock runtime;
    uint64_t first;

    clock_manual_init(&manual, 5);
    clock_manual_advance(&manual, 7);
    g_assert_cmpuint(clock_now_us(&manual.base), ==, 12);
    g_assert_cmpuint(clock_now_us(&manual.base), ==, 12);
    clock_runtime_init(&runtime);
    first = clock_now_us(&runtime);
    g_assert_cmpuint(clock_now_us(&runtime), >=, first);
}

TEST(error_format)
{
    char long_text[400];
    char buf[128];
    struct error err;

    g_assert_cmpint(error_set(&err, -EIO, "read", "1.2.3.4:5", "byte %d", 7),
                    ==, -EIO);
    g_assert_cmpstr(error_format(&err, buf, sizeof(buf)), ==,
                    "read 1.2.3.4:5: byte 7 (Input/output error)");
    error_set(&err, -EIO, "read", NULL, "x");
    g_assert_cmpstr(error_format(&err, buf, sizeof(buf)), ==,
                    "read: x (Input/output error)");
    memset(long_text, 'x', sizeof(long_text));
    long_text[sizeof(long_text) - 1] = '\0';
    error_set(&err, -EIO, long_text, long_text, "%s", long_text);
    g_assert_cmpuint(strlen(error_format(&err, buf, sizeof(buf))), ==,
                     sizeof(buf) - 1);
    g_assert_cmpint(error_set(NULL, -EIO, "read", NULL, "x"), ==, -EIO);
}

/* Redirects standard error to a file to read the lines of two calls. */
TEST(log_level_and_format)
{
    g_autofree char *path = NULL;
    int fd = g_file_open_tmp("log-XXXXXX", &path, NULL);
    int saved_fd = dup(STDERR_FILENO);
    g_autofree char *text = NULL;

    g_assert_cmpint(log_init("a1", "loud"), ==, -EINVAL);
    g_assert_cmpint(log_init("a1", "warning"), ==, 0);
    dup2(fd, STDERR_FILENO);
    g_log_structured("swiftarch-agent", G_LOG_LEVEL_MESSAGE, "MESSAGE",
                     "Too low.");
    g_log_structured("swiftarch-agent", G_LOG_LEVEL_WARNING, "MESSAGE",
                     "The upstream is lost.");
    dup2(saved_fd, STDERR_FILENO);
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    g_test_message("%s", text);
    g_assert_true(g_str_has_prefix(text, "20"));
    g_assert_true(
        g_str_has_suffix(text, "Z warning a1 agent: The upstream is lost.\n"));
    g_assert_null(strstr(text, "Too low"));
    close(saved_fd);
    close(fd);
    g_unlink(path);
}
