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
#define WATCH_BRIEF_MS 2000
#define WATCH_BRIEF_SPREAD_MS 1000
#define WATCH_FAILED_MS 500

/* First and longest pause after a call that failed. A process without
 * configuration serves nobody, so the first is short; the longest bounds
 * what an outage costs, and how long its end goes unnoticed. */
#define PAUSE_FIRST_US (50 * USEC_PER_MSEC)
#define PAUSE_LONGEST_US (800 * USEC_PER_MSEC)

/* The longest for an owner that can't work without an answer: a balancer
 * without configuration serves nobody, and a call is worth a fifth of a
 * request. */
#define PAUSE_EAGER_US (150 * USEC_PER_MSEC)

/* The first and the longest for an owner that is told when others reach the
 * store again, and within what time it then tries: what an outage costs grows
 * with those that look for its end, not with the fleet. Its end goes unnoticed
 * for no longer than operators give a change to be in force. */
#define PAUSE_PATIENT_FIRST_US (400 * USEC_PER_MSEC)
#define PAUSE_PATIENT_US (3200 * USEC_PER_MSEC)
#define RETRY_WITHIN_US (300 * USEC_PER_MSEC)

/* How old cheap reads are at most: some seconds. */
#define OLD_READS_US (10 * USEC_PER_SEC)

/* Pauses differ by up to a quarter between processes. */
#define JITTER_PARTS 4

static uint64_t
longest_pause(const struct watcher *watcher)
{
    if (watcher->eager) {
        return PAUSE_EAGER_US;
    }
    return watcher->patient ? PAUSE_PATIENT_US : PAUSE_LONGEST_US;
}

static uint64_t
pause_after(const struct watcher *watcher)
{
    uint64_t longest_us = longest_pause(watcher);
    bool waits = watcher->patient && !watcher->eager;
    uint64_t pause_us = waits ? PAUSE_PATIENT_FIRST_US : PAUSE_FIRST_US;
    uint64_t jitter;

    for (unsigned i = 1; i < watcher->failures && pause_us < longest_us; i++) {
        pause_us *= 2;
    }
    pause_us = MIN(pause_us, longest_us);
    jitter = hash_pair(watcher->seed, watcher->failures) %
             (pause_us / JITTER_PARTS);
    return pause_us + jitter;
}

static void
list_page(struct watcher *watcher, const struct store_reply *reply)
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
    watcher->outdated = false;
    watcher->older = false;
    watcher->ops->listed(watcher);
}

static void
watch_events(struct watcher *watcher, const struct store_reply *reply)
{
    watcher->quiet = reply->count == 0;
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
    watcher->quiet = false;
    if (status == -ESTALE) {
        /* A list that may be old could be as old as what is known: watches
         * from there would fail again and again. */
        watcher->state = WATCHER_LIST;
        watcher->outdated = true;
    }
    if (watcher->state == WATCHER_LIST) {
        g_free(watcher->after);
        watcher->after = NULL;
    }
    watcher->failures++;
}

/* Nothing that is known stands any more. */
static void
begin_anew(struct watcher *watcher)
{
    watcher->state = WATCHER_LIST;
    g_free(watcher->after);
    watcher->after = NULL;
    watcher->revision = 0;
    watcher->outdated = false;
    watcher->quiet = false;
    watcher->older = true;
    watcher->settled_us = 0;
}

/* Minds the era that an answer is of; whether the rest of it can be used. */
static bool
take_era(struct watcher *watcher, uint32_t era)
{
    bool lists = watcher->state == WATCHER_LIST && watcher->after == NULL;

    if (era == 0 || era == watcher->era) {
        return true;
    }
    if (watcher->era == 0 || (era > watcher->era && watcher->older && lists)) {
        watcher->era = era;
        return true;
    }
    if (era < watcher->era) {
        return false;
    }
    watcher->era = era;
    begin_anew(watcher);
    /* A list that began in the new era is whole; an old one may show what is
     * lost. */
    return lists && watcher->read == STORE_READ_LATEST;
}

static void
take(struct watcher *watcher, const struct store_reply *reply)
{
    bool first_page = watcher->state == WATCHER_LIST && watcher->after == NULL;
    bool older = first_page && reply->revision < watcher->revision;

    if (older && !watcher->outdated) {
        /* Nothing that is known is given up for it. */
        watcher->outdated = true;
        return;
    }
    if (watcher->state == WATCHER_LIST) {
        list_page(watcher, reply);
    }
    else {
        watch_events(watcher, reply);
    }
}

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct watcher *watcher = container_of(call, struct watcher, call);
    int before = watcher->status;
    bool usable = take_era(watcher, reply->era);

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
    if (!watcher->quiet &&
        !(watcher->told_by_others && watcher->read == STORE_READ_ANY)) {
        return WATCH_BRIEF_MS +
               (unsigned)(hash_pair(watcher->seed, watcher->revision) %
                          WATCH_BRIEF_SPREAD_MS);
    }
    return WATCH_WAIT_MS;
}

/* When the list after the store came back older is due: soon, but not for all
 * at once, where it is the latest. */
static uint64_t
list_anew_us(struct watcher *watcher, uint64_t now_us)
{
    uint64_t spread_us =
        hash_pair(watcher->seed, watcher->told_era) % RETRY_WITHIN_US;

    if (watcher->settled_us == 0) {
        watcher->settled_us = now_us + OLD_READS_US;
    }
    return spread_us + (watcher->read == STORE_READ_LATEST
                            ? now_us
                            : MAX(now_us, watcher->settled_us));
}

/* Pause before the next watch. */
static uint64_t
next_gap(struct watcher *watcher, uint64_t now_us)
{
    const struct watcher_pace *pace = &watcher->pace;
    bool soon = now_us - watcher->opened_us < pace->longest_us;

    if (watcher->quiet || !soon) {
        watcher->gap_us = pace->first_us;
    }
    else {
        watcher->gap_us =
            CLAMP(2 * watcher->gap_us, pace->first_us, pace->longest_us);
    }
    return watcher->gap_us;
}

static int
make_call(struct watcher *watcher)
{
    struct store *store = watcher->store;
    bool unsettled =
        watcher->older && watcher->opened_us < watcher->settled_us;
    enum store_read read =
        watcher->outdated || unsettled ? STORE_READ_LATEST : watcher->read;

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
             struct store *store, const char *kind, struct watcher_pace pace,
             uint64_t seed, uint64_t now_us)
{
    memset(watcher, 0, sizeof(*watcher));
    watcher->ops = ops;
    watcher->call.done = on_done;
    watcher->store = store;
    watcher->kind = kind;
    watcher->pace = pace;
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
watch_anew(struct watcher *watcher)
{
    if (watcher->open && watcher->state == WATCHER_WATCH) {
        watcher->store->ops->cancel(watcher->store);
        watcher->open = false;
        watcher->next_us = watcher->opened_us;
    }
}

void
watcher_era(struct watcher *watcher, uint32_t era)
{
    bool lists = watcher->state == WATCHER_LIST;

    if (watcher->era == 0 || era <= watcher->era || era <= watcher->told_era) {
        return;
    }
    watcher->told_era = era;
    if (watcher->open) {
        watcher->store->ops->cancel(watcher->store);
        watcher->open = false;
    }
    begin_anew(watcher);
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
    watch_anew(watcher);
    watch_events(watcher, reply);
}

void
watcher_set_read(struct watcher *watcher, enum store_read read)
{
    bool better = read == STORE_READ_LATEST && watcher->read == STORE_READ_ANY;

    watcher->read = read;
    if (better) {
        watch_anew(watcher);
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
            pause_us = next_gap(watcher, now_us);
        }
        watcher->next_us = now_us + pause_us;
        if (watcher->older) {
            watcher->next_us =
                MAX(watcher->next_us, list_anew_us(watcher, now_us));
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
                uint64_t patience_us)
{
    bool listing = watcher->open && watcher->state == WATCHER_LIST;

    return watcher->failures > 0 ||
           (listing && now_us - watcher->opened_us > patience_us);
}

uint64_t
watcher_next_us(const struct watcher *watcher)
{
    return watcher->open ? UINT64_MAX : watcher->next_us;
}
