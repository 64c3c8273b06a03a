#include "service_config/service_config_check.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/hash.h"
#include "service_config/service_config_lookup.h"
#include "service_config/service_config_unique.h"
#include "service_config/service_config_value.h"

#define IP_MULTICAST 0xe0000000u /* lowest multicast address */

/**
 * struct limit_rule - range and default of a limit
 * @key: key of the limit in the config
 * @offset: offset of its field in struct service_config_limits
 * @min: lowest valid value
 * @max: highest valid value
 * @initial: value when the key is missing
 */
struct limit_rule {
    const char *key;
    size_t offset;
    uint32_t min;
    uint32_t max;
    uint32_t initial;
};

#define LIMIT(name, min, max, value)                                          \
    {                                                                         \
#name, offsetof(struct service_config_limits, name), min, max, value  \
    }

static const struct limit_rule limit_rules[] = {
    LIMIT(connections, 1, 1000000, 2000),
    LIMIT(connections_per_caller, 1, 1000000, 200),
    LIMIT(queue, 1, 65535, 64),
    LIMIT(requests_per_caller, 1, 65535, 32),
    LIMIT(deadline_ms, 10, 600000, 5000),
    LIMIT(body_bytes, 1, 1u << 20, 1u << 20),
    LIMIT(idle_s, 1, 604800, 3600),
};

#define LIMIT_RULES (sizeof(limit_rules) / sizeof(limit_rules[0]))

static const char *const root_keys[] = {"services", NULL};
static const char *const service_keys[] = {
    "name",  "address",    "port",   "protocol",
    "class", "depends_on", "limits", NULL,
};
static const char *const retired_keys[] = {
    "name", "address", "port", "protocol", "class", "limits", "until_ms", NULL,
};
static const char *const limit_keys[] = {
    "connections", "connections_per_caller",
    "queue",       "requests_per_caller",
    "deadline_ms", "body_bytes",
    "idle_s",      NULL,
};

static bool
name_is_valid(const char *name)
{
    size_t len = strlen(name);

    if (len == 0 || len >= SERVICE_CONFIG_NAME_MAX ||
        !g_ascii_islower(name[0]) || name[len - 1] == '-') {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        if (!g_ascii_islower(name[i]) && !g_ascii_isdigit(name[i]) &&
            name[i] != '-') {
            return false;
        }
    }
    return true;
}

static void
check_name(const struct service_config_value *service,
           struct service_config_entry *out)
{
    const char *expected = "1 to 63 of a-z, 0-9 and -, the first a letter, "
                           "the last not -";
    struct service_config_value field;
    const char *name;

    if (!service_config_value_required(service, "name", &field) ||
        (name = service_config_value_string(&field, expected)) == NULL) {
        return;
    }
    if (!name_is_valid(name)) {
        service_config_value_add_diag(&field, expected);
        return;
    }
    g_strlcpy(out->name, name, sizeof(out->name));
    out->id = hash_service(name);
}

static bool
ip_is_usable(uint32_t ip)
{
    uint32_t net = ip >> 24;

    return net != 0 && net != 127 && ip < IP_MULTICAST;
}

static void
check_address(const struct service_config_value *service,
              struct service_config_entry *out)
{
    const char *expected = "an IPv4 address such as \"10.0.0.1\"";
    struct service_config_value field;
    const char *string;
    uint32_t ip;

    if (!service_config_value_required(service, "address", &field) ||
        (string = service_config_value_string(&field, expected)) == NULL) {
        return;
    }
    if (addr_parse_ip(string, &ip) < 0) {
        service_config_value_add_diag(&field, expected);
    }
    else if (!ip_is_usable(ip)) {
        service_config_value_add_diag(
            &field, "an address that callers can reach: not 0.0.0.0/8, "
                    "127.0.0.0/8, or 224.0.0.0 and above");
    }
    else {
        out->ip = ip;
    }
}

static void
check_port(const struct service_config_value *service,
           struct service_config_entry *out)
{
    struct service_config_value field;
    uint32_t port;

    if (service_config_value_required(service, "port", &field) &&
        service_config_value_number(&field, 1, UINT16_MAX, &port)) {
        out->port = (uint16_t)port;
    }
}

static void
check_protocol(const struct service_config_value *service,
               struct service_config_entry *out)
{
    const char *expected = "\"tcp\" or \"udp\"";
    struct service_config_value field;
    const char *string;

    out->proto = SERVICE_CONFIG_TCP;
    if (!service_config_value_member(service, "protocol", &field) ||
        (string = service_config_value_string(&field, expected)) == NULL) {
        return;
    }
    if (strcmp(string, "udp") == 0) {
        out->proto = SERVICE_CONFIG_UDP;
    }
    else if (strcmp(string, "tcp") != 0) {
        service_config_value_add_diag(&field, expected);
    }
}

static void
check_class(const struct service_config_value *service,
            struct service_config_entry *out)
{
    const char *expected = "\"urgent\" or \"ordinary\"";
    struct service_config_value field;
    const char *string;

    out->class = SERVICE_CONFIG_ORDINARY;
    if (!service_config_value_required(service, "class", &field) ||
        (string = service_config_value_string(&field, expected)) == NULL) {
        return;
    }
    if (strcmp(string, "urgent") == 0) {
        out->class = SERVICE_CONFIG_URGENT;
    }
    else if (strcmp(string, "ordinary") != 0) {
        service_config_value_add_diag(&field, expected);
    }
}

static uint32_t *
limit_at(struct service_config_limits *limits, const struct limit_rule *rule)
{
    return (uint32_t *)((char *)limits + rule->offset);
}

/* Lowers the limit per caller to the total; reports it only if it was set. */
static void
check_caller_limits(const struct service_config_value *field,
                    struct service_config_limits *limits)
{
    struct service_config_value per_caller;

    if (limits->connections_per_caller <= limits->connections) {
        return;
    }
    if (service_config_value_member(field, "connections_per_caller",
                                    &per_caller)) {
        service_config_diags_add(
            per_caller.diags, service_config_value_line(&per_caller),
            per_caller.path, "found %u, expected at most \"connections\" (%u)",
            limits->connections_per_caller, limits->connections);
    }
    limits->connections_per_caller = limits->connections;
}

static void
check_limits(const struct service_config_value *service,
             struct service_config_entry *out)
{
    struct service_config_value field;
    struct service_config_value limit;

    for (size_t i = 0; i < LIMIT_RULES; i++) {
        *limit_at(&out->limits, &limit_rules[i]) = limit_rules[i].initial;
    }
    if (!service_config_value_member(service, "limits", &field) ||
        !service_config_value_is_type(&field, json_type_object, "an object")) {
        return;
    }
    service_config_value_check_keys(&field, limit_keys);
    for (size_t i = 0; i < LIMIT_RULES; i++) {
        const struct limit_rule *rule = &limit_rules[i];

        if (service_config_value_member(&field, rule->key, &limit)) {
            service_config_value_number(&limit, rule->min, rule->max,
                                        limit_at(&out->limits, rule));
        }
    }
    check_caller_limits(&field, &out->limits);
}

static void
check_service(const struct service_config_value *field,
              const char *const *keys, struct service_config_entry *out)
{
    if (!service_config_value_is_type(field, json_type_object, "an object")) {
        return;
    }
    out->line = service_config_value_line(field);
    service_config_value_check_keys(field, keys);
    check_name(field, out);
    check_address(field, out);
    check_port(field, out);
    check_protocol(field, out);
    check_class(field, out);
    check_limits(field, out);
}

static void
check_list(const struct service_config_value *list,
           struct service_config *config)
{
    struct service_config_unique unique;
    struct service_config_value field = *list;

    service_config_unique_init(&unique, list->diags, config);
    field.node = list->index->nodes[list->node].first;
    for (size_t i = 0; i < config->count; i++) {
        field.value = json_object_array_get_idx(list->value, i);
        g_snprintf(field.path, sizeof(field.path), "services[%zu]", i);
        check_service(&field, service_keys, &config->services[i]);
        service_config_unique_check(
            &unique, i, service_config_value_line(&field), field.path);
        field.node = list->index->nodes[field.node].next;
    }
    service_config_unique_finish(&unique);
}

int
service_config_check_services(struct json_object *root,
                              const struct service_config_index *index,
                              struct service_config_diags *diags,
                              struct service_config *config)
{
    struct service_config_value field = {
        .index = index, .diags = diags, .value = root};
    struct service_config_value list;
    size_t count;

    if (!service_config_value_is_type(&field, json_type_object,
                                      "an object with \"services\"")) {
        return 0;
    }
    service_config_value_check_keys(&field, root_keys);
    if (!service_config_value_required(&field, "services", &list) ||
        !service_config_value_is_type(&list, json_type_array,
                                      "a list of services")) {
        return 0;
    }
    count = json_object_array_length(list.value);
    if (count == 0 || count > SERVICE_CONFIG_SERVICES_MAX) {
        service_config_diags_add(diags, service_config_value_line(&list),
                                 list.path,
                                 "found %zu services, expected 1 to %d", count,
                                 SERVICE_CONFIG_SERVICES_MAX);
        return 0;
    }
    config->services = calloc(count, sizeof(*config->services));
    if (config->services == NULL) {
        return -ENOMEM;
    }
    config->count = count;
    check_list(&list, config);
    service_config_check_depends(list.value, index, list.node, diags, config);
    return 0;
}

static void
check_until(const struct service_config_value *retired, uint64_t *until_ms)
{
    const char *expected = "milliseconds since 1970";
    struct service_config_value field;

    if (!service_config_value_required(retired, "until_ms", &field) ||
        !service_config_value_is_type(&field, json_type_int, expected)) {
        return;
    }
    if (json_object_get_int64(field.value) < 0) {
        service_config_value_add_diag(&field, expected);
        return;
    }
    *until_ms = json_object_get_uint64(field.value);
}

/* Reports a retired address that is in use, or is retired twice. */
static void
check_retired_address(const struct service_config_value *field,
                      const struct service_config *config, size_t i)
{
    const struct service_config_entry *service = &config->retired[i].service;
    const struct service_config_entry *user = service_config_find_addr(
        config, service->ip, service->port, service->proto);

    if (user != NULL) {
        service_config_diags_add(
            field->diags, service_config_value_line(field), field->path,
            "found the address of \"%s\" that is in use by "
            "\"%s\", expected one that no service has",
            service->name, user->name);
    }
    for (size_t j = 0; j < i; j++) {
        const struct service_config_entry *other = &config->retired[j].service;

        if (other->ip == service->ip && other->port == service->port &&
            other->proto == service->proto) {
            service_config_diags_add(
                field->diags, service_config_value_line(field), field->path,
                "found the address of \"%s\" again, expected it "
                "once",
                service->name);
        }
    }
}

int
service_config_check_retired(struct json_object *list,
                             const struct service_config_index *index,
                             struct service_config_diags *diags,
                             struct service_config *config)
{
    struct service_config_value field = {
        .index = index, .diags = diags, .value = list};
    size_t count;

    g_strlcpy(field.path, "retired", sizeof(field.path));
    if (!service_config_value_is_type(&field, json_type_array,
                                      "a list of retired addresses")) {
        return 0;
    }
    count = json_object_array_length(list);
    if (count > SERVICE_CONFIG_RETIRED_MAX) {
        service_config_diags_add(
            diags, 1, field.path,
            "found %zu retired addresses, expected at most %d", count,
            SERVICE_CONFIG_RETIRED_MAX);
        return 0;
    }
    config->retired = calloc(count + 1, sizeof(*config->retired));
    if (config->retired == NULL) {
        return -ENOMEM;
    }
    field.node = index->nodes[0].first;
    for (size_t i = 0; i < count; i++) {
        field.value = json_object_array_get_idx(list, i);
        g_snprintf(field.path, sizeof(field.path), "retired[%zu]", i);
        check_service(&field, retired_keys, &config->retired[i].service);
        if (json_object_is_type(field.value, json_type_object)) {
            check_until(&field, &config->retired[i].until_ms);
        }
        check_retired_address(&field, config, i);
        field.node = index->nodes[field.node].next;
    }
    config->retired_count = count;
    return 0;
}
