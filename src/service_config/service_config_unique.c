#include "service_config/service_config_unique.h"

#include "base/addr.h"
#include "service_config/service_config_lookup.h"

/* Returns the index of the service that has @key, or adds @i and returns -1.
 */
static int
find_or_add(GHashTable *table, gpointer key, size_t i)
{
    gpointer other;

    if (g_hash_table_lookup_extended(table, key, NULL, &other)) {
        return GPOINTER_TO_INT(other);
    }
    g_hash_table_insert(table, key, GUINT_TO_POINTER(i));
    return -1;
}

static void
check_name(struct service_config_unique *unique, size_t i, uint32_t line,
           const char *path)
{
    struct service_config_entry *service = &unique->config->services[i];
    int other;

    if (service->id == 0) {
        return;
    }
    other = find_or_add(unique->names, service->name, i);
    if (other >= 0) {
        service_config_diags_add(
            unique->diags, line, path,
            "found the name \"%s\" again, expected it once "
            "(services[%d] has it)",
            service->name, other);
        return;
    }
    other = find_or_add(unique->ids, GUINT_TO_POINTER(service->id), i);
    if (other >= 0) {
        service_config_diags_add(
            unique->diags, line, path,
            "found the name \"%s\" whose id 0x%08x is that of "
            "\"%s\", expected another name",
            service->name, service->id, unique->config->services[other].name);
    }
}

static void
check_addr(struct service_config_unique *unique, size_t i, uint32_t line,
           const char *path)
{
    const struct service_config_entry *service = &unique->config->services[i];
    char buf[ADDR_TEXT_MAX];
    char *addr;
    int other;

    if (service->ip == 0 || service->port == 0) {
        return;
    }
    addr = g_strdup_printf(
        "%s %s", service_config_proto_name(service->proto),
        addr_format((struct addr){service->ip, service->port}, buf));
    other = find_or_add(unique->addrs, addr, i);
    if (other >= 0) {
        service_config_diags_add(
            unique->diags, line, path,
            "found %s again, expected it once (services[%d] has "
            "it)",
            addr, other);
        g_free(addr);
    }
}

void
service_config_unique_init(struct service_config_unique *unique,
                           struct service_config_diags *diags,
                           const struct service_config *config)
{
    *unique = (struct service_config_unique){
        .diags = diags,
        .config = config,
        .names = g_hash_table_new(g_str_hash, g_str_equal),
        .ids = g_hash_table_new(NULL, NULL),
        .addrs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
}

void
service_config_unique_finish(struct service_config_unique *unique)
{
    g_hash_table_destroy(unique->names);
    g_hash_table_destroy(unique->ids);
    g_hash_table_destroy(unique->addrs);
}

void
service_config_unique_check(struct service_config_unique *unique, size_t i,
                            uint32_t line, const char *path)
{
    check_name(unique, i, line, path);
    check_addr(unique, i, line, path);
}
