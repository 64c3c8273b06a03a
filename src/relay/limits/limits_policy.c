#include "relay/limits/limits_policy.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "base/hash.h"
#include "base/json_scan.h"
#include "relay/limits/limiter.h"

#define STEP "check limits"

/* Nesting of a document, with a margin. */
#define DEPTH_MAX 8

/* Bytes of a found value in an error. */
#define FOUND_MAX 48
#define PLACE_MAX 48

/* Largest Unix time, the year 9999. */
#define TIME_MAX_S INT64_C(253402300799)

/* Largest priority of a route. */
#define PRIORITY_MAX 255

/**
 * struct item - the limit that is being decoded
 * @json: its object
 * @index: index in the document
 * @rule: result
 * @err: the first fault
 */
struct item {
    struct json_object *json;
    unsigned index;
    struct limits_rule *rule;
    struct error *err;
};

static const char *const known_keys[] = {
    "name",  "service", "route",     "callers",
    "burst", "per",     "balancers", "new_flows_per_s",
    "from",  "until",   "by",        "shed_below_priority",
    "why",
};

static const char *const scope_keys[] = {
    [LIMITS_SERVICE] = "service",
    [LIMITS_ROUTE] = "route",
    [LIMITS_CALLERS] = "callers",
};

/* Prints a value in short, fit for a log line in double quotes. */
static const char *
print_found(struct json_object *value, char *found)
{
    g_strlcpy(found, json_object_to_json_string(value), FOUND_MAX);
    g_strdelimit(found, "\"", '\'');
    return found;
}

/* Sets a fault of one key of a limit. */
static int
fault(const struct item *item, const char *key, struct json_object *value,
      const char *expected)
{
    char place[PLACE_MAX];
    char found[FOUND_MAX];

    snprintf(place, sizeof(place), "limits[%u].%s", item->index, key);
    return error_set(item->err, -EINVAL, STEP, place, "found %s, expected %s",
                     value == NULL ? "nothing" : print_found(value, found),
                     expected);
}

static struct json_object *
value_of(const struct item *item, const char *key)
{
    struct json_object *value = NULL;

    json_object_object_get_ex(item->json, key, &value);
    return value;
}

/* Reads a whole number; @number keeps its value if the key is missing. */
static int
read_number(const struct item *item, const char *key, int64_t min, int64_t max,
            int64_t *number)
{
    struct json_object *value = value_of(item, key);
    char expected[64];
    int64_t read;

    if (!json_object_object_get_ex(item->json, key, NULL)) {
        return 0;
    }
    read = json_object_get_int64(value);
    if (json_object_is_type(value, json_type_int) && read >= min &&
        read <= max) {
        *number = read;
        return 0;
    }
    snprintf(expected, sizeof(expected),
             "a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
             min, max);
    return fault(item, key, value, expected);
}

static bool
is_printable(const char *text)
{
    for (const char *at = text; *at != '\0'; at = g_utf8_next_char(at)) {
        if (g_unichar_iscntrl(g_utf8_get_char(at))) {
            return false;
        }
    }
    return true;
}

/* Reads a text that is required, without control characters. */
static int
read_text(const struct item *item, const char *key, char *text, size_t size)
{
    struct json_object *value = value_of(item, key);
    const char *read = json_object_get_string(value);
    char expected[64];

    if (json_object_is_type(value, json_type_string) && read[0] != '\0' &&
        strlen(read) == (size_t)json_object_get_string_len(value) &&
        strlen(read) < size && g_utf8_validate(read, -1, NULL) &&
        is_printable(read)) {
        g_strlcpy(text, read, size);
        return 0;
    }
    snprintf(expected, sizeof(expected), "a text of 1 to %zu bytes", size - 1);
    return fault(item, key, value, expected);
}

/* Reads a name that fits into labels of metrics and log lines. */
static int
read_name(const struct item *item)
{
    char *name = item->rule->name;

    if (read_text(item, "name", name, LIMITS_NAME_MAX) < 0) {
        return -EINVAL;
    }
    if (name[strspn(name, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "._-")] !=
        '\0') {
        return fault(item, "name", value_of(item, "name"),
                     "letters, digits, '.', '_' and '-'");
    }
    return 0;
}

/* Reads "a.b.c.d/bits" whose address has no bits beyond the prefix. */
static int
read_prefix(const struct item *item)
{
    struct limits_rule *rule = item->rule;
    g_auto(GStrv) parts = NULL;
    guint64 bits;

    if (read_text(item, "callers", rule->target, sizeof(rule->target)) < 0) {
        return -EINVAL;
    }
    parts = g_strsplit(rule->target, "/", 2);
    if (parts[1] != NULL && addr_parse_ip(parts[0], &rule->prefix) == 0 &&
        g_ascii_string_to_unsigned(parts[1], 10, 0, 32, &bits, NULL)) {
        uint32_t host_mask = bits == 32 ? 0 : UINT32_MAX >> bits;

        rule->prefix_bits = (unsigned)bits;
        if ((rule->prefix & host_mask) == 0) {
            return 0;
        }
    }
    return fault(item, "callers", value_of(item, "callers"),
                 "an IPv4 prefix such as 198.51.100.0/24");
}

static int
read_scope(const struct item *item)
{
    struct limits_rule *rule = item->rule;
    unsigned scopes = 0;

    for (unsigned i = 0; i < G_N_ELEMENTS(scope_keys); i++) {
        if (json_object_object_get_ex(item->json, scope_keys[i], NULL)) {
            rule->scope = (enum limits_scope)i;
            scopes++;
        }
    }
    if (scopes != 1) {
        return fault(item, "service", value_of(item, "service"),
                     "exactly one of service, route and callers");
    }
    if (rule->scope == LIMITS_CALLERS) {
        return read_prefix(item);
    }
    if (read_text(item, scope_keys[rule->scope], rule->target,
                  sizeof(rule->target)) < 0) {
        return -EINVAL;
    }
    rule->service = hash_service(rule->target);
    return 0;
}

/* Reads which balancers a rate counts for. */
static int
read_shares(const struct item *item)
{
    struct json_object *per = value_of(item, "per");
    struct json_object *balancers = value_of(item, "balancers");
    const char *text = json_object_get_string(per);
    int64_t shares = 1;

    if (!json_object_is_type(per, json_type_string) ||
        (strcmp(text, "balancer") != 0 && strcmp(text, "fleet") != 0)) {
        return fault(item, "per", per, "'balancer' or 'fleet'");
    }
    if ((strcmp(text, "fleet") == 0) !=
        json_object_object_get_ex(item->json, "balancers", NULL)) {
        return fault(item, "balancers", balancers,
                     "the number of balancers with per 'fleet' only");
    }
    if (read_number(item, "balancers", 1, LIMITER_SHARES_MAX, &shares) < 0) {
        return -EINVAL;
    }
    item->rule->shares = (uint32_t)shares;
    return 0;
}

static int
read_rate(const struct item *item)
{
    struct limits_rule *rule = item->rule;
    int64_t per_s = -1;
    int64_t burst;

    if (read_number(item, "new_flows_per_s", 0, LIMITER_RATE_MAX, &per_s) <
        0) {
        return -EINVAL;
    }
    rule->has_rate = per_s >= 0;
    if (!rule->has_rate) {
        static const char *const keys[] = {"burst", "per", "balancers"};

        for (unsigned i = 0; i < G_N_ELEMENTS(keys); i++) {
            if (json_object_object_get_ex(item->json, keys[i], NULL)) {
                return fault(item, keys[i], value_of(item, keys[i]),
                             "it with new_flows_per_s only");
            }
        }
        return 0;
    }
    burst = per_s;
    if (read_number(item, "burst", per_s == 0 ? 0 : 1,
                    per_s == 0 ? 0 : LIMITER_BURST_MAX, &burst) < 0) {
        return -EINVAL;
    }
    rule->per_s = (uint32_t)per_s;
    rule->burst = (uint32_t)burst;
    return read_shares(item);
}

static int
read_priority(const struct item *item)
{
    struct limits_rule *rule = item->rule;
    struct json_object *value = value_of(item, "shed_below_priority");
    int64_t below = -1;

    if (read_number(item, "shed_below_priority", 0, PRIORITY_MAX - 1, &below) <
        0) {
        return -EINVAL;
    }
    rule->has_priority = below >= 0;
    rule->shed_below = rule->has_priority ? (unsigned)below : 0;
    if (rule->has_priority && rule->scope == LIMITS_CALLERS) {
        return fault(item, "shed_below_priority", value,
                     "it with service or route only");
    }
    if (rule->has_priority && rule->has_rate && rule->per_s == 0) {
        return fault(item, "shed_below_priority", value,
                     "nothing, as new_flows_per_s 0 refuses all");
    }
    if (!rule->has_priority && !rule->has_rate) {
        return fault(item, "new_flows_per_s", NULL,
                     "new_flows_per_s or shed_below_priority");
    }
    return 0;
}

static int
read_times(const struct item *item)
{
    struct limits_rule *rule = item->rule;

    rule->from_s = 0;
    rule->until_s = LIMITS_FOREVER_S;
    if (read_number(item, "from", 1, TIME_MAX_S, &rule->from_s) < 0 ||
        read_number(item, "until", 1, TIME_MAX_S, &rule->until_s) < 0) {
        return -EINVAL;
    }
    if (rule->until_s <= rule->from_s) {
        return fault(item, "until", value_of(item, "until"),
                     "a time after from");
    }
    return 0;
}

static int
check_keys(const struct item *item)
{
    json_object_object_foreach(item->json, key, value)
    {
        bool known = false;

        for (unsigned i = 0; i < G_N_ELEMENTS(known_keys); i++) {
            known |= strcmp(key, known_keys[i]) == 0;
        }
        if (!known) {
            return fault(item, key, value, "no key of this name");
        }
    }
    return 0;
}

static int
decode_rule(const struct item *item)
{
    int ret = check_keys(item);

    ret = ret < 0 ? ret : read_name(item);
    ret = ret < 0 ? ret : read_scope(item);
    ret = ret < 0 ? ret : read_rate(item);
    ret = ret < 0 ? ret : read_priority(item);
    ret = ret < 0 ? ret : read_times(item);
    ret = ret < 0
              ? ret
              : read_text(item, "by", item->rule->by, sizeof(item->rule->by));
    return ret < 0 ? ret
                   : read_text(item, "why", item->rule->why,
                               sizeof(item->rule->why));
}

/* Whether two limits of the same scope apply to the same flows. */
static bool
same_target(const struct limits_rule *a, const struct limits_rule *b)
{
    if (a->scope != b->scope) {
        return false;
    }
    if (a->scope == LIMITS_CALLERS) {
        return limits_rule_covers(a, b->prefix) ||
               limits_rule_covers(b, a->prefix);
    }
    return strcmp(a->target, b->target) == 0;
}

/* Checks a limit against those before it. */
static int
check_unique(const struct item *item, const struct limits_policy *policy)
{
    const struct limits_rule *rule = item->rule;
    char expected[128];

    for (unsigned i = 0; i < item->index; i++) {
        const struct limits_rule *other = &policy->rules[i];

        if (strcmp(rule->name, other->name) == 0) {
            return fault(item, "name", value_of(item, "name"),
                         "a name that no other limit has");
        }
        if (same_target(rule, other) && rule->from_s < other->until_s &&
            other->from_s < rule->until_s) {
            snprintf(expected, sizeof(expected),
                     "callers, a route or a service apart from limit %s",
                     other->name);
            return fault(item, scope_keys[rule->scope],
                         value_of(item, scope_keys[rule->scope]), expected);
        }
    }
    return 0;
}

/* Returns the list of limits, or NULL with @err set. */
static struct json_object *
find_list(struct json_object *json, struct error *err)
{
    struct json_object *list = NULL;
    char found[FOUND_MAX];

    if (!json_object_is_type(json, json_type_object) ||
        json_object_object_length(json) != 1 ||
        !json_object_object_get_ex(json, "limits", &list)) {
        error_set(err, -EINVAL, STEP, "document",
                  "found %s, expected an object with the one key limits",
                  print_found(json, found));
        return NULL;
    }
    if (!json_object_is_type(list, json_type_array) ||
        json_object_array_length(list) > LIMITS_MAX) {
        error_set(err, -EINVAL, STEP, "limits",
                  "found %s, expected an array of at most %d limits",
                  print_found(list, found), LIMITS_MAX);
        return NULL;
    }
    return list;
}

static int
decode_list(struct limits_policy *policy, struct json_object *list,
            struct error *err)
{
    policy->count = (unsigned)json_object_array_length(list);
    for (unsigned i = 0; i < policy->count; i++) {
        struct item item = {
            .json = json_object_array_get_idx(list, i),
            .index = i,
            .rule = &policy->rules[i],
            .err = err,
        };
        char place[PLACE_MAX];
        char found[FOUND_MAX];

        if (!json_object_is_type(item.json, json_type_object)) {
            snprintf(place, sizeof(place), "limits[%u]", i);
            return error_set(err, -EINVAL, STEP, place,
                             "found %s, expected an object",
                             print_found(item.json, found));
        }
        if (decode_rule(&item) < 0 || check_unique(&item, policy) < 0) {
            return -EINVAL;
        }
    }
    return 0;
}

int
limits_policy_decode(struct limits_policy *policy, struct json_object *json,
                     struct error *err)
{
    struct json_object *list = find_list(json, err);
    struct limits_policy *read;
    int ret;

    if (list == NULL) {
        return -EINVAL;
    }
    read = g_new0(struct limits_policy, 1);
    ret = decode_list(read, list, err);
    if (ret == 0) {
        *policy = *read;
    }
    g_free(read);
    return ret;
}

/* Refuses texts that JSON parsers read differently. */
static int
check_encoding(const char *text, size_t len, struct error *err)
{
    const char *end = text;

    if (len > LIMITS_POLICY_SIZE_MAX) {
        return error_set(err, -EINVAL, STEP, "document",
                         "found %zu bytes, expected at most %u", len,
                         LIMITS_POLICY_SIZE_MAX);
    }
    if (!g_utf8_validate(text, (gssize)len, &end)) {
        return error_set(err, -EINVAL, STEP, "document",
                         "found byte 0x%02x at offset %zu, expected UTF-8 "
                         "without NUL",
                         (unsigned char)*end, (size_t)(end - text));
    }
    return 0;
}

/* Refuses repeated keys, and escapes in keys, which could hide them. */
static int
check_repeats(const char *text, struct error *err)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct json_scan scan;
    int ret = 0;

    json_scan_init(&scan, text);
    while (ret == 0 && json_scan_next(&scan)) {
        if (strchr(scan.path->str, '\\') != NULL ||
            !g_hash_table_add(seen, g_strdup(scan.path->str))) {
            ret = error_set(err, -EINVAL, STEP, scan.path->str,
                            "found a repeated or escaped key in line %u, "
                            "expected each key once",
                            scan.line);
        }
    }
    json_scan_finish(&scan);
    g_hash_table_destroy(seen);
    return ret;
}

/* Appends the line of a fault's place. */
static void
add_line(const char *text, struct error *err)
{
    struct json_scan scan;
    bool found = false;
    size_t len;

    if (err == NULL) {
        return;
    }
    len = strlen(err->peer);
    json_scan_init(&scan, text);
    while (!found && json_scan_next(&scan)) {
        found = strcmp(scan.path->str, err->peer) == 0;
    }
    if (found) {
        snprintf(err->peer + len, sizeof(err->peer) - len, " in line %u",
                 scan.line);
    }
    json_scan_finish(&scan);
}

static struct json_object *
parse_json(const char *text, size_t len, struct error *err)
{
    struct json_tokener *tokener = json_tokener_new_ex(DEPTH_MAX);
    struct json_object *json;

    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
    /* The NUL tells the parser that a number at the end is complete. */
    json = json_tokener_parse_ex(tokener, text, (int)len + 1);
    if (json == NULL || json_tokener_get_parse_end(tokener) < len) {
        error_set(err, -EINVAL, STEP, "document",
                  "found a fault at offset %zu (%s), expected JSON",
                  json_tokener_get_parse_end(tokener),
                  json_tokener_error_desc(json_tokener_get_error(tokener)));
        json_object_put(json);
        json = NULL;
    }
    json_tokener_free(tokener);
    return json;
}

int
limits_policy_parse(struct limits_policy *policy, const char *text, size_t len,
                    struct json_object **json, struct error *err)
{
    struct json_object *parsed;
    char *copy;
    int ret = check_encoding(text, len, err);

    if (ret < 0) {
        return ret;
    }
    copy = g_strndup(text, len);
    parsed = parse_json(copy, len, err);
    ret = parsed != NULL ? check_repeats(copy, err) : -EINVAL;
    if (ret == 0) {
        ret = limits_policy_decode(policy, parsed, err);
        if (ret < 0) {
            add_line(copy, err);
        }
    }
    if (ret == 0 && json != NULL) {
        *json = json_object_get(parsed);
    }
    json_object_put(parsed);
    g_free(copy);
    return ret;
}

bool
limits_rule_covers(const struct limits_rule *rule, uint32_t ip)
{
    unsigned host_bits = 32 - rule->prefix_bits;

    return rule->scope != LIMITS_CALLERS || host_bits == 32 ||
           rule->prefix >> host_bits == ip >> host_bits;
}
