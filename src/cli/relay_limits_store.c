#include "cli/relay_limits_store.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <event2/event.h>

#include "base/container.h"
#include "cli/cli.h"
#include "platform/object_store.h"
#include "relay/limits/limits_policy.h"

/**
 * struct limits_call - a call in progress
 * @call: the store's call
 * @base: event loop, stopped when the call ends
 * @status: status of the reply
 * @revision: revision of the object in the reply
 * @json: its value, or NULL
 */
struct limits_call {
    struct store_call call;
    struct event_base *base;
    int status;
    uint64_t revision;
    struct json_object *json;
};

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct limits_call *limits_call =
        container_of(call, struct limits_call, call);

    limits_call->status = reply->status;
    if (reply->status == 0 && reply->count > 0) {
        limits_call->revision = reply->objects[0].revision;
        limits_call->json = json_object_get(reply->objects[0].value);
    }
    event_base_loopbreak(limits_call->base);
}

int
relay_limits_store_init(struct relay_limits_store *limits_store,
                        const char *address)
{
    struct addr addr;

    memset(limits_store, 0, sizeof(*limits_store));
    if (addr_parse(address, &addr) < 0) {
        fprintf(stderr, "%s: expected an address such as 127.0.0.1:8080\n",
                address);
        return CLI_USAGE;
    }
    limits_store->address = address;
    limits_store->base = event_base_new();
    if (limits_store->base != NULL) {
        limits_store->store = object_store_new(limits_store->base, addr);
    }
    if (limits_store->store == NULL) {
        fprintf(stderr, "no memory\n");
        return CLI_FAILED;
    }
    return CLI_OK;
}

void
relay_limits_store_finish(struct relay_limits_store *limits_store)
{
    if (limits_store->store != NULL) {
        limits_store->store->ops->free(limits_store->store);
    }
    if (limits_store->base != NULL) {
        event_base_free(limits_store->base);
    }
}

int
relay_limits_store_read(struct relay_limits_store *limits_store,
                        struct json_object **json, uint64_t *revision)
{
    struct limits_call limits_call = {.call.done = on_done,
                                      .base = limits_store->base};
    struct store *store = limits_store->store;
    int ret = store->ops->get(store, LIMITS_POLICY_KIND, LIMITS_POLICY_NAME,
                              STORE_READ_LATEST, &limits_call.call);

    if (ret == 0) {
        event_base_dispatch(limits_store->base);
        ret = limits_call.status;
    }
    *json = limits_call.json;
    *revision = limits_call.revision;
    if (ret == 0 || ret == -ENOENT) {
        return CLI_OK;
    }
    fprintf(stderr, "%s: the store can't be read: %s\n", limits_store->address,
            strerror(-ret));
    return CLI_NO_ANSWER;
}

static int
start_write(struct relay_limits_store *limits_store, struct json_object *json,
            uint64_t revision, struct store_call *call)
{
    struct store *store = limits_store->store;

    if (json == NULL) {
        return store->ops->remove(store, LIMITS_POLICY_KIND,
                                  LIMITS_POLICY_NAME, revision, call);
    }
    if (revision == 0) {
        return store->ops->create(store, LIMITS_POLICY_KIND,
                                  LIMITS_POLICY_NAME, json, call);
    }
    return store->ops->replace(store, LIMITS_POLICY_KIND, LIMITS_POLICY_NAME,
                               json, revision, call);
}

/* Tells which revision the store has instead of the expected one. */
static int
report_conflict(struct relay_limits_store *limits_store, uint64_t expected)
{
    struct json_object *json;
    uint64_t found;

    if (relay_limits_store_read(limits_store, &json, &found) == CLI_OK) {
        fprintf(stderr,
                "the limits are at revision %" PRIu64 ", expected %" PRIu64
                "; nothing was written. Look at \"relay-limits show\", then "
                "give --revision %" PRIu64 "\n",
                found, expected, found);
        json_object_put(json);
    }
    return CLI_RACE_LOST;
}

/* Settles a write without a usable reply by reading: whether the store holds
 * what was to be written. If it doesn't, the write may still be executed. */
static bool
is_written(struct relay_limits_store *limits_store, struct json_object *json,
           uint64_t *revision)
{
    struct json_object *found = NULL;
    bool written =
        relay_limits_store_read(limits_store, &found, revision) == CLI_OK &&
        (json == NULL ? found == NULL : json_object_equal(found, json));

    json_object_put(found);
    return written;
}

int
relay_limits_store_write(struct relay_limits_store *limits_store,
                         struct json_object *json, uint64_t *revision)
{
    struct limits_call limits_call = {.call.done = on_done,
                                      .base = limits_store->base};
    int ret = start_write(limits_store, json, *revision, &limits_call.call);

    if (ret == 0) {
        event_base_dispatch(limits_store->base);
        ret = limits_call.status;
        json_object_put(limits_call.json);
    }
    switch (ret) {
    case 0:
        *revision = limits_call.revision;
        return CLI_OK;
    case -EEXIST:
    case -ENOENT:
        return report_conflict(limits_store, *revision);
    case -EBUSY:
    case -ECONNREFUSED:
        fprintf(stderr, "%s: the store refuses; nothing was written: %s\n",
                limits_store->address, strerror(-ret));
        return CLI_FAILED;
    default:
        if (is_written(limits_store, json, revision)) {
            return CLI_OK;
        }
        fprintf(stderr,
                "%s: whether it was written is unknown, look at "
                "\"relay-limits show\": %s\n",
                limits_store->address, strerror(-ret));
        return CLI_UNKNOWN;
    }
}
