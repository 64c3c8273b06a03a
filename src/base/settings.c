#include "base/settings.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#define SITE_KEY_MIN 16
#define FILE_MAX (1u << 20)
#define JSON_DEPTH_MAX 8
#define WORKERS_MAX 16
#define DRAIN_MAX_S 86400
#define SAMPLE_MAX 1000000000

#define BIT(role) (1u << (role))
#define PROCESSES (BIT(SETTINGS_BALANCER) | BIT(SETTINGS_AGENT))
#define ALL_ROLES (PROCESSES | BIT(SETTINGS_OPERATOR))

/**
 * struct reader - one reading of a settings file
 * @settings: result
 * @path: file
 * @text: what the file holds
 * @key: key being read
 * @value: its value
 * @report: faults found so far, one a line
 * @faults: how many
 */
struct reader {
    struct settings *settings;
    const char *path;
    char *text;
    const char *key;
    json_object *value;
    GString *report;
    unsigned faults;
};

/**
 * struct key_rule - how one key is read
 * @name: key
 * @needed: bits of the roles that can't do without it
 * @allowed: bits of the roles that may have it
 * @read: stores the value or reports a fault
 * @offset: where in struct settings
 * @size: bytes there, for texts
 * @min: least number
 * @max: greatest number
 */
struct key_rule {
    const char *name;
    unsigned needed;
    unsigned allowed;
    void (*read)(struct reader *reader, const struct key_rule *rule);
    size_t offset;
    size_t size;
    unsigned min;
    unsigned max;
};

static const char *const role_names[] = {"balancer", "agent", "operator"};

static unsigned
line_at(const char *text, size_t offset)
{
    unsigned line = 1;

    for (size_t i = 0; i < offset && text[i] != '\0'; i++)
        line += text[i] == '\n';
    return line;
}

/* Line of a key: the first place where its quoted name precedes a colon. */
static unsigned
line_of_key(const char *text, const char *key)
{
    char *quoted = g_strdup_printf("\"%s\"", key);
    const char *at = text;
    unsigned line = 1;

    while ((at = strstr(at, quoted)) != NULL) {
        const char *after = at + strlen(quoted);

        after += strspn(after, " \t\r\n");
        if (*after == ':') {
            line = line_at(text, (size_t)(at - text));
            break;
        }
        at++;
    }
    g_free(quoted);
    return line;
}

static void
fault(struct reader *reader, unsigned line, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
fault(struct reader *reader, unsigned line, const char *fmt, ...)
{
    va_list args;

    if (line > 0)
        g_string_append_printf(reader->report, "%s:%u: ", reader->path, line);
    else
        g_string_append_printf(reader->report, "%s: ", reader->path);
    va_start(args, fmt);
    g_string_append_vprintf(reader->report, fmt, args);
    va_end(args);
    g_string_append_c(reader->report, '\n');
    reader->faults++;
}

static void
fault_value(struct reader *reader, const char *expected)
{
    fault(reader, line_of_key(reader->text, reader->key),
          "key \"%s\" is %s; expected %s", reader->key,
          json_object_to_json_string(reader->value), expected);
}

/* Text value, or NULL after a fault. */
static const char *
text_value(struct reader *reader, const char *expected)
{
    const char *text;

    if (!json_object_is_type(reader->value, json_type_string)) {
        fault_value(reader, expected);
        return NULL;
    }
    text = json_object_get_string(reader->value);
    if (strlen(text) != (size_t)json_object_get_string_len(reader->value)) {
        fault_value(reader, "text without a null character");
        return NULL;
    }
    return text;
}

static void
store_text(struct reader *reader, const struct key_rule *rule,
           const char *text)
{
    if (strlen(text) >= rule->size) {
        char expected[48];

        g_snprintf(expected, sizeof(expected), "at most %zu bytes",
                   rule->size - 1);
        fault_value(reader, expected);
        return;
    }
    g_strlcpy((char *)reader->settings + rule->offset, text, rule->size);
}

static void
read_name(struct reader *reader, const struct key_rule *rule)
{
    const char *text = text_value(reader, "a name (text)");
    size_t len;

    if (text == NULL)
        return;
    len = strspn(text, "abcdefghijklmnopqrstuvwxyz"
                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");
    if (len == 0 || text[len] != '\0')
        fault_value(reader, "a name of letters, digits, '.', '_' and '-'");
    else
        store_text(reader, rule, text);
}

static void
read_file_name(struct reader *reader, const struct key_rule *rule)
{
    const char *text = text_value(reader, "a file name (text)");

    if (text != NULL)
        store_text(reader, rule, text);
}

static void
read_url(struct reader *reader, const struct key_rule *rule)
{
    const char *text = text_value(reader, "a URL (text)");

    if (text == NULL)
        return;
    if ((!g_str_has_prefix(text, "http://") || strlen(text) == 7) &&
        (!g_str_has_prefix(text, "https://") || strlen(text) == 8))
        fault_value(reader, "a URL that starts with http:// or https://");
    else
        store_text(reader, rule, text);
}

static void
read_level(struct reader *reader, const struct key_rule *rule)
{
    static const char *const names[] = {"error", "warning", "message", "info",
                                        "debug"};
    const char *expected = "error, warning, message, info or debug";
    const char *text = text_value(reader, expected);

    if (text == NULL)
        return;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(text, names[i]) == 0) {
            store_text(reader, rule, text);
            return;
        }
    }
    fault_value(reader, expected);
}

static void
read_addr(struct reader *reader, const struct key_rule *rule)
{
    const char *expected = "an address such as 127.0.0.1:4000";
    const char *text = text_value(reader, expected);
    struct addr *addr =
        (struct addr *)((char *)reader->settings + rule->offset);

    if (text != NULL && addr_parse(text, addr) < 0)
        fault_value(reader, expected);
}

static void
read_number(struct reader *reader, const struct key_rule *rule)
{
    char expected[64];
    int64_t number;

    g_snprintf(expected, sizeof(expected), "a whole number from %u to %u",
               rule->min, rule->max);
    number = json_object_get_int64(reader->value);
    if (!json_object_is_type(reader->value, json_type_int) ||
        number < rule->min || number > rule->max) {
        fault_value(reader, expected);
        return;
    }
    *(unsigned *)((char *)reader->settings + rule->offset) = (unsigned)number;
}

static void
read_seeds(struct reader *reader, const struct key_rule *rule)
{
    struct settings *settings = reader->settings;
    const char *expected = "an array of at most 16 addresses such as "
                           "[\"127.0.0.1:4000\"]";
    size_t count;

    (void)rule;
    if (!json_object_is_type(reader->value, json_type_array)) {
        fault_value(reader, expected);
        return;
    }
    count = json_object_array_length(reader->value);
    for (size_t i = 0; i < count; i++) {
        json_object *item = json_object_array_get_idx(reader->value, i);

        if (i == SETTINGS_SEEDS_MAX ||
            !json_object_is_type(item, json_type_string) ||
            addr_parse(json_object_get_string(item), &settings->seeds[i]) <
                0 ||
            settings->seeds[i].port == 0) {
            fault_value(reader, expected);
            return;
        }
    }
    settings->seed_count = count;
}

/* A key file may end in a line end, as editors write it. */
static size_t
trimmed_length(const char *data, size_t len)
{
    while (len > 0 && (data[len - 1] == '\n' || data[len - 1] == '\r'))
        len--;
    return len;
}

static void
read_site_key(struct reader *reader, const struct key_rule *rule)
{
    const char *text = text_value(reader, "a file name (text)");
    struct settings *settings = reader->settings;
    GError *gerror = NULL;
    char *folder, *path, *data;
    gsize len;

    (void)rule;
    if (text == NULL)
        return;
    folder = g_path_get_dirname(reader->path);
    path = g_path_is_absolute(text) ? g_strdup(text)
                                    : g_build_filename(folder, text, NULL);
    g_free(folder);
    if (!g_file_get_contents(path, &data, &len, &gerror)) {
        fault(reader, line_of_key(reader->text, reader->key), "key \"%s\": %s",
              reader->key, gerror->message);
        g_error_free(gerror);
        g_free(path);
        return;
    }
    len = trimmed_length(data, len);
    if (len < SITE_KEY_MIN || len > SETTINGS_KEY_MAX) {
        fault(reader, line_of_key(reader->text, reader->key),
              "key \"%s\": file %s holds %zu bytes; expected %d to %d",
              reader->key, path, (size_t)len, SITE_KEY_MIN, SETTINGS_KEY_MAX);
    }
    else {
        memcpy(settings->site_key, data, len);
        settings->site_key_len = len;
    }
    explicit_bzero(data, len);
    g_free(data);
    g_free(path);
}

#define FIELD(member)                                                         \
    .offset = offsetof(struct settings, member),                              \
    .size = sizeof(((struct settings *)0)->member)

static const struct key_rule rules[] = {
    {"name", PROCESSES, ALL_ROLES, read_name, FIELD(name)},
    {"data_centre", PROCESSES, ALL_ROLES, read_name, FIELD(data_centre)},
    {"cell", PROCESSES, ALL_ROLES, read_name, FIELD(cell)},
    {"data", PROCESSES, ALL_ROLES, read_addr, FIELD(data)},
    {"control", PROCESSES, ALL_ROLES, read_addr, FIELD(control)},
    {"http", PROCESSES, ALL_ROLES, read_addr, FIELD(http)},
    {"platform", ALL_ROLES, ALL_ROLES, read_url, FIELD(platform)},
    {"seeds", ALL_ROLES, ALL_ROLES, read_seeds, FIELD(seeds)},
    {"site_key_file", ALL_ROLES, ALL_ROLES, read_site_key, FIELD(site_key)},
    {"log_level", 0, ALL_ROLES, read_level, FIELD(log_level)},
    {"workers", 0, BIT(SETTINGS_BALANCER) | BIT(SETTINGS_OPERATOR),
     read_number, FIELD(workers), .min = 1, .max = WORKERS_MAX},
    {"fabric", BIT(SETTINGS_AGENT),
     BIT(SETTINGS_AGENT) | BIT(SETTINGS_OPERATOR), read_addr, FIELD(fabric)},
    {"drain_s", 0, ALL_ROLES, read_number, FIELD(drain_s), .min = 0,
     .max = DRAIN_MAX_S},
    {"trace_file", 0, ALL_ROLES, read_file_name, FIELD(trace_file)},
    {"trace_sample", 0, ALL_ROLES, read_number, FIELD(trace_sample), .min = 1,
     .max = SAMPLE_MAX},
};

static const struct key_rule *
rule_find(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
        if (strcmp(rules[i].name, name) == 0)
            return &rules[i];
    }
    return NULL;
}

static void
read_key(struct reader *reader)
{
    enum settings_role role = reader->settings->role;
    const struct key_rule *rule = rule_find(reader->key);

    if (rule == NULL)
        fault(reader, line_of_key(reader->text, reader->key),
              "key \"%s\" is unknown", reader->key);
    else if ((rule->allowed & BIT(role)) == 0)
        fault(reader, line_of_key(reader->text, reader->key),
              "key \"%s\" has no meaning for a process of role %s",
              reader->key, role_names[role]);
    else
        rule->read(reader, rule);
}

static void
check_missing(struct reader *reader, json_object *root)
{
    enum settings_role role = reader->settings->role;

    for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
        if ((rules[i].needed & BIT(role)) != 0 &&
            !json_object_object_get_ex(root, rules[i].name, NULL))
            fault(reader, 0, "key \"%s\" is missing", rules[i].name);
    }
}

static void
read_root(struct reader *reader, json_object *root)
{
    if (!json_object_is_type(root, json_type_object)) {
        fault(reader, 1, "the file holds no JSON object");
        return;
    }
    json_object_object_foreach(root, key, value)
    {
        reader->key = key;
        reader->value = value;
        read_key(reader);
    }
    check_missing(reader, root);
}

static json_object *
parse_text(struct reader *reader, size_t len)
{
    json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    json_object *root;
    enum json_tokener_error code;

    if (tokener == NULL)
        return NULL;
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
    /* With the closing null the parser knows that the text has ended. */
    root = json_tokener_parse_ex(tokener, reader->text, (int)len + 1);
    code = json_tokener_get_error(tokener);
    if (code == json_tokener_continue)
        code = json_tokener_error_parse_eof;
    if (code != json_tokener_success || root == NULL) {
        fault(reader,
              line_at(reader->text, json_tokener_get_parse_end(tokener)),
              "not JSON: %s",
              code != json_tokener_success ? json_tokener_error_desc(code)
                                           : "the file holds null");
        json_object_put(root);
        root = NULL;
    }
    json_tokener_free(tokener);
    return root;
}

static void
set_defaults(struct settings *settings, enum settings_role role)
{
    memset(settings, 0, sizeof(*settings));
    settings->role = role;
    g_strlcpy(settings->log_level, "message", sizeof(settings->log_level));
    settings->workers = 1;
    settings->drain_s = 30;
    settings->trace_sample = 1;
}

static int
read_file(const char *path, char **text, size_t *len, struct error *err)
{
    GError *gerror = NULL;
    int code;

    *text = NULL;
    if (g_file_get_contents(path, text, len, &gerror)) {
        if (*len <= FILE_MAX)
            return 0;
        g_free(*text);
        *text = NULL;
        return error_set(err, -EFBIG, "read settings", path,
                         "the file exceeds %u bytes", FILE_MAX);
    }
    code = gerror->code == G_FILE_ERROR_NOENT    ? -ENOENT
           : gerror->code == G_FILE_ERROR_ACCES  ? -EACCES
           : gerror->code == G_FILE_ERROR_ISDIR  ? -EISDIR
           : gerror->code == G_FILE_ERROR_NOTDIR ? -ENOTDIR
                                                 : -EIO;
    error_set(err, code, "read settings", path, "%s", gerror->message);
    g_error_free(gerror);
    return code;
}

/* The error carries the first fault without its file name, which is the
 * peer. */
static int
first_fault(struct reader *reader, struct error *err)
{
    const char *line = reader->report->str + strlen(reader->path) + 1;
    int len = (int)strcspn(line, "\n");

    return error_set(err, -EINVAL, "check settings", reader->path, "%.*s%s",
                     len, line, reader->faults > 1 ? " (and more)" : "");
}

int
settings_load(struct settings *settings, enum settings_role role,
              const char *path, char **report, struct error *err)
{
    struct reader reader = {.settings = settings, .path = path};
    json_object *root;
    size_t len;
    int ret;

    set_defaults(settings, role);
    if (report != NULL)
        *report = NULL;
    ret = read_file(path, &reader.text, &len, err);
    if (ret < 0)
        return ret;
    assert(reader.text != NULL);
    reader.report = g_string_new(NULL);
    root = parse_text(&reader, len);
    if (root != NULL)
        read_root(&reader, root);
    json_object_put(root);
    g_free(reader.text);
    if (reader.faults > 0)
        ret = first_fault(&reader, err);
    if (report != NULL && reader.faults > 0)
        *report = g_string_free(reader.report, FALSE);
    else
        g_string_free(reader.report, TRUE);
    return ret;
}
