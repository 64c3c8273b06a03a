#include "text/text_fault.h"

#include <stdio.h>
#include <string.h>

void
text_faults_init(struct text_faults *faults, const char *name)
{
    *faults = (struct text_faults){
        .name = name,
        .lines = g_string_new(NULL),
    };
}

void
text_faults_add(struct text_faults *faults, uint32_t line, const char *key,
                const char *fmt, ...)
{
    va_list args;

    if (++faults->count > TEXT_FAULTS_MAX) {
        return;
    }
    g_string_append_printf(faults->lines, "%s:%u: ", faults->name, line);
    if (key != NULL) {
        g_string_append_printf(faults->lines, "%s: ", key);
    }
    va_start(args, fmt);
    g_string_append_vprintf(faults->lines, fmt, args);
    va_end(args);
    g_string_append_c(faults->lines, '\n');
}

char *
text_faults_finish(struct text_faults *faults)
{
    if (faults->count > TEXT_FAULTS_MAX) {
        g_string_append_printf(faults->lines, "%s: and %zu more faults\n",
                               faults->name, faults->count - TEXT_FAULTS_MAX);
    }
    return g_string_free(faults->lines, faults->count == 0);
}

const char *
text_found(struct json_object *value, char *buf)
{
    const char *json;
    const char *end;

    switch (json_object_get_type(value)) {
    case json_type_null:
        return "null";
    case json_type_object:
        return "an object";
    case json_type_array:
        return "a list";
    default:
        break;
    }
    json = json_object_to_json_string_ext(
        value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
    if (strlen(json) < TEXT_FOUND_MAX) {
        g_strlcpy(buf, json, TEXT_FOUND_MAX);
        return buf;
    }
    end = g_utf8_find_prev_char(json, json + TEXT_FOUND_MAX - 8);
    snprintf(buf, TEXT_FOUND_MAX, "%.*s...\"", (int)(end - json), json);
    return buf;
}
