#include <errno.h>

#include "base/clock.h"
#include "lib/harness.h"
#include "relay/relay_rig.h"
#include "relay/store/registration.h"
#include "relay/store_rig.h"

#define SUITE "/relay/registration"
#define MS USEC_PER_MSEC

/** struct site - an agent's object is written to a store */
struct site {
    struct store_rig rig;
    struct registration_writer writer;
    uint64_t now_us;
};

static void
site_init(struct site *site)
{
    struct registration registration = {
        .addr = rig_addr("10.1.0.13:8172"),
        .service = "lots",
        .data_centre = "here",
    };

    store_rig_init(&site->rig);
    site->now_us = USEC_PER_SEC;
    registration_writer_init(&site->writer, &site->rig.store, &registration,
                             site->now_us);
}

static void
site_finish(struct site *site)
{
    store_rig_finish(&site->rig);
}

/* Answers the open look with an object that says @service. */
static void
answer_look(struct site *site, const char *service)
{
    struct registration registration = site->writer.registration;
    struct store_object told = {.name = "10-1-0-13-8172", .revision = 7};
    struct store_reply reply = {
        .era = site->rig.era, .objects = &told, .count = 1};
    struct store_call *call = site->rig.call;

    g_strlcpy(registration.service, service, sizeof(registration.service));
    told.value = registration_encode(&registration);
    site->rig.call = NULL;
    call->done(call, &reply);
    json_object_put(told.value);
}

static void
writer_tick(struct site *site, unsigned ms)
{
    for (unsigned i = 0; i < ms && site->rig.call == NULL; i++) {
        site->now_us += MS;
        registration_writer_tick(&site->writer, site->now_us);
    }
}

TEST_F(site, a_known_host_writes_nothing)
{
    writer_tick(site, 1);
    answer_look(site, "lots");
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_KEPT);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any", NULL);
    /* The look may have been seconds old. */
    writer_tick(site, 9000);
    rig_expect(site->rig.record, NULL);
    writer_tick(site, 2000);
    answer_look(site, "lots");
    writer_tick(site, 60000);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any", NULL);
}

TEST_F(site, a_host_whose_object_was_removed_after_the_look_writes_it)
{
    writer_tick(site, 1);
    answer_look(site, "lots");
    writer_tick(site, 11000);
    store_rig_answer(&site->rig, -ENOENT, 0, NULL, false);
    writer_tick(site, 2);
    store_rig_answer(&site->rig, 0, 12, NULL, false);
    writer_tick(site, 60000);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any",
               "get 10-1-0-13-8172 any", "create 10-1-0-13-8172", NULL);
}

TEST_F(site, an_object_of_the_address_before_is_replaced)
{
    writer_tick(site, 1);
    answer_look(site, "albums");
    writer_tick(site, 2);
    store_rig_answer(&site->rig, 0, 9, NULL, false);
    writer_tick(site, 60000);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any",
               "put 10-1-0-13-8172", NULL);
}

/* The endpoint may end while its object is still being written. */
TEST_F(site, a_removal_that_is_wanted_during_a_write_follows_it)
{
    writer_tick(site, 1);
    store_rig_answer(&site->rig, -ENOENT, 0, NULL, false);
    writer_tick(site, 2);
    registration_writer_remove(&site->writer, site->now_us);
    store_rig_answer(&site->rig, 0, 9, NULL, false);
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_REMOVE);
    writer_tick(site, 2);
    store_rig_answer(&site->rig, 0, 12, NULL, false);
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_GONE);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any",
               "create 10-1-0-13-8172", "remove 10-1-0-13-8172", NULL);
}

TEST_F(site, a_new_host_creates_its_object)
{
    writer_tick(site, 1);
    store_rig_answer(&site->rig, -ENOENT, 0, NULL, false);
    writer_tick(site, 2);
    /* The answer was lost, and what the call did was not. */
    store_rig_answer(&site->rig, -ETIMEDOUT, 0, NULL, false);
    writer_tick(site, 200);
    store_rig_answer(&site->rig, -EEXIST, 0, NULL, false);
    writer_tick(site, 200);
    store_rig_answer(&site->rig, 0, 9, NULL, false);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any",
               "create 10-1-0-13-8172", "create 10-1-0-13-8172",
               "put 10-1-0-13-8172", NULL);
}

TEST_F(site, an_object_that_was_taken_away_is_written_anew)
{
    writer_tick(site, 1);
    answer_look(site, "lots");
    registration_writer_again(&site->writer, site->now_us);
    writer_tick(site, 2);
    store_rig_answer(&site->rig, 0, 12, NULL, false);
    g_assert_cmpint(site->writer.step, ==, REGISTRATION_KEPT);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any",
               "create 10-1-0-13-8172", NULL);
}

TEST_F(site, a_removal_is_repeated_until_it_is_done)
{
    writer_tick(site, 1);
    answer_look(site, "lots");
    registration_writer_remove(&site->writer, site->now_us);
    writer_tick(site, 2);
    store_rig_answer(&site->rig, -EBUSY, 0, NULL, false);
    writer_tick(site, 500);
    store_rig_answer(&site->rig, -ENOENT, 0, NULL, false);
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

/* The store came back from a copy that is some seconds old. */
TEST_F(site, after_the_store_came_back_older_it_is_looked_for_again)
{
    site->rig.era = 1;
    writer_tick(site, 10);
    store_rig_answer(&site->rig, -ENOENT, 0, NULL, false);
    writer_tick(site, 10);
    store_rig_answer(&site->rig, 0, 5, "a", false);
    g_string_truncate(site->rig.record, 0);
    g_assert_false(registration_writer_era(&site->writer, 1, site->now_us));
    writer_tick(site, 20000);
    rig_expect(site->rig.record, NULL);
    g_assert_true(registration_writer_era(&site->writer, 2, site->now_us));
    site->rig.era = 2;
    writer_tick(site, 3000);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any", NULL);
    /* Only what is missing is written. */
    store_rig_answer(&site->rig, -ENOENT, 0, NULL, false);
    writer_tick(site, 10);
    rig_expect(site->rig.record, "create 10-1-0-13-8172", NULL);
}

TEST_F(site, what_is_found_then_may_be_old_and_is_looked_for_twice)
{
    site->rig.era = 1;
    writer_tick(site, 10);
    answer_look(site, "lots");
    registration_writer_era(&site->writer, 2, site->now_us);
    site->rig.era = 2;
    g_string_truncate(site->rig.record, 0);
    writer_tick(site, 3000);
    answer_look(site, "lots");
    writer_tick(site, 12000);
    rig_expect(site->rig.record, "get 10-1-0-13-8172 any",
               "get 10-1-0-13-8172 any", NULL);
}

TEST_F(site, what_was_removed_is_removed_again)
{
    site->rig.era = 1;
    writer_tick(site, 10);
    answer_look(site, "lots");
    registration_writer_remove(&site->writer, site->now_us);
    writer_tick(site, 10);
    store_rig_answer(&site->rig, 0, 0, NULL, false);
    g_string_truncate(site->rig.record, 0);
    registration_writer_era(&site->writer, 2, site->now_us);
    writer_tick(site, 3000);
    rig_expect(site->rig.record, "remove 10-1-0-13-8172", NULL);
}

/* A frame can tell of any era. */
TEST_F(site, an_era_that_the_store_is_not_in_costs_two_looks)
{
    site->rig.era = 1;
    writer_tick(site, 10);
    answer_look(site, "lots");
    g_assert_true(registration_writer_era(&site->writer, 900, site->now_us));
    writer_tick(site, 3000);
    answer_look(site, "lots");
    writer_tick(site, 12000);
    answer_look(site, "lots");
    g_assert_false(registration_writer_era(&site->writer, 900, site->now_us));
    g_string_truncate(site->rig.record, 0);
    writer_tick(site, 20000);
    rig_expect(site->rig.record, NULL);
}
