#include "relay/store/confirm.h"

#include "base/container.h"

/* Shortest wait that a watch may have; the store answers at once. */
#define WATCH_WAIT_MIN_MS 1

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct confirm *confirm = container_of(call, struct confirm, call);

    confirm->open = false;
    if (reply->epoch != confirm->epoch ||
        confirm->watcher->epoch != confirm->epoch) {
        /* Revisions of different epochs can't be compared. */
        watcher_set_epoch(confirm->watcher, reply->epoch);
        return;
    }
    if (reply->status == 0 && reply->count > 0) {
        watcher_advance(confirm->watcher, confirm->revision, reply);
        return;
    }
    if (reply->status == 0 && reply->unreadable == 0 &&
        confirm->watcher->state == WATCHER_WATCH &&
        confirm->watcher->revision >= confirm->revision) {
        confirm->ops->complete(confirm, confirm->asked_us);
    }
}

void
confirm_init(struct confirm *confirm, const struct confirm_ops *ops,
             struct store *store, struct watcher *watcher)
{
    *confirm = (struct confirm){
        .ops = ops,
        .call.done = on_done,
        .store = store,
        .watcher = watcher,
    };
}

void
confirm_start(struct confirm *confirm, uint64_t now_us)
{
    if (confirm->open || confirm->watcher->state != WATCHER_WATCH) {
        return;
    }
    confirm->open = true;
    confirm->epoch = confirm->watcher->epoch;
    confirm->revision = confirm->watcher->revision;
    confirm->asked_us = now_us;
    if (confirm->store->ops->watch(confirm->store, confirm->watcher->kind,
                                   confirm->revision, WATCH_WAIT_MIN_MS,
                                   STORE_READ_LATEST, &confirm->call) < 0) {
        confirm->open = false;
    }
}
