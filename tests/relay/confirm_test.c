#include <errno.h>

#include "base/container.h"
#include "lib/harness.h"
#include "relay/store/confirm.h"

#define SUITE "/relay/confirm"

/** struct fixture - a list at revision 40, and a store whose replies the test
 * sends */
struct fixture {
    struct confirm confirm;
    struct store store;
    struct watcher watcher;
    struct store_call *call;
    uint64_t since;
    unsigned calls;
    unsigned objects;
    unsigned cancelled;
    uint64_t complete_us;
};

static int
store_watch(struct store *store, const char *kind, uint64_t revision,
            unsigned wait_ms, enum store_read_mode read,
            struct store_call *call)
{
    struct fixture *fixture = container_of(store, struct fixture, store);

    fixture->calls++;
    fixture->since = revision;
    fixture->call = call;
    return 0;
}

static void
store_cancel(struct store *store)
{
    container_of(store, struct fixture, store)->cancelled++;
}

static const struct store_ops store_ops = {.watch = store_watch,
                                           .cancel = store_cancel};

static void
object(struct watcher *watcher, const struct store_object *changed)
{
    container_of(watcher, struct fixture, watcher)->objects++;
}

static const struct watcher_ops watcher_ops = {.object = object};

static void
complete(struct confirm *confirm, uint64_t asked_us)
{
    container_of(confirm, struct fixture, confirm)->complete_us = asked_us;
}

static const struct confirm_ops ops = {complete};

static void
fixture_init(struct fixture *fixture)
{
    fixture->store.ops = &store_ops;
    fixture->watcher.kind = "agents";
    fixture->watcher.ops = &watcher_ops;
    fixture->watcher.store = &fixture->store;
    fixture->watcher.state = WATCHER_WATCH;
    fixture->watcher.revision = 40;
    confirm_init(&fixture->confirm, &ops, &fixture->store, &fixture->watcher);
}

static void
fixture_finish(struct fixture *fixture)
{
}

static void
answer(struct fixture *fixture, struct store_reply reply)
{
    fixture->call->done(fixture->call, &reply);
}

TEST_F(fixture, no_change_means_complete)
{
    confirm_start(&fixture->confirm, 1000);
    g_assert_cmpuint(fixture->since, ==, 40);
    answer(fixture, (struct store_reply){.revision = 44});
    g_assert_cmpuint(fixture->complete_us, ==, 1000);
}

TEST_F(fixture, changes_and_failures_confirm_nothing)
{
    struct store_object changed = {.name = "a", .revision = 43};
    const struct store_reply replies[] = {
        {.count = 1, .objects = &changed, .revision = 44},
        {.unreadable = 1, .revision = 44},
        {.status = -EBUSY},
        {.status = -ESTALE},
        {.status = -ETIMEDOUT},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
        confirm_start(&fixture->confirm, 1000 + i);
        answer(fixture, replies[i]);
        g_assert_cmpuint(fixture->complete_us, ==, 0);
    }
    g_assert_cmpuint(fixture->calls, ==, G_N_ELEMENTS(replies));
}

/* The watcher's own watch may receive the changes seconds later. */
TEST_F(fixture, changes_are_applied_unless_the_watcher_is_newer)
{
    struct store_object changed = {.name = "a", .revision = 43};
    struct store_reply changes = {
        .count = 1, .objects = &changed, .revision = 44};

    confirm_start(&fixture->confirm, 1000);
    answer(fixture, changes);
    g_assert_cmpuint(fixture->objects, ==, 1);
    g_assert_cmpuint(fixture->watcher.revision, ==, 44);
    confirm_start(&fixture->confirm, 2000);
    fixture->watcher.revision = 47;
    answer(fixture, changes);
    g_assert_cmpuint(fixture->objects, ==, 1);
    g_assert_cmpuint(fixture->watcher.revision, ==, 47);
}

TEST_F(fixture, changes_cancel_the_open_watch)
{
    struct store_object changed = {.name = "a", .revision = 43};

    fixture->watcher.open = true;
    confirm_start(&fixture->confirm, 1000);
    answer(fixture, (struct store_reply){
                        .count = 1, .objects = &changed, .revision = 44});
    g_assert_cmpuint(fixture->cancelled, ==, 1);
    g_assert_false(fixture->watcher.open);
}

/* The watcher lists again while the call is open. */
TEST_F(fixture, relisting_confirms_nothing)
{
    confirm_start(&fixture->confirm, 1000);
    fixture->watcher.state = WATCHER_LIST;
    answer(fixture, (struct store_reply){.revision = 44});
    g_assert_cmpuint(fixture->complete_us, ==, 0);
    confirm_start(&fixture->confirm, 2000);
    g_assert_cmpuint(fixture->calls, ==, 1);
}

TEST_F(fixture, one_call_at_a_time)
{
    confirm_start(&fixture->confirm, 1000);
    confirm_start(&fixture->confirm, 2000);
    g_assert_cmpuint(fixture->calls, ==, 1);
    answer(fixture, (struct store_reply){.revision = 44});
    g_assert_cmpuint(fixture->complete_us, ==, 1000);
}

/* Revisions repeat after a rollback of the store. */
TEST_F(fixture, reply_of_another_epoch_confirms_nothing)
{
    fixture->watcher.epoch = 1;
    confirm_start(&fixture->confirm, 1000);
    answer(fixture, (struct store_reply){.epoch = 2, .revision = 44});
    g_assert_cmpuint(fixture->complete_us, ==, 0);
    g_assert_cmpint(fixture->watcher.state, ==, WATCHER_LIST);
}

TEST_F(fixture, watcher_in_another_epoch_confirms_nothing)
{
    fixture->watcher.epoch = 1;
    confirm_start(&fixture->confirm, 1000);
    fixture->watcher.epoch = 2;
    answer(fixture, (struct store_reply){.epoch = 1, .revision = 44});
    g_assert_cmpuint(fixture->complete_us, ==, 0);
}
