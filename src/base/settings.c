#include "base/settings.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "base/json_file.h"

#define SITE_KEY_MIN 16
#define WORKERS_MAX 16
#define DRAIN_MAX_S 86400
#define DRAIN_DEFAULT_S 30
#define SAMPLE_MAX 1000000000

#define BIT(role) (1u << (role))
#define PROCESSES (BIT(SETTINGS_BALANCER) | BIT(SETTINGS_AGENT))
#define OPERATOR BIT(SETTINGS_OPERATOR)
#define ALL_ROLES (PROCESSES | OPERATOR)

static const char *const role_names[] = {"a balancer", "an agent",
                                         "an operator"};

static void
read_url(struct json_file *json_file, const struct json_key_rule *rule,
         json_object *value, void *field)
{
    const char *text =
        json_file_string(json_file, rule->name, value, "a URL (string)");
    const char *host;

    if (text == NULL)
        return;
    host = strstr(text, "://");
    if ((!g_str_has_prefix(text, "http://") &&
         !g_str_has_prefix(text, "https://")) ||
        host[strlen("://")] == '\0')
        json_file_fault_value(json_file, rule->name, value,
                              "a URL that starts with http:// or https://");
    else
        json_file_store_string(json_file, rule, value, field);
}

static void
read_level(struct json_file *json_file, const struct json_key_rule *rule,
           json_object *value, void *field)
{
    static const char *const names[] = {"error", "warning", "message", "info",
                                        "debug"};
    const char *expected = "error, warning, message, info or debug";
    const char *text =
        json_file_string(json_file, rule->name, value, expected);

    if (text == NULL)
        return;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(text, names[i]) == 0) {
            json_file_store_string(json_file, rule, value, field);
            return;
        }
    }
    json_file_fault_value(json_file, rule->name, value, expected);
}

static size_t
read_addresses(struct json_file *json_file, const struct json_key_rule *rule,
               json_object *value, struct addr *addresses)
{
    const char *expected = "an array of at most 16 addresses such as "
                           "[\"127.0.0.1:4000\"]";
    size_t count = 0;

    if (json_object_is_type(value, json_type_array))
        count = json_object_array_length(value);
    else
        json_file_fault_value(json_file, rule->name, value, expected);
    for (size_t i = 0; i < count; i++) {
        json_object *item = json_object_array_get_idx(value, i);

        if (i == SETTINGS_SEEDS_MAX ||
            !json_object_is_type(item, json_type_string) ||
            addr_parse(json_object_get_string(item), &addresses[i]) < 0 ||
            addresses[i].port == 0) {
            json_file_fault_value(json_file, rule->name, value, expected);
            return 0;
        }
    }
    return count;
}

/* Array and count are set together, so the struct is found by its offset. */
static void
read_seeds(struct json_file *json_file, const struct json_key_rule *rule,
           json_object *value, void *field)
{
    struct settings *settings =
        (struct settings *)((char *)field - rule->offset);

    settings->seed_count =
        read_addresses(json_file, rule, value, settings->seeds);
}

static void
read_region_seeds(struct json_file *json_file,
                  const struct json_key_rule *rule, json_object *value,
                  void *field)
{
    struct settings *settings =
        (struct settings *)((char *)field - rule->offset);

    settings->region_seed_count =
        read_addresses(json_file, rule, value, settings->region_seeds);
}

/* Length of the key without line ends added by an editor. */
static size_t
trimmed_length(const char *data, size_t len)
{
    while (len > 0 && (data[len - 1] == '\n' || data[len - 1] == '\r'))
        len--;
    return len;
}

static void
load_site_key(struct json_file *json_file, const char *name, const char *path,
              struct settings *settings)
{
    GError *gerror = NULL;
    char *data;
    gsize size;
    size_t len;

    if (!g_file_get_contents(path, &data, &size, &gerror)) {
        json_file_fault(json_file, name, "names a file that can't be read: %s",
                        gerror->message);
        g_error_free(gerror);
        return;
    }
    len = trimmed_length(data, size);
    if (len < SITE_KEY_MIN || len > SETTINGS_KEY_MAX) {
        json_file_fault(json_file, name,
                        "names %s, which holds %zu bytes; expected %d to %d",
                        path, len, SITE_KEY_MIN, SETTINGS_KEY_MAX);
    }
    else {
        memcpy(settings->site_key, data, len);
        settings->site_key_len = len;
    }
    explicit_bzero(data, size);
    g_free(data);
}

static void
read_site_key(struct json_file *json_file, const struct json_key_rule *rule,
              json_object *value, void *field)
{
    const char *text =
        json_file_string(json_file, rule->name, value, "a file name (string)");
    struct settings *settings =
        (struct settings *)((char *)field - rule->offset);
    char *folder, *path;

    if (text == NULL)
        return;
    folder = g_path_get_dirname(json_file->path);
    path = g_path_is_absolute(text) ? g_strdup(text)
                                    : g_build_filename(folder, text, NULL);
    load_site_key(json_file, rule->name, path, settings);
    g_free(folder);
    g_free(path);
}

#define FIELD(member) JSON_FILE_FIELD(struct settings, member)

static const struct json_key_rule rules[] = {
    {"name", PROCESSES, ALL_ROLES, json_file_read_name, FIELD(name)},
    {"data_centre", PROCESSES, ALL_ROLES, json_file_read_name,
     FIELD(data_centre)},
    {"cell", PROCESSES, ALL_ROLES, json_file_read_name, FIELD(cell)},
    {"data", PROCESSES, ALL_ROLES, json_file_read_addr, FIELD(data)},
    {"control", PROCESSES, ALL_ROLES, json_file_read_addr, FIELD(control)},
    {"http", PROCESSES, ALL_ROLES, json_file_read_addr, FIELD(http)},
    {"platform", ALL_ROLES, ALL_ROLES, read_url, FIELD(platform)},
    {"seeds", ALL_ROLES, ALL_ROLES, read_seeds, FIELD(seeds)},
    {"region_seeds", 0, ALL_ROLES, read_region_seeds, FIELD(region_seeds)},
    {"object", 0, ALL_ROLES, json_file_read_name, FIELD(object)},
    {"site_key_file", ALL_ROLES, ALL_ROLES, read_site_key, FIELD(site_key)},
    {"log_level", 0, ALL_ROLES, read_level, FIELD(log_level)},
    {"workers", 0, BIT(SETTINGS_BALANCER) | OPERATOR, json_file_read_unsigned,
     FIELD(workers), .min = 1, .max = WORKERS_MAX},
    {"fabric", BIT(SETTINGS_AGENT), BIT(SETTINGS_AGENT) | OPERATOR,
     json_file_read_addr, FIELD(fabric)},
    {"drain_s", 0, ALL_ROLES, json_file_read_unsigned, FIELD(drain_s),
     .min = 0, .max = DRAIN_MAX_S},
    {"trace_file", 0, ALL_ROLES, json_file_read_string, FIELD(trace_file)},
    {"trace_sample", 0, ALL_ROLES, json_file_read_unsigned,
     FIELD(trace_sample), .min = 1, .max = SAMPLE_MAX},
};

static void
set_defaults(struct settings *settings, enum settings_role role)
{
    memset(settings, 0, sizeof(*settings));
    settings->role = role;
    g_strlcpy(settings->log_level, "message", sizeof(settings->log_level));
    g_strlcpy(settings->object, SETTINGS_OBJECT, sizeof(settings->object));
    settings->workers = 1;
    settings->drain_s = DRAIN_DEFAULT_S;
    settings->trace_sample = 1;
}

int
settings_load(struct settings *settings, enum settings_role role,
              const char *path, char **report, struct error *err)
{
    struct json_file json_file;
    int ret;

    set_defaults(settings, role);
    if (report != NULL)
        *report = NULL;
    ret = json_file_open(&json_file, path, BIT(role), role_names[role], err);
    if (ret < 0)
        return ret;
    if (json_file.root != NULL)
        json_file_read(&json_file, json_file.root, rules, G_N_ELEMENTS(rules),
                       settings);
    return json_file_close(&json_file, report, err);
}

const char *
settings_object(const struct settings *settings)
{
    return settings->object[0] != '\0' ? settings->object : SETTINGS_OBJECT;
}
