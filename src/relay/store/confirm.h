/**
 * DOC: confirm - asks the store whether a watcher's list is complete
 *
 * A watch may be cut off for seconds without an error. Where a decision
 * depends on a complete list, a separate call asks for changes since the
 * watcher's revision. If there are none, the list was complete at the time of
 * the call. Changes in the reply are handed to the watcher, whose own watch
 * may receive them seconds later.
 */
#ifndef SWIFTARCH_RELAY_STORE_CONFIRM_H
#define SWIFTARCH_RELAY_STORE_CONFIRM_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/store/watcher.h"
#include "relay/store/store.h"

struct confirm;

/** struct confirm_ops - callbacks to the owner */
struct confirm_ops {
    /**
     * @complete: the list was complete at @asked_us, when the store was asked;
     *            not called if it wasn't or if the call failed
     */
    void (*complete)(struct confirm *confirm, uint64_t asked_us);
};

/**
 * struct confirm - checks the list of one watcher
 * @ops: callbacks
 * @call: the open call
 * @store: connection for this use only; not owned
 * @watcher: watcher of the list; not owned
 * @open: a call is open
 * @epoch: the watcher's epoch when the call began
 * @revision: the watcher's revision when the call began
 * @asked_us: when the call began
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

/** confirm_init() - prepares a check; makes no call */
void
confirm_init(struct confirm *confirm, const struct confirm_ops *ops,
             struct store *store, struct watcher *watcher);

/** confirm_start() - makes the call, unless one is open already or the watcher
 * has no complete list */
void
confirm_start(struct confirm *confirm, uint64_t now_us);

#endif
