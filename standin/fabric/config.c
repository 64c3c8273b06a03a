#include "standin/fabric/config.h"

#include <errno.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#define FILE_MAX (1 << 20)
#define DELAY_MAX_US 10000000
#define INTERVAL_MAX_MS 60000
#define PATH_MAX_LEN 64

/**
 * struct reader - one reading of a file
 * @config: result
 * @name: file
 * @report: faults so far
 */
struct reader {
    struct config *config;
    const char *name;
    GString *report;
};

/** struct key - a key of an object, and whether it must be there */
struct key {
    const char *name;
    bool needed;
};

static const struct key top_keys[] = {
    {"listen", true},
    {"balancers", true},
    {"callers", false},
    {"seed", false},
    {"client_delay_us", false},
    {"loss", false},
    {"reorder", false},
    {"health_interval_ms", false},
    {"spray", false},
    {"cut", false},
    {NULL, false},
};

static const struct key balancer_keys[] = {
    {"data", true},
    {"http", true},
    {"delay_us", false},
    {NULL, false},
};

static const struct key caller_keys[] = {
    {"ip", true},
    {"to", true},
    {NULL, false},
};

static void
fault(struct reader *reader, const char *path, json_object *found,
      const char *expected)
{
    g_string_append_printf(
        reader->report, "%s: %s is %s; expected %s\n", reader->name, path,
        found != NULL ? json_object_to_json_string(found) : "missing",
        expected);
}

static bool
is_known(const struct key *keys, const char *name)
{
    for (; keys->name != NULL; keys++)
        if (strcmp(keys->name, name) == 0)
            return true;
    return false;
}

static bool
check_keys(struct reader *reader, json_object *object, const char *path,
           const struct key *keys)
{
    if (!json_object_is_type(object, json_type_object)) {
        fault(reader, path, object, "an object");
        return false;
    }
    json_object_object_foreach(object, name, value)
    {
        if (!is_known(keys, name))
            g_string_append_printf(reader->report,
                                   "%s: %s: unknown key \"%s\"\n",
                                   reader->name, path, name);
        (void)value;
    }
    for (const struct key *key = keys; key->name != NULL; key++) {
        char at[PATH_MAX_LEN];
        g_snprintf(at, sizeof(at), "%s.%s", path, key->name);
        if (key->needed && !json_object_object_get_ex(object, key->name, NULL))
            fault(reader, at, NULL, "a value");
    }
    return true;
}

static void
read_addr(struct reader *reader, json_object *object, const char *path,
          const char *name, struct addr *addr)
{
    json_object *value;
    char at[PATH_MAX_LEN];

    g_snprintf(at, sizeof(at), "%s.%s", path, name);
    if (!json_object_object_get_ex(object, name, &value))
        return;
    if (!json_object_is_type(value, json_type_string) ||
        addr_parse(json_object_get_string(value), addr) < 0)
        fault(reader, at, value, "\"a.b.c.d:port\"");
}

static void
read_int(struct reader *reader, json_object *object, const char *path,
         const char *name, uint32_t min, uint32_t max, uint32_t *result)
{
    json_object *value;
    char at[PATH_MAX_LEN];
    char expected[PATH_MAX_LEN];

    g_snprintf(at, sizeof(at), "%s.%s", path, name);
    if (!json_object_object_get_ex(object, name, &value))
        return;
    int64_t number = json_object_get_int64(value);
    if (!json_object_is_type(value, json_type_int) || number < min ||
        number > max) {
        g_snprintf(expected, sizeof(expected), "a whole number %u..%u", min,
                   max);
        fault(reader, at, value, expected);
        return;
    }
    *result = (uint32_t)number;
}

static void
read_share(struct reader *reader, json_object *object, const char *name,
           double *result)
{
    json_object *value;
    char at[PATH_MAX_LEN];

    g_snprintf(at, sizeof(at), "$.%s", name);
    if (!json_object_object_get_ex(object, name, &value))
        return;
    double number = json_object_get_double(value);
    if ((!json_object_is_type(value, json_type_double) &&
         !json_object_is_type(value, json_type_int)) ||
        !(number >= 0 && number <= 1)) {
        fault(reader, at, value, "a number 0..1");
        return;
    }
    *result = number;
}

static void
read_spray(struct reader *reader, json_object *object)
{
    json_object *value;

    if (!json_object_object_get_ex(object, "spray", &value))
        return;
    const char *text = json_object_get_string(value);
    if (g_strcmp0(text, "random") == 0)
        reader->config->spray = SPRAY_RANDOM;
    else if (g_strcmp0(text, "round-robin") == 0)
        reader->config->spray = SPRAY_ROUND_ROBIN;
    else
        fault(reader, "$.spray", value, "\"random\" or \"round-robin\"");
}

static void
read_balancer(struct reader *reader, json_object *object, const char *path)
{
    struct config *config = reader->config;
    struct config_balancer *balancer =
        &config->balancers[config->balancer_count];

    if (!check_keys(reader, object, path, balancer_keys))
        return;
    read_addr(reader, object, path, "data", &balancer->data);
    read_addr(reader, object, path, "http", &balancer->http);
    read_int(reader, object, path, "delay_us", 0, DELAY_MAX_US,
             &balancer->delay_us);
    config->balancer_count++;
}

static void
read_caller(struct reader *reader, json_object *object, const char *path)
{
    struct config *config = reader->config;
    struct config_caller *caller = &config->callers[config->caller_count];
    json_object *ip;

    if (!check_keys(reader, object, path, caller_keys))
        return;
    if (json_object_object_get_ex(object, "ip", &ip) &&
        (!json_object_is_type(ip, json_type_string) ||
         addr_parse_ip(json_object_get_string(ip), &caller->ip) < 0))
        fault(reader, path, ip, "\"ip\" of the form \"a.b.c.d\"");
    read_addr(reader, object, path, "to", &caller->to);
    for (size_t i = 0; i < config->caller_count; i++)
        if (config->callers[i].ip == caller->ip)
            fault(reader, path, ip, "an \"ip\" that no other caller has");
    config->caller_count++;
}

static void
read_cut(struct reader *reader, json_object *value, const char *path)
{
    struct config *config = reader->config;

    if (!json_object_is_type(value, json_type_string) ||
        addr_parse(json_object_get_string(value),
                   &config->cut[config->cut_count]) < 0)
        fault(reader, path, value, "\"a.b.c.d:port\"");
    config->cut_count++;
}

static void
read_list(struct reader *reader, json_object *object, const char *name,
          size_t max,
          void (*read)(struct reader *reader, json_object *value,
                       const char *path))
{
    json_object *list;
    char path[PATH_MAX_LEN];

    if (!json_object_object_get_ex(object, name, &list))
        return;
    g_snprintf(path, sizeof(path), "$.%s", name);
    if (!json_object_is_type(list, json_type_array) ||
        json_object_array_length(list) > max) {
        char expected[PATH_MAX_LEN];
        g_snprintf(expected, sizeof(expected), "a list of at most %zu", max);
        fault(reader, path, list, expected);
        return;
    }
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        g_snprintf(path, sizeof(path), "$.%s[%zu]", name, i);
        read(reader, json_object_array_get_idx(list, i), path);
    }
}

static void
read_top(struct reader *reader, json_object *top)
{
    struct config *config = reader->config;

    if (!check_keys(reader, top, "$", top_keys))
        return;
    read_addr(reader, top, "$", "listen", &config->listen);
    read_list(reader, top, "balancers", CONFIG_BALANCERS_MAX, read_balancer);
    read_list(reader, top, "callers", CONFIG_CALLERS_MAX, read_caller);
    read_list(reader, top, "cut", CONFIG_CUT_MAX, read_cut);
    read_int(reader, top, "$", "seed", 0, UINT32_MAX, &config->seed);
    read_int(reader, top, "$", "client_delay_us", 0, DELAY_MAX_US,
             &config->client_delay_us);
    read_int(reader, top, "$", "health_interval_ms", 1, INTERVAL_MAX_MS,
             &config->health_interval_ms);
    read_share(reader, top, "loss", &config->loss);
    read_share(reader, top, "reorder", &config->reorder);
    read_spray(reader, top);
}

int
config_parse(struct config *config, const char *text, const char *name,
             char **report)
{
    struct reader reader = {
        .config = config, .name = name, .report = g_string_new(NULL)};
    enum json_tokener_error error = json_tokener_success;
    json_object *top = json_tokener_parse_verbose(text, &error);

    memset(config, 0, sizeof(*config));
    config->seed = 1;
    config->client_delay_us = 3000;
    config->health_interval_ms = 100;
    if (error != json_tokener_success)
        g_string_append_printf(reader.report, "%s: %s\n", name,
                               json_tokener_error_desc(error));
    else
        read_top(&reader, top);
    json_object_put(top);

    *report = g_string_free(reader.report, reader.report->len == 0);
    return *report == NULL ? 0 : -EINVAL;
}

int
config_load(struct config *config, const char *path, char **report)
{
    char *text = NULL;
    gsize len = 0;
    GError *error = NULL;
    int result;

    if (!g_file_get_contents(path, &text, &len, &error)) {
        *report = g_strdup_printf("%s\n", error->message);
        g_error_free(error);
        return -ENOENT;
    }
    if (len > FILE_MAX || strlen(text) != len) {
        *report = g_strdup_printf("%s: too long, or has a null byte\n", path);
        result = -EINVAL;
    }
    else
        result = config_parse(config, text, path, report);
    g_free(text);
    return result;
}
