#include "cli/relay_query.h"

#include <stdio.h>
#include <string.h>

#include "base/container.h"
#include "base/httpc.h"

#define TIMEOUT_MS 2000

/* Largest reply, in bytes. */
#define BODY_MAX (64u << 20)

/**
 * struct query - a query in progress
 * @call: the HTTP call
 * @base: event loop, stopped when the call ends
 * @json: the parsed reply, or NULL
 * @status: HTTP status or a negative errno
 */
struct query {
    struct httpc_call call;
    struct event_base *base;
    struct json_object *json;
    int status;
};

static void
on_done(struct httpc_call *call, const struct httpc_reply *reply)
{
    struct query *query = container_of(call, struct query, call);
    struct json_tokener *tokener = json_tokener_new();

    query->status = reply->status;
    if (reply->status == HTTPC_OK) {
        query->json =
            json_tokener_parse_ex(tokener, reply->body, (int)reply->len);
    }
    json_tokener_free(tokener);
    event_base_loopbreak(query->base);
}

int
relay_query(struct event_base *base, const char *address, const char *target,
            struct json_object **json)
{
    struct query query = {.call.done = on_done, .base = base};
    struct httpc_request request = {
        .method = HTTPC_GET,
        .target = target,
        .timeout_ms = TIMEOUT_MS,
    };
    struct httpc *httpc;
    struct addr addr;

    if (addr_parse(address, &addr) < 0) {
        fprintf(stderr, "%s: expected an address such as 127.0.0.1:8167\n",
                address);
        return CLI_USAGE;
    }
    httpc = httpc_new_addr(base, addr, BODY_MAX);
    if (httpc != NULL && httpc_start(httpc, &request, &query.call) == 0) {
        event_base_dispatch(base);
    }
    httpc_free(httpc);
    if (json_object_is_type(query.json, json_type_object)) {
        *json = query.json;
        return CLI_OK;
    }
    json_object_put(query.json);
    fprintf(stderr, "%s: query failed: %s\n", address,
            query.status < 0 ? strerror(-query.status)
                             : "the reply is not from a balancer or an agent");
    return CLI_NO_ANSWER;
}

const char *
relay_query_text(struct json_object *json, const char *key)
{
    struct json_object *value = NULL;

    json_object_object_get_ex(json, key, &value);
    return json_object_is_type(value, json_type_string)
               ? json_object_get_string(value)
               : "-";
}

int64_t
relay_query_number(struct json_object *json, const char *key)
{
    struct json_object *value = NULL;

    json_object_object_get_ex(json, key, &value);
    return json_object_get_int64(value);
}

bool
relay_query_bool(struct json_object *json, const char *key)
{
    struct json_object *value = NULL;

    json_object_object_get_ex(json, key, &value);
    return json_object_get_boolean(value);
}
