#include "text/text_value.h"

#include <inttypes.h>
#include <string.h>

const char *
text_value_bytes(struct json_object *value)
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
text_value_line(const struct text_value *check)
{
    return check->index->nodes[check->node].line;
}

void
text_value_fault(const struct text_value *check, const char *expected)
{
    char found[TEXT_FOUND_MAX];

    text_faults_add(check->faults, text_value_line(check), check->path,
                    "found %s, expected %s", text_found(check->value, found),
                    expected);
}

static int
key_place(const struct text_index *index, uint32_t node,
          const char *const *keys)
{
    for (int i = 0; keys[i] != NULL; i++) {
        if (text_index_is(index, node, keys[i])) {
            return i;
        }
    }
    return -1;
}

static void
unknown_key(const struct text_value *check, uint32_t node,
            const char *const *keys)
{
    const struct text_node *at = &check->index->nodes[node];
    char *known = g_strjoinv(", ", (char **)keys);
    int shown = at->key_len < 40 ? (int)at->key_len : 40;
    char *key = g_strndup(check->index->source + at->key, (gsize)shown);
    char *valid = g_utf8_make_valid(key, -1);

    text_faults_add(check->faults, at->line, check->path,
                    "found the unknown key \"%s\", expected one of %s", valid,
                    known);
    g_free(valid);
    g_free(key);
    g_free(known);
}

/* Unknown and repeated keys of an object; json-c would keep the last one. */
void
text_value_check_keys(const struct text_value *check, const char *const *keys)
{
    const struct text_index *index = check->index;
    uint32_t seen = 0;
    uint32_t node = index->nodes[check->node].first;

    for (; node != 0; node = index->nodes[node].next) {
        int place = key_place(index, node, keys);

        if (place < 0) {
            unknown_key(check, node, keys);
        }
        else if (seen & 1u << place) {
            text_faults_add(
                check->faults, index->nodes[node].line, check->path,
                "found the key \"%s\" again, expected it once", keys[place]);
        }
        else {
            seen |= 1u << place;
        }
    }
}

/* The member @key of an object: false when it isn't there. */
bool
text_value_member(const struct text_value *check, const char *key,
                  struct text_value *found)
{
    const char *dot = check->path[0] != '\0' ? "." : "";

    *found = *check;
    g_snprintf(found->path, sizeof(found->path), "%s%s%s", check->path, dot,
               key);
    found->node = text_index_child(check->index, check->node, key);
    if (found->node == 0) {
        return false;
    }
    return json_object_object_get_ex(check->value, key, &found->value);
}

bool
text_value_required(const struct text_value *check, const char *key,
                    struct text_value *found)
{
    if (text_value_member(check, key, found)) {
        return true;
    }
    text_faults_add(check->faults, text_value_line(check), found->path,
                    "found no such key, expected it");
    return false;
}

bool
text_value_is_type(const struct text_value *check, enum json_type type,
                   const char *expected)
{
    if (json_object_get_type(check->value) == type) {
        return true;
    }
    text_value_fault(check, expected);
    return false;
}

/* A string, or NULL after a fault. */
const char *
text_value_string(const struct text_value *check, const char *expected)
{
    const char *string = text_value_bytes(check->value);

    if (string == NULL) {
        text_value_fault(check, expected);
    }
    return string;
}

bool
text_value_number(const struct text_value *check, uint32_t min, uint32_t max,
                  uint32_t *out)
{
    char expected[64];
    int64_t number;

    g_snprintf(expected, sizeof(expected), "a whole number from %u to %u", min,
               max);
    if (!text_value_is_type(check, json_type_int, expected)) {
        return false;
    }
    number = json_object_get_int64(check->value);
    if (number < (int64_t)min || number > (int64_t)max) {
        text_value_fault(check, expected);
        return false;
    }
    *out = (uint32_t)number;
    return true;
}
