#include "text/text_fault.h"

#include <stdio.h>
#include <string.h>

static void
clear_fault(gpointer data)
{
    struct text_fault *fault = data;

    g_free(fault->sentence);
}

static gint
by_line(gconstpointer a, gconstpointer b)
{
    const struct text_fault *left = a;
    const struct text_fault *right = b;

    if (left->line != right->line) {
        return left->line < right->line ? -1 : 1;
    }
    return left->order < right->order ? -1 : 1;
}

void
text_faults_init(struct text_faults *faults, const char *name)
{
    *faults = (struct text_faults){
        .name = name,
        .lines = g_array_new(FALSE, FALSE, sizeof(struct text_fault)),
    };
    g_array_set_clear_func(faults->lines, clear_fault);
}

void
text_faults_add(struct text_faults *faults, uint32_t line, const char *key,
                const char *fmt, ...)
{
    struct text_fault fault = {.line = line};
    char *what;
    va_list args;

    if (++faults->count > TEXT_FAULTS_MAX) {
        return;
    }
    va_start(args, fmt);
    what = g_strdup_vprintf(fmt, args);
    va_end(args);
    fault.order = (uint32_t)faults->count;
    fault.sentence = key != NULL && key[0] != '\0'
                         ? g_strdup_printf("%s: %s", key, what)
                         : g_strdup(what);
    g_free(what);
    g_array_append_val(faults->lines, fault);
}

char *
text_faults_finish(struct text_faults *faults)
{
    GString *report = g_string_new(NULL);

    g_array_sort(faults->lines, by_line);
    for (guint i = 0; i < faults->lines->len; i++) {
        const struct text_fault *fault =
            &g_array_index(faults->lines, struct text_fault, i);

        g_string_append_printf(report, "%s:%u: %s\n", faults->name,
                               fault->line, fault->sentence);
    }
    if (faults->count > TEXT_FAULTS_MAX) {
        g_string_append_printf(report, "%s: and %zu more faults\n",
                               faults->name, faults->count - TEXT_FAULTS_MAX);
    }
    g_array_free(faults->lines, TRUE);
    return g_string_free(report, faults->count == 0);
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
