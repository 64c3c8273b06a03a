#include "service_config/service_config_diag.h"

#include <stdio.h>
#include <string.h>

static void
clear_diag(gpointer data)
{
    struct service_config_diag *diag = data;

    g_free(diag->message);
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    const struct service_config_diag *left = a;
    const struct service_config_diag *right = b;

    if (left->line != right->line) {
        return left->line < right->line ? -1 : 1;
    }
    return left->order < right->order ? -1 : 1;
}

void
service_config_diags_init(struct service_config_diags *diags, const char *name)
{
    *diags = (struct service_config_diags){
        .name = name,
        .lines = g_array_new(FALSE, FALSE, sizeof(struct service_config_diag)),
    };
    g_array_set_clear_func(diags->lines, clear_diag);
}

void
service_config_diags_add(struct service_config_diags *diags, uint32_t line,
                         const char *key, const char *fmt, ...)
{
    struct service_config_diag diag = {.line = line};
    char *what;
    va_list args;

    if (++diags->count > SERVICE_CONFIG_DIAGS_MAX) {
        return;
    }
    va_start(args, fmt);
    what = g_strdup_vprintf(fmt, args);
    va_end(args);
    diag.order = (uint32_t)diags->count;
    diag.message = key != NULL && key[0] != '\0'
                       ? g_strdup_printf("%s: %s", key, what)
                       : g_strdup(what);
    g_free(what);
    g_array_append_val(diags->lines, diag);
}

char *
service_config_diags_finish(struct service_config_diags *diags)
{
    GString *report = g_string_new(NULL);

    g_array_sort(diags->lines, compare_lines);
    for (guint i = 0; i < diags->lines->len; i++) {
        const struct service_config_diag *diag =
            &g_array_index(diags->lines, struct service_config_diag, i);

        g_string_append_printf(report, "%s:%u: %s\n", diags->name, diag->line,
                               diag->message);
    }
    if (diags->count > SERVICE_CONFIG_DIAGS_MAX) {
        g_string_append_printf(report, "%s: and %zu more errors\n",
                               diags->name,
                               diags->count - SERVICE_CONFIG_DIAGS_MAX);
    }
    g_array_free(diags->lines, TRUE);
    return g_string_free(report, diags->count == 0);
}

const char *
service_config_describe_value(struct json_object *value, char *buf)
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
    if (strlen(json) < SERVICE_CONFIG_DESCRIPTION_MAX) {
        g_strlcpy(buf, json, SERVICE_CONFIG_DESCRIPTION_MAX);
        return buf;
    }
    end =
        g_utf8_find_prev_char(json, json + SERVICE_CONFIG_DESCRIPTION_MAX - 8);
    snprintf(buf, SERVICE_CONFIG_DESCRIPTION_MAX, "%.*s...\"",
             (int)(end - json), json);
    return buf;
}
