#include <glib.h>
#include <string.h>

#include "agent/answer.h"
#include "agent/answer_reader.h"
#include "agent/peer_wire.h"
#include "agent/reader.h"
#include "agent/upstream.h"
#include "mutate.h"

#define SUITE "/fuzz"
#define RUNS 30000
#define BODY_MAX 4096

static void
decode_peer(const uint8_t *data, size_t len)
{
    struct peer_wire wire;
    struct flow_pin pin;

    if (peer_wire_unpack(data, len, 5, &wire) < 0) {
        return;
    }
    if (wire.pins) {
        for (size_t i = 0; peer_wire_pin(&wire, i, &pin); i++) {
            g_assert_cmpuint(i, <, len);
        }
    }
    else {
        GByteArray *again = peer_wire_pack(&wire.msg, NULL, NULL, 5);

        g_assert_cmpuint(wire.len, <=, len);
        g_assert_cmpuint(wire.msg.idem.answer_len, <=, IDEM_ANSWER_MAX);
        g_byte_array_unref(again);
    }
    peer_wire_finish(&wire);
}

static struct mutate_sample
sample_of(const GByteArray *bytes)
{
    return (struct mutate_sample){bytes->data, bytes->len};
}

TEST(peer)
{
    struct engine_peer_msg run = {
        .type = ENGINE_PEER_RUN,
        .origin = 3,
        .request = {.id = 9, .service = 7, .keyed = true, .deadline_us = 900},
    };
    struct engine_peer_msg idem = {
        .type = ENGINE_PEER_IDEM,
        .idem = {.type = IDEM_MSG_EXISTS,
                 .key = {7, {1, 2}, 3},
                 .state = IDEM_DONE,
                 .answer = (const uint8_t *)"HTTP/1.1 200 OK",
                 .answer_len = 15},
    };
    struct flow_pin pins[] = {{.bucket = 1, .owner = 2}};
    GByteArray *http = g_byte_array_new();
    GByteArray *packed[3];
    struct mutate_sample samples[3];

    g_byte_array_append(http, (const guint8 *)"GET / HTTP/1.1\r\n\r\n", 18);
    packed[0] = peer_wire_pack(&run, http, "00-trace", 5);
    packed[1] = peer_wire_pack(&idem, NULL, NULL, 5);
    packed[2] = peer_wire_pack_pins(pins, G_N_ELEMENTS(pins));
    for (size_t i = 0; i < 3; i++) {
        samples[i] = sample_of(packed[i]);
    }
    MUTATE("peer messages", samples, RUNS, decode_peer);
    for (size_t i = 0; i < 3; i++) {
        g_byte_array_unref(packed[i]);
    }
    g_byte_array_unref(http);
}

static unsigned requests;

static void
on_request(struct reader_owner *owner, struct reader_request *request)
{
    requests++;
    g_assert_cmpuint(request->urgency, <=, 7);
    g_assert_cmpuint(request->timeout_ms, <=, READER_TIMEOUT_MS_MAX);
    g_assert_cmpuint(strlen(request->traceparent), <, TRACEPARENT_MAX);
    g_assert_true(request->http != NULL);
    g_byte_array_unref(request->http);
    request->http = NULL;
}

static void
on_continue(struct reader_owner *owner)
{
}

/* The number of requests does not depend on how the bytes are split. */
static void
decode_request(const uint8_t *data, size_t len)
{
    static const struct reader_ops ops = {on_request, on_continue};
    static const size_t steps[] = {SIZE_MAX, 1, 7};
    struct reader_owner owner = {&ops};
    unsigned expected = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        struct reader reader;
        size_t at = 0;

        requests = 0;
        reader_init(&reader, &owner, BODY_MAX);
        while (at < len && reader.status == 0) {
            size_t step = MIN(steps[i], len - at);
            size_t taken = reader_feed(&reader, (const char *)data + at, step);

            g_assert_cmpuint(taken, <=, step);
            if (taken < step) {
                break;
            }
            at += taken;
        }
        reader_finish(&reader);
        if (i == 0) {
            expected = requests;
        }
        g_assert_cmpuint(requests, ==, expected);
    }
}

FUZZ_STRINGS(requests, RUNS, decode_request,
             "GET /lots/7 HTTP/1.1\r\nHost: lots\r\nPriority: u=1\r\n"
             "Request-Timeout-Ms: 800\r\n\r\n",
             "POST /lots HTTP/1.1\r\nHost: lots\r\n"
             "Idempotency-Key: \"k1\"\r\nContent-Length: 5\r\n\r\n"
             "hello",
             "PUT /lots HTTP/1.1\r\nHost: lots\r\n"
             "Transfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n0\r\n\r\n")

static void
decode_answer(const uint8_t *data, size_t len)
{
    for (int head = 0; head < 2; head++) {
        struct answer_reader reader;

        answer_reader_init(&reader, head, BODY_MAX);
        answer_reader_feed(&reader, (const char *)data, len / 2);
        if (!reader.complete && !reader.failed) {
            answer_reader_feed(&reader, (const char *)data + len / 2,
                               len - len / 2);
        }
        g_assert_false(reader.complete && reader.failed);
        if (reader.complete) {
            GByteArray *answer = answer_reader_take(&reader);
            GByteArray *more = answer_with_field(answer->data, answer->len,
                                                 "Connection: close\r\n");

            (void)answer_reader_refused(&reader);
            g_assert_cmpuint(answer_status(answer->data, answer->len), !=, 0);
            g_byte_array_unref(more);
            g_byte_array_unref(answer);
        }
        answer_reader_finish(&reader);
    }
    /* Answers from peers are stored without parsing. */
    GByteArray *copy = answer_with_field(data, len, "Connection: close\r\n");

    (void)answer_status(data, len);
    g_byte_array_unref(copy);
}

FUZZ_STRINGS(answers, RUNS, decode_answer,
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
             "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n"
             "Content-Length: 0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n0\r\n\r\n",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n")

static void
decode_announcement(const uint8_t *data, size_t len)
{
    struct announcement announcement = {0};
    struct error err = {0};
    int rc = announcement_parse((const char *)data, len, &announcement, &err);

    g_assert_true(rc == 0 || err.code == rc);
    if (rc == 0) {
        g_assert_cmpuint(strlen(announcement.service), >, 0);
        g_assert_cmpuint(announcement.addr.port, !=, 0);
    }
}

FUZZ_STRINGS(announcement, RUNS, decode_announcement,
             "{\"service\": \"lots\", \"address\": \"127.0.0.1:80\","
             " \"slots\": 2, \"state\": \"ready\"}")
