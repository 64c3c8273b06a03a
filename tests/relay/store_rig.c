#include "relay/store_rig.h"

#include "base/container.h"
#include "relay/relay_rig.h"

static struct store_rig *
of_store(struct store *store)
{
    return container_of(store, struct store_rig, store);
}

static int
ask(struct store *store, struct store_call *call)
{
    g_assert_null(of_store(store)->call);
    of_store(store)->call = call;
    return 0;
}

static int
store_list(struct store *store, const char *kind, const char *after,
           enum store_read read, struct store_call *call)
{
    rig_note(of_store(store)->record, "list %s %s%s", kind,
             after != NULL ? after : "-",
             read == STORE_READ_ANY ? " any" : "");
    return ask(store, call);
}

static int
store_watch(struct store *store, const char *kind, uint64_t revision,
            unsigned wait_ms, enum store_read read, struct store_call *call)
{
    rig_note(of_store(store)->record, "watch %s %u%s", kind,
             (unsigned)revision, read == STORE_READ_ANY ? " any" : "");
    of_store(store)->wait_ms = wait_ms;
    return ask(store, call);
}

static int
store_put(struct store *store, const char *kind, const char *name,
          struct json_object *value, struct store_call *call)
{
    rig_note(of_store(store)->record, "put %s", name);
    return ask(store, call);
}

static int
store_create(struct store *store, const char *kind, const char *name,
             struct json_object *value, struct store_call *call)
{
    rig_note(of_store(store)->record, "create %s", name);
    return ask(store, call);
}

static int
store_remove(struct store *store, const char *kind, const char *name,
             uint64_t revision, struct store_call *call)
{
    rig_note(of_store(store)->record, "remove %s", name);
    return ask(store, call);
}

static void
store_cancel(struct store *store)
{
    rig_note(of_store(store)->record, "cancel");
    of_store(store)->call = NULL;
}

static int
store_get(struct store *store, const char *kind, const char *name,
          enum store_read read, struct store_call *call)
{
    rig_note(of_store(store)->record, "get %s%s", name,
             read == STORE_READ_ANY ? " any" : "");
    return ask(store, call);
}

static const struct store_ops store_ops = {
    store_list,   store_watch,  store_get,    store_put,
    store_create, store_remove, store_cancel, NULL};

void
store_rig_init(struct store_rig *rig)
{
    *rig = (struct store_rig){
        .store.ops = &store_ops,
        .record = g_string_new(NULL),
    };
}

void
store_rig_finish(struct store_rig *rig)
{
    g_string_free(rig->record, TRUE);
}

void
store_rig_answer(struct store_rig *rig, int status, uint64_t revision,
                 const char *name, bool more)
{
    struct store_object told = {.name = name, .revision = revision};
    struct store_reply reply = {
        .status = status,
        .era = rig->era,
        .revision = revision,
        .more = more,
        .objects = &told,
        .count = name != NULL ? 1 : 0,
    };
    struct store_call *call = rig->call;

    g_assert_nonnull(call);
    rig->call = NULL;
    call->done(call, &reply);
}
