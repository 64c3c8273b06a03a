#include "text/text.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "text/text_index.h"

#define ENVELOPE_NAME "config"

static int
copy_string(struct json_object *root, const char *key, char *out, size_t size)
{
    struct json_object *value;
    const char *string;

    if (!json_object_object_get_ex(root, key, &value) ||
        !json_object_is_type(value, json_type_string)) {
        return -EINVAL;
    }
    string = json_object_get_string(value);
    if (string[0] == '\0' || strlen(string) >= size) {
        return -EINVAL;
    }
    g_strlcpy(out, string, size);
    return 0;
}

static int
read_fields(struct json_object *root, struct text_envelope *envelope)
{
    struct json_object *written;

    if (!json_object_is_type(root, json_type_object) ||
        copy_string(root, "write_id", envelope->write_id,
                    sizeof(envelope->write_id)) < 0 ||
        copy_string(root, "operator", envelope->operator,
                    sizeof(envelope->operator)) < 0 ||
        !json_object_object_get_ex(root, "written_ms", &written) ||
        !json_object_is_type(written, json_type_int)) {
        return -EINVAL;
    }
    envelope->written_ms = json_object_get_uint64(written);
    return 0;
}

/* The text inside the value, byte for byte as the operator wrote it. */
static int
find_text(const char *value, size_t len, struct text_envelope *envelope)
{
    struct text_index index;
    uint32_t node;
    size_t bad;

    if (text_index_init(&index, value, len, &bad) < 0) {
        return -EINVAL;
    }
    node = text_index_child(&index, 0, "text");
    if (node != 0) {
        envelope->text = value + index.nodes[node].start;
        envelope->text_len = index.nodes[node].end - index.nodes[node].start;
    }
    text_index_finish(&index);
    return node != 0 ? 0 : -EINVAL;
}

static struct json_object *
parse_value(const char *value, size_t len)
{
    struct json_tokener *tok;
    struct json_object *root;

    if (len > TEXT_SIZE_MAX || !g_utf8_validate_len(value, len, NULL)) {
        return NULL;
    }
    tok = json_tokener_new_ex(TEXT_DEPTH_MAX + 1);
    if (tok == NULL) {
        return NULL;
    }
    json_tokener_set_flags(tok, JSON_TOKENER_STRICT);
    root = json_tokener_parse_ex(tok, value, (int)len);
    json_tokener_free(tok);
    return root;
}

int
text_envelope_read(const char *value, size_t len,
                   struct text_envelope *envelope)
{
    struct json_object *root = parse_value(value, len);
    int rc;

    memset(envelope, 0, sizeof(*envelope));
    if (root == NULL) {
        return -EINVAL;
    }
    rc = read_fields(root, envelope);
    json_object_put(root);
    if (rc == 0) {
        rc = find_text(value, len, envelope);
    }
    return rc;
}

char *
text_envelope_write(const struct text_envelope *envelope, size_t *len)
{
    struct json_object *who = json_object_new_string(envelope->operator);
    GString *value = g_string_new(NULL);

    g_string_append_printf(
        value,
        "{\"write_id\":\"%s\",\"operator\":%s,\"written_ms\":%" PRIu64
        ",\"text\":",
        envelope->write_id,
        json_object_to_json_string_ext(who, JSON_C_TO_STRING_PLAIN),
        envelope->written_ms);
    g_string_append_len(value, envelope->text, (gssize)envelope->text_len);
    g_string_append_c(value, '}');
    json_object_put(who);
    *len = value->len;
    return g_string_free(value, FALSE);
}

int
text_parse_envelope(const char *value, size_t len, uint64_t version,
                    struct text **text, char **report)
{
    struct text_envelope envelope;
    int rc;

    if (text_envelope_read(value, len, &envelope) < 0) {
        envelope.text = value;
        envelope.text_len = len;
    }
    rc = text_parse(envelope.text, envelope.text_len, ENVELOPE_NAME, text,
                    report);
    if (rc == 0) {
        (*text)->version = version;
    }
    return rc;
}
