#include "relay/store/watcher.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/container.h"
#include "base/hash.h"

/* How long a watch waits. The platform allows 30 s, but ends a watch with an
 * error once the revision that it began at has left the history, which is kept
 * for 20 s or more: the kind is then listed anew. Each that ends empty costs a
 * call. But a store that falls silent never answers the calls that
 * reached it then, also when it is back, and nothing else shows it. All
 * followers ask again at the same moment after a change: until a watch has
 * ended empty, which only a store that answers can bring about, it is brief,
 * and of different lengths, so that they aren't all lost together. One that
 * isn't tells the others through the agents. After a failure the store may be
 * silent by now: a tenth of what operators give a change to be in force. */
#define WATCH_WAIT_MS 15000
#define WATCH_SHORT_MS 2000
#define WATCH_SHORT_JITTER_MS 1000
#define WATCH_FAILED_MS 500

/* First and longest pause after a call that failed. A process without
 * configuration serves nobody, so the first is short; the longest bounds
 * what an outage costs, and how long its end goes unnoticed. */
#define RETRY_MIN_US (50 * USEC_PER_MSEC)
#define RETRY_MAX_US (800 * USEC_PER_MSEC)

/* The longest for an owner that can't work without an answer: a balancer
 * without configuration serves nobody, and a call is worth a fifth of a
 * request. */
#define RETRY_FAST_MAX_US (150 * USEC_PER_MSEC)

/* The first and the longest for an owner that is told when others reach the
 * store again, and within what time it then tries: what an outage costs grows
 * with those that look for its end, not with the fleet. Its end goes unnoticed
 * for no longer than operators give a change to be in force. */
#define RETRY_SLOW_MIN_US (400 * USEC_PER_MSEC)
#define RETRY_SLOW_MAX_US (3200 * USEC_PER_MSEC)
#define RETRY_WITHIN_US (300 * USEC_PER_MSEC)

/* How old cheap reads are at most: some seconds. */
#define STALE_READ_MAX_US (10 * USEC_PER_SEC)

/* Pauses differ by up to a quarter between processes. */
#define JITTER_PARTS 4

static uint64_t
max_retry_pause(const struct watcher *watcher)
{
    if (watcher->fast_retry) {
        return RETRY_FAST_MAX_US;
    }
    return watcher->slow_retry ? RETRY_SLOW_MAX_US : RETRY_MAX_US;
}

static uint64_t
pause_after(const struct watcher *watcher)
{
    uint64_t max_us = max_retry_pause(watcher);
    bool waits = watcher->slow_retry && !watcher->fast_retry;
    uint64_t pause_us = waits ? RETRY_SLOW_MIN_US : RETRY_MIN_US;
    uint64_t jitter;

    for (unsigned i = 1; i < watcher->failures && pause_us < max_us; i++) {
        pause_us *= 2;
    }
    pause_us = MIN(pause_us, max_us);
    jitter = hash_pair(watcher->seed, watcher->failures) %
             (pause_us / JITTER_PARTS);
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
    /* Changes made between two pages are watched for from the first. */
    watcher->revision = watcher->list_revision;
    watcher->state = WATCHER_WATCH;
    watcher->needs_latest = false;
    watcher->older = false;
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
        /* A list that may be old could be as old as what is known: watches
         * from there would fail again and again. */
        watcher->state = WATCHER_LIST;
        watcher->needs_latest = true;
    }
    if (watcher->state == WATCHER_LIST) {
        g_free(watcher->after);
        watcher->after = NULL;
    }
    watcher->failures++;
}

/* Nothing that is known stands any more. */
static void
reset_list(struct watcher *watcher)
{
    watcher->state = WATCHER_LIST;
    g_free(watcher->after);
    watcher->after = NULL;
    watcher->revision = 0;
    watcher->needs_latest = false;
    watcher->last_empty = false;
    watcher->older = true;
    watcher->recovered_us = 0;
}

/* Minds the epoch that an answer is of; whether the rest of it can be used. */
static bool
update_epoch(struct watcher *watcher, uint32_t epoch)
{
    bool lists = watcher->state == WATCHER_LIST && watcher->after == NULL;

    if (epoch == 0 || epoch == watcher->epoch) {
        return true;
    }
    if (watcher->epoch == 0 ||
        (epoch > watcher->epoch && watcher->older && lists)) {
        watcher->epoch = epoch;
        return true;
    }
    if (epoch < watcher->epoch) {
        return false;
    }
    watcher->epoch = epoch;
    reset_list(watcher);
    /* A list that began in the new epoch is whole; an old one may show what is
     * lost. */
    return lists && watcher->read == STORE_READ_LATEST;
}

static void
take(struct watcher *watcher, const struct store_reply *reply)
{
    bool first_page = watcher->state == WATCHER_LIST && watcher->after == NULL;
    bool older = first_page && reply->revision < watcher->revision;

    if (older && !watcher->needs_latest) {
        /* Nothing that is known is given up for it. */
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
    int before = watcher->status;
    bool usable = update_epoch(watcher, reply->epoch);

    watcher->open = false;
    watcher->status = reply->status;
    if (!usable) {
        /* The next call lists. */
        watcher->failures = 0;
    }
    else if (reply->status != 0) {
        on_failure(watcher, reply->status);
    }
    else {
        watcher->failures = 0;
        take(watcher, reply);
    }
    /* The pause is counted from the next tick, which knows the time. */
    watcher->next_us = 0;
    watcher->ops->ended(watcher, reply->status,
                        (before == 0) != (reply->status == 0) || before == 1);
}

static unsigned
watch_wait_ms(const struct watcher *watcher)
{
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

/* When the list after the store came back older is due: soon, but not for all
 * at once, where it is the latest. */
static uint64_t
relist_due_us(struct watcher *watcher, uint64_t now_us)
{
    uint64_t spread_us =
        hash_pair(watcher->seed, watcher->reported_epoch) % RETRY_WITHIN_US;

    if (watcher->recovered_us == 0) {
        watcher->recovered_us = now_us + STALE_READ_MAX_US;
    }
    return spread_us + (watcher->read == STORE_READ_LATEST
                            ? now_us
                            : MAX(now_us, watcher->recovered_us));
}

/* Pause before the next watch. */
static uint64_t
next_delay(struct watcher *watcher, uint64_t now_us)
{
    const struct watcher_backoff *backoff = &watcher->backoff;
    bool soon = now_us - watcher->opened_us < backoff->max_us;

    if (watcher->last_empty || !soon) {
        watcher->delay_us = backoff->min_us;
    }
    else {
        watcher->delay_us =
            CLAMP(2 * watcher->delay_us, backoff->min_us, backoff->max_us);
    }
    return watcher->delay_us;
}

static int
make_call(struct watcher *watcher)
{
    struct store *store = watcher->store;
    bool unsettled =
        watcher->older && watcher->opened_us < watcher->recovered_us;
    enum store_read_mode read =
        watcher->needs_latest || unsettled ? STORE_READ_LATEST : watcher->read;

    watcher->calls[read]++;
    if (watcher->state == WATCHER_LIST) {
        return store->ops->list(store, watcher->kind, watcher->after, read,
                                &watcher->call);
    }
    return store->ops->watch(store, watcher->kind, watcher->revision,
                             watch_wait_ms(watcher), read, &watcher->call);
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
    /* Neither reached nor failed so far: the first end of a call is told. */
    watcher->status = 1;
}

void
watcher_finish(struct watcher *watcher)
{
    g_free(watcher->after);
    watcher->after = NULL;
}

/* Ends an open watch; the next begins at once. */
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
    bool lists = watcher->state == WATCHER_LIST;

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
    if (!lists || watcher->failures == 0) {
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

void
watcher_set_read(struct watcher *watcher, enum store_read_mode read)
{
    bool better =
        read == STORE_READ_LATEST && watcher->read == STORE_READ_STALE;

    watcher->read = read;
    if (better) {
        restart_watch(watcher);
    }
    if (better && watcher->older && !watcher->open) {
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
    if (watcher->open) {
        return;
    }
    if (watcher->next_us == 0) {
        uint64_t pause_us = 0;

        if (watcher->failures > 0) {
            pause_us = pause_after(watcher);
        }
        else if (watcher->state == WATCHER_WATCH) {
            pause_us = next_delay(watcher, now_us);
        }
        watcher->next_us = now_us + pause_us;
        if (watcher->older) {
            watcher->next_us =
                MAX(watcher->next_us, relist_due_us(watcher, now_us));
        }
    }
    if (watcher->next_us > now_us) {
        return;
    }
    watcher->opened_us = now_us;
    watcher->open = true;
    if (make_call(watcher) < 0) {
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

uint64_t
watcher_next_us(const struct watcher *watcher)
{
    return watcher->open ? UINT64_MAX : watcher->next_us;
}
