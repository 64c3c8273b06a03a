#include <string.h>

#include "agent/reader.h"
#include "lib/harness.h"

#define SUITE "/agent/reader"
#define BODY_MAX 64
#define REQUESTS_MAX 16

/** struct sink - a reader and an owner that records its events */
struct sink {
    struct reader_owner owner;
    struct reader reader;
    struct reader_request requests[REQUESTS_MAX];
    size_t count;
    size_t continues;
    size_t pause_after;
};

static void
on_request(struct reader_owner *owner, struct reader_request *request)
{
    struct sink *sink = (struct sink *)owner;

    g_assert_cmpuint(sink->count, <, REQUESTS_MAX);
    sink->requests[sink->count++] = *request;
    if (sink->count == sink->pause_after) {
        reader_pause(&sink->reader);
    }
}

static void
on_continue(struct reader_owner *owner)
{
    ((struct sink *)owner)->continues++;
}

static const struct reader_ops sink_ops = {
    .on_request = on_request,
    .on_continue = on_continue,
};

static void
sink_init(struct sink *sink)
{
    memset(sink, 0, sizeof(*sink));
    sink->owner.ops = &sink_ops;
    reader_init(&sink->reader, &sink->owner, BODY_MAX);
}

static void
sink_finish(struct sink *sink)
{
    for (size_t i = 0; i < sink->count; i++) {
        g_byte_array_unref(sink->requests[i].http);
    }
    reader_finish(&sink->reader);
}

static void
assert_http(const struct reader_request *request, const char *expected)
{
    g_assert_cmpmem(request->http->data, request->http->len, expected,
                    strlen(expected));
}

TEST_F(sink, strips_hop_by_hop)
{
    const char *text = "POST /a HTTP/1.1\r\nHost: h\r\n"
                       "Connection: close, X-Hop, Host\r\nX-Hop: 1\r\n"
                       "TE: trailers\r\nUpgrade: x\r\nX-End: 2\r\n"
                       "Request-Timeout-Ms: 250\r\nPriority: i, u=1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n";

    g_assert_cmpuint(reader_feed(&sink->reader, text, strlen(text)), ==,
                     strlen(text));
    g_assert_cmpuint(sink->count, ==, 1);
    assert_http(&sink->requests[0],
                "POST /a HTTP/1.1\r\nHost: h\r\nX-End: 2\r\n"
                "Priority: i, u=1\r\nContent-Length: 3\r\n"
                "Via: 1.1 swiftarch\r\n\r\nabc");
    g_assert_false(sink->requests[0].keep_alive);
    g_assert_false(sink->requests[0].idempotent);
    g_assert_cmpuint(sink->requests[0].timeout_ms, ==, 250);
    g_assert_cmpuint(sink->requests[0].urgency, ==, 1);
}

/* Requests are read alike wherever their bytes are split. */
TEST(any_cut)
{
    const char *text = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                       "PUT /2 HTTP/1.1\r\nHost: h\r\n"
                       "Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nxy"
                       "HEAD /3 HTTP/1.1\r\nHost: h\r\n\r\n";
    size_t len = strlen(text);

    for (size_t cut = 1; cut < len; cut++) {
        struct sink sink;
        sink_init(&sink);
        g_assert_cmpuint(reader_feed(&sink.reader, text, cut), ==, cut);
        g_assert_cmpuint(reader_feed(&sink.reader, text + cut, len - cut), ==,
                         len - cut);
        g_assert_cmpuint(sink.count, ==, 3);
        assert_http(&sink.requests[1],
                    "PUT /2 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
                    "Content-Length: 2\r\nVia: 1.1 swiftarch\r\n\r\nxy");
        g_assert_true(sink.requests[1].keyed);
        g_assert_false(sink.requests[2].keyed);
        sink_finish(&sink);
    }
}

TEST_F(sink, pause_leaves_rest)
{
    static const char one[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    char text[256];

    g_snprintf(text, sizeof(text), "%s%s%s", one, one, one);
    sink->pause_after = 1;
    size_t taken = reader_feed(&sink->reader, text, strlen(text));
    g_assert_cmpuint(taken, ==, strlen(one));
    g_assert_cmpuint(sink->count, ==, 1);
    taken += reader_feed(&sink->reader, text + taken, strlen(text) - taken);
    g_assert_cmpuint(taken, ==, strlen(text));
    g_assert_cmpuint(sink->count, ==, 3);
    g_assert_cmpuint(sink->reader.status, ==, 0);
}

/** struct bad_request - a bad request and the status expected for it */
struct bad_request {
    const char *text;
    unsigned status;
};

static const struct bad_request bad_requests[] = {
    {"nonsense\r\n\r\n", 400},
    {"GET / HTTP/1.1\r\n\r\n", 400},
    {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
    {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
    {"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n", 413},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "41\r\n"
     "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
     413},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     400},
    {"POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\n"
     "Idempotency-Key: b\r\n\r\n",
     400},
    {"POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key:\r\n\r\n", 400},
    {"POST / HTTP/1.1\r\nHost: a\r\nExpect: more\r\n\r\n", 417},
};

TEST(bad_requests)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bad_requests); i++) {
        struct sink sink;
        const char *text = bad_requests[i].text;
        sink_init(&sink);
        reader_feed(&sink.reader, text, strlen(text));
        g_assert_cmpuint(sink.reader.status, ==, bad_requests[i].status);
        g_assert_cmpuint(sink.count, ==, 0);
        g_assert_cmpuint(reader_feed(&sink.reader, "GET", 3), ==, 0);
        sink_finish(&sink);
    }
}

TEST_F(sink, long_header)
{
    static const char start[] = "GET / HTTP/1.1\r\nHost: a\r\n";
    const char *line = "X-Fill: 0123456789012345678901234567890123456789\r\n";

    reader_feed(&sink->reader, start, sizeof(start) - 1);
    for (int i = 0; i < 1000 && sink->reader.status == 0; i++) {
        reader_feed(&sink->reader, line, strlen(line));
    }
    g_assert_cmpuint(sink->reader.status, ==, 431);
    g_assert_cmpuint(sink->reader.fields.bytes, <, 2 * READER_HEADER_MAX);
}

TEST_F(sink, long_target)
{
    g_autofree char *target = g_strnfill(10000, 'a');

    reader_feed(&sink->reader, "GET /", 5);
    reader_feed(&sink->reader, target, 10000);
    g_assert_cmpuint(sink->reader.status, ==, 414);
}

/* The fingerprint changes with target and body, not with other fields. */
TEST_F(sink, fingerprint)
{
    static const char *const texts[] = {
        "POST /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
        "Content-Length: 1\r\n\r\nx",
        "POST /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nX-Other: 1\r\n"
        "Content-Length: 1\r\n\r\nx",
        "POST /a HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
        "Content-Length: 1\r\n\r\ny",
        "POST /b HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
        "Content-Length: 1\r\n\r\nx",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        reader_feed(&sink->reader, texts[i], strlen(texts[i]));
        g_assert_cmpuint(sink->count, ==, i + 1);
        g_assert_cmpmem(sink->requests[i].key_hash, 16,
                        sink->requests[0].key_hash, 16);
    }
    uint64_t first = sink->requests[0].fingerprint;
    g_assert_cmpuint(sink->requests[1].fingerprint, ==, first);
    g_assert_cmpuint(sink->requests[2].fingerprint, !=, first);
    g_assert_cmpuint(sink->requests[3].fingerprint, !=, first);
}

TEST(urgency)
{
    g_assert_cmpuint(reader_urgency(NULL), ==, 3);
    g_assert_cmpuint(reader_urgency("u=0"), ==, 0);
    g_assert_cmpuint(reader_urgency("i, u=7;a=1"), ==, 7);
    g_assert_cmpuint(reader_urgency("u=8"), ==, 3);
    g_assert_cmpuint(reader_urgency("u=12"), ==, 3);
    g_assert_cmpuint(reader_urgency("xu=1"), ==, 3);
}

/* Mutated requests neither crash the reader nor yield more than one request.
 */
TEST(mutations)
{
    const char *text = "POST /a HTTP/1.1\r\nHost: h\r\n"
                       "Idempotency-Key: k\r\nContent-Length: 3\r\n"
                       "Connection: x\r\n\r\nabc";
    size_t len = strlen(text);
    g_autoptr(GRand) random = g_rand_new_with_seed(7);

    for (int round = 0; round < 5000; round++) {
        g_autofree char *copy = g_strdup(text);
        struct sink sink;
        sink_init(&sink);
        for (int i = 0; i < 3; i++) {
            copy[g_rand_int_range(random, 0, (gint)len)] =
                (char)g_rand_int_range(random, 0, 256);
        }
        reader_feed(&sink.reader, copy, len);
        g_assert_cmpuint(sink.count, <=, 1);
        sink_finish(&sink);
    }
}
