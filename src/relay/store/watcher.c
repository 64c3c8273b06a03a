#include "relay/store/watcher.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/container.h"
#include "base/hash.h"

/* Durations of a watch, in ms. Each watch that returns empty costs a call, so
 * they are long once the store is known to answer. A store that hung when it
 * received a call never answers it, even after it recovers, and there is no
 * error. Watches are therefore short until one has returned empty, with jitter
 * so that a hang doesn't catch the watches of all processes, and shorter after
 * a failure. If peers notify the owner, stale watches may be long. The store
 * keeps history for 20 s or more: a watch that waits longer than that ends
 * with an error. */
#define WATCH_WAIT_MS 15000
#define WATCH_SHORT_MS 2000
#define WATCH_SHORT_JITTER_MS 1000
#define WATCH_FAILED_MS 500

/* For bounded watchers that read the latest: a hung watch must be noticed, and
 * changes be in force everywhere, within the time that operators allow the
 * hosts after a fault of the store, 4 s at least. */
#define WATCH_BOUNDED_MS 1500

/* For bounded watchers after a failure, or while they don't know whether the
 * store answers: it answers at once if it does. */
#define WATCH_PROMPT_MS 1

/* A bounded watcher that reads the latest has had no reply for so long only if
 * its watch hangs: the longest watch, and a slow store's reply. */
#define LATEST_MAX_AGE_US ((WATCH_BOUNDED_MS + 1000) * USEC_PER_MSEC)

/* First and longest pause after a failed call. The first is short because a
 * process without configuration can't serve; the longest bounds both the cost
 * of an outage and the time to detect its end. */
#define RETRY_MIN_US (50 * USEC_PER_MSEC)
#define RETRY_MAX_US (800 * USEC_PER_MSEC)

/* Longest pause with fast_retry: without a configuration a balancer serves no
 * caller. */
#define RETRY_FAST_MAX_US (150 * USEC_PER_MSEC)

/* First and longest pause with slow_retry, and the time within which such an
 * owner retries when peers report that the store answers. An outage then costs
 * calls of a few processes, not of the whole fleet. Its end goes unnoticed for
 * no longer than a configuration may take to be in force. */
#define RETRY_SLOW_MIN_US (400 * USEC_PER_MSEC)
#define RETRY_SLOW_MAX_US (3200 * USEC_PER_MSEC)
#define RETRY_WITHIN_US (300 * USEC_PER_MSEC)

/* Maximum age of a stale read. */
#define STALE_READ_MAX_US (10 * USEC_PER_SEC)

/* Pauses vary by up to 1/JITTER_DIVISOR between processes. */
#define JITTER_DIVISOR 4

static uint64_t
max_retry_pause(const struct watcher *watcher)
{
    if (watcher->fast_retry) {
        return RETRY_FAST_MAX_US;
    }
    return watcher->slow_retry ? RETRY_SLOW_MAX_US : RETRY_MAX_US;
}

static uint64_t
retry_pause_us(const struct watcher *watcher)
{
    uint64_t max_us = max_retry_pause(watcher);
    bool slow = watcher->slow_retry && !watcher->fast_retry;
    uint64_t pause_us = slow ? RETRY_SLOW_MIN_US : RETRY_MIN_US;
    uint64_t jitter;

    for (unsigned i = 1; i < watcher->failures && pause_us < max_us; i++) {
        pause_us *= 2;
    }
    pause_us = MIN(pause_us, max_us);
    jitter = hash_pair(watcher->seed, watcher->failures) %
             (pause_us / JITTER_DIVISOR);
    return pause_us + jitter;
}

static void
on_list_page(struct watcher *watcher, const struct store_reply *reply)
{
    if (watcher->after == NULL) {
        watcher->list_revision = reply->revision;
        watcher->ops->listing(watcher);
    }
    for (size_t i = 0; i < reply->count; i++) {
        watcher->ops->object(watcher, &reply->objects[i]);
    }
    g_free(watcher->after);
    watcher->after = NULL;
    if (reply->more && reply->count > 0) {
        watcher->after = g_strdup(reply->objects[reply->count - 1].name);
        return;
    }
    /* The watch begins at the first page's revision, to see changes made
     * between pages. */
    watcher->revision = watcher->list_revision;
    watcher->state = WATCHER_WATCH;
    watcher->needs_latest = false;
    watcher->rolled_back = false;
    watcher->ops->listed(watcher);
}

static void
on_watch_events(struct watcher *watcher, const struct store_reply *reply)
{
    watcher->last_empty = reply->count == 0;
    for (size_t i = 0; i < reply->count; i++) {
        watcher->ops->object(watcher, &reply->objects[i]);
    }
    if (reply->revision > watcher->revision) {
        watcher->revision = reply->revision;
    }
}

static void
on_failure(struct watcher *watcher, int status)
{
    watcher->last_empty = false;
    if (status == -ESTALE) {
        /* A stale list may be as old as @revision, and watches from there
         * would fail again. */
        watcher->state = WATCHER_LIST;
        watcher->needs_latest = true;
    }
    if (watcher->state == WATCHER_LIST) {
        g_free(watcher->after);
        watcher->after = NULL;
    }
    watcher->failures++;
}

/* Discards the known revision after a rollback; the kind is listed again. */
static void
reset_list(struct watcher *watcher)
{
    watcher->state = WATCHER_LIST;
    g_free(watcher->after);
    watcher->after = NULL;
    watcher->revision = 0;
    watcher->needs_latest = false;
    watcher->last_empty = false;
    watcher->rolled_back = true;
    watcher->recovered_us = 0;
}

/* Handles the epoch of a reply; returns whether the rest of it can be used. */
static bool
update_epoch(struct watcher *watcher, uint32_t epoch)
{
    bool first_page = watcher->state == WATCHER_LIST && watcher->after == NULL;

    if (epoch == 0 || epoch == watcher->epoch) {
        return true;
    }
    if (watcher->epoch == 0 ||
        (epoch > watcher->epoch && watcher->rolled_back && first_page)) {
        watcher->epoch = epoch;
        return true;
    }
    if (epoch < watcher->epoch) {
        return false;
    }
    watcher->epoch = epoch;
    reset_list(watcher);
    /* The first page of a latest list is valid; a stale one may hold lost
     * objects. */
    return first_page && watcher->read == STORE_READ_LATEST;
}

static void
apply_reply(struct watcher *watcher, const struct store_reply *reply)
{
    bool first_page = watcher->state == WATCHER_LIST && watcher->after == NULL;
    bool outdated = first_page && reply->revision < watcher->revision;

    if (outdated && !watcher->needs_latest) {
        /* A stale list must not undo newer changes. */
        watcher->needs_latest = true;
        return;
    }
    if (watcher->state == WATCHER_LIST) {
        on_list_page(watcher, reply);
    }
    else {
        on_watch_events(watcher, reply);
    }
}

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct watcher *watcher = container_of(call, struct watcher, call);
    int previous_status = watcher->status;
    bool usable = update_epoch(watcher, reply->epoch);

    watcher->open = false;
    watcher->status = reply->status;
    watcher->replied_latest = usable && reply->status == 0 &&
                              watcher->call_read == STORE_READ_LATEST;
    if (!usable) {
        /* The next call lists again. */
        watcher->failures = 0;
    }
    else if (reply->status != 0) {
        on_failure(watcher, reply->status);
    }
    else {
        watcher->failures = 0;
        apply_reply(watcher, reply);
    }
    /* The next tick sets the time, as it knows the current one. */
    watcher->next_us = 0;
    watcher->ops->ended(watcher, reply->status,
                        (previous_status == 0) != (reply->status == 0) ||
                            previous_status == 1);
}

/* Whether a bounded watcher that reads the latest lacks a recent reply. */
static bool
lacks_latest(const struct watcher *watcher, uint64_t now_us)
{
    return watcher->bounded && watcher->read == STORE_READ_LATEST &&
           (watcher->latest_us == 0 ||
            now_us - watcher->latest_us > LATEST_MAX_AGE_US);
}

/* Duration of a bounded watcher's watch. */
static unsigned
bounded_wait_ms(const struct watcher *watcher)
{
    return watcher->failures > 0 || lacks_latest(watcher, watcher->opened_us)
               ? WATCH_PROMPT_MS
               : WATCH_BOUNDED_MS;
}

static unsigned
watch_wait_ms(const struct watcher *watcher, enum store_read_mode read)
{
    if (watcher->bounded &&
        (watcher->failures > 0 || read == STORE_READ_LATEST)) {
        return bounded_wait_ms(watcher);
    }
    if (watcher->failures > 0) {
        return WATCH_FAILED_MS;
    }
    if (!watcher->last_empty &&
        !(watcher->notified_by_peers && watcher->read == STORE_READ_STALE)) {
        return WATCH_SHORT_MS +
               (unsigned)(hash_pair(watcher->seed, watcher->revision) %
                          WATCH_SHORT_JITTER_MS);
    }
    return WATCH_WAIT_MS;
}

/* When the list after a rollback is due: soon if it is the latest, else once
 * stale reads are recent enough. Jitter spreads the calls of all processes. */
static uint64_t
relist_due_us(struct watcher *watcher, uint64_t now_us)
{
    uint64_t jitter_us =
        hash_pair(watcher->seed, watcher->reported_epoch) % RETRY_WITHIN_US;

    if (watcher->recovered_us == 0) {
        watcher->recovered_us = now_us + STALE_READ_MAX_US;
    }
    return jitter_us + (watcher->read == STORE_READ_LATEST
                            ? now_us
                            : MAX(now_us, watcher->recovered_us));
}

/* Pause before the next watch. */
static uint64_t
next_delay(struct watcher *watcher, uint64_t now_us)
{
    const struct watcher_backoff *backoff = &watcher->backoff;
    bool quick = now_us - watcher->opened_us < backoff->max_us;

    if (watcher->last_empty || !quick) {
        watcher->delay_us = backoff->min_us;
    }
    else {
        watcher->delay_us =
            CLAMP(2 * watcher->delay_us, backoff->min_us, backoff->max_us);
    }
    return watcher->delay_us;
}

static int
start_call(struct watcher *watcher)
{
    struct store *store = watcher->store;
    bool stale_unsafe =
        watcher->rolled_back && watcher->opened_us < watcher->recovered_us;
    enum store_read_mode read = watcher->needs_latest || stale_unsafe
                                    ? STORE_READ_LATEST
                                    : watcher->read;

    watcher->calls[read]++;
    watcher->call_read = read;
    if (watcher->state == WATCHER_LIST) {
        return store->ops->list(store, watcher->kind, watcher->after, read,
                                &watcher->call);
    }
    return store->ops->watch(store, watcher->kind, watcher->revision,
                             watch_wait_ms(watcher, read), read,
                             &watcher->call);
}

void
watcher_init(struct watcher *watcher, const struct watcher_ops *ops,
             struct store *store, const char *kind,
             struct watcher_backoff backoff, uint64_t seed, uint64_t now_us)
{
    memset(watcher, 0, sizeof(*watcher));
    watcher->ops = ops;
    watcher->call.done = on_done;
    watcher->store = store;
    watcher->kind = kind;
    watcher->backoff = backoff;
    watcher->seed = seed;
    watcher->next_us = now_us;
    /* Neither reached nor failed: the end of the first call is reported as a
     * change. */
    watcher->status = 1;
}

void
watcher_finish(struct watcher *watcher)
{
    g_free(watcher->after);
    watcher->after = NULL;
}

/* Cancels an open watch; the next begins at once. */
static void
restart_watch(struct watcher *watcher)
{
    if (watcher->open && watcher->state == WATCHER_WATCH) {
        watcher->store->ops->cancel(watcher->store);
        watcher->open = false;
        watcher->next_us = watcher->opened_us;
    }
}

void
watcher_set_epoch(struct watcher *watcher, uint32_t epoch)
{
    bool listing = watcher->state == WATCHER_LIST;

    if (watcher->epoch == 0 || epoch <= watcher->epoch ||
        epoch <= watcher->reported_epoch) {
        return;
    }
    watcher->reported_epoch = epoch;
    if (watcher->open) {
        watcher->store->ops->cancel(watcher->store);
        watcher->open = false;
    }
    reset_list(watcher);
    if (!listing || watcher->failures == 0) {
        watcher->next_us = 0;
    }
}

void
watcher_advance(struct watcher *watcher, uint64_t since,
                const struct store_reply *reply)
{
    if (watcher->state != WATCHER_WATCH || watcher->revision != since) {
        return;
    }
    restart_watch(watcher);
    on_watch_events(watcher, reply);
}

enum store_read_mode
watcher_mode(const struct watcher *watcher, bool reading)
{
    return reading && (watcher->failures == 0 || watcher->rolled_back)
               ? STORE_READ_LATEST
               : STORE_READ_STALE;
}

void
watcher_set_read(struct watcher *watcher, enum store_read_mode read)
{
    bool upgraded =
        read == STORE_READ_LATEST && watcher->read == STORE_READ_STALE;

    watcher->read = read;
    if (upgraded) {
        restart_watch(watcher);
    }
    if (upgraded && watcher->rolled_back && !watcher->open) {
        watcher->next_us = 0;
    }
}

void
watcher_retry(struct watcher *watcher, uint64_t now_us)
{
    uint64_t soon_us =
        now_us + hash_pair(watcher->seed, now_us) % RETRY_WITHIN_US;

    if (watcher->failures > 0 && !watcher->open &&
        watcher->next_us > soon_us) {
        watcher->next_us = soon_us;
    }
}

void
watcher_tick(struct watcher *watcher, uint64_t now_us)
{
    if (watcher->replied_latest) {
        watcher->replied_latest = false;
        watcher->latest_us = now_us;
    }
    if (watcher->open) {
        return;
    }
    if (watcher->next_us == 0) {
        uint64_t pause_us = 0;

        if (watcher->failures > 0) {
            pause_us = retry_pause_us(watcher);
        }
        else if (watcher->state == WATCHER_WATCH) {
            pause_us = next_delay(watcher, now_us);
        }
        watcher->next_us = now_us + pause_us;
        if (watcher->rolled_back) {
            watcher->next_us =
                MAX(watcher->next_us, relist_due_us(watcher, now_us));
        }
    }
    if (watcher->next_us > now_us) {
        return;
    }
    watcher->opened_us = now_us;
    watcher->open = true;
    if (start_call(watcher) < 0) {
        watcher->open = false;
        watcher->failures++;
        watcher->next_us = 0;
    }
}

bool
watcher_is_away(const struct watcher *watcher, uint64_t now_us,
                uint64_t timeout_us)
{
    bool listing = watcher->open && watcher->state == WATCHER_LIST;

    return watcher->failures > 0 ||
           (listing && now_us - watcher->opened_us > timeout_us);
}

unsigned
watcher_failures(const struct watcher *watcher, uint64_t now_us)
{
    bool lacks = !watcher->replied_latest && lacks_latest(watcher, now_us);

    return lacks ? MAX(watcher->failures, 1) : watcher->failures;
}

uint64_t
watcher_next_us(const struct watcher *watcher)
{
    return watcher->open ? UINT64_MAX : watcher->next_us;
}
