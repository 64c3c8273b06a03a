#include "relay/store_fixture.h"

#include "base/container.h"
#include "relay/relay_fixture.h"

static struct store_fixture *
fixture_of(struct store *store)
{
    return container_of(store, struct store_fixture, store);
}

static int
start_call(struct store *store, struct store_call *call)
{
    g_assert_null(fixture_of(store)->call);
    fixture_of(store)->call = call;
    return 0;
}

static int
store_list(struct store *store, const char *kind, const char *after,
           enum store_read_mode read, struct store_call *call)
{
    fixture_record(fixture_of(store)->record, "list %s %s%s", kind,
                   after != NULL ? after : "-",
                   read == STORE_READ_STALE ? " stale" : "");
    return start_call(store, call);
}

static int
store_watch(struct store *store, const char *kind, uint64_t revision,
            unsigned wait_ms, enum store_read_mode read,
            struct store_call *call)
{
    fixture_record(fixture_of(store)->record, "watch %s %u%s", kind,
                   (unsigned)revision,
                   read == STORE_READ_STALE ? " stale" : "");
    fixture_of(store)->wait_ms = wait_ms;
    return start_call(store, call);
}

static int
store_put(struct store *store, const char *kind, const char *name,
          struct json_object *value, struct store_call *call)
{
    fixture_record(fixture_of(store)->record, "put %s", name);
    return start_call(store, call);
}

static int
store_create(struct store *store, const char *kind, const char *name,
             struct json_object *value, struct store_call *call)
{
    fixture_record(fixture_of(store)->record, "create %s", name);
    return start_call(store, call);
}

static int
store_remove(struct store *store, const char *kind, const char *name,
             uint64_t revision, struct store_call *call)
{
    fixture_record(fixture_of(store)->record, "remove %s", name);
    return start_call(store, call);
}

static void
store_cancel(struct store *store)
{
    fixture_record(fixture_of(store)->record, "cancel");
    fixture_of(store)->call = NULL;
}

static int
store_get(struct store *store, const char *kind, const char *name,
          enum store_read_mode read, struct store_call *call)
{
    fixture_record(fixture_of(store)->record, "get %s%s", name,
                   read == STORE_READ_STALE ? " stale" : "");
    return start_call(store, call);
}

static const struct store_ops store_ops = {
    store_list,   store_watch,  store_get,    store_put,
    store_create, store_remove, store_cancel, NULL};

void
store_fixture_init(struct store_fixture *fixture)
{
    *fixture = (struct store_fixture){
        .store.ops = &store_ops,
        .record = g_string_new(NULL),
    };
}

void
store_fixture_finish(struct store_fixture *fixture)
{
    g_string_free(fixture->record, TRUE);
}

void
store_fixture_reply(struct store_fixture *fixture, int status,
                    uint64_t revision, const char *name, bool more)
{
    struct store_object object = {.name = name, .revision = revision};
    struct store_reply reply = {
        .status = status,
        .epoch = fixture->epoch,
        .revision = revision,
        .more = more,
        .objects = &object,
        .count = name != NULL ? 1 : 0,
    };
    struct store_call *call = fixture->call;

    g_assert_nonnull(call);
    fixture->call = NULL;
    call->done(call, &reply);
}
