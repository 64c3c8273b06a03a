#include "service_config/service_config_check.h"
#include "service_config/service_config_value.h"

#include <stdlib.h>
#include <string.h>

#define CYCLES_MAX 100 /* cycles reported one by one; the rest are counted */

/** enum visit_state - state of a service in the depth-first search */
enum visit_state { VISIT_NEW, VISIT_ACTIVE, VISIT_DONE };

/**
 * struct dependency_search - depth-first search for dependency cycles
 * @config: services with their dependencies
 * @diags: receives one diagnostic for each cycle
 * @lines: line of each service's "depends_on" list
 * @states: enum visit_state of each service
 * @path: indexes of the services on the current path
 * @depth: length of @path
 * @cycles: cycles found
 */
struct dependency_search {
    const struct service_config *config;
    struct service_config_diags *diags;
    uint32_t *lines;
    uint8_t *states;
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
has_dependency(const struct service_config_entry *service, uint16_t other)
{
    for (size_t i = 0; i < service->depends_count; i++) {
        if (service->depends[i] == other) {
            return true;
        }
    }
    return false;
}

/* Adds one name of a "depends_on" list. Returns NULL, or what was expected. */
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
report_cycle(struct dependency_search *search, uint16_t back_to)
{
    GString *names = g_string_new(NULL);
    char path[SERVICE_CONFIG_PATH_MAX];
    uint16_t last = search->path[search->depth - 1];
    size_t at = 0;

    while (search->path[at] != back_to) {
        at++;
    }
    for (; at < search->depth; at++) {
        g_string_append_printf(
            names, "%s -> ", search->config->services[search->path[at]].name);
    }
    g_string_append(names, search->config->services[back_to].name);
    g_snprintf(path, sizeof(path), "services[%u].depends_on", last);
    service_config_diags_add(search->diags, search->lines[last], path,
                             "found the cycle %s, expected no cycle",
                             names->str);
    g_string_free(names, TRUE);
}

static void
visit(struct dependency_search *search, uint16_t at)
{
    const struct service_config_entry *service = &search->config->services[at];

    search->states[at] = VISIT_ACTIVE;
    search->path[search->depth++] = at;
    for (size_t i = 0; i < service->depends_count; i++) {
        uint16_t next = service->depends[i];

        if (search->states[next] == VISIT_ACTIVE) {
            if (++search->cycles <= CYCLES_MAX) {
                report_cycle(search, next);
            }
        }
        else if (search->states[next] == VISIT_NEW) {
            visit(search, next);
        }
    }
    search->depth--;
    search->states[at] = VISIT_DONE;
}

static void
find_cycles(const struct service_config *config,
            struct service_config_diags *diags, uint32_t *lines)
{
    struct dependency_search search = {
        .config = config,
        .diags = diags,
        .lines = lines,
        .states = g_new0(uint8_t, config->count),
        .path = g_new0(uint16_t, config->count),
    };

    for (size_t i = 0; i < config->count; i++) {
        if (search.states[i] == VISIT_NEW) {
            visit(&search, (uint16_t)i);
        }
    }
    if (search.cycles > CYCLES_MAX) {
        service_config_diags_add(diags, lines[0], "services",
                                 "found %zu more cycles, expected no cycle",
                                 search.cycles - CYCLES_MAX);
    }
    g_free(search.states);
    g_free(search.path);
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
