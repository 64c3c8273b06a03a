#include "service_config/service_config_value.h"

#include <inttypes.h>
#include <string.h>

const char *
service_config_value_bytes(struct json_object *value)
{
    const char *string;

    if (!json_object_is_type(value, json_type_string)) {
        return NULL;
    }
    string = json_object_get_string(value);
    return strlen(string) == (size_t)json_object_get_string_len(value) ? string
                                                                       : NULL;
}

uint32_t
service_config_value_line(const struct service_config_value *field)
{
    return field->index->nodes[field->node].line;
}

void
service_config_value_add_diag(const struct service_config_value *field,
                              const char *expected)
{
    char found[SERVICE_CONFIG_DESCRIPTION_MAX];

    service_config_diags_add(
        field->diags, service_config_value_line(field), field->path,
        "found %s, expected %s",
        service_config_describe_value(field->value, found), expected);
}

static int
find_key(const struct service_config_index *index, uint32_t node,
         const char *const *keys)
{
    for (int i = 0; keys[i] != NULL; i++) {
        if (service_config_index_key_is(index, node, keys[i])) {
            return i;
        }
    }
    return -1;
}

static void
report_unknown_key(const struct service_config_value *field, uint32_t node,
                   const char *const *keys)
{
    const struct service_config_node *at = &field->index->nodes[node];
    char *allowed = g_strjoinv(", ", (char **)keys);
    int shown = at->key_len < 40 ? (int)at->key_len : 40;
    char *key = g_strndup(field->index->source + at->key, (gsize)shown);
    char *valid = g_utf8_make_valid(key, -1);

    service_config_diags_add(
        field->diags, at->line, field->path,
        "found the unknown key \"%s\", expected one of %s", valid, allowed);
    g_free(valid);
    g_free(key);
    g_free(allowed);
}

/* Reports repeated keys, too: json-c silently uses the last one. */
void
service_config_value_check_keys(const struct service_config_value *field,
                                const char *const *keys)
{
    const struct service_config_index *index = field->index;
    uint32_t seen = 0;
    uint32_t node = index->nodes[field->node].first;

    for (; node != 0; node = index->nodes[node].next) {
        int key = find_key(index, node, keys);

        if (key < 0) {
            report_unknown_key(field, node, keys);
        }
        else if (seen & 1u << key) {
            service_config_diags_add(
                field->diags, index->nodes[node].line, field->path,
                "found the key \"%s\" again, expected it once", keys[key]);
        }
        else {
            seen |= 1u << key;
        }
    }
}

bool
service_config_value_member(const struct service_config_value *field,
                            const char *key,
                            struct service_config_value *found)
{
    const char *dot = field->path[0] != '\0' ? "." : "";

    *found = *field;
    g_snprintf(found->path, sizeof(found->path), "%s%s%s", field->path, dot,
               key);
    found->node = service_config_index_child(field->index, field->node, key);
    if (found->node == 0) {
        return false;
    }
    return json_object_object_get_ex(field->value, key, &found->value);
}

bool
service_config_value_required(const struct service_config_value *field,
                              const char *key,
                              struct service_config_value *found)
{
    if (service_config_value_member(field, key, found)) {
        return true;
    }
    service_config_diags_add(field->diags, service_config_value_line(field),
                             found->path, "found no such key, expected it");
    return false;
}

bool
service_config_value_is_type(const struct service_config_value *field,
                             enum json_type type, const char *expected)
{
    if (json_object_get_type(field->value) == type) {
        return true;
    }
    service_config_value_add_diag(field, expected);
    return false;
}

const char *
service_config_value_string(const struct service_config_value *field,
                            const char *expected)
{
    const char *string = service_config_value_bytes(field->value);

    if (string == NULL) {
        service_config_value_add_diag(field, expected);
    }
    return string;
}

bool
service_config_value_number(const struct service_config_value *field,
                            uint32_t min, uint32_t max, uint32_t *out)
{
    char expected[64];
    int64_t number;

    g_snprintf(expected, sizeof(expected), "a whole number from %u to %u", min,
               max);
    if (!service_config_value_is_type(field, json_type_int, expected)) {
        return false;
    }
    number = json_object_get_int64(field->value);
    if (number < (int64_t)min || number > (int64_t)max) {
        service_config_value_add_diag(field, expected);
        return false;
    }
    *out = (uint32_t)number;
    return true;
}
