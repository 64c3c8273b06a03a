#include "text/text_check.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/hash.h"
#include "text/text_lookup.h"
#include "text/text_unique.h"
#include "text/text_value.h"

#define IP_CLASS_E 0xe0000000u /* multicast and above: no host's address */

/** struct limit_rule - range and default of a limit */
struct limit_rule {
    const char *key;
    size_t offset;
    uint32_t min;
    uint32_t max;
    uint32_t initial;
};

#define LIMIT(name, least, most, value)                                       \
    {                                                                         \
#name, offsetof(struct text_limits, name), least, most, value         \
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

    if (len == 0 || len >= TEXT_NAME_MAX || !g_ascii_islower(name[0]) ||
        name[len - 1] == '-') {
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
check_name(const struct text_value *service, struct text_service *out)
{
    const char *expected = "1 to 63 of a-z, 0-9 and -, the first a letter, "
                           "the last not -";
    struct text_value check;
    const char *name;

    if (!text_value_required(service, "name", &check) ||
        (name = text_value_string(&check, expected)) == NULL) {
        return;
    }
    if (!name_is_valid(name)) {
        text_value_fault(&check, expected);
        return;
    }
    g_strlcpy(out->name, name, sizeof(out->name));
    out->id = hash_service(name);
}

static bool
ip_is_usable(uint32_t ip)
{
    uint32_t net = ip >> 24;

    return net != 0 && net != 127 && ip < IP_CLASS_E;
}

static void
check_address(const struct text_value *service, struct text_service *out)
{
    const char *expected = "an IPv4 address such as \"10.0.0.1\"";
    struct text_value check;
    const char *word;
    uint32_t ip;

    if (!text_value_required(service, "address", &check) ||
        (word = text_value_string(&check, expected)) == NULL) {
        return;
    }
    if (addr_parse_ip(word, &ip) < 0) {
        text_value_fault(&check, expected);
    }
    else if (!ip_is_usable(ip)) {
        text_value_fault(&check,
                         "an address that callers can reach: not 0.0.0.0/8, "
                         "127.0.0.0/8, or 224.0.0.0 and above");
    }
    else {
        out->ip = ip;
    }
}

static void
check_port(const struct text_value *service, struct text_service *out)
{
    struct text_value check;
    uint32_t port;

    if (text_value_required(service, "port", &check) &&
        text_value_number(&check, 1, UINT16_MAX, &port)) {
        out->port = (uint16_t)port;
    }
}

static void
check_protocol(const struct text_value *service, struct text_service *out)
{
    const char *expected = "\"tcp\" or \"udp\"";
    struct text_value check;
    const char *word;

    out->proto = TEXT_TCP;
    if (!text_value_member(service, "protocol", &check) ||
        (word = text_value_string(&check, expected)) == NULL) {
        return;
    }
    if (strcmp(word, "udp") == 0) {
        out->proto = TEXT_UDP;
    }
    else if (strcmp(word, "tcp") != 0) {
        text_value_fault(&check, expected);
    }
}

static void
check_class(const struct text_value *service, struct text_service *out)
{
    const char *expected = "\"urgent\" or \"ordinary\"";
    struct text_value check;
    const char *word;

    out->class = TEXT_ORDINARY;
    if (!text_value_required(service, "class", &check) ||
        (word = text_value_string(&check, expected)) == NULL) {
        return;
    }
    if (strcmp(word, "urgent") == 0) {
        out->class = TEXT_URGENT;
    }
    else if (strcmp(word, "ordinary") != 0) {
        text_value_fault(&check, expected);
    }
}

static uint32_t *
limit_at(struct text_limits *limits, const struct limit_rule *rule)
{
    return (uint32_t *)((char *)limits + rule->offset);
}

/* A caller's share can't be above the whole; only a written one is a fault. */
static void
check_caller_share(const struct text_value *check, struct text_limits *limits)
{
    struct text_value share;

    if (limits->connections_per_caller <= limits->connections) {
        return;
    }
    if (text_value_member(check, "connections_per_caller", &share)) {
        text_faults_add(share.faults, text_value_line(&share), share.path,
                        "found %u, expected at most \"connections\" (%u)",
                        limits->connections_per_caller, limits->connections);
    }
    limits->connections_per_caller = limits->connections;
}

static void
check_limits(const struct text_value *service, struct text_service *out)
{
    struct text_value check;
    struct text_value limit;

    for (size_t i = 0; i < LIMIT_RULES; i++) {
        *limit_at(&out->limits, &limit_rules[i]) = limit_rules[i].initial;
    }
    if (!text_value_member(service, "limits", &check) ||
        !text_value_is_type(&check, json_type_object, "an object")) {
        return;
    }
    text_value_check_keys(&check, limit_keys);
    for (size_t i = 0; i < LIMIT_RULES; i++) {
        const struct limit_rule *rule = &limit_rules[i];

        if (text_value_member(&check, rule->key, &limit)) {
            text_value_number(&limit, rule->min, rule->max,
                              limit_at(&out->limits, rule));
        }
    }
    check_caller_share(&check, &out->limits);
}

static void
check_service(const struct text_value *check, const char *const *keys,
              struct text_service *out)
{
    if (!text_value_is_type(check, json_type_object, "an object")) {
        return;
    }
    out->line = text_value_line(check);
    text_value_check_keys(check, keys);
    check_name(check, out);
    check_address(check, out);
    check_port(check, out);
    check_protocol(check, out);
    check_class(check, out);
    check_limits(check, out);
}

static void
check_list(const struct text_value *list, struct text *text)
{
    struct text_unique unique;
    struct text_value check = *list;

    text_unique_init(&unique, list->faults, text);
    check.node = list->index->nodes[list->node].first;
    for (size_t i = 0; i < text->count; i++) {
        check.value = json_object_array_get_idx(list->value, i);
        g_snprintf(check.path, sizeof(check.path), "services[%zu]", i);
        check_service(&check, service_keys, &text->services[i]);
        text_unique_check(&unique, i, text_value_line(&check), check.path);
        check.node = list->index->nodes[check.node].next;
    }
    text_unique_finish(&unique);
}

int
text_check_services(struct json_object *root, const struct text_index *index,
                    struct text_faults *faults, struct text *text)
{
    struct text_value check = {
        .index = index, .faults = faults, .value = root};
    struct text_value list;
    size_t count;

    if (!text_value_is_type(&check, json_type_object,
                            "an object with \"services\"")) {
        return 0;
    }
    text_value_check_keys(&check, root_keys);
    if (!text_value_required(&check, "services", &list) ||
        !text_value_is_type(&list, json_type_array, "a list of services")) {
        return 0;
    }
    count = json_object_array_length(list.value);
    if (count == 0 || count > TEXT_SERVICES_MAX) {
        text_faults_add(faults, text_value_line(&list), list.path,
                        "found %zu services, expected 1 to %d", count,
                        TEXT_SERVICES_MAX);
        return 0;
    }
    text->services = calloc(count, sizeof(*text->services));
    if (text->services == NULL) {
        return -ENOMEM;
    }
    text->count = count;
    check_list(&list, text);
    text_check_depends(list.value, index, list.node, faults, text);
    return 0;
}

static void
check_until(const struct text_value *retired, uint64_t *until_ms)
{
    const char *expected = "milliseconds since 1970";
    struct text_value check;

    if (!text_value_required(retired, "until_ms", &check) ||
        !text_value_is_type(&check, json_type_int, expected)) {
        return;
    }
    if (json_object_get_int64(check.value) < 0) {
        text_value_fault(&check, expected);
        return;
    }
    *until_ms = json_object_get_uint64(check.value);
}

/* An address belongs to one service, be it as the one in use. */
static void
check_retired_address(const struct text_value *check, const struct text *text,
                      size_t i)
{
    const struct text_service *service = &text->retired[i].service;
    const struct text_service *user =
        text_find_addr(text, service->ip, service->port, service->proto);

    if (user != NULL) {
        text_faults_add(check->faults, text_value_line(check), check->path,
                        "found the address of \"%s\" that is in use by "
                        "\"%s\", expected one that no service has",
                        service->name, user->name);
    }
    for (size_t j = 0; j < i; j++) {
        const struct text_service *other = &text->retired[j].service;

        if (other->ip == service->ip && other->port == service->port &&
            other->proto == service->proto) {
            text_faults_add(check->faults, text_value_line(check), check->path,
                            "found the address of \"%s\" again, expected it "
                            "once",
                            service->name);
        }
    }
}

int
text_check_retired(struct json_object *list, const struct text_index *index,
                   struct text_faults *faults, struct text *text)
{
    struct text_value check = {
        .index = index, .faults = faults, .value = list};
    size_t count;

    g_strlcpy(check.path, "retired", sizeof(check.path));
    if (!text_value_is_type(&check, json_type_array,
                            "a list of retired addresses")) {
        return 0;
    }
    count = json_object_array_length(list);
    if (count > TEXT_RETIRED_MAX) {
        text_faults_add(faults, 1, check.path,
                        "found %zu retired addresses, expected at most %d",
                        count, TEXT_RETIRED_MAX);
        return 0;
    }
    text->retired = calloc(count + 1, sizeof(*text->retired));
    if (text->retired == NULL) {
        return -ENOMEM;
    }
    check.node = index->nodes[0].first;
    for (size_t i = 0; i < count; i++) {
        check.value = json_object_array_get_idx(list, i);
        g_snprintf(check.path, sizeof(check.path), "retired[%zu]", i);
        check_service(&check, retired_keys, &text->retired[i].service);
        if (json_object_is_type(check.value, json_type_object)) {
            check_until(&check, &text->retired[i].until_ms);
        }
        check_retired_address(&check, text, i);
        check.node = index->nodes[check.node].next;
    }
    text->retired_count = count;
    return 0;
}
