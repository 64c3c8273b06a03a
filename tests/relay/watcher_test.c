#include <errno.h>
#include <string.h>

#include "base/clock.h"
#include "base/container.h"
#include "lib/harness.h"
#include "relay/store/watcher.h"
#include "relay/store/registration.h"
#include "relay/relay_rig.h"

#define SUITE "/relay/watcher"
#define MS USEC_PER_MSEC

/**
 * struct site - a store that only writes down what it is asked, and a
 * follower and a writer on it
 */
struct site {
    struct store store;
    struct watcher watcher;
    struct registration_writer writer;
    struct store_call *call;
    GString *record;
    uint64_t now_us;
    unsigned wait_ms;
};

static struct site *
of_store(struct store *store)
{
    return container_of(store, struct site, store);
}

static int
ask(struct store *store, struct store_call *call)
{
    g_assert_null(of_store(store)->call);
    of_store(store)->call = call;
    return 0;
}

static int
store_list(struct store *store, const char *kind, const char *after,
           enum store_read read, struct store_call *call)
{
    rig_note(of_store(store)->record, "list %s %s%s", kind,
             after != NULL ? after : "-",
             read == STORE_READ_ANY ? " any" : "");
    return ask(store, call);
}

static int
store_watch(struct store *store, const char *kind, uint64_t revision,
            unsigned wait_ms, enum store_read read, struct store_call *call)
{
    rig_note(of_store(store)->record, "watch %s %u%s", kind,
             (unsigned)revision, read == STORE_READ_ANY ? " any" : "");
    of_store(store)->wait_ms = wait_ms;
    return ask(store, call);
}

static int
store_put(struct store *store, const char *kind, const char *name,
          struct json_object *value, struct store_call *call)
{
    rig_note(of_store(store)->record, "put %s", name);
    return ask(store, call);
}

static int
store_create(struct store *store, const char *kind, const char *name,
             struct json_object *value, struct store_call *call)
{
    rig_note(of_store(store)->record, "create %s", name);
    return ask(store, call);
}

static int
store_remove(struct store *store, const char *kind, const char *name,
             uint64_t revision, struct store_call *call)
{
    rig_note(of_store(store)->record, "remove %s", name);
    return ask(store, call);
}

static void
store_cancel(struct store *store)
{
    rig_note(of_store(store)->record, "cancel");
    of_store(store)->call = NULL;
}

static int
store_get(struct store *store, const char *kind, const char *name,
          enum store_read read, struct store_call *call)
{
    rig_note(of_store(store)->record, "get %s%s", name,
             read == STORE_READ_ANY ? " any" : "");
    return ask(store, call);
}

static const struct store_ops store_ops = {
    store_list,   store_watch,  store_get,    store_put,
    store_create, store_remove, store_cancel, NULL};

static void
listing(struct watcher *watcher)
{
    rig_note(container_of(watcher, struct site, watcher)->record, "listing");
}

static void
object(struct watcher *watcher, const struct store_object *told)
{
    rig_note(container_of(watcher, struct site, watcher)->record,
             "object %s%s", told->name, told->removed ? " removed" : "");
}

static void
listed(struct watcher *watcher)
{
    rig_note(container_of(watcher, struct site, watcher)->record, "listed");
}

static void
ended(struct watcher *watcher, int status, bool changed)
{
    if (changed) {
        rig_note(container_of(watcher, struct site, watcher)->record,
                 status == 0 ? "reached" : "lost");
    }
}

static const struct watcher_ops watcher_ops = {listing, object, listed, ended};

static void
site_init(struct site *site)
{
    struct registration registration = {
        .addr = rig_addr("10.1.0.13:8172"),
        .service = "lots",
        .data_centre = "here",
    };

    site->store.ops = &store_ops;
    site->record = g_string_new(NULL);
    site->now_us = USEC_PER_SEC;
    watcher_init(&site->watcher, &watcher_ops, &site->store, "kind",
                 (struct watcher_pace){0}, 1, site->now_us);
    registration_writer_init(&site->writer, &site->store, &registration,
                             site->now_us);
}

static void
site_finish(struct site *site)
{
    watcher_finish(&site->watcher);
    g_string_free(site->record, TRUE);
}

/* Answers the open call. */
static void
answer(struct site *site, int status, uint64_t revision, const char *name,
       bool more)
{
    struct store_object told = {.name = name, .revision = revision};
    struct store_reply reply = {
        .status = status,
        .revision = revision,
        .more = more,
        .objects = &told,
        .count = name != NULL ? 1 : 0,
    };
    struct store_call *call = site->call;

    g_assert_nonnull(call);
    site->call = NULL;
    call->done(call, &reply);
}

/* Time until the follower calls, in ms; at most 10 s. */
static unsigned
wait_for_call(struct site *site)
{
    unsigned waited = 0;

    watcher_tick(&site->watcher, site->now_us);
    while (site->call == NULL && waited < 10000) {
        site->now_us += MS;
        waited++;
        watcher_tick(&site->watcher, site->now_us);
    }
    return waited;
}

TEST_F(site, a_list_is_followed_by_a_watch_from_where_it_was)
{
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 30, "a", true);
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 34, "b", false);
    watcher_tick(&site->watcher, site->now_us);
    rig_expect(site->record, "list kind -", "listing", "object a", "reached",
               "list kind a", "object b", "listed", "watch kind 30", NULL);
    answer(site, 0, 36, "c", false);
    watcher_tick(&site->watcher, site->now_us);
    rig_expect(site->record, "object c", "watch kind 36", NULL);
}

TEST_F(site, a_cut_watch_goes_on_and_a_lost_history_is_listed)
{
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 30, NULL, false);
    watcher_tick(&site->watcher, site->now_us);
    answer(site, -ECONNRESET, 0, NULL, false);
    g_string_truncate(site->record, 0);
    g_assert_cmpuint(wait_for_call(site), >=, 50);
    rig_expect(site->record, "watch kind 30", NULL);
    answer(site, -ESTALE, 0, NULL, false);
    g_string_truncate(site->record, 0);
    wait_for_call(site);
    rig_expect(site->record, "list kind -", NULL);
    answer(site, 0, 50, NULL, false);
    rig_expect(site->record, "listing", "listed", "reached", NULL);
}

/* A store that has fallen silent never answers a call that reached it then,
 * also not when it is back. */
TEST_F(site, a_watch_is_brief_until_the_store_has_shown_that_it_answers)
{
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 7, NULL, false);
    wait_for_call(site);
    g_assert_cmpuint(site->wait_ms, >=, 2000);
    g_assert_cmpuint(site->wait_ms, <=, 3000);
    answer(site, 0, 7, NULL, false);
    wait_for_call(site);
    g_assert_cmpuint(site->wait_ms, ==, 15000);
    /* Everybody's watch ends with a change, and all ask again at once. */
    answer(site, 0, 8, "a", false);
    wait_for_call(site);
    g_assert_cmpuint(site->wait_ms, <=, 3000);
    answer(site, -ECONNRESET, 0, NULL, false);
    wait_for_call(site);
    g_assert_cmpuint(site->wait_ms, ==, 500);
    answer(site, 0, 8, NULL, false);
    wait_for_call(site);
    g_assert_cmpuint(site->wait_ms, ==, 15000);
}

TEST_F(site, pauses_grow_while_changes_keep_coming)
{
    static const unsigned pauses[] = {100, 200, 400, 800, 1000, 1000};

    site->watcher.pace = (struct watcher_pace){100 * MS, 1000 * MS};
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 7, NULL, false);
    for (unsigned i = 0; i < G_N_ELEMENTS(pauses); i++) {
        g_assert_cmpuint(wait_for_call(site), ==, pauses[i]);
        answer(site, 0, 8 + i, "a", false);
    }
    /* A change that comes alone is followed by the shortest. */
    wait_for_call(site);
    site->now_us += 1500 * MS;
    answer(site, 0, 20, "a", false);
    g_assert_cmpuint(wait_for_call(site), ==, 100);
}

TEST_F(site, pauses_grow_while_the_store_is_away)
{
    unsigned before = 0;
    unsigned calls = 0;

    watcher_tick(&site->watcher, site->now_us);
    while (site->now_us < 11 * USEC_PER_SEC) {
        answer(site, -ECONNREFUSED, 0, NULL, false);
        before = wait_for_call(site);
        calls++;
    }
    g_assert_cmpuint(before, >=, 800);
    g_assert_cmpuint(before, <=, 1000);
    g_assert_cmpuint(calls, <, 20);
}

TEST_F(site, whoever_is_told_of_its_return_tries_rarely_and_then_soon)
{
    unsigned waited = 0;

    site->watcher.patient = true;
    watcher_tick(&site->watcher, site->now_us);
    answer(site, -EBUSY, 0, NULL, false);
    g_assert_cmpuint(wait_for_call(site), >=, 400);
    for (unsigned i = 0; i < 12; i++) {
        answer(site, -EBUSY, 0, NULL, false);
        waited = wait_for_call(site);
    }
    g_assert_cmpuint(waited, >=, 3200);
    g_assert_cmpuint(waited, <=, 4000);
    answer(site, -EBUSY, 0, NULL, false);
    watcher_tick(&site->watcher, site->now_us);
    watcher_retry(&site->watcher, site->now_us);
    g_assert_cmpuint(wait_for_call(site), <=, 300);
}

TEST_F(site, pauses_stay_short_for_who_cannot_work_without)
{
    site->watcher.eager = true;
    watcher_tick(&site->watcher, site->now_us);
    for (unsigned i = 0; i < 20; i++) {
        answer(site, -EBUSY, 0, NULL, false);
        g_assert_cmpuint(wait_for_call(site), <=, 190);
    }
}

TEST_F(site, a_store_that_does_not_answer_is_away)
{
    g_assert_false(watcher_is_away(&site->watcher, site->now_us, 60 * MS));
    watcher_tick(&site->watcher, site->now_us);
    g_assert_false(
        watcher_is_away(&site->watcher, site->now_us + 50 * MS, 60 * MS));
    g_assert_true(
        watcher_is_away(&site->watcher, site->now_us + 70 * MS, 60 * MS));
    answer(site, 0, 3, NULL, false);
    watcher_tick(&site->watcher, site->now_us);
    g_assert_false(
        watcher_is_away(&site->watcher, site->now_us + 9000 * MS, 60 * MS));
}

/* Answers the open look with an object that says @service. */
static void
answer_look(struct site *site, const char *service)
{
    struct registration registration = site->writer.registration;
    struct store_object told = {.name = "10-1-0-13-8172", .revision = 7};
    struct store_reply reply = {.objects = &told, .count = 1};
    struct store_call *call = site->call;

    g_strlcpy(registration.service, service, sizeof(registration.service));
    told.value = registration_encode(&registration);
    site->call = NULL;
    call->done(call, &reply);
    json_object_put(told.value);
}

static void
writer_tick(struct site *site, unsigned ms)
{
    for (unsigned i = 0; i < ms && site->call == NULL; i++) {
        site->now_us += MS;
        registration_writer_tick(&site->writer, site->now_us);
    }
}

TEST_F(site, a_known_host_writes_nothing)
{
    writer_tick(site, 1);
    answer_look(site, "lots");
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_KEPT);
    rig_expect(site->record, "get 10-1-0-13-8172 any", NULL);
    /* The look may have been seconds old. */
    writer_tick(site, 9000);
    rig_expect(site->record, NULL);
    writer_tick(site, 2000);
    answer_look(site, "lots");
    writer_tick(site, 60000);
    rig_expect(site->record, "get 10-1-0-13-8172 any", NULL);
}

TEST_F(site, a_host_whose_object_was_removed_after_the_look_writes_it)
{
    writer_tick(site, 1);
    answer_look(site, "lots");
    writer_tick(site, 11000);
    answer(site, -ENOENT, 0, NULL, false);
    writer_tick(site, 2);
    answer(site, 0, 12, NULL, false);
    writer_tick(site, 60000);
    rig_expect(site->record, "get 10-1-0-13-8172 any",
               "get 10-1-0-13-8172 any", "create 10-1-0-13-8172", NULL);
}

TEST_F(site, an_object_of_the_address_before_is_replaced)
{
    writer_tick(site, 1);
    answer_look(site, "albums");
    writer_tick(site, 2);
    answer(site, 0, 9, NULL, false);
    writer_tick(site, 60000);
    rig_expect(site->record, "get 10-1-0-13-8172 any", "put 10-1-0-13-8172",
               NULL);
}

/* The endpoint may end while its object is still being written. */
TEST_F(site, a_removal_that_is_wanted_during_a_write_follows_it)
{
    writer_tick(site, 1);
    answer(site, -ENOENT, 0, NULL, false);
    writer_tick(site, 2);
    registration_writer_remove(&site->writer, site->now_us);
    answer(site, 0, 9, NULL, false);
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_REMOVE);
    writer_tick(site, 2);
    answer(site, 0, 12, NULL, false);
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_GONE);
    rig_expect(site->record, "get 10-1-0-13-8172 any", "create 10-1-0-13-8172",
               "remove 10-1-0-13-8172", NULL);
}

TEST_F(site, a_new_host_creates_its_object)
{
    writer_tick(site, 1);
    answer(site, -ENOENT, 0, NULL, false);
    writer_tick(site, 2);
    /* The answer was lost, and what the call did was not. */
    answer(site, -ETIMEDOUT, 0, NULL, false);
    writer_tick(site, 200);
    answer(site, -EEXIST, 0, NULL, false);
    writer_tick(site, 200);
    answer(site, 0, 9, NULL, false);
    rig_expect(site->record, "get 10-1-0-13-8172 any", "create 10-1-0-13-8172",
               "create 10-1-0-13-8172", "put 10-1-0-13-8172", NULL);
}

TEST_F(site, an_object_that_was_taken_away_is_written_anew)
{
    writer_tick(site, 1);
    answer_look(site, "lots");
    registration_writer_again(&site->writer, site->now_us);
    writer_tick(site, 2);
    answer(site, 0, 12, NULL, false);
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_KEPT);
    rig_expect(site->record, "get 10-1-0-13-8172 any", "create 10-1-0-13-8172",
               NULL);
}

TEST_F(site, a_removal_is_repeated_until_it_is_done)
{
    writer_tick(site, 1);
    answer_look(site, "lots");
    registration_writer_remove(&site->writer, site->now_us);
    writer_tick(site, 2);
    answer(site, -EBUSY, 0, NULL, false);
    writer_tick(site, 500);
    answer(site, -ENOENT, 0, NULL, false);
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_GONE);
    g_assert_cmpuint(registration_writer_next_us(&site->writer), ==,
                     UINT64_MAX);
}

TEST(names_and_values_come_back)
{
    struct registration registration = {
        .addr = rig_addr("10.1.0.13:8172"),
        .service = "lots",
        .data_centre = "kariakoo",
    };
    struct registration read;
    struct json_object *value = registration_encode(&registration);
    struct addr addr;

    g_assert_cmpint(registration_decode("10-1-0-13-8172", value, &read), ==,
                    0);
    g_assert_true(addr_equal(read.addr, registration.addr));
    g_assert_cmpstr(read.service, ==, "lots");
    g_assert_cmpstr(read.data_centre, ==, "kariakoo");
    /* The same under another agent's name, and under none. */
    g_assert_cmpint(registration_decode("10-1-0-14-8172", value, &read), ==,
                    -EINVAL);
    g_assert_cmpint(registration_decode("x", value, &read), ==, -EINVAL);
    json_object_put(value);
    g_assert_cmpint(registration_addr("10-1-0-13-8172", &addr), ==, 0);
    g_assert_true(addr_equal(addr, registration.addr));
    g_assert_cmpint(registration_addr("10-1-0-13", &addr), ==, -EINVAL);
    g_assert_cmpint(registration_addr("10-1-0-13-8172x", &addr), ==, -EINVAL);
    g_assert_cmpint(registration_addr("300-1-0-13-8172", &addr), ==, -EINVAL);
    g_assert_cmpint(registration_addr("10-01-0-13-8172", &addr), ==, -EINVAL);
    g_assert_cmpint(registration_addr("10-1-0-13-99999999999", &addr), ==,
                    -EINVAL);
    g_assert_cmpint(registration_addr("10-1--13-8172", &addr), ==, -EINVAL);
    g_assert_cmpint(registration_addr("", &addr), ==, -EINVAL);
    g_assert_cmpint(registration_addr("0-0-0-0-0", &addr), ==, 0);
    g_assert_cmpint(registration_decode("10-1-0-13-8172", NULL, &read), ==,
                    -EINVAL);
}

/* Objects of other writers: fields of other types or missing, and bytes that
 * say nothing. */
TEST(objects_of_other_writers_name_no_agent)
{
    static const char *const wrong[] = {
        "7",
        "[]",
        "\"10.1.0.13:8172\"",
        "{}",
        "{\"address\":\"10.1.0.13:8172\",\"service\":\"lots\"}",
        "{\"address\":\"10.1.0.13:8172\",\"service\":7,"
        "\"data_centre\":\"k\"}",
        "{\"address\":[\"10.1.0.13:8172\"],\"service\":\"lots\","
        "\"data_centre\":\"k\"}",
        "{\"address\":\"10.1.0.13\",\"service\":\"lots\","
        "\"data_centre\":\"k\"}",
        "{\"address\":\"10.1.0.13:8172\",\"service\":\"lots\","
        "\"data_centre\":null}",
    };
    struct registration read;

    for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
        struct json_object *value = json_tokener_parse(wrong[i]);

        g_assert_nonnull(value);
        g_assert_cmpint(registration_decode("10-1-0-13-8172", value, &read),
                        ==, -EINVAL);
        json_object_put(value);
    }
}

TEST_F(site, a_watch_of_old_changes_ends_when_the_latest_are_wanted)
{
    site->watcher.read = STORE_READ_ANY;
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 30, NULL, false);
    watcher_tick(&site->watcher, site->now_us);
    watcher_set_read(&site->watcher, STORE_READ_LATEST);
    watcher_tick(&site->watcher, site->now_us);
    rig_expect(site->record, "list kind - any", "listing", "listed", "reached",
               "watch kind 30 any", "cancel", "watch kind 30", NULL);
    /* The better one may go on to its end. */
    watcher_set_read(&site->watcher, STORE_READ_ANY);
    watcher_tick(&site->watcher, site->now_us);
    rig_expect(site->record, NULL);
    answer(site, 0, 31, "a", false);
    wait_for_call(site);
    rig_expect(site->record, "object a", "watch kind 31 any", NULL);
    /* A list goes on to its end. */
    answer(site, -ESTALE, 0, NULL, false);
    wait_for_call(site);
    watcher_set_read(&site->watcher, STORE_READ_LATEST);
    rig_expect(site->record, "lost", "list kind -", NULL);
    answer(site, 0, 40, NULL, false);
}

/* The store has forgotten what followed on what is known. A list as old as
 * that would bring nothing new, and the next watch would fail like the last.
 */
TEST_F(site, after_a_lost_history_the_list_is_the_latest)
{
    site->watcher.read = STORE_READ_ANY;
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 30, NULL, false);
    wait_for_call(site);
    answer(site, -ESTALE, 0, NULL, false);
    g_string_truncate(site->record, 0);
    wait_for_call(site);
    /* Also when a call fails meanwhile, and on each page. */
    answer(site, -ECONNRESET, 0, NULL, false);
    wait_for_call(site);
    answer(site, 0, 31, "a", true);
    wait_for_call(site);
    answer(site, 0, 31, "b", false);
    wait_for_call(site);
    rig_expect(site->record, "list kind -", "list kind -", "listing",
               "object a", "reached", "list kind a", "object b", "listed",
               "watch kind 31 any", NULL);
}

TEST_F(site, a_list_that_is_older_than_what_is_known_is_read_anew)
{
    site->watcher.read = STORE_READ_ANY;
    site->watcher.revision = 30;
    watcher_tick(&site->watcher, site->now_us);
    g_string_truncate(site->record, 0);
    answer(site, 0, 28, "a", false);
    wait_for_call(site);
    rig_expect(site->record, "reached", "list kind -", NULL);
    answer(site, 0, 31, "b", false);
    wait_for_call(site);
    rig_expect(site->record, "listing", "object b", "listed",
               "watch kind 31 any", NULL);
}

/* Then the store itself has lost what it knew. */
TEST_F(site, the_latest_list_is_taken_whatever_its_revision)
{
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 30, NULL, false);
    wait_for_call(site);
    answer(site, -ESTALE, 0, NULL, false);
    wait_for_call(site);
    g_string_truncate(site->record, 0);
    answer(site, 0, 5, "a", false);
    wait_for_call(site);
    rig_expect(site->record, "listing", "object a", "listed", "reached",
               "watch kind 5", NULL);
}

TEST_F(site, reads_may_be_old_where_the_owner_says_so)
{
    site->watcher.read = STORE_READ_ANY;
    watcher_tick(&site->watcher, site->now_us);
    answer(site, 0, 30, NULL, false);
    watcher_tick(&site->watcher, site->now_us);
    answer(site, -ESTALE, 0, NULL, false);
    wait_for_call(site);
    rig_expect(site->record, "list kind - any", "listing", "listed", "reached",
               "watch kind 30 any", "lost", "list kind -", NULL);
    answer(site, 0, 50, NULL, false);
}
