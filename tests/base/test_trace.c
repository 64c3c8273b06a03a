/**
 * DOC: test_trace - the traceparent header and the lines of spans
 */
#include <errno.h>
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <string.h>

#include "base/trace.h"
#include "lib/harness.h"

#define SUITE "/base/trace"
#define PARENT "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

TEST(round_trip)
{
    struct trace trace;
    char text[TRACE_PARENT_MAX];
    struct trace_context ctx, read;

    g_assert_cmpint(trace_init(&trace, "a1", "", 1, NULL), ==, 0);
    for (int i = 0; i < 500; i++) {
        trace_root(&trace, &ctx);
        ctx.flags = (uint8_t)g_test_rand_int();
        g_assert_cmpint(trace_parse(trace_format(&ctx, text), &read), ==, 0);
        g_assert_cmpmem(&read, sizeof(read), &ctx, sizeof(ctx));
    }
    g_assert_cmpint(trace_parse(PARENT, &ctx), ==, 0);
    g_assert_cmpstr(trace_format(&ctx, text), ==, PARENT);
    trace_child(&trace, &ctx, &read);
    g_assert_cmpmem(read.trace_id, 16, ctx.trace_id, 16);
    g_assert_cmpint(memcmp(read.span_id, ctx.span_id, 8), !=, 0);
    g_assert_false(trace_sampled(&trace, 0));
    trace_finish(&trace);
}

TEST(rejects_invalid_traceparent)
{
    static const char *const bad[] = {
        "",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01x",
    };
    struct trace_context ctx;

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_test_message("%s", bad[i]);
        g_assert_cmpint(trace_parse(bad[i], &ctx), ==, -EINVAL);
    }
    g_assert_cmpint(
        trace_parse("01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-"
                    "later",
                    &ctx),
        ==, 0);
}

TEST(span_lines)
{
    g_autofree char *folder = g_dir_make_tmp("trace-XXXXXX", NULL);
    g_autofree char *file = g_build_filename(folder, "spans.jsonl", NULL);
    struct trace_context ctx, child;
    struct trace trace;
    g_autofree char *text = NULL;

    g_assert_cmpint(trace_init(&trace, "a1", file, 2, NULL), ==, 0);
    trace.epoch_us = 1000;
    g_assert_true(trace_sampled(&trace, 4));
    g_assert_false(trace_sampled(&trace, 5));
    g_assert_cmpint(trace_parse(PARENT, &ctx), ==, 0);
    trace_span(&trace, &ctx, NULL, "admit", 1, 2, NULL);
    child = ctx;
    child.span_id[0] = 0xab;
    trace_span(&trace, &child, ctx.span_id, "dispatch", 3, 4, "say \"hi\"");
    child.flags = 0;
    trace_span(&trace, &child, NULL, "unsampled", 5, 6, NULL);
    trace_finish(&trace);
    g_assert_true(g_file_get_contents(file, &text, NULL, NULL));
    g_assert_cmpstr(
        text, ==,
        "{\"trace_id\":\"4bf92f3577b34da6a3ce929d0e0e4736\","
        "\"span_id\":\"00f067aa0ba902b7\",\"process\":\"a1\","
        "\"hop\":\"admit\",\"start_us\":1001,\"end_us\":1002}\n"
        "{\"trace_id\":\"4bf92f3577b34da6a3ce929d0e0e4736\","
        "\"span_id\":\"abf067aa0ba902b7\","
        "\"parent_span_id\":\"00f067aa0ba902b7\",\"process\":\"a1\","
        "\"hop\":\"dispatch\",\"start_us\":1003,\"end_us\":1004,"
        "\"detail\":\"say \\\"hi\\\"\"}\n");
    g_unlink(file);
    g_rmdir(folder);
}

TEST(reports_unwritable_file)
{
    struct trace trace;
    struct error err;

    g_assert_cmpint(trace_init(&trace, "a1", "/nowhere/spans", 1, &err), ==,
                    -ENOENT);
    g_assert_cmpstr(err.peer, ==, "/nowhere/spans");
}
