#include "request/services.h"

static const struct service_config_limits default_limits = {
    .connections = 2000,
    .connections_per_caller = 200,
    .queue = 64,
    .requests_per_caller = 32,
    .deadline_ms = 5000,
    .body_bytes = 1u << 20,
    .idle_s = 3600,
};

static void
service_free(gpointer data)
{
    struct service *service = data;

    g_array_free(service->dependencies, TRUE);
    g_free(service);
}

/* Collects every service reachable from @index once; cycles are allowed. */
static void
collect_dependencies(const struct service_config *config, size_t index,
                     gboolean *visited, GArray *dependencies)
{
    const struct service_config_entry *from;
    GArray *todo = g_array_new(FALSE, FALSE, sizeof(size_t));

    visited[index] = TRUE;
    g_array_append_val(todo, index);
    while (todo->len > 0) {
        from = &config->services[g_array_index(todo, size_t, todo->len - 1)];
        g_array_set_size(todo, todo->len - 1);
        for (size_t i = 0; i < from->depends_count; i++) {
            size_t next = from->depends[i];

            if (next < config->count && !visited[next]) {
                visited[next] = TRUE;
                g_array_append_val(dependencies, config->services[next].id);
                g_array_append_val(todo, next);
            }
        }
    }
    g_array_free(todo, TRUE);
}

static struct service *
service_new(const struct service_config *config, size_t index)
{
    const struct service_config_entry *from = &config->services[index];
    struct service *service = g_new0(struct service, 1);
    gboolean *visited = g_new0(gboolean, config->count);

    service->id = from->id;
    service->class = from->class;
    service->limits = from->limits;
    service->dependencies = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    collect_dependencies(config, index, visited, service->dependencies);
    g_free(visited);
    return service;
}

static void
mark_inherited_priority(GHashTable *services)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct service *service = value;

        if (service->class != SERVICE_CONFIG_URGENT) {
            continue;
        }
        for (guint i = 0; i < service->dependencies->len; i++) {
            uint32_t id = g_array_index(service->dependencies, uint32_t, i);
            struct service *needed =
                g_hash_table_lookup(services, GUINT_TO_POINTER(id));

            needed->needed_by_urgent = true;
        }
    }
}

GHashTable *
services_new(const struct service_config *config)
{
    GHashTable *services =
        g_hash_table_new_full(NULL, NULL, NULL, service_free);

    for (size_t i = 0; i < config->count; i++) {
        struct service *service = service_new(config, i);

        g_hash_table_insert(services, GUINT_TO_POINTER(service->id), service);
    }
    mark_inherited_priority(services);
    return services;
}

const struct service *
services_find(GHashTable *services, uint32_t id)
{
    if (services == NULL) {
        return NULL;
    }
    return g_hash_table_lookup(services, GUINT_TO_POINTER(id));
}

enum service_config_class
services_class(GHashTable *services, uint32_t id,
               enum service_config_class requested)
{
    const struct service *service = services_find(services, id);

    if (service == NULL || requested == SERVICE_CONFIG_ORDINARY) {
        return requested;
    }
    if (service->class == SERVICE_CONFIG_URGENT || service->needed_by_urgent) {
        return SERVICE_CONFIG_URGENT;
    }
    return SERVICE_CONFIG_ORDINARY;
}

struct service_config_limits
services_limits(GHashTable *services, uint32_t id)
{
    const struct service *service = services_find(services, id);

    return service != NULL ? service->limits : default_limits;
}
