/**
 * DOC: relay_show - "swiftarch relay-show": what is in force on processes of
 * relay mode
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <event2/event.h>
#include <glib.h>
#include <json-c/json.h>

#include "base/container.h"
#include "base/httpc.h"
#include "cli/cli.h"
#include "relay/relay_state.h"

#define ADDRESSES_MAX 1024
#define TIMEOUT_MS 2000
#define BODY_MAX (64u << 20)

/**
 * struct question - one process is asked
 * @call: the call
 * @base: events, left once the answer is there
 * @json: what it answered, or NULL
 * @status: HTTP status or a negative errno
 */
struct question {
    struct httpc_call call;
    struct event_base *base;
    struct json_object *json;
    int status;
};

static void
on_done(struct httpc_call *call, const struct httpc_reply *reply)
{
    struct question *question = container_of(call, struct question, call);
    struct json_tokener *tokener = json_tokener_new();

    question->status = reply->status;
    if (reply->status == 200) {
        question->json =
            json_tokener_parse_ex(tokener, reply->body, (int)reply->len);
    }
    json_tokener_free(tokener);
    event_base_loopbreak(question->base);
}

static const char *
text(struct json_object *json, const char *key)
{
    struct json_object *value = NULL;

    json_object_object_get_ex(json, key, &value);
    return json_object_is_type(value, json_type_string)
               ? json_object_get_string(value)
               : "-";
}

static int64_t
number(struct json_object *json, const char *key)
{
    struct json_object *value = NULL;

    json_object_object_get_ex(json, key, &value);
    return json_object_get_int64(value);
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
               "busy %" PRId64 " of %" PRId64 "\n",
               text(item, "address"), text(item, "service"),
               text(item, "data_centre"), text(item, "endpoint"),
               text(item, "health"), number(item, "busy"),
               number(item, "slots"));
    }
}

static void
print_state(const char *address, struct json_object *json)
{
    if (strcmp(text(json, "role"), "balancer") == 0) {
        printf("%s balancer %s in %s: version %" PRId64 ", %" PRId64
               " routes, %" PRId64 " learned, %" PRId64 " flows\n",
               address, text(json, "name"), text(json, "data_centre"),
               number(json, "version"), number(json, "routes"),
               number(json, "learned"), number(json, "flows"));
        print_agents(json);
        return;
    }
    printf("%s agent %s in %s: service %s, endpoint %s (%s), busy %" PRId64
           " of %" PRId64 ", %" PRId64 " held, %" PRId64
           " flows, newest version heard %" PRId64 "\n",
           address, text(json, "name"), text(json, "data_centre"),
           text(json, "service"), text(json, "endpoint"), text(json, "start"),
           number(json, "busy"), number(json, "slots"), number(json, "held"),
           number(json, "flows"), number(json, "version"));
}

/* Asks one process and prints its answer. */
static int
show_one(struct event_base *base, const char *address)
{
    static const struct httpc_request request = {
        .method = HTTPC_GET,
        .target = RELAY_STATE_PATH,
        .timeout_ms = TIMEOUT_MS,
    };
    struct question question = {.call.done = on_done, .base = base};
    struct httpc *httpc = NULL;
    struct addr addr;
    int code = CLI_NO_ANSWER;

    if (addr_parse(address, &addr) < 0) {
        fprintf(stderr, "%s: no address such as 127.0.0.1:8167\n", address);
        return CLI_USAGE;
    }
    httpc = httpc_new_addr(base, addr, BODY_MAX);
    if (httpc != NULL && httpc_start(httpc, &request, &question.call) == 0) {
        event_base_dispatch(base);
    }
    if (json_object_is_type(question.json, json_type_object)) {
        print_state(address, question.json);
        code = CLI_OK;
    }
    else {
        fprintf(stderr, "%s: no answer: %s\n", address,
                question.status < 0 ? strerror(-question.status)
                                    : "not a process of relay mode");
    }
    json_object_put(question.json);
    httpc_free(httpc);
    return code;
}

static int
show_all(const struct arg_str *addresses)
{
    struct event_base *base = event_base_new();
    int code = CLI_OK;

    if (base == NULL) {
        fprintf(stderr, "no memory\n");
        return CLI_FAILED;
    }
    for (int i = 0; i < addresses->count; i++) {
        int one = show_one(base, addresses->sval[i]);

        code = one != CLI_OK ? one : code;
    }
    event_base_free(base);
    return code;
}

int
cli_relay_show(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "print this");
    struct arg_str *addresses =
        arg_strn(NULL, NULL, "ADDRESS", 1, ADDRESSES_MAX,
                 "ready addresses of balancers and agents");
    struct arg_end *end = arg_end(5);
    void *table[] = {help, addresses, end};
    int code = CLI_FAILED;

    if (arg_nullcheck(table) != 0) {
        fprintf(stderr, "%s: no memory\n", argv[0]);
    }
    else if (cli_parse(table, help, end,
                       "Tell what is in force on processes of relay mode.",
                       argc, argv, &code)) {
        code = show_all(addresses);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
