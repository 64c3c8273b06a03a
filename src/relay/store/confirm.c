#include "relay/store/confirm.h"

#include "base/container.h"

/* The shortest wait of a watch: it answers at once. */
#define WAIT_MS 1

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct confirm *confirm = container_of(call, struct confirm, call);

    confirm->open = false;
    if (reply->status == 0 && reply->count > 0) {
        follow_advance(confirm->follow, confirm->revision, reply);
        return;
    }
    if (reply->status == 0 && reply->unreadable == 0 &&
        confirm->follow->state == FOLLOW_WATCH &&
        confirm->follow->revision >= confirm->revision) {
        confirm->ops->whole(confirm, confirm->asked_us);
    }
}

void
confirm_init(struct confirm *confirm, const struct confirm_ops *ops,
             struct store *store, struct follow *follow)
{
    *confirm = (struct confirm){
        .ops = ops,
        .call.done = on_done,
        .store = store,
        .follow = follow,
    };
}

void
confirm_ask(struct confirm *confirm, uint64_t now_us)
{
    if (confirm->open || confirm->follow->state != FOLLOW_WATCH) {
        return;
    }
    confirm->open = true;
    confirm->revision = confirm->follow->revision;
    confirm->asked_us = now_us;
    if (confirm->store->ops->watch(confirm->store, confirm->follow->kind,
                                   confirm->revision, WAIT_MS,
                                   STORE_READ_LATEST, &confirm->call) < 0) {
        confirm->open = false;
    }
}
