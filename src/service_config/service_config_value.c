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
service_config_value_line(const struct service_config_value *check)
{
    return check->index->nodes[check->node].line;
}

void
service_config_value_add_diag(const struct service_config_value *check,
                              const char *expected)
{
    char found[SERVICE_CONFIG_DESCRIPTION_MAX];

    service_config_diags_add(
        check->diags, service_config_value_line(check), check->path,
        "found %s, expected %s",
        service_config_describe_value(check->value, found), expected);
}

static int
format_key_path(const struct service_config_index *index, uint32_t node,
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
unknown_key(const struct service_config_value *check, uint32_t node,
            const char *const *keys)
{
    const struct service_config_node *at = &check->index->nodes[node];
    char *known = g_strjoinv(", ", (char **)keys);
    int shown = at->key_len < 40 ? (int)at->key_len : 40;
    char *key = g_strndup(check->index->source + at->key, (gsize)shown);
    char *valid = g_utf8_make_valid(key, -1);

    service_config_diags_add(
        check->diags, at->line, check->path,
        "found the unknown key \"%s\", expected one of %s", valid, known);
    g_free(valid);
    g_free(key);
    g_free(known);
}

/* Unknown and repeated keys of an object; json-c would keep the last one. */
void
service_config_value_check_keys(const struct service_config_value *check,
                                const char *const *keys)
{
    const struct service_config_index *index = check->index;
    uint32_t seen = 0;
    uint32_t node = index->nodes[check->node].first;

    for (; node != 0; node = index->nodes[node].next) {
        int place = format_key_path(index, node, keys);

        if (place < 0) {
            unknown_key(check, node, keys);
        }
        else if (seen & 1u << place) {
            service_config_diags_add(
                check->diags, index->nodes[node].line, check->path,
                "found the key \"%s\" again, expected it once", keys[place]);
        }
        else {
            seen |= 1u << place;
        }
    }
}

/* The member @key of an object: false when it isn't there. */
bool
service_config_value_member(const struct service_config_value *check,
                            const char *key,
                            struct service_config_value *found)
{
    const char *dot = check->path[0] != '\0' ? "." : "";

    *found = *check;
    g_snprintf(found->path, sizeof(found->path), "%s%s%s", check->path, dot,
               key);
    found->node = service_config_index_child(check->index, check->node, key);
    if (found->node == 0) {
        return false;
    }
    return json_object_object_get_ex(check->value, key, &found->value);
}

bool
service_config_value_required(const struct service_config_value *check,
                              const char *key,
                              struct service_config_value *found)
{
    if (service_config_value_member(check, key, found)) {
        return true;
    }
    service_config_diags_add(check->diags, service_config_value_line(check),
                             found->path, "found no such key, expected it");
    return false;
}

bool
service_config_value_is_type(const struct service_config_value *check,
                             enum json_type type, const char *expected)
{
    if (json_object_get_type(check->value) == type) {
        return true;
    }
    service_config_value_add_diag(check, expected);
    return false;
}

/* A string, or NULL after a diag. */
const char *
service_config_value_string(const struct service_config_value *check,
                            const char *expected)
{
    const char *string = service_config_value_bytes(check->value);

    if (string == NULL) {
        service_config_value_add_diag(check, expected);
    }
    return string;
}

bool
service_config_value_number(const struct service_config_value *check,
                            uint32_t min, uint32_t max, uint32_t *out)
{
    char expected[64];
    int64_t number;

    g_snprintf(expected, sizeof(expected), "a whole number from %u to %u", min,
               max);
    if (!service_config_value_is_type(check, json_type_int, expected)) {
        return false;
    }
    number = json_object_get_int64(check->value);
    if (number < (int64_t)min || number > (int64_t)max) {
        service_config_value_add_diag(check, expected);
        return false;
    }
    *out = (uint32_t)number;
    return true;
}
