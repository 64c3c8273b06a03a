#include "text/text.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "text/text_check.h"
#include "text/text_fault.h"
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

/* Returns how many keys the value has. */
static size_t
find_parts_at(const struct text_index *index, struct text_envelope *envelope)
{
    size_t keys = 0;
    uint32_t node = index->nodes[0].first;

    for (; node != 0; node = index->nodes[node].next) {
        const struct text_node *at = &index->nodes[node];

        keys++;
        if (text_index_is(index, node, "text")) {
            envelope->text = index->source + at->start;
            envelope->text_len = at->end - at->start;
        }
        else if (text_index_is(index, node, "retired")) {
            envelope->retired = index->source + at->start;
            envelope->retired_len = at->end - at->start;
        }
    }
    return keys;
}

/* The text inside the value, byte for byte as the operator wrote it, and
 * the retired addresses. Returns how many keys the value has. */
static int
find_parts(const char *value, size_t len, struct text_envelope *envelope)
{
    struct text_index index;
    size_t keys;
    size_t bad;

    if (text_index_init(&index, value, len, &bad) < 0) {
        return -EINVAL;
    }
    keys = find_parts_at(&index, envelope);
    text_index_finish(&index);
    return envelope->text != NULL ? (int)keys : -EINVAL;
}

/* What processes pass on: a text and retired addresses, and nothing else. */
static int
read_source(const char *value, size_t len, struct text_envelope *envelope)
{
    int keys;

    memset(envelope, 0, sizeof(*envelope));
    if (len > TEXT_SIZE_MAX || !g_utf8_validate_len(value, len, NULL)) {
        return -EINVAL;
    }
    keys = find_parts(value, len, envelope);
    return keys == 2 && envelope->retired != NULL ? 0 : -EINVAL;
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
        rc = find_parts(value, len, envelope);
    }
    return MIN(rc, 0);
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
    if (envelope->retired != NULL) {
        g_string_append(value, ",\"retired\":");
        g_string_append_len(value, envelope->retired,
                            (gssize)envelope->retired_len);
    }
    g_string_append(value, ",\"text\":");
    g_string_append_len(value, envelope->text, (gssize)envelope->text_len);
    g_string_append_c(value, '}');
    *len = value->len;
    return g_string_free(value, FALSE);
}

static int
check_retired(const struct text_envelope *envelope, struct text_faults *faults,
              struct text *text)
{
    struct json_object *list =
        parse_value(envelope->retired, envelope->retired_len);
    struct text_index index;
    size_t bad;
    int rc = text_index_init(&index, envelope->retired, envelope->retired_len,
                             &bad);

    if (rc == 0) {
        rc = text_check_retired(list, &index, faults, text);
        text_index_finish(&index);
    }
    json_object_put(list);
    if (rc == 0 && faults->count > 0) {
        rc = -EINVAL;
    }
    return rc;
}

/* What read_source() reads. */
static int
make_source(const struct text_envelope *envelope, struct text *text)
{
    static const char head[] = "{\"retired\":";
    static const char middle[] = ",\"text\":";
    size_t size = sizeof(head) + sizeof(middle) + envelope->retired_len +
                  text->source_len + 1;
    char *source = malloc(size);

    if (source == NULL) {
        return -ENOMEM;
    }
    g_snprintf(source, size, "%s%.*s%s%s}", head, (int)envelope->retired_len,
               envelope->retired, middle, text->source);
    free(text->source);
    text->source = source;
    text->source_len = strlen(source);
    return 0;
}

static int
add_retired(const struct text_envelope *envelope, struct text *text,
            char **report)
{
    struct text_faults faults;
    int rc;

    text_faults_init(&faults, ENVELOPE_NAME);
    rc = check_retired(envelope, &faults, text);
    if (rc == 0 && text->retired_count > 0) {
        rc = make_source(envelope, text);
    }
    *report = text_faults_finish(&faults);
    return rc;
}

/* Lines of a file say nothing here, and what the platform holds and what a
 * process passes on are to be equal. */
static void
forget_lines(struct text *text)
{
    for (size_t i = 0; i < text->count; i++) {
        text->services[i].line = 0;
    }
    for (size_t i = 0; i < text->retired_count; i++) {
        text->retired[i].service.line = 0;
    }
}

int
text_parse_envelope(const char *value, size_t len, uint64_t version,
                    struct text **text, char **report)
{
    struct text_envelope envelope;
    int rc;

    if (read_source(value, len, &envelope) < 0 &&
        text_envelope_read(value, len, &envelope) < 0) {
        envelope = (struct text_envelope){.text = value, .text_len = len};
    }
    rc = text_parse(envelope.text, envelope.text_len, ENVELOPE_NAME, text,
                    report);
    if (rc == 0 && envelope.retired != NULL) {
        rc = add_retired(&envelope, *text, report);
        if (rc < 0) {
            text_free(*text);
            *text = NULL;
        }
    }
    if (rc == 0) {
        forget_lines(*text);
        (*text)->version = version;
    }
    return rc;
}
