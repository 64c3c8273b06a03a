#include <errno.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/relay_fixture.h"
#include "relay/store/registration.h"
#include "relay/store_fixture.h"

#define SUITE "/relay/registration"
#define MS USEC_PER_MSEC

/** struct fixture - a registration writer and its store */
struct fixture {
    struct store_fixture store;
    struct registration_writer writer;
    uint64_t now_us;
};

static void
fixture_init(struct fixture *fixture)
{
    struct registration registration = {
        .addr = fixture_addr("10.1.0.13:8172"),
        .service = "lots",
        .data_centre = "here",
    };

    store_fixture_init(&fixture->store);
    fixture->now_us = USEC_PER_SEC;
    registration_writer_init(&fixture->writer, &fixture->store.store,
                             &registration, fixture->now_us);
}

static void
fixture_finish(struct fixture *fixture)
{
    store_fixture_finish(&fixture->store);
}

/* Replies to the open read with an object of @service. */
static void
reply_to_read(struct fixture *fixture, const char *service)
{
    struct registration registration = fixture->writer.registration;
    struct store_object object = {.name = "10-1-0-13-8172", .revision = 7};
    struct store_reply reply = {
        .epoch = fixture->store.epoch, .objects = &object, .count = 1};
    struct store_call *call = fixture->store.call;

    g_strlcpy(registration.service, service, sizeof(registration.service));
    object.value = registration_encode(&registration);
    fixture->store.call = NULL;
    call->done(call, &reply);
    json_object_put(object.value);
}

static void
writer_tick(struct fixture *fixture, unsigned ms)
{
    for (unsigned i = 0; i < ms && fixture->store.call == NULL; i++) {
        fixture->now_us += MS;
        registration_writer_tick(&fixture->writer, fixture->now_us);
    }
}

TEST_F(fixture, registered_host_writes_nothing)
{
    writer_tick(fixture, 1);
    reply_to_read(fixture, "lots");
    g_assert_cmpint(fixture->writer.step, ==, REGISTRATION_DONE);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale", NULL);
    /* The first read may have been stale: a second one follows after 10 s. */
    writer_tick(fixture, 9000);
    fixture_expect(fixture->store.record, NULL);
    writer_tick(fixture, 2000);
    reply_to_read(fixture, "lots");
    writer_tick(fixture, 60000);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale", NULL);
}

TEST_F(fixture, object_missing_at_the_second_read_is_created)
{
    writer_tick(fixture, 1);
    reply_to_read(fixture, "lots");
    writer_tick(fixture, 11000);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    writer_tick(fixture, 2);
    store_fixture_reply(&fixture->store, 0, 12, NULL, false);
    writer_tick(fixture, 60000);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale",
                   "get 10-1-0-13-8172 stale", "create 10-1-0-13-8172", NULL);
}

TEST_F(fixture, different_object_at_the_address_is_replaced)
{
    writer_tick(fixture, 1);
    reply_to_read(fixture, "albums");
    writer_tick(fixture, 2);
    store_fixture_reply(&fixture->store, 0, 9, NULL, false);
    writer_tick(fixture, 60000);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale",
                   "put 10-1-0-13-8172", NULL);
}

/* The endpoint may end while its object is still being written. */
TEST_F(fixture, removal_during_a_write_follows_it)
{
    writer_tick(fixture, 1);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    writer_tick(fixture, 2);
    registration_writer_remove(&fixture->writer, fixture->now_us);
    store_fixture_reply(&fixture->store, 0, 9, NULL, false);
    g_assert_cmpint(fixture->writer.step, ==, REGISTRATION_REMOVE);
    writer_tick(fixture, 2);
    store_fixture_reply(&fixture->store, 0, 12, NULL, false);
    g_assert_cmpint(fixture->writer.step, ==, REGISTRATION_REMOVED);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale",
                   "create 10-1-0-13-8172", "remove 10-1-0-13-8172", NULL);
}

TEST_F(fixture, new_host_creates_its_object)
{
    writer_tick(fixture, 1);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    writer_tick(fixture, 2);
    /* The reply was lost, but the object was created. */
    store_fixture_reply(&fixture->store, -ETIMEDOUT, 0, NULL, false);
    writer_tick(fixture, 200);
    store_fixture_reply(&fixture->store, -EEXIST, 0, NULL, false);
    writer_tick(fixture, 200);
    store_fixture_reply(&fixture->store, 0, 9, NULL, false);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale",
                   "create 10-1-0-13-8172", "create 10-1-0-13-8172",
                   "put 10-1-0-13-8172", NULL);
    g_assert_true(fixture->writer.missing);
}

TEST_F(fixture, an_address_is_new_if_the_first_create_succeeds)
{
    writer_tick(fixture, 1);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    g_assert_false(fixture->writer.created);
    writer_tick(fixture, 2);
    store_fixture_reply(&fixture->store, 0, 9, NULL, false);
    g_assert_true(fixture->writer.created);
}

/* An earlier agent may have run without an object while the store was away, or
 * the read was stale. */
TEST_F(fixture, an_address_is_not_known_to_be_new_after_other_results)
{
    static const int reads[] = {-ETIMEDOUT, -ENOENT, -ENOENT};
    static const int creates[] = {0, -EEXIST, -ETIMEDOUT};

    for (unsigned i = 0; i < G_N_ELEMENTS(reads); i++) {
        fixture_finish(fixture);
        fixture_init(fixture);
        writer_tick(fixture, 1);
        store_fixture_reply(&fixture->store, reads[i], 0, NULL, false);
        if (reads[i] != -ENOENT) {
            writer_tick(fixture, 200);
            store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
        }
        writer_tick(fixture, 200);
        store_fixture_reply(&fixture->store, creates[i], 0, NULL, false);
        writer_tick(fixture, 200);
        if (fixture->store.call != NULL) {
            store_fixture_reply(&fixture->store, 0, 9, NULL, false);
        }
        g_assert_cmpint(fixture->writer.step, ==, REGISTRATION_DONE);
        g_assert_false(fixture->writer.created);
    }
}

/* A rollback may have taken the object of an agent that has run for long. */
TEST_F(fixture, an_object_created_again_does_not_make_the_address_new)
{
    writer_tick(fixture, 1);
    reply_to_read(fixture, "lots");
    writer_tick(fixture, 11000);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    writer_tick(fixture, 2);
    store_fixture_reply(&fixture->store, 0, 12, NULL, false);
    g_assert_cmpint(fixture->writer.step, ==, REGISTRATION_DONE);
    g_assert_false(fixture->writer.created);
}

TEST_F(fixture, a_known_address_isnt_missing)
{
    writer_tick(fixture, 1);
    reply_to_read(fixture, "albums");
    writer_tick(fixture, 2);
    store_fixture_reply(&fixture->store, 0, 9, "10-1-0-13-8172", false);
    g_assert_false(fixture->writer.missing);
    g_assert_cmpuint(fixture->writer.revision, ==, 9);
}

TEST_F(fixture, removed_object_is_created_again)
{
    writer_tick(fixture, 1);
    reply_to_read(fixture, "lots");
    registration_writer_restore(&fixture->writer, fixture->now_us);
    writer_tick(fixture, 2);
    store_fixture_reply(&fixture->store, 0, 12, NULL, false);
    g_assert_cmpint(fixture->writer.step, ==, REGISTRATION_DONE);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale",
                   "create 10-1-0-13-8172", NULL);
}

TEST_F(fixture, failed_removal_is_repeated)
{
    writer_tick(fixture, 1);
    reply_to_read(fixture, "lots");
    registration_writer_remove(&fixture->writer, fixture->now_us);
    writer_tick(fixture, 2);
    store_fixture_reply(&fixture->store, -EBUSY, 0, NULL, false);
    writer_tick(fixture, 500);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    g_assert_cmpint(fixture->writer.step, ==, REGISTRATION_REMOVED);
    g_assert_cmpuint(registration_writer_next_us(&fixture->writer), ==,
                     UINT64_MAX);
}

TEST(object_round_trip)
{
    struct registration registration = {
        .addr = fixture_addr("10.1.0.13:8172"),
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
    /* The same value under another name. */
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

/* Objects of the kind that other clients wrote. */
TEST(invalid_objects_are_refused)
{
    static const char *const invalid[] = {
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

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        struct json_object *value = json_tokener_parse(invalid[i]);

        g_assert_nonnull(value);
        g_assert_cmpint(registration_decode("10-1-0-13-8172", value, &read),
                        ==, -EINVAL);
        json_object_put(value);
    }
}

/* The store has been restored from an older copy. */
TEST_F(fixture, rollback_causes_a_reread)
{
    fixture->store.epoch = 1;
    writer_tick(fixture, 10);
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    writer_tick(fixture, 10);
    store_fixture_reply(&fixture->store, 0, 5, "a", false);
    g_string_truncate(fixture->store.record, 0);
    g_assert_false(
        registration_writer_set_epoch(&fixture->writer, 1, fixture->now_us));
    writer_tick(fixture, 20000);
    fixture_expect(fixture->store.record, NULL);
    g_assert_true(
        registration_writer_set_epoch(&fixture->writer, 2, fixture->now_us));
    fixture->store.epoch = 2;
    writer_tick(fixture, 3000);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale", NULL);
    /* Only a missing object is written. */
    store_fixture_reply(&fixture->store, -ENOENT, 0, NULL, false);
    writer_tick(fixture, 10);
    fixture_expect(fixture->store.record, "create 10-1-0-13-8172", NULL);
}

TEST_F(fixture, a_stale_read_after_a_rollback_is_repeated)
{
    fixture->store.epoch = 1;
    writer_tick(fixture, 10);
    reply_to_read(fixture, "lots");
    registration_writer_set_epoch(&fixture->writer, 2, fixture->now_us);
    fixture->store.epoch = 2;
    g_string_truncate(fixture->store.record, 0);
    writer_tick(fixture, 3000);
    reply_to_read(fixture, "lots");
    writer_tick(fixture, 12000);
    fixture_expect(fixture->store.record, "get 10-1-0-13-8172 stale",
                   "get 10-1-0-13-8172 stale", NULL);
}

TEST_F(fixture, removal_is_repeated_after_a_rollback)
{
    fixture->store.epoch = 1;
    writer_tick(fixture, 10);
    reply_to_read(fixture, "lots");
    registration_writer_remove(&fixture->writer, fixture->now_us);
    writer_tick(fixture, 10);
    store_fixture_reply(&fixture->store, 0, 0, NULL, false);
    g_string_truncate(fixture->store.record, 0);
    registration_writer_set_epoch(&fixture->writer, 2, fixture->now_us);
    writer_tick(fixture, 3000);
    fixture_expect(fixture->store.record, "remove 10-1-0-13-8172", NULL);
}

/* A frame may contain any epoch. */
TEST_F(fixture, a_false_epoch_costs_two_reads)
{
    fixture->store.epoch = 1;
    writer_tick(fixture, 10);
    reply_to_read(fixture, "lots");
    g_assert_true(
        registration_writer_set_epoch(&fixture->writer, 900, fixture->now_us));
    writer_tick(fixture, 3000);
    reply_to_read(fixture, "lots");
    writer_tick(fixture, 12000);
    reply_to_read(fixture, "lots");
    g_assert_false(
        registration_writer_set_epoch(&fixture->writer, 900, fixture->now_us));
    g_string_truncate(fixture->store.record, 0);
    writer_tick(fixture, 20000);
    fixture_expect(fixture->store.record, NULL);
}
