/**
 * DOC: relay_limits - "swiftarch relay-limits": checks the operators' limits
 * of relay mode, writes them to the platform's store and lists them
 */
#include "relay/limits/limits_policy.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <glib.h>

#include "cli/cli.h"
#include "cli/relay_limits_store.h"

/**
 * struct command - arguments of the command
 * @verb: what to do
 * @object: file or name of a limit, or NULL
 * @store: address of the store, or NULL
 * @revision: revision expected, 0 for no limits
 * @json: print the document as JSON
 */
struct command {
    const char *verb;
    const char *object;
    const char *store;
    uint64_t revision;
    bool json;
};

static void
format_time(int64_t unix_s, char *text, size_t size)
{
    GDateTime *time = g_date_time_new_from_unix_utc(unix_s);
    char *formatted = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");

    g_strlcpy(text, formatted, size);
    g_free(formatted);
    g_date_time_unref(time);
}

static void
print_rate(const struct limits_rule *rule)
{
    if (rule->has_rate) {
        printf("  at most %u new flows a second, burst %u, ", rule->per_s,
               rule->burst);
        if (rule->shares == 1) {
            printf("for each balancer\n");
        }
        else {
            printf("for the fleet: one of %u parts for each balancer\n",
                   rule->shares);
        }
    }
    if (rule->has_priority) {
        printf("  no new flows of priorities below %u (higher numbers)\n",
               rule->shed_below);
    }
}

static void
print_rule(const struct limits_rule *rule)
{
    static const char *const scopes[] = {
        [LIMITS_SERVICE] = "service",
        [LIMITS_ROUTE] = "route",
        [LIMITS_CALLERS] = "callers",
    };
    char from[32] = "now";
    char until[32] = "it is removed";

    if (rule->from_s != 0) {
        format_time(rule->from_s, from, sizeof(from));
    }
    if (rule->until_s != LIMITS_FOREVER_S) {
        format_time(rule->until_s, until, sizeof(until));
    }
    printf("%s: %s %s\n", rule->name, scopes[rule->scope], rule->target);
    print_rate(rule);
    printf("  from %s until %s\n  by %s: %s\n", from, until, rule->by,
           rule->why);
}

static int
report(const char *where, const struct error *err)
{
    fprintf(stderr, "%s: %s: %s\n", where, err->peer, err->detail);
    return CLI_USAGE;
}

/* Reads and checks a file; limits that have ended already are faults. */
static int
read_file(const char *path, struct limits_policy *policy,
          struct json_object **json)
{
    int64_t now_s = g_get_real_time() / G_USEC_PER_SEC;
    struct error err = {0};
    char *text;
    size_t len;
    int ret;

    if (cli_read_file(path, &text, &len) < 0) {
        return CLI_USAGE;
    }
    ret = limits_policy_parse(policy, text, len, json, &err);
    g_free(text);
    if (ret < 0) {
        return report(path, &err);
    }
    for (unsigned i = 0; i < policy->count; i++) {
        if (policy->rules[i].until_s <= now_s) {
            fprintf(stderr,
                    "%s: limits[%u].until: found %" PRId64
                    ", expected a time after now, %" PRId64 "\n",
                    path, i, policy->rules[i].until_s, now_s);
            json_object_put(*json);
            *json = NULL;
            return CLI_USAGE;
        }
    }
    return CLI_OK;
}

static int
check(const struct command *command, struct limits_policy *policy)
{
    struct json_object *json = NULL;
    int code = read_file(command->object, policy, &json);

    if (code == CLI_OK) {
        printf("%s: %u limits, no faults\n", command->object, policy->count);
    }
    json_object_put(json);
    return code;
}

static int
set(const struct command *command, struct relay_limits_store *limits_store,
    struct limits_policy *policy)
{
    uint64_t revision = command->revision;
    struct json_object *json = NULL;
    int code = read_file(command->object, policy, &json);

    if (code == CLI_OK) {
        code = relay_limits_store_write(limits_store, json, &revision);
    }
    if (code == CLI_OK) {
        printf("%u limits set at revision %" PRIu64 "\n", policy->count,
               revision);
    }
    json_object_put(json);
    return code;
}

static void
print_policy(const struct limits_policy *policy, uint64_t revision)
{
    printf("revision %" PRIu64 ", %u limits\n", revision, policy->count);
    for (unsigned i = 0; i < policy->count; i++) {
        print_rule(&policy->rules[i]);
    }
}

static int
show(const struct command *command, struct relay_limits_store *limits_store,
     struct limits_policy *policy)
{
    struct json_object *json = NULL;
    struct error err = {0};
    uint64_t revision;
    int code = relay_limits_store_read(limits_store, &json, &revision);

    if (code == CLI_OK && command->json && json != NULL) {
        printf("%s\n",
               json_object_to_json_string_ext(json, JSON_C_TO_STRING_PRETTY));
    }
    else if (code == CLI_OK && json == NULL) {
        printf("no limits\n");
    }
    else if (code == CLI_OK && limits_policy_decode(policy, json, &err) < 0) {
        code = report(limits_store->address, &err);
    }
    else if (code == CLI_OK) {
        print_policy(policy, revision);
    }
    json_object_put(json);
    return code;
}

/* Index of the limit of that name, or -1. */
static int
find_rule(const struct limits_policy *policy, const char *name)
{
    for (unsigned i = 0; i < policy->count; i++) {
        if (strcmp(policy->rules[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Removes one limit from the document; the last one removes the object. */
static int
remove_rule(const struct command *command,
            struct relay_limits_store *limits_store,
            struct limits_policy *policy, struct json_object *json,
            uint64_t revision)
{
    struct error err = {0};
    int code;
    int at;

    if (json != NULL && limits_policy_decode(policy, json, &err) < 0) {
        return report(limits_store->address, &err);
    }
    at = find_rule(policy, command->object);
    if (at < 0) {
        fprintf(stderr, "found no limit %s; see \"relay-limits show\"\n",
                command->object);
        return CLI_FAILED;
    }
    json_object_array_del_idx(json_object_object_get(json, "limits"),
                              (size_t)at, 1);
    code = relay_limits_store_write(
        limits_store, policy->count == 1 ? NULL : json, &revision);
    if (code == CLI_OK) {
        printf("limit %s removed\n", command->object);
    }
    return code;
}

static int
remove_limit(const struct command *command,
             struct relay_limits_store *limits_store,
             struct limits_policy *policy)
{
    struct json_object *json = NULL;
    uint64_t revision;
    int code = relay_limits_store_read(limits_store, &json, &revision);

    if (code == CLI_OK) {
        code = remove_rule(command, limits_store, policy, json, revision);
    }
    json_object_put(json);
    return code;
}

static const struct {
    const char *verb;
    int (*run)(const struct command *command,
               struct relay_limits_store *limits_store,
               struct limits_policy *policy);
    bool needs_object;
} verbs[] = {
    {"set", set, true},
    {"show", show, false},
    {"remove", remove_limit, true},
};

static int
run_verb(const struct command *command, struct limits_policy *policy)
{
    struct relay_limits_store limits_store;
    int code;

    if (strcmp(command->verb, "check") == 0 && command->object != NULL) {
        return check(command, policy);
    }
    for (unsigned i = 0; i < G_N_ELEMENTS(verbs); i++) {
        if (strcmp(command->verb, verbs[i].verb) != 0 ||
            command->store == NULL ||
            verbs[i].needs_object != (command->object != NULL)) {
            continue;
        }
        code = relay_limits_store_init(&limits_store, command->store);
        if (code == CLI_OK) {
            code = verbs[i].run(command, &limits_store, policy);
        }
        relay_limits_store_finish(&limits_store);
        return code;
    }
    fprintf(stderr, "expected \"check FILE\", \"set FILE --store ADDRESS\", "
                    "\"show --store ADDRESS\" or \"remove NAME --store "
                    "ADDRESS\"\n");
    return CLI_USAGE;
}

/* Reads --revision; false after a message. */
static bool
read_revision(const struct arg_str *argument, uint64_t *revision)
{
    guint64 number = 0;

    if (argument->count > 0 &&
        !g_ascii_string_to_unsigned(argument->sval[0], 10, 0, G_MAXINT64,
                                    &number, NULL)) {
        fprintf(stderr, "--revision: found %s, expected a whole number\n",
                argument->sval[0]);
        return false;
    }
    *revision = number;
    return true;
}

int
cli_relay_limits(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_str *verb =
        arg_str1(NULL, NULL, "check|set|show|remove", "what to do");
    struct arg_str *object = arg_str0(NULL, NULL, "FILE|NAME",
                                      "file of limits, or name of a limit");
    struct arg_str *store =
        arg_str0(NULL, "store", "ADDRESS", "address of the platform's store");
    struct arg_str *revision =
        arg_str0(NULL, "revision", "N",
                 "revision that is replaced (default 0, there are no limits)");
    struct arg_lit *json = arg_lit0(NULL, "json", "show the document");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, verb, object, store, revision, json, end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, help, end,
                       "Check, set, show and remove operators' limits.", argc,
                       argv, &code)) {
        struct limits_policy *policy = g_new0(struct limits_policy, 1);
        struct command command = {
            .verb = verb->sval[0],
            .object = object->count > 0 ? object->sval[0] : NULL,
            .store = store->count > 0 ? store->sval[0] : NULL,
            .json = json->count > 0,
        };

        code = CLI_USAGE;
        if (read_revision(revision, &command.revision)) {
            code = run_verb(&command, policy);
        }
        g_free(policy);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
