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
        copy_string(root, "operator", envelope->author,
                    sizeof(envelope->author)) < 0 ||
        !json_object_object_get_ex(root, "written_ms", &written) ||
        !json_object_is_type(written, json_type_int)) {
        return -EINVAL;
    }
    envelope->written_ms = json_object_get_uint64(written);
    return 0;
}

static int
read_history(struct json_object *root, struct text_envelope *envelope)
{
    struct json_object *list;
    size_t count;

    if (!json_object_object_get_ex(root, "history", &list)) {
        return 0;
    }
    if (!json_object_is_type(list, json_type_array)) {
        return -EINVAL;
    }
    count = json_object_array_length(list);
    if (count > TEXT_HISTORY_MAX) {
        return -EINVAL;
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *id = json_object_array_get_idx(list, i);

        if (!json_object_is_type(id, json_type_string)) {
            return -EINVAL;
        }
        g_strlcpy(envelope->history[i], json_object_get_string(id),
                  TEXT_WRITE_ID_MAX);
    }
    envelope->history_count = count;
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
    if (rc == 0) {
        rc = read_history(root, envelope);
    }
    json_object_put(root);
    if (rc == 0) {
        rc = find_text(value, len, envelope);
    }
    return rc;
}

static struct json_object *
history_list(const struct text_envelope *envelope)
{
    struct json_object *list = json_object_new_array();

    for (size_t i = 0; i < envelope->history_count; i++) {
        json_object_array_add(list,
                              json_object_new_string(envelope->history[i]));
    }
    return list;
}

char *
text_envelope_write(const struct text_envelope *envelope, size_t *len)
{
    struct json_object *head = json_object_new_object();
    GString *value;

    json_object_object_add(head, "write_id",
                           json_object_new_string(envelope->write_id));
    json_object_object_add(head, "operator",
                           json_object_new_string(envelope->author));
    json_object_object_add(head, "written_ms",
                           json_object_new_uint64(envelope->written_ms));
    json_object_object_add(head, "history", history_list(envelope));
    value = g_string_new(
        json_object_to_json_string_ext(head, JSON_C_TO_STRING_PLAIN));
    json_object_put(head);
    g_string_truncate(value, value->len - 1);
    g_string_append(value, ",\"text\":");
    g_string_append_len(value, envelope->text, (gssize)envelope->text_len);
    g_string_append_c(value, '}');
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
