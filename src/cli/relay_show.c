/**
 * DOC: relay_show - "swiftarch relay-show": prints the state of balancers and
 * agents of relay mode
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <event2/event.h>
#include <glib.h>
#include <json-c/json.h>

#include "cli/cli.h"
#include "cli/relay_query.h"
#include "relay/program/relay_pressure.h"
#include "relay/program/relay_state.h"

#define ADDRESSES_MAX 1024

/* Prints what an agent reports of its endpoint's load, if it does. */
static void
print_load(struct json_object *item)
{
    if (!json_object_object_get_ex(item, "level", NULL)) {
        return;
    }
    printf(", %.1f ms a request, expected wait %.1f ms, %" PRId64
           " flows, %" PRId64 " stuck, %s",
           (double)relay_query_number(item, "service_time_us") / 1000,
           (double)relay_query_number(item, "expected_wait_us") / 1000,
           relay_query_number(item, "flows"),
           relay_query_number(item, "stuck"), relay_query_text(item, "level"));
    if (relay_query_number(item, "level_ms") > 0) {
        printf(" for %.1f s (%s)",
               (double)relay_query_number(item, "level_ms") / 1000,
               relay_query_text(item, "level_cause"));
    }
}

static void
print_agents(struct json_object *json)
{
    struct json_object *list = NULL;
    size_t count = 0;

    if (json_object_object_get_ex(json, "agents", &list)) {
        count = json_object_array_length(list);
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *item = json_object_array_get_idx(list, i);

        printf("  agent %-21s service %s in %-12s endpoint %-8s %-7s "
               "busy %" PRId64 " of %" PRId64 "%s",
               relay_query_text(item, "address"),
               relay_query_text(item, "service"),
               relay_query_text(item, "data_centre"),
               relay_query_text(item, "endpoint"),
               relay_query_text(item, "health"),
               relay_query_number(item, "busy"),
               relay_query_number(item, "slots"),
               relay_query_bool(item, "evacuated") ? ", evacuated" : "");
        print_load(item);
        printf("\n");
    }
}

/* The part about requests that the agent schedules; empty if it doesn't. */
static const char *
format_requests(struct json_object *json, char *text, size_t size)
{
    int64_t limit = relay_query_number(json, "limit");

    text[0] = '\0';
    if (limit > 0) {
        snprintf(text, size,
                 ", %" PRId64 " requests held, endpoint takes %" PRId64,
                 relay_query_number(json, "held_requests"), limit);
    }
    return text;
}

/* Prints the operators' limits of a balancer that follows them. */
static void
print_limits(struct json_object *json)
{
    struct json_object *list = NULL;

    if (!json_object_object_get_ex(json, "limits", &list)) {
        return;
    }
    if (!relay_query_bool(json, "limits_read")) {
        printf("  limits: not read from the store yet, none in force\n");
        return;
    }
    printf("  limits: %zu as of revision %" PRId64 "\n",
           json_object_array_length(list),
           relay_query_number(json, "limits_revision"));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        struct json_object *item = json_object_array_get_idx(list, i);

        printf("  limit %s on %s: %s, read %" PRId64 " s ago, %" PRId64
               " new flows allowed, %" PRId64 " refused, by %s: %s\n",
               relay_query_text(item, "name"),
               relay_query_text(item, "target"),
               relay_query_bool(item, "in_force") ? "in force"
                                                  : "not in force now",
               relay_query_number(item, "since_s"),
               relay_query_number(item, "allowed"),
               relay_query_number(item, "refused"),
               relay_query_text(item, "by"), relay_query_text(item, "why"));
    }
}

static void
print_state(const char *address, struct json_object *json)
{
    char requests[80];

    if (strcmp(relay_query_text(json, "role"), "balancer") == 0) {
        printf("%s balancer %s in %s: version %" PRId64 ", %" PRId64
               " routes, %" PRId64 " learned, %" PRId64 " flows, %" PRId64
               " data centres evacuated as of revision %" PRId64 "\n",
               address, relay_query_text(json, "name"),
               relay_query_text(json, "data_centre"),
               relay_query_number(json, "version"),
               relay_query_number(json, "routes"),
               relay_query_number(json, "learned"),
               relay_query_number(json, "flows"),
               relay_query_number(json, "evacuations"),
               relay_query_number(json, "evacuations_revision"));
        print_limits(json);
        print_agents(json);
        return;
    }
    printf(
        "%s agent %s in %s: service %s, endpoint %s (%s), busy %" PRId64
        " of %" PRId64 ", %" PRId64 " queued%s, %" PRId64
        " flows, newest version reported %" PRId64 "%s",
        address, relay_query_text(json, "name"),
        relay_query_text(json, "data_centre"),
        relay_query_text(json, "service"), relay_query_text(json, "endpoint"),
        relay_query_text(json, "start"), relay_query_number(json, "busy"),
        relay_query_number(json, "slots"), relay_query_number(json, "held"),
        format_requests(json, requests, sizeof(requests)),
        relay_query_number(json, "flows"), relay_query_number(json, "version"),
        relay_query_bool(json, "evacuated") ? ", data centre evacuated" : "");
    if (json_object_object_get_ex(json, "recorded_flows", NULL)) {
        printf(", %" PRId64 " flows recorded, %" PRId64 " reset by record",
               relay_query_number(json, "recorded_flows"),
               relay_query_number(json, "recorded_flows_reset"));
    }
    printf("\n");
}

static struct json_object *
list_of(struct json_object *json, const char *key, size_t *count)
{
    struct json_object *list = NULL;

    *count = 0;
    if (json_object_object_get_ex(json, key, &list) &&
        json_object_is_type(list, json_type_array)) {
        *count = json_object_array_length(list);
    }
    return list;
}

static void
print_heaviest(struct json_object *service)
{
    size_t count;
    struct json_object *list = list_of(service, "heaviest", &count);

    for (size_t i = 0; i < count; i++) {
        struct json_object *caller = json_object_array_get_idx(list, i);

        printf("    caller %s: %" PRId64 " flows a second, %" PRId64
               " admitted\n",
               relay_query_text(caller, "caller"),
               relay_query_number(caller, "offered_per_s"),
               relay_query_number(caller, "admitted_per_s"));
    }
}

static void
print_threshold(struct json_object *service)
{
    struct json_object *threshold;
    int64_t level = relay_query_number(service, "level_per_s");

    if (json_object_object_get_ex(service, "refused_from_priority",
                                  &threshold)) {
        printf(", refused from priority %" PRId64,
               json_object_get_int64(threshold));
    }
    if (level > 0) {
        printf(", %" PRId64 " flows a second for each caller", level);
    }
}

static void
print_service_pressure(struct json_object *service)
{
    printf("  service %s: %" PRId64 " of %" PRId64
           " agents heard, busy %" PRId64 " of %" PRId64 ", %" PRId64
           " flows a second offered, ",
           relay_query_text(service, "service"),
           relay_query_number(service, "heard"),
           relay_query_number(service, "agents"),
           relay_query_number(service, "busy"),
           relay_query_number(service, "capacity"),
           relay_query_number(service, "offered_per_s"));
    if (relay_query_bool(service, "room")) {
        printf("room");
    }
    else {
        printf("wait %" PRId64 " ms", relay_query_number(service, "wait_ms"));
    }
    printf(", %" PRId64 " per mille rejected",
           relay_query_number(service, "rejects_per_mille"));
    print_threshold(service);
    printf("; admitted %" PRId64 ", refused for their wait %" PRId64
           ", for their share %" PRId64 "\n",
           relay_query_number(service, "admitted"),
           relay_query_number(service, "refused_wait"),
           relay_query_number(service, "refused_share"));
    print_heaviest(service);
}

static void
print_pressure(const char *address, struct json_object *json)
{
    size_t count;
    struct json_object *list = list_of(json, "services", &count);

    printf("%s refusals under pressure are %s\n", address,
           relay_query_bool(json, "on") ? "on" : "off");
    for (size_t i = 0; i < count; i++) {
        print_service_pressure(json_object_array_get_idx(list, i));
    }
}

/* Queries one process and prints its state, or pressure. */
static int
show_one(struct event_base *base, const char *address, bool pressure)
{
    struct json_object *json = NULL;
    int code =
        relay_query(base, address,
                    pressure ? RELAY_PRESSURE_PATH : RELAY_STATE_PATH, &json);

    if (code != CLI_OK) {
        return code;
    }
    if (pressure) {
        print_pressure(address, json);
    }
    else {
        print_state(address, json);
    }
    json_object_put(json);
    return code;
}

static int
show_all(const struct arg_str *addresses, bool pressure)
{
    struct event_base *base = event_base_new();
    int code = CLI_OK;

    if (base == NULL) {
        fprintf(stderr, "no memory\n");
        return CLI_FAILED;
    }
    for (int i = 0; i < addresses->count; i++) {
        int one = show_one(base, addresses->sval[i], pressure);

        code = one != CLI_OK ? one : code;
    }
    event_base_free(base);
    return code;
}

int
cli_relay_show(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_lit *pressure =
        arg_lit0(NULL, "pressure",
                 "what balancers believe of the services' "
                 "room, and whom they refuse");
    struct arg_str *addresses =
        arg_strn(NULL, NULL, "ADDRESS", 1, ADDRESSES_MAX,
                 "ready addresses of balancers and agents");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, pressure, addresses, end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, help, end,
                       "Show the state of balancers and agents.", argc, argv,
                       &code)) {
        code = show_all(addresses, pressure->count > 0);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
