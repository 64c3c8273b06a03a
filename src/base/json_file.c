#include "base/json_file.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "base/addr.h"
#include "base/json_scan.h"

#define JSON_DEPTH_MAX 8

static unsigned
line_at(const char *text, size_t offset)
{
    unsigned line = 1;

    for (size_t i = 0; i < offset && text[i] != '\0'; i++)
        line += text[i] == '\n';
    return line;
}

/* Line of the key @name in the current scope, 0 if it is missing. */
static unsigned
line_of_key(const struct json_file *json_file, const char *name)
{
    char *path = g_strconcat(json_file->scope, name, NULL);
    struct json_scan scan;
    unsigned line = 0;

    json_scan_init(&scan, json_file->text);
    while (line == 0 && json_scan_next(&scan)) {
        if (strcmp(scan.path->str, path) == 0)
            line = scan.line;
    }
    json_scan_finish(&scan);
    g_free(path);
    return line;
}

static void
fault_start(struct json_file *json_file, unsigned line)
{
    g_string_append(json_file->report, json_file->path);
    if (line > 0)
        g_string_append_printf(json_file->report, ":%u", line);
    g_string_append(json_file->report, ": ");
    json_file->faults++;
}

void
json_file_fault(struct json_file *json_file, const char *name, const char *fmt,
                ...)
{
    va_list args;

    fault_start(json_file, line_of_key(json_file, name));
    g_string_append_printf(json_file->report, "key \"%s%s\" ",
                           json_file->scope, name);
    va_start(args, fmt);
    g_string_append_vprintf(json_file->report, fmt, args);
    va_end(args);
    g_string_append_c(json_file->report, '\n');
}

void
json_file_fault_value(struct json_file *json_file, const char *name,
                      json_object *value, const char *expected)
{
    json_file_fault(
        json_file, name, "is %s; expected %s",
        json_object_to_json_string_ext(value, JSON_C_TO_STRING_SPACED),
        expected);
}

const char *
json_file_string(struct json_file *json_file, const char *name,
                 json_object *value, const char *expected)
{
    const char *text;

    if (!json_object_is_type(value, json_type_string)) {
        json_file_fault_value(json_file, name, value, expected);
        return NULL;
    }
    text = json_object_get_string(value);
    if (strlen(text) != (size_t)json_object_get_string_len(value)) {
        json_file_fault_value(json_file, name, value,
                              "a string without a null character");
        return NULL;
    }
    return text;
}

void
json_file_store_string(struct json_file *json_file,
                       const struct json_key_rule *rule, json_object *value,
                       char *field)
{
    const char *text = json_object_get_string(value);

    if (g_strlcpy(field, text, rule->size) >= rule->size) {
        char expected[48];

        g_snprintf(expected, sizeof(expected), "at most %zu bytes",
                   rule->size - 1);
        json_file_fault_value(json_file, rule->name, value, expected);
    }
}

void
json_file_read_name(struct json_file *json_file,
                    const struct json_key_rule *rule, json_object *value,
                    void *field)
{
    const char *text =
        json_file_string(json_file, rule->name, value, "a name (string)");
    size_t len;

    if (text == NULL)
        return;
    len = strspn(text, "abcdefghijklmnopqrstuvwxyz"
                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");
    if (len == 0 || text[len] != '\0')
        json_file_fault_value(json_file, rule->name, value,
                              "a name of letters, digits, '.', '_' and '-'");
    else
        json_file_store_string(json_file, rule, value, field);
}

void
json_file_read_string(struct json_file *json_file,
                      const struct json_key_rule *rule, json_object *value,
                      void *field)
{
    if (json_file_string(json_file, rule->name, value, "a string") != NULL)
        json_file_store_string(json_file, rule, value, field);
}

void
json_file_read_addr(struct json_file *json_file,
                    const struct json_key_rule *rule, json_object *value,
                    void *field)
{
    const char *expected = "an address such as 127.0.0.1:4000";
    const char *text =
        json_file_string(json_file, rule->name, value, expected);

    if (text != NULL && addr_parse(text, field) < 0)
        json_file_fault_value(json_file, rule->name, value, expected);
}

void
json_file_read_ip(struct json_file *json_file,
                  const struct json_key_rule *rule, json_object *value,
                  void *field)
{
    const char *expected = "an address such as 10.0.0.1";
    const char *text =
        json_file_string(json_file, rule->name, value, expected);

    if (text != NULL && addr_parse_ip(text, field) < 0)
        json_file_fault_value(json_file, rule->name, value, expected);
}

void
json_file_read_unsigned(struct json_file *json_file,
                        const struct json_key_rule *rule, json_object *value,
                        void *field)
{
    int64_t number = json_object_get_int64(value);
    char expected[64];

    if (!json_object_is_type(value, json_type_int) ||
        (double)number < rule->min || (double)number > rule->max) {
        g_snprintf(expected, sizeof(expected),
                   "a whole number from %.0f to %.0f", rule->min, rule->max);
        json_file_fault_value(json_file, rule->name, value, expected);
        return;
    }
    *(unsigned *)field = (unsigned)number;
}

void
json_file_read_bool(struct json_file *json_file,
                    const struct json_key_rule *rule, json_object *value,
                    void *field)
{
    if (!json_object_is_type(value, json_type_boolean)) {
        json_file_fault_value(json_file, rule->name, value, "true or false");
        return;
    }
    *(bool *)field = json_object_get_boolean(value);
}

void
json_file_read_double(struct json_file *json_file,
                      const struct json_key_rule *rule, json_object *value,
                      void *field)
{
    double number = json_object_get_double(value);
    char expected[64];

    /* The negated comparison also rejects NaN. */
    if ((!json_object_is_type(value, json_type_int) &&
         !json_object_is_type(value, json_type_double)) ||
        !(number >= rule->min && number <= rule->max)) {
        g_snprintf(expected, sizeof(expected), "a number from %g to %g",
                   rule->min, rule->max);
        json_file_fault_value(json_file, rule->name, value, expected);
        return;
    }
    *(double *)field = number;
}

static const struct json_key_rule *
rule_find(const struct json_key_rule *rules, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rules[i].name, name) == 0)
            return &rules[i];
    }
    return NULL;
}

static void
read_key(struct json_file *json_file, const struct json_key_rule *rule,
         const char *name, json_object *value, void *out)
{
    if (rule == NULL)
        json_file_fault(json_file, name, "is unknown");
    else if ((rule->allowed & json_file->mask) == 0)
        json_file_fault(json_file, name, "has no meaning for %s",
                        json_file->kind);
    else
        rule->read(json_file, rule, value, (char *)out + rule->offset);
}

void
json_file_read(struct json_file *json_file, json_object *object,
               const struct json_key_rule *rules, size_t count, void *out)
{
    json_object_object_foreach(object, name, value)
    {
        read_key(json_file, rule_find(rules, count, name), name, value, out);
    }
    for (size_t i = 0; i < count; i++) {
        if ((rules[i].required & json_file->mask) != 0 &&
            !json_object_object_get_ex(object, rules[i].name, NULL))
            json_file_fault(json_file, rules[i].name, "is missing");
    }
}

static void
fault_syntax(struct json_file *json_file, size_t offset, const char *message)
{
    fault_start(json_file, line_at(json_file->text, offset));
    g_string_append_printf(json_file->report, "%s\n", message);
}

static void
parse_text(struct json_file *json_file, size_t len)
{
    json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    enum json_tokener_error code;
    json_object *root;
    char *message = NULL;

    if (tokener == NULL) {
        fault_syntax(json_file, 0, "no memory for the JSON parser");
        return;
    }
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
    /* The null informs the parser that no more input follows. */
    root = json_tokener_parse_ex(tokener, json_file->text, (int)len + 1);
    code = json_tokener_get_error(tokener);
    if (code == json_tokener_continue)
        code = json_tokener_error_parse_eof;
    if (code != json_tokener_success)
        message =
            g_strdup_printf("not JSON: %s", json_tokener_error_desc(code));
    else if (!json_object_is_type(root, json_type_object))
        message = g_strdup("the file holds no JSON object");
    if (message != NULL) {
        fault_syntax(json_file, json_tokener_get_parse_end(tokener), message);
        json_object_put(root);
        root = NULL;
    }
    g_free(message);
    json_file->root = root;
    json_tokener_free(tokener);
}

/* json-c silently keeps only the last of repeated keys. */
static void
check_repeated(struct json_file *json_file)
{
    GHashTable *paths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct json_scan scan;

    json_scan_init(&scan, json_file->text);
    while (json_scan_next(&scan)) {
        if (g_hash_table_add(paths, g_strdup(scan.path->str)))
            continue;
        fault_start(json_file, scan.line);
        g_string_append_printf(json_file->report,
                               "key \"%s\" is given twice\n", scan.path->str);
    }
    json_scan_finish(&scan);
    g_hash_table_destroy(paths);
}

static int
file_error(const char *path, const GError *gerror, struct error *err)
{
    int code = -EIO;

    switch (gerror->code) {
    case G_FILE_ERROR_NOENT:
        code = -ENOENT;
        break;
    case G_FILE_ERROR_ACCES:
        code = -EACCES;
        break;
    case G_FILE_ERROR_ISDIR:
        code = -EISDIR;
        break;
    case G_FILE_ERROR_NOTDIR:
        code = -ENOTDIR;
        break;
    default:
        break;
    }
    return error_set(err, code, "read settings", path, "%s", gerror->message);
}

int
json_file_open(struct json_file *json_file, const char *path, unsigned mask,
               const char *kind, struct error *err)
{
    GError *gerror = NULL;
    gsize len;

    memset(json_file, 0, sizeof(*json_file));
    json_file->path = path;
    json_file->mask = mask;
    json_file->kind = kind;
    json_file->scope = "";
    if (!g_file_get_contents(path, &json_file->text, &len, &gerror)) {
        int code = file_error(path, gerror, err);

        g_error_free(gerror);
        return code;
    }
    assert(json_file->text != NULL);
    if (len > JSON_FILE_SIZE_MAX) {
        g_free(json_file->text);
        return error_set(err, -EFBIG, "read settings", path,
                         "the file exceeds %u bytes", JSON_FILE_SIZE_MAX);
    }
    json_file->report = g_string_new(NULL);
    parse_text(json_file, len);
    if (json_file->root != NULL)
        check_repeated(json_file);
    return 0;
}

/* Sets @err to the first fault; its peer is the file name. */
static int
first_fault(const struct json_file *json_file, struct error *err)
{
    const char *line = json_file->report->str + strlen(json_file->path);
    int len;

    line += strspn(line, ": ");
    len = (int)strcspn(line, "\n");
    return error_set(err, -EINVAL, "check settings", json_file->path, "%.*s%s",
                     len, line, json_file->faults > 1 ? " (and more)" : "");
}

int
json_file_close(struct json_file *json_file, char **report, struct error *err)
{
    bool faulty = json_file->faults > 0;
    int ret = faulty ? first_fault(json_file, err) : 0;
    char *text = g_string_free(json_file->report, FALSE);

    json_object_put(json_file->root);
    g_free(json_file->text);
    if (report != NULL)
        *report = faulty ? g_steal_pointer(&text) : NULL;
    g_free(text);
    return ret;
}
