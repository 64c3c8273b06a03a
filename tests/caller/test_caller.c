/**
 * DOC: test_caller - checks that the stand-in caller detects each fault of an
 * answer, and writes the expected requests and records
 */
#include <errno.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <string.h>

#include "caller/load.h"
#include "caller/request.h"
#include "caller/settings.h"
#include "lib/harness.h"

#define SUITE "/caller"
#define ANSWER_BYTES 300
#define ID UINT64_C(0x00000000000000a1)
#define OTHER_ID UINT64_C(0x00000000000000b2)

static const struct load_settings load = {
    .service = "lots",
    .to = {.ip = 0x0a000001, .port = 80},
    .urgent = true,
    .body_bytes = 5,
    .answer_bytes = ANSWER_BYTES,
    .deadline_ms = 1000,
    .pipeline = 1,
};

static const struct request second_attempt = {
    .ids = {OTHER_ID, ID},
    .attempt = 2,
    .post = true,
    .start_us = 1000000,
    .deadline_us = 2000000,
};

/* Builds an answer with the status and headers @head and @len bytes of the
 * body for @id. */
static GByteArray *
make_answer(const char *head, uint64_t id, size_t len)
{
    GByteArray *bytes = g_byte_array_new();
    g_autofree char *text = g_strdup_printf(
        "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n", head, len);

    g_byte_array_append(bytes, (guint8 *)text, (guint)strlen(text));
    for (size_t at = 0; at < len; at++) {
        uint8_t byte = request_body_byte(id, at);

        g_byte_array_append(bytes, &byte, 1);
    }
    return bytes;
}

/* Feeds @bytes to @answer in pieces of up to @piece bytes. */
static int
read_in_pieces(struct answer *answer, const GByteArray *bytes, size_t piece)
{
    size_t at = 0;

    while (at < bytes->len && !answer->complete) {
        int used =
            answer_read(answer, bytes->data + at, MIN(piece, bytes->len - at));

        if (used < 0)
            return used;
        at += (size_t)used;
    }
    return (int)at;
}

/** struct answer_case - an answer and the expected findings */
struct answer_case {
    const char *name;
    const char *head;
    uint64_t body_id;
    size_t len;
    enum result result;
    bool crossed;
    bool truncated;
    bool wrong_service;
    unsigned retry_after_ms;
};

#define OWN "X-Request-Id: 00000000000000a1\r\nX-Service: lots"

static const struct answer_case answer_cases[] = {
    {"complete", "200 OK\r\n" OWN, ID, ANSWER_BYTES, RESULT_ANSWERED},
    {"other id", "200 OK\r\nX-Service: lots\r\nX-Request-Id: 00000000000000b2",
     OTHER_ID, ANSWER_BYTES, RESULT_ANSWERED, .crossed = true},
    {"no id", "200 OK\r\nX-Service: lots", ID, ANSWER_BYTES, RESULT_ANSWERED,
     .crossed = true},
    {"no id and no body", "200 OK\r\nX-Service: lots", ID, 0, RESULT_ANSWERED,
     .crossed = true, .truncated = true},
    {"own id, other's body", "200 OK\r\n" OWN, OTHER_ID, ANSWER_BYTES,
     RESULT_ANSWERED, .crossed = true},
    {"short", "200 OK\r\n" OWN, ID, ANSWER_BYTES - 1, RESULT_ANSWERED,
     .truncated = true},
    {"empty", "200 OK\r\n" OWN, ID, 0, RESULT_ANSWERED, .truncated = true},
    {"long", "200 OK\r\n" OWN, ID, ANSWER_BYTES + 1, RESULT_ANSWERED,
     .truncated = true},
    {"other service",
     "200 OK\r\nX-Service: albums\r\nX-Request-Id: 00000000000000a1", ID,
     ANSWER_BYTES, RESULT_ANSWERED, .wrong_service = true},
    {"no service", "200 OK\r\nX-Request-Id: 00000000000000a1", ID,
     ANSWER_BYTES, RESULT_ANSWERED, .wrong_service = true},
    {"replayed",
     "200 OK\r\nX-Service: lots\r\nX-Request-Id: 00000000000000b2\r\n"
     "Idempotency-Replayed: true",
     OTHER_ID, ANSWER_BYTES, RESULT_ANSWERED},
    {"refused", "503 X\r\nSwiftarch-Outcome: not-run\r\nRetry-After: 2",
     .result = RESULT_REFUSED, .retry_after_ms = 2000},
    {"refused, in ms",
     "503 X\r\nRetry-After-Ms: 70\r\nRetry-After: 1\r\n"
     "Swiftarch-Outcome: not-run",
     .result = RESULT_REFUSED, .retry_after_ms = 70},
    {"unknown", "504 X\r\nSwiftarch-Outcome: unknown",
     .result = RESULT_UNKNOWN},
    {"no outcome", "503 X\r\nRetry-After: 1", .result = RESULT_UNKNOWN,
     .retry_after_ms = 1000},
    {"in progress", "409 X\r\nRetry-After: 1", .result = RESULT_IN_PROGRESS,
     .retry_after_ms = 1000},
    {"client error", "404 X", .result = RESULT_ANSWERED},
    {"refusal of another request",
     "503 X\r\nSwiftarch-Outcome: not-run\r\nX-Request-Id: 00000000000000cc",
     .result = RESULT_REFUSED, .crossed = true},
};

static void
check_answer(const struct answer_case *expected, size_t piece)
{
    GByteArray *bytes =
        make_answer(expected->head, expected->body_id, expected->len);
    struct answer answer;

    answer_init(&answer, &load);
    answer_expect(&answer, &second_attempt);
    g_assert_cmpint(read_in_pieces(&answer, bytes, piece), ==,
                    (int)bytes->len);
    g_assert_true(answer.complete);
    g_assert_cmpint(answer.line.result, ==, expected->result);
    g_assert_cmpint(answer.line.crossed, ==, expected->crossed);
    g_assert_cmpint(answer.line.truncated, ==, expected->truncated);
    g_assert_cmpint(answer.line.wrong_service, ==, expected->wrong_service);
    g_assert_cmpuint(answer.line.retry_after_ms, ==, expected->retry_after_ms);
    answer_finish(&answer);
    g_byte_array_unref(bytes);
}

/* The findings do not depend on how the bytes are split. */
TEST(answers)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answer_cases); i++) {
        g_test_message("%s", answer_cases[i].name);
        for (size_t piece = 1; piece < 40; piece++)
            check_answer(&answer_cases[i], piece);
        check_answer(&answer_cases[i], SIZE_MAX);
    }
}

/* answer_read() leaves the bytes of the next answer, and skips interim
 * answers. */
TEST(pipelined_answers)
{
    g_autoptr(GByteArray) both =
        make_answer("200 OK\r\n" OWN, ID, ANSWER_BYTES);
    g_autoptr(GByteArray) second = make_answer(
        "200 OK\r\nX-Service: lots\r\nX-Request-Id: 00000000000000b2",
        OTHER_ID, ANSWER_BYTES);
    const char *interim = "HTTP/1.1 100 Continue\r\nX-Service: x\r\n\r\n";
    struct request next = {.ids = {OTHER_ID}, .attempt = 1};
    size_t first_len = both->len;
    struct answer answer;

    g_byte_array_append(both, (const guint8 *)interim, (guint)strlen(interim));
    g_byte_array_append(both, second->data, second->len);
    answer_init(&answer, &load);
    answer_expect(&answer, &second_attempt);
    g_assert_cmpint(answer_read(&answer, both->data, both->len), ==,
                    (int)first_len);
    g_assert_true(answer.complete);
    g_assert_false(answer_closes(&answer));
    answer_expect(&answer, &next);
    g_assert_cmpint(
        answer_read(&answer, both->data + first_len, both->len - first_len),
        ==, (int)(both->len - first_len));
    g_assert_true(answer.complete);
    g_assert_false(answer.line.crossed || answer.line.truncated ||
                   answer.line.wrong_service);
    answer_finish(&answer);
}

/* The last host of the Via header is the owner of the flow. */
TEST(via)
{
    g_autoptr(GByteArray) bytes = make_answer(
        "200 OK\r\nVia: 1.1 lots-2, 1.1 lots-7\r\n" OWN, ID, ANSWER_BYTES);
    struct answer answer;

    answer_init(&answer, &load);
    answer_expect(&answer, &second_attempt);
    read_in_pieces(&answer, bytes, 1);
    g_assert_cmpstr(answer.via, ==, "lots-7");
    answer_expect(&answer, &second_attempt);
    g_assert_cmpstr(answer.via, ==, "");
    answer_finish(&answer);
}

TEST_F(answer, garbage, &load)
{
    const uint8_t garbage[] = "SSH-2.0-x\r\n";

    answer_expect(answer, &second_attempt);
    g_assert_cmpint(answer_read(answer, garbage, sizeof(garbage) - 1), ==,
                    -EBADMSG);
}

TEST(request_format)
{
    g_autoptr(GByteArray) out = g_byte_array_new();
    char body[6] = "";

    for (size_t at = 0; at < 5; at++)
        body[at] = (char)request_body_byte(OTHER_ID, at);
    request_write(&second_attempt, &load, 1250000, out);
    g_byte_array_append(out, (const guint8 *)"", 1);
    g_autofree char *expected = g_strconcat(
        "POST /lots HTTP/1.1\r\nHost: lots\r\n"
        "X-Request-Id: 00000000000000a1\r\nPriority: u=1\r\n"
        "Request-Timeout-Ms: 750\r\nX-Answer-Bytes: 300\r\n"
        "traceparent: 00-00000000000000000000000000000000-"
        "0000000000000000-00\r\n"
        "Idempotency-Key: 00000000000000b2\r\nContent-Length: 5\r\n\r\n",
        body, NULL);

    g_assert_cmpstr((const char *)out->data, ==, expected);
}

/* The mean interval is the inverse of the rate; equal seeds give equal
 * intervals. */
TEST(arrivals)
{
    guint32 seed = g_test_rand_int();
    g_autoptr(GRand) first = g_rand_new_with_seed(seed);
    g_autoptr(GRand) again = g_rand_new_with_seed(seed);
    uint64_t sum = 0;

    for (int i = 0; i < 100000; i++) {
        uint64_t wait = load_next_arrival(first, 100);

        g_assert_cmpuint(wait, ==, load_next_arrival(again, 100));
        sum += wait;
    }
    g_assert_cmpuint(sum / 100000, >, 9800);
    g_assert_cmpuint(sum / 100000, <, 10200);
}

static char *
record_text(const char *path)
{
    struct request_line request = {
        .id = ID,
        .service = "lots",
        .urgent = true,
        .post = true,
        .key = OTHER_ID,
        .attempt = 2,
        .flow = 7,
        .src = {.ip = 0x0a090001, .port = 10000},
        .start_us = 1,
        .end_us = 2,
        .deadline_us = 3,
        .result = RESULT_REFUSED,
        .status = 503,
        .retry_after_ms = 70,
        .truncated = true,
    };
    struct flow_line flow = {
        .flow = 7,
        .service = "lots",
        .src = request.src,
        .via = "lots-1",
        .open_us = 1,
        .end_us = 9,
        .end = FLOW_RESET,
        .requests = 4,
    };
    struct datagram_line datagrams = {"lots", 9, 7, 2, 0};
    struct record record;
    char *text;

    g_assert_cmpint(record_init(&record, path, NULL), ==, 0);
    record_request(&record, &request);
    record_flow(&record, &flow);
    record_datagrams(&record, &datagrams);
    g_assert_cmpint(record_finish(&record), ==, 0);
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    return text;
}

TEST(record)
{
    g_autofree char *folder = g_dir_make_tmp("caller-XXXXXX", NULL);
    g_autofree char *path = g_build_filename(folder, "record.jsonl", NULL);
    g_autofree char *text = record_text(path);

    g_assert_cmpstr(
        text, ==,
        "{\"type\":\"request\",\"id\":\"00000000000000a1\","
        "\"service\":\"lots\",\"class\":\"urgent\",\"method\":\"POST\","
        "\"key\":\"00000000000000b2\",\"attempt\":2,\"flow\":7,"
        "\"src\":\"10.9.0.1:10000\",\"start_us\":1,\"end_us\":2,"
        "\"deadline_us\":3,\"result\":\"refused\",\"status\":503,"
        "\"retry_after_ms\":70,\"crossed\":false,\"truncated\":true,"
        "\"wrong_service\":false}\n"
        "{\"type\":\"flow\",\"flow\":7,\"service\":\"lots\","
        "\"src\":\"10.9.0.1:10000\",\"via\":\"lots-1\",\"open_us\":1,\"end_"
        "us\":9,"
        "\"end\":\"reset\",\"peer_closed\":false,\"requests\":4}\n"
        "{\"type\":\"datagrams\",\"service\":\"lots\",\"sent\":9,"
        "\"echoed\":7,\"lost\":2,\"foreign\":0}\n");
    g_unlink(path);
    g_rmdir(folder);
}

TEST(settings)
{
    static const char text[] =
        "{\"fabric\": \"127.0.0.1:1\", \"listen\": \"127.0.0.1:0\",\n"
        "\"seconds\": 0, \"record\": \"r\", \"addresses\": [\"10.9.0\"],\n"
        "\"colour\": 1, \"loads\": [{\"service\": \"lots\", \"ip\": 4,\n"
        "\"class\": \"late\", \"flows\": 0, \"rate\": 1, \"proto\": \"udp\","
        "\"body_bytes\": 9}, 5]}";
    static const char *const expected[] = {
        "settings.json:2: key \"seconds\" is 0;",
        "settings.json:2: key \"addresses\" is",
        "settings.json:3: key \"colour\" is unknown",
        "settings.json:3: key \"loads[0].ip\" is 4;",
        "settings.json:4: key \"loads[0].class\" is \"late\";",
        "settings.json:4: key \"loads[0].flows\" is 0;",
        "settings.json: key \"loads[0].port\" is missing",
        "settings.json:4: key \"loads[0].body_bytes\" is 9; expected 16",
        "settings.json:3: key \"loads\" is 5;",
    };
    g_autofree char *folder = g_dir_make_tmp("caller-XXXXXX", NULL);
    g_autofree char *path = g_build_filename(folder, "settings.json", NULL);
    struct caller_settings settings;
    g_autofree char *report = NULL;

    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_assert_cmpint(caller_settings_load(&settings, path, &report, NULL), ==,
                    -EINVAL);
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        if (strstr(report, expected[i]) == NULL)
            g_error("\"%s\" isn't in:\n%s", expected[i], report);
    }
    g_unlink(path);
    g_rmdir(folder);
}
