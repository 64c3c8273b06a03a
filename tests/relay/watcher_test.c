#include <errno.h>

#include "base/clock.h"
#include "base/container.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/store/watcher.h"
#include "relay/store_fixture.h"

#define SUITE "/relay/watcher"
#define MS USEC_PER_MSEC

/** struct fixture - a watcher and its store */
struct fixture {
    struct store_fixture store;
    struct watcher watcher;
    uint64_t now_us;
};

static void
listing(struct watcher *watcher)
{
    fixture_record(
        container_of(watcher, struct fixture, watcher)->store.record,
        "listing");
}

static void
object(struct watcher *watcher, const struct store_object *item)
{
    fixture_record(
        container_of(watcher, struct fixture, watcher)->store.record,
        "object %s%s", item->name, item->removed ? " removed" : "");
}

static void
listed(struct watcher *watcher)
{
    fixture_record(
        container_of(watcher, struct fixture, watcher)->store.record,
        "listed");
}

static void
ended(struct watcher *watcher, int status, bool changed)
{
    if (changed) {
        fixture_record(
            container_of(watcher, struct fixture, watcher)->store.record,
            status == 0 ? "reached" : "lost");
    }
}

static const struct watcher_ops watcher_ops = {listing, object, listed, ended};

static void
fixture_init(struct fixture *fixture)
{
    store_fixture_init(&fixture->store);
    fixture->now_us = USEC_PER_SEC;
    watcher_init(&fixture->watcher, &watcher_ops, &fixture->store.store,
                 "kind", (struct watcher_backoff){0}, 1, fixture->now_us);
}

static void
fixture_finish(struct fixture *fixture)
{
    watcher_finish(&fixture->watcher);
    store_fixture_finish(&fixture->store);
}

/* Ticks until the watcher makes a call; returns the time in ms, at most 10 s.
 */
static unsigned
wait_for_call(struct fixture *fixture)
{
    unsigned waited = 0;

    watcher_tick(&fixture->watcher, fixture->now_us);
    while (fixture->store.call == NULL && waited < 10000) {
        fixture->now_us += MS;
        waited++;
        watcher_tick(&fixture->watcher, fixture->now_us);
    }
    return waited;
}

TEST_F(fixture, list_is_followed_by_a_watch)
{
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 30, "a", true);
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 34, "b", false);
    watcher_tick(&fixture->watcher, fixture->now_us);
    fixture_expect(fixture->store.record, "list kind -", "listing", "object a",
                   "reached", "list kind a", "object b", "listed",
                   "watch kind 30", NULL);
    store_fixture_reply(&fixture->store, 0, 36, "c", false);
    watcher_tick(&fixture->watcher, fixture->now_us);
    fixture_expect(fixture->store.record, "object c", "watch kind 36", NULL);
}

TEST_F(fixture, failed_watch_resumes_and_lost_history_is_relisted)
{
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 30, NULL, false);
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, -ECONNRESET, 0, NULL, false);
    g_string_truncate(fixture->store.record, 0);
    g_assert_cmpuint(wait_for_call(fixture), >=, 50);
    fixture_expect(fixture->store.record, "watch kind 30", NULL);
    store_fixture_reply(&fixture->store, -ESTALE, 0, NULL, false);
    g_string_truncate(fixture->store.record, 0);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "list kind -", NULL);
    store_fixture_reply(&fixture->store, 0, 50, NULL, false);
    fixture_expect(fixture->store.record, "listing", "listed", "reached",
                   NULL);
}

/* A store that hung never answers a call that reached it then, even after it
 * recovers. */
TEST_F(fixture, watch_is_short_until_one_returns_empty)
{
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 7, NULL, false);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, >=, 2000);
    g_assert_cmpuint(fixture->store.wait_ms, <=, 3000);
    store_fixture_reply(&fixture->store, 0, 7, NULL, false);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, ==, 15000);
    /* All watches end with a change, and their processes call again at once.
     */
    store_fixture_reply(&fixture->store, 0, 8, "a", false);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, <=, 3000);
    store_fixture_reply(&fixture->store, -ECONNRESET, 0, NULL, false);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, ==, 500);
    store_fixture_reply(&fixture->store, 0, 8, NULL, false);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, ==, 15000);
}

TEST_F(fixture, pauses_grow_while_changes_continue)
{
    static const unsigned pauses[] = {100, 200, 400, 800, 1000, 1000};

    fixture->watcher.backoff = (struct watcher_backoff){100 * MS, 1000 * MS};
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 7, NULL, false);
    for (unsigned i = 0; i < G_N_ELEMENTS(pauses); i++) {
        g_assert_cmpuint(wait_for_call(fixture), ==, pauses[i]);
        store_fixture_reply(&fixture->store, 0, 8 + i, "a", false);
    }
    /* The pause after a single change is the shortest. */
    wait_for_call(fixture);
    fixture->now_us += 1500 * MS;
    store_fixture_reply(&fixture->store, 0, 20, "a", false);
    g_assert_cmpuint(wait_for_call(fixture), ==, 100);
}

TEST_F(fixture, pauses_grow_while_the_store_is_down)
{
    unsigned before = 0;
    unsigned calls = 0;

    watcher_tick(&fixture->watcher, fixture->now_us);
    while (fixture->now_us < 11 * USEC_PER_SEC) {
        store_fixture_reply(&fixture->store, -ECONNREFUSED, 0, NULL, false);
        before = wait_for_call(fixture);
        calls++;
    }
    g_assert_cmpuint(before, >=, 800);
    g_assert_cmpuint(before, <=, 1000);
    g_assert_cmpuint(calls, <, 20);
}

TEST_F(fixture, slow_retry_until_peers_report_the_stores_return)
{
    unsigned waited = 0;

    fixture->watcher.slow_retry = true;
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, -EBUSY, 0, NULL, false);
    g_assert_cmpuint(wait_for_call(fixture), >=, 400);
    for (unsigned i = 0; i < 12; i++) {
        store_fixture_reply(&fixture->store, -EBUSY, 0, NULL, false);
        waited = wait_for_call(fixture);
    }
    g_assert_cmpuint(waited, >=, 3200);
    g_assert_cmpuint(waited, <=, 4000);
    store_fixture_reply(&fixture->store, -EBUSY, 0, NULL, false);
    watcher_tick(&fixture->watcher, fixture->now_us);
    watcher_retry(&fixture->watcher, fixture->now_us);
    g_assert_cmpuint(wait_for_call(fixture), <=, 300);
}

TEST_F(fixture, fast_retry_keeps_pauses_short)
{
    fixture->watcher.fast_retry = true;
    watcher_tick(&fixture->watcher, fixture->now_us);
    for (unsigned i = 0; i < 20; i++) {
        store_fixture_reply(&fixture->store, -EBUSY, 0, NULL, false);
        g_assert_cmpuint(wait_for_call(fixture), <=, 190);
    }
}

TEST_F(fixture, unanswered_list_means_the_store_is_away)
{
    g_assert_false(
        watcher_is_away(&fixture->watcher, fixture->now_us, 60 * MS));
    watcher_tick(&fixture->watcher, fixture->now_us);
    g_assert_false(watcher_is_away(&fixture->watcher,
                                   fixture->now_us + 50 * MS, 60 * MS));
    g_assert_true(watcher_is_away(&fixture->watcher, fixture->now_us + 70 * MS,
                                  60 * MS));
    store_fixture_reply(&fixture->store, 0, 3, NULL, false);
    watcher_tick(&fixture->watcher, fixture->now_us);
    g_assert_false(watcher_is_away(&fixture->watcher,
                                   fixture->now_us + 9000 * MS, 60 * MS));
}

TEST_F(fixture, stale_watch_is_cancelled_for_a_latest_one)
{
    fixture->watcher.read = STORE_READ_STALE;
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 30, NULL, false);
    watcher_tick(&fixture->watcher, fixture->now_us);
    watcher_set_read(&fixture->watcher, STORE_READ_LATEST);
    watcher_tick(&fixture->watcher, fixture->now_us);
    fixture_expect(fixture->store.record, "list kind - stale", "listing",
                   "listed", "reached", "watch kind 30 stale", "cancel",
                   "watch kind 30", NULL);
    /* A latest watch isn't cancelled for a stale one. */
    watcher_set_read(&fixture->watcher, STORE_READ_STALE);
    watcher_tick(&fixture->watcher, fixture->now_us);
    fixture_expect(fixture->store.record, NULL);
    store_fixture_reply(&fixture->store, 0, 31, "a", false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "object a", "watch kind 31 stale",
                   NULL);
    /* A list isn't cancelled. */
    store_fixture_reply(&fixture->store, -ESTALE, 0, NULL, false);
    wait_for_call(fixture);
    watcher_set_read(&fixture->watcher, STORE_READ_LATEST);
    fixture_expect(fixture->store.record, "lost", "list kind -", NULL);
    store_fixture_reply(&fixture->store, 0, 40, NULL, false);
}

/* A stale list could be as old as the lost history, and the next watch would
 * fail too. */
TEST_F(fixture, list_after_a_lost_history_is_the_latest)
{
    fixture->watcher.read = STORE_READ_STALE;
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 30, NULL, false);
    wait_for_call(fixture);
    store_fixture_reply(&fixture->store, -ESTALE, 0, NULL, false);
    g_string_truncate(fixture->store.record, 0);
    wait_for_call(fixture);
    /* Also after a failed call, and on each page. */
    store_fixture_reply(&fixture->store, -ECONNRESET, 0, NULL, false);
    wait_for_call(fixture);
    store_fixture_reply(&fixture->store, 0, 31, "a", true);
    wait_for_call(fixture);
    store_fixture_reply(&fixture->store, 0, 31, "b", false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "list kind -", "list kind -",
                   "listing", "object a", "reached", "list kind a", "object b",
                   "listed", "watch kind 31 stale", NULL);
}

TEST_F(fixture, outdated_list_is_repeated_as_latest)
{
    fixture->watcher.read = STORE_READ_STALE;
    fixture->watcher.revision = 30;
    watcher_tick(&fixture->watcher, fixture->now_us);
    g_string_truncate(fixture->store.record, 0);
    store_fixture_reply(&fixture->store, 0, 28, "a", false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "reached", "list kind -", NULL);
    store_fixture_reply(&fixture->store, 0, 31, "b", false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "listing", "object b", "listed",
                   "watch kind 31 stale", NULL);
}

/* A lower revision in the latest list means that the store lost changes. */
TEST_F(fixture, latest_list_is_applied_at_any_revision)
{
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 30, NULL, false);
    wait_for_call(fixture);
    store_fixture_reply(&fixture->store, -ESTALE, 0, NULL, false);
    wait_for_call(fixture);
    g_string_truncate(fixture->store.record, 0);
    store_fixture_reply(&fixture->store, 0, 5, "a", false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "listing", "object a", "listed",
                   "reached", "watch kind 5", NULL);
}

TEST_F(fixture, owner_may_choose_stale_reads)
{
    fixture->watcher.read = STORE_READ_STALE;
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 30, NULL, false);
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, -ESTALE, 0, NULL, false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "list kind - stale", "listing",
                   "listed", "reached", "watch kind 30 stale", "lost",
                   "list kind -", NULL);
    store_fixture_reply(&fixture->store, 0, 50, NULL, false);
}

/* Completes a list in @epoch and opens a watch. The tests then let the store
 * be restored from an older copy, which invalidates what was read. */
static void
watch_in_epoch(struct fixture *fixture, uint32_t epoch)
{
    fixture->store.epoch = epoch;
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 30, "a", false);
    wait_for_call(fixture);
    g_string_truncate(fixture->store.record, 0);
}

TEST_F(fixture, watch_reply_of_a_later_epoch_causes_a_relist)
{
    watch_in_epoch(fixture, 1);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 31, "b", false);
    g_assert_cmpuint(wait_for_call(fixture), <=, 300);
    fixture_expect(fixture->store.record, "list kind -", NULL);
    /* A lower revision than before is applied. */
    store_fixture_reply(&fixture->store, 0, 25, "c", false);
    fixture_expect(fixture->store.record, "listing", "object c", "listed",
                   NULL);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "watch kind 25", NULL);
}

TEST_F(fixture, lost_history_of_a_later_epoch_costs_one_list)
{
    watch_in_epoch(fixture, 1);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, -ESTALE, 0, NULL, false);
    g_assert_cmpuint(wait_for_call(fixture), <=, 300);
    store_fixture_reply(&fixture->store, 0, 25, NULL, false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "lost", "list kind -", "listing",
                   "listed", "reached", "watch kind 25", NULL);
}

/* Stale reads may return lost objects for seconds. */
TEST_F(fixture, stale_lists_wait_after_a_rollback)
{
    fixture->watcher.read = STORE_READ_STALE;
    watch_in_epoch(fixture, 1);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 31, NULL, false);
    fixture->now_us += 9 * USEC_PER_SEC;
    watcher_tick(&fixture->watcher, fixture->now_us - 9 * USEC_PER_SEC);
    watcher_tick(&fixture->watcher, fixture->now_us);
    g_assert_null(fixture->store.call);
    fixture->now_us += 2 * USEC_PER_SEC;
    watcher_tick(&fixture->watcher, fixture->now_us);
    fixture_expect(fixture->store.record, "list kind - stale", NULL);
}

TEST_F(fixture, new_reader_relists_at_once)
{
    fixture->watcher.read = STORE_READ_STALE;
    watch_in_epoch(fixture, 1);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 31, NULL, false);
    watcher_tick(&fixture->watcher, fixture->now_us);
    watcher_set_read(&fixture->watcher, STORE_READ_LATEST);
    g_assert_cmpuint(wait_for_call(fixture), <=, 300);
    fixture_expect(fixture->store.record, "list kind -", NULL);
}

/* Guards against a reader that knows no agent registered since the rollback
 * for 10 s, because its last call before had failed. */
TEST_F(fixture, a_reader_relists_at_once_though_its_last_call_failed)
{
    fixture->watcher.read = STORE_READ_STALE;
    watch_in_epoch(fixture, 1);
    store_fixture_reply(&fixture->store, -EBUSY, 0, NULL, false);
    watcher_set_epoch(&fixture->watcher, 2);
    watcher_tick(&fixture->watcher, fixture->now_us);
    g_assert_cmpuint(fixture->watcher.failures, >, 0);
    g_string_truncate(fixture->store.record, 0);
    watcher_set_read(&fixture->watcher, watcher_mode(&fixture->watcher, true));
    g_assert_cmpuint(wait_for_call(fixture), <=, 800);
    fixture_expect(fixture->store.record, "list kind -", NULL);
}

TEST_F(fixture, reported_later_epoch_causes_a_relist)
{
    watch_in_epoch(fixture, 1);
    watcher_set_epoch(&fixture->watcher, 2);
    g_assert_cmpuint(wait_for_call(fixture), <=, 300);
    fixture_expect(fixture->store.record, "cancel", "list kind -", NULL);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 25, "a", false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "listing", "object a", "listed",
                   "watch kind 25", NULL);
}

/* A frame may contain any epoch; the store's own reply counts, and a repeated
 * report costs nothing. */
TEST_F(fixture, false_epoch_costs_one_list)
{
    watch_in_epoch(fixture, 1);
    watcher_set_epoch(&fixture->watcher, 900);
    wait_for_call(fixture);
    store_fixture_reply(&fixture->store, 0, 34, "a", false);
    g_string_truncate(fixture->store.record, 0);
    wait_for_call(fixture);
    watcher_set_epoch(&fixture->watcher, 900);
    store_fixture_reply(&fixture->store, 0, 36, "b", false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "watch kind 34", "object b",
                   "watch kind 36", NULL);
}

TEST_F(fixture, reply_of_an_earlier_epoch_is_ignored)
{
    watch_in_epoch(fixture, 2);
    fixture->store.epoch = 1;
    store_fixture_reply(&fixture->store, 0, 34, "b", false);
    wait_for_call(fixture);
    fixture_expect(fixture->store.record, "watch kind 30", NULL);
}

TEST_F(fixture, first_epoch_is_adopted)
{
    watch_in_epoch(fixture, 7);
    watcher_set_epoch(&fixture->watcher, 7);
    g_assert_nonnull(fixture->store.call);
    g_assert_cmpint(fixture->watcher.state, ==, WATCHER_WATCH);
}

/* Peers also report changes that a silently dropped watch has missed. */
TEST_F(fixture, stale_watch_is_long_when_peers_notify)
{
    fixture->watcher.read = STORE_READ_STALE;
    fixture->watcher.notified_by_peers = true;
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 7, NULL, false);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, ==, 15000);
    store_fixture_reply(&fixture->store, 0, 8, "a", false);
    watcher_set_read(&fixture->watcher, STORE_READ_LATEST);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, <=, 3000);
}

TEST_F(fixture, pages_of_two_epochs_are_not_combined)
{
    watch_in_epoch(fixture, 1);
    watcher_set_epoch(&fixture->watcher, 2);
    wait_for_call(fixture);
    fixture->store.epoch = 2;
    store_fixture_reply(&fixture->store, 0, 25, "a", true);
    wait_for_call(fixture);
    fixture->store.epoch = 3;
    g_string_truncate(fixture->store.record, 0);
    store_fixture_reply(&fixture->store, 0, 24, "b", false);
    g_assert_cmpuint(wait_for_call(fixture), <=, 300);
    fixture_expect(fixture->store.record, "list kind -", NULL);
}

/* Ends a list and makes the first watch. */
static void
list_once(struct fixture *fixture)
{
    watcher_tick(&fixture->watcher, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 7, NULL, false);
    wait_for_call(fixture);
}

/* Guards against readers that go by an old configuration for many seconds
 * after a silence of the store, as their watches hang without an error. */
TEST_F(fixture, bounded_watches_of_the_latest_are_short)
{
    fixture->watcher.bounded = true;
    watcher_set_read(&fixture->watcher, STORE_READ_LATEST);
    list_once(fixture);
    for (unsigned i = 0; i < 3; i++) {
        g_assert_cmpuint(fixture->store.wait_ms, ==, 1500);
        fixture->now_us += 1500 * MS;
        store_fixture_reply(&fixture->store, 0, 7, NULL, false);
        wait_for_call(fixture);
    }
    store_fixture_reply(&fixture->store, -ETIMEDOUT, 0, NULL, false);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, ==, 1);
}

/* A balancer that becomes a reader while the store is silent has no reply of
 * it: others may not rely on it. */
TEST_F(fixture, a_new_reader_counts_as_failed_until_the_store_replies)
{
    fixture->watcher.bounded = true;
    watcher_set_read(&fixture->watcher, STORE_READ_STALE);
    list_once(fixture);
    g_assert_cmpuint(watcher_failures(&fixture->watcher, fixture->now_us), ==,
                     0);
    watcher_set_read(&fixture->watcher, STORE_READ_LATEST);
    wait_for_call(fixture);
    g_assert_cmpuint(fixture->store.wait_ms, ==, 1);
    g_assert_cmpuint(watcher_failures(&fixture->watcher, fixture->now_us), ==,
                     1);
    store_fixture_reply(&fixture->store, 0, 7, NULL, false);
    wait_for_call(fixture);
    g_assert_cmpuint(watcher_failures(&fixture->watcher, fixture->now_us), ==,
                     0);
}

TEST_F(fixture, a_watch_that_hangs_counts_as_failed)
{
    fixture->watcher.bounded = true;
    watcher_set_read(&fixture->watcher, STORE_READ_LATEST);
    list_once(fixture);
    fixture->now_us += 2500 * MS;
    g_assert_cmpuint(watcher_failures(&fixture->watcher, fixture->now_us), ==,
                     0);
    fixture->now_us += MS;
    g_assert_cmpuint(watcher_failures(&fixture->watcher, fixture->now_us), ==,
                     1);
    /* Its reply comes late, as the process was frozen. */
    store_fixture_reply(&fixture->store, 0, 7, NULL, false);
    g_assert_cmpuint(watcher_failures(&fixture->watcher, fixture->now_us), ==,
                     0);
}

/* A stale reply may be seconds old. */
TEST_F(fixture, a_stale_reply_does_not_show_that_the_latest_is_known)
{
    fixture->watcher.bounded = true;
    watcher_set_read(&fixture->watcher, STORE_READ_STALE);
    list_once(fixture);
    store_fixture_reply(&fixture->store, 0, 7, NULL, false);
    watcher_set_read(&fixture->watcher, STORE_READ_LATEST);
    g_assert_cmpuint(watcher_failures(&fixture->watcher, fixture->now_us), ==,
                     1);
}
