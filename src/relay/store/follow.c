#include "relay/store/follow.h"

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

/* The longest for an owner that is told when others reach the store again, and
 * within what time it then tries: what an outage costs grows with those that
 * look for its end, not with the fleet. Its end goes unnoticed for no longer
 * than operators give a change to be in force. */
#define PAUSE_PATIENT_US (3200 * USEC_PER_MSEC)
#define RETRY_WITHIN_US (300 * USEC_PER_MSEC)

/* Pauses differ by up to a quarter between processes. */
#define JITTER_PARTS 4

static uint64_t
longest_pause(const struct follow *follow)
{
    if (follow->eager) {
        return PAUSE_EAGER_US;
    }
    return follow->patient ? PAUSE_PATIENT_US : PAUSE_LONGEST_US;
}

static uint64_t
pause_after(const struct follow *follow)
{
    uint64_t longest_us = longest_pause(follow);
    uint64_t pause_us = PAUSE_FIRST_US;
    uint64_t jitter;

    for (unsigned i = 1; i < follow->failures && pause_us < longest_us; i++) {
        pause_us *= 2;
    }
    pause_us = MIN(pause_us, longest_us);
    jitter =
        hash_pair(follow->seed, follow->failures) % (pause_us / JITTER_PARTS);
    return pause_us + jitter;
}

static void
list_page(struct follow *follow, const struct store_reply *reply)
{
    if (follow->after == NULL) {
        follow->list_revision = reply->revision;
        follow->ops->listing(follow);
    }
    for (size_t i = 0; i < reply->count; i++) {
        follow->ops->object(follow, &reply->objects[i]);
    }
    g_free(follow->after);
    follow->after = NULL;
    if (reply->more && reply->count > 0) {
        follow->after = g_strdup(reply->objects[reply->count - 1].name);
        return;
    }
    /* Changes made between two pages are watched for from the first. */
    follow->revision = follow->list_revision;
    follow->state = FOLLOW_WATCH;
    follow->outdated = false;
    follow->ops->listed(follow);
}

static void
watch_events(struct follow *follow, const struct store_reply *reply)
{
    follow->quiet = reply->count == 0;
    for (size_t i = 0; i < reply->count; i++) {
        follow->ops->object(follow, &reply->objects[i]);
    }
    if (reply->revision > follow->revision) {
        follow->revision = reply->revision;
    }
}

static void
on_failure(struct follow *follow, int status)
{
    follow->quiet = false;
    if (status == -ESTALE) {
        /* A list that may be old could be as old as what is known: watches
         * from there would fail again and again. */
        follow->state = FOLLOW_LIST;
        follow->outdated = true;
    }
    if (follow->state == FOLLOW_LIST) {
        g_free(follow->after);
        follow->after = NULL;
    }
    follow->failures++;
}

static void
take(struct follow *follow, const struct store_reply *reply)
{
    bool first_page = follow->state == FOLLOW_LIST && follow->after == NULL;
    bool older = first_page && reply->revision < follow->revision;

    if (older && !follow->outdated) {
        /* Nothing that is known is given up for it. */
        follow->outdated = true;
        return;
    }
    if (follow->state == FOLLOW_LIST) {
        list_page(follow, reply);
    }
    else {
        watch_events(follow, reply);
    }
}

static void
on_done(struct store_call *call, const struct store_reply *reply)
{
    struct follow *follow = container_of(call, struct follow, call);
    int before = follow->status;

    follow->open = false;
    follow->status = reply->status;
    if (reply->status != 0) {
        on_failure(follow, reply->status);
    }
    else {
        follow->failures = 0;
        take(follow, reply);
    }
    /* The pause is counted from the next tick, which knows the time. */
    follow->next_us = 0;
    follow->ops->ended(follow, reply->status,
                       (before == 0) != (reply->status == 0) || before == 1);
}

static unsigned
watch_wait_ms(const struct follow *follow)
{
    if (follow->failures > 0) {
        return WATCH_FAILED_MS;
    }
    if (!follow->quiet) {
        return WATCH_BRIEF_MS +
               (unsigned)(hash_pair(follow->seed, follow->revision) %
                          WATCH_BRIEF_SPREAD_MS);
    }
    return WATCH_WAIT_MS;
}

/* Pause before the next watch. */
static uint64_t
next_gap(struct follow *follow, uint64_t now_us)
{
    const struct follow_pace *pace = &follow->pace;
    bool soon = now_us - follow->opened_us < pace->longest_us;

    if (follow->quiet || !soon) {
        follow->gap_us = pace->first_us;
    }
    else {
        follow->gap_us =
            CLAMP(2 * follow->gap_us, pace->first_us, pace->longest_us);
    }
    return follow->gap_us;
}

static int
make_call(struct follow *follow)
{
    struct store *store = follow->store;
    enum store_read read = follow->outdated ? STORE_READ_LATEST : follow->read;

    follow->calls[read]++;
    if (follow->state == FOLLOW_LIST) {
        return store->ops->list(store, follow->kind, follow->after, read,
                                &follow->call);
    }
    return store->ops->watch(store, follow->kind, follow->revision,
                             watch_wait_ms(follow), read, &follow->call);
}

void
follow_init(struct follow *follow, const struct follow_ops *ops,
            struct store *store, const char *kind, struct follow_pace pace,
            uint64_t seed, uint64_t now_us)
{
    memset(follow, 0, sizeof(*follow));
    follow->ops = ops;
    follow->call.done = on_done;
    follow->store = store;
    follow->kind = kind;
    follow->pace = pace;
    follow->seed = seed;
    follow->next_us = now_us;
    /* Neither reached nor failed so far: the first end of a call is told. */
    follow->status = 1;
}

void
follow_finish(struct follow *follow)
{
    g_free(follow->after);
    follow->after = NULL;
}

/* Ends an open watch; the next begins at once. */
static void
watch_anew(struct follow *follow)
{
    if (follow->open && follow->state == FOLLOW_WATCH) {
        follow->store->ops->cancel(follow->store);
        follow->open = false;
        follow->next_us = follow->opened_us;
    }
}

void
follow_advance(struct follow *follow, uint64_t since,
               const struct store_reply *reply)
{
    if (follow->state != FOLLOW_WATCH || follow->revision != since) {
        return;
    }
    watch_anew(follow);
    watch_events(follow, reply);
}

void
follow_set_read(struct follow *follow, enum store_read read)
{
    bool better = read == STORE_READ_LATEST && follow->read == STORE_READ_ANY;

    follow->read = read;
    if (better) {
        watch_anew(follow);
    }
}

void
follow_retry(struct follow *follow, uint64_t now_us)
{
    uint64_t soon_us =
        now_us + hash_pair(follow->seed, now_us) % RETRY_WITHIN_US;

    if (follow->failures > 0 && !follow->open && follow->next_us > soon_us) {
        follow->next_us = soon_us;
    }
}

void
follow_tick(struct follow *follow, uint64_t now_us)
{
    if (follow->open) {
        return;
    }
    if (follow->next_us == 0) {
        uint64_t pause_us = 0;

        if (follow->failures > 0) {
            pause_us = pause_after(follow);
        }
        else if (follow->state == FOLLOW_WATCH) {
            pause_us = next_gap(follow, now_us);
        }
        follow->next_us = now_us + pause_us;
    }
    if (follow->next_us > now_us) {
        return;
    }
    follow->opened_us = now_us;
    follow->open = true;
    if (make_call(follow) < 0) {
        follow->open = false;
        follow->failures++;
        follow->next_us = 0;
    }
}

bool
follow_is_away(const struct follow *follow, uint64_t now_us,
               uint64_t patience_us)
{
    bool listing = follow->open && follow->state == FOLLOW_LIST;

    return follow->failures > 0 ||
           (listing && now_us - follow->opened_us > patience_us);
}

uint64_t
follow_next_us(const struct follow *follow)
{
    return follow->open ? UINT64_MAX : follow->next_us;
}
