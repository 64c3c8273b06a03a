#include "service_config/service_config_check.h"
#include "service_config/service_config_value.h"

#include <stdlib.h>
#include <string.h>

#define CYCLES_MAX 100 /* named one by one */

/** enum mark - how far the search for cycles has come with a service */
enum mark { MARK_NEW, MARK_OPEN, MARK_DONE };

/**
 * struct cycle_search - search for cycles
 * @config: services with their dependencies
 * @lines: line of each service's list
 * @marks: one for each service
 * @path: services being followed
 * @depth: how many
 * @cycles: cycles found
 */
struct cycle_search {
    const struct service_config *config;
    struct service_config_diags *diags;
    uint32_t *lines;
    uint8_t *marks;
    uint16_t *path;
    size_t depth;
    size_t cycles;
};

static GHashTable *
index_names(const struct service_config *config)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; i < config->count; i++) {
        char *name = config->services[i].name;

        if (name[0] != '\0' && !g_hash_table_contains(names, name)) {
            g_hash_table_insert(names, name, GUINT_TO_POINTER(i));
        }
    }
    return names;
}

static bool
has_dependency(const struct service_config_entry *service, uint16_t on)
{
    for (size_t i = 0; i < service->depends_count; i++) {
        if (service->depends[i] == on) {
            return true;
        }
    }
    return false;
}

/* One name of a "depends_on" list; what was found wrong, or NULL. */
static const char *
add_dependency(struct service_config_entry *service, GHashTable *names,
               struct json_object *value)
{
    const char *name = service_config_value_bytes(value);
    gpointer other;

    if (name == NULL) {
        return "the name of a service, a string";
    }
    if (!g_hash_table_lookup_extended(names, name, NULL, &other)) {
        return "the name of a service of this text";
    }
    if (has_dependency(service, (uint16_t)GPOINTER_TO_UINT(other))) {
        return "each name once";
    }
    service->depends[service->depends_count++] =
        (uint16_t)GPOINTER_TO_UINT(other);
    return NULL;
}

static void
read_names(struct json_object *list, const struct service_config_index *index,
           uint32_t node, struct service_config_diags *diags,
           GHashTable *names, struct service_config *config, size_t i)
{
    char path[SERVICE_CONFIG_PATH_MAX];
    char found[SERVICE_CONFIG_DESCRIPTION_MAX];
    size_t count = json_object_array_length(list);
    uint32_t child = index->nodes[node].first;

    for (size_t j = 0; j < count; j++) {
        struct json_object *value = json_object_array_get_idx(list, j);
        const char *expected =
            add_dependency(&config->services[i], names, value);

        if (expected != NULL) {
            g_snprintf(path, sizeof(path), "services[%zu].depends_on[%zu]", i,
                       j);
            service_config_diags_add(
                diags, index->nodes[child].line, path, "found %s, expected %s",
                service_config_describe_value(value, found), expected);
        }
        child = index->nodes[child].next;
    }
}

static void
read_depends(struct json_object *service,
             const struct service_config_index *index, uint32_t node,
             struct service_config_diags *diags, GHashTable *names,
             struct service_config *config, size_t i)
{
    char path[SERVICE_CONFIG_PATH_MAX];
    char found[SERVICE_CONFIG_DESCRIPTION_MAX];
    struct json_object *list;

    if (!json_object_is_type(service, json_type_object) ||
        !json_object_object_get_ex(service, "depends_on", &list)) {
        return;
    }
    g_snprintf(path, sizeof(path), "services[%zu].depends_on", i);
    if (!json_object_is_type(list, json_type_array)) {
        service_config_diags_add(diags, index->nodes[node].line, path,
                                 "found %s, expected a list of names",
                                 service_config_describe_value(list, found));
    }
    else if (json_object_array_length(list) > SERVICE_CONFIG_DEPENDS_MAX) {
        service_config_diags_add(diags, index->nodes[node].line, path,
                                 "found %zu names, expected at most %d",
                                 json_object_array_length(list),
                                 SERVICE_CONFIG_DEPENDS_MAX);
    }
    else {
        read_names(list, index, node, diags, names, config, i);
    }
}

static void
report_cycle(struct cycle_search *cycle_search, uint16_t back_to)
{
    GString *names = g_string_new(NULL);
    char path[SERVICE_CONFIG_PATH_MAX];
    uint16_t last = cycle_search->path[cycle_search->depth - 1];
    size_t at = 0;

    while (cycle_search->path[at] != back_to) {
        at++;
    }
    for (; at < cycle_search->depth; at++) {
        g_string_append_printf(
            names, "%s -> ",
            cycle_search->config->services[cycle_search->path[at]].name);
    }
    g_string_append(names, cycle_search->config->services[back_to].name);
    g_snprintf(path, sizeof(path), "services[%u].depends_on", last);
    service_config_diags_add(cycle_search->diags, cycle_search->lines[last],
                             path, "found the cycle %s, expected no cycle",
                             names->str);
    g_string_free(names, TRUE);
}

static void
visit(struct cycle_search *cycle_search, uint16_t at)
{
    const struct service_config_entry *service =
        &cycle_search->config->services[at];

    cycle_search->marks[at] = MARK_OPEN;
    cycle_search->path[cycle_search->depth++] = at;
    for (size_t i = 0; i < service->depends_count; i++) {
        uint16_t next = service->depends[i];

        if (cycle_search->marks[next] == MARK_OPEN) {
            if (++cycle_search->cycles <= CYCLES_MAX) {
                report_cycle(cycle_search, next);
            }
        }
        else if (cycle_search->marks[next] == MARK_NEW) {
            visit(cycle_search, next);
        }
    }
    cycle_search->depth--;
    cycle_search->marks[at] = MARK_DONE;
}

static void
find_cycles(const struct service_config *config,
            struct service_config_diags *diags, uint32_t *lines)
{
    struct cycle_search cycle_search = {
        .config = config,
        .diags = diags,
        .lines = lines,
        .marks = g_new0(uint8_t, config->count),
        .path = g_new0(uint16_t, config->count),
    };

    for (size_t i = 0; i < config->count; i++) {
        if (cycle_search.marks[i] == MARK_NEW) {
            visit(&cycle_search, (uint16_t)i);
        }
    }
    if (cycle_search.cycles > CYCLES_MAX) {
        service_config_diags_add(diags, lines[0], "services",
                                 "found %zu more cycles, expected no cycle",
                                 cycle_search.cycles - CYCLES_MAX);
    }
    g_free(cycle_search.marks);
    g_free(cycle_search.path);
}

void
service_config_check_depends(struct json_object *services,
                             const struct service_config_index *index,
                             uint32_t node, struct service_config_diags *diags,
                             struct service_config *config)
{
    GHashTable *names = index_names(config);
    uint32_t *lines = g_new0(uint32_t, config->count);
    uint32_t child = index->nodes[node].first;

    for (size_t i = 0; i < config->count; i++) {
        struct json_object *service = json_object_array_get_idx(services, i);
        uint32_t list = service_config_index_child(index, child, "depends_on");

        lines[i] = index->nodes[list != 0 ? list : child].line;
        read_depends(service, index, list, diags, names, config, i);
        child = index->nodes[child].next;
    }
    find_cycles(config, diags, lines);
    g_free(lines);
    g_hash_table_destroy(names);
}
