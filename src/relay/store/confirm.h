/**
 * DOC: confirm - asks the store whether a list that is followed is complete
 *
 * A watch may have been silent for seconds without a sign. Where a decision
 * rests on nothing being missing, a call of its own asks for changes since the
 * revision that the follower knows: none means that the list is complete as of
 * that call. Changes that it brings instead are handed to the follower, whose
 * own watch may be told of them seconds later.
 */
#ifndef SWIFTARCH_RELAY_STORE_CONFIRM_H
#define SWIFTARCH_RELAY_STORE_CONFIRM_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/store/watcher.h"
#include "relay/store/store.h"

struct confirm;

/** struct confirm_ops - what the owner is told */
struct confirm_ops {
    /** @complete: the list was complete when the store was asked at @asked_us
     */
    void (*complete)(struct confirm *confirm, uint64_t asked_us);
};

/**
 * struct confirm - one list; the vtable comes first
 * @ops: the owner
 * @call: the open call
 * @store: connection of its own
 * @watcher: follower of the list
 * @open: a call is open
 * @epoch: epoch of the store in which it asked
 * @revision: revision that it asked for changes since
 * @asked_us: when
 */
struct confirm {
    const struct confirm_ops *ops;
    struct store_call call;
    struct store *store;
    struct watcher *watcher;
    bool open;
    uint32_t epoch;
    uint64_t revision;
    uint64_t asked_us;
};

/** confirm_init() - nothing is asked yet; @store isn't freed here */
void
confirm_init(struct confirm *confirm, const struct confirm_ops *ops,
             struct store *store, struct watcher *watcher);

/** confirm_start() - ask, unless a call is open or the list isn't read yet:
 * then nothing is told */
void
confirm_start(struct confirm *confirm, uint64_t now_us);

#endif
