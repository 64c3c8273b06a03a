/**
 * DOC: watcher - follows the objects of one kind in the store
 *
 * It lists once, then watches. A watch that is cut off resumes at the last
 * revision. When the store's history doesn't go back that far, or the store
 * has been restored from an older copy, the kind is listed again. Retries back
 * off while the store is down, as each call is paid for.
 */
#ifndef SWIFTARCH_RELAY_STORE_WATCHER_H
#define SWIFTARCH_RELAY_STORE_WATCHER_H

#include <stdbool.h>
#include <stdint.h>

#include "relay/store/store.h"

struct watcher;

/** struct watcher_ops - callbacks to the owner */
struct watcher_ops {
    /**
     * @listing: a list begins; objects that it doesn't contain no longer exist
     */
    void (*listing)(struct watcher *watcher);
    /** @object: an object of a list, or a changed or removed one */
    void (*object)(struct watcher *watcher, const struct store_object *object);
    /** @listed: the list is complete */
    void (*listed)(struct watcher *watcher);
    /**
     * @ended: a call ended with @status, 0 or a negative errno, and the next
     *         is due. @changed: the store answers again, or no longer does, or
     *         this was the first call
     */
    void (*ended)(struct watcher *watcher, int status, bool changed);
};

/** enum watcher_state - current or next call */
enum watcher_state {
    WATCHER_LIST,
    WATCHER_WATCH,
};

/**
 * struct watcher_backoff - pauses between watches that return changes
 *
 * The pause doubles each time a watch returns changes soon after it began, so
 * that a burst costs few calls and a single change is seen at once.
 *
 * @min_us: shortest pause
 * @max_us: longest pause
 */
struct watcher_backoff {
    uint64_t min_us;
    uint64_t max_us;
};

/**
 * struct watcher - follows one kind
 * @ops: callbacks
 * @call: the open call
 * @store: connection for this use only; not owned
 * @kind: kind of the objects
 * @state: current or next call
 * @open: a call is open
 * @after: last name of an incomplete list, or NULL
 * @epoch: the store's epoch in its last reply, 0 if unknown
 * @reported_epoch: last epoch passed to watcher_set_epoch()
 * @revision: revision up to which changes are known, of that epoch
 * @list_revision: revision of a list's first page
 * @needs_latest: the next list must be the latest, because the history since
 *                @revision is gone or a stale list was older than it
 * @rolled_back: the store was restored from an older copy, and the kind hasn't
 *               been listed since
 * @recovered_us: when stale reads no longer return objects that the store has
 *                lost; 0 until the first tick after the rollback
 * @last_empty: the last watch returned without changes, so the store answers
 * @failures: consecutive failed calls
 * @next_us: when the next call is due; 0 until the first tick after a call
 * @opened_us: when the open call began
 * @backoff: pauses between watches that return changes
 * @delay_us: the last of these pauses
 * @seed: varies pauses between processes
 * @read: mode of reads, set by watcher_set_read()
 * @calls: number of calls, by enum store_read_mode
 * @slow_retry: other processes detect the store's return: long pauses
 * @fast_retry: the owner can't work without a reply: short pauses
 * @notified_by_peers: peers also notify the owner of changes, so a stale watch
 *                     that is silently cut off delays little
 * @bounded: the owner's state may lag the store's by a few seconds only, so
 *           watches that read the latest are short
 * @call_read: mode of the open or last call
 * @replied_latest: the last call read the latest and succeeded, since the last
 *                  tick
 * @latest_us: when the store last replied to a read of the latest, 0 for never
 * @status: status of the last call, 1 before the first has ended
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
    bool rolled_back;
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
    bool bounded;
    enum store_read_mode call_read;
    bool replied_latest;
    uint64_t latest_us;
    int status;
};

/**
 * watcher_init() - follows @kind from @now_us on
 * @store: not freed by watcher_finish()
 * @backoff: pauses between watches that return changes
 * @seed: differs between processes
 */
void
watcher_init(struct watcher *watcher, const struct watcher_ops *ops,
             struct store *store, const char *kind,
             struct watcher_backoff backoff, uint64_t seed, uint64_t now_us);

/** watcher_finish() - frees the memory; an open call must have been cancelled
 */
void
watcher_finish(struct watcher *watcher);

/**
 * watcher_mode() - mode of the next reads of agents and evacuations
 * @reading: this host reads the latest for others
 *
 * After a failure a reader makes a stale read first, which costs less; not
 * after a rollback, as stale reads are no use for seconds then.
 */
enum store_read_mode
watcher_mode(const struct watcher *watcher, bool reading);

/** watcher_set_read() - sets the mode of the next reads; a change to the
 * latest restarts an open stale watch */
void
watcher_set_read(struct watcher *watcher, enum store_read_mode read);

/**
 * watcher_advance() - applies changes that another call returned
 * @since: revision that they follow; ignored unless it is the watcher's
 */
void
watcher_advance(struct watcher *watcher, uint64_t since,
                const struct store_reply *reply);

/**
 * watcher_set_epoch() - handles an epoch that a frame or another call reported
 *
 * A later epoch invalidates all that is known and the kind is listed again:
 * soon with reads of the latest, else once stale reads no longer return lost
 * objects. The epoch in the store's reply then counts, whichever it is.
 */
void
watcher_set_epoch(struct watcher *watcher, uint32_t epoch);

/** watcher_retry() - the store answers others again: shortens the current
 * pause */
void
watcher_retry(struct watcher *watcher, uint64_t now_us);

/** watcher_tick() - makes the call that is due; call it at watcher_next_us()
 */
void
watcher_tick(struct watcher *watcher, uint64_t now_us);

/** watcher_is_away() - whether the store doesn't answer: the last call failed,
 * or a list has been open for longer than @timeout_us */
bool
watcher_is_away(const struct watcher *watcher, uint64_t now_us,
                uint64_t timeout_us);

/**
 * watcher_failures() - consecutive failed calls
 *
 * At least 1 if a bounded watcher reads the latest and the store hasn't
 * replied to such a read for seconds, or ever: a watch that hangs doesn't
 * fail, and an open call is no sign that the store answers.
 */
unsigned
watcher_failures(const struct watcher *watcher, uint64_t now_us);

/** watcher_next_us() - when watcher_tick() is due; UINT64_MAX while a call is
 * open */
uint64_t
watcher_next_us(const struct watcher *watcher);

#endif
