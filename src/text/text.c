#include "text/text.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "text/text_check.h"
#include "text/text_fault.h"
#include "text/text_index.h"

/* White space around the text isn't published, so it isn't kept. */
static int
keep_source(struct text *text, const char *source, size_t len)
{
    while (len > 0 && g_ascii_isspace(source[len - 1])) {
        len--;
    }
    while (len > 0 && g_ascii_isspace(*source)) {
        source++;
        len--;
    }
    text->source = malloc(len + 1);
    if (text->source == NULL) {
        return -ENOMEM;
    }
    memcpy(text->source, source, len);
    text->source[len] = '\0';
    text->source_len = len;
    return 0;
}

/* Size and encoding, which must hold before json-c sees the source. */
static int
check_raw(const char *source, size_t len, struct text_faults *faults)
{
    const char *end;

    if (len > TEXT_SIZE_MAX - TEXT_ENVELOPE_MAX) {
        text_faults_add(faults, 1, NULL,
                        "found %zu bytes, expected at most %u (a megabyte "
                        "with the envelope it is published in)",
                        len, TEXT_SIZE_MAX - TEXT_ENVELOPE_MAX);
        return -EFBIG;
    }
    if (!g_utf8_validate_len(source, len, &end)) {
        text_faults_add(faults, text_line_of(source, (size_t)(end - source)),
                        NULL, "found the byte 0x%02x, expected UTF-8",
                        (unsigned char)*end);
        return -EINVAL;
    }
    return 0;
}

static void
syntax_fault(const char *source, size_t len, size_t at, const char *what,
             struct text_faults *faults)
{
    uint32_t line = text_line_of(source, at < len ? at : len);

    if (at >= len) {
        text_faults_add(faults, line, NULL,
                        "found the end of the file, expected more JSON");
        return;
    }
    if ((unsigned char)source[at] < ' ') {
        text_faults_add(faults, line, NULL,
                        "found the byte 0x%02x, expected JSON (%s)",
                        (unsigned char)source[at], what);
        return;
    }
    text_faults_add(faults, line, NULL, "found '%.*s', expected JSON (%s)",
                    (int)(g_utf8_next_char(source + at) - (source + at)),
                    source + at, what);
}

static struct json_object *
parse_json(const char *source, size_t len, struct text_faults *faults)
{
    struct json_tokener *tok = json_tokener_new_ex(TEXT_DEPTH_MAX);
    struct json_object *root;
    enum json_tokener_error error;

    if (tok == NULL) {
        return NULL;
    }
    json_tokener_set_flags(tok, JSON_TOKENER_STRICT);
    root = json_tokener_parse_ex(tok, source, (int)len);
    error = json_tokener_get_error(tok);
    if (error == json_tokener_continue) {
        root = json_tokener_parse_ex(tok, "", 1);
        error = json_tokener_get_error(tok);
    }
    if (error != json_tokener_success) {
        syntax_fault(source, len,
                     error == json_tokener_error_parse_eof
                         ? len
                         : json_tokener_get_parse_end(tok),
                     json_tokener_error_desc(error), faults);
        json_object_put(root);
        root = NULL;
    }
    json_tokener_free(tok);
    return root;
}

static int
check_json(struct json_object *root, const char *source, size_t len,
           struct text_faults *faults, struct text *text)
{
    struct text_index index;
    size_t bad;
    int rc = text_index_init(&index, source, len, &bad);

    if (rc == -EINVAL) {
        syntax_fault(source, len, bad, "RFC 8259", faults);
    }
    if (rc < 0) {
        return rc;
    }
    rc = text_check_services(root, &index, faults, text);
    text_index_finish(&index);
    return rc;
}

static int
parse(const char *source, size_t len, struct text_faults *faults,
      struct text *text)
{
    struct json_object *root;
    int rc = check_raw(source, len, faults);

    if (rc < 0) {
        return rc;
    }
    root = parse_json(source, len, faults);
    if (root == NULL) {
        if (faults->count == 0) {
            text_faults_add(faults, 1, NULL, "found null, expected an object");
        }
        return -EINVAL;
    }
    rc = check_json(root, source, len, faults, text);
    json_object_put(root);
    if (rc == 0 && faults->count > 0) {
        rc = -EINVAL;
    }
    return rc;
}

int
text_parse(const char *source, size_t len, const char *name,
           struct text **text, char **report)
{
    struct text_faults faults;
    struct text *parsed = calloc(1, sizeof(*parsed));
    int rc = -ENOMEM;

    *text = NULL;
    text_faults_init(&faults, name);
    if (parsed != NULL) {
        rc = parse(source, len, &faults, parsed);
    }
    if (rc == 0) {
        rc = keep_source(parsed, source, len);
    }
    if (rc == 0) {
        rc = text_lookup_build(parsed);
    }
    if (rc == 0) {
        *text = parsed;
    }
    else {
        text_free(parsed);
    }
    *report = text_faults_finish(&faults);
    return rc;
}

void
text_free(struct text *text)
{
    if (text == NULL) {
        return;
    }
    free(text->services);
    free(text->retired);
    free(text->slots);
    free(text->source);
    free(text);
}
