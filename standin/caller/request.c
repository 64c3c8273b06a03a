#include "caller/request.h"

#include <assert.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"

#define BODY_BLOCK 64
#define LETTERS 26
#define HEX_ID_LEN 16
#define NAME_CHARACTERS                                                       \
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

uint64_t
request_id(const struct request *request)
{
    return request->ids[request->attempt - 1];
}

uint8_t
request_body_byte(uint64_t id, size_t at)
{
    return (uint8_t)('a' + (hash_pair(id, at / BODY_BLOCK) + at) % LETTERS);
}

/* The same for all attempts: a key stands for one request. */
static void
write_body(const struct request *request, size_t len, GByteArray *out)
{
    for (size_t at = 0; at < len; at++) {
        uint8_t byte = request_body_byte(request->ids[0], at);

        g_byte_array_append(out, &byte, 1);
    }
}

void
request_write(const struct request *request, const struct load_settings *load,
              uint64_t now_us, GByteArray *out)
{
    uint64_t left_us =
        request->deadline_us > now_us ? request->deadline_us - now_us : 0;
    GString *head = g_string_new(NULL);
    char parent[TRACE_PARENT_MAX];

    g_string_printf(head,
                    "%s /%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %016" PRIx64
                    "\r\nPriority: u=%d\r\nRequest-Timeout-Ms: %" PRIu64
                    "\r\nX-Answer-Bytes: %u\r\ntraceparent: %s\r\n",
                    request->post ? "POST" : "GET", load->service,
                    load->service, request_id(request), load->urgent ? 1 : 5,
                    MAX(left_us / USEC_PER_MSEC, 1), load->answer_bytes,
                    trace_format(&request->trace, parent));
    if (request->post)
        g_string_append_printf(
            head, "Idempotency-Key: %016" PRIx64 "\r\nContent-Length: %u\r\n",
            request->ids[0], load->body_bytes);
    g_string_append(head, "\r\n");
    g_byte_array_append(out, (const guint8 *)head->str, (guint)head->len);
    g_string_free(head, TRUE);
    if (request->post)
        write_body(request, load->body_bytes, out);
}

static bool
is_header(const struct answer *answer, const char *name)
{
    return g_ascii_strcasecmp(answer->name->str, name) == 0;
}

static void
take_id(struct answer *answer)
{
    char *end;

    answer->id = g_ascii_strtoull(answer->value->str, &end, 16);
    answer->has_id = answer->value->len == HEX_ID_LEN && *end == '\0';
}

/* Milliseconds win over the standard's whole seconds. */
static void
take_retry_after(struct answer *answer, unsigned unit_ms)
{
    unsigned long value = strtoul(answer->value->str, NULL, 10);

    if (unit_ms == 1 || answer->line.retry_after_ms == 0)
        answer->line.retry_after_ms = (unsigned)value * unit_ms;
}

/* "1.1 a, 1.1 b" names b, the nearest to us. */
static void
take_via(struct answer *answer)
{
    const char *space = strrchr(answer->value->str, ' ');
    const char *name = space != NULL ? space + 1 : answer->value->str;

    /* Only names that need no escape in the record. */
    if (name[strspn(name, NAME_CHARACTERS)] == '\0')
        g_strlcpy(answer->via, name, sizeof(answer->via));
}

static void
take_header(struct answer *answer)
{
    if (is_header(answer, "X-Request-Id")) {
        take_id(answer);
    }
    else if (is_header(answer, "X-Service")) {
        answer->has_service = true;
        answer->line.wrong_service =
            strcmp(answer->value->str, answer->load->service) != 0;
    }
    else if (is_header(answer, "Swiftarch-Outcome")) {
        g_strlcpy(answer->outcome, answer->value->str,
                  sizeof(answer->outcome));
    }
    else if (is_header(answer, "Idempotency-Replayed")) {
        answer->replayed = strcmp(answer->value->str, "true") == 0;
    }
    else if (is_header(answer, "Via")) {
        take_via(answer);
    }
    else if (is_header(answer, "Retry-After-Ms")) {
        take_retry_after(answer, 1);
    }
    else if (is_header(answer, "Retry-After")) {
        take_retry_after(answer, 1000);
    }
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
    struct answer *answer = parser->data;

    if (answer->value->len > 0) {
        take_header(answer);
        g_string_truncate(answer->name, 0);
        g_string_truncate(answer->value, 0);
    }
    g_string_append_len(answer->name, at, (gssize)len);
    return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    struct answer *answer = parser->data;

    g_string_append_len(answer->value, at, (gssize)len);
    return 0;
}

static bool
is_own_id(const struct answer *answer)
{
    const struct request *request = answer->request;

    if (answer->id == request_id(request))
        return true;
    /* The stored answer names the attempt that ran. */
    for (unsigned i = 0; answer->replayed && i + 1 < request->attempt; i++) {
        if (answer->id == request->ids[i])
            return true;
    }
    return false;
}

static int
on_headers_complete(http_parser *parser)
{
    struct answer *answer = parser->data;

    take_header(answer);
    answer->line.status = parser->status_code;
    if (answer->has_id && !is_own_id(answer))
        answer->line.crossed = true;
    return 0;
}

static bool
is_success(const struct answer *answer)
{
    return answer->line.status / 100 == 2;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct answer *answer = parser->data;

    if (is_success(answer)) {
        for (size_t i = 0; i < len; i++) {
            if ((uint8_t)at[i] !=
                request_body_byte(answer->id, answer->body + i))
                answer->line.crossed = true;
        }
    }
    answer->body += len;
    return 0;
}

static enum result
result_of(const struct answer *answer)
{
    if (strcmp(answer->outcome, "not-run") == 0)
        return RESULT_REFUSED;
    if (strcmp(answer->outcome, "unknown") == 0)
        return RESULT_UNKNOWN;
    if (answer->line.status == HTTP_STATUS_CONFLICT)
        return RESULT_IN_PROGRESS;
    /* An error that doesn't say whether the request ran. */
    if (answer->line.status >= HTTP_STATUS_INTERNAL_SERVER_ERROR)
        return RESULT_UNKNOWN;
    return RESULT_ANSWERED;
}

static void
forget_message(struct answer *answer)
{
    memset(&answer->line, 0, sizeof(answer->line));
    answer->id = 0;
    answer->has_id = false;
    answer->has_service = false;
    answer->replayed = false;
    answer->outcome[0] = '\0';
    answer->via[0] = '\0';
    answer->body = 0;
    g_string_truncate(answer->name, 0);
    g_string_truncate(answer->value, 0);
}

static int
on_message_complete(http_parser *parser)
{
    struct answer *answer = parser->data;

    /* An interim response; the final one is still to come. */
    if (answer->line.status / 100 == 1) {
        forget_message(answer);
        return 0;
    }
    if (is_success(answer)) {
        /* An answer that doesn't say whose it is can't be called ours. */
        if (!answer->has_id)
            answer->line.crossed = true;
        if (!answer->has_service)
            answer->line.wrong_service = true;
        if (answer->body != answer->load->answer_bytes)
            answer->line.truncated = true;
    }
    answer->line.result = result_of(answer);
    answer->complete = true;
    /* The bytes that follow belong to the next answer. */
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

void
answer_init(struct answer *answer, const struct load_settings *load)
{
    memset(answer, 0, sizeof(*answer));
    http_parser_init(&answer->parser, HTTP_RESPONSE);
    answer->parser.data = answer;
    answer->load = load;
    answer->name = g_string_new(NULL);
    answer->value = g_string_new(NULL);
}

void
answer_finish(struct answer *answer)
{
    g_string_free(answer->name, TRUE);
    g_string_free(answer->value, TRUE);
}

void
answer_expect(struct answer *answer, const struct request *request)
{
    answer->request = request;
    answer->begun = false;
    answer->complete = false;
    forget_message(answer);
    http_parser_pause(&answer->parser, 0);
}

int
answer_read(struct answer *answer, const uint8_t *data, size_t len)
{
    size_t used;

    assert(answer->request != NULL && !answer->complete);
    answer->begun = answer->begun || len > 0;
    used = http_parser_execute(&answer->parser, &parser_settings,
                               (const char *)data, len);
    if (HTTP_PARSER_ERRNO(&answer->parser) != HPE_OK &&
        HTTP_PARSER_ERRNO(&answer->parser) != HPE_PAUSED)
        return -EBADMSG;
    return (int)used;
}

bool
answer_closes(const struct answer *answer)
{
    return !http_should_keep_alive(&answer->parser);
}
