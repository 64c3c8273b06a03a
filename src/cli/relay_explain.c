/**
 * DOC: relay_explain - "swiftarch relay-explain": prints the state of one flow
 * on balancers and agents of relay mode
 */
#include "relay/program/relay_explain.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <event2/event.h>
#include <glib.h>

#include "cli/cli.h"
#include "cli/relay_query.h"

#define ADDRESSES_MAX 1024

static void
print_list(const char *label, struct json_object *json, const char *key)
{
    struct json_object *list = NULL;
    size_t count = 0;

    if (json_object_object_get_ex(json, key, &list)) {
        count = json_object_array_length(list);
    }
    printf("  %s:", label);
    for (size_t i = 0; i < count; i++) {
        printf(" %s",
               json_object_get_string(json_object_array_get_idx(list, i)));
    }
    printf("%s\n", count == 0 ? " none" : "");
}

static void
print_balancer(const char *address, struct json_object *json)
{
    bool routed = strcmp(relay_query_text(json, "route"), "-") != 0;

    if (!routed) {
        printf("%s balancer: no route in version %" PRId64 "\n", address,
               relay_query_number(json, "version"));
    }
    else {
        printf("%s balancer: route %s of version %" PRId64 ", service %s\n",
               address, relay_query_text(json, "route"),
               relay_query_number(json, "version"),
               relay_query_text(json, "service"));
    }
    if (relay_query_bool(json, "known")) {
        printf("  known for %" PRId64 " ms, %s, %" PRId64 " tries, %" PRId64
               " searches, last at %s%s\n",
               relay_query_number(json, "age_ms"),
               relay_query_bool(json, "opened") ? "open" : "opening",
               relay_query_number(json, "tries"),
               relay_query_number(json, "searches"),
               relay_query_text(json, "holder"),
               relay_query_bool(json, "held") ? ", which has queued its SYN"
                                              : "");
        print_list("endpoints that answered are beside", json, "places");
    }
    if (routed) {
        if (relay_query_bool(json, "evacuated")) {
            printf("  a new flow would be refused: all agents of the service "
                   "are in evacuated data centres\n");
        }
        if (json_object_object_get_ex(json, "limits", NULL)) {
            print_list("limits that a new flow meets", json, "limits");
        }
        if (json_object_object_get_ex(json, "refused_by", NULL)) {
            printf("  a new flow would be refused now by limit %s\n",
                   relay_query_text(json, "refused_by"));
        }
        print_list("a new flow would go to", json, "next");
    }
}

/* The part about a held request; empty if there is none. */
static const char *
format_held(struct json_object *json, char *text, size_t size)
{
    text[0] = '\0';
    if (relay_query_bool(json, "held")) {
        snprintf(text, size,
                 ", request of priority %" PRId64 " held for %" PRId64
                 " ms with %" PRId64 " before it and %" PRId64
                 " ms left to its target",
                 relay_query_number(json, "priority"),
                 relay_query_number(json, "wait_ms"),
                 relay_query_number(json, "before"),
                 relay_query_number(json, "left_ms"));
    }
    return text;
}

static void
print_agent(const char *address, struct json_object *json)
{
    char held[160];

    if (!relay_query_bool(json, "known")) {
        printf("%s agent: not known\n", address);
        return;
    }
    printf(
        "%s agent: %s%s%s%s%s, through balancer %s, sent on to %s\n", address,
        relay_query_text(json, "state"),
        relay_query_bool(json, "confirmed") ? ", confirmed by its caller" : "",
        relay_query_bool(json, "proven") ? ", answered by its endpoint" : "",
        relay_query_bool(json, "in_progress") ? ", request in progress" : "",
        format_held(json, held, sizeof(held)),
        relay_query_text(json, "balancer"), relay_query_text(json, "sent_to"));
}

static int
explain_one(struct event_base *base, const char *address, const char *target)
{
    struct json_object *json = NULL;
    int code = relay_query(base, address, target, &json);

    if (code != CLI_OK) {
        return code;
    }
    if (strcmp(relay_query_text(json, "role"), "balancer") == 0) {
        print_balancer(address, json);
    }
    else {
        print_agent(address, json);
    }
    json_object_put(json);
    return CLI_OK;
}

static int
explain_all(const char *caller, const char *service,
            const struct arg_str *addresses)
{
    struct event_base *base;
    struct addr addr;
    char *target;
    int code = CLI_OK;

    if (addr_parse(caller, &addr) < 0 || addr_parse(service, &addr) < 0) {
        fprintf(stderr, "CALLER and SERVICE must be ADDRESS:PORT\n");
        return CLI_USAGE;
    }
    base = event_base_new();
    if (base == NULL) {
        fprintf(stderr, "no memory\n");
        return CLI_FAILED;
    }
    target = g_strdup_printf("%s?caller=%s&service=%s", RELAY_EXPLAIN_PATH,
                             caller, service);
    for (int i = 0; i < addresses->count; i++) {
        int one = explain_one(base, addresses->sval[i], target);

        code = one != CLI_OK ? one : code;
    }
    g_free(target);
    event_base_free(base);
    return code;
}

int
cli_relay_explain(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_str *caller =
        arg_str1(NULL, NULL, "CALLER", "the caller's address and port");
    struct arg_str *service =
        arg_str1(NULL, NULL, "SERVICE", "address and port of the service");
    struct arg_str *addresses =
        arg_strn(NULL, NULL, "ADDRESS", 1, ADDRESSES_MAX,
                 "ready addresses of balancers and agents");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, caller, service, addresses, end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, help, end,
                       "Show the state of one flow on balancers and agents.",
                       argc, argv, &code)) {
        code = explain_all(caller->sval[0], service->sval[0], addresses);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
