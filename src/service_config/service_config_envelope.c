#include "service_config/service_config.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "service_config/service_config_check.h"
#include "service_config/service_config_diag.h"
#include "service_config/service_config_index.h"

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
read_fields(struct json_object *root, struct service_config_envelope *envelope)
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
read_history(struct json_object *root,
             struct service_config_envelope *envelope)
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
    if (count > SERVICE_CONFIG_HISTORY_MAX) {
        return -EINVAL;
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *id = json_object_array_get_idx(list, i);

        if (!json_object_is_type(id, json_type_string)) {
            return -EINVAL;
        }
        g_strlcpy(envelope->history[i], json_object_get_string(id),
                  SERVICE_CONFIG_WRITE_ID_MAX);
    }
    envelope->history_count = count;
    return 0;
}

/* Locates the config and the retired addresses. Returns the number of keys. */
static size_t
scan_members(const struct service_config_index *index,
             struct service_config_envelope *envelope)
{
    size_t keys = 0;
    uint32_t node = index->nodes[0].first;

    for (; node != 0; node = index->nodes[node].next) {
        const struct service_config_node *at = &index->nodes[node];

        keys++;
        if (service_config_index_key_is(index, node, "text")) {
            envelope->source = index->source + at->start;
            envelope->source_len = at->end - at->start;
        }
        else if (service_config_index_key_is(index, node, "retired")) {
            envelope->retired = index->source + at->start;
            envelope->retired_len = at->end - at->start;
        }
    }
    return keys;
}

/* Like scan_members(); fails when @value is not JSON or has no config. */
static int
find_members(const char *value, size_t len,
             struct service_config_envelope *envelope)
{
    struct service_config_index index;
    size_t keys;
    size_t error_at;

    if (service_config_index_init(&index, value, len, &error_at) < 0) {
        return -EINVAL;
    }
    keys = scan_members(&index, envelope);
    service_config_index_finish(&index);
    return envelope->source != NULL ? (int)keys : -EINVAL;
}

/* Reads the form that processes send each other: a config and its retired
 * addresses, without the other keys of the envelope. */
static int
read_bundle(const char *value, size_t len,
            struct service_config_envelope *envelope)
{
    int keys;

    memset(envelope, 0, sizeof(*envelope));
    if (len > SERVICE_CONFIG_SIZE_MAX ||
        !g_utf8_validate_len(value, len, NULL)) {
        return -EINVAL;
    }
    keys = find_members(value, len, envelope);
    return keys == 2 && envelope->retired != NULL ? 0 : -EINVAL;
}

static struct json_object *
parse_value(const char *value, size_t len)
{
    struct json_tokener *tok;
    struct json_object *root;

    if (len > SERVICE_CONFIG_SIZE_MAX ||
        !g_utf8_validate_len(value, len, NULL)) {
        return NULL;
    }
    tok = json_tokener_new_ex(SERVICE_CONFIG_DEPTH_MAX + 1);
    if (tok == NULL) {
        return NULL;
    }
    json_tokener_set_flags(tok, JSON_TOKENER_STRICT);
    root = json_tokener_parse_ex(tok, value, (int)len);
    json_tokener_free(tok);
    return root;
}

int
service_config_envelope_read(const char *value, size_t len,
                             struct service_config_envelope *envelope)
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
        rc = find_members(value, len, envelope);
    }
    return MIN(rc, 0);
}

static struct json_object *
history_list(const struct service_config_envelope *envelope)
{
    struct json_object *list = json_object_new_array();

    for (size_t i = 0; i < envelope->history_count; i++) {
        json_object_array_add(list,
                              json_object_new_string(envelope->history[i]));
    }
    return list;
}

char *
service_config_envelope_write(const struct service_config_envelope *envelope,
                              size_t *len)
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
    g_string_append_len(value, envelope->source, (gssize)envelope->source_len);
    g_string_append_c(value, '}');
    *len = value->len;
    return g_string_free(value, FALSE);
}

static int
check_retired(const struct service_config_envelope *envelope,
              struct service_config_diags *diags,
              struct service_config *config)
{
    struct json_object *list =
        parse_value(envelope->retired, envelope->retired_len);
    struct service_config_index index;
    size_t error_at;
    int rc = service_config_index_init(&index, envelope->retired,
                                       envelope->retired_len, &error_at);

    if (rc == 0) {
        rc = service_config_check_retired(list, &index, diags, config);
        service_config_index_finish(&index);
    }
    json_object_put(list);
    if (rc == 0 && diags->count > 0) {
        rc = -EINVAL;
    }
    return rc;
}

/* Replaces @config->source by the form that read_bundle() reads. */
static int
build_bundle(const struct service_config_envelope *envelope,
             struct service_config *config)
{
    static const char head[] = "{\"retired\":";
    static const char middle[] = ",\"text\":";
    size_t size = sizeof(head) + sizeof(middle) + envelope->retired_len +
                  config->source_len + 1;
    char *source = malloc(size);

    if (source == NULL) {
        return -ENOMEM;
    }
    g_snprintf(source, size, "%s%.*s%s%s}", head, (int)envelope->retired_len,
               envelope->retired, middle, config->source);
    free(config->source);
    config->source = source;
    config->source_len = strlen(source);
    return 0;
}

static int
add_retired(const struct service_config_envelope *envelope,
            struct service_config *config, char **report)
{
    struct service_config_diags diags;
    int rc;

    service_config_diags_init(&diags, ENVELOPE_NAME);
    rc = check_retired(envelope, &diags, config);
    if (rc == 0 && config->retired_count > 0) {
        rc = build_bundle(envelope, config);
    }
    *report = service_config_diags_finish(&diags);
    return rc;
}

/* Line numbers differ between the published value and the form sent between
 * processes, and both must parse to equal configs. */
static void
clear_lines(struct service_config *config)
{
    for (size_t i = 0; i < config->count; i++) {
        config->services[i].line = 0;
    }
    for (size_t i = 0; i < config->retired_count; i++) {
        config->retired[i].service.line = 0;
    }
}

int
service_config_parse_envelope(const char *value, size_t len, uint64_t version,
                              struct service_config **config, char **report)
{
    struct service_config_envelope envelope;
    int rc;

    if (read_bundle(value, len, &envelope) < 0 &&
        service_config_envelope_read(value, len, &envelope) < 0) {
        envelope = (struct service_config_envelope){.source = value,
                                                    .source_len = len};
    }
    rc = service_config_parse(envelope.source, envelope.source_len,
                              ENVELOPE_NAME, config, report);
    if (rc == 0 && envelope.retired != NULL) {
        rc = add_retired(&envelope, *config, report);
        if (rc < 0) {
            service_config_free(*config);
            *config = NULL;
        }
    }
    if (rc == 0) {
        clear_lines(*config);
        (*config)->version = version;
    }
    return rc;
}
