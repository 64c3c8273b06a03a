#include "agent/answer.h"

#include <string.h>

#define MS_PER_S 1000
#define STATUS_OFFSET 9 /* offset of the code in "HTTP/1.1 200 OK" */

/** struct phrase - reason phrase of a status */
struct phrase {
    unsigned status;
    const char *text;
};

static const struct phrase phrases[] = {
    {400, "Bad Request"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {414, "URI Too Long"},
    {417, "Expectation Failed"},
    {422, "Unprocessable Content"},
    {431, "Request Header Fields Too Large"},
    {501, "Not Implemented"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
};

static const char *
reason_phrase(unsigned status)
{
    for (size_t i = 0; i < G_N_ELEMENTS(phrases); i++) {
        if (phrases[i].status == status) {
            return phrases[i].text;
        }
    }
    return "Error";
}

/* Proxy-Status error type (RFC 9209) of a reason. */
static const char *
proxy_error(enum engine_reason reason)
{
    switch (reason) {
    case ENGINE_NO_UPSTREAM:
    case ENGINE_DEPENDENCY:
        return "destination_unavailable";
    case ENGINE_LOST:
        return "connection_terminated";
    case ENGINE_TRUNCATED:
        return "http_response_incomplete";
    case ENGINE_DEADLINE:
        return "http_response_timeout";
    case ENGINE_QUEUE_FULL:
    case ENGINE_CALLER_LIMIT:
    case ENGINE_TOO_LATE:
    case ENGINE_UPSTREAM_SHED:
        return "connection_limit_reached";
    default:
        return "proxy_internal_response";
    }
}

static unsigned
status_of(enum engine_outcome outcome)
{
    switch (outcome) {
    case ENGINE_UNKNOWN:
        return 504;
    case ENGINE_IN_PROGRESS:
        return 409;
    case ENGINE_KEY_MISMATCH:
        return 422;
    default:
        return 503;
    }
}

static GByteArray *
bytes_from_string(const GString *string)
{
    GByteArray *out = g_byte_array_sized_new((guint)string->len);

    g_byte_array_append(out, (const guint8 *)string->str, (guint)string->len);
    return out;
}

static void
append_retry_after(GString *string, uint32_t ms)
{
    uint32_t seconds = ms / MS_PER_S + (ms % MS_PER_S != 0);

    g_string_append_printf(string, "Retry-After: %u\r\nRetry-After-Ms: %u\r\n",
                           seconds, ms);
}

GByteArray *
answer_refusal(enum engine_outcome outcome, enum engine_reason reason,
               uint32_t retry_after_ms)
{
    unsigned status = status_of(outcome);
    GString *string = g_string_new(NULL);

    g_string_append_printf(string, "HTTP/1.1 %u %s\r\n", status,
                           reason_phrase(status));
    if (outcome == ENGINE_NOT_RUN || outcome == ENGINE_IN_PROGRESS) {
        append_retry_after(string, retry_after_ms);
    }
    g_string_append_printf(string, "Swiftarch-Outcome: %s\r\n",
                           answer_outcome_name(outcome));
    g_string_append_printf(
        string, "Proxy-Status: swiftarch; error=%s; details=\"%s\"\r\n",
        proxy_error(reason), answer_reason_name(reason));
    g_string_append(string, "Content-Length: 0\r\n\r\n");
    GByteArray *out = bytes_from_string(string);
    g_string_free(string, TRUE);
    return out;
}

GByteArray *
answer_error(unsigned status)
{
    GString *string = g_string_new(NULL);

    g_string_append_printf(string,
                           "HTTP/1.1 %u %s\r\n"
                           "Swiftarch-Outcome: not-run\r\n"
                           "Content-Length: 0\r\n\r\n",
                           status, reason_phrase(status));
    GByteArray *out = bytes_from_string(string);
    g_string_free(string, TRUE);
    return out;
}

GByteArray *
answer_with_field(const uint8_t *answer, size_t len, const char *line)
{
    static const char header_end[] = "\r\n\r\n";
    const uint8_t *end =
        memmem(answer, len, header_end, sizeof(header_end) - 1);
    size_t fields_end = end == NULL ? len : (size_t)(end - answer) + 2;
    GByteArray *out = g_byte_array_sized_new((guint)(len + strlen(line)));

    g_byte_array_append(out, answer, (guint)fields_end);
    g_byte_array_append(out, (const guint8 *)line, (guint)strlen(line));
    g_byte_array_append(out, answer + fields_end, (guint)(len - fields_end));
    return out;
}

unsigned
answer_status(const uint8_t *answer, size_t len)
{
    unsigned status = 0;

    if (len < STATUS_OFFSET + 3) {
        return 0;
    }
    for (size_t i = STATUS_OFFSET; i < STATUS_OFFSET + 3; i++) {
        if (!g_ascii_isdigit(answer[i])) {
            return 0;
        }
        status = status * 10 + (unsigned)(answer[i] - '0');
    }
    return status;
}

const char *
answer_reason_name(enum engine_reason reason)
{
    static const char *const names[] = {
        [ENGINE_REASON_NONE] = "none",
        [ENGINE_QUEUE_FULL] = "queue-full",
        [ENGINE_CALLER_LIMIT] = "caller-limit",
        [ENGINE_TOO_LATE] = "too-late",
        [ENGINE_DEPENDENCY] = "dependency",
        [ENGINE_NO_UPSTREAM] = "no-upstream",
        [ENGINE_KEY_QUORUM] = "key-quorum",
        [ENGINE_UPSTREAM_SHED] = "upstream-shed",
        [ENGINE_LOST] = "lost",
        [ENGINE_TRUNCATED] = "short",
        [ENGINE_DEADLINE] = "deadline",
        [ENGINE_STOPPING] = "stopping",
        [ENGINE_CANCELLED] = "cancelled",
    };

    if ((size_t)reason >= G_N_ELEMENTS(names)) {
        return "other";
    }
    return names[reason];
}

const char *
answer_outcome_name(enum engine_outcome outcome)
{
    switch (outcome) {
    case ENGINE_ANSWERED:
        return "answered";
    case ENGINE_UNKNOWN:
        return "unknown";
    case ENGINE_IN_PROGRESS:
        return "in-progress";
    case ENGINE_KEY_MISMATCH:
        return "key-mismatch";
    default:
        return "not-run";
    }
}
