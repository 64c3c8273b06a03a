#include "agent/answer_reader.h"

#include <stdint.h>
#include <string.h>

enum {
    STATUS_FINAL_MIN = 200,
    STATUS_NO_CONTENT = 204,
    STATUS_NOT_MODIFIED = 304,
    STATUS_UNAVAILABLE = 503
};

/* Results of on_headers() for http_parser. */
enum { HEADERS_OK = 0, HEADERS_NO_BODY = 1 };

static struct answer_reader *
reader_of(http_parser *parser)
{
    return parser->data;
}

static int
fail(struct answer_reader *reader)
{
    reader->failed = true;
    return -1;
}

static int
on_begin(http_parser *parser)
{
    struct answer_reader *reader = reader_of(parser);

    fields_clear(&reader->fields);
    g_string_truncate(reader->phrase, 0);
    g_byte_array_set_size(reader->body, 0);
    return 0;
}

static int
on_status(http_parser *parser, const char *at, size_t len)
{
    struct answer_reader *reader = reader_of(parser);

    g_string_append_len(reader->phrase, at, (gssize)len);
    return reader->phrase->len > ANSWER_HEADER_MAX ? fail(reader) : 0;
}

static int
on_field(http_parser *parser, const char *at, size_t len)
{
    struct answer_reader *reader = reader_of(parser);

    fields_add_name(&reader->fields, at, len);
    return reader->fields.bytes > ANSWER_HEADER_MAX ? fail(reader) : 0;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    struct answer_reader *reader = reader_of(parser);

    fields_add_value(&reader->fields, at, len);
    return reader->fields.bytes > ANSWER_HEADER_MAX ? fail(reader) : 0;
}

static bool
without_body(const struct answer_reader *reader)
{
    unsigned status = reader->parser.status_code;

    return reader->head || status < STATUS_FINAL_MIN ||
           status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
}

static int
on_headers(http_parser *parser)
{
    struct answer_reader *reader = reader_of(parser);

    if (without_body(reader)) {
        return HEADERS_NO_BODY;
    }
    bool framed = (parser->flags & F_CHUNKED) != 0 ||
                  parser->content_length != UINT64_MAX;
    if (!framed || parser->upgrade) {
        fail(reader);
        return -1;
    }
    if (parser->content_length != UINT64_MAX &&
        parser->content_length > reader->body_max) {
        fail(reader);
        return -1;
    }
    return HEADERS_OK;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct answer_reader *reader = reader_of(parser);

    if (len > reader->body_max - reader->body->len) {
        return fail(reader);
    }
    g_byte_array_append(reader->body, (const guint8 *)at, (guint)len);
    return 0;
}

static int
on_complete(http_parser *parser)
{
    struct answer_reader *reader = reader_of(parser);

    if (parser->status_code < STATUS_FINAL_MIN) {
        return 0; /* interim answer; the final one follows */
    }
    reader->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_status = on_status,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
answer_reader_init(struct answer_reader *reader, bool head, size_t body_max)
{
    *reader = (struct answer_reader){.head = head, .body_max = body_max};
    http_parser_init(&reader->parser, HTTP_RESPONSE);
    reader->parser.data = reader;
    reader->phrase = g_string_new(NULL);
    reader->body = g_byte_array_new();
}

void
answer_reader_finish(struct answer_reader *reader)
{
    fields_clear(&reader->fields);
    g_string_free(reader->phrase, TRUE);
    g_byte_array_unref(reader->body);
}

void
answer_reader_feed(struct answer_reader *reader, const char *data, size_t len)
{
    if (reader->complete || reader->failed || len == 0) {
        return;
    }
    reader->started = true;
    http_parser_execute(&reader->parser, &parser_settings, data, len);
    if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK && !reader->complete) {
        reader->failed = true;
    }
}

bool
answer_reader_refused(const struct answer_reader *reader)
{
    return reader->complete &&
           reader->parser.status_code == STATUS_UNAVAILABLE &&
           fields_get(&reader->fields, "Retry-After") != NULL;
}

static void
append_string(GByteArray *out, const char *string)
{
    g_byte_array_append(out, (const guint8 *)string, (guint)strlen(string));
}

static void
append_length(const struct answer_reader *reader, GByteArray *out)
{
    const char *length = fields_get(&reader->fields, "Content-Length");
    char line[64];

    if (!without_body(reader)) {
        g_snprintf(line, sizeof(line), "Content-Length: %u\r\n",
                   reader->body->len);
        append_string(out, line);
    }
    else if (length != NULL && reader->head) {
        append_string(out, "Content-Length: ");
        append_string(out, length);
        append_string(out, "\r\n");
    }
}

GByteArray *
answer_reader_take(const struct answer_reader *reader)
{
    /* Fields that only agents set; those of an upstream are dropped. */
    static const char *const agent_fields[] = {"Swiftarch-Outcome",
                                               "Idempotency-Replayed", NULL};
    GByteArray *out = g_byte_array_new();
    char start[32];

    g_snprintf(start, sizeof(start), "HTTP/1.1 %03u ",
               reader->parser.status_code);
    append_string(out, start);
    g_byte_array_append(out, (const guint8 *)reader->phrase->str,
                        (guint)reader->phrase->len);
    append_string(out, "\r\n");
    fields_write(&reader->fields, agent_fields, out);
    append_length(reader, out);
    append_string(out, "\r\n");
    g_byte_array_append(out, reader->body->data, reader->body->len);
    return out;
}
