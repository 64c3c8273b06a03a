#include "agent/reader.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

#define KEY_SEED_FIRST 1
#define KEY_SEED_SECOND 2
#define TARGET_MAX 8192 /* bytes */

enum {
    STATUS_BAD_REQUEST = 400,
    STATUS_TOO_LARGE = 413,
    STATUS_URI_LONG = 414,
    STATUS_EXPECTATION = 417,
    STATUS_FIELDS_LARGE = 431,
    STATUS_NOT_IMPLEMENTED = 501,
    STATUS_VERSION = 505
};

/* Fields not copied to the upstream's request: the agent handles or rewrites
 * them. */
static const char *const not_copied[] = {"Expect", "Request-Timeout-Ms",
                                         "traceparent", NULL};

static struct reader *
reader_of(http_parser *parser)
{
    return parser->data;
}

/* Sets the error status; the non-zero result stops http_parser. */
static int
refuse(struct reader *reader, unsigned status)
{
    reader->status = status;
    return -1;
}

static void
reader_reset(struct reader *reader)
{
    fields_clear(&reader->fields);
    if (reader->target != NULL) {
        g_string_free(reader->target, TRUE);
        reader->target = NULL;
    }
    if (reader->body != NULL) {
        g_byte_array_unref(reader->body);
        reader->body = NULL;
    }
    reader->in_message = false;
    reader->headers_done = false;
}

static int
on_begin(http_parser *parser)
{
    struct reader *reader = reader_of(parser);

    reader_reset(reader);
    reader->in_message = true;
    reader->target = g_string_new(NULL);
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    struct reader *reader = reader_of(parser);

    g_string_append_len(reader->target, at, (gssize)len);
    if (reader->target->len > TARGET_MAX) {
        return refuse(reader, STATUS_URI_LONG);
    }
    return 0;
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
    struct reader *reader = reader_of(parser);

    if (reader->headers_done) {
        return 0; /* trailers are dropped */
    }
    fields_add_name(&reader->fields, at, len);
    if (reader->fields.bytes > READER_HEADER_MAX) {
        return refuse(reader, STATUS_FIELDS_LARGE);
    }
    return 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    struct reader *reader = reader_of(parser);

    if (reader->headers_done) {
        return 0;
    }
    fields_add_value(&reader->fields, at, len);
    if (reader->fields.bytes > READER_HEADER_MAX) {
        return refuse(reader, STATUS_FIELDS_LARGE);
    }
    return 0;
}

/* Returns an error status for an unsupported version or method and for a
 * missing, repeated or invalid Host or Idempotency-Key; 0 otherwise. */
static unsigned
check_fields(const struct reader *reader)
{
    const struct fields *fields = &reader->fields;
    const http_parser *parser = &reader->parser;
    const char *key = fields_get(fields, "Idempotency-Key");

    if (parser->http_major != 1) {
        return STATUS_VERSION;
    }
    if (parser->method == HTTP_CONNECT) {
        return STATUS_NOT_IMPLEMENTED;
    }
    size_t hosts = fields_count(fields, "Host");
    if (hosts > 1 || (hosts == 0 && parser->http_minor > 0)) {
        return STATUS_BAD_REQUEST;
    }
    if (key != NULL && (fields_count(fields, "Idempotency-Key") > 1 ||
                        key[0] == '\0' || strlen(key) > READER_KEY_MAX)) {
        return STATUS_BAD_REQUEST;
    }
    return 0;
}

static int
on_headers(http_parser *parser)
{
    struct reader *reader = reader_of(parser);
    const char *expect = fields_get(&reader->fields, "Expect");
    unsigned status = check_fields(reader);

    reader->headers_done = true;
    parser->upgrade = 0; /* Upgrade is not supported */
    if (status != 0) {
        return refuse(reader, status);
    }
    if (parser->content_length != UINT64_MAX &&
        parser->content_length > reader->body_max) {
        return refuse(reader, STATUS_TOO_LARGE);
    }
    if (expect != NULL) {
        if (g_ascii_strcasecmp(expect, "100-continue") != 0) {
            return refuse(reader, STATUS_EXPECTATION);
        }
        reader->owner->ops->on_continue(reader->owner);
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct reader *reader = reader_of(parser);

    if (reader->body == NULL) {
        reader->body = g_byte_array_new();
    }
    if (len > reader->body_max - reader->body->len) {
        return refuse(reader, STATUS_TOO_LARGE);
    }
    g_byte_array_append(reader->body, (const guint8 *)at, (guint)len);
    return 0;
}

static bool
method_idempotent(unsigned method)
{
    return method == HTTP_GET || method == HTTP_HEAD || method == HTTP_PUT ||
           method == HTTP_DELETE || method == HTTP_OPTIONS ||
           method == HTTP_TRACE;
}

static uint64_t
fingerprint_of(const struct reader *reader)
{
    const GByteArray *body = reader->body;
    uint64_t target = hash_bytes(reader->target->str, reader->target->len, 0);
    uint64_t content = body == NULL ? 0 : hash_bytes(body->data, body->len, 0);

    return hash_pair(hash_pair(reader->parser.method, target), content);
}

static void
read_key(const struct reader *reader, struct reader_request *request)
{
    const char *key = fields_get(&reader->fields, "Idempotency-Key");

    if (key == NULL) {
        return;
    }
    request->keyed = true;
    request->key_hash[0] = hash_bytes(key, strlen(key), KEY_SEED_FIRST);
    request->key_hash[1] = hash_bytes(key, strlen(key), KEY_SEED_SECOND);
    request->fingerprint = fingerprint_of(reader);
}

/* Returns 0 for a missing or invalid field: the service's deadline applies. */
static uint32_t
read_timeout(const struct reader *reader)
{
    const char *value = fields_get(&reader->fields, "Request-Timeout-Ms");
    char *end;

    if (value == NULL || !g_ascii_isdigit(value[0])) {
        return 0;
    }
    errno = 0;
    unsigned long ms = strtoul(value, &end, 10);
    if (errno != 0 || *end != '\0' || ms > READER_TIMEOUT_MS_MAX) {
        return 0;
    }
    return (uint32_t)ms;
}

static void
append_string(GByteArray *out, const char *string)
{
    g_byte_array_append(out, (const guint8 *)string, (guint)strlen(string));
}

static GByteArray *
write_request(const struct reader *reader)
{
    GByteArray *out = g_byte_array_new();
    const GByteArray *body = reader->body;
    const http_parser *parser = &reader->parser;
    bool has_body =
        body != NULL || fields_get(&reader->fields, "Content-Length") != NULL;

    append_string(out, http_method_str((enum http_method)parser->method));
    append_string(out, " ");
    g_byte_array_append(out, (const guint8 *)reader->target->str,
                        (guint)reader->target->len);
    append_string(out, " HTTP/1.1\r\n");
    fields_write(&reader->fields, not_copied, out);
    if (has_body) {
        char line[48];
        g_snprintf(line, sizeof(line), "Content-Length: %u\r\n",
                   body == NULL ? 0 : body->len);
        append_string(out, line);
    }
    append_string(out, "Via: 1.1 swiftarch\r\n\r\n");
    if (body != NULL) {
        g_byte_array_append(out, body->data, body->len);
    }
    return out;
}

static int
on_complete(http_parser *parser)
{
    struct reader *reader = reader_of(parser);
    const char *trace = fields_get(&reader->fields, "traceparent");
    struct reader_request request = {
        .idempotent = method_idempotent(parser->method),
        .keep_alive = http_should_keep_alive(parser) != 0,
        .urgency = reader_urgency(fields_get(&reader->fields, "Priority")),
        .timeout_ms = read_timeout(reader),
    };

    read_key(reader, &request);
    if (trace != NULL) {
        g_strlcpy(request.traceparent, trace, sizeof(request.traceparent));
    }
    request.http = write_request(reader);
    reader_reset(reader);
    reader->owner->ops->on_request(reader->owner, &request);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
reader_init(struct reader *reader, struct reader_owner *owner, size_t body_max)
{
    *reader = (struct reader){.owner = owner, .body_max = body_max};
    http_parser_init(&reader->parser, HTTP_REQUEST);
    reader->parser.data = reader;
}

void
reader_finish(struct reader *reader)
{
    reader_reset(reader);
}

size_t
reader_feed(struct reader *reader, const char *data, size_t len)
{
    http_parser *parser = &reader->parser;

    if (reader->status != 0 || len == 0) {
        return 0;
    }
    if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED) {
        http_parser_pause(parser, 0);
    }
    size_t taken = http_parser_execute(parser, &parser_settings, data, len);
    enum http_errno code = HTTP_PARSER_ERRNO(parser);
    if (code == HPE_HEADER_OVERFLOW) {
        reader->status = STATUS_FIELDS_LARGE;
    }
    else if (code != HPE_OK && code != HPE_PAUSED && reader->status == 0) {
        reader->status = STATUS_BAD_REQUEST;
    }
    return taken;
}

void
reader_pause(struct reader *reader)
{
    http_parser_pause(&reader->parser, 1);
}

unsigned
reader_urgency(const char *priority)
{
    while (priority != NULL && *priority != '\0') {
        priority += strspn(priority, " \t,");
        if (priority[0] == 'u' && priority[1] == '=' && priority[2] >= '0' &&
            priority[2] <= '7' &&
            (priority[3] == '\0' || strchr(" \t,;", priority[3]) != NULL)) {
            return (unsigned)(priority[2] - '0');
        }
        priority += strcspn(priority, ",");
    }
    return READER_URGENCY_DEFAULT;
}
