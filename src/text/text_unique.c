#include "text/text_unique.h"

#include "base/addr.h"
#include "text/text_lookup.h"

/* Index of the service that has @key already, or -1 after adding @i. */
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
check_name(struct text_unique *unique, size_t i, uint32_t line,
           const char *path)
{
    struct text_service *service = &unique->text->services[i];
    int other;

    if (service->id == 0) {
        return;
    }
    other = find_or_add(unique->names, service->name, i);
    if (other >= 0) {
        text_faults_add(unique->faults, line, path,
                        "found the name \"%s\" again, expected it once "
                        "(services[%d] has it)",
                        service->name, other);
        return;
    }
    other = find_or_add(unique->ids, GUINT_TO_POINTER(service->id), i);
    if (other >= 0) {
        text_faults_add(unique->faults, line, path,
                        "found the name \"%s\" whose id 0x%08x is that of "
                        "\"%s\", expected another name",
                        service->name, service->id,
                        unique->text->services[other].name);
    }
}

static void
check_addr(struct text_unique *unique, size_t i, uint32_t line,
           const char *path)
{
    const struct text_service *service = &unique->text->services[i];
    char buf[ADDR_TEXT_MAX];
    char *addr;
    int other;

    if (service->ip == 0 || service->port == 0) {
        return;
    }
    addr = g_strdup_printf(
        "%s %s", text_proto_name(service->proto),
        addr_format((struct addr){service->ip, service->port}, buf));
    other = find_or_add(unique->addrs, addr, i);
    if (other >= 0) {
        text_faults_add(unique->faults, line, path,
                        "found %s again, expected it once (services[%d] has "
                        "it)",
                        addr, other);
        g_free(addr);
    }
}

void
text_unique_init(struct text_unique *unique, struct text_faults *faults,
                 const struct text *text)
{
    *unique = (struct text_unique){
        .faults = faults,
        .text = text,
        .names = g_hash_table_new(g_str_hash, g_str_equal),
        .ids = g_hash_table_new(NULL, NULL),
        .addrs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
}

void
text_unique_finish(struct text_unique *unique)
{
    g_hash_table_destroy(unique->names);
    g_hash_table_destroy(unique->ids);
    g_hash_table_destroy(unique->addrs);
}

void
text_unique_check(struct text_unique *unique, size_t i, uint32_t line,
                  const char *path)
{
    check_name(unique, i, line, path);
    check_addr(unique, i, line, path);
}
