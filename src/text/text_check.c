#include "text/text_check.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/hash.h"
#include "text/text_unique.h"

#define IP_CLASS_E 0xe0000000u /* multicast and above: no host's address */

/**
 * struct check - one value under check
 * @index: positions
 * @faults: report
 * @node: handle of the value's node
 * @value: the value
 * @path: its key path
 */
struct check {
    const struct text_index *index;
    struct text_faults *faults;
    uint32_t node;
    struct json_object *value;
    char path[TEXT_PATH_MAX];
};

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

static uint32_t
line_of(const struct check *check)
{
    return check->index->nodes[check->node].line;
}

static void
fault(const struct check *check, const char *expected)
{
    char found[TEXT_FOUND_MAX];

    text_faults_add(check->faults, line_of(check), check->path,
                    "found %s, expected %s", text_found(check->value, found),
                    expected);
}

static int
key_place(const struct text_index *index, uint32_t node,
          const char *const *keys)
{
    for (int i = 0; keys[i] != NULL; i++) {
        if (text_index_is(index, node, keys[i])) {
            return i;
        }
    }
    return -1;
}

static void
unknown_key(const struct check *check, uint32_t node, const char *const *keys)
{
    const struct text_node *at = &check->index->nodes[node];
    char *known = g_strjoinv(", ", (char **)keys);
    int shown = at->key_len < 40 ? (int)at->key_len : 40;
    char *key = g_strndup(check->index->source + at->key, (gsize)shown);
    char *valid = g_utf8_make_valid(key, -1);

    text_faults_add(check->faults, at->line, check->path,
                    "found the unknown key \"%s\", expected one of %s", valid,
                    known);
    g_free(valid);
    g_free(key);
    g_free(known);
}

/* Unknown and repeated keys of an object; json-c would keep the last one. */
static void
check_keys(const struct check *check, const char *const *keys)
{
    const struct text_index *index = check->index;
    uint32_t seen = 0;
    uint32_t node = index->nodes[check->node].first;

    for (; node != 0; node = index->nodes[node].next) {
        int place = key_place(index, node, keys);

        if (place < 0) {
            unknown_key(check, node, keys);
        }
        else if (seen & 1u << place) {
            text_faults_add(
                check->faults, index->nodes[node].line, check->path,
                "found the key \"%s\" again, expected it once", keys[place]);
        }
        else {
            seen |= 1u << place;
        }
    }
}

/* The member @key of an object: false when it isn't there. */
static bool
member(const struct check *check, const char *key, struct check *found)
{
    const char *dot = check->path[0] != '\0' ? "." : "";

    *found = *check;
    g_snprintf(found->path, sizeof(found->path), "%s%s%s", check->path, dot,
               key);
    found->node = text_index_child(check->index, check->node, key);
    if (found->node == 0) {
        return false;
    }
    return json_object_object_get_ex(check->value, key, &found->value);
}

static bool
required(const struct check *check, const char *key, struct check *found)
{
    if (member(check, key, found)) {
        return true;
    }
    text_faults_add(check->faults, line_of(check), found->path,
                    "found no such key, expected it");
    return false;
}

static bool
is_type(const struct check *check, enum json_type type, const char *expected)
{
    if (json_object_get_type(check->value) == type) {
        return true;
    }
    fault(check, expected);
    return false;
}

/* A string, or NULL after a fault. */
static const char *
string_of(const struct check *check, const char *expected)
{
    const char *string = text_check_string(check->value);

    if (string == NULL) {
        fault(check, expected);
    }
    return string;
}

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
check_name(const struct check *service, struct text_service *out)
{
    const char *expected = "1 to 63 of a-z, 0-9 and -, the first a letter, "
                           "the last not -";
    struct check check;
    const char *name;

    if (!required(service, "name", &check) ||
        (name = string_of(&check, expected)) == NULL) {
        return;
    }
    if (!name_is_valid(name)) {
        fault(&check, expected);
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
check_address(const struct check *service, struct text_service *out)
{
    const char *expected = "an IPv4 address such as \"10.0.0.1\"";
    struct check check;
    const char *word;
    uint32_t ip;

    if (!required(service, "address", &check) ||
        (word = string_of(&check, expected)) == NULL) {
        return;
    }
    if (addr_parse_ip(word, &ip) < 0) {
        fault(&check, expected);
    }
    else if (!ip_is_usable(ip)) {
        fault(&check, "an address that callers can reach: not 0.0.0.0/8, "
                      "127.0.0.0/8, or 224.0.0.0 and above");
    }
    else {
        out->ip = ip;
    }
}

static bool
check_number(const struct check *check, uint32_t min, uint32_t max,
             uint32_t *out)
{
    char expected[64];
    int64_t number;

    g_snprintf(expected, sizeof(expected), "a whole number from %u to %u", min,
               max);
    if (!is_type(check, json_type_int, expected)) {
        return false;
    }
    number = json_object_get_int64(check->value);
    if (number < (int64_t)min || number > (int64_t)max) {
        fault(check, expected);
        return false;
    }
    *out = (uint32_t)number;
    return true;
}

static void
check_port(const struct check *service, struct text_service *out)
{
    struct check check;
    uint32_t port;

    if (required(service, "port", &check) &&
        check_number(&check, 1, UINT16_MAX, &port)) {
        out->port = (uint16_t)port;
    }
}

static void
check_protocol(const struct check *service, struct text_service *out)
{
    const char *expected = "\"tcp\" or \"udp\"";
    struct check check;
    const char *word;

    out->proto = TEXT_TCP;
    if (!member(service, "protocol", &check) ||
        (word = string_of(&check, expected)) == NULL) {
        return;
    }
    if (strcmp(word, "udp") == 0) {
        out->proto = TEXT_UDP;
    }
    else if (strcmp(word, "tcp") != 0) {
        fault(&check, expected);
    }
}

static void
check_class(const struct check *service, struct text_service *out)
{
    const char *expected = "\"urgent\" or \"ordinary\"";
    struct check check;
    const char *word;

    out->class = TEXT_ORDINARY;
    if (!required(service, "class", &check) ||
        (word = string_of(&check, expected)) == NULL) {
        return;
    }
    if (strcmp(word, "urgent") == 0) {
        out->class = TEXT_URGENT;
    }
    else if (strcmp(word, "ordinary") != 0) {
        fault(&check, expected);
    }
}

static uint32_t *
limit_at(struct text_limits *limits, const struct limit_rule *rule)
{
    return (uint32_t *)((char *)limits + rule->offset);
}

/* A caller's share can't be above the whole; only a written one is a fault. */
static void
check_caller_share(const struct check *check, struct text_limits *limits)
{
    struct check share;

    if (limits->connections_per_caller <= limits->connections) {
        return;
    }
    if (member(check, "connections_per_caller", &share)) {
        text_faults_add(share.faults, line_of(&share), share.path,
                        "found %u, expected at most \"connections\" (%u)",
                        limits->connections_per_caller, limits->connections);
    }
    limits->connections_per_caller = limits->connections;
}

static void
check_limits(const struct check *service, struct text_service *out)
{
    struct check check;
    struct check limit;

    for (size_t i = 0; i < LIMIT_RULES; i++) {
        *limit_at(&out->limits, &limit_rules[i]) = limit_rules[i].initial;
    }
    if (!member(service, "limits", &check) ||
        !is_type(&check, json_type_object, "an object")) {
        return;
    }
    check_keys(&check, limit_keys);
    for (size_t i = 0; i < LIMIT_RULES; i++) {
        const struct limit_rule *rule = &limit_rules[i];

        if (member(&check, rule->key, &limit)) {
            check_number(&limit, rule->min, rule->max,
                         limit_at(&out->limits, rule));
        }
    }
    check_caller_share(&check, &out->limits);
}

static void
check_service(const struct check *check, const char *const *keys,
              struct text_service *out)
{
    if (!is_type(check, json_type_object, "an object")) {
        return;
    }
    out->line = line_of(check);
    check_keys(check, keys);
    check_name(check, out);
    check_address(check, out);
    check_port(check, out);
    check_protocol(check, out);
    check_class(check, out);
    check_limits(check, out);
}

static void
check_list(const struct check *list, struct text *text)
{
    struct text_unique unique;
    struct check check = *list;

    text_unique_init(&unique, list->faults, text);
    check.node = list->index->nodes[list->node].first;
    for (size_t i = 0; i < text->count; i++) {
        check.value = json_object_array_get_idx(list->value, i);
        g_snprintf(check.path, sizeof(check.path), "services[%zu]", i);
        check_service(&check, service_keys, &text->services[i]);
        text_unique_check(&unique, i, line_of(&check), check.path);
        check.node = list->index->nodes[check.node].next;
    }
    text_unique_finish(&unique);
}

const char *
text_check_string(struct json_object *value)
{
    const char *string;

    if (!json_object_is_type(value, json_type_string)) {
        return NULL;
    }
    string = json_object_get_string(value);
    return strlen(string) == (size_t)json_object_get_string_len(value) ? string
                                                                       : NULL;
}

int
text_check_services(struct json_object *root, const struct text_index *index,
                    struct text_faults *faults, struct text *text)
{
    struct check check = {.index = index, .faults = faults, .value = root};
    struct check list;
    size_t count;

    if (!is_type(&check, json_type_object, "an object with \"services\"")) {
        return 0;
    }
    check_keys(&check, root_keys);
    if (!required(&check, "services", &list) ||
        !is_type(&list, json_type_array, "a list of services")) {
        return 0;
    }
    count = json_object_array_length(list.value);
    if (count == 0 || count > TEXT_SERVICES_MAX) {
        text_faults_add(faults, line_of(&list), list.path,
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
check_until(const struct check *retired, uint64_t *until_ms)
{
    const char *expected = "milliseconds since 1970";
    struct check check;

    if (!required(retired, "until_ms", &check) ||
        !is_type(&check, json_type_int, expected)) {
        return;
    }
    if (json_object_get_int64(check.value) < 0) {
        fault(&check, expected);
        return;
    }
    *until_ms = json_object_get_uint64(check.value);
}

/* An address belongs to one service, be it as the one in use. */
static void
check_retired_address(const struct check *check, const struct text *text,
                      size_t i)
{
    const struct text_service *service = &text->retired[i].service;
    const struct text_service *user =
        text_find_addr(text, service->ip, service->port, service->proto);

    if (user != NULL) {
        text_faults_add(check->faults, line_of(check), check->path,
                        "found the address of \"%s\" that is in use by "
                        "\"%s\", expected one that no service has",
                        service->name, user->name);
    }
    for (size_t j = 0; j < i; j++) {
        const struct text_service *other = &text->retired[j].service;

        if (other->ip == service->ip && other->port == service->port &&
            other->proto == service->proto) {
            text_faults_add(check->faults, line_of(check), check->path,
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
    struct check check = {.index = index, .faults = faults, .value = list};
    size_t count;

    g_strlcpy(check.path, "retired", sizeof(check.path));
    if (!is_type(&check, json_type_array, "a list of retired addresses")) {
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
