#include "base/keys.h"

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

/* Line of a key by its path; 0 where it isn't. */
static unsigned
line_of_key(const struct keys *keys, const char *name)
{
    char *path = g_strconcat(keys->scope, name, NULL);
    struct json_scan scan;
    unsigned line = 0;

    json_scan_init(&scan, keys->text);
    while (line == 0 && json_scan_next(&scan)) {
        if (strcmp(scan.path->str, path) == 0)
            line = scan.line;
    }
    json_scan_finish(&scan);
    g_free(path);
    return line;
}

static void
fault_start(struct keys *keys, unsigned line)
{
    g_string_append(keys->report, keys->path);
    if (line > 0)
        g_string_append_printf(keys->report, ":%u", line);
    g_string_append(keys->report, ": ");
    keys->faults++;
}

void
keys_fault(struct keys *keys, const char *name, const char *fmt, ...)
{
    va_list args;

    fault_start(keys, line_of_key(keys, name));
    g_string_append_printf(keys->report, "key \"%s%s\" ", keys->scope, name);
    va_start(args, fmt);
    g_string_append_vprintf(keys->report, fmt, args);
    va_end(args);
    g_string_append_c(keys->report, '\n');
}

void
keys_fault_value(struct keys *keys, const char *name, json_object *value,
                 const char *expected)
{
    keys_fault(keys, name, "is %s; expected %s",
               json_object_to_json_string_ext(value, JSON_C_TO_STRING_SPACED),
               expected);
}

const char *
keys_text(struct keys *keys, const char *name, json_object *value,
          const char *expected)
{
    const char *text;

    if (!json_object_is_type(value, json_type_string)) {
        keys_fault_value(keys, name, value, expected);
        return NULL;
    }
    text = json_object_get_string(value);
    if (strlen(text) != (size_t)json_object_get_string_len(value)) {
        keys_fault_value(keys, name, value, "text without a null character");
        return NULL;
    }
    return text;
}

void
keys_store_text(struct keys *keys, const struct key_rule *rule,
                json_object *value, char *field)
{
    const char *text = json_object_get_string(value);

    if (g_strlcpy(field, text, rule->size) >= rule->size) {
        char expected[48];

        g_snprintf(expected, sizeof(expected), "at most %zu bytes",
                   rule->size - 1);
        keys_fault_value(keys, rule->name, value, expected);
    }
}

void
keys_read_name(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field)
{
    const char *text = keys_text(keys, rule->name, value, "a name (text)");
    size_t len;

    if (text == NULL)
        return;
    len = strspn(text, "abcdefghijklmnopqrstuvwxyz"
                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");
    if (len == 0 || text[len] != '\0')
        keys_fault_value(keys, rule->name, value,
                         "a name of letters, digits, '.', '_' and '-'");
    else
        keys_store_text(keys, rule, value, field);
}

void
keys_read_text(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field)
{
    if (keys_text(keys, rule->name, value, "text") != NULL)
        keys_store_text(keys, rule, value, field);
}

void
keys_read_addr(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field)
{
    const char *expected = "an address such as 127.0.0.1:4000";
    const char *text = keys_text(keys, rule->name, value, expected);

    if (text != NULL && addr_parse(text, field) < 0)
        keys_fault_value(keys, rule->name, value, expected);
}

void
keys_read_ip(struct keys *keys, const struct key_rule *rule,
             json_object *value, void *field)
{
    const char *expected = "an address such as 10.0.0.1";
    const char *text = keys_text(keys, rule->name, value, expected);

    if (text != NULL && addr_parse_ip(text, field) < 0)
        keys_fault_value(keys, rule->name, value, expected);
}

void
keys_read_number(struct keys *keys, const struct key_rule *rule,
                 json_object *value, void *field)
{
    int64_t number = json_object_get_int64(value);
    char expected[64];

    if (!json_object_is_type(value, json_type_int) ||
        (double)number < rule->min || (double)number > rule->max) {
        g_snprintf(expected, sizeof(expected),
                   "a whole number from %.0f to %.0f", rule->min, rule->max);
        keys_fault_value(keys, rule->name, value, expected);
        return;
    }
    *(unsigned *)field = (unsigned)number;
}

void
keys_read_bool(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field)
{
    if (!json_object_is_type(value, json_type_boolean)) {
        keys_fault_value(keys, rule->name, value, "true or false");
        return;
    }
    *(bool *)field = json_object_get_boolean(value);
}

void
keys_read_real(struct keys *keys, const struct key_rule *rule,
               json_object *value, void *field)
{
    double number = json_object_get_double(value);
    char expected[64];

    /* Written so that NaN, which compares with nothing, is refused. */
    if ((!json_object_is_type(value, json_type_int) &&
         !json_object_is_type(value, json_type_double)) ||
        !(number >= rule->min && number <= rule->max)) {
        g_snprintf(expected, sizeof(expected), "a number from %g to %g",
                   rule->min, rule->max);
        keys_fault_value(keys, rule->name, value, expected);
        return;
    }
    *(double *)field = number;
}

static const struct key_rule *
rule_find(const struct key_rule *rules, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rules[i].name, name) == 0)
            return &rules[i];
    }
    return NULL;
}

static void
read_key(struct keys *keys, const struct key_rule *rule, const char *name,
         json_object *value, void *out)
{
    if (rule == NULL)
        keys_fault(keys, name, "is unknown");
    else if ((rule->allowed & keys->mask) == 0)
        keys_fault(keys, name, "has no meaning for %s", keys->kind);
    else
        rule->read(keys, rule, value, (char *)out + rule->offset);
}

void
keys_read(struct keys *keys, json_object *object, const struct key_rule *rules,
          size_t count, void *out)
{
    json_object_object_foreach(object, name, value)
    {
        read_key(keys, rule_find(rules, count, name), name, value, out);
    }
    for (size_t i = 0; i < count; i++) {
        if ((rules[i].needed & keys->mask) != 0 &&
            !json_object_object_get_ex(object, rules[i].name, NULL))
            keys_fault(keys, rules[i].name, "is missing");
    }
}

static void
fault_syntax(struct keys *keys, size_t offset, const char *what)
{
    fault_start(keys, line_at(keys->text, offset));
    g_string_append_printf(keys->report, "%s\n", what);
}

static void
parse_text(struct keys *keys, size_t len)
{
    json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    enum json_tokener_error code;
    json_object *root;
    char *what = NULL;

    if (tokener == NULL) {
        fault_syntax(keys, 0, "no memory for the JSON parser");
        return;
    }
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
    /* With the closing null the parser knows that the text has ended. */
    root = json_tokener_parse_ex(tokener, keys->text, (int)len + 1);
    code = json_tokener_get_error(tokener);
    if (code == json_tokener_continue)
        code = json_tokener_error_parse_eof;
    if (code != json_tokener_success)
        what = g_strdup_printf("not JSON: %s", json_tokener_error_desc(code));
    else if (!json_object_is_type(root, json_type_object))
        what = g_strdup("the file holds no JSON object");
    if (what != NULL) {
        fault_syntax(keys, json_tokener_get_parse_end(tokener), what);
        json_object_put(root);
        root = NULL;
    }
    g_free(what);
    keys->root = root;
    json_tokener_free(tokener);
}

/* json-c keeps the last of repeated keys; a person may mean the first. */
static void
check_repeated(struct keys *keys)
{
    GHashTable *paths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct json_scan scan;

    json_scan_init(&scan, keys->text);
    while (json_scan_next(&scan)) {
        if (g_hash_table_add(paths, g_strdup(scan.path->str)))
            continue;
        fault_start(keys, scan.line);
        g_string_append_printf(keys->report, "key \"%s\" is given twice\n",
                               scan.path->str);
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
keys_open(struct keys *keys, const char *path, unsigned mask, const char *kind,
          struct error *err)
{
    GError *gerror = NULL;
    gsize len;

    memset(keys, 0, sizeof(*keys));
    keys->path = path;
    keys->mask = mask;
    keys->kind = kind;
    keys->scope = "";
    if (!g_file_get_contents(path, &keys->text, &len, &gerror)) {
        int code = file_error(path, gerror, err);

        g_error_free(gerror);
        return code;
    }
    assert(keys->text != NULL);
    if (len > KEYS_FILE_MAX) {
        g_free(keys->text);
        return error_set(err, -EFBIG, "read settings", path,
                         "the file exceeds %u bytes", KEYS_FILE_MAX);
    }
    keys->report = g_string_new(NULL);
    parse_text(keys, len);
    if (keys->root != NULL)
        check_repeated(keys);
    return 0;
}

/* The error carries the first fault without its file name, which is the
 * peer. */
static int
first_fault(const struct keys *keys, struct error *err)
{
    const char *line = keys->report->str + strlen(keys->path);
    int len;

    line += strspn(line, ": ");
    len = (int)strcspn(line, "\n");
    return error_set(err, -EINVAL, "check settings", keys->path, "%.*s%s", len,
                     line, keys->faults > 1 ? " (and more)" : "");
}

int
keys_close(struct keys *keys, char **report, struct error *err)
{
    bool faulty = keys->faults > 0;
    int ret = faulty ? first_fault(keys, err) : 0;
    char *text = g_string_free(keys->report, FALSE);

    json_object_put(keys->root);
    g_free(keys->text);
    if (report != NULL)
        *report = faulty ? g_steal_pointer(&text) : NULL;
    g_free(text);
    return ret;
}
