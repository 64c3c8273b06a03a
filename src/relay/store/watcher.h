/**
 * DOC: watcher - keeps up with the objects of one kind in the store
 *
 * Lists once, then watches. A watch that is cut goes on from where it was;
 * when the store has forgotten that far back, or has come back from an older
 * copy of itself, the kind is listed anew. While the store is away calls get
 * rarer, as each one is paid for.
 */
#ifndef SWIFTARCH_RELAY_STORE_WATCHER_H
#define SWIFTARCH_RELAY_STORE_WATCHER_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/store/store.h"

struct watcher;

/** struct watcher_ops - what the owner is told */
struct watcher_ops {
    /** @listing: a list begins; what it doesn't name is no more */
    void (*listing)(struct watcher *watcher);
    /** @object: an object is as it says */
    void (*object)(struct watcher *watcher, const struct store_object *object);
    /** @listed: the list is whole */
    void (*listed)(struct watcher *watcher);
    /** @ended: a call ended with @status, 0 or a negative errno; the next is
     * due. @changed: the store answers again, or no more */
    void (*ended)(struct watcher *watcher, int status, bool changed);
};

/** enum watcher_state - what is being done */
enum watcher_state {
    WATCHER_LIST,
    WATCHER_WATCH,
};

/**
 * struct watcher_backoff - how soon a watch follows one that brought changes
 *
 * Each that brings some soon after it began doubles the pause before the
 * next, so that a burst costs few calls and a single change is known at once.
 *
 * @min_us: the shortest pause
 * @max_us: the longest
 */
struct watcher_backoff {
    uint64_t min_us;
    uint64_t max_us;
};

/**
 * struct watcher - one kind; the vtable comes first
 * @ops: the owner
 * @call: the open call
 * @store: connection of its own
 * @kind: kind
 * @state: what is done or due
 * @open: a call is open
 * @after: last name of a list that goes on, or NULL
 * @epoch: the store's era by its last answer, 0 when it isn't known
 * @reported_epoch: the last that others told of
 * @revision: the store's revision that is known, of that epoch
 * @list_revision: revision of a list's first page
 * @needs_latest: what is known has left the store's history, or a list was
 * older than it: the next list is the latest
 * @older: the store has come back older, and the kind isn't listed since
 * @recovered_us: when cheap reads show nothing any more that it has lost
 * @last_empty: the last watch ended empty: the store answers
 * @failures: calls that failed in a row
 * @next_us: when the next call is due
 * @opened_us: when the open call began
 * @backoff: pauses between calls while changes keep coming
 * @delay_us: the last of these
 * @seed: makes the pauses differ between processes
 * @read: how new what is read must be
 * @calls: calls made, by enum store_read_mode
 * @slow_retry: somebody else finds out when the store is back: pauses get long
 * @fast_retry: the owner can't work without an answer: pauses stay short
 * @notified_by_peers: its owner is told of changes by others too: a watch that
 *                  the store has dropped without a sign costs little
 * @status: how the last call ended
 */
struct watcher {
    const struct watcher_ops *ops;
    struct store_call call;
    struct store *store;
    const char *kind;
    enum watcher_state state;
    bool open;
    char *after;
    uint32_t epoch;
    uint32_t reported_epoch;
    uint64_t revision;
    uint64_t list_revision;
    bool needs_latest;
    bool older;
    uint64_t recovered_us;
    bool last_empty;
    unsigned failures;
    uint64_t next_us;
    uint64_t opened_us;
    struct watcher_backoff backoff;
    uint64_t delay_us;
    uint64_t seed;
    enum store_read_mode read;
    uint64_t calls[STORE_READ_COUNT];
    bool slow_retry;
    bool fast_retry;
    bool notified_by_peers;
    int status;
};

/**
 * watcher_init() - follow @kind from @now_us on
 * @store: not freed by watcher_finish()
 * @backoff: pauses after changes
 * @seed: differs between processes
 */
void
watcher_init(struct watcher *watcher, const struct watcher_ops *ops,
             struct store *store, const char *kind,
             struct watcher_backoff backoff, uint64_t seed, uint64_t now_us);

/** watcher_finish() - free the memory */
void
watcher_finish(struct watcher *watcher);

/** watcher_set_read() - how new the next changes must be; a watch that may be
 * told of old ones only is ended for one that isn't */
void
watcher_set_read(struct watcher *watcher, enum store_read_mode read);

/**
 * watcher_advance() - take changes that another call brought
 * @since: revision after which they are; when the follower knows more by now,
 *         they aren't taken
 */
void
watcher_advance(struct watcher *watcher, uint64_t since,
                const struct store_reply *reply);

/**
 * watcher_set_epoch() - the store's epoch is @epoch, somebody told
 *
 * After a change nothing that is known stands: the kind is listed anew, the
 * latest soon, by others once cheap reads can't show any more what is lost.
 * What the store then says of its epoch is believed, also if it is another.
 */
void
watcher_set_epoch(struct watcher *watcher, uint32_t epoch);

/** watcher_retry() - the store answers others again: don't wait for long */
void
watcher_retry(struct watcher *watcher, uint64_t now_us);

/** watcher_tick() - make the call that is due; call it at watcher_next_us() */
void
watcher_tick(struct watcher *watcher, uint64_t now_us);

/** watcher_is_away() - whether the store doesn't answer: the last call failed,
 * or a list is open for longer than @timeout_us */
bool
watcher_is_away(const struct watcher *watcher, uint64_t now_us,
                uint64_t timeout_us);

/** watcher_next_us() - when watcher_tick() is due; UINT64_MAX while a call is
 * open */
uint64_t
watcher_next_us(const struct watcher *watcher);

#endif
