#include <errno.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "balancer/span.h"
#include "route_fixture.h"
#include "lib/harness.h"

#define SUITE "/span"
#define LOOPBACK 0x7f000001u

/* Only a complete header line is accepted, in any case; a cut payload never
 * matches. */
TEST(span_find_parent)
{
    const char *id = "00-0af7651916cd43dd8448eb211c80319c-"
                     "b7ad6b7169203331-01";
    const struct {
        const char *before;
        const char *after;
        int result;
    } cases[] = {
        {"GET / HTTP/1.1\r\nTraceparent: ", "\r\n", 0},
        {"GET / HTTP/1.1\r\ntraceparent:", "", 0},
        {"GET / HTTP/1.1\r\nX-traceparent: ", "\r\n", -ENOENT},
        {"traceparent: ", "\r\n", -ENOENT},
        {"POST / HTTP/1.1\r\n\r\n{\"a\": ", "}", -ENOENT},
    };
    struct trace_context context;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *all =
            g_strconcat(cases[i].before, id, cases[i].after, NULL);
        size_t len = strlen(all);
        uint8_t *exact = g_memdup2(all, len);
        g_assert_cmpint(span_find_parent(exact, len, &context), ==,
                        cases[i].result);
        g_free(exact);
        for (size_t cut = 0; cut < len - strlen(cases[i].after); cut++) {
            exact = g_memdup2(all, cut);
            g_assert_cmpint(span_find_parent(exact, cut, &context), ==,
                            -ENOENT);
            g_free(exact);
        }
    }
}

/* One span is written, for the sampled request, as a child of the caller's. */
TEST(span_write)
{
    const char *sampled = "GET / HTTP/1.1\r\ntraceparent: "
                          "00-0af7651916cd43dd8448eb211c80319c-"
                          "b7ad6b7169203331-01\r\n\r\n";
    char *file =
        g_build_filename(g_get_tmp_dir(), "balancer-span-XXXXXX", NULL);
    struct route_decision decision = {
        .gue = {.count = 2, .hops = {{1, {LOOPBACK, 7}}}}};
    struct error err;
    struct trace trace;
    uint8_t buf[PACKET_MAX];
    g_autofree char *lines = NULL;

    close(g_mkstemp(file));
    g_assert_cmpint(trace_init(&trace, "b", file, 1, &err), ==, 0);
    trace.epoch_us = 0;
    for (int sample = 0; sample <= 1; sample++) {
        g_autofree char *payload = g_strdup(sampled);
        strstr(payload, "-01\r")[2] = sample ? '1' : '0';
        size_t len = route_fixture_tcp(buf, 1, 1, PACKET_TCP_ACK, payload);
        packet_parse(buf, len, 0, &decision.packet);
        span_write(&trace, buf, &decision, 42);
    }
    trace_finish(&trace);
    g_assert_true(g_file_get_contents(file, &lines, NULL, NULL));
    g_assert_true(g_str_has_prefix(
        lines, "{\"trace_id\":\"0af7651916cd43dd8448eb211c80319c\","));
    g_assert_nonnull(strstr(lines, "\"parent_span_id\":\"b7ad6b7169203331\""));
    g_assert_nonnull(strstr(lines, "\"hop\":\"balancer\",\"start_us\":42,"));
    g_assert_nonnull(strstr(lines, "to 127.0.0.1:7, first of 2"));
    g_assert_null(strchr(strchr(lines, '\n') + 1, '\n'));
    g_remove(file);
    g_free(file);
}
